#ifndef CHIVERAIL_TESTS_LEDGER_SIM_WORLD_H_
#define CHIVERAIL_TESTS_LEDGER_SIM_WORLD_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_platform.h"
#include "ledger_writer.h"

namespace chiverail {

// Faults that a schedule switches on for a while.
enum class CallFault : std::uint8_t {
  kTableDown,
  kLostWriteAnswers,
  kSlowTable,
  kObjectsDown,
  kCrash,
  kCrashAtStep,     // an instance crashes after a few more actions
  kPauseAtStep,     // an instance pauses after a few more actions, often until after its eviction
  kSilentService,   // the call may run, but the service does not answer
  kRefusedService,  // connections are not accepted
  kBrokenService,   // connections break before or after the call runs
  kCrossedAnswers,
  kWrongView,  // instances treat live holders as gone
};
inline constexpr std::size_t kCallFaultCount = 12;

// One submission as its caller sees it.
struct SimSubmission {
  std::string key;
  RequestId request;
  int instance = 0;
  TimePoint submitted{};
  std::optional<TimePoint> replied;
  std::optional<RequestError> error;
  std::optional<CallAnswer> answer;
};

// One run of a call at the service.
struct SimRun {
  RequestId request;
  TimePoint sent{};
};

// State of a LedgerSim: the faults, the platform, the service's record of runs and the instances.
// Also checks the results.
class LedgerSimWorld {
 public:
  explicit LedgerSimWorld(std::uint64_t seed) : random_(seed) {
    table_.random = Jitter(seed + 1);
    ScheduleFaults(seed % 3);
  }

  // Calls that ran more than once.
  int DuplicateRuns() const {
    int count = 0;
    for (const auto& [key, runs] : runs_) {
      count += runs.size() > 1 ? 1 : 0;
    }
    return count;
  }

  // Refusals with "not run" although this submission or an earlier one ran, before or after the
  // refusal.
  int FalseNotRun() const {
    int count = 0;
    for (const auto& refused : submissions_) {
      if (refused->error && refused->error->ran == Ran::kNo && MayHaveRun(*refused)) {
        ++count;
      }
    }
    return count;
  }

  // Replies whose answer is not that of the call's own run.
  int WrongAnswers() const {
    int count = 0;
    for (const auto& replied : submissions_) {
      count += replied->answer && replied->answer->body != ExpectedAnswer(replied->key) ? 1 : 0;
    }
    return count;
  }

  // Calls that had not been answered long after the last fault.
  int Unanswered() const { return kKeys - static_cast<int>(answered_.size()); }

  std::size_t refusals() const { return refusals_; }
  std::size_t settlements() const { return settlements_; }
  const std::array<int, 3>& refusals_by_ran() const { return refusals_by_ran_; }

 protected:
  static constexpr int kKeys = 5;
  static constexpr int kInstances = 3;
  static constexpr Duration kFaultsEnd = seconds(45);
  static constexpr Duration kEnd = seconds(160);
  static constexpr Duration kEvictedAfter = seconds(17);
  static constexpr Duration kCallerTimeout = seconds(12);

  struct Instance {
    std::uint64_t generation = 1;
    TimePoint down_since = TimePoint::max();
    TimePoint paused_since{};
    TimePoint paused_until{};
    int steps_to_crash = -1;
    int steps_to_pause = -1;
    Duration pause{0};
  };

  static TimePoint At(Duration time) { return TimePoint{} + time; }
  bool Chance(int percent) { return static_cast<int>(random_.Below(100)) < percent; }
  bool IsActive(CallFault fault) const {
    return active_faults_[static_cast<std::size_t>(fault)] > 0;
  }
  static std::string ExpectedAnswer(const std::string& key) {
    // Every third answer is too large for its row.
    return key + (key.back() % 3 == 0 ? std::string(kCallRowLimitBytes, '+') : " done");
  }

  // Schedules one fault, several that overlap, or the same one twice.
  void ScheduleFaults(std::uint64_t kind) {
    const int count = kind == 0 ? 1 : kind == 1 ? 3 + static_cast<int>(random_.Below(3)) : 2;
    auto fault = static_cast<CallFault>(random_.Below(kCallFaultCount));
    for (int i = 0; i < count; ++i) {
      if (kind == 1) {
        fault = static_cast<CallFault>(random_.Below(kCallFaultCount));
      }
      const Duration start = random_.UpTo(seconds(25));
      const Duration length = milliseconds(500) + random_.UpTo(seconds(19));
      const int instance = static_cast<int>(random_.Below(kInstances));
      events_.At(At(start), [=] { Begin(fault, instance, length); });
      events_.At(At(start + length), [=] { End(fault, instance); });
    }
  }

