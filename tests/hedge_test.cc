// Second attempts of requests whose first one is slow.

#include <algorithm>
#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "hedging/hedge_policy.h"
#include "relay_fixture.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr double kShare = 0.05;

// Requests at a service without a network: each takes a time by the upstream that it is sent to,
// and a second attempt goes to another upstream. Three in ten seconds of load are replayed.
struct Replay {
  double slow_share = 0;  // of the requests that meet a slow upstream
  Duration slow_time = milliseconds(300);
  double load = 0.2;  // requests at the upstreams for each slot
  double hedge_share = kShare;

  struct Result {
    Duration ninety_ninth{};
    double extra = 0;  // second attempts for each request
  };

  Result Run() const {
    HedgePolicy policy(hedge_share);
    std::mt19937 random(3);
    std::uniform_real_distribution<double> draw(0, 1);
    const auto attempt = [&] {
      const auto time = milliseconds(20 + static_cast<int>(draw(random) * 20));
      return draw(random) < slow_share ? slow_time : Duration(time);
    };
    std::vector<Duration> times;
    int extra = 0;
    constexpr int kRequests = 3000;
    for (int i = 0; i < kRequests; ++i) {
      const TimePoint now = kStart + milliseconds(10) * i;
      policy.OnRequest(now);
      Duration time = attempt();
      const auto delay = policy.Delay(now);
      if (delay && *delay < time && policy.TryStart(load, now) == HedgeOutcome::kStarted) {
        ++extra;
        time = std::min<Duration>(time, *delay + attempt());
      }
      policy.OnAnswer(time, now);
      times.push_back(time);
    }
    std::sort(times.begin(), times.end());
    return {times[times.size() * 99 / 100], static_cast<double>(extra) / kRequests};
  }
};

}  // namespace

TEST_CASE("Second attempts cut the slowest answers within a limit") {
  Replay replay;
  SECTION("of one slow upstream of thirty") {
    replay.slow_share = 0.03;
    const auto hedged = replay.Run();
    replay.hedge_share = 0;
    const auto plain = replay.Run();
    CHECK(plain.ninety_ninth == replay.slow_time);
    CHECK(hedged.ninety_ninth < replay.slow_time / 2);
    CHECK(hedged.extra <= kShare + 0.01);
    CHECK(plain.extra == 0);
  }
  SECTION("hardly any in calm, as none gains much") {
    CHECK(replay.Run().extra <= kShare + 0.01);
  }
  SECTION("no more if all upstreams are slow") {
    replay.slow_share = 1;
    CHECK(replay.Run().extra <= kShare + 0.01);
  }
  SECTION("none while slots are short") {
    replay.slow_share = 0.03;
    replay.load = 0.9;
    CHECK(replay.Run().extra == 0);
  }
}

TEST_CASE("Second attempts of a relay") {
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  RelayLimits limits = RelayFixture::Limits();
  limits.hedge_share = 1;
  fixture.relay.SetLimits(limits);
  bool slow = false;
  Duration time = milliseconds(300);
  const auto answer = [&](const auto& caller, CallerRequest request) {
    if (!slow || fixture.relay.upstreams().all().empty()) {
      FakeUpstream::Succeed(caller, request);
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(fixture.io, time);
    timer->async_wait([timer, caller, request = std::move(request)](const auto&) {
      FakeUpstream::Succeed(caller, request);
    });
    slow = false;  // the next one answers at once
  };
  FakeUpstream& first = fixture.AddUpstream("up-1", answer);
  FakeUpstream& second = fixture.AddUpstream("up-2", answer);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(fixture.SendAndWait(RelayFixture::Request("/read/x")).status == 200);
  }
  const auto sent = [&] { return first.requests().size() + second.requests().size(); };
  const auto count = [&](const char* outcome) {
    return fixture.metrics.Value(Counter::kHedges, outcome);
  };
  const std::size_t before = sent();
  slow = true;

  SECTION("answer a slow request, and the first attempt is cancelled") {
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/read/x"));
    CHECK(response.status == 200);
    CHECK(response.body == "result");
    CHECK(sent() == before + 2);
    CHECK(count("won") == 1);
    SECTION("whose late answer reaches nobody") {
      fixture.RunFor(milliseconds(400), [] { return false; });
      CHECK(fixture.SendAndWait(RelayFixture::Request("/read/x")).body == "result");
      CHECK(fixture.relay.upstreams().Find("up-1")->own_load == 0);
      CHECK(fixture.relay.upstreams().Find("up-2")->own_load == 0);
    }
  }
  SECTION("are not made for work that runs at most once, and not for streams") {
    const std::string path = GENERATE("/book/x", "/chat/x");
    CHECK(fixture.SendAndWait(RelayFixture::Request(path)).status == 200);
    CHECK(sent() == before + 1);
  }
  SECTION("are not made while slots are short") {
    for (const char* id : {"up-1", "up-2"}) {
      fixture.relay.upstreams().Find(id)->average_load = 8;
    }
    CHECK(fixture.SendAndWait(RelayFixture::Request("/read/x")).status == 200);
    CHECK(sent() == before + 1);
    CHECK(count("withheld_short") == 1);
  }
  SECTION("take the place of a first attempt that fails") {
    time = seconds(4);
    CallerResponse response;
    const auto caller = fixture.Send(RelayFixture::Request("/read/x"), response);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(response.status == 200);
  }
  SECTION("end with their caller") {
    slow = true;
    CallerResponse response;
    const auto caller = fixture.Send(RelayFixture::Request("/read/x"), response);
    fixture.RunUntil([&] { return sent() == before + 1; });
    caller->Close();
    fixture.RunFor(milliseconds(100), [] { return false; });
    CHECK(fixture.relay.upstreams().Find("up-1")->own_load == 0);
    CHECK(fixture.relay.upstreams().Find("up-2")->own_load == 0);
  }
}

}  // namespace chiverail
