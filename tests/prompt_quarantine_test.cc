#include "prompt_quarantine.h"

#include <random>

#include <catch2/catch.hpp>

#include "exchange_fleet.h"

namespace chiverail {
namespace {

using Segments = std::vector<SegmentHash>;

constexpr SegmentHash kDeadly = 666;
constexpr SegmentHash kShared = 1;
constexpr SegmentHash kOther = 2;
constexpr TimePoint kStart = TimePoint(seconds(1000));

// A quarantine in virtual time, and the upstreams that end under it.
struct Observer {
  PromptQuarantine quarantine{7};
  TimePoint now = kStart;
  std::uint32_t next_upstream = 100;

  void Wait(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += std::min<Duration>(milliseconds(250), end - now);
      quarantine.Update(now);
    }
  }
  void End(const Segments& segments) {
    quarantine.OnUpstreamEnded(next_upstream++, segments, now, now);
  }
  void Begin(const Segments& segments) { quarantine.OnBegun(segments, now); }
  bool Holds(const Segments& segments, bool owns_trial = false) {
    return quarantine
        .Check(
            segments, [&](SegmentHash) { return owns_trial; }, now)
        .held;
  }
};

void MergeInto(PromptQuarantine& to, const PromptQuarantine& from, TimePoint now) {
  to.Merge(from.News(now), now);
}

}  // namespace

TEST_CASE("A segment under which upstreams end again and again is held") {
  Observer observer;

  SECTION("while the segments that it shares its prompts with are answered") {
    for (int i = 0; i < 3; ++i) {
      observer.Begin({kShared});
      observer.Wait(milliseconds(700));
      observer.End({kShared, kDeadly});
      CHECK_FALSE(observer.Holds({kDeadly}));
      observer.Wait(milliseconds(300));
    }
    observer.Begin({kShared});
    observer.Wait(seconds(1));
    CHECK(observer.Holds({kOther, kDeadly}));
    CHECK_FALSE(observer.Holds({kShared, kOther}));
  }
  SECTION("also if answers of its other segments are seen only afterwards") {
    observer.Begin({kShared});
    for (int i = 0; i < 5; ++i) {
      observer.Wait(milliseconds(400));
      observer.End({kShared, kDeadly});
    }
    observer.Wait(seconds(1));
    CHECK(observer.Holds({kDeadly}));
    CHECK_FALSE(observer.Holds({kShared}));
  }
  SECTION("also if it was answered before, after more ends") {
    observer.Begin({kDeadly});
    for (int i = 0; i < 5; ++i) {
      CHECK_FALSE(observer.Holds({kDeadly}));
      observer.Wait(seconds(1));
      observer.End({kDeadly});
    }
    observer.Wait(seconds(1));
    CHECK(observer.Holds({kDeadly}));
  }
  SECTION("also if its requests come seldom") {
    for (int i = 0; i < 3; ++i) {
      observer.Wait(seconds(40));
      observer.Begin({kShared});
      observer.End({kShared, kDeadly});
    }
    observer.Begin({kShared});
    observer.Wait(seconds(1));
    CHECK(observer.Holds({kDeadly}));
    CHECK_FALSE(observer.Holds({kShared}));
  }
  SECTION("and so is a second one, at the same time") {
    for (int i = 0; i < 3; ++i) {
      observer.Wait(milliseconds(300));
      observer.End({kShared, kDeadly});
      observer.Wait(milliseconds(300));
      observer.End({kShared, kOther});
      observer.Begin({kShared});
    }
    observer.Wait(seconds(1));
    CHECK(observer.Holds({kDeadly}));
    CHECK(observer.Holds({kOther}));
    CHECK_FALSE(observer.Holds({kShared}));
  }
  SECTION("and a request under it is not sent again") {
    CHECK_FALSE(observer.quarantine.IsSuspect({kShared, kDeadly}));
    observer.Begin({kShared});
    observer.End({kShared, kDeadly});
    CHECK(observer.quarantine.IsSuspect({kShared, kDeadly}));
    CHECK_FALSE(observer.quarantine.IsSuspect({kShared, kOther}));
  }
}

// Guards against sound requests that are refused because upstreams ended for other reasons.
TEST_CASE("Ends of upstreams for other reasons hold no segment") {
  Observer observer;

  SECTION("many at once, three times") {
    for (int round = 0; round < 3; ++round) {
      for (SegmentHash i = 0; i < 40; ++i) {
        observer.End({kShared, 1000 + i % 20});
      }
      observer.Wait(milliseconds(200));
      for (SegmentHash i = 0; i < 20; ++i) {
        observer.Begin({kShared, 1000 + i});
      }
      observer.Wait(seconds(5));
    }
    CHECK(observer.quarantine.held() == 0);
  }
  SECTION("a rack, with a segment that is never answered") {
    for (int i = 0; i < 10; ++i) {
      observer.End({kOther});
      observer.now += milliseconds(5);
    }
    observer.Wait(seconds(5));
    CHECK_FALSE(observer.Holds({kOther}));
  }
  SECTION("the same upstream, seen again and again") {
    for (int i = 0; i < 20; ++i) {
      observer.quarantine.OnUpstreamEnded(5, {kOther}, observer.now, observer.now);
      observer.Wait(milliseconds(90));
    }
    observer.Wait(seconds(2));
    CHECK_FALSE(observer.Holds({kOther}));
  }
  SECTION("one in several minutes") {
    for (int i = 0; i < 20; ++i) {
      observer.End({kOther});
      observer.Wait(PromptQuarantine::kEvidenceTime / 2);
    }
    CHECK_FALSE(observer.Holds({kOther}));
  }
  SECTION("while requests with the segment are answered elsewhere") {
    for (int i = 0; i < 50; ++i) {
      observer.End({kShared});
      observer.Wait(milliseconds(500));
      observer.Begin({kShared});
    }
    CHECK_FALSE(observer.Holds({kShared}));
  }
}

