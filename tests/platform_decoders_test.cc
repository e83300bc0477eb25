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
   "target_latency_ms":600,"gap_target_ms":400,"priority":1,"traffic_split":[{"service":"s1","weight":90},
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
  return {key, deleted ? "" : "value", version, deleted};
}

}  // namespace

// Compares the names with a copy of the published table, so that a typing error is detected.
TEST_CASE("The names match the published table") {
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

TEST_CASE("Prompt segments are parsed from their header field") {
  const auto parse = wire::Headers().parse_prompt_segments;
  const auto segments = parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  REQUIRE(segments.size() == 3);
  CHECK(segments[1].id == "91bd3f06");
  CHECK(segments[1].tokens == 410);
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
  CHECK(config.routes[0].event_gap == milliseconds(400));
  CHECK(config.routes[1].kind == WorkKind::kIdempotent);
  CHECK(config.routes[1].is_public);
  CHECK(config.routes[1].targets[0].service == "s2");
  CHECK(config.services[0].is_engine);
  CHECK(config.services[0].cold_per_second == 18.0);
  CHECK(config.keys_required);
  CHECK(config.workspace_of_key.at("k-2") == "t-1");
  CHECK(config.limits.idle_timeout == seconds(15));
  CHECK(config.routes[0].priority == 1);
  CHECK(config.low_priority_workspaces.empty());
  SECTION("workspaces with a lower priority are marked") {
    json document = json::parse(kConfig);
    document["tenants"].push_back({{"name", "t-2"}, {"api_keys", {"k-3"}}, {"priority", 4}});
    document["tenants"].push_back({{"name", "t-3"}, {"api_keys", {"k-4"}}});
    CHECK(DecodeConfig(document.dump()).low_priority_workspaces == std::set<WorkspaceId>{"t-2"});
  }
  SECTION("an invalid configuration is rejected as a whole") {
    CHECK_THROWS(DecodeConfig("{"));
    CHECK_THROWS(DecodeConfig(R"({"version":8,"routes":[{"host":3}],"services":[]})"));
  }
  SECTION("work of an unknown kind is not retried") {
    json changed = json::parse(kConfig);
    changed["routes"][1]["kind"] = "novel";
    CHECK(DecodeConfig(changed.dump()).routes[1].kind == WorkKind::kAtMostOnce);
  }
}

TEST_CASE("Entries of workers are decoded") {
  const auto entry = DecodeUpstream("i-1", ReadyEntry().dump());
  REQUIRE(entry);
  CHECK(entry->address == "10.0.0.9:8080");
  CHECK(entry->cold_remaining == milliseconds(1500));
  CHECK(entry->started_ms == 1700000000123);
  CHECK_FALSE(entry->draining);

  // Other writers leave malformed entries in the table. Each must be ignored without affecting the
  // other entries.
  SECTION("malformed entries are ignored") {
    for (const char* field : {"service", "address", "zone", "version", "slots", "state",
                              "cold_remaining_ms", "sequence"}) {
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

  // Guards against numbers that become any others when they are converted (reports of other
  // operators, review/3): a port, slots, or a start that makes all later entries look old.
  SECTION("entries with a number of another type or size are ignored") {
    const auto with = [](const char* field, const std::string& number) {
      std::string text = ReadyEntry().dump();
      const std::string name = "\"" + std::string(field) + "\":";
      const std::size_t begin = text.find(name) + name.size();
      return text.replace(begin, text.find_first_of(",}", begin) - begin, number);
    };
    for (const char* slots :
         {"0", "-1", "64.5", "99999999999", "18446744073709551615", "1e300", "1e999", "true"}) {
      CHECK_FALSE(DecodeUpstream("i-1", with("slots", slots)));
    }
    for (const char* born : {"1700000000123.5", "1.7e12", "-1", "18446744073709551615", "1e300",
                             "\"1700000000123\"", "null"}) {
      CHECK_FALSE(DecodeUpstream("i-1", with("born", born)));
    }
    for (const char* cold : {"1e300", "1e999", "\"0\"", "999999999999999999"}) {
      CHECK_FALSE(DecodeUpstream("i-1", with("cold_remaining_ms", cold)));
    }
    for (const char* port :
         {"0", "65536", "99999", "80800", "-1", "8080x", "", "1e3", "18446744073709559696"}) {
      json address = ReadyEntry();
      address["address"] = "10.0.0.9:" + std::string(port);
      CHECK_FALSE(DecodeUpstream("i-1", address.dump()));
    }
    CHECK(DecodeUpstream("i-1", with("cold_remaining_ms", "-5"))->cold_remaining == Duration{});
    CHECK_FALSE(DecodeUpstream("i-1", with("sequence", "1e300")));
  }

  // Guards against a stack or memory that runs out on a row of another writer.
  SECTION("entries that are deeply nested do no harm") {
    const std::size_t depth = 2'000'000;
    const std::string lists = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (int i = 0; i < 300'000; ++i) {
      objects += "{\"a\":";
    }
    objects += "1" + std::string(300'000, '}');
    for (const std::string& nested : {lists, objects}) {
      CHECK_FALSE(DecodeUpstream("i-1", nested));
      CHECK_FALSE(DecodeUpstream("i-1", nested.substr(0, nested.size() / 2)));
      std::string extra = ReadyEntry().dump();
      extra.insert(1, "\"new\":" + nested + ",");
      CHECK(DecodeUpstream("i-1", extra));
      std::string slots = ReadyEntry().dump();
      slots.insert(1, "\"slots\":" + nested + ",");
      CHECK(DecodeUpstream("i-1", slots));  // the last value of a field counts
    }
  }
}

TEST_CASE("Responses of the store are decoded") {
  int malformed = 0;
  const auto response = DecodeStoreResponse(
      200,
      R"({"rows":[{"key":"a","value":"aGk=","ver":4},{"key":"b","ver":5,"tombstone":true},
         {"key":"c","value":"***","ver":6},{"value":"aGk="}],"ver":9,"now_ms":1})",
      &malformed);
  CHECK(response.status == StoreStatus::kOk);
  REQUIRE(response.rows.size() == 2);
  CHECK(response.rows[0].value == "hi");
  CHECK(response.rows[1].deleted);
  CHECK(response.version == 9);
  CHECK(malformed == 2);
  CHECK(DecodeStoreResponse(410, "", &malformed).status == StoreStatus::kHistoryGone);
  CHECK(DecodeStoreResponse(412, "{}", &malformed).status == StoreStatus::kConflict);
  CHECK(DecodeStoreResponse(503, "", &malformed).status == StoreStatus::kRefused);
  CHECK(DecodeStoreResponse(200, "cut", &malformed).status == StoreStatus::kUnknown);
}

