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

int Busiest(const UpstreamSet& upstreams) {
  int busiest = 0;
  for (const auto& [id, upstream] : upstreams.all()) {
    busiest = std::max(busiest, upstream.own_load);
  }
  return busiest;
}

}  // namespace

TEST_CASE("Requests are placed by the shared parts of their prompts") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 12);
  const ChoiceLimits limits;

  SECTION("equal parts go to the same engine at every instance") {
    UpstreamSet others;
    AddEngines(others, 12);
    for (std::uint64_t part = 1; part < 50; ++part) {
      CHECK(ChooseUpstream(upstreams, Query(part), limits, kStart).upstream->entry.id ==
            ChooseUpstream(others, Query(part), limits, kStart).upstream->entry.id);
    }
  }
  SECTION("the last part belongs to the request alone and doesn't count") {
    CHECK(AffinityOf({{"a", 500}, {"b", 10'000}, {"own-1", 100}}) ==
          AffinityOf({{"a", 500}, {"b", 10'000}, {"own-2", 90}}));
    CHECK(AffinityOf({{"own", 100}}) == 0);
  }
  SECTION("a part stays where it was read when engines join") {
    ChoiceQuery query = Query(77);
    const KnownUpstream* first = ChooseUpstream(upstreams, query, limits, kStart).upstream;
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).cause == PlacementCause::kAffinity);
    query.holders = {first->tag};
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).cause == PlacementCause::kHolder);
    const UpstreamId id = first->entry.id;
    AddEngines(upstreams, 60);
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).upstream->entry.id == id);
  }
}

// Load: one part draws all traffic. Without a bound its engine would hold every request.
TEST_CASE("A hot part is spread over engines") {
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
  CHECK(Busiest(upstreams) <= static_cast<int>(1.5 * 10 + 3));
  SECTION("over no more of them than the load needs") {
    CHECK(holders.size() < 12);
  }
}

TEST_CASE("An engine that lacks a part copies it from one that has read it") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 4);
  KnownUpstream& target = *upstreams.Find("engine-0");
  KnownUpstream& far = *upstreams.Find("engine-1");
  KnownUpstream& near = *upstreams.Find("engine-2");

  SECTION("from the nearer one") {
    CHECK(PartSource(upstreams, {far.tag, near.tag}, target, kStart) == &near);
    CHECK(PartSource(upstreams, {near.tag, far.tag}, target, kStart) == &near);
  }
  SECTION("one that drains still has it") {
    far.leaving = true;
    CHECK(PartSource(upstreams, {far.tag}, target, kStart) == &far);
  }
  SECTION("not from one that is gone or can't be reached") {
    far.removed = true;
    near.avoid_until = kStart + seconds(1);
    CHECK(PartSource(upstreams, {far.tag, near.tag}, target, kStart) == nullptr);
  }
  SECTION("not when it has read the part itself") {
    CHECK(PartSource(upstreams, {target.tag, near.tag}, target, kStart) == nullptr);
  }
}

// Load: many instances send short calls, and each hears of the others' loads only now and then. If
// all took the least loaded upstream, they would fill it together until the next digests.
TEST_CASE("Instances with old loads don't fill one upstream together") {
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

// Load: a burst for one part while all engines are busy. Day load-at-its-worst broke the bound of
// twice the mean and 3: all instances sent what the part's engines couldn't take to the same
// engine.
TEST_CASE("Instances with old loads don't send a hot part to one engine together") {
  constexpr int kInstances = 18;
  constexpr int kSendsBetweenDigests = 2;
  constexpr int kMean = 23;
  constexpr int kHolderExcess = 12;  // the part's engines are full
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
      KnownUpstream& holder = *upstreams.Find(id);
      holder.peer_load = kMean + kHolderExcess;
      total[id] += instance == 0 ? kHolderExcess : 0;
      query.holders.push_back(holder.tag);
    }
    for (int i = 0; i < kSendsBetweenDigests; ++i) {
      random = random * 6364136223846793005u + 1442695040888963407u;
      query.random = random >> 20;
      KnownUpstream& chosen = *ChooseUpstream(upstreams, query, ChoiceLimits{}, kStart).upstream;
      ++chosen.own_load;
      ++total[chosen.entry.id];
    }
  }
  for (const auto& [id, load] : total) {
    INFO(id);
    CHECK(load <= 2 * kMean + 3);
  }
}

// Load: all callers at once, for small parts that every engine has read. Seed 347725674524 of day
// load-at-its-worst: 18 instances saw 7 requests at one engine and took it to 32 in 0.2 s.
TEST_CASE("Instances with old loads don't fill the least loaded engine together") {
  constexpr int kInstances = 18;
  constexpr int kSends = 2;  // of each instance, between two digests
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
      KnownUpstream& chosen = *ChooseUpstream(upstreams, query, ChoiceLimits{}, kStart).upstream;
      ++chosen.own_load;
      ++total[chosen.entry.id];
    }
  }
  for (const auto& [id, load] : total) {
    INFO(id);
    CHECK(load <= 2 * kMean + 3);
  }
}

