#include "platform_client.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>

#include "http_client.h"
#include "http_server.h"

using namespace chiverail;
using boost::asio::yield_context;

namespace {

constexpr HttpTimeouts kShortTimeouts{milliseconds(500), milliseconds(300), milliseconds(300),
                                      milliseconds(10'000)};

// Calls `body` with a client of a platform that answers every request with `answer`. Returns
// whether the call ended without an exception.
template <typename Body>
bool EndsAgainst(const std::string& answer, Body body) {
  boost::asio::io_context io(1);
  HttpServer server(io, "127.0.0.1:0", {}, [&answer](HttpServerExchange& exchange, yield_context) {
    exchange.Respond(200, answer);
  });
  HttpClient http(io, kShortTimeouts);
  PlatformClient client(http, server.address());
  bool ended = false;
  boost::asio::spawn(
      io,
      [&](yield_context yield) {
        body(client, yield);
        ended = true;
        io.stop();
      },
      [&](const std::exception_ptr&) { io.stop(); });
  io.run_for(std::chrono::seconds(10));
  return ended;
}

}  // namespace

// Guards against a call that never ends for its caller: an exception in its coroutine is discarded,
// and the state machine that started the operation waits for a result.
TEST_CASE("Every call of the platform client ends with a status, whatever the answer holds") {
  const std::string answer = GENERATE(
      as<std::string>{}, "", "{", "[]", "null", "7", R"({"version": "seven", "value": {}})",
      R"({"version": {"a": 1}})", R"({"version": -1, "value": "\xff"})", R"({"rows": 7})",
      R"({"rows": [7, null, "x"]})", R"({"rows": [{"key": 5}]})", R"({"versions": []})",
      R"({"versions": {"k": "one"}})", R"({"versions": "k"})",
      R"({"instances": {"id": 1}, "upstreams": [7]})", R"({"instances": [{"id": []}]})",
      R"({"sequence": []})", R"({"version": 1, "value": {}, "era": []})",
      R"({"rows": [], "era": "x"})", R"({"versions": {"k": 1}, "era": {"a": 1}})");
  INFO(answer);
  CHECK(EndsAgainst(
      answer, [](PlatformClient& client, yield_context yield) { client.ReadRow("k", yield); }));
  CHECK(EndsAgainst(
      answer, [](PlatformClient& client, yield_context yield) { client.ReadPrefix("k", yield); }));
  CHECK(EndsAgainst(answer, [](PlatformClient& client, yield_context yield) {
    // The write took effect, so an answer that cannot be read leaves no version or an unknown
    // outcome; it must never be reported as not written.
    const auto result = client.Write({{}, {{"k", "{}"}}, {}}, yield);
    CHECK((result.status == TableStatus::kOk || result.status == TableStatus::kUnknown));
    CHECK(result.versions.empty());
  }));
  CHECK(EndsAgainst(answer,
                    [](PlatformClient& client, yield_context yield) { client.ReadList(yield); }));
}

// Guards against conditions that hold in a later era of the table, which gives versions out again.
TEST_CASE("The platform client tells versions of two eras of the table apart") {
  boost::asio::io_context io(1);
  std::string answer = R"({"version": 7, "value": {}, "era": 3})";
  int status = 200;
  std::string written;
  HttpServer server(io, "127.0.0.1:0", {}, [&](HttpServerExchange& exchange, yield_context) {
    written = exchange.request().body;
    exchange.Respond(status, answer);
  });
  HttpClient http(io, kShortTimeouts);
  PlatformClient client(http, server.address());
  bool ended = false;
  boost::asio::spawn(
      io,
      [&](yield_context yield) {
        const TableRow row = client.ReadRow("k", yield).row;
        CHECK(row.era == 3);
        CHECK(row.version == VersionInEra(3, 7));
        CHECK(row.version > VersionInEra(2, 1'000'000'000));

        answer = R"({"versions": {"k": 8}, "era": 3})";
        const auto result = client.Write({{{"k", row.version}}, {{"k", "{}"}}, {}}, yield);
        CHECK(written.find(R"("era":3)") != std::string::npos);
        CHECK(written.find(R"("version":7)") != std::string::npos);
        REQUIRE(result.versions.size() == 1);
        CHECK(result.versions[0].version == VersionInEra(3, 8));

        client.Write({{{"k", 0}}, {{"k", "{}"}}, {}}, yield);
        CHECK(written.find("era") == std::string::npos);

        answer = R"({"rows": [{"key": "k", "version": 7, "value": {}}], "era": 4})";
        CHECK(client.ReadPrefix("k", yield).rows.at(0).version == VersionInEra(4, 7));

        status = 404;
        answer = R"({"era": 5})";
        CHECK(client.ReadRow("k", yield).row.era == 5);
        CHECK(client.ReadRow("k", yield).row.version == 0);
        ended = true;
        io.stop();
      },
      [&](const std::exception_ptr&) { io.stop(); });
  io.run_for(std::chrono::seconds(10));
  CHECK(ended);
}
