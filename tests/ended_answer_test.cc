// Answers that the relay ends before they are whole.

#include <catch2/catch.hpp>

#include "raw_caller.h"
#include "raw_fixture.h"

namespace chiverail {
namespace {

constexpr const char* kEvent = "id: 1\ndata: a\n\n";

constexpr int kReceiveBuffer = 64 * 1024;  // of a caller that reads slowly

std::string SealedHead(const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n" + framing + "\r\n\r\n";
}

// Runs the relay until the caller's connection has ended; the caller reads nothing before.
void ReadAfterEnd(RawFixture& fixture, RawCaller& caller) {
  fixture.RunFor(milliseconds(900), [] { return false; });
  fixture.RunUntil([&] { return !caller.Read(); });
}

}  // namespace

// Guards against resets with which callers lose what was written before, and against answers that
// look complete though they are not (MIXED).
TEST_CASE("An answer that ends early is delivered as far as it came") {
  const bool breaks = GENERATE(false, true);
  std::string begin = SealedHead("Content-Length: 500") + kEvent;
  RawFixture fixture([&](RawServer& server, int) {
    breaks ? server.SendAndClose(begin, true) : server.Send(begin);
  });
  RawCaller caller(RelayFixture::kPort);

  SECTION("a stream, without its last chunk") {
    caller.Write(RelayFixture::Request("/chat/x"));
    ReadAfterEnd(fixture, caller);
    CHECK(caller.Has(kEvent));
    CHECK_FALSE(caller.Has("\r\n0\r\n"));
    CHECK(caller.ended());
    CHECK_FALSE(caller.reset());
  }
  SECTION("a body with a length, without its rest") {
    begin = SealedHead("Content-Length: 200000") + std::string(100'000, 'x');
    caller.Write(RelayFixture::Request("/book/x"));
    ReadAfterEnd(fixture, caller);
    CHECK(caller.Has("Content-Length: 200000"));
    CHECK(caller.received().size() > 100'000);
    CHECK(caller.received().size() < 150'000);
    CHECK(caller.ended());
    CHECK_FALSE(caller.reset());
  }
  SECTION("but with a reset if the caller does not know chunks") {
    std::string request = RelayFixture::Request("/chat/x");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    caller.Write(request);
    if (GENERATE(false, true)) {
      fixture.RunFor(milliseconds(100), [] { return false; });
      fixture.relay.EndCalls();
    }
    ReadAfterEnd(fixture, caller);
    CHECK(caller.ended());
    CHECK(caller.reset());
  }
}

TEST_CASE("A caller that does not read an answer that ended early is not waited for") {
  RawFixture fixture([](RawServer& server, int) {
    server.Send(SealedHead("Content-Length: 9000000"));
    server.SendForever(kEvent + std::string(kEvent).replace(4, 1, "2"));
  });
  CallerLimits limits;
  limits.idle_timeout = milliseconds(300);
  fixture.front().SetLimits(limits);
  RawCaller caller(RelayFixture::kPort, 4096);
  caller.Write(RelayFixture::Request("/chat/x"));
  CHECK(
      fixture.RunUntil([&] { return fixture.front().busy() == 1 && fixture.front().HasUnsent(); }));
  CHECK(fixture.RunFor(seconds(2), [&] { return fixture.front().in_use() == 0; }));
}

// Guards against answers that are cut at the end of a stop because their callers read slowly, long
// after their upstreams had ended (LOST).
TEST_CASE("A stopping instance reads answers to their ends for slow callers") {
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  const std::string body(6 << 20, 'x');
  fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest& request) {
    caller->Respond(200, {}, FakeUpstream::SealFields(request), body);
  });
  const auto stop = [&] {
    const TimePoint now = BootTimeNow();
    fixture.front().StartClosing();
    fixture.relay.BeginStop(now, now + milliseconds(500), now);
  };
  RawCaller caller(RelayFixture::kPort, kReceiveBuffer);

  SECTION("that were paused when the stop began") {
    caller.Write(RelayFixture::Request("/read/x"));
    fixture.RunFor(milliseconds(300), [] { return false; });
    CHECK(fixture.front().busy() == 1);
    stop();
  }
  SECTION("that begin during the stop") {
    fixture.front().StartClosing();
    const TimePoint now = BootTimeNow();
    fixture.relay.BeginStop(now, now + seconds(2), now);
    caller.Write(RelayFixture::Request("/read/x", "", "key", 1500));
  }
  fixture.RunFor(milliseconds(500), [] { return false; });
  CHECK(fixture.relay.EndCalls() == 0);
  CHECK(fixture.front().HasUnsent());
  CHECK(fixture.front().in_use() == 1);
  CHECK(fixture.RunUntil([&] {
    fixture.front().CloseIdle();
    return !caller.Read();
  }));
  CHECK_FALSE(caller.reset());
  CHECK(caller.received().size() > body.size());
}

TEST_CASE("A stopping instance holds a bounded part of an endless answer") {
  RawFixture fixture([](RawServer& server, int) {
    server.Send(SealedHead("Transfer-Encoding: chunked"));
    server.SendForever("10000\r\n" + std::string(0x10000, 'x') + "\r\n");
  });
  fixture.Configure(seconds(5));
  RawCaller caller(RelayFixture::kPort, 4096);
  caller.Write(RelayFixture::Request("/read/x"));
  fixture.RunFor(milliseconds(100), [] { return false; });
  const TimePoint now = BootTimeNow();
  fixture.relay.BeginStop(now, now + seconds(4), now);
  fixture.RunFor(seconds(1), [] { return false; });
  const std::size_t sent = fixture.server.sent();
  CHECK(sent > 4 << 20);
  fixture.RunFor(milliseconds(300), [] { return false; });
  CHECK(fixture.server.sent() == sent);
}

// Guards against requests that are passed on though their connection already closes (LOST), and
// against answers that are dropped because their caller has closed its own side.
TEST_CASE("A connection that closes while its answer is being sent", "[.known-red]") {
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  const std::string body(8 << 20, 'x');
  RawCaller caller(RelayFixture::kPort, kReceiveBuffer);
  FakeUpstream& upstream =
      fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest& request) {
        caller->Respond(200, {}, FakeUpstream::SealFields(request), body);
      });
  // The caller reads until the relay has the whole answer; a part of it waits for the caller.
  const auto ended = [&] {
    caller.Read(64 * 1024);
    return !upstream.requests().empty() && fixture.front().busy() == 0;
  };

