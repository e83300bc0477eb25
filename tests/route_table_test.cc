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

TEST_CASE("A request finds its route") {
  const RouteTable table = MakeTable();
  SECTION("by the longest prefix that begins its path") {
    REQUIRE(table.Match("desk.example", "/a/b/c") != nullptr);
    CHECK(table.Match("desk.example", "/a/b/c")->name == "long");
    CHECK(table.Match("desk.example", "/a/x")->name == "short");
  }
  SECTION("whatever its query holds") {
    CHECK(table.Match("desk.example", "/a/?to=/a/b/")->name == "short");
  }
  SECTION("with a port behind the host, in any case") {
    CHECK(table.Match("Desk.Example:8080", "/a/x") != nullptr);
  }
  SECTION("or none") {
    CHECK(table.Match("other.example", "/a/x") == nullptr);
    CHECK(table.Match("desk.example", "/ab/") == nullptr);
  }
}

TEST_CASE("The rank of a route counts against the most urgent one of its service") {
  RoutingConfig config;
  config.routes = {MakeRoute("report", "/a/"), MakeRoute("chat", "/b/")};
  config.routes[0].priority = 3;
  config.routes[1].priority = 2;
  const RouteTable table(std::move(config));
  CHECK(table.MostUrgent("engines") == 2);
  CHECK(table.MostUrgent("unknown") == 0);
}

TEST_CASE("A key names its workspace") {
  const RouteTable table = MakeTable();
  REQUIRE(table.WorkspaceOfKey("key-1") != nullptr);
  CHECK(*table.WorkspaceOfKey("key-1") == "gusseisen");
  CHECK(table.WorkspaceOfKey("key-2") == nullptr);
}

TEST_CASE("A split gives each target its share") {
  Route route = MakeRoute("split", "/a/");
  route.targets = {{"engines", 90}, {"trial", 10}};
  int trial = 0;
  for (std::uint64_t point = 0; point < 1000; ++point) {
    trial += PickTarget(route, point).service == "trial" ? 1 : 0;
  }
  CHECK(trial == 100);
}

}  // namespace chiverail
