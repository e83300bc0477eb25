#ifndef CHIVERAIL_BENCH_POLICIES_H_
#define CHIVERAIL_BENCH_POLICIES_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "random.h"
#include "world.h"

namespace chiverail::bench {

// Reference policy: a single router with exact loads and cache contents. Routes each request to the
// engine with the longest cached prefix among those below the load bound, and queues the request if
// there is none.
class PerfectPolicy {
 public:
  PerfectPolicy(World& world, std::uint64_t seed);
  void OnArrival(std::uint32_t turn);
  void OnChange(const FleetChange&) { ServeQueue(); }
  void Complete(RunResult&) const {}

 private:
  bool TryPlace(std::uint32_t turn);
  void ServeQueue();

  World& world_;
  std::deque<std::uint32_t> queue_;
};

// Baseline policy: routers without shared state. Each routes to the least loaded engine according
// to delayed load reports, with random choice among equals and without slots. A request without a
// first token in time is retried although the first attempt may still be running.
class NaivePolicy {
 public:
  NaivePolicy(World& world, std::uint64_t seed);
  void OnArrival(std::uint32_t turn);
  void OnChange(const FleetChange& change);
  void Complete(RunResult&) const {}

 private:
  struct Router {
    std::vector<std::uint32_t> reported;  // by engine
    std::shared_ptr<const FleetView> view;
    bool live = true;
  };

  struct Turn {
    int starts = 0;
  };

  void RefreshReports(std::size_t router);
  void Send(std::uint32_t turn, std::size_t router, int attempts_left);
  std::size_t PickEngine(const Router& router);

  World& world_;
  Random random_;
  std::vector<Router> routers_;
  std::vector<InstanceId> instance_ids_;
  std::vector<Turn> turns_;
  std::vector<std::uint32_t> sampled_;  // latest load sample of each engine
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_POLICIES_H_
