#include "graceful_shutdown.h"

#include <map>

#include <catch2/catch.hpp>

#include "fake_platform.h"

using namespace chiverail;

namespace {

template <typename Action>
bool Has(const ShutdownActions& actions) {
  for (const ShutdownAction& action : actions) {
    if (std::holds_alternative<Action>(action)) {
      return true;
    }
  }
  return false;
}

// Outcome of one planned stop for the callers.
struct StopReport {
  int refused = 0;      // requests to a valid cached address that found the listener closed
  int cut_streams = 0;  // streams still open when the process ended
  bool exited = false;
};

// Simulates a planned stop with callers that cache an address for 30 s and streams of up to 120 s.
// Other instances receive the leaving mark within 7 s of its write, and the table may be down at
// first. The naive version closes its listener first.
StopReport SimulateStop(std::uint64_t seed, bool naive) {
  Jitter random(seed);
  const auto up_to = [&](Duration limit) { return random.UpTo(limit); };
  constexpr Duration kTtl = seconds(30);
  constexpr Duration kMarkDelay = seconds(7);
  GracefulShutdown drain({kTtl + kMarkDelay + seconds(1), Duration(0)});
  const TimePoint signal = TimePoint(seconds(100) + up_to(seconds(1)));
  const TimePoint marked = signal + (random.Below(3) == 0 ? up_to(seconds(60)) : milliseconds(20));
  const TimePoint mark_seen = marked + up_to(kMarkDelay);
  std::multimap<TimePoint, TimePoint> arrivals;  // arrival time to end of the stream
  for (int i = 0; i < 60; ++i) {
    const TimePoint located =
        TimePoint(seconds(60) + up_to(mark_seen.time_since_epoch() - seconds(60)));
    const TimePoint arrives = located + up_to(kTtl);
    arrivals.emplace(arrives, arrives + up_to(seconds(120)));
  }
  StopReport report;
  std::multiset<TimePoint> open;
  for (TimePoint now = TimePoint(seconds(60)); !report.exited && now < TimePoint(seconds(500));
       now += milliseconds(50)) {
    open.erase(open.begin(), open.upper_bound(now));
    for (; !arrivals.empty() && arrivals.begin()->first <= now; arrivals.erase(arrivals.begin())) {
      const bool accepts = naive ? now < signal : drain.AcceptsWork();
      report.refused += accepts ? 0 : 1;
      if (accepts) {
        open.insert(arrivals.begin()->second);
      }
    }
    ShutdownActions actions = drain.OnOpenStreams(static_cast<std::uint32_t>(open.size()), now);
    if (now >= signal && drain.step() == ShutdownStep::kServing) {
      drain.OnSignal(now);
    }
    if (now >= marked) {
      drain.OnMarkedLeaving(now);
    }
    const ShutdownActions more = drain.Tick(now);
    actions.insert(actions.end(), more.begin(), more.end());
    if (Has<HandOverEngines>(actions)) {
      drain.OnHandedOver(now);
    }
    if (drain.step() == ShutdownStep::kReleasing) {
      drain.OnReleased(now);
    }
    report.exited = drain.step() == ShutdownStep::kExited;
  }
  report.cut_streams = static_cast<int>(open.size());
  report.refused += static_cast<int>(arrivals.size());
  return report;
}

}  // namespace

// Guards against a planned stop that refuses or cuts a request.
TEST_CASE("A graceful shutdown") {
  const TimePoint start = TimePoint(seconds(10));
  GracefulShutdown drain({seconds(30), Duration(0)});
  CHECK(drain.IsLocatable());
  drain.OnOpenStreams(2, start);
  CHECK(Has<MarkLeaving>(drain.OnSignal(start)));
  CHECK_FALSE(drain.IsLocatable());
  CHECK(drain.AcceptsWork());

  SECTION("accepts until the accept time after the mark has passed, then finishes every stream") {
    drain.Tick(start + seconds(300));
    CHECK(drain.AcceptsWork());
    drain.OnMarkedLeaving(start + seconds(300));
    CHECK(drain.NextWake() == start + seconds(330));
    CHECK(Has<StopAccepting>(drain.Tick(start + seconds(330))));
    CHECK(drain.NextWake() == TimePoint::max());
    drain.Tick(start + seconds(9000));
    CHECK(drain.step() == ShutdownStep::kFinishing);
    CHECK(Has<HandOverEngines>(drain.OnOpenStreams(0, start + seconds(9001))));
    CHECK(Has<ReleaseLease>(drain.OnHandedOver(start + seconds(9002))));
    CHECK(Has<ExitProcess>(drain.OnReleased(start + seconds(9003))));
    CHECK(drain.cut_streams() == 0);
  }

  SECTION("a second signal cuts, but still hands over and releases") {
    const ShutdownActions actions = drain.OnSignal(start + seconds(1));
    CHECK(Has<StopAccepting>(actions));
    CHECK(Has<CutStreams>(actions));
    CHECK(Has<HandOverEngines>(actions));
    CHECK(drain.cut_streams() == 2);
  }

  SECTION("exits without an answer to the release once the lease has lapsed") {
    drain.OnSignal(start + seconds(1));
    drain.Tick(start + seconds(1) + kHandoverTimeout);
    CHECK(Has<ExitProcess>(drain.Tick(start + seconds(1) + kHandoverTimeout + kReleaseTimeout)));
  }

  SECTION("cuts at the deadline when one is set") {
    GracefulShutdown limited({seconds(30), seconds(60)});
    limited.OnOpenStreams(1, start);
    limited.OnSignal(start);
    CHECK_FALSE(Has<CutStreams>(limited.Tick(start + seconds(59))));
    CHECK(Has<CutStreams>(limited.Tick(start + seconds(60))));
  }

  SECTION("no schedule refuses or cuts a caller, unlike a listener that closes first") {
    constexpr std::uint64_t kNaiveStopSeed = 0;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      const StopReport report = SimulateStop(seed, false);
      INFO("seed " << seed);
      CHECK(report.exited);
      CHECK(report.refused + report.cut_streams == 0);
    }
    CHECK(SimulateStop(kNaiveStopSeed, true).refused > 0);
  }
}
