#include "manifest.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "json_fields.h"
#include "manifest_diff.h"

using namespace chiverail;
using nlohmann::json;

namespace {

json SmallManifest() {
  return json::parse(R"({
    "site": "emmental",
    "models": [{"id": "writer", "version": "3", "adapters": ["letters"]}],
    "workspaces": [{"id": "w1", "share": 2.5}, {"id": "w2"}],
    "data_centres": [{"id": "dc1", "region": "north"}],
    "services": [{"id": "bookings", "operations": [{"name": "book", "idempotent": false}]}],
    "upstreams": [
      {"id": "e1", "kind": "engine", "data_centre": "dc1", "address": "127.0.0.1:9001",
       "model": "writer", "version": "3", "adapters": ["letters"], "cold_limit": 2},
      {"id": "b1", "kind": "plain", "data_centre": "dc1", "address": "127.0.0.1:9002",
       "service": "bookings"}]
  })");
}

std::vector<std::string> FaultsOf(const json& document) {
  std::vector<std::string> lines;
  try {
    ParseManifest(document);
  } catch (const InvalidDocument& invalid) {
    for (const JsonFault& fault : invalid.faults()) {
      lines.push_back(fault.pointer + ": " + fault.reason);
    }
  }
  return lines;
}

}  // namespace

TEST_CASE("A manifest is parsed and checked") {
  json document = SmallManifest();

  SECTION("a valid one is read, and its written form is read back unchanged") {
    const Manifest manifest = ParseManifest(document);
    CHECK(manifest.upstreams[0].cold_limit == 2);
    CHECK(manifest.workspaces[1].share == 1.0);
    CHECK(manifest.longest_request == seconds(120));
    CHECK(ManifestToJson(ParseManifest(ManifestToJson(manifest))) == ManifestToJson(manifest));
  }

  SECTION("all faults are reported together, not only the first") {
    document["load_multiple"] = 0.5;
    document["load_report_lag_ms"] = "soon";
    document["upstreams"][0]["model"] = "writr";
    document["upstreams"][0]["adress"] = "127.0.0.1:9001";
    document["upstreams"][0].erase("address");
    document["upstreams"][1]["address"] = "localhost:80";
    document["services"][0]["operations"][0].erase("idempotent");
    CHECK(FaultsOf(document) ==
          std::vector<std::string>{
              "/load_multiple: 0.5 is outside 1.0 to 10.0",
              "/load_report_lag_ms: expected a whole number, found string",
              "/services/0/operations/0/idempotent: missing",
              "/upstreams/0/address: missing",
              "/upstreams/0/model: \"writr\" is not a declared model; did you mean \"writer\"?",
              "/upstreams/0/adress: unknown key; did you mean \"address\"?",
              "/upstreams/1/address: \"localhost:80\" is not an address of the form ip:port",
          });
  }

  SECTION("two items with one id are refused, since the second would replace the first") {
    document["workspaces"][1]["id"] = "w1";
    document["upstreams"][1]["address"] = "127.0.0.1:9001";
    CHECK(FaultsOf(document) ==
          std::vector<std::string>{
              "/workspaces/1/id: \"w1\" is already the item at index 0",
              "/upstreams/1/address: \"127.0.0.1:9001\" is already the address of upstream 0",
          });
  }

  SECTION("a workspace id with a slash is refused, since it would name another call row") {
    document["workspaces"][0]["id"] = "a/b";
    CHECK(FaultsOf(document).size() == 1);
  }

  SECTION("an engine's fields on a plain service are unknown keys") {
    document["upstreams"][1]["model"] = "writer";
    CHECK(FaultsOf(document) == std::vector<std::string>{"/upstreams/1/model: unknown key"});
  }

  SECTION("numbers beyond the integer range do not wrap around") {
    document["upstreams"][0]["cold_limit"] = 18446744073709551615ULL;
    document["upstreams"][0]["max_concurrency"] = 2.5;
    CHECK(FaultsOf(document).size() == 2);
  }

  SECTION("a document that is not an object is one fault, and so is malformed text") {
    CHECK(FaultsOf(json::array()) == std::vector<std::string>{": expected an object, found array"});
    CHECK_THROWS_AS(ParseJsonText("{\"a\":"), InvalidDocument);
    CHECK_THROWS_AS(ParseJsonText(R"({"a":{"b":1,"b":2}})"), InvalidDocument);
    CHECK(ParseJsonText(R"({"a":{"b":1},"b":2})").size() == 2);
  }
}

TEST_CASE("Addresses need a numeric host and a port") {
  CHECK(IsSocketAddress("10.0.0.1:80"));
  CHECK_FALSE(IsSocketAddress("[::1]:80"));  // the HTTP client connects to IPv4 addresses only
  CHECK_FALSE(IsSocketAddress("10.0.0.1"));
  CHECK_FALSE(IsSocketAddress("10.0.0.1:0"));
  CHECK(IsSocketAddress("10.0.0.1:0", true));
  CHECK_FALSE(IsSocketAddress("10.0.0.1:70000"));
  CHECK_FALSE(IsSocketAddress("10.0.0.256:80"));
  CHECK_FALSE(IsSocketAddress("host:80"));
}

TEST_CASE("Two manifests are compared by id") {
  const Manifest before = ParseManifest(SmallManifest());
  json document = SmallManifest();

  SECTION("the order of items does not count as a difference") {
    std::reverse(document["workspaces"].begin(), document["workspaces"].end());
    CHECK(DiffToText(DiffManifests(before, ParseManifest(document))) == "no difference\n");
  }

  SECTION("additions, removals and changed fields are listed") {
    document["load_multiple"] = 1.5;
    document["workspaces"].erase(1);
    document["workspaces"].push_back({{"id", "w3"}});
    document["upstreams"][0]["cold_limit"] = 4;
    const auto changes = DiffManifests(before, ParseManifest(document));
    CHECK(DiffToText(changes) ==
          "changed site\n  load_multiple: 1.25 -> 1.5\n"
          "removed workspace w2\nadded workspace w3\n"
          "changed upstream e1\n  cold_limit: 2 -> 4\n");
    CHECK(DiffSummary(changes) ==
          "site values changed, 1 workspace added, 1 workspace removed, 1 upstream changed");
    CHECK(DiffToJson(changes)[3]["fields"]["cold_limit"]["to"] == 4);
  }
}
