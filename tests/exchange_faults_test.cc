#include <catch2/catch.hpp>

#include "exchange_sim.h"

using namespace chiverail;

namespace {

constexpr std::uint64_t kSeeds = 1000;

// Reproduces common gateway behaviour: attributes the data on a connection to the request sent on
// it, treats the end of the connection as the end of the answer, and reports a timeout as "not
// run". Used to check that the simulation detects these faults.
class NaiveExchange {
 public:
  NaiveExchange(const ExchangeRequest& request, const ExchangeLimits& limits)
      : request_(request), limits_(limits), offset_(request.resume_offset) {}

  ExchangeActions Start(TimePoint) { return {SelectUpstream{1, false, {}}}; }
  ExchangeActions OnUpstream(std::uint32_t, const UpstreamId& engine, TimePoint now) {
    deadline_ = now + limits_.first_byte;
    return {OpenLink{1, engine, request_.request, 1, offset_ > 0, offset_}};
  }
  ExchangeActions OnHead(std::uint32_t, const RequestId&, std::uint32_t, TimePoint) {
    return {SendStart{request_.request, 1, SerializeResumeToken({"e0", request_.request, 1})}};
  }
  ExchangeActions OnText(std::uint32_t, std::uint64_t, const std::string& text, TimePoint now) {
    deadline_ = now + limits_.gap;
    const std::uint64_t offset = offset_;
    offset_ += text.size();
    return {SendText{offset, text}};
  }
  ExchangeActions OnEnd(std::uint32_t, const EndMark&, TimePoint now) {
    return OnLinkClosed(1, true, now);
  }
  ExchangeActions OnRefused(std::uint32_t, const RequestError&, bool, TimePoint now) {
    return Tick(now);
  }
  ExchangeActions OnLinkClosed(std::uint32_t, bool bytes_written, TimePoint now) {
    if (!bytes_written) {
      return Tick(now);
    }
    return std::exchange(done_, true) ? ExchangeActions{} : ExchangeActions{SendEnd{0}};
  }
  ExchangeActions OnCallerDisconnected(TimePoint) { return {}; }
  ExchangeActions Tick(TimePoint) {
    if (std::exchange(done_, true)) {
      return {};
    }
    return {SendError{{ErrorCode::kUpstreamFailed, "the engine did not answer", Ran::kNo}}};
  }
  std::optional<TimePoint> NextDeadline() const {
    return done_ || deadline_ == TimePoint{} ? std::nullopt : std::optional(deadline_);
  }

 private:
  ExchangeRequest request_;
  ExchangeLimits limits_;
  std::uint64_t offset_;
  TimePoint deadline_{};
  bool done_ = false;
};

}  // namespace

TEST_CASE("Each caller gets its own complete answer or a truthful error under faults") {
  int complete = 0;
  int errors = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    ExchangeSim<Exchange> sim(seed);
    sim.Run();
    INFO("seed " << seed);
    CHECK(sim.WrongAnswers() == 0);
    CHECK(sim.FalseNotRun() == 0);
    CHECK(sim.Unfinished() == 0);
    complete += sim.CompleteAnswers();
    errors += sim.Errors();
  }
  // Most answers must still be complete, and the schedules must cause enough errors for the test to
  // be meaningful.
  INFO("complete " << complete << ", errors " << errors);
  CHECK(complete > 9600);  // 80% of kSeeds runs with 12 requests each
  CHECK(errors > 100);
}

TEST_CASE(
    "Matching by connection gives wrong answers with seed 1 and a false \"not run\" with seed 0") {
  ExchangeSim<NaiveExchange> wrong_answers(1);
  wrong_answers.Run();
  CHECK(wrong_answers.WrongAnswers() > 0);
  ExchangeSim<NaiveExchange> false_not_run(0);
  false_not_run.Run();
  CHECK(false_not_run.FalseNotRun() > 0);
}
