#include "upstream_choice.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

void AddEngines(UpstreamSet& upstreams, int count) {
  for (int i = 0; i < count; ++i) {
    UpstreamEntry entry;
    entry.id = "engine-" + std::to_string(i);
    entry.service = "engines";
    entry.address = "10.0.0.1:80";
    entry.data_centre = i % 2 == 0 ? "west" : "east";
    entry.slots = 64;
    upstreams.Apply(entry, kStart);
  }
}

ChoiceQuery Query(std::uint64_t affinity) {
  ChoiceQuery query;
  query.service = "engines";
  query.data_centre = "west";
  query.affinity = affinity;
  return query;
}

int MaxLoad(const UpstreamSet& upstreams) {
  int max_load = 0;
  for (const auto& [id, upstream] : upstreams.all()) {
    max_load = std::max(max_load, upstream.own_load);
  }
  return max_load;
}

}  // namespace

TEST_CASE("Requests are placed by the shared segments of their prompts") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 12);
  const ChoiceLimits limits;

  SECTION("every instance chooses the same engine for a segment") {
    UpstreamSet others;
    AddEngines(others, 12);
    for (std::uint64_t segment = 1; segment < 50; ++segment) {
      CHECK(ChooseUpstream(upstreams, Query(segment), limits, kStart).upstream->entry.id ==
            ChooseUpstream(others, Query(segment), limits, kStart).upstream->entry.id);
    }
  }
  SECTION("the last segment is specific to the request and is ignored") {
    CHECK(AffinityOf({{"a", 500}, {"b", 10'000}, {"own-1", 100}}) ==
          AffinityOf({{"a", 500}, {"b", 10'000}, {"own-2", 90}}));
    CHECK(AffinityOf({{"own", 100}}) == 0);
  }
  SECTION("a segment stays at its cache holder when engines are added") {
    ChoiceQuery query = Query(77);
    const UpstreamState* first = ChooseUpstream(upstreams, query, limits, kStart).upstream;
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).cause == PlacementCause::kAffinity);
    query.holders = {first->tag};
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).cause == PlacementCause::kHolder);
    const UpstreamId id = first->entry.id;
    AddEngines(upstreams, 60);
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).upstream->entry.id == id);
  }
}

// Guards against a hot spot: one segment receives all traffic, and without a load limit its engine
// would hold every request.
TEST_CASE("A hot segment is spread over engines") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 12);
  const ChoiceLimits limits;
  std::set<std::uint32_t> holders;
  for (int i = 0; i < 120; ++i) {
    ChoiceQuery query = Query(42);
    query.holders.assign(holders.begin(), holders.end());
    const Choice choice = ChooseUpstream(upstreams, query, limits, kStart);
    REQUIRE(choice.upstream != nullptr);
    ++choice.upstream->own_load;
    holders.insert(choice.upstream->tag);
  }
  CHECK(MaxLoad(upstreams) <= static_cast<int>(1.5 * 10 + 3));
  SECTION("over no more engines than the load requires") {
    CHECK(holders.size() < 12);
  }
}

TEST_CASE("An engine copies a missing segment from a cache holder") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 4);
  UpstreamState& target = *upstreams.Find("engine-0");
  UpstreamState& remote = *upstreams.Find("engine-1");
  UpstreamState& local = *upstreams.Find("engine-2");

  SECTION("preferably from one in the same data centre") {
    CHECK(FindSegmentSource(upstreams, {remote.tag, local.tag}, target, kStart) == &local);
    CHECK(FindSegmentSource(upstreams, {local.tag, remote.tag}, target, kStart) == &local);
  }
  SECTION("also from one that is draining") {
    remote.draining = true;
    CHECK(FindSegmentSource(upstreams, {remote.tag}, target, kStart) == &remote);
  }
  SECTION("not from one that was removed or is unreachable") {
    remote.removed = true;
    local.backoff_until = kStart + seconds(1);
    CHECK(FindSegmentSource(upstreams, {remote.tag, local.tag}, target, kStart) == nullptr);
  }
  SECTION("not if it has the segment cached itself") {
    CHECK(FindSegmentSource(upstreams, {target.tag, local.tag}, target, kStart) == nullptr);
  }
}

