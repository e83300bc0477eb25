// Each way in which the response of an upstream can end.

#include <cstdio>
#include <string>

#include <catch2/catch.hpp>

#include "raw_fixture.h"

namespace chiverail {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n";
const std::string kUntilClose = kHead + "\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kLastChunk = "0\r\n\r\n";
constexpr bool kReset = true;

std::string WithLength(std::size_t length) {
  return kHead + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// What the caller receives from an upstream that sends `bytes` and ends the connection.
CallerResponse RelayOnce(const std::string& path, const std::string& bytes, bool reset = false) {
  RawFixture fixture([&](RawServer& server, int) { server.SendAndClose(bytes, reset); });
  return fixture.SendAndWait(RelayFixture::Request(path));
}

const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kInsideEvent = kFirstEvent + "id: 2\nda";

}  // namespace

// Guards against "Content-Length: 0" before a body (MIXED): the caller takes the response for whole
// and its body for the next response.
TEST_CASE("A large response keeps its length if its head arrives alone") {
  const std::string large(200 * 1024, 'x');
  RawFixture fixture([&](RawServer& server, int) { server.Send(WithLength(large.size())); });
  CallerResponse response;
  const auto caller = fixture.Send(RelayFixture::Request("/book/x"), response);
  fixture.RunFor(milliseconds(50), [] { return false; });
  fixture.server.Send(large);
  fixture.RunUntil([&] { return response.ended; });
  CHECK(response.complete);
  CHECK(response.body.size() == large.size());
  caller->Close();
}

// Guards against a response that broke off and reaches its caller as if it were complete.
TEST_CASE("A response that broke off does not look complete") {
  SECTION("of a plain service") {
    const std::string path = GENERATE("/read/x", "/book/x");
    SECTION("with a length") {
      CHECK(RelayOnce(path, WithLength(8) + "resu").status == 502);
      CHECK(RelayOnce(path, WithLength(8) + "resu", kReset).status == 502);
      CHECK(RelayOnce(path, WithLength(6) + "result").body == "result");
    }
    SECTION("in chunks") {
      CHECK(RelayOnce(path, kChunked + Chunk("result")).status == 502);
      CHECK(RelayOnce(path, kChunked + Chunk("result"), kReset).status == 502);
      CHECK(RelayOnce(path, kChunked + Chunk("result") + kLastChunk).body == "result");
    }
    SECTION("that ends with its connection") {
      CHECK(RelayOnce(path, kUntilClose + "resu", kReset).status == 502);
      const CallerResponse whole = RelayOnce(path, kUntilClose + "result");
      CHECK(whole.complete);
      CHECK(whole.body == "result");
    }
    SECTION("and is too large to be buffered") {
      const std::string large(200 * 1024, 'x');
      CHECK_FALSE(RelayOnce(path, WithLength(large.size() + 1) + large).complete);
      CHECK_FALSE(RelayOnce(path, WithLength(large.size() + 1) + large, kReset).complete);
      CHECK_FALSE(RelayOnce(path, kChunked + Chunk(large)).complete);
      CHECK_FALSE(RelayOnce(path, kUntilClose + large, kReset).complete);
      const CallerResponse whole = RelayOnce(path, kUntilClose + large);
      CHECK(whole.complete);
      CHECK(whole.body == large);
    }
  }
  SECTION("of a stream whose connection is reset or ends without the last chunk") {
    const bool reset = GENERATE(false, true);
    for (const std::string& events : {kInsideEvent, kFirstEvent}) {
      const CallerResponse chunked = RelayOnce("/chat/x", kChunked + Chunk(events), reset);
      CHECK_FALSE(chunked.complete);
      CHECK(chunked.body == kFirstEvent);
      const CallerResponse with_length =
          RelayOnce("/chat/x", WithLength(kEvents.size()) + events, reset);
      CHECK_FALSE(with_length.complete);
      CHECK(with_length.body == kFirstEvent);
    }
    CHECK_FALSE(RelayOnce("/chat/x", kUntilClose + kFirstEvent, kReset).complete);
  }
  SECTION("but a whole stream does, however its end is marked") {
    for (const std::string& bytes : {kUntilClose + kEvents, WithLength(kEvents.size()) + kEvents,
                                     kChunked + Chunk(kEvents) + kLastChunk}) {
      const CallerResponse whole = RelayOnce("/chat/x", bytes);
      CHECK(whole.complete);
      CHECK(whole.body == kEvents);
    }
  }
}

// Guards against a stream that broke off inside an event and is ended for its caller as complete,
// with the part of the event that had arrived.
TEST_CASE("A stream that ends inside an event has broken off") {
  SECTION("if it ends with its connection") {
    const CallerResponse response = RelayOnce("/chat/x", kUntilClose + kInsideEvent);
    CHECK_FALSE(response.complete);
    CHECK(response.body == kFirstEvent);
  }
  SECTION("if its last chunk or its length says that it is complete") {
    const CallerResponse chunked =
        RelayOnce("/chat/x", kChunked + Chunk(kInsideEvent) + kLastChunk);
    CHECK_FALSE(chunked.complete);
    CHECK(chunked.body == kFirstEvent);
    const CallerResponse with_length =
        RelayOnce("/chat/x", WithLength(kInsideEvent.size()) + kInsideEvent);
    CHECK_FALSE(with_length.complete);
    CHECK(with_length.body == kFirstEvent);
  }
  SECTION("and is answered with 502 if no event has arrived") {
    CHECK(RelayOnce("/chat/x", kUntilClose + "id: 1\nda").status == 502);
    CHECK(RelayOnce("/chat/x", kUntilClose).status == 502);
  }
  SECTION("and goes on at another upstream") {
    RawFixture fixture(
        [&](RawServer& server, int) { server.SendAndClose(kUntilClose + kInsideEvent); });
    int resumed = 0;
    fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest& request) {
      const bool first = request.head.Field("Last-Event-Id") != "1";
      resumed += first ? 0 : 1;
      caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
      caller->SendBody(first ? kEvents : kEvents.substr(kFirstEvent.size()));
      caller->EndResponse();
    });
    // Both upstreams are idle: a few streams are enough for one to begin at each.
    for (int stream = 0; stream < 8 && resumed == 0; ++stream) {
      const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/chat/x"));
      CHECK(response.complete);
      CHECK(response.body == kEvents);
    }
    CHECK(resumed == 1);
  }
}

}  // namespace chiverail
