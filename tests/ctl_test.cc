#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "ctl_command.h"
#include "fake_platform.h"
#include "http_server.h"
#include "ledger_row.h"
#include "rows.h"
#include "source_file.h"

using namespace chiverail;
using nlohmann::json;

namespace {

// Serves the platform's HTTP interface from a fake table, on a separate thread. Tests change the
// table only while no command runs.
class HttpPlatform {
 public:
  HttpPlatform()
      : server_(io_,
                "127.0.0.1:0",
                {},
                [this](HttpServerExchange& exchange, auto) { Handle(exchange); }),
        thread_([this] { io_.run(); }) {}
  ~HttpPlatform() {
    io_.stop();
    thread_.join();
  }

  std::string address() const { return server_.address(); }

  FakeTable table;
  std::map<std::string, std::string> objects;
  bool objects_down = false;
  int object_writes = 0;

 private:
  void Handle(HttpServerExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const HttpTarget target = ParseTarget(request.target);
    if (target.path.rfind("/objects/", 0) == 0) {
      ServeObject(exchange, target.path.substr(9));
    } else if (request.method == "POST") {
      Write(exchange);
    } else if (target.path == "/table") {
      Scan(exchange, target.Parameter("prefix"));
    } else {
      const TableReadResult result = table.Read(PercentDecode(target.path.substr(7)));
      const int status = result.status != TableStatus::kOk ? 503
                         : result.row.version == 0         ? 404
                                                           : 200;
      exchange.Respond(status, status == 200 ? RowToJson(result.row).dump() : "{}");
    }
  }

  static json RowToJson(const TableRow& row) {
    return {{"key", row.key}, {"version", row.version}, {"value", json::parse(row.value)}};
  }

  void Scan(HttpServerExchange& exchange, const std::string& prefix) {
    json rows = json::array();
    for (const auto& [key, row] : table.rows()) {
      if (key.rfind(prefix, 0) == 0) {
        rows.push_back(RowToJson(row));
      }
    }
    exchange.Respond(table.down ? 503 : 200, json{{"rows", rows}}.dump());
  }

  void Write(HttpServerExchange& exchange) {
    const json body = json::parse(exchange.request().body);
    TableTransaction transaction;
    for (const json& condition : body["if"]) {
      transaction.conditions.push_back({condition["key"], condition["version"]});
    }
    for (const json& put : body["put"]) {
      transaction.puts.push_back({put["key"], put["value"].dump()});
    }
    switch (table.Write(transaction).status) {
      case TableStatus::kOk:
        return exchange.Respond(200, R"({"versions":{}})");
      case TableStatus::kConflict:
        return exchange.Respond(409, "{}");
      case TableStatus::kUnavailable:
        return exchange.Respond(503, "{}");
      case TableStatus::kUnknown:
        return exchange.Abort();
    }
  }

  void ServeObject(HttpServerExchange& exchange, const std::string& name) {
    if (objects_down) {
      exchange.Respond(503, "{}");
    } else if (exchange.request().method == "PUT") {
      ++object_writes;
      objects[name] = exchange.request().body;
      exchange.Respond(200, "{}");
    } else {
      exchange.Respond(objects.count(name) > 0 ? 200 : 404, objects[name]);
    }
  }

  boost::asio::io_context io_{1};
  HttpServer server_;
  std::thread thread_;
};

// Runs commands against one platform.
class Operator {
 public:
  explicit Operator(const HttpPlatform& platform) {
    options.platform = platform.address();
    options.json = true;
    options.author = "alice";
    options.wait_timeout = milliseconds(300);
    options.publish_timeout = milliseconds(600);
  }

  // Runs a command and returns its exit code; sets `text` and `document` to its output.
  int Run(const std::vector<std::string>& arguments) {
    std::ostringstream out;
    std::ostringstream errors;
    const ExitCode code = RunCtl(options, arguments, out, errors);
    text = out.str();
    document = json::parse(text, nullptr, false);
    return static_cast<int>(code);
  }

