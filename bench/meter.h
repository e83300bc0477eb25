#ifndef CHIVERAIL_BENCH_METER_H_
#define CHIVERAIL_BENCH_METER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "types.h"

namespace chiverail::bench {

// max_over_mean is not recorded below this mean load, because a single request changes the ratio by
// more than the bound allows.
inline constexpr double kMinMeanLoad = 8.0;

// Loads count as unsettled for this long after an engine starts or stops accepting work: an engine
// that joins without load lowers the mean at once under any policy.
inline constexpr Duration kSettleTime = seconds(60);

// A request whose first token takes longer counts as late.
inline constexpr Duration kFirstTokenGoal = milliseconds(1600);

// Results of one run. Counts cover the turns that arrive in the measurement window.
struct RunResult {
  std::string site;
  std::string scenario;
  std::string policy;
  double cache_reuse = 0;            // share of prompt tokens that were cached
  double max_over_mean = 0;          // maximum in the measurement window
  double max_over_mean_settled = 0;  // same, without kSettleTime after each fleet change
  double over_bound_share = 0;       // share of time with an engine over the load bound
  double control_bytes_per_node_second = 0;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  std::uint64_t cut = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t cold_over = 0;        // requests started at a cold engine over its cold limit
  std::uint64_t others_requests = 0;  // of all workspaces but the surging one
  std::uint64_t others_refused = 0;
  std::uint64_t others_late = 0;
  double p95_first_token_ms = 0;
  std::uint64_t decisions_hash = 0;  // product policy: hash of all decisions
  double remote_share = 0;           // product policy: share of slots granted by another instance
};

// Collects the results of a run.
class Meter {
 public:
  // Counts a turn that has arrived.
  void AddArrival(bool surging_workspace);
  void AddRefused(bool surging_workspace);
  void AddCut() { ++result_.cut; }
  void AddDuplicate() { ++result_.duplicates; }
  void AddColdOver() { ++result_.cold_over; }
  void AddPrompt(std::uint32_t prompt_tokens, std::uint32_t cached_tokens);
  void AddFirstToken(Duration since_arrival, bool surging_workspace);

  // Records the loads of the engines that accept work; called after each change of a load.
  void AddLoads(std::uint32_t highest, std::uint64_t total, std::size_t engines, TimePoint now);

  // Records that an engine has started or stopped accepting work.
  void AddFleetChange(TimePoint now) { last_fleet_change_ = now; }

  // Computes the shares. `control_bytes` is the control traffic in the measurement window.
  RunResult Finish(std::uint64_t control_bytes, std::size_t instances);

 private:
  RunResult result_;
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t cached_tokens_ = 0;
  TimePoint last_fleet_change_;
  TimePoint last_load_change_;
  bool over_bound_ = false;
  Duration time_over_bound_{};
  std::vector<std::uint32_t> first_token_ms_;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_METER_H_
