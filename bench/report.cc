#include "report.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace chiverail::bench {
namespace {

// Minimum ratio of the product policy's cache reuse to that of the perfect policy.
double ReuseTarget(const std::string& scenario) {
  return scenario == "steady" ? 0.97 : 0.90;
}

template <typename... Args>
std::string Print(const char* format, Args... args) {
  std::array<char, 320> buffer{};
  std::snprintf(buffer.data(), buffer.size(), format, args...);
  return buffer.data();
}

const RunResult* FindPerfect(const std::vector<RunResult>& results, const RunResult& product) {
  for (const RunResult& result : results) {
    if (result.policy == "perfect" && result.site == product.site &&
        result.scenario == product.scenario) {
      return &result;
    }
  }
  return nullptr;
}

nlohmann::ordered_json ToJson(const RunResult& result) {
  return {{"site", result.site},
          {"scenario", result.scenario},
          {"policy", result.policy},
          {"cache_reuse", result.cache_reuse},
          {"max_over_mean", result.max_over_mean},
          {"max_over_mean_settled", result.max_over_mean_settled},
          {"over_bound_share", result.over_bound_share},
          {"control_bytes_per_node_second", result.control_bytes_per_node_second},
          {"requests", result.requests},
          {"refused", result.refused},
          {"late", result.late},
          {"cut", result.cut},
          {"duplicates", result.duplicates},
          {"cold_over", result.cold_over},
          {"others_requests", result.others_requests},
          {"others_refused", result.others_refused},
          {"others_late", result.others_late},
          {"p95_first_token_ms", result.p95_first_token_ms},
          {"remote_share", result.remote_share}};
}

}  // namespace

std::string FormatTable(const std::vector<RunResult>& results) {
  std::string text =
      Print("%-10s %-24s %-8s %6s %6s %6s %6s %8s %8s %7s %6s %4s %5s %5s %7s %7s %6s %6s\n",
            "site", "scenario", "policy", "reuse", "max/m", "settl", "over%", "ctl B/s", "requests",
            "refused", "late", "cut", "dupl", "cold+", "oth.ref", "oth.lat", "p95 ms", "remote");
  for (const RunResult& r : results) {
    text += Print(
        "%-10s %-24s %-8s %6.4f %6.3f %6.3f %6.2f %8.0f %8lu %7lu %6lu %4lu %5lu %5lu %7lu %7lu "
        "%6.0f %6.3f\n",
        r.site.c_str(), r.scenario.c_str(), r.policy.c_str(), r.cache_reuse, r.max_over_mean,
        r.max_over_mean_settled, r.over_bound_share * 100, r.control_bytes_per_node_second,
        r.requests, r.refused, r.late, r.cut, r.duplicates, r.cold_over, r.others_refused,
        r.others_late, r.p95_first_token_ms, r.remote_share);
  }
  return text;
}

std::string FormatTargets(const std::vector<RunResult>& results) {
  std::string text;
  for (const RunResult& product : results) {
    const RunResult* perfect =
        product.policy == "product" ? FindPerfect(results, product) : nullptr;
    if (perfect == nullptr || perfect->cache_reuse <= 0) {
      continue;
    }
    const double ratio = product.cache_reuse / perfect->cache_reuse;
    const double target = ReuseTarget(product.scenario);
    text += Print(
        "%-10s %-24s cache reuse relative to perfect %.4f (target %.2f, %s), max/mean load %.3f "
        "(target 1.25, %s), settled %.3f, cut %lu\n",
        product.site.c_str(), product.scenario.c_str(), ratio, target,
        ratio >= target ? "met" : "missed", product.max_over_mean,
        product.max_over_mean <= 1.25 ? "met" : "missed", product.max_over_mean_settled,
        product.cut);
  }
  return text;
}

std::string FormatJson(const std::string& signature, const std::vector<RunResult>& results) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const RunResult& result : results) {
    rows.push_back(ToJson(result));
  }
  const nlohmann::ordered_json document = {{"signature", signature}, {"results", rows}};
  return document.dump(2) + "\n";
}

}  // namespace chiverail::bench
