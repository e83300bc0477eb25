#include "decoders.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "row_mirror.h"
#include "store_client.h"
#include "wire_names.h"

namespace chiverail {
namespace {

using nlohmann::json;

constexpr TimePoint kStart{seconds(1000)};

const char* const kConfig = R"({"version":7,"routes":[
  {"name":"r-1","host":"h.example","prefix":"/a/","kind":"stream","timeout_ms":12000,
   "target_latency_ms":600,"priority":1,"traffic_split":[{"service":"s1","weight":90},
   {"service":"s2","weight":10}],"attempts":1,"public":false,"stream_resume":false,"new":1},
  {"name":"r-2","host":"h.example","prefix":"/b/","kind":"safe","timeout_ms":800,
   "service":"s2","attempts":2,"public":true}],
  "services":[{"name":"s1","max_connections":780,"cold_start_s":3.0,"cold_per_s":18.0,
   "engine":{"slots":64}},{"name":"s2","max_connections":208,"cold_start_s":0.0,"cold_per_s":0.0}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},
  "tenants":[{"name":"t-1","api_keys":["k-1","k-2"],"priority":1}]})";

json ReadyEntry() {
  return json::parse(R"({"service":"s1","address":"10.0.0.9:8080","zone":"bern-a","version":"v1",
    "slots":64,"state":"ready","cold_remaining_ms":1500,"sequence":4,"born":1700000000123})");
}

StoreRow Row(const std::string& key, std::uint64_t version, bool deleted = false) {
  return {key, "value", version, deleted};
}

}  // namespace

// A copy of the published names, so that a slip in the table of names can't hide.
TEST_CASE("The names are those of the published table") {
  const HeaderNames names = wire::Headers();
  CHECK(names.request_id == "X-Request-Id");
  CHECK(names.deadline_ms == "X-Deadline-Ms");
  CHECK(names.key == "X-Credential");
  CHECK(names.workspace == "X-Tenant");
  CHECK(names.expected_upstream == "X-Expect-Instance");
  CHECK(names.prompt_parts == "X-Prompt-Prefix");
  CHECK(names.seal == "X-Response-Seal");
  CHECK(names.not_run == "X-Not-Executed");
  for (const std::string reserved : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From"}) {
    CHECK(std::count(names.reserved.begin(), names.reserved.end(), reserved) == 1);
  }
  CHECK(wire::kReadyPath == "/api/ready");
  CHECK(wire::kDirectoryPath == "/api/resolve");
  CHECK(wire::kTransactionPath == "/api/rows-tx");
  CHECK(wire::kRowsPath == "/api/rows-get");
  CHECK(wire::kChangesPath == "/api/rows-feed");
  CHECK(json::parse(EncodeDirectory({"10.0.0.1:80"}, 2)) ==
        json::parse(R"({"addresses":["10.0.0.1:80"],"ttl_s":2})"));
}

TEST_CASE("Prompt parts are read from their field") {
  const auto parse = wire::Headers().parse_prompt_parts;
  const auto parts = parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  REQUIRE(parts.size() == 3);
  CHECK(parts[1].id == "91bd3f06");
  CHECK(parts[1].tokens == 410);
  CHECK(parse("").empty());
  CHECK(parse("5c1e07a2").empty());
  CHECK(parse("5c1e07a2:x").empty());
}

TEST_CASE("The operator's configuration is decoded") {
  const RoutingConfig config = DecodeConfig(kConfig);
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].kind == WorkKind::kStream);
  CHECK(config.routes[0].targets.size() == 2);
  CHECK(config.routes[0].objective == milliseconds(600));
  CHECK(config.routes[1].kind == WorkKind::kIdempotent);
  CHECK(config.routes[1].is_public);
  CHECK(config.routes[1].targets[0].service == "s2");
  CHECK(config.services[0].is_engine);
  CHECK(config.services[0].cold_per_second == 18.0);
  CHECK(config.keys_required);
  CHECK(config.workspace_of_key.at("k-2") == "t-1");
  CHECK(config.limits.idle_timeout == seconds(15));
  CHECK(config.routes[0].priority == 1);
  CHECK(config.workspaces_behind.empty());
  SECTION("workspaces that rank behind others are told apart") {
    json document = json::parse(kConfig);
    document["tenants"].push_back({{"name", "t-2"}, {"api_keys", {"k-3"}}, {"priority", 4}});
    document["tenants"].push_back({{"name", "t-3"}, {"api_keys", {"k-4"}}});
    CHECK(DecodeConfig(document.dump()).workspaces_behind == std::set<WorkspaceId>{"t-2"});
  }
  SECTION("one that can't be read is refused as a whole") {
    CHECK_THROWS(DecodeConfig("{"));
    CHECK_THROWS(DecodeConfig(R"({"version":8,"routes":[{"host":3}],"services":[]})"));
  }
  SECTION("a kind of work that isn't known is not repeated") {
    json changed = json::parse(kConfig);
    changed["routes"][1]["kind"] = "novel";
    CHECK(DecodeConfig(changed.dump()).routes[1].kind == WorkKind::kAtMostOnce);
  }
}