// Guards against a listing that was cut off with its connection and is taken for a shorter one.
TEST_CASE("A listing that was cut off is not a shorter listing") {
  const std::string listing =
      R"({"rows":[{"key":"a","value":"aGk=","ver":4},{"key":"c","value":"aGk=","ver":6}],"ver":9})";
  int malformed = 0;
  for (std::size_t size = 0; size < listing.size(); ++size) {
    CAPTURE(size);
    CHECK(DecodeStoreResponse(200, listing.substr(0, size), &malformed).status ==
          StoreStatus::kUnknown);
  }
  CHECK(DecodeStoreResponse(200, listing, &malformed).rows.size() == 2);
}

TEST_CASE("A copy of a table is mirrored") {
  TableCopy copy;
  CHECK(copy.IsStale(kStart));
  copy.Replace({Row("a", 3), Row("b", 5)}, 10, kStart);
  copy.ApplyChanges({Row("c", 12), Row("a", 13, true)}, 13, kStart + seconds(1));

  SECTION("from the version of the reading instance, including deletions") {
    const auto changes = copy.ChangesAfter(10);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->at(0).key == "c");
    CHECK(changes->at(1).deleted);
    CHECK(copy.ChangesAfter(13)->empty());
  }
  SECTION("but not from a version before the listing, as earlier deletions are not known") {
    CHECK_FALSE(copy.ChangesAfter(9));
  }
  SECTION("as a full listing") {
    CHECK(copy.Rows().size() == 2);
  }
  // Guards against control traffic that grows with heartbeats: each upstream writes its entry every
  // 1.2 s, and 165 of them kept every poll of a mirror from waiting.
  SECTION("without rows that were written again with the same meaning") {
    copy.SetSameMeaning([](const std::string& before, const std::string& after) {
      return before.substr(0, 1) == after.substr(0, 1);
    });
    StoreRow row = Row("c", 20);
    row.value += " heartbeat";
    copy.ApplyChanges({row}, 20, kStart + seconds(1));
    CHECK(copy.ChangesAfter(13)->empty());
    CHECK(copy.version() == 20);
    CHECK(copy.changed_version() == 13);
    row.version = 21;
    row.value = "other";
    copy.ApplyChanges({row}, 21, kStart + seconds(1));
    REQUIRE(copy.ChangesAfter(20)->size() == 1);
    CHECK(copy.changed_version() == 21);
  }
  // Guards against readers of a copy that take a write which took effect late for one of a living
  // upstream (review/10): heartbeats don't reach them.
  SECTION("with the first row that is written again after a change, and no further one") {
    copy.SetSameMeaning([](const std::string& before, const std::string& after) {
      return before.substr(0, 1) == after.substr(0, 1);
    });
    copy.ApplyChanges({Row("d", 14)}, 14, kStart + seconds(1));
    copy.ApplyChanges({Row("d", 15)}, 15, kStart + seconds(2));
    CHECK(copy.ChangesAfter(14)->size() == 1);
    copy.ApplyChanges({Row("d", 16)}, 16, kStart + seconds(3));
    CHECK(copy.ChangesAfter(15)->empty());
  }
  SECTION("with the last value of a row that was deleted, and when that was written") {
    copy.ApplyChanges({Row("c", 14)}, 14, kStart + seconds(2));
    copy.ApplyChanges({Row("c", 15, true)}, 15, kStart + seconds(5));
    const StoreRow deleted = copy.ChangesAfter(14)->at(0);
    CHECK(deleted.deleted);
    CHECK(deleted.value == Row("c", 14).value);
    CHECK(deleted.silence == seconds(3));
    SECTION("as another instance has told it") {
      TableCopy second;
      second.Replace({Row("c", 12)}, 12, kStart + seconds(1));
      second.ApplyChanges({deleted}, 15, kStart + seconds(6));
      CHECK(second.ChangesAfter(14)->at(0).silence == seconds(3));
    }
  }
  // Guards against a wave of listings: when the store dropped its history, a reader listed the
  // table again, and all instances that read from it had to do so too.
  SECTION("through a new listing of this instance, as the differences to the one before") {
    copy.Replace({Row("c", 12), Row("d", 15)}, 30, kStart + seconds(2));
    const auto changes = copy.ChangesAfter(13);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->at(0).key == "d");
    CHECK(changes->at(1).key == "b");
    CHECK(changes->at(1).deleted);
  }
  // cdsaa-rail scale-2: a mirror reader whose calls the store refused kept serving old rows, which
  // delayed the instances that read from it.
  SECTION("only while it is fresh") {
    CHECK_FALSE(copy.IsStale(kStart + seconds(2)));
    CHECK(copy.IsStale(kStart + seconds(3)));
  }
}

}  // namespace chiverail
