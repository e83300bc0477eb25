#include <map>

#include <catch2/catch.hpp>

#include "ledger_sim.h"

using namespace chiverail;

namespace {

constexpr std::uint64_t kSeeds = 1000;

// Comparison without a ledger, as in many gateways: keeps answers in the memory of the instance,
// retries when the connection fails, and reports a timeout as "not run".
class NaiveCall {
 public:
  NaiveCall(const CallHolder& self, CallSubmission submission)
      : memory_(Memory()[self.instance + "/" + std::to_string(self.generation)]),
        submission_(std::move(submission)) {}

  static void ClearMemory() { Memory().clear(); }

  LedgerActions Start(TimePoint now) {
    const auto known = memory_.find(submission_.key);
    if (known != memory_.end()) {
      return {AnswerCaller{known->second, true}};
    }
    return Send(now);
  }
  LedgerActions OnNotSent(TimePoint now) { return OnConnectionLost(now); }
  LedgerActions OnConnectionLost(TimePoint now) {
    return done_ || ++failures_ == 3 ? Refuse("the connection failed") : Send(now);
  }
  LedgerActions OnAnswer(const RequestId&, std::uint32_t, CallAnswer answer, TimePoint) {
    if (done_) {
      return {};
    }
    done_ = true;
    memory_[submission_.key] = answer;
    return {AnswerCaller{answer, false}};
  }
  LedgerActions Tick(TimePoint now) {
    return now >= timeout_ ? Refuse("the upstream did not answer") : LedgerActions{};
  }
  LedgerActions OnCallerDisconnected(TimePoint) { return {}; }
  std::optional<TimePoint> NextDeadline() const {
    return done_ || timeout_ == TimePoint{} ? std::nullopt : std::optional(timeout_);
  }

  // The naive call uses no store.
  template <typename... Ignored>
  LedgerActions OnRead(const Ignored&...) {
    return {};
  }
  template <typename... Ignored>
  LedgerActions OnWrite(const Ignored&...) {
    return {};
  }
  template <typename... Ignored>
  LedgerActions OnObjectPut(const Ignored&...) {
    return {};
  }
  template <typename... Ignored>
  LedgerActions OnObjectRead(const Ignored&...) {
    return {};
  }
  template <typename... Ignored>
  LedgerActions OnHolderState(const Ignored&...) {
    return {};
  }

 private:
  using Answers = std::map<std::string, CallAnswer>;
  static std::map<std::string, Answers>& Memory() {
    static std::map<std::string, Answers> memory;
    return memory;
  }

  LedgerActions Send(TimePoint now) {
    timeout_ = now + submission_.answer_timeout;
    return {SendCall{submission_.upstream, submission_.request, 1, TimePoint::max()}};
  }
  LedgerActions Refuse(const std::string& message) {
    if (done_) {
      return {};
    }
    done_ = true;
    return {RefuseCaller{{ErrorCode::kUpstreamFailed, message, Ran::kNo}}};
  }

  Answers& memory_;
  CallSubmission submission_;
  TimePoint timeout_{};
  int failures_ = 0;
  bool done_ = false;
};

}  // namespace

TEST_CASE("A non-idempotent call runs at most once and is never falsely \"not run\" under faults") {
  std::size_t refusals = 0;
  std::size_t settlements = 0;
  std::array<int, 3> by_ran{};
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    LedgerSim<LedgerCall> sim(seed);
    sim.Run();
    INFO("seed " << seed);
    CHECK(sim.DuplicateRuns() == 0);
    CHECK(sim.FalseNotRun() == 0);
    CHECK(sim.WrongAnswers() == 0);
    CHECK(sim.Unanswered() == 0);
    refusals += sim.refusals();
    settlements += sim.settlements();
    for (std::size_t i = 0; i < by_ran.size(); ++i) {
      by_ran[i] += sim.refusals_by_ran()[i];
    }
  }
  // Checks that the schedules cover the cases under test.
  INFO("refusals " << refusals << ": no " << by_ran[0] << ", yes " << by_ran[1] << ", unknown "
                   << by_ran[2] << "; settlements " << settlements);
  CHECK(by_ran[0] > 100);
  CHECK(settlements > 100);
}

TEST_CASE("Without a ledger, a call runs twice at seed 1 and is falsely \"not run\" at seed 7") {
  NaiveCall::ClearMemory();
  LedgerSim<NaiveCall> twice(1);
  twice.Run();
  CHECK(twice.DuplicateRuns() > 0);
  NaiveCall::ClearMemory();
  LedgerSim<NaiveCall> refused(7);
  refused.Run();
  CHECK(refused.FalseNotRun() > 0);
}
