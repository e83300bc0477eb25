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

// Guards against upstreams that are used again since a restored list shows them as they were
// (day restored-unwritten, DRAIN).
TEST_CASE("A list that comes back from an older copy undoes nothing that is known") {
  const auto entry = [](const std::string& id, std::uint64_t sequence, bool draining = false) {
    UpstreamEntry written = Entry(id);
    written.sequence = sequence;
    written.draining = draining;
    return written;
  };
  UpstreamSet upstreams;
  upstreams.Replace({entry("drains", 5), entry("gone", 5), entry("stays", 5)}, kStart);
  upstreams.Apply(entry("drains", 8, true), kStart + seconds(1));
  upstreams.Remove("gone", kStart + seconds(2));
  upstreams.Apply(entry("came", 1), kStart + seconds(2));
  const TimePoint restored = kStart + seconds(4);
  upstreams.OnListRestored(restored);
  upstreams.Replace({entry("drains", 6), entry("gone", 7), entry("stays", 6)}, restored);
  const auto usable = [&upstreams](const std::string& id, TimePoint now) {
    upstreams.Expire(now);
    for (const UpstreamState* upstream : upstreams.Usable("engines", now)) {
      if (upstream->entry.id == id) {
        return true;
      }
    }
    return false;
  };
  CHECK(usable("stays", restored));
  CHECK_FALSE(usable("drains", restored));
  CHECK_FALSE(usable("gone", restored));

  SECTION("an upstream that it lacks is kept until it has had time to write its entry again") {
    CHECK(usable("came", restored + kReregistrationGrace - milliseconds(1)));
    CHECK_FALSE(usable("came", restored + kReregistrationGrace));
  }
  SECTION("an upstream that is gone is used again once it has written its entry again") {
    upstreams.Apply(entry("gone", 8), restored + seconds(1));
    CHECK(usable("gone", restored + seconds(1)));
  }
  SECTION("or has started again") {
    UpstreamEntry started = Entry("gone", 2);
    upstreams.Apply(started, restored + seconds(1));
    CHECK(usable("gone", restored + seconds(1)));
  }
  SECTION("or is listed for longer than one that has ended") {
    CHECK_FALSE(usable("gone", restored + seconds(5)));
    CHECK(usable("gone", restored + seconds(6)));
  }
  SECTION("but not if its entry lapses") {
    upstreams.Remove("gone", restored + seconds(4));
    CHECK_FALSE(usable("gone", restored + seconds(7)));
  }
  SECTION("an entry of an earlier run changes nothing") {
    upstreams.Apply(Entry("gone", 0), restored + seconds(1));
    CHECK_FALSE(usable("gone", restored + seconds(1)));
  }
  SECTION("a second restore neither") {
    const TimePoint again = restored + seconds(3);
    upstreams.OnListRestored(again);
    upstreams.Replace({entry("drains", 6), entry("gone", 7), entry("stays", 6)}, again);
    CHECK_FALSE(usable("drains", again));
    CHECK_FALSE(usable("gone", again));
  }
}

// Guards against upstreams that are held back without a restore.
TEST_CASE("An upstream whose entry was removed is used again at once when it is listed") {
  UpstreamSet upstreams;
  upstreams.Apply(Entry("a"), kStart);
  upstreams.Remove("a", kStart);
  upstreams.Apply(Entry("a"), kStart + seconds(1));
  CHECK(UsableCount(upstreams, kStart + seconds(1)) == 1);
}