TEST_CASE("Entries of workers are decoded") {
  const auto entry = DecodeUpstream("i-1", ReadyEntry().dump());
  REQUIRE(entry);
  CHECK(entry->address == "10.0.0.9:8080");
  CHECK(entry->cold_left == milliseconds(1500));
  CHECK(entry->started_ms == 1700000000123);
  CHECK_FALSE(entry->draining);

  // Another writer leaves such entries there; each must name no worker and harm no other.
  SECTION("malformed ones name no worker") {
    for (const char* field : {"service", "address", "zone", "slots", "state"}) {
      json missing = ReadyEntry();
      missing.erase(field);
      CHECK_FALSE(DecodeUpstream("i-1", missing.dump()));
      json typed = ReadyEntry();
      typed[field] = json::array({1});
      CHECK_FALSE(DecodeUpstream("i-1", typed.dump()));
    }
    json state = ReadyEntry();
    state["state"] = "asleep";
    CHECK_FALSE(DecodeUpstream("i-1", state.dump()));
    json address = ReadyEntry();
    address["address"] = "somewhere";
    CHECK_FALSE(DecodeUpstream("i-1", address.dump()));
    CHECK_FALSE(DecodeUpstream("i-1", "\xff\xfe"));
    CHECK_FALSE(DecodeUpstream("i-1", "[]"));
  }
}

TEST_CASE("Answers of the store are decoded") {
  int malformed = 0;
  const auto answer = DecodeStoreAnswer(
      200,
      R"({"rows":[{"key":"a","value":"aGk=","ver":4},{"key":"b","ver":5,"tombstone":true},
         {"key":"c","value":"***","ver":6},{"value":"aGk="}],"ver":9,"now_ms":1})",
      &malformed);
  CHECK(answer.status == StoreStatus::kOk);
  REQUIRE(answer.rows.size() == 2);
  CHECK(answer.rows[0].value == "hi");
  CHECK(answer.rows[1].deleted);
  CHECK(answer.version == 9);
  CHECK(malformed == 2);
  CHECK(DecodeStoreAnswer(410, "", &malformed).status == StoreStatus::kHistoryGone);
  CHECK(DecodeStoreAnswer(412, "{}", &malformed).status == StoreStatus::kConflict);
  CHECK(DecodeStoreAnswer(503, "", &malformed).status == StoreStatus::kRefused);
  CHECK(DecodeStoreAnswer(200, "cut", &malformed).status == StoreStatus::kUnknown);
}

TEST_CASE("A copy of a table is passed on") {
  RowCopy copy;
  CHECK(copy.TooOld(kStart));
  copy.Replace({Row("a", 3), Row("b", 5)}, 10, kStart);
  copy.Change({Row("c", 12), Row("a", 13, true)}, 13, kStart + seconds(1));

  SECTION("from the asker's version on, deletions included") {
    const auto changes = copy.ChangesAfter(10);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->at(0).key == "c");
    CHECK(changes->at(1).deleted);
    CHECK(copy.ChangesAfter(13)->empty());
  }
  SECTION("but not from before the listing: deletions of then are not known") {
    CHECK_FALSE(copy.ChangesAfter(9));
  }
  SECTION("as a whole") {
    CHECK(copy.Rows().size() == 2);
  }
  // cdsaa-rail scale-2: a reader that the store had turned away held its followers back.
  SECTION("only while it is young") {
    CHECK_FALSE(copy.TooOld(kStart + seconds(2)));
    CHECK(copy.TooOld(kStart + seconds(3)));
  }
}

}  // namespace chiverail
