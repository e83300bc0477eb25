// Answers without a length or chunks that end before they are whole.

#include <cstdint>
#include <string>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "raw_fixture.h"

namespace chiverail {
namespace {

const std::string kUntilClose = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n\r\n";
const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kSecondEvent = "id: 2\ndata: b\n\n";

// Ways by which an instance knows that an upstream leaves.
enum class Leaving : std::uint8_t { kNot, kDrains, kSaysSo, kIsRemoved };

// An upstream that ends regularly within its answer: its connection is closed, and nobody accepts
// a new one.
struct EndingUpstream {
  explicit EndingUpstream(const std::string& bytes)
      : fixture([this, bytes](RawServer& server, int) {
          UpstreamSet& upstreams = fixture.relay.upstreams();
          if (leaving == Leaving::kDrains) {
            upstreams.Find("raw-1")->draining = true;
          } else if (leaving == Leaving::kIsRemoved) {
            upstreams.Remove("raw-1", BootTimeNow());
          }
          server.StopAccepting();
          server.SendAndClose((leaving == Leaving::kSaysSo ? kUntilCloseLeaving : kUntilClose) +
                              bytes);
        }) {}

  const std::string kUntilCloseLeaving =
      kUntilClose.substr(0, kUntilClose.size() - 2) + RelayFixture::Names().leaving + ": 1\r\n\r\n";
  Leaving leaving =
      GENERATE(Leaving::kNot, Leaving::kDrains, Leaving::kSaysSo, Leaving::kIsRemoved);
  RawFixture fixture;
};

}  // namespace

// Guards against an answer whose upstream is killed within it: the kernel closes the connection
// regularly, and the part that had arrived looked like a whole answer. That an upstream leaves does
// not tell that its answer is whole (review/8, ORDER).
TEST_CASE("An answer that ends with its upstream does not look complete") {
  SECTION("of a call that may run once") {
    EndingUpstream upstream("resu");
    CHECK(upstream.fixture.SendAndWait(RelayFixture::Request("/book/x")).status == 502);
  }
  SECTION("of a call that may be repeated, which is sent to another upstream") {
    EndingUpstream upstream("resu");
    upstream.fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    for (const CallerResponse& response : upstream.fixture.SendUntilAsked("/read/x")) {
      CHECK(response.status == 200);
      CHECK(response.body == "result");
    }
    CHECK(upstream.fixture.server.connections() == 1);
  }
  SECTION("that is too large to be buffered") {
    EndingUpstream upstream(std::string(200 * 1024, 'x'));
    CHECK_FALSE(upstream.fixture.SendAndWait(RelayFixture::Request("/book/x")).complete);
  }
  SECTION("of a stream that ends between two events") {
    EndingUpstream upstream(kFirstEvent);
    const CallerResponse response = upstream.fixture.SendAndWait(RelayFixture::Request("/chat/x"));
    CHECK_FALSE(response.complete);
    CHECK(response.body == kFirstEvent);
  }
  SECTION("of a stream that goes on at another upstream") {
    EndingUpstream upstream(kFirstEvent);
    upstream.fixture.AddUpstream("up-1", [](const auto& caller, const CallerRequest& request) {
      const bool resumed = request.head.Field("Last-Event-Id") == "1";
      caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
      caller->SendBody(resumed ? kSecondEvent : kFirstEvent + kSecondEvent);
      caller->EndResponse();
    });
    for (const CallerResponse& response : upstream.fixture.SendUntilAsked("/chat/x")) {
      CHECK(response.complete);
      CHECK(response.body == kFirstEvent + kSecondEvent);
    }
    CHECK(upstream.fixture.server.connections() == 1);
  }
  SECTION("of an upstream whose kernel closes its listening socket last") {
    boost::asio::steady_timer* timer = nullptr;
    RawFixture fixture([&](RawServer& server, int) {
      server.SendAndClose(kUntilClose + "resu");
      timer->expires_after(milliseconds(10));
      timer->async_wait([&](const auto&) { server.StopAccepting(); });
    });
    boost::asio::steady_timer stop(fixture.io);
    timer = &stop;
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/x")).status == 502);
  }
}

// Guards against whole answers that are dropped since their upstream accepts no connections before
// its last answers have ended.
TEST_CASE("An answer is whole if its upstream refuses connections but still holds others") {
  bool all_end = false;
  RawFixture fixture([&](RawServer& server, int) {
    if (server.connections() == 1) {
      return;
    }
    server.StopAccepting();
    if (all_end) {
      server.CloseKept();
    }
    server.SendAndClose(kUntilClose + "result");
  });
  fixture.server.KeepConnections();
  CallerResponse held;
  const auto caller = fixture.Send(RelayFixture::Request("/chat/x"), held);
  REQUIRE(fixture.RunUntil([&] { return fixture.server.connections() == 1; }));
  SECTION("as its process lives on") {
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/book/x"));
    CHECK(response.status == 200);
    CHECK(response.body == "result");
  }
  SECTION("but not if they end with it") {
    all_end = true;
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/x")).status == 502);
  }
}

// Guards against a reset that something other than a read has noticed: the kernel reports it once,
// and the next read gives the end of the connection.
TEST_CASE("A reset that a timer notices is not the end of an answer") {
  RawFixture fixture([](RawServer& server, int) { server.Send(kUntilClose + "resu"); });
  CallerResponse response;
  const auto caller = fixture.Send(RelayFixture::Request("/read/x"), response);
  // An attempt is looked at after 45% of the route's 700 ms. The process is busy until after that
  // moment, so that the reset, the look and the read are due at once.
  boost::asio::steady_timer busy(fixture.io, milliseconds(270));
  busy.async_wait([](const auto&) { std::this_thread::sleep_for(milliseconds(80)); });
  boost::asio::steady_timer reset(fixture.io, milliseconds(280));
  reset.async_wait([&](const auto&) { fixture.server.Reset(); });
  REQUIRE(fixture.RunUntil([&] { return response.ended; }));
  CHECK(response.status == 502);
}

// Guards against a length or a last chunk that no upstream has stated: the caller would take an
// answer that was cut on its way for whole.
TEST_CASE("An answer without a length is passed on without one") {
  SECTION("of a call") {
    const std::string body = GENERATE(std::string("result"), std::string(200 * 1024, 'x'));
    RawFixture fixture([&](RawServer& server, int) { server.SendAndClose(kUntilClose + body); });
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/book/x"));
    CHECK(response.head.framing == BodyFraming::kClose);
    CHECK(response.complete);
    CHECK(response.body == body);
  }
  SECTION("of a stream") {
    RawFixture fixture(
        [&](RawServer& server, int) { server.SendAndClose(kUntilClose + kFirstEvent); });
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/chat/x"));
    CHECK(response.head.framing == BodyFraming::kClose);
    CHECK(response.complete);
    CHECK(response.body == kFirstEvent);
  }
  SECTION("and one that breaks off is reset") {
    const std::string body(200 * 1024, 'x');
    RawFixture fixture(
        [&](RawServer& server, int) { server.SendAndClose(kUntilClose + body, true); });
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/book/x"));
    CHECK(response.head.framing == BodyFraming::kClose);
    CHECK(response.ended);
    CHECK_FALSE(response.complete);
  }
}

// Guards against the part of an answer that an upstream in trouble had sent when it reset the
// connection, while the request was still being written.
TEST_CASE("An answer without a length that ends before its request was read is not whole") {
  const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");
  std::string part = kUntilClose;
  for (int events = GENERATE(1, 8000); events > 0; --events) {
    part += kFirstEvent;
  }
  std::size_t size = 3 << 20;
  RawServer::Handler end;
  SECTION("by a reset") {
    end = [&](RawServer& server, int) { server.SendAndClose(part, true); };
  }
  SECTION("by a close with unread bytes") {
    end = [&](RawServer& server, int) { server.SendAndClose(part); };
  }
  SECTION("by a regular end just before a reset") {
    size = GENERATE(30 << 10, 3 << 20);
    const Duration delay = GENERATE(Duration{}, milliseconds(2));
    end = [&part, delay](RawServer& server, int) { server.SendAndEndThenReset(part, delay); };
  }
  SECTION("by a regular end long before a reset") {
    end = [&](RawServer& server, int) { server.SendAndEndThenReset(part, milliseconds(500)); };
  }
  INFO(path << ", " << part.size() << " bytes for " << size);
  RawFixture fixture(end);
  fixture.server.LimitReceiveBuffer();
  const CallerResponse response =
      fixture.SendAndWait(RelayFixture::Request(path, "", "key", 2000, std::string(size, 'x')));
  CHECK(response.ended);
  CHECK_FALSE((response.status == 200 && response.complete));
}

TEST_CASE("An early answer without a length is whole if its upstream reads the request") {
  const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");
  const bool stops = GENERATE(false, true);
  RawFixture fixture([&](RawServer& server, int) {
    server.SendAndShutDown(kUntilClose + kFirstEvent, milliseconds(1));
  });
  // The instance begins to stop while it waits for the upstream to read.
  boost::asio::steady_timer stop(fixture.io, milliseconds(20));
  if (stops) {
    stop.async_wait([&](const auto&) {
      const TimePoint now = BootTimeNow();
      fixture.relay.BeginStop(now + seconds(2), now + seconds(2), now);
    });
  }
  const CallerResponse response =
      fixture.SendAndWait(RelayFixture::Request(path, "", "key", 2000, std::string(3 << 20, 'x')));
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body == kFirstEvent);
}

}  // namespace chiverail
