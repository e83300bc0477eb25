#ifndef CHIVERAIL_BENCH_REPORT_H_
#define CHIVERAIL_BENCH_REPORT_H_

#include <string>
#include <vector>

#include "meter.h"

namespace chiverail::bench {

// Formats the results as a text table with one row per run.
std::string FormatTable(const std::vector<RunResult>& results);

// Formats the product policy's results against its targets, one line per site and scenario.
std::string FormatTargets(const std::vector<RunResult>& results);

// Formats the results as one JSON object.
std::string FormatJson(const std::string& signature, const std::vector<RunResult>& results);

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_REPORT_H_
