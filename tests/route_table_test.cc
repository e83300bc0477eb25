#include "route_table.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "desk.example";
  route.prefix = prefix;
  route.targets = {{"engines", 1}};
  return route;
}

RouteTable MakeTable() {
  RoutingConfig config;
  config.version = 7;
  config.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/")};
  config.workspace_of_key["key-1"] = "gusseisen";
  return RouteTable(std::move(config));
}

}  // namespace

TEST_CASE("Requests are matched to routes") {
  const RouteTable table = MakeTable();
  SECTION("by the longest prefix of the path") {
    REQUIRE(table.Match("desk.example", "/a/b/c") != nullptr);
    CHECK(table.Match("desk.example", "/a/b/c")->name == "long");
    CHECK(table.Match("desk.example", "/a/x")->name == "short");
  }
  SECTION("ignoring the query") {
    CHECK(table.Match("desk.example", "/a/?to=/a/b/")->name == "short");
  }
  SECTION("ignoring the port and the case of the host") {
    CHECK(table.Match("Desk.Example:8080", "/a/x") != nullptr);
  }
  SECTION("a request without a matching route gets none") {
    CHECK(table.Match("other.example", "/a/x") == nullptr);
    CHECK(table.Match("desk.example", "/ab/") == nullptr);
  }
}

TEST_CASE("The most urgent priority of a service is that of its most urgent route") {
  RoutingConfig config;
  config.routes = {MakeRoute("report", "/a/"), MakeRoute("chat", "/b/")};
  config.routes[0].priority = 3;
  config.routes[1].priority = 2;
  const RouteTable table(std::move(config));
  CHECK(table.HighestPriority("engines") == 2);
  CHECK(table.HighestPriority("unknown") == 0);
}

TEST_CASE("A key is mapped to its workspace") {
  const RouteTable table = MakeTable();
  REQUIRE(table.WorkspaceOfKey("key-1") != nullptr);
  CHECK(*table.WorkspaceOfKey("key-1") == "gusseisen");
  CHECK(table.WorkspaceOfKey("key-2") == nullptr);
}

TEST_CASE("Each target of a route gets its share of the requests") {
  Route route = MakeRoute("split", "/a/");
  route.targets = {{"engines", 90}, {"trial", 10}};
  int trial = 0;
  for (std::uint64_t random = 0; random < 1000; ++random) {
    trial += PickTarget(route, random).service == "trial" ? 1 : 0;
  }
  CHECK(trial == 100);
}

}  // namespace chiverail
