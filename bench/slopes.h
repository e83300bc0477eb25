#ifndef CHIVERAIL_BENCH_SLOPES_H_
#define CHIVERAIL_BENCH_SLOPES_H_

#include <string>

namespace chiverail::bench {

// Measures how costs grow with the size of the fleet: time of a routing decision, memory per chat,
// workspace and upstream, and control traffic per instance. Returns a human-readable report; the
// times vary from run to run.
std::string MeasureSlopes();

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_SLOPES_H_
