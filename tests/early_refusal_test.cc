// Requests that a stopping instance refuses while their bodies are still arriving.

#include <catch2/catch.hpp>

#include "raw_caller.h"
#include "relay_fixture.h"

namespace chiverail {
namespace {

constexpr Duration kStepTime = milliseconds(20);

std::string ChunkedHead(const std::string& path, const std::string& extra = {}) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nWorkspace-Key: key\r\n" + extra +
         "Transfer-Encoding: chunked\r\n\r\n";
}

struct EarlyRefusalFixture : RelayFixture {
  EarlyRefusalFixture() {
    Configure(seconds(10));
    upstream = &AddUpstream("up-1", [](const auto& caller, const CallerRequest& request) {
      FakeUpstream::Succeed(caller, request);
    });
  }

  void BeginStop(Duration accept = Duration::zero(), Duration deadline = seconds(5)) {
    const TimePoint now = BootTimeNow();
    front().StartClosing();
    relay.BeginStop(now + accept, now + deadline, now);
    front().RefuseEarly();
  }

  void Step(RawCaller& caller, Duration time = kStepTime) {
    RunFor(time, [] { return false; });
    caller.Read();
  }

  // Sends the rest of a body in chunks over 1.5 s, longer than a closing connection waits for the
  // caller's side, and does not read meanwhile. Then the caller reads until the connection ends.
  void SendSlowly(RawCaller& caller) {
    for (int i = 0; i < 15; ++i) {
      REQUIRE(caller.Write("4\r\nbody\r\n"));
      RunFor(milliseconds(100), [] { return false; });
    }
    REQUIRE(caller.Write("0\r\n\r\n"));
    RunFor(milliseconds(500), [&] { return !caller.Read(); });
  }

  FakeUpstream* upstream = nullptr;
};

bool IsRefused(const RawCaller& caller) {
  return caller.received().rfind("HTTP/1.1 503", 0) == 0 && caller.Has("Retry-After: 0.050") &&
         caller.Has("Connection: close") && caller.Has("this instance stops");
}

}  // namespace

// Guards against callers that send a whole body before they hear that it can't be served.
TEST_CASE("A request that can't be served is refused while its body arrives") {
  EarlyRefusalFixture fixture;
  const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");
  RawCaller caller(RelayFixture::kPort);

  SECTION("when its head is complete, at an instance that stops") {
    fixture.BeginStop();
    caller.Write(ChunkedHead(path));
    fixture.Step(caller);
    CHECK(IsRefused(caller));
  }
  SECTION("when the instance begins to stop") {
    caller.Write(ChunkedHead(path) + "4\r\nbody\r\n");
    fixture.Step(caller);
    CHECK(caller.received().empty());
    fixture.BeginStop();
    fixture.Step(caller);
    CHECK(IsRefused(caller));
  }
  SECTION("when a stop leaves too little time for it") {
    fixture.SendAndWait(fixture.Request("/read/x"));
    fixture.BeginStop(milliseconds(100));
    RawCaller late(RelayFixture::kPort);
    late.Write(ChunkedHead("/read/x"));
    fixture.Step(late);
    CHECK(late.received().empty());
    fixture.RunFor(milliseconds(100), [] { return false; });
    fixture.front().RefuseEarly();
    fixture.Step(late);
    CHECK(IsRefused(late));
    caller.Write(ChunkedHead(path));
    fixture.Step(caller);
    CHECK(IsRefused(caller));
  }
  SECTION("before it is asked for its body") {
    fixture.BeginStop();
    caller.Write(ChunkedHead(path, "Expect: 100-continue\r\n"));
    fixture.Step(caller);
    CHECK(IsRefused(caller));
    CHECK(caller.ended());
    CHECK_FALSE(caller.reset());
  }
  SECTION("once, and its connection closes without a reset after the body") {
    caller.Write(ChunkedHead(path) + "4\r\nbody\r\n");
    fixture.Step(caller);
    fixture.BeginStop();
    fixture.SendSlowly(caller);
    CHECK(IsRefused(caller));
    CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
    CHECK(caller.ended());
    CHECK_FALSE(caller.reset());
  }
  SECTION("and nothing that follows it is served") {
    fixture.BeginStop();
    caller.Write(ChunkedHead(path));
    fixture.Step(caller);
    caller.Write("0\r\n\r\n" + RelayFixture::Request("/read/x", "", "key", 300));
    fixture.Step(caller);
    CHECK(IsRefused(caller));
    CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
  }
  const auto& ran = fixture.upstream->requests();
  CHECK(std::none_of(ran.begin(), ran.end(), [](const CallerRequest& request) {
    return request.head.framing == BodyFraming::kChunked || request.body != "body";
  }));
}

TEST_CASE("A request whose body arrives during a stop is served if there is time") {
  EarlyRefusalFixture fixture;
  RawCaller caller(RelayFixture::kPort);
  fixture.BeginStop();
  caller.Write(ChunkedHead("/book/x", "Request-Deadline-Ms: 1000\r\n"));
  fixture.Step(caller);
  fixture.front().RefuseEarly();
  CHECK(caller.received().empty());
  caller.Write("4\r\nbody\r\n0\r\n\r\n");
  fixture.Step(caller);
  CHECK(caller.Has("200 OK"));
  CHECK(fixture.upstream->requests().size() == 1);
}

TEST_CASE("The answer to an earlier request goes before an early refusal") {
  EarlyRefusalFixture fixture;
  std::shared_ptr<CallerConnection> kept;
  std::optional<CallerRequest> first;
  fixture.AddUpstream("up-1", [&](const auto& connection, CallerRequest request) {
    kept = connection;
    first = std::move(request);
  });
  RawCaller caller(RelayFixture::kPort);
  caller.Write(RelayFixture::Request("/read/x") + ChunkedHead("/chat/x"));
  fixture.RunUntil([&] { return first.has_value(); });
  fixture.BeginStop();
  fixture.Step(caller);
  CHECK(caller.received().empty());
  FakeUpstream::Succeed(kept, *first);
  fixture.Step(caller);
  CHECK(caller.received().rfind("HTTP/1.1 200", 0) == 0);
  CHECK(caller.Has("result"));
  CHECK(caller.received().find("HTTP/1.1 503") > caller.received().find("result"));
  CHECK(caller.Has("this instance stops"));
}

}  // namespace chiverail
