// Decisions about roll-outs, without a network. The load: a service at which a part of the old
// version's answers fails or is slow as well, so that only a difference between the versions tells.

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "rollout/rollout_set.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kDuration = seconds(20);
constexpr Duration kStep = milliseconds(250);

RolloutOrder OrderTo(const std::string& version, std::uint64_t revision = 7) {
  return {"desk", version, kDuration, revision};
}

// How the answers of a version are on one route.
struct Behaviour {
  double failed = 0.02;
  double slow = 0.1;  // share of answers that take five times as long
  double broken = 0;
};

// A fleet of instances that decide on their own and hear each other's counters a step late.
class Fleet {
 public:
  explicit Fleet(int instances, bool known = true) : sets_(instances), heard_(instances) {
    for (RolloutSet& set : sets_) {
      set.SetMaxShare(0.1);
      set.Apply(OrderTo("v2"), known, false, kStart);
    }
  }

  // Sends `requests` requests on `route` through all instances and lets these decide.
  void Step(int requests,
            const Behaviour& old,
            const Behaviour& fresh,
            const std::string& route = "a") {
    for (int i = 0; i < requests; ++i) {
      RolloutSet& set = sets_[random_() % sets_.size()];
      const RolloutSide side = set.SideFor("desk", Draw());
      const bool is_new = side == RolloutSide::kNew;
      ++sent_[is_new ? 1 : 0];
      Answer(set, is_new ? "v2" : "v1", route, is_new ? fresh : old);
    }
  }

  void Decide() {
    now_ += kStep;
    std::map<std::uint32_t, Tally> totals;
    std::vector<std::map<std::uint32_t, Tally>> own(sets_.size());
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      for (const Tally& tally : sets_[i].Tallies()) {
        own[i][tally.tag] = tally;
        totals[tally.tag].first += tally.first;
        totals[tally.tag].second += tally.second;
      }
    }
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      if (i >= silent_from_) {
        continue;
      }
      RolloutSources sources;
      sources.in_contact = in_contact;
      sources.upstreams = [this](const std::string&) { return upstreams; };
      sources.longest_timeout = [](const std::string&) { return Duration(seconds(10)); };
      sources.others = [&, i](std::uint32_t tag) {
        const Tally total = heard_[i].count(tag) > 0 ? heard_[i].at(tag) : Tally{tag, 0, 0};
        return total;
      };
      sets_[i].Update(sources, now_);
    }
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      heard_[i] = totals;
      for (auto& [tag, tally] : heard_[i]) {
        const auto part = own[i].find(tag);
        tally.first -= part == own[i].end() ? 0 : part->second.first;
        tally.second -= part == own[i].end() ? 0 : part->second.second;
      }
    }
  }

  // Runs until `end` after the order, with the same load in each step.
  void RunUntil(Duration end,
                int requests,
                const Behaviour& old,
                const Behaviour& fresh,
                const std::string& route = "a") {
    while (now_ < kStart + end) {
      Step(requests, old, fresh, route);
      Decide();
    }
  }

  // Instances from this one on are paused.
  void PauseFrom(std::size_t instance) { silent_from_ = instance; }

  RolloutPhase PhaseOf(int instance) const { return sets_[instance].Find("desk")->phase(); }
  // True if an instance has found this fault. The others may have been told of it first.
  bool HasFound(VersionFault fault) const {
    return std::any_of(sets_.begin(), sets_.end(), [fault](const RolloutSet& set) {
      return set.Find("desk")->fault() == fault;
    });
  }
  RolloutSet& set(int instance) { return sets_[instance]; }
  bool All(RolloutPhase phase) const {
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      if (PhaseOf(static_cast<int>(i)) != phase) {
        return false;
      }
    }
    return true;
  }
  double NewShare() const { return static_cast<double>(sent_[1]) / (sent_[0] + sent_[1]); }
  int sent_to_new() const { return sent_[1]; }
  TimePoint now() const { return now_; }

  bool in_contact = true;
  std::vector<RolloutUpstream> upstreams{{"o1", "v1", true, 0},
                                         {"o2", "v1", true, 0},
                                         {"n1", "v2", true, 0},
                                         {"n2", "v2", true, 0}};

 private:
  double Draw() { return static_cast<double>(random_() >> 11) / static_cast<double>(1ull << 53); }

  void Answer(RolloutSet& set,
              const std::string& version,
              const std::string& route,
              const Behaviour& behaviour) {
    AnswerSample sample;
    sample.failed = Draw() < behaviour.failed;
    sample.broken = !sample.failed && Draw() < behaviour.broken;
    const double factor = Draw() < behaviour.slow ? 5 : 1;
    sample.time = std::chrono::duration_cast<Duration>(milliseconds(20) * (1 + Draw()) * factor);
    set.OnAnswer("desk", version, route, sample);
  }

  std::vector<RolloutSet> sets_;
  std::vector<std::map<std::uint32_t, Tally>> heard_;
  std::size_t silent_from_ = SIZE_MAX;
  std::mt19937_64 random_{42};
  TimePoint now_ = kStart;
  int sent_[2] = {0, 0};
};

}  // namespace