TEST_CASE("A hold ends") {
  Observer observer;
  for (int i = 0; i < 3; ++i) {
    observer.End({kDeadly});
    observer.Wait(seconds(1));
  }
  REQUIRE(observer.Holds({kDeadly}, true));
  const Duration length = PromptQuarantine::kHoldTime;

  SECTION("with a trial, one request at a time and at one instance") {
    observer.Wait(length);
    CHECK(observer.Holds({kDeadly}, false));
    CHECK_FALSE(observer.Holds({kDeadly}, true));
    CHECK(observer.Holds({kDeadly}, true));
    SECTION("that is answered") {
      observer.Begin({kDeadly});
      CHECK_FALSE(observer.Holds({kDeadly}));
    }
    SECTION("or that ends an upstream, and then it lasts twice as long") {
      observer.End({kDeadly});
      observer.Wait(length + seconds(5));
      CHECK(observer.Holds({kDeadly}, true));
      observer.Wait(length);
      CHECK_FALSE(observer.Holds({kDeadly}, true));
    }
  }
  SECTION("if another instance tells of an answer") {
    PromptQuarantine other(8);
    MergeInto(other, observer.quarantine, observer.now);
    observer.Wait(seconds(1));
    other.OnBegun({kDeadly}, observer.now);
    MergeInto(observer.quarantine, other, observer.now + milliseconds(20));
    CHECK_FALSE(observer.Holds({kDeadly}));
    // Nor does an instance that has not heard of it bring it back.
    PromptQuarantine late(9);
    late.Merge({{}, {}, {{kDeadly, seconds(3), 0}}}, observer.now);
    MergeInto(observer.quarantine, late, observer.now);
    CHECK_FALSE(observer.Holds({kDeadly}));
  }
  SECTION("if nobody asks for the segment for long") {
    observer.Wait(PromptQuarantine::kEvidenceTime + seconds(1));
    CHECK(observer.quarantine.held() == 0);
  }
  SECTION("and is not prolonged by what instances tell each other") {
    PromptQuarantine other(8);
    const auto rounds = PromptQuarantine::kEvidenceTime / milliseconds(200);
    for (int i = 0; i < rounds; ++i) {
      MergeInto(other, observer.quarantine, observer.now);
      observer.now += milliseconds(100);
      MergeInto(observer.quarantine, other, observer.now);
      observer.now += milliseconds(100);
      observer.quarantine.Update(observer.now);
      other.Update(observer.now);
    }
    CHECK(observer.quarantine.held() == 0);
  }
}

// Guards against one end that counts several times because several instances see it, or because
// they hear of it twice, late or out of order.
TEST_CASE("Evidence is merged without counting an end twice") {
  PromptQuarantine a(1);
  PromptQuarantine b(2);
  PromptQuarantine c(3);
  TimePoint now = kStart;
  const auto update = [&] {
    for (PromptQuarantine* quarantine : {&a, &b, &c}) {
      quarantine->Update(now);
    }
  };

  SECTION("one end seen by all, told again and again") {
    for (const std::uint32_t upstream : {5u, 6u}) {
      a.OnUpstreamEnded(upstream, {kDeadly, kOther}, now, now);
      b.OnUpstreamEnded(upstream, {kDeadly}, now + milliseconds(30), now + milliseconds(40));
      c.OnUpstreamEnded(upstream, {kDeadly}, now + milliseconds(900), now + milliseconds(950));
      now += seconds(1);
      for (int i = 0; i < 20; ++i) {
        now += milliseconds(50);
        MergeInto(b, a, now);
        MergeInto(c, b, now);
        MergeInto(a, c, now);
        update();
      }
    }
    CHECK(a.held() + b.held() + c.held() == 0);
  }
  SECTION("ends spread over instances that see one each") {
    a.OnUpstreamEnded(5, {kDeadly}, now, now);
    b.OnUpstreamEnded(6, {kDeadly}, now + seconds(1), now + seconds(1));
    c.OnUpstreamEnded(7, {kDeadly}, now + seconds(2), now + seconds(2));
    now += seconds(2);
    MergeInto(a, c, now);
    MergeInto(a, b, now);
    MergeInto(b, a, now);
    MergeInto(c, a, now);
    now += PromptQuarantine::kSettleTime;
    update();
    CHECK(a.held() == 1);
    CHECK(b.held() == 1);
    CHECK(c.held() == 1);
  }
  SECTION("a message that was held up for seconds, before and after the same one in time") {
    a.OnUpstreamEnded(5, {kDeadly}, now, now);
    a.OnUpstreamEnded(6, {kDeadly}, now + seconds(1), now + seconds(1));
    now += seconds(1);
    const QuarantineNews old = a.News(now);
    MergeInto(b, a, now);
    c.Merge(old, now + seconds(5));
    MergeInto(c, a, now + seconds(5));
    b.Merge(old, now + seconds(5));
    now += seconds(6);
    MergeInto(a, b, now);
    MergeInto(a, c, now);
    update();
    CHECK(a.held() + b.held() + c.held() == 0);
    CHECK(c.reports() == 2);
  }
  SECTION("an answer that another instance has seen clears the segment") {
    for (const std::uint32_t upstream : {5u, 6u, 7u}) {
      now += seconds(1);
      a.OnUpstreamEnded(upstream, {kShared}, now, now);
    }
    now += milliseconds(300);
    MergeInto(b, a, now);
    b.OnBegun({kShared}, now);
    now += milliseconds(300);
    MergeInto(a, b, now);
    now += seconds(1);
    update();
    CHECK(a.held() == 0);
  }
}

