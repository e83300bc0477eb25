// What becomes of a request that arrives before the configuration is known.

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {

// Guards against callers that are lost when all instances start at once: each instance refused
// them, and they tried only two.
TEST_CASE("A request that arrives before the configuration is held for it") {
  RelayFixture fixture;
  fixture.AddUpstream("up-1", FakeUpstream::Succeed);
  CallerResponse response;
  SECTION("and served once that is known") {
    const auto caller = fixture.Send(RelayFixture::Request("/book/x"), response);
    CHECK_FALSE(fixture.RunFor(milliseconds(150), [&] { return response.ended; }));
    fixture.Configure();
    fixture.relay.OnConfigured();
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(response.status == 200);
  }
  SECTION("and refused as not run if that takes too long for its caller") {
    const auto caller = fixture.Send(RelayFixture::Request("/book/x", "", "key", 300), response);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(response.status == 503);
    CHECK_FALSE(response.head.Field("Retry-After").empty());
  }
  SECTION("and forgotten if its caller leaves") {
    const auto caller = fixture.Send(RelayFixture::Request("/book/x"), response);
    fixture.RunFor(milliseconds(50), [] { return false; });
    caller->Close();
    fixture.RunFor(milliseconds(50), [] { return false; });
    fixture.Configure();
    fixture.relay.OnConfigured();
    CHECK(fixture.relay.upstreams().Find("up-1")->own_load == 0);
    CHECK(fixture.Lines("request").back()["outcome"] == "caller_left");
  }
}

}  // namespace chiverail