// Guards against a thundering herd: many instances send short calls and receive the loads of the
// others only with the next digests. If all chose the least loaded upstream, they would overload it
// until then.
TEST_CASE("Instances with outdated loads do not overload the least loaded upstream") {
  constexpr int kInstances = 90;
  constexpr int kUpstreams = 6;
  UpstreamSet upstreams;
  AddEngines(upstreams, kUpstreams);
  int position = 0;
  for (auto& [id, upstream] : upstreams.all()) {
    upstream.peer_load = 8 + position++ % 2;
  }
  std::map<UpstreamId, int> sent;
  std::uint64_t random = 12345;
  for (int i = 0; i < kInstances; ++i) {
    ChoiceQuery query = Query(0);
    query.data_centre = "south";
    random = random * 6364136223846793005u + 1442695040888963407u;
    query.random = random >> 20;
    ++sent[ChooseUpstream(upstreams, query, ChoiceLimits{}, kStart).upstream->entry.id];
  }
  for (const auto& [id, count] : sent) {
    CHECK(count < 2 * kInstances / kUpstreams);
  }
}

// Guards against a thundering herd in a burst for one segment while all engines are busy. In
// scenario load-at-its-worst, load exceeded the bound of twice the mean plus 3, because all
// instances sent the requests that the cache holders could not take to the same engine.
TEST_CASE("Instances with outdated loads spread the overflow of a hot segment") {
  constexpr int kInstances = 18;
  constexpr int kSendsBetweenDigests = 2;
  constexpr int kMean = 23;
  constexpr int kHolderExcess = 12;  // the cache holders are full
  std::map<UpstreamId, int> total;
  std::uint64_t random = 4711;
  for (int instance = 0; instance < kInstances; ++instance) {
    UpstreamSet upstreams;
    AddEngines(upstreams, 18);
    ChoiceQuery query = Query(42);
    for (auto& [id, upstream] : upstreams.all()) {
      upstream.peer_load = kMean;
      total.try_emplace(id, kMean);
    }
    for (const UpstreamId id : {"engine-3", "engine-8"}) {
      UpstreamState& holder = *upstreams.Find(id);
      holder.peer_load = kMean + kHolderExcess;
      total[id] += instance == 0 ? kHolderExcess : 0;
      query.holders.push_back(holder.tag);
    }
    for (int i = 0; i < kSendsBetweenDigests; ++i) {
      random = random * 6364136223846793005u + 1442695040888963407u;
      query.random = random >> 20;
      UpstreamState& chosen = *ChooseUpstream(upstreams, query, ChoiceLimits{}, kStart).upstream;
      ++chosen.own_load;
      ++total[chosen.entry.id];
    }
  }
  for (const auto& [id, load] : total) {
    INFO(id);
    CHECK(load <= 2 * kMean + 3);
  }
}

// Guards against a thundering herd in a burst from all callers for small segments that every engine
// has cached. With seed 347725674524 of scenario load-at-its-worst, 18 instances saw 7 requests at
// one engine and raised it to 32 within 0.2 s.
TEST_CASE("Instances with outdated loads do not overload the least loaded cache holder") {
  constexpr int kInstances = 18;
  constexpr int kSends = 2;  // by each instance, between two digests
  constexpr int kMean = 7;
  std::map<UpstreamId, int> total;
  std::uint64_t random = 4711;
  for (int instance = 0; instance < kInstances; ++instance) {
    UpstreamSet upstreams;
    AddEngines(upstreams, 18);
    ChoiceQuery query = Query(42);
    for (auto& [id, upstream] : upstreams.all()) {
      upstream.peer_load = id == "engine-5" ? kMean - 3 : kMean;
      total.try_emplace(id, upstream.peer_load);
      query.holders.push_back(upstream.tag);
    }
    for (int i = 0; i < kSends; ++i) {
      random = random * 6364136223846793005u + 1442695040888963407u;
      query.random = random >> 20;
      UpstreamState& chosen = *ChooseUpstream(upstreams, query, ChoiceLimits{}, kStart).upstream;
      ++chosen.own_load;
      ++total[chosen.entry.id];
    }
  }
  for (const auto& [id, load] : total) {
    INFO(id);
    CHECK(load <= 2 * kMean + 3);
  }
}

TEST_CASE("A free slot on any upstream is detected") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 2);
  ChoiceLimits limits;
  limits.slot_share = 0.5;
  CHECK(HasFreeSlot(upstreams, Query(0), limits, kStart));
  for (auto& [id, upstream] : upstreams.all()) {
    upstream.own_load = 32;
  }
  CHECK_FALSE(HasFreeSlot(upstreams, Query(0), limits, kStart));
  upstreams.Find("engine-1")->own_load = 31;
  CHECK(HasFreeSlot(upstreams, Query(0), limits, kStart));
}