TEST_CASE("A new version is tried, then promoted, and the old one ends") {
  Fleet fleet(20);
  const Behaviour sound;
  SECTION("it gets a small share until the verdict") {
    fleet.RunUntil(kDuration * 4 / 10, 100, sound, sound);
    CHECK(fleet.All(RolloutPhase::kTrial));
    CHECK(fleet.NewShare() < 0.1);
    CHECK(fleet.sent_to_new() > 50);
  }
  SECTION("then it gets all requests, and the old one is kept until nothing runs there") {
    fleet.upstreams[0].requests = 3;
    fleet.RunUntil(kDuration * 6 / 10, 100, sound, sound);
    CHECK(fleet.All(RolloutPhase::kPromoting));
    CHECK_FALSE(fleet.set(0).MayTake("desk", "o1", "v1", RolloutSide::kNew));
    fleet.upstreams[0].requests = 0;
    fleet.RunUntil(kDuration * 7 / 10, 100, sound, sound);
    CHECK(fleet.All(RolloutPhase::kCompleted));
    CHECK_FALSE(fleet.set(0).MayTakeAny("desk", "o1", "v1"));
    CHECK(fleet.set(0).MayTakeAny("desk", "o9", "v3"));
  }
  SECTION("well before the end also if there are few requests") {
    fleet.RunUntil(kDuration * 9 / 10, 10, sound, sound);
    CHECK(fleet.All(RolloutPhase::kCompleted));
  }
  // Guards against sound versions that are rolled back because of faults which both have.
  SECTION("whatever its services suffer from") {
    const Behaviour bad{0.25, 0.3, 0.05};
    fleet.RunUntil(kDuration * 9 / 10, 100, bad, bad);
    CHECK(fleet.All(RolloutPhase::kCompleted));
  }
}

TEST_CASE("A faulty version is rolled back") {
  Fleet fleet(20);
  const Behaviour sound;
  SECTION("that fails from the start, before it has given 50 bad answers") {
    fleet.RunUntil(kDuration, 100, sound, {0.3, 0.1, 0});
    CHECK(fleet.HasFound(VersionFault::kFailures));
    CHECK(fleet.sent_to_new() * 0.3 < 50);
  }
  SECTION("that is slow") {
    fleet.RunUntil(kDuration, 100, sound, {0.02, 0.5, 0});
    CHECK(fleet.HasFound(VersionFault::kSlow));
  }
  SECTION("that breaks off its answers") {
    fleet.RunUntil(kDuration, 100, sound, {0.02, 0.1, 0.5});
    CHECK(fleet.HasFound(VersionFault::kBroken));
  }
  SECTION("that turns bad late in the trial") {
    fleet.RunUntil(kDuration * 3 / 10, 100, sound, sound);
    fleet.RunUntil(kDuration, 100, sound, {0.5, 0.1, 0});
    CHECK(fleet.HasFound(VersionFault::kFailures));
  }
  SECTION("that turns bad while it is promoted") {
    fleet.upstreams[0].requests = 1;
    fleet.RunUntil(kDuration / 2, 100, sound, sound);
    REQUIRE(fleet.All(RolloutPhase::kPromoting));
    fleet.RunUntil(kDuration, 100, sound, {0.5, 0.1, 0});
  }
  // Guards against faults that disappear among the answers of busier routes.
  SECTION("that fails on one route only") {
    while (fleet.now() < kStart + kDuration) {
      fleet.Step(100, sound, sound, "busy");
      fleet.Step(20, sound, {0.4, 0.1, 0}, "rare");
      fleet.Decide();
    }
    CHECK(fleet.HasFound(VersionFault::kFailures));
  }
  SECTION("also at instances that are paused meanwhile, once they go on") {
    fleet.PauseFrom(10);
    fleet.RunUntil(kDuration / 2, 100, sound, {0.3, 0.1, 0});
    CHECK(fleet.PhaseOf(10) == RolloutPhase::kTrial);
    fleet.PauseFrom(20);
    fleet.RunUntil(kDuration * 6 / 10, 0, sound, sound);
  }
  CHECK(fleet.All(RolloutPhase::kRolledBack));
  CHECK(fleet.NewShare() < 0.3);
  CHECK_FALSE(fleet.set(0).MayTakeAny("desk", "n1", "v2"));
}

