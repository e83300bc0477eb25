#include "config_guard/start_version.h"

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

}  // namespace

// Guards against a key that was withdrawn and is served by an instance that starts after the store
// has come back from an older copy (review/7, CONFIG).
TEST_CASE(
    "An instance that starts does not serve by a configuration that others have left behind") {
  StartVersion start(kStart);
  CHECK_FALSE(start.IsBehind(7, kStart));
  start.OnTold(9, kStart + milliseconds(300));
  start.OnTold(8, kStart + milliseconds(400));
  const TimePoint now = kStart + seconds(1);
  CHECK(start.IsBehind(7, now));
  CHECK(start.IsBehind(8, now));

  SECTION("but by one that is as new") {
    CHECK_FALSE(start.IsBehind(9, now));
    CHECK_FALSE(start.IsBehind(11, now));
  }
  SECTION("for as long as one of the others has it in force") {
    TimePoint later = kStart;
    for (; later < kStart + seconds(60); later += seconds(1)) {
      start.OnTold(9, later);
    }
    CHECK(start.IsBehind(7, later));
    CHECK_FALSE(start.IsBehind(7, later + StartVersion::kToldLifetime));
  }
  // Guards against refusals at each change of the configuration.
  SECTION("while one that runs on gets new versions later than others") {
    start.OnTold(11, kStart + seconds(6));
    CHECK_FALSE(start.IsBehind(9, kStart + seconds(6)));
  }
}

TEST_CASE(
    "Requests are refused without having run until a starting instance knows what others do") {
  RelayFixture fixture;
  const FakeUpstream& upstream = fixture.AddUpstream("up-1", FakeUpstream::Succeed);
  fixture.Configure();
  fixture.relay.OnConfigInForce(4);
  CHECK_FALSE(fixture.relay.Accepting(BootTimeNow()));
  CHECK(fixture.SendAndWait(RelayFixture::Request("/book/x")).status == 503);
  CHECK(upstream.requests().empty());
  SECTION("and served once it has the same version") {
    RoutingConfig config = fixture.relay.table()->config();
    config.version = 4;
    fixture.relay.Apply(std::move(config));
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/x")).status == 200);
  }
}

}  // namespace chiverail