  CtlOptions options;
  std::string text;  // output of the last command
  json document;     // the same, parsed
};

// Writes the example manifest, with one value replaced, to a file that the destructor removes.
class ManifestFile {
 public:
  ManifestFile(const std::string& name, double load_multiple) : path_(name) {
    json manifest = json::parse(ReadSourceFile("examples/emmental/manifest.json"));
    manifest["load_multiple"] = load_multiple;
    std::ofstream(path_) << manifest.dump();
  }
  ~ManifestFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string OneMember() {
  MembersValue value;
  value.row.epoch = 1;
  value.row.members.push_back(
      {"i1", 5, "langnau", "127.0.0.1:1", "tcp://127.0.0.1:2", MemberState::kLive});
  return SerializeRow(value);
}

}  // namespace

TEST_CASE("chiverailctl publishes configuration changes") {
  HttpPlatform platform;
  Operator alice(platform);
  const ManifestFile first("ctl_test_first.json", 1.25);
  const ManifestFile second("ctl_test_second.json", 1.5);
  REQUIRE(alice.Run({"manifest", "apply", first.path()}) == 0);
  REQUIRE(alice.document["revision"] == 1);

  SECTION("a second manifest writes only the changed objects and its audit entry has the author") {
    platform.object_writes = 0;
    CHECK(alice.Run({"manifest", "apply", second.path()}) == 0);
    CHECK(platform.object_writes == 2);  // the index and the chunk with the changed value
    CHECK(alice.Run({"audit"}) == 0);
    CHECK(alice.document["audit"].size() == 2);
    CHECK(alice.document["audit"][1]["author"] == "alice");

    SECTION("the earlier manifest can be applied again as a new revision") {
      CHECK(alice.Run({"manifest", "rollforward", "1"}) == 0);
      CHECK(alice.document["revision"] == 3);
      CHECK(alice.Run({"manifest", "diff", first.path()}) == 0);
      CHECK(alice.document["changes"].empty());
    }
    SECTION("a change based on an older revision is a conflict") {
      alice.options.expect_revision = 1;
      CHECK(alice.Run({"manifest", "apply", first.path()}) == 4);
      CHECK(ParseHead(platform.table.Value("config/head")).revision == 2);
    }
  }

  SECTION("a lost response does not lead to a second revision") {
    platform.table.lost_answers = 1.0;
    CHECK(alice.Run({"manifest", "apply", second.path()}) == 0);
    CHECK(alice.document["revision"] == 2);
    CHECK(ParseHead(platform.table.Value("config/head")).revision == 2);
  }

  SECTION("a lost response that cannot be read back has an unknown outcome") {
    platform.table.lost_answers = 1.0;
    platform.table.on_commit = [&](const TableTransaction&) { platform.table.down = true; };
    CHECK(alice.Run({"manifest", "apply", second.path()}) == 6);
  }

  SECTION("an outage of the table or the object store changes nothing") {
    platform.table.down = true;
    CHECK(alice.Run({"datacentre", "out", "langnau"}) == 5);
    platform.table.down = false;
    platform.objects_down = true;
    CHECK(alice.Run({"manifest", "apply", second.path()}) == 5);
    CHECK(ParseHead(platform.table.Value("config/head")).revision == 1);

    SECTION("a data centre can be taken out with --force while the object store is down") {
      alice.options.force = true;
      CHECK(alice.Run({"datacentre", "out", "langnau"}) == 0);
    }
  }

  SECTION("an undeclared data centre and the last one in service cannot be taken out") {
    CHECK(alice.Run({"datacentre", "out", "langnua"}) == 1);
    CHECK(alice.Run({"datacentre", "out", "langnau"}) == 0);
    CHECK(alice.Run({"datacentre", "out", "burgdorf"}) == 0);
    CHECK(alice.Run({"datacentre", "out", "sumiswald"}) == 1);
    CHECK(alice.Run({"datacentre", "back", "langnau"}) == 0);
    CHECK(ParseHead(platform.table.Value("config/head")).data_centres_out ==
          std::set<DataCentreId>{"burgdorf"});
  }

  SECTION("--wait returns when the lease of every live instance has the revision") {
    alice.options.wait = true;
    platform.table.Write(
        {{},
         {{"members/langnau", OneMember()}, {"lease/i1", SerializeRow(LeaseRow{5, 1, 1})}},
         {}});
    CHECK(alice.Run({"manifest", "apply", second.path()}) == 7);
    platform.table.Write({{}, {{"lease/i1", SerializeRow(LeaseRow{5, 2, 2})}}, {}});
    CHECK(alice.Run({"manifest", "apply", second.path()}) == 0);
    CHECK(alice.document["live_instances"] == 1);
    CHECK(alice.Run({"status"}) == 0);
    CHECK(alice.document["instances"][0]["revision"] == 2);

    SECTION("a lease of an earlier generation of the instance is ignored") {
      platform.table.Write({{}, {{"lease/i1", SerializeRow(LeaseRow{4, 9, 2})}}, {}});
      CHECK(alice.Run({"manifest", "apply", second.path()}) == 7);
    }
  }
}

TEST_CASE("chiverailctl lists and settles calls in doubt") {
  HttpPlatform platform;
  Operator alice(platform);
  CallRow call;
  call.state = CallState::kInDoubt;
  call.nonce = "n1";
  call.upstream = "members-1";
  platform.table.Write({{}, {{"call/hospital/k1", SerializeCallRow(call)}}, {}});
  REQUIRE(alice.Run({"calls"}) == 0);
  REQUIRE(alice.document["calls"][0]["call"] == "hospital/k1");

  // Guards against a list that is complete as JSON and missing from the text output.
  SECTION("the text output lists them, too") {
    alice.options.json = false;
    CHECK(alice.Run({"calls"}) == 0);
    CHECK(alice.text.find("hospital/k1") != std::string::npos);
    CHECK(alice.text.find("no calls in doubt") == std::string::npos);
  }
  SECTION("a call is settled as not run only once") {
    alice.options.settle_as = "not-run";
    CHECK(alice.Run({"calls", "settle", "hospital/k1"}) == 0);
    const CallRow settled = ParseCallRow(platform.table.Value("call/hospital/k1"));
    CHECK(settled.state == CallState::kReleased);
    CHECK(settled.settled_by == "alice");
    CHECK(alice.Run({"calls", "settle", "hospital/k1"}) == 4);
  }
  SECTION("a call settled as ran stores the answer that is returned to repeats") {
    alice.options.settle_as = "ran";
    CHECK(alice.Run({"calls", "settle", "hospital/k1"}) == 0);
    const CallRow settled = ParseCallRow(platform.table.Value("call/hospital/k1"));
    CHECK(settled.state == CallState::kDone);
    CHECK(json::parse(settled.answer.body)["settled_by"] == "alice");
  }
  SECTION("a call is not settled without --as") {
    CHECK(alice.Run({"calls", "settle", "hospital/k1"}) == 2);
    CHECK(ParseCallRow(platform.table.Value("call/hospital/k1")).state == CallState::kInDoubt);
  }
}

// Scripts distinguish the kinds of failure by the exit code.
TEST_CASE("Usage errors and invalid documents have distinct exit codes") {
  HttpPlatform platform;
  Operator alice(platform);
  CHECK(alice.Run({}) == 2);
  CHECK(alice.Run({"manifest", "aply", "f"}) == 2);
  CHECK(alice.Run({"manifest", "apply"}) == 2);
  CHECK(alice.Run({"manifest", "rollforward", "x"}) == 2);
  CHECK(alice.Run({"manifest", "check", "no such file"}) == 1);
  const ManifestFile wrong("ctl_test_wrong.json", 0.5);
  CHECK(alice.Run({"manifest", "check", wrong.path()}) == 3);
  CHECK(alice.document["error"]["faults"][0]["pointer"] == "/load_multiple");
  alice.options.platform.clear();
  CHECK(alice.Run({"status"}) == 2);
}