// Guards against an upstream that is used again after it has left, since the store performs one of
// its writes late (review/10, DRAIN), and against one that is used by an entry of a former run.
TEST_CASE("An entry that takes effect late brings no upstream back") {
  const auto entry = [](std::uint64_t sequence, std::int64_t started_ms = 5) {
    UpstreamEntry written = Entry("a", started_ms);
    written.sequence = sequence;
    return written;
  };
  UpstreamSet upstreams;
  TimePoint now = kStart;
  const auto pass = [&](Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(100);
      upstreams.OnListRead(now, now);
      upstreams.Expire(now);
    }
  };
  upstreams.OnListRead(now, now);
  upstreams.Replace({entry(10)}, now);
  pass(seconds(4));
  upstreams.Apply(entry(14), now);
  const auto usable = [&] { return UsableCount(upstreams, now) == 1; };
  REQUIRE(usable());

  SECTION("an older entry changes nothing while the upstream is listed") {
    UpstreamEntry late = entry(12);
    late.address = "10.0.0.2:80";
    upstreams.Apply(late, now);
    CHECK(upstreams.Find("a")->entry.address == "10.0.0.1:80");
    CHECK(upstreams.Find("a")->entry.sequence == 14);
  }
  SECTION("an upstream that has left is not used after an older entry") {
    upstreams.Remove("a", now);
    pass(milliseconds(1500));
    upstreams.Apply(entry(12), now);
    CHECK_FALSE(usable());
    pass(milliseconds(3700));  // it lapses
    CHECK_FALSE(usable());
    upstreams.Remove("a", now);
    pass(seconds(10));
    CHECK_FALSE(usable());
  }
  SECTION("nor after several, which take effect in their order") {
    upstreams.Remove("a", now);
    for (const std::uint64_t sequence : {11, 12, 13}) {
      pass(milliseconds(500));
      upstreams.Apply(entry(sequence), now);
      CHECK_FALSE(usable());
    }
  }
  SECTION("nor after its last one, which nobody has seen before it left") {
    upstreams.Remove("a", now);
    pass(milliseconds(1500));
    upstreams.Apply(entry(15), now);
    CHECK_FALSE(usable());
    SECTION("but one that writes on is used") {
      pass(milliseconds(1200));
      upstreams.Apply(entry(16), now);
      CHECK(usable());
    }
    SECTION("as is one that is still listed when an upstream that has ended would have lapsed") {
      pass(milliseconds(5900));
      CHECK_FALSE(usable());
      pass(milliseconds(200));
      CHECK(usable());
    }
  }
  SECTION("one that drains goes on draining, in its entries of before and after its removal") {
    UpstreamEntry draining = entry(15);
    draining.draining = true;
    upstreams.Apply(draining, now);
    upstreams.Apply(entry(14), now);
    CHECK_FALSE(usable());
    upstreams.Remove("a", now);
    pass(seconds(1));
    upstreams.Apply(entry(15), now);
    CHECK_FALSE(usable());
  }
  SECTION("one whose entry lapsed is back as soon as it writes on") {
    pass(milliseconds(3600));
    upstreams.Remove("a", now);
    pass(seconds(2));
    upstreams.Apply(entry(13), now);
    CHECK_FALSE(usable());
    upstreams.Remove("a", now);
    upstreams.Apply(entry(17), now);
    CHECK(usable());
  }
  SECTION("one that starts again is used at once") {
    upstreams.Remove("a", now);
    upstreams.Apply(entry(1, 6), now);
    CHECK(usable());
    SECTION("and an entry of the run before changes nothing") {
      upstreams.Apply(entry(15), now);
      CHECK(upstreams.Find("a")->entry.started_ms == 6);
      upstreams.Apply(entry(2, 6), now);
      pass(seconds(7));
      CHECK(upstreams.Find("a")->entry.started_ms == 6);
    }
    SECTION("nor after the new run has gone, too") {
      upstreams.Remove("a", now);
      upstreams.Apply(entry(15), now);
      CHECK_FALSE(usable());
    }
  }
  SECTION("one that starts again on a clock set back is used once it writes on") {
    upstreams.Apply(entry(1, 4), now);
    CHECK(upstreams.Find("a")->entry.started_ms == 5);
    pass(milliseconds(1200));
    upstreams.Apply(entry(2, 4), now);
    CHECK(upstreams.Find("a")->entry.started_ms == 4);
    SECTION("and a late entry of the run before, which seems to be newer, changes nothing") {
      upstreams.Apply(entry(13), now);
      CHECK(upstreams.Find("a")->entry.started_ms == 4);
    }
  }
}

// Guards against the same at an instance that has started after the upstream left, and so has
// nothing to compare a late entry with.
TEST_CASE("An instance that has started uses unknown upstreams only if they are new or write on") {
  UpstreamSet upstreams;
  upstreams.OnListRead(kStart, kStart);
  UpstreamEntry entry = Entry("a");
  entry.sequence = 40;
  TimePoint now = kStart + seconds(1);
  SECTION("within the time in which upstreams write their entries again, all are used") {
    upstreams.Apply(entry, now);
    CHECK(UsableCount(upstreams, now) == 1);
  }
  for (; now < kStart + seconds(4); now += milliseconds(100)) {
    upstreams.OnListRead(now, now);
  }
  // Its first writes may be late, too (day late-writes-while-workers-leave).
  SECTION("later, one that has just started is used at once") {
    entry.sequence = GENERATE(1, 5);
    upstreams.Apply(entry, now);
    CHECK(UsableCount(upstreams, now) == 1);
  }
  SECTION("but one of an old run only after its next entry") {
    upstreams.Apply(entry, now);
    CHECK(UsableCount(upstreams, now) == 0);
    entry.sequence = 41;
    upstreams.Apply(entry, now + seconds(1));
    CHECK(UsableCount(upstreams, now + seconds(1)) == 1);
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