  SECTION("passes no further request on") {
    fixture.front().StartClosing();
    caller.Write(RelayFixture::Request("/read/x"));
    fixture.RunUntil(ended);
    REQUIRE(fixture.front().HasUnsent());
    caller.Write(RelayFixture::Request("/read/x"));
    CHECK(fixture.RunUntil([&] { return !caller.Read(); }));
    CHECK(upstream.requests().size() == 1);
  }
  SECTION("delivers it to a caller that has closed its own side") {
    if (GENERATE(false, true)) {
      fixture.front().StartClosing();
    }
    caller.Write(RelayFixture::Request("/read/x"));
    fixture.RunUntil(ended);
    REQUIRE(fixture.front().HasUnsent());
    caller.CloseOwnSide();
    CHECK(fixture.RunUntil([&] { return !caller.Read(); }));
  }
  CHECK_FALSE(caller.reset());
  CHECK(caller.received().size() > body.size());
  CHECK(caller.received().size() < body.size() + 1024);
}

// A full close of the caller can't be told from a close of its own side while nothing is sent, and
// is frequent: work for a caller that has left ends at once.
TEST_CASE("A request ends when its caller closes its own side before the answer") {
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  std::vector<std::shared_ptr<CallerConnection>> kept;
  fixture.AddUpstream("up-1",
                      [&](const auto& caller, const CallerRequest&) { kept.push_back(caller); });
  RawCaller caller(RelayFixture::kPort);
  caller.Write(RelayFixture::Request("/read/x"));
  fixture.RunUntil([&] { return kept.size() == 1; });
  caller.CloseOwnSide();
  CHECK(fixture.RunUntil([&] { return !caller.Read(); }));
  CHECK(caller.received().empty());
  CHECK(fixture.Lines("request").back()["outcome"] == "caller_left");
}

}  // namespace chiverail