TEST_CASE("A free place shows whether requests that wait can be served") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 2);
  ChoiceLimits limits;
  limits.slot_share = 0.5;
  CHECK(HasPlace(upstreams, Query(0), limits, kStart));
  for (auto& [id, upstream] : upstreams.all()) {
    upstream.own_load = 32;
  }
  CHECK_FALSE(HasPlace(upstreams, Query(0), limits, kStart));
  upstreams.Find("engine-1")->own_load = 31;
  CHECK(HasPlace(upstreams, Query(0), limits, kStart));
}

TEST_CASE("Upstreams in a bad state are kept out") {
  UpstreamSet upstreams;
  AddEngines(upstreams, 2);
  const ChoiceLimits limits;
  KnownUpstream& sound = *upstreams.Find("engine-0");
  KnownUpstream& other = *upstreams.Find("engine-1");

  SECTION("one that fails its answers loses its parts and most of its load") {
    for (int i = 0; i < 10; ++i) {
      upstreams.OnAnswer(other, true, kStart);
    }
    for (std::uint64_t part = 1; part < 20; ++part) {
      ChoiceQuery query = Query(part);
      query.holders = {other.tag};
      CHECK(ChooseUpstream(upstreams, query, limits, kStart).upstream == &sound);
    }
  }
  // gge-chiverail trouble-3: workers went dark, and each request sent to them was lost until the
  // connections timed out after 2.5 s.
  SECTION("one that owes an answer and has gone silent gets nothing more until it is heard") {
    upstreams.OnSent(other, kStart);
    const TimePoint later = kStart + kSilenceDoubt + milliseconds(1);
    for (std::uint64_t part = 1; part < 20; ++part) {
      CHECK(ChooseUpstream(upstreams, Query(part), limits, later).upstream == &sound);
    }
    SECTION("but it is tried again in a while, since the request may have been lost alone") {
      const TimePoint retry = kStart + kSilenceRetry + milliseconds(1);
      ChoiceQuery query = Query(1);
      query.holders = {other.tag};
      CHECK(ChooseUpstream(upstreams, query, limits, retry).upstream == &other);
      upstreams.OnSent(other, retry);
      const TimePoint doubt = retry + kSilenceDoubt + milliseconds(1);
      CHECK(ChooseUpstream(upstreams, query, limits, doubt).upstream == &sound);
    }
    SECTION("unless all are silent") {
      upstreams.OnSent(sound, kStart);
      CHECK(ChooseUpstream(upstreams, Query(1), limits, later).upstream != nullptr);
    }
    SECTION("and after it is heard it is used again") {
      upstreams.OnHeard(other);
      ChoiceQuery query = Query(1);
      query.holders = {other.tag};
      CHECK(ChooseUpstream(upstreams, query, limits, later).upstream == &other);
    }
  }
  SECTION("full ones take nothing more, and the caller learns that all are full") {
    sound.own_load = 60;
    other.peer_load = 60;
    CHECK(ChooseUpstream(upstreams, Query(0), limits, kStart).outcome == ChoiceOutcome::kAllFull);
  }
  SECTION("a cold one takes what its limit allows in a second") {
    upstreams.Remove("engine-1", kStart);
    sound.cold_until = kStart + seconds(5);
    ChoiceQuery query = Query(0);
    query.cold_limit = [](const KnownUpstream&) { return 2.0; };
    for (int i = 0; i < 2; ++i) {
      REQUIRE(ChooseUpstream(upstreams, query, limits, kStart).upstream == &sound);
      NoteSend(sound, kStart);
    }
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).outcome == ChoiceOutcome::kAllCold);
    CHECK(ChooseUpstream(upstreams, query, limits, kStart + seconds(2)).upstream == &sound);
  }
  SECTION("none that was tried is tried again") {
    const std::set<UpstreamId> tried{"engine-0", "engine-1"};
    ChoiceQuery query = Query(0);
    query.tried = &tried;
    CHECK(ChooseUpstream(upstreams, query, limits, kStart).outcome == ChoiceOutcome::kNoUpstream);
  }
}

// A cold upstream falls over when all instances send it their first requests together.
TEST_CASE("The shares of all instances stay under the limit of a cold upstream") {
  for (const std::size_t count : {1, 5, 13, 32, 93, 390}) {
    std::vector<InstanceId> instances;
    for (std::size_t i = 0; i < count; ++i) {
      instances.push_back("front-" + std::to_string(i));
    }
    double sum = 0;
    for (const InstanceId& instance : instances) {
      sum += ColdShare(32, instances, instance, "engine-0");
    }
    CHECK(sum <= 32);
    CHECK(sum > 12);
  }
}

}  // namespace chiverail