TEST_CASE("Failing, unresponsive, full, cold and tried upstreams are excluded") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 2);
  const ChoiceLimits limits;
  UpstreamState& healthy = *upstreams.Find("engine-0");
  UpstreamState& other = *upstreams.Find("engine-1");

  SECTION("a failing upstream gets no requests by affinity and little other load") {
    for (int i = 0; i < 10; ++i) {
      upstreams.OnAnswer(other, true, kStart);
    }
    for (std::uint64_t segment = 1; segment < 20; ++segment) {
      ChoiceQuery query = Query(segment);
      query.holders = {other.tag};
      CHECK(ChooseUpstream(upstreams, query, limits, kStart).upstream == &healthy);
    }
  }
  // Guards against sending further requests to upstreams that no longer answer (gge-chiverail
  // trouble-3): each of these was lost until its connection timed out after 2.5 s.
  SECTION("an unresponsive upstream gets no further requests until it sends bytes") {
    upstreams.OnSent(other, kStart);
    const TimePoint later = kStart + kUnresponsiveAfter + milliseconds(1);
    for (std::uint64_t segment = 1; segment < 20; ++segment) {
      CHECK(ChooseUpstream(upstreams, Query(segment), limits, later).upstream == &healthy);
    }
    SECTION("it gets one more request after a delay, since only the first may have been lost") {
      const TimePoint retry = kStart + kUnresponsiveRetryAfter + milliseconds(1);
      ChoiceQuery query = Query(1);
      query.holders = {other.tag};
      CHECK(ChooseUpstream(upstreams, query, limits, retry).upstream == &other);
      upstreams.OnSent(other, retry);
      const TimePoint unanswered = retry + kUnresponsiveAfter + milliseconds(1);
      CHECK(ChooseUpstream(upstreams, query, limits, unanswered).upstream == &healthy);
    }
    SECTION("it is used if all are unresponsive") {
      upstreams.OnSent(healthy, kStart);
      CHECK(ChooseUpstream(upstreams, Query(1), limits, later).upstream != nullptr);
    }
    SECTION("it is used again once it has sent bytes") {
      upstreams.OnBytesReceived(other);
      ChoiceQuery query = Query(1);
      query.holders = {other.tag};
      CHECK(ChooseUpstream(upstreams, query, limits, later).upstream == &other);
    }
  }
  SECTION("full upstreams get no requests, and the result is kAllFull") {
    healthy.own_load = 60;
    other.peer_load = 60;
    CHECK(ChooseUpstream(upstreams, Query(0), limits, kStart).outcome == ChoiceOutcome::kAllFull);
  }
  SECTION("a cold upstream gets requests up to its limit per second") {
    upstreams.Remove("engine-1", kStart);
    healthy.cold_until = kStart + seconds(5);
    ChoiceQuery query = Query(0);
    query.cold_limit = [](const UpstreamState&) { return 2.0; };
    for (int i = 0; i < 2; ++i) {
      REQUIRE(ChooseUpstream(upstreams, query, limits, kStart).upstream == &healthy);
      RecordSend(healthy, kStart);
    }
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).outcome == ChoiceOutcome::kAllCold);
    CHECK(ChooseUpstream(upstreams, query, limits, kStart + seconds(2)).upstream == &healthy);
  }
  SECTION("upstreams that were tried are not tried again") {
    const std::set<UpstreamId> tried{"engine-0", "engine-1"};
    ChoiceQuery query = Query(0);
    query.tried = &tried;
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).outcome == ChoiceOutcome::kNoUpstream);
  }
}

// Guards against overloading a cold upstream, which fails if all instances send it their first
// requests at the same time.
TEST_CASE("The cold limits of all instances add up to at most the fleet's limit") {
  for (const std::size_t count : {1, 5, 13, 32, 93, 390}) {
    std::vector<InstanceId> instances;
    for (std::size_t i = 0; i < count; ++i) {
      instances.push_back("front-" + std::to_string(i));
    }
    std::size_t sum = 0;
    for (const InstanceId& instance : instances) {
      sum += FleetShare(32, instances, instance, UpstreamTag("engine-0"));
    }
    CHECK(sum == 32);
  }
}

// Guards against requests that try four upstreams of a data centre in a row whose addresses others
// have taken over, and end without an answer (volta-cr-grown trouble-1).
TEST_CASE("A request that has met a wrong upstream goes to another data centre next") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 4);
  ChoiceQuery query = Query(GENERATE(0, 1, 2, 3, 4));
  query.random = GENERATE(1, 2, 3);
  query.avoided_data_centre = "west";
  CHECK(ChooseUpstream(upstreams, query, {}, kStart).upstream->entry.data_centre == "east");
  SECTION("unless there is none") {
    upstreams.SetDataCentresOutOfService({"east"});
    CHECK(ChooseUpstream(upstreams, query, {}, kStart).upstream->entry.data_centre == "west");
  }
}

}  // namespace chiverail
