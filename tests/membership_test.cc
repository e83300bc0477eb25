#include "membership.h"

#include <catch2/catch.hpp>

#include "fake_platform.h"

using namespace chiverail;

namespace {

// An instance whose table operations are executed and answered at once.
struct Instance {
  Instance(FakeTable& platform, const InstanceId& id, std::uint64_t generation)
      : table(platform), membership({{id, generation, "dc1", "", "", {}}, {"dc1"}, generation}) {}

  void Perform(const MembershipActions& actions, TimePoint now) {
    for (const MembershipAction& action : actions) {
      if (lost_operations > 0 &&
          (std::holds_alternative<ReadRow>(action) || std::holds_alternative<WriteRows>(action))) {
        --lost_operations;
        continue;
      }
      evicted += std::holds_alternative<Evicted>(action) ? 1 : 0;
      leaving += std::holds_alternative<MarkedLeaving>(action) ? 1 : 0;
      released += std::holds_alternative<Released>(action) ? 1 : 0;
      faults += std::holds_alternative<MembershipError>(action) ? 1 : 0;
      if (const auto* read = std::get_if<ReadRow>(&action)) {
        Perform(membership.OnRead(read->op, table.Read(read->key), now), now);
      } else if (const auto* write = std::get_if<WriteRows>(&action)) {
        Perform(membership.OnWrite(write->op, table.Write(write->transaction), now), now);
      }
    }
  }

  void Run(TimePoint from, Duration length) {
    for (TimePoint now = from; now < from + length; now += milliseconds(250)) {
      Perform(membership.Tick(now), now);
    }
  }

  FakeTable& table;
  Membership membership;
  int lost_operations = 0;  // the next ones are neither executed nor answered
  int evicted = 0;
  int leaving = 0;
  int released = 0;
  int faults = 0;
};

}  // namespace

// Guards against two active runs under one id, evictions of live instances, and a wrong state after
// a lost answer to a write.
TEST_CASE("Membership of an instance") {
  FakeTable table;
  const TimePoint start = TimePoint(seconds(1000));
  Instance a(table, "a", 1);

  SECTION("joins with its lease in one transaction, even when the answer is lost") {
    table.lost_answers = GENERATE(0.0, 1.0);
    a.Run(start, seconds(4));
    CHECK(a.membership.IsMember());
    CHECK(a.membership.MayGrant(start + seconds(4)));
    CHECK(a.membership.rows().at("dc1").epoch == 1);
    CHECK(a.evicted == 0);
  }

  SECTION("operations that are never answered delay joining by the operation timeout only") {
    a.lost_operations = GENERATE(1, 2, 3, 4);
    a.Run(start, 2 * kDefaultTableOperationTimeout + seconds(10));
    CHECK(a.membership.IsMember());
  }

  SECTION("a renewal that is never answered counts as a write of unknown outcome") {
    a.Run(start, seconds(4));
    a.lost_operations = 3;
    a.Run(start + seconds(4), 2 * kDefaultTableOperationTimeout + seconds(10));
    CHECK(a.lost_operations == 0);
    CHECK(a.membership.IsMember());
    CHECK(a.membership.HoldsLease(start + seconds(4) + 2 * kDefaultTableOperationTimeout +
                                  seconds(10)));
    CHECK(a.evicted == 0);
  }

  SECTION("the result of an operation of an earlier run is not taken for one of this run") {
    Instance b(table, "b", 2);
    const MembershipActions earlier = a.membership.Tick(start);
    const MembershipActions later = b.membership.Tick(start);
    REQUIRE(std::holds_alternative<ReadRow>(earlier.at(0)));
    REQUIRE(std::holds_alternative<ReadRow>(later.at(0)));
    CHECK(std::get<ReadRow>(earlier.at(0)).op != std::get<ReadRow>(later.at(0)).op);
  }

  SECTION("a member that stops is evicted after its lease has lapsed") {
    a.Run(start, seconds(4));
    Instance b(table, "b", 2);
    b.Run(start + seconds(4), seconds(16));
    CHECK(b.membership.rows().at("dc1").members.size() == 2);
    CHECK_FALSE(a.membership.MayGrant(start + seconds(20)));
    b.Run(start + seconds(20), seconds(8));
    CHECK(b.membership.rows().at("dc1").members.size() == 1);
    CHECK(b.membership.HasLeft("a"));

    SECTION("and joins with a new generation when it returns") {
      a.Run(start + seconds(28), seconds(6));
      CHECK(a.evicted == 1);
      CHECK(a.membership.IsMember());
      CHECK(a.membership.self().generation == 2);
    }
  }

  SECTION("an outage of the table evicts nobody") {
    a.Run(start, seconds(4));
    Instance b(table, "b", 2);
    b.Run(start + seconds(4), seconds(2));
    table.down = true;
    b.Run(start + seconds(6), seconds(60));
    table.down = false;
    b.Run(start + seconds(66), seconds(3));
    a.Run(start + seconds(69), seconds(3));
    CHECK(a.membership.MayGrant(start + seconds(72)));
    CHECK(a.evicted == 0);

    SECTION("the frozen view ends when the table is reached again") {
      b.Perform(
          b.membership.OnReachability({{}, start + seconds(200), false}, start + seconds(100)),
          start + seconds(100));
      CHECK(b.membership.IsFrozen(start + seconds(100)));
      table.down = true;
      b.Run(start + seconds(100), seconds(3));
      CHECK(b.membership.IsFrozen(start + seconds(103)));
      table.down = false;
      b.Run(start + seconds(103), seconds(3));
      CHECK_FALSE(b.membership.IsFrozen(start + seconds(106)));
      CHECK(b.membership.HoldsLease(start + seconds(106)));
    }
  }

  SECTION("a new run under the same id waits for the lease of the earlier one") {
    a.Run(start, seconds(4));
    Instance second_run(table, "a", 9);
    second_run.Run(start + seconds(4), seconds(16));
    CHECK_FALSE(second_run.membership.IsMember());
    second_run.Run(start + seconds(20), seconds(4));
    CHECK(second_run.membership.IsMember());
    CHECK(second_run.membership.rows().at("dc1").members.size() == 1);
    a.Run(start + seconds(24), seconds(1));
    CHECK(a.evicted == 1);
    CHECK_FALSE(a.membership.MayGrant(start + seconds(25)));
  }

  SECTION("a planned stop marks, then releases, and the next run joins at once") {
    a.Run(start, seconds(4));
    a.Perform(a.membership.Leave(start + seconds(4)), start + seconds(4));
    CHECK(a.leaving == 1);
    CHECK(a.membership.MayGrant(start + seconds(4)));
    a.Perform(a.membership.Release(start + seconds(5)), start + seconds(5));
    CHECK(a.released == 1);
    CHECK_FALSE(a.membership.MayGrant(start + seconds(5)));
    CHECK(table.Value("lease/a").empty());
    Instance second_run(table, "a", 9);
    second_run.Run(start + seconds(6), seconds(2));
    CHECK(second_run.membership.IsMember());
  }

  SECTION("a malformed row is reported and changes nothing") {
    a.Run(start, seconds(4));
    table.Write({{}, {{"epoch/dc1", "{}"}}, {}});
    a.Run(start + seconds(4), seconds(4));
    CHECK(a.faults > 0);
    CHECK(a.membership.IsMember());
  }
}
