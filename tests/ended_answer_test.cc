// Answers whose connections close while they are being sent.

#include <catch2/catch.hpp>

#include "raw_caller.h"
#include "relay_fixture.h"

namespace chiverail {
namespace {

constexpr int kReceiveBuffer = 64 * 1024;  // of a caller that reads slowly

}  // namespace

// Guards against requests that are passed on though their connection already closes (LOST), and
// against answers that are dropped because their caller has closed its own side.
TEST_CASE("A connection that closes while its answer is being sent") {
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
