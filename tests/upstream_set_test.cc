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

  SECTION("a draining upstream gets no new requests, and an older entry does not change that") {
    UpstreamEntry draining = Entry("a");
    draining.draining = true;
    upstreams.Apply(draining, kStart);
    CHECK(UsableCount(upstreams, kStart) == 0);
    upstreams.Apply(Entry("a"), kStart);
    CHECK(UsableCount(upstreams, kStart) == 0);
    SECTION("until it has restarted under the same id") {
      upstreams.Apply(Entry("a", 2), kStart);
      CHECK(UsableCount(upstreams, kStart) == 1);
      upstreams.Apply(draining, kStart);
      CHECK(UsableCount(upstreams, kStart) == 1);
    }
  }
  SECTION("a removed upstream is kept while it has requests in progress") {
    upstreams.Find("a")->own_load = 1;
    upstreams.Remove("a", kStart);
    CHECK(UsableCount(upstreams, kStart) == 0);
    REQUIRE(upstreams.Find("a") != nullptr);
    upstreams.Find("a")->own_load = 0;
    upstreams.Expire(kStart);
    CHECK(upstreams.Find("a") == nullptr);
  }
  SECTION("an upstream that is missing in a complete listing is removed") {
    upstreams.Replace({Entry("b")}, kStart);
    CHECK(upstreams.Find("a") == nullptr);
    CHECK(upstreams.Find("b") != nullptr);
  }
  SECTION("upstreams of a data centre that was taken out of service get no requests") {
    upstreams.SetDataCentresOutOfService({"west"});
    CHECK(UsableCount(upstreams, kStart) == 0);
  }
}

// Guards against removing live upstreams after an outage of the list: their entries lapse during
// the outage, and dropping them at its end would leave a service without upstreams for two seconds.
TEST_CASE("Upstreams whose entries lapsed in an outage of the list are kept for a grace period") {
  UpstreamSet upstreams;
  upstreams.Apply(Entry("a"), kStart);
  upstreams.OnListRead(kStart, kStart);
  const TimePoint recovered = kStart + seconds(5);
  upstreams.OnListRead(recovered, recovered);
  upstreams.Remove("a", recovered);
  upstreams.Expire(recovered);
  CHECK(UsableCount(upstreams, recovered) == 1);

  SECTION("an upstream whose entry is written again is kept") {
    upstreams.Apply(Entry("a"), recovered + seconds(1));
    upstreams.Expire(recovered + kReregistrationGrace);
    CHECK(UsableCount(upstreams, recovered + kReregistrationGrace) == 1);
  }
  SECTION("an upstream whose entry is still missing is removed") {
    upstreams.Expire(recovered + kReregistrationGrace);
    CHECK(UsableCount(upstreams, recovered + kReregistrationGrace) == 0);
  }
  // Guards against a false outage (cdsaa-rail trouble-1, DRAIN): the store rejected some instances
  // while it served the upstreams. Entries removed meanwhile were treated as lapsed, and their
  // upstreams were used for another four seconds.
  SECTION("a removal takes effect at once if the list was read at short intervals") {
    TimePoint now = recovered + seconds(10);
    upstreams.Apply(Entry("c"), now);
    for (int i = 0; i < 10; ++i) {
      now += seconds(2);
      upstreams.OnListRead(now, now);
    }
    upstreams.Remove("c", now);
    CHECK(upstreams.Find("c") == nullptr);
  }
  // Guards against a false outage (cdsaa-rail, day store-refuses-while-workers-leave, DRAIN): the
  // store was silent toward one instance, which took its own gap for an outage of the list and sent
  // requests to an upstream that it had been told is gone.
  SECTION("a removal takes effect at once if only this instance could not read the list") {
    const TimePoint later = recovered + seconds(10);
    upstreams.OnListRead(later, later);
    upstreams.Apply(Entry("d"), later);
    upstreams.OnListSeen(later + seconds(2));
    const TimePoint back = later + seconds(4);
    upstreams.OnListRead(back, back);
    upstreams.Remove("d", back);
    CHECK(upstreams.Find("d") == nullptr);
  }
  SECTION("a removal takes effect at once after the grace period") {
    const TimePoint later = recovered + seconds(10);
    upstreams.Apply(Entry("b"), later);
    upstreams.Remove("b", later);
    CHECK(upstreams.Find("b") == nullptr);
  }
}

TEST_CASE("An unreachable upstream is not used during a back-off time") {
  UpstreamSet upstreams;
  upstreams.Apply(Entry("a"), kStart);
  UpstreamState& upstream = *upstreams.Find("a");
  upstreams.OnConnectFailed(upstream, seconds(3), kStart);
  CHECK(UsableCount(upstreams, kStart) == 0);

  SECTION("the back-off time grows with each failure in a row") {
    const TimePoint first = upstream.backoff_until;
    upstreams.OnConnectFailed(upstream, seconds(3), first);
    CHECK(upstream.backoff_until - first > first - kStart);
  }
  SECTION("afterwards it is treated as cold, since it may have restarted") {
    CHECK(upstream.cold_until >= upstream.backoff_until + seconds(3));
  }
  SECTION("its failure rate decays, so that it is tried again") {
    for (int i = 0; i < 20; ++i) {
      upstreams.OnAnswer(upstream, true, kStart);
    }
    CHECK(FailureRate(upstream, kStart) > 0.8);
    CHECK(FailureRate(upstream, kStart + seconds(20)) < 0.1);
  }
}

}  // namespace chiverail
