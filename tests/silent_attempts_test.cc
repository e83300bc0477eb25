// When a request is answered whose upstreams say nothing.

#include <string>

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

constexpr int kDeadlineMs = 600;

// Adds an upstream that takes requests and is silent.
void AddSilentUpstream(RelayFixture& fixture, const std::string& id) {
  fixture.AddUpstream(id, [](const auto&, const CallerRequest&) {});
}

}  // namespace

// Guards against requests that are never answered: the timer of an attempt was not followed by that
// of the request.
TEST_CASE("A request whose attempts are all silent is answered at its deadline") {
  RelayFixture fixture;
  fixture.Configure(seconds(5));
  const int upstreams = GENERATE(1, 2, 3);
  for (int i = 0; i < upstreams; ++i) {
    AddSilentUpstream(fixture, "up-" + std::to_string(i));
  }
  const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");
  CAPTURE(upstreams, path);
  const CallerResponse response =
      fixture.SendAndWait(RelayFixture::Request(path, "", "key", kDeadlineMs));
  CHECK(response.complete);
  CHECK(response.status == 504);
  SECTION("and frees its slots") {
    for (const auto& [id, upstream] : fixture.relay.upstreams().all()) {
      CHECK(upstream.own_load == 0);
    }
  }
}

}  // namespace chiverail
