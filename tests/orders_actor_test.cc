#include "orders_actor.h"

#include <catch2/catch.hpp>

using namespace chiverail;

TEST_CASE("An engine is ordered to load what the manifest declares and its report lacks") {
  Upstream declared;
  declared.id = "writer-1";
  declared.model = "writer";
  declared.version = "2";
  declared.adapters = {"letters", "reports"};

  SECTION("an engine that has loaded everything declared gets no orders") {
    CHECK(MissingOrders(declared, {"writer", "2", {"reports", "letters", "old"}}).empty());
  }
  SECTION("a missing version and a missing adapter are ordered with separate subjects") {
    const auto orders = MissingOrders(declared, {"writer", "1", {"letters"}});
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].kind == "load_version");
    CHECK(orders[0].target == "2");
    CHECK(orders[1].kind == "load_adapter");
    CHECK(orders[1].target == "reports");
    CHECK(orders[0].subject != orders[1].subject);
  }
}
