// What becomes of a request whose upstream is silent for longer than an attempt may be.

#include <functional>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

namespace asio = boost::asio;

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

// Longer than the time after which a request is sent elsewhere: two thirds of the 2 s for which a
// caller waits for the next event, or 0.9 s of a call's 2 s.
constexpr Duration kSilence = milliseconds(1700);

// Adds an upstream that answers at once with what comes after the first event.
FakeUpstream& AddSoundUpstream(RelayFixture& fixture) {
  return fixture.AddUpstream("up-2", [](const auto& caller, const CallerRequest& request) {
    const bool stream = request.head.target == "/chat/x";
    caller->Respond(200, {}, FakeUpstream::SealFields(request), stream ? kSecondEvent : "result");
  });
}

// A relay with an upstream that is silent before the second event of a stream, and before the
// answer to a call.
struct SilentFixture : RelayFixture {
  explicit SilentFixture(Duration silence = kSilence) {
    Configure(seconds(5));
    upstream = &AddUpstream("up-1", [this, silence](const auto& caller, CallerRequest request) {
      if (request.head.target == "/chat/x") {
        caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
        caller->SendBody(kFirstEvent);
      }
      const auto timer = std::make_shared<asio::steady_timer>(io, silence);
      timer->async_wait([timer, caller, request = std::move(request)](const auto&) {
        if (caller->response_started()) {
          caller->SendBody(kSecondEvent);
          caller->EndResponse();
        } else {
          FakeUpstream::Succeed(caller, request);
        }
      });
    });
  }

  FakeUpstream* upstream = nullptr;
};

// Has the relay hold the prompt segment "part".
void HoldPart(RelayFixture& fixture) {
  const auto segments = Relay::SharedSegments(RelayFixture::ParseSegments("part,own"), "engines");
  PromptQuarantine& quarantine = fixture.relay.quarantine();
  constexpr int kEnds = 10;
  for (int i = 0; i < kEnds; ++i) {
    const TimePoint at = BootTimeNow() - seconds(2 * (kEnds - i));
    quarantine.OnUpstreamEnded(100 + static_cast<std::uint32_t>(i), segments, at, at);
  }
  quarantine.Update(BootTimeNow());
  REQUIRE(quarantine.HasHold(segments));
}

bool IsWhole(const CallerResponse& response, const std::string& path) {
  const std::string stream = std::string(kFirstEvent) + kSecondEvent;
  return response.status == 200 && response.complete &&
         response.body == (path == "/chat/x" ? stream : "result");
}

}  // namespace

// Guards against running work that is given up for an attempt that can't be made (LOST).
TEST_CASE("A request stays with a silent upstream unless another one can take it") {
  const std::string path = GENERATE("/chat/x", "/read/x");
  SilentFixture fixture;
  CallerResponse response;

  SECTION("as there is no other upstream") {
    const auto caller = fixture.Send(fixture.Request(path), response);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(IsWhole(response, path));
  }
  SECTION("as the instance stops and passes nothing on") {
    const auto caller = fixture.Send(fixture.Request(path, "", "key", 4000), response);
    fixture.RunUntil([&] { return fixture.upstream->requests().size() == 1; });
    FakeUpstream& other = AddSoundUpstream(fixture);
    const TimePoint now = BootTimeNow();
    fixture.relay.BeginStop(now, now + seconds(3), now);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(IsWhole(response, path));
    CHECK(other.requests().empty());
  }
  SECTION("as its prompt is held") {
    const auto caller = fixture.Send(fixture.Request(path, "Prompt-Parts: part,own\r\n"), response);
    fixture.RunUntil([&] { return fixture.upstream->requests().size() == 1; });
    FakeUpstream& other = AddSoundUpstream(fixture);
    HoldPart(fixture);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(IsWhole(response, path));
    CHECK(other.requests().empty());
  }
  SECTION("but is sent there if it can") {
    const auto caller = fixture.Send(fixture.Request(path), response);
    fixture.RunUntil([&] { return fixture.upstream->requests().size() == 1; });
    FakeUpstream& other = AddSoundUpstream(fixture);
    CHECK(fixture.RunFor(milliseconds(1600), [&] { return response.ended; }));
    CHECK(IsWhole(response, path));
    CHECK(other.requests().size() == 1);
  }
}

// Guards against streams that are lost since they left a sound upstream for one that fails (LOST).
TEST_CASE("A stream that pauses stays with its upstream for as long as its caller can wait") {
  SilentFixture fixture(milliseconds(1200));
  CallerResponse response;
  const auto caller = fixture.Send(fixture.Request("/chat/x"), response);
  fixture.RunUntil([&] { return response.body == kFirstEvent; });
  const FakeUpstream& other =
      fixture.AddUpstream("up-2", [](const auto& failed, const auto& request) {
        failed->Respond(500, {}, FakeUpstream::SealFields(request), "");
      });
  CHECK(fixture.RunUntil([&] { return response.ended; }));
  CHECK(IsWhole(response, "/chat/x"));
  CHECK(other.requests().empty());
}