// Guards against memory that grows with what callers send, and made-up segments that displace the
// evidence against a deadly one.
TEST_CASE("What an instance tells can be told at any time") {
  Observer observer;
  observer.Begin({kShared});
  observer.Wait(std::chrono::hours(1));
  for (int i = 0; i < 3; ++i) {
    observer.End({kShared, kDeadly});
    observer.Wait(seconds(1));
  }
  for (int minutes = 0; minutes < 10; ++minutes) {
    HubForward forward;
    forward.hub.instance = "a";
    forward.hub.data_centre = "west";
    forward.hub.peer_address = "10.0.0.1:7000";
    forward.quarantine = observer.quarantine.News(observer.now);
    const auto decoded = DecodeFleetMessage(EncodeFleetMessage(forward), {});
    CHECK(std::holds_alternative<FleetMessage>(decoded));
    observer.Wait(seconds(60));
  }
}

TEST_CASE("The memory for evidence is bounded") {
  Observer observer;
  observer.End({kDeadly});
  observer.Wait(seconds(1));
  observer.End({kDeadly});
  for (SegmentHash i = 0; i < 3000; ++i) {
    Segments made_up;
    for (SegmentHash j = 0; j < 100; ++j) {
      made_up.push_back(10'000 + i * 100 + j);
    }
    observer.End(made_up);
    observer.Begin({1'000'000 + i, 2'000'000 + i, 3'000'000 + i});
  }
  CHECK(observer.quarantine.reports() <= PromptQuarantine::kMaxReports);
  observer.Wait(seconds(1));
  observer.End({kDeadly});
  observer.Wait(seconds(1));
  CHECK(observer.Holds({kDeadly}));
  CHECK(observer.quarantine.held() == 1);
  const QuarantineNews news = observer.quarantine.News(observer.now);
  CHECK(news.crashes.size() <= 24);
}

// Guards against an instance that sends on what the others hold: the ends are spread over the
// fleet, no two instances see the same.
TEST_CASE("The whole fleet holds a deadly segment within three seconds") {
  const int instances = GENERATE(13, 60);
  ExchangeFleet fleet(instances, 3, 4);
  fleet.loss = GENERATE(0.0, 0.1);
  fleet.StartAll();
  fleet.Run(seconds(4));
  const auto held = [&] {
    return std::count_if(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
      return node.exchange && node.quarantine->held() == 1;
    });
  };
  const auto end_at = [&](std::size_t node, std::uint32_t upstream) {
    fleet.nodes[node].quarantine->OnUpstreamEnded(upstream, {kShared, kDeadly}, fleet.now(),
                                                  fleet.now());
    for (const auto& other : fleet.nodes) {
      if (other.exchange) {
        other.quarantine->OnBegun({kShared}, fleet.now());
      }
    }
    fleet.Run(milliseconds(700));
  };

  SECTION("in a calm fleet, and an instance that starts afterwards") {
    end_at(2, 100);
    end_at(5, 101);
    end_at(9, 102);
    const TimePoint limit = fleet.now() - milliseconds(700) + seconds(3);
    while (fleet.now() < limit && held() < instances) {
      fleet.Run(milliseconds(50));
    }
    CHECK(held() == instances);
    fleet.Kill(7);
    fleet.Run(seconds(1));
    fleet.Start(7);
    fleet.Run(seconds(1));
    CHECK(held() == instances);
  }
  SECTION("while a hub is killed") {
    end_at(2, 100);
    end_at(5, 101);
    fleet.Kill(fleet.HubOf("dc1"));
    end_at(11, 102);
    fleet.Run(milliseconds(2300));
    CHECK(held() == instances - 1);
  }
}

}  // namespace chiverail
