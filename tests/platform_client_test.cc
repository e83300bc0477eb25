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
      R"({"sequence": []})");
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
