// What becomes of a request whose upstream is silent for longer than an attempt may be.

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

namespace asio = boost::asio;

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

// Longer than the time after which a request is sent elsewhere: 0.9 s without an event, or 0.9 s of
// a request's 2 s.
constexpr Duration kSilence = milliseconds(1300);

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

  // Adds an upstream that answers at once with what comes after the first event.
  FakeUpstream& AddSoundUpstream() {
    return AddUpstream("up-2", [](const auto& caller, const CallerRequest& request) {
      const bool stream = request.head.target == "/chat/x";
      caller->Respond(200, {}, FakeUpstream::SealFields(request), stream ? kSecondEvent : "result");
    });
  }

  FakeUpstream* upstream = nullptr;
};

bool IsWhole(const CallerResponse& response, const std::string& path) {
  const std::string stream = std::string(kFirstEvent) + kSecondEvent;
  return response.status == 200 && response.complete &&
         response.body == (path == "/chat/x" ? stream : "result");
}

}  // namespace

// Guards against running work that is given up for an attempt that can't be made (LOST).
TEST_CASE("A request stays with a silent upstream unless another one can take it", "[.known-red]") {
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
    FakeUpstream& other = fixture.AddSoundUpstream();
    const TimePoint now = BootTimeNow();
    fixture.relay.BeginStop(now, now + seconds(3), now);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(IsWhole(response, path));
    CHECK(other.requests().empty());
  }
  SECTION("but is sent there if it can") {
    const auto caller = fixture.Send(fixture.Request(path), response);
    fixture.RunUntil([&] { return fixture.upstream->requests().size() == 1; });
    FakeUpstream& other = fixture.AddSoundUpstream();
    CHECK(fixture.RunFor(milliseconds(1200), [&] { return response.ended; }));
    CHECK(IsWhole(response, path));
    CHECK(other.requests().size() == 1);
  }
}

TEST_CASE("A request whose upstream stays silent is sent elsewhere once another one can take it",
          "[.known-red]") {
  const std::string path = GENERATE("/chat/x", "/read/x");
  SilentFixture fixture(seconds(10));
  CallerResponse response;
  const auto caller = fixture.Send(fixture.Request(path), response);
  fixture.RunFor(milliseconds(1100), [] { return false; });
  CHECK_FALSE(response.ended);
  FakeUpstream& other = fixture.AddSoundUpstream();
  CHECK(fixture.RunFor(milliseconds(700), [&] { return response.ended; }));
  CHECK(IsWhole(response, path));
  CHECK(other.requests().size() == 1);
}

}  // namespace chiverail
