#include "upstream_set.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

UpstreamEntry Entry(const std::string& id, std::int64_t started_ms = 1) {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = "engines";
  entry.address = "10.0.0.1:80";
  entry.data_centre = "west";
  entry.slots = 8;
  entry.started_ms = started_ms;
  return entry;
}

std::size_t UsableCount(UpstreamSet& upstreams, TimePoint now) {
  return upstreams.Usable("engines", now).size();
}

}  // namespace

TEST_CASE("Upstreams follow the platform's list") {
  UpstreamSet upstreams;
  upstreams.Apply(Entry("a"), kStart);
  REQUIRE(UsableCount(upstreams, kStart) == 1);

  SECTION("a draining one gets no new work, and an older entry doesn't undo that") {
    UpstreamEntry draining = Entry("a");
    draining.draining = true;
    upstreams.Apply(draining, kStart);
    CHECK(UsableCount(upstreams, kStart) == 0);
    upstreams.Apply(Entry("a"), kStart);
    CHECK(UsableCount(upstreams, kStart) == 0);
    SECTION("until it has started again under its id") {
      upstreams.Apply(Entry("a", 2), kStart);
      CHECK(UsableCount(upstreams, kStart) == 1);
      upstreams.Apply(draining, kStart);
      CHECK(UsableCount(upstreams, kStart) == 1);
    }
  }
  SECTION("one that is gone stays known while it holds requests") {
    upstreams.Find("a")->own_load = 1;
    upstreams.Remove("a", kStart);
    CHECK(UsableCount(upstreams, kStart) == 0);
    REQUIRE(upstreams.Find("a") != nullptr);
    upstreams.Find("a")->own_load = 0;
    upstreams.Expire(kStart);
    CHECK(upstreams.Find("a") == nullptr);
  }
  SECTION("one that is missing in a new listing is gone") {
    upstreams.Replace({Entry("b")}, kStart);
    CHECK(upstreams.Find("a") == nullptr);
    CHECK(upstreams.Find("b") != nullptr);
  }
  SECTION("those of a data centre that was taken out get nothing") {
    upstreams.SetDataCentresOut({"west"});
    CHECK(UsableCount(upstreams, kStart) == 0);
  }
}

// Live upstreams lose their entries while the list is away; dropping them at its return would leave
// a service without upstreams for two seconds.
TEST_CASE("Entries that lapsed in an outage of the list are waited for") {
  UpstreamSet upstreams;
  upstreams.Apply(Entry("a"), kStart);
  upstreams.OnListAnswered(kStart, kStart);
  const TimePoint back = kStart + seconds(5);
  upstreams.OnListAnswered(back, back);
  upstreams.Remove("a", back);
  upstreams.Expire(back);
  CHECK(UsableCount(upstreams, back) == 1);

  SECTION("one that is written again stays") {
    upstreams.Apply(Entry("a"), back + seconds(1));
    upstreams.Expire(back + kLapseGrace);
    CHECK(UsableCount(upstreams, back + kLapseGrace) == 1);
  }
  SECTION("one that is still missing is gone") {
    upstreams.Expire(back + kLapseGrace);
    CHECK(UsableCount(upstreams, back + kLapseGrace) == 0);
  }
  // cdsaa-rail trouble-1, DRAIN: the store turned some instances away while it served the
  // upstreams; what was removed meanwhile was taken for lapsed and used for another four seconds.
  SECTION("but not when the list was only lost for a moment, or another way to it was found") {
    TimePoint now = back + seconds(10);
    upstreams.Apply(Entry("c"), now);
    for (int i = 0; i < 10; ++i) {
      now += seconds(2);
      upstreams.OnListAnswered(now, now);
    }
    upstreams.Remove("c", now);
    CHECK(upstreams.Find("c") == nullptr);
  }
  SECTION("on a calm day a removal counts at once") {
    const TimePoint later = back + seconds(10);
    upstreams.Apply(Entry("b"), later);
    upstreams.Remove("b", later);
    CHECK(upstreams.Find("b") == nullptr);
  }
}

TEST_CASE("An upstream that can't be reached is avoided for a while") {
  UpstreamSet upstreams;
  upstreams.Apply(Entry("a"), kStart);
  KnownUpstream& upstream = *upstreams.Find("a");
  upstreams.OnConnectFailed(upstream, seconds(3), kStart);
  CHECK(UsableCount(upstreams, kStart) == 0);

  SECTION("longer after each failure in a row") {
    const TimePoint first = upstream.avoid_until;
    upstreams.OnConnectFailed(upstream, seconds(3), first);
    CHECK(upstream.avoid_until - first > first - kStart);
  }
  SECTION("and taken for cold when it comes back, since it may have restarted") {
    CHECK(upstream.cold_until >= upstream.avoid_until + seconds(3));
  }
  SECTION("a failure rate fades, so that it is tried again") {
    for (int i = 0; i < 20; ++i) {
      upstreams.OnAnswer(upstream, true, kStart);
    }
    CHECK(FailureRate(upstream, kStart) > 0.8);
    CHECK(FailureRate(upstream, kStart + seconds(20)) < 0.1);
  }
}

}  // namespace chiverail
