// What is known of a prompt segment at one service, when its requests go to another one.

#include <catch2/catch.hpp>

#include "prompt_quarantine.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1000));

// The quarantine of one instance in virtual time, and upstreams that end under it.
struct Instance {
  explicit Instance(std::uint32_t key = 7) : quarantine(key) {}

  void Wait(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += std::min<Duration>(milliseconds(250), end - now);
      quarantine.Update(now);
    }
  }

  // An upstream of a service ends under requests with these segments.
  void End(const std::string& service, const std::vector<std::string>& ids) {
    quarantine.OnUpstreamEnded(next_upstream++, Hashes(service, ids), now, now);
  }

  void Answer(const std::string& service, const std::vector<std::string>& ids) {
    quarantine.OnBegun(Hashes(service, ids), now);
  }

  PromptQuarantine::Verdict Check(const std::string& service,
                                  const std::string& id,
                                  bool owns_trial = true) {
    return quarantine.Check(
        Hashes(service, {id}), [owns_trial](SegmentHash) { return owns_trial; }, now);
  }
  bool Holds(const std::string& service, const std::string& id) {
    return Check(service, id, false).held;
  }

  static std::vector<SegmentHash> Hashes(const std::string& service,
                                         const std::vector<std::string>& ids) {
    std::vector<SegmentHash> hashes;
    for (const std::string& id : ids) {
      hashes.push_back(SegmentHashOf(id, service));
    }
    return hashes;
  }

  PromptQuarantine quarantine;
  TimePoint now = kStart;
  std::uint32_t next_upstream = 100;
};

}  // namespace

// Guards against a part that is known to crash upstreams and crashes those of another service,
// since its route has moved (review/9, BUDGET).
TEST_CASE("A segment that is held at one service is kept from others") {
  Instance instance;
  instance.Answer("first", {"shared"});
  for (int i = 0; i < 5; ++i) {
    instance.End("first", {"shared", "deadly"});
    instance.Wait(seconds(2));
    instance.Answer("first", {"shared"});
  }
  REQUIRE(instance.Holds("first", "deadly"));
  CHECK(instance.Holds("second", "deadly"));
  CHECK_FALSE(instance.Holds("second", "shared"));

  SECTION("but for one request, by which another reason shows") {
    CHECK(instance.Check("second", "deadly").trial);
    CHECK(instance.Check("second", "deadly").held);
    SECTION("a request that ends an upstream there shows that there is none") {
      instance.End("second", {"shared", "deadly"});
      instance.Wait(seconds(12));
      CHECK(instance.Check("second", "deadly").held);
      SECTION("so that a third service is spared one") {
        CHECK(instance.Check("third", "deadly").held);
        instance.Wait(seconds(40));
        CHECK(instance.Check("third", "deadly").held);
      }
      SECTION("and the segments beside it are not held") {
        CHECK_FALSE(instance.Holds("second", "shared"));
      }
    }
    SECTION("one that is answered frees the segment there") {
      instance.Wait(seconds(1));
      instance.Answer("second", {"deadly"});
      CHECK_FALSE(instance.Holds("second", "deadly"));
      CHECK(instance.Holds("first", "deadly"));
      SECTION("at all instances") {
        Instance other(8);
        other.now = instance.now;
        other.quarantine.Merge(instance.quarantine.News(instance.now), other.now);
        CHECK_FALSE(other.Holds("second", "deadly"));
        CHECK(other.Holds("first", "deadly"));
      }
    }
    SECTION("one without a result is followed by a second one, and no third before the hold ends") {
      instance.Wait(seconds(10));
      CHECK(instance.Check("second", "deadly").trial);
      instance.Wait(seconds(10));
      CHECK(instance.Check("second", "deadly").held);
      instance.Wait(seconds(40));
      CHECK(instance.Check("second", "deadly").trial);
    }
  }
  SECTION("by an instance that has started afterwards, too") {
    Instance started(9);
    started.now = instance.now;
    started.quarantine.Merge(instance.quarantine.News(instance.now), started.now);
    CHECK(started.Holds("second", "deadly"));
  }
  SECTION("whatever made-up segments are sent") {
    for (int i = 0; i < 20'000; ++i) {
      instance.Answer("second", {"made up " + std::to_string(i)});
    }
    for (int i = 0; i < 300; ++i) {
      instance.End("second", {"made up as well " + std::to_string(i)});
    }
    instance.Wait(seconds(1));
    CHECK(instance.Holds("second", "deadly"));
  }
}

TEST_CASE("Ends at several services count together before a segment is held") {
  Instance instance;
  instance.End("first", {"shared", "deadly"});
  instance.Wait(seconds(2));
  instance.Answer("first", {"shared"});
  instance.End("first", {"shared", "deadly"});
  instance.Wait(seconds(2));
  instance.Answer("first", {"shared"});
  CHECK_FALSE(instance.Holds("first", "deadly"));
  instance.End("second", {"shared", "deadly"});
  instance.Answer("second", {"shared"});
  instance.Wait(seconds(2));
  CHECK(instance.Check("first", "deadly").held);
  CHECK(instance.Check("second", "deadly").held);
  CHECK(instance.Check("third", "deadly").held);
  CHECK_FALSE(instance.Holds("second", "shared"));
}

// Guards against requests that are refused everywhere since the upstreams of one service end for
// another reason (LOST).
TEST_CASE("A service whose upstreams end by themselves convicts no segment at others") {
  Instance instance;
  const bool answered = GENERATE(true, false);
  if (answered) {
    instance.Answer("second", {"sound"});
  }
  for (int i = 0; i < 6; ++i) {
    instance.End("first", {"sound"});
    instance.Wait(seconds(2));
  }
  REQUIRE(instance.Holds("first", "sound"));
  if (answered) {
    CHECK_FALSE(instance.Holds("second", "sound"));
  } else {
    REQUIRE(instance.Check("second", "sound").trial);
    instance.Wait(seconds(1));
    instance.Answer("second", {"sound"});
    CHECK_FALSE(instance.Holds("second", "sound"));
  }
}

}  // namespace chiverail
