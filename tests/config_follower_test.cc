#include "config_follower.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));

TableReadResult HeadAt(Revision revision, const std::string& hash) {
  const HeadRow head{revision, hash, {}, "ann", "n"};
  return {TableStatus::kOk, {kHeadKey, revision + 10, SerializeRow(head)}};
}

template <typename Action>
const Action* FindAction(const FollowerActions& actions) {
  for (const FollowerAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

TableProbeAnswer Answer(const InstanceId& from, const SendProbes& probes) {
  TableProbeAnswer answer;
  answer.from = from;
  answer.nonce = probes.probe.nonce;
  return answer;
}

}  // namespace

// Guards against a configuration that goes back to an older revision, service with an outdated
// configuration, and refusals while the table is down for all instances.
TEST_CASE("Following the configuration") {
  ConfigFollower follower("a", 1, kStart);
  follower.SetPeers({{"b", "c"}, {}});
  const FollowerActions first = follower.Tick(kStart);
  REQUIRE(FindAction<ReadRow>(first) != nullptr);
  REQUIRE(FindAction<SendProbes>(first) != nullptr);
  const SendProbes start_round = *FindAction<SendProbes>(first);
  const std::uint64_t op = FindAction<ReadRow>(first)->op;

  SECTION("reads of the head that are never answered do not stop the polls") {
    int reads = 0;
    const Duration length = 4 * kDefaultTableOperationTimeout;
    for (Duration after{}; after < length; after += milliseconds(500)) {
      reads += FindAction<ReadRow>(follower.Tick(kStart + after)) != nullptr ? 1 : 0;
    }
    // One more read was started above.
    CHECK(reads + 1 >= 4 * static_cast<int>(kMaxPollsInFlight));
  }

  SECTION("a restarted instance probes its peers before it applies the first head") {
    CHECK(FindAction<FetchManifest>(follower.OnHead(op, HeadAt(7, "m7"), kStart)) == nullptr);
    TableProbeAnswer newer = Answer("b", start_round);
    newer.revision = 8;
    newer.in_force = 8;
    newer.head = SerializeRow(HeadRow{8, "m8", {}, "bob", "n8"});
    follower.OnProbeAnswer(newer, kStart);
    const auto after = follower.OnProbeAnswer(Answer("c", start_round), kStart);
    REQUIRE(FindAction<FetchManifest>(after) != nullptr);
    CHECK(FindAction<FetchManifest>(after)->hash == "m8");
    CHECK(FindAction<FetchManifest>(after)->peers == std::vector<InstanceId>{"b"});
  }

  SECTION("with the table down a new instance serves the revision that half of its peers report") {
    follower.OnHead(op, {}, kStart);
    TableProbeAnswer known = Answer("b", start_round);
    known.revision = known.in_force = 5;
    known.reached_table = true;
    known.reached_ms_ago = 60'000;
    known.head = SerializeRow(HeadRow{5, "m5", {}, "bob", "n5"});
    follower.OnProbeAnswer(known, kStart);
    CHECK(FindAction<FetchManifest>(follower.Tick(kStart + kProbeTimeout)) != nullptr);
    follower.OnManifest("m5", true, kStart + seconds(1));
    // The first round ended while nothing was in force; the next round gives a new verdict.
    const auto round = follower.Tick(kStart + seconds(6));
    REQUIRE(FindAction<SendProbes>(round) != nullptr);
    known.nonce = FindAction<SendProbes>(round)->probe.nonce;
    known.reached_ms_ago = 66'000;
    follower.OnProbeAnswer(known, kStart + seconds(6));
    follower.Tick(kStart + seconds(6) + kProbeTimeout);
    CHECK(follower.Isolation(kStart + seconds(7)) == IsolationState::kTableDown);
  }

  SECTION("with a configuration in force") {
    follower.OnHead(op, HeadAt(7, "m7"), kStart);
    follower.Tick(kStart + kProbeTimeout);
    follower.OnManifest("m7", true, kStart + seconds(1));
    REQUIRE(follower.InForce().revision == 7);
    CHECK(follower.AcceptsWork(kStart + kConfigurationDeadline - Duration(1)));
    CHECK_FALSE(follower.AcceptsWork(kStart + kConfigurationDeadline));

    SECTION("a lower head is never applied") {
      const auto polls = follower.Tick(kStart + seconds(3));
      REQUIRE(FindAction<ReadRow>(polls) != nullptr);
      const auto actions =
          follower.OnHead(FindAction<ReadRow>(polls)->op, HeadAt(6, "m6"), kStart + seconds(3));
      CHECK(FindAction<FollowerError>(actions) != nullptr);
      CHECK(follower.InForce().revision == 7);
      CHECK(follower.HighestSeen() == 7);
    }

    SECTION("a hint triggers a poll but applies nothing") {
      const auto actions = follower.OnHint(9, kStart + seconds(1));
      REQUIRE(FindAction<ReadRow>(actions) != nullptr);
      CHECK(follower.InForce().revision == 7);
      CHECK(follower.HighestSeen() == 7);
      CHECK(FindAction<ReadRow>(follower.OnHint(9, kStart + seconds(1))) == nullptr);
    }

    SECTION("its own reads have failed for 5 s") {
      const auto actions = follower.Tick(kStart + seconds(6));
      REQUIRE(FindAction<SendProbes>(actions) != nullptr);
      const SendProbes round = *FindAction<SendProbes>(actions);

      SECTION("a read by a peer confirms the configuration") {
        TableProbeAnswer answer = Answer("b", round);
        answer.reached_table = true;
        answer.reached_ms_ago = 500;
        answer.revision = answer.in_force = 7;
        follower.OnProbeAnswer(answer, kStart + seconds(6));
        CHECK(follower.Isolation(kStart + seconds(12)) == IsolationState::kServing);
        CHECK(follower.Isolation(kStart + seconds(13)) == IsolationState::kIsolated);
      }

      SECTION("the table is down for all when half of the peers answer and none has reached it") {
        follower.OnProbeAnswer(Answer("b", round), kStart + seconds(6));
        const auto judged = follower.Tick(kStart + seconds(6) + kProbeTimeout);
        REQUIRE(FindAction<ReachabilityVerdict>(judged) != nullptr);
        CHECK(FindAction<ReachabilityVerdict>(judged)->owner_frozen_until > kStart + seconds(8));
        CHECK(follower.Isolation(kStart + seconds(8)) == IsolationState::kTableDown);
      }

      SECTION("without answers the instance refuses new work") {
        follower.Tick(kStart + seconds(6) + kProbeTimeout);
        CHECK(follower.Isolation(kStart + seconds(8)) == IsolationState::kIsolated);
      }

      SECTION("an answer that reports its eviction ends the frozen view") {
        TableProbeAnswer answer = Answer("b", round);
        answer.requester_evicted = true;
        follower.OnProbeAnswer(answer, kStart + seconds(6));
        const auto judged = follower.OnProbeAnswer(Answer("c", round), kStart + seconds(6));
        REQUIRE(FindAction<ReachabilityVerdict>(judged) != nullptr);
        CHECK(FindAction<ReachabilityVerdict>(judged)->evicted);
        CHECK(FindAction<ReachabilityVerdict>(judged)->owner_frozen_until == TimePoint{});
      }
    }

    SECTION("a data centre is taken out at once, even while the new manifest cannot be fetched") {
      const auto polls = follower.Tick(kStart + seconds(3));
      REQUIRE(FindAction<ReadRow>(polls) != nullptr);
      const HeadRow out{8, "m8", {"dc1"}, "ann", "n"};
      const auto actions = follower.OnHead(FindAction<ReadRow>(polls)->op,
                                           {TableStatus::kOk, {kHeadKey, 20, SerializeRow(out)}},
                                           kStart + seconds(3));
      REQUIRE(FindAction<DataCentresOut>(actions) != nullptr);
      CHECK(FindAction<DataCentresOut>(actions)->data_centres.count("dc1") == 1);
      follower.OnManifest("m8", false, kStart + seconds(4));
      CHECK(follower.InForce().revision == 7);
      CHECK_FALSE(follower.AcceptsWork(kStart + seconds(10)));
    }
  }
}
