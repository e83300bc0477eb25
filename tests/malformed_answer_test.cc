// Answers that break the rules of HTTP must not reach callers.

#include <string>

#include <catch2/catch.hpp>

#include "malformed_answers.h"
#include "raw_fixture.h"
#include "store_client.h"

namespace chiverail {
namespace {

const std::string kSeal = "Request-Id: r1\r\nAnswer-Seal: seal\r\n";

// Checks that the caller of an upstream that sends `answer` gets a failure of the relay's own, and
// that a request that may be repeated is answered by another upstream.
void CheckNotPassedOn(const std::string& answer) {
  const auto send = [&](RawServer& server, int) { server.SendAndClose(answer); };
  SECTION("to the caller") {
    const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");
    INFO(path);
    RawFixture fixture(send);
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request(path));
    CHECK(response.status == 502);
    CHECK(response.complete);
    CHECK(response.body.find("result") == std::string::npos);
  }
  SECTION("where another upstream answers") {
    RawFixture fixture(send);
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    for (const CallerResponse& response : fixture.SendUntilAsked("/read/x")) {
      CHECK(response.status == 200);
      CHECK(response.body == "result");
    }
    CHECK(fixture.server.connections() == 1);
  }
}

}  // namespace

// Guards against a status line that callers can't read: the relay writes the code as a number, so
// that 000 became "HTTP/1.1 0".
TEST_CASE("An answer with a status that HTTP does not define is not passed on") {
  const std::string status = GENERATE(from_range(kUndefinedStatuses));
  INFO(status);
  SECTION("by a relay") {
    const std::string result = GENERATE(from_range(kFramedResults));
    INFO(result);
    CheckNotPassedOn("HTTP/1.1 " + status + " OK\r\n" + kSeal + result);
  }
  SECTION("by a client of the store") {
    boost::asio::io_context io{1};
    Metrics metrics;
    const std::string rows = R"({"rows":[{"key":"a","ver":1,"value":"aGk="}],"ver":1})";
    RawServer server(io, kRawPort, [&](RawServer& raw, int) {
      raw.SendAndClose("HTTP/1.1 " + status +
                       " OK\r\nContent-Length: " + std::to_string(rows.size()) + "\r\n\r\n" + rows);
    });
    StoreClient client(io, "127.0.0.1:" + std::to_string(kRawPort), metrics);
    std::optional<StoreResponse> response;
    client.Rows("servers", "", milliseconds(500),
                [&](StoreResponse received) { response = std::move(received); });
    for (int step = 0; step < 200 && !response; ++step) {
      io.restart();
      io.run_for(milliseconds(5));
    }
    REQUIRE(response);
    CHECK(response->status == StoreStatus::kUnknown);
    CHECK(response->rows.empty());
  }
}

// Guards against a malformed line that is passed on, or that a parser skips although it states the
// length of the body.
TEST_CASE("An answer with a malformed field name is not passed on") {
  const std::string result = GENERATE(from_range(kFramedResults));
  SECTION("in any line") {
    const std::string line = GENERATE(from_range(kMalformedFieldLines)) + "\r\n";
    const bool first = GENERATE(true, false);
    INFO(line << result);
    CheckNotPassedOn("HTTP/1.1 200 OK\r\n" + (first ? line + kSeal : kSeal + line) + result);
  }
  SECTION("that begins with a blank") {
    INFO(result);
    CheckNotPassedOn("HTTP/1.1 200 OK\r\n X-Odd: v\r\n" + kSeal + result);
  }
}

// Guards against a coded body that is passed on without the field that names its coding.
TEST_CASE("An answer in a transfer coding other than chunked is not passed on") {
  const std::string coding = GENERATE(from_range(kUnsupportedCodings));
  const std::string result = GENERATE(from_range(kCodedResults));
  INFO(coding << result);
  CheckNotPassedOn("HTTP/1.1 200 OK\r\n" + kSeal + "Transfer-Encoding: " + coding + "\r\n" +
                   result);
}

}  // namespace chiverail