TEST_CASE("An instance without evidence doesn't expose callers to a new version") {
  const Behaviour sound;
  SECTION("if it doesn't hear the others") {
    Fleet fleet(3);
    fleet.in_contact = false;
    fleet.Decide();
    fleet.RunUntil(kDuration / 2, 50, sound, sound);
    CHECK(fleet.sent_to_new() < 10);
    CHECK(fleet.All(RolloutPhase::kTrial));
  }
  SECTION("if the version has no upstreams, until the time is over") {
    Fleet fleet(3);
    fleet.upstreams.resize(2);
    fleet.RunUntil(kDuration * 8 / 10, 50, sound, sound);
    CHECK(fleet.sent_to_new() == 0);
    CHECK(fleet.All(RolloutPhase::kRolledBack));
  }
  SECTION("if it starts amid a roll-out") {
    Fleet fleet(3, false);
    fleet.Decide();
    CHECK(fleet.All(RolloutPhase::kUnknown));
    CHECK(fleet.set(0).MayTakeAny("desk", "o1", "v1"));
    CHECK_FALSE(fleet.set(0).MayTakeAny("desk", "n1", "v2"));
    SECTION("until it has read the record of the store") {
      fleet.set(0).OnRecord("desk", {RolloutState::kRunning, "v2", 9, 0}, seconds(1), fleet.now());
      CHECK(fleet.PhaseOf(0) == RolloutPhase::kTrial);
      fleet.set(1).OnRecord("desk", {RolloutState::kRolledBack, "v2", 9, 0}, {}, fleet.now());
      fleet.Decide();
      fleet.Decide();
      CHECK(fleet.All(RolloutPhase::kRolledBack));  // the others hear of it
    }
    SECTION("and serves by the new version if nothing else is left") {
      fleet.upstreams.erase(fleet.upstreams.begin(), fleet.upstreams.begin() + 2);
      fleet.Decide();
      CHECK(fleet.set(0).MayTakeAny("desk", "n1", "v2"));
    }
  }
}

TEST_CASE("Orders that follow each other") {
  Fleet fleet(1);
  RolloutSet& set = fleet.set(0);
  const Behaviour sound;
  fleet.RunUntil(kDuration / 4, 20, sound, sound);
  SECTION("one that is written again changes nothing") {
    CHECK_FALSE(set.Apply(OrderTo("v2", 8), true, false, fleet.now()));
    CHECK(set.Find("desk")->started_at() == kStart);
  }
  SECTION("one for another version replaces it, and the version on trial gets no more requests") {
    CHECK(set.Apply(OrderTo("v3", 8), true, false, fleet.now()));
    fleet.upstreams.push_back({"m1", "v3", true, 0});
    fleet.Decide();
    CHECK_FALSE(set.MayTakeAny("desk", "n1", "v2"));
    CHECK(set.MayTakeAny("desk", "o1", "v1"));
    CHECK(set.MayTake("desk", "m1", "v3", RolloutSide::kNew));
  }
  SECTION("one that is withdrawn ends it") {
    set.Withdraw("desk");
    CHECK(fleet.All(RolloutPhase::kRolledBack));
    SECTION("and one that comes back with a restored store stays ended") {
      CHECK_FALSE(set.Apply(OrderTo("v2", 99), false, true, fleet.now()));
      CHECK(fleet.All(RolloutPhase::kRolledBack));
    }
    SECTION("and the same one, given anew, begins again") {
      CHECK(set.Apply(OrderTo("v2", 99), true, false, fleet.now()));
      CHECK(fleet.All(RolloutPhase::kTrial));
    }
  }
}

TEST_CASE("The counters of a roll-out are sent only while one runs") {
  RolloutSet set;
  CHECK(set.Tallies().empty());
  set.Apply(OrderTo("v2"), true, false, kStart);
  CHECK(set.Tallies().empty());
  set.OnAnswer("desk", "v2", "a", {});
  CHECK(set.Tallies().size() == 2);
  set.OnAnswer("other", "v2", "a", {});
  CHECK(set.Tallies().size() == 2);
}

}  // namespace chiverail
