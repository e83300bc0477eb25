#include "lease.h"

#include <catch2/catch.hpp>

using namespace chiverail;

// Guards against a holder that still acts when observers may already treat its lease as lapsed.
TEST_CASE("A lease") {
  Lease lease(1);
  const TimePoint start = TimePoint(seconds(100));
  REQUIRE(std::get<LeaseRenew>(lease.NextAction(start)).sequence == 1);

  SECTION("is valid from the start of the write, not from the answer") {
    lease.OnRenewed(1, start + seconds(9));
    CHECK(lease.IsValid(start + kLeaseValidity - Duration(1)));
    CHECK_FALSE(lease.IsValid(start + kLeaseValidity));
  }

  SECTION("is not renewed while a write is in flight, and is retried after a failure") {
    CHECK(std::holds_alternative<LeaseWait>(lease.NextAction(start + seconds(6))));
    lease.OnRenewFailed(start + seconds(6));
    CHECK(std::holds_alternative<LeaseWait>(lease.NextAction(start + milliseconds(6900))));
    CHECK(std::get<LeaseRenew>(lease.NextAction(start + seconds(9))).sequence == 2);

    SECTION("a lost answer that is recovered later counts from the start of its own write") {
      lease.OnRenewed(1, start + seconds(10));
      CHECK(lease.IsValid(start + seconds(14)));
      CHECK_FALSE(lease.IsValid(start + seconds(15)));
    }
  }
}
