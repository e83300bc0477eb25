#ifndef CHIVERAIL_BENCH_WORLD_H_
#define CHIVERAIL_BENCH_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "event_loop.h"
#include "meter.h"
#include "scenario.h"
#include "sim_engine.h"
#include "trace.h"

namespace chiverail::bench {

// A caller gives up on a request that has not started within this time.
inline constexpr Duration kRequestDeadline = seconds(8);

// How a request ended at an engine.
struct ServiceEnd {
  bool complete = false;   // false if the engine stopped during the request
  Duration first_token{};  // time from the start at the engine to the first token
};

// The simulated environment of a run, the same for all policies: engines, callers' turns and the
// meter. Except for the perfect policy, policies read only what a router can observe in a fleet.
class World {
 public:
  using OnEnd = std::function<void(const ServiceEnd&)>;

  World(const Plan& plan, const std::vector<TraceTurn>& turns);

  EventLoop& loop() { return loop_; }
  const Plan& plan() const { return plan_; }
  const std::vector<TraceTurn>& turns() const { return turns_; }
  const TraceTurn& turn(std::uint32_t index) const { return turns_[index]; }

  // Index of an engine. All engines of the plan exist from the start of the run.
  std::size_t EngineIndex(const UpstreamId& id) const { return engine_by_id_.at(id); }
  std::size_t engine_count() const { return engines_.size(); }
  const UpstreamId& EngineId(std::size_t engine) const { return engines_[engine].id; }
  SimEngine& engine(std::size_t engine) { return engines_[engine].simulated; }

  // Whether the engine accepts new work according to the latest committed state.
  bool Accepting(std::size_t engine) const { return engines_[engine].accepting; }

  // Starts a turn at an engine and calls `on_end` at its end. Returns false if the engine has
  // stopped.
  bool Start(std::uint32_t turn, std::size_t engine, OnEnd on_end);

  // Whether the caller of a turn has received the first token.
  bool HasFirstToken(std::uint32_t turn) const { return turn_progress_[turn].had_first_token; }

  // Counts a turn as refused: its caller was notified that it has not run.
  void Refuse(std::uint32_t turn);

  // Counts a turn as cut: its stream ended early and cannot be resumed.
  void Cut(std::uint32_t turn);

  // Adds control traffic, if the current time is in the measurement window.
  void AddControlBytes(std::uint64_t bytes);

  // Applies the effects of a fleet change on the engines.
  void Apply(const FleetChange& change);

  // Runs all arrivals and fleet changes and calls the policy's functions for them.
  void Run(const std::function<void(std::uint32_t)>& on_arrival,
           const std::function<void(const FleetChange&)>& on_change);

  RunResult Finish();

 private:
  struct EngineState {
    UpstreamId id;
    SimEngine simulated;
    bool accepting = false;
    bool stopped = false;
  };

  struct TurnProgress {
    std::uint32_t starts = 0;
    bool had_first_token = false;
    bool outcome_counted = false;  // refused or cut
  };

  bool Measured(std::uint32_t turn) const;
  bool Surging(std::uint32_t turn) const { return turns_[turn].workspace == kSurgingWorkspace; }
  void SetAccepting(const FleetState& state);
  void RecordLoads();
  void End(std::uint32_t turn, std::size_t engine);
  void ScheduleArrival(std::uint32_t turn, const std::function<void(std::uint32_t)>& on_arrival);

  const Plan& plan_;
  const std::vector<TraceTurn>& turns_;
  EventLoop loop_;
  Meter meter_;
  std::vector<EngineState> engines_;
  std::map<UpstreamId, std::size_t> engine_by_id_;
  std::vector<TurnProgress> turn_progress_;
  std::uint64_t control_bytes_ = 0;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_WORLD_H_