  void Begin(CallFault fault, int instance, Duration length) {
    ++active_faults_[static_cast<std::size_t>(fault)];
    Instance& affected = instances_[instance];
    if (fault == CallFault::kCrash) {
      Crash(instance);
    } else if (fault == CallFault::kCrashAtStep) {
      affected.steps_to_crash = static_cast<int>(random_.Below(8));
    } else if (fault == CallFault::kPauseAtStep) {
      affected.steps_to_pause = 1 + static_cast<int>(random_.Below(8));
      affected.pause = 2 * length;
    }
    SetStores();
  }

  void End(CallFault fault, int instance) {
    --active_faults_[static_cast<std::size_t>(fault)];
    if (fault == CallFault::kCrash || fault == CallFault::kCrashAtStep) {
      instances_[instance].down_since = TimePoint::max();
      instances_[instance].steps_to_crash = -1;
    }
    SetStores();
  }

  void SetStores() {
    table_.down = IsActive(CallFault::kTableDown);
    table_.lost_answers = IsActive(CallFault::kLostWriteAnswers) ? 0.5 : 0.0;
    objects_.down = IsActive(CallFault::kObjectsDown);
  }

  void Crash(int instance) {
    Instance& affected = instances_[instance];
    affected.down_since = std::min(affected.down_since, events_.now());
    ++affected.generation;
  }

  bool IsUp(int instance) const { return instances_[instance].down_since == TimePoint::max(); }

  bool MayHaveRun(const SimSubmission& refused) const {
    const auto runs = runs_.find(refused.key);
    if (runs == runs_.end()) {
      return false;
    }
    for (const SimRun& run : runs->second) {
      const SimSubmission* sender = FindSubmission(run.request);
      const bool ended_before = sender->replied && *sender->replied < refused.submitted;
      if (sender == &refused || run.sent < refused.submitted || ended_before) {
        return true;
      }
    }
    return false;
  }

  const SimSubmission* FindSubmission(const RequestId& request) const {
    return submissions_[std::stoul(request.substr(1)) - 1].get();
  }

  // ---- platform ----

  Duration StoreDelay() {
    return IsActive(CallFault::kSlowTable) ? random_.UpTo(seconds(3))
                                           : random_.UpTo(milliseconds(8));
  }

  // Runs a store operation after a delay and returns its result after another delay.
  template <typename Operation, typename Callback>
  void Store(Operation operation, Callback callback) {
    const bool silent = IsActive(CallFault::kLostWriteAnswers) && Chance(20);
    events_.After(StoreDelay(), [=] {
      const auto result = operation();
      if (!silent) {
        events_.After(StoreDelay(), [=] { callback(result); });
      }
    });
  }

  template <typename Callback>
  void Do(const ReadRow& read, Callback callback) {
    Store([=] { return table_.Read(read.key); },
          [=](const TableReadResult& result) {
            callback([=](auto& target) { return target.OnRead(read.op, result, events_.now()); });
          });
  }
  template <typename Callback>
  void Do(const WriteRows& write, Callback callback) {
    Store([=] { return table_.Write(write.transaction); },
          [=](const TableWriteResult& result) {
            callback([=](auto& target) { return target.OnWrite(write.op, result, events_.now()); });
          });
  }
  template <typename Callback>
  void Do(const PutCallObject& put, Callback callback) {
    Store(
        [=] { return objects_.Put(put.name, put.body); },
        [=](bool written) {
          const auto status = written ? TableStatus::kOk : TableStatus::kUnavailable;
          callback([=](auto& target) { return target.OnObjectPut(put.op, status, events_.now()); });
        });
  }
  template <typename Callback>
  void Do(const QueryHolderState& check, Callback callback) {
    const auto state = HolderIsGone(check.holder) ? HolderState::kGone : HolderState::kLive;
    events_.After(Duration(0), [=] {
      callback([=](auto& target) { return target.OnHolderState(state, events_.now()); });
    });
  }

  // The members rows list an instance until it has been down or paused for the eviction time.
  bool HolderIsGone(const CallHolder& holder) {
    if (IsActive(CallFault::kWrongView) && Chance(50)) {
      return true;
    }
    const Instance& instance = instances_[std::stoi(holder.instance.substr(1))];
    const TimePoint now = events_.now();
    if (now < instance.paused_until && now - instance.paused_since > kEvictedAfter) {
      return true;
    }
    const bool restarted = holder.generation != instance.generation;
    return restarted && (IsUp(std::stoi(holder.instance.substr(1))) ||
                         now - instance.down_since > kEvictedAfter);
  }

  SimEventQueue events_;
  FakeTable table_;
  FakeObjects objects_;
  Jitter random_;
  std::array<int, kCallFaultCount> active_faults_{};
  std::array<Instance, kInstances> instances_;
  std::vector<std::shared_ptr<SimSubmission>> submissions_;
  std::map<std::string, std::vector<SimRun>> runs_;
  std::map<std::string, int> in_flight_;  // calls in flight to the service, by key
  std::set<std::string> answered_;
  std::size_t refusals_ = 0;
  std::size_t settlements_ = 0;
  std::array<int, 3> refusals_by_ran_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_LEDGER_SIM_WORLD_H_
