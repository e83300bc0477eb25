// Refusals that do not belong to the request, and errors in the middle of a stream.

#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "raw_fixture.h"

namespace chiverail {
namespace {

using Caller = std::shared_ptr<CallerConnection>;

std::string Refusal(int status, const std::string& id_field) {
  return "HTTP/1.1 " + std::to_string(status) + " Refused\r\n" + id_field +
         (status == 421 ? "" : "Not-Run: 1\r\n") + "Content-Length: 0\r\n\r\n";
}

std::string Request(const std::string& path, const std::string& id) {
  std::string text = RelayFixture::Request(path);
  return text.replace(text.find("Request-Id: r1"), 14, "Request-Id: " + id);
}

std::string Answer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nAnswer-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
}

const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kStreamHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n";

}  // namespace

// Guards against a request that an upstream has run and whose caller is told that it was not run,
// or that runs at a second upstream: a faulty upstream writes an earlier refusal once more, on a
// connection that has been kept.
TEST_CASE("An earlier refusal that is written again is not taken for the answer") {
  const int status = GENERATE(503, 429, 421);
  const std::string id_field = GENERATE(as<std::string>{}, "", "Request-Id: a\r\n");
  INFO(status << " " << id_field);
  const bool with_answer = GENERATE(false, true);
  RawFixture fixture([&](RawServer& server, int request) {
    if (request == 1) {
      server.Send(Answer("a"));
    } else {
      server.Send(Refusal(status, id_field) + (with_answer ? Answer("b") : ""));
    }
  });
  int runs_elsewhere = 0;
  REQUIRE(fixture.SendAndWait(Request("/book/x", "a")).status == 200);
  fixture.AddUpstream("up-2", [&](const Caller& caller, const CallerRequest& request) {
    ++runs_elsewhere;
    FakeUpstream::Succeed(caller, request);
  });
  // The other upstream is not chosen at first.
  fixture.relay.upstreams().Find("up-2")->peer_load = 5;
  const CallerResponse response = fixture.SendAndWait(Request("/book/x", "b"));
  CHECK(runs_elsewhere == 0);
  CHECK(response.status != 503);
  CHECK(response.status != 421);
  CHECK(response.status != 429);
  CHECK(fixture.server.connections() == 1);
}

TEST_CASE("A refusal of a request is taken at its word") {
  const std::string id_field = GENERATE(as<std::string>{}, "", "Request-Id: b\r\n");
  RawFixture fixture([&](RawServer& server, int) { server.Send(Refusal(503, id_field)); });
  CHECK(fixture.SendAndWait(Request("/book/x", "b")).status == 503);
}

// Guards against a stream that has begun and broken off, and into which the error of the next
// upstream is written, or which ends as if it were complete.
TEST_CASE("The error of the next upstream does not reach a stream that has begun") {
  RawFixture fixture([](RawServer& server, int) {
    server.SendAndClose(kStreamHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + kFirstEvent +
                        "\r\n");
  });
  int asked = 0;
  const auto respond = [&](const std::function<void(const Caller&, const CallerRequest&)>& answer) {
    fixture.AddUpstream("up-2",
                        [&asked, answer](const Caller& caller, const CallerRequest& request) {
                          ++asked;
                          answer(caller, request);
                        });
    fixture.relay.upstreams().Find("up-2")->peer_load = 5;
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/chat/x"));
    CHECK(response.status == 200);
    CHECK(response.body == kFirstEvent);
    CHECK_FALSE(response.complete);
    CHECK(asked == 1);
  };
  SECTION("with an error of its own") {
    const int status = GENERATE(400, 404, 500, 502, 503);
    respond([status](const Caller& caller, const CallerRequest& request) {
      caller->Respond(status, {}, FakeUpstream::SealFields(request), "error text\n\n");
    });
  }
  SECTION("that did not run the request") {
    respond([](const Caller& caller, const CallerRequest& request) {
      auto fields = FakeUpstream::SealFields(request);
      fields.emplace_back("Not-Run", "1");
      caller->Respond(503, {}, fields, "error text\n\n");
    });
  }
  SECTION("that is not the one expected") {
    respond([](const Caller& caller, const CallerRequest& request) {
      caller->Respond(421, {}, FakeUpstream::SealFields(request), "error text\n\n");
    });
  }
  SECTION("without seal") {
    respond([](const Caller& caller, const CallerRequest&) {
      caller->Respond(200, {}, {{"Request-Id", "r1"}}, "error text\n\n");
    });
  }
  SECTION("that breaks off at once") {
    respond([](const Caller& caller, const CallerRequest&) { caller->Abort(); });
  }
}

// Guards against an answer whose head broke off and that reaches the caller with an empty or short
// body, as if it were whole.
TEST_CASE("A response that ends inside its head is not an answer") {
  const std::string path = GENERATE(as<std::string>{}, "/read/x", "/book/x", "/chat/x");
  const std::string head =
      GENERATE(as<std::string>{}, kStreamHead + "Content-Length: 120\r\nX: y\r\n\r\n",
               kStreamHead + "Transfer-Encoding: chunked\r\nX: y\r\n\r\n", kStreamHead + "\r\n");
  const bool reset = GENERATE(false, true);
  std::string sent;
  RawFixture fixture([&](RawServer& server, int) { server.SendAndClose(sent, reset); });
  // Every cut in the last line and the ends of the others, and some in the middle of a line.
  for (std::size_t length = 1; length < head.size(); ++length) {
    const bool line_end = head[length - 1] == '\r' || head[length - 1] == '\n';
    if (!line_end && length % 9 != 0 && length + 8 < head.size()) {
      continue;
    }
    sent = head.substr(0, length);
    INFO(path << " cut after " << length << " of " << head.size());
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request(path));
    CHECK(response.status == 502);
    CHECK(response.complete);
  }
}

}  // namespace chiverail