// Guards against sound upstreams that are left because their bytes were not read.
TEST_CASE("An upstream whose bytes wait to be read is not silent") {
  const std::string event = "id: 1\ndata: " + std::string(16 * 1024, 'x') + "\n\n";
  constexpr int kEvents = 600;  // more than sockets and the limit for unsent bytes take
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest& request) {
    caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
    for (int i = 0; i < kEvents; ++i) {
      caller->SendBody(event);
    }
    caller->EndResponse();
  });
  CallerResponse response;
  const auto caller = fixture.Send(fixture.Request("/chat/x", "", "key", 4500), response);
  fixture.RunUntil([&] { return !response.body.empty(); });
  caller->PauseReading();
  const FakeUpstream& other = AddSoundUpstream(fixture);
  fixture.RunFor(milliseconds(1900), [] { return false; });
  caller->ResumeReading();
  CHECK(fixture.RunUntil([&] { return response.ended; }));
  CHECK(response.complete);
  CHECK(response.body.size() == kEvents * event.size());
  CHECK(other.requests().empty());
}

// Guards against streams that a stop cuts although there is time to complete them.
TEST_CASE("A stream whose upstream breaks off during a stop goes on elsewhere if there is time") {
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  const bool enough_time = GENERATE(true, false);
  fixture.relay.stop_plan().OnAnswered("/chat/", enough_time ? seconds(2) : seconds(3),
                                       BootTimeNow());
  std::shared_ptr<CallerConnection> running;
  fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest& request) {
    caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
    caller->SendBody(kFirstEvent);
    running = caller;
  });
  CallerResponse response;
  const auto caller = fixture.Send(fixture.Request("/chat/x", "", "key", 4000), response);
  fixture.RunUntil([&] { return response.body == kFirstEvent; });
  const FakeUpstream& other = AddSoundUpstream(fixture);
  const TimePoint now = BootTimeNow();
  fixture.relay.BeginStop(now, now + seconds(3), now);
  running->Abort();
  CHECK(fixture.RunUntil([&] { return response.ended; }));
  CHECK(IsWhole(response, "/chat/x") == enough_time);
  CHECK(other.requests().size() == (enough_time ? 1 : 0));
}

TEST_CASE("A request whose upstream stays silent is sent elsewhere once another one can take it") {
  const std::string path = GENERATE("/chat/x", "/read/x");
  SilentFixture fixture(seconds(10));
  CallerResponse response;
  const TimePoint start = BootTimeNow();
  const auto caller = fixture.Send(fixture.Request(path, "", "key", 4000), response);
  const Duration silence = milliseconds(path == "/chat/x" ? 1400 : 1900);
  fixture.RunUntil([&] { return start + silence <= BootTimeNow(); });
  CHECK_FALSE(response.ended);
  FakeUpstream& other = AddSoundUpstream(fixture);
  CHECK(fixture.RunFor(milliseconds(700), [&] { return response.ended; }));
  CHECK(IsWhole(response, path));
  CHECK(other.requests().size() == 1);
}

// Guards against answers of upstreams that are replaced by a refusal.
TEST_CASE(
    "A failure that an upstream answers is passed on unless another one can take the request") {
  const std::string path = GENERATE("/chat/x", "/read/x");
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  fixture.relay.stop_plan().OnAnswered(path.substr(0, 6), seconds(4), BootTimeNow());
  std::function<void()> fail;
  fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest& request) {
    fail = [caller, request] {
      caller->Respond(500, {}, FakeUpstream::SealFields(request), "failure of the upstream");
    };
  });
  CallerResponse response;
  const auto caller = fixture.Send(fixture.Request(path, "", "key", 4000), response);
  REQUIRE(fixture.RunUntil([&] { return fail != nullptr; }));
  const FakeUpstream* other = nullptr;
  bool passed_on = true;

  SECTION("as there is no other upstream") {}
  SECTION("as the instance stops") {
    other = &AddSoundUpstream(fixture);
    const TimePoint now = BootTimeNow();
    fixture.relay.BeginStop(now, now + seconds(3), now);
  }
  SECTION("but the request is sent there if it can") {
    other = &AddSoundUpstream(fixture);
    passed_on = false;
  }

  fail();
  CHECK(fixture.RunUntil([&] { return response.ended; }));
  CHECK(response.complete);
  CHECK(response.status == (passed_on ? 500 : 200));
  CHECK((response.body == "failure of the upstream") == passed_on);
  CHECK(response.head.Field("Answer-Seal") == "seal");
  CHECK((other == nullptr || other->requests().empty()) == passed_on);
}

}  // namespace chiverail
