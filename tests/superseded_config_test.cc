// What an instance does that knows of a newer configuration which it has not read yet.

#include <catch2/catch.hpp>

#include "relay_fixture.h"
#include "table_follower.h"

namespace chiverail {

// Guards against requests that are handled by a configuration long after another one has replaced
// it (CONFIG: a withdrawn key that was served 3.2 s after the change, the bound being 3 s).
TEST_CASE("A superseded configuration is used for a limited time") {
  RelayFixture fixture;
  fixture.Configure();
  RelayLimits limits = RelayFixture::Limits();
  limits.superseded_age = seconds(2);
  fixture.relay.SetLimits(limits);
  fixture.AddUpstream("up-1", FakeUpstream::Succeed);
  bool behind = true;
  fixture.relay.SetSupersededCheck([&] { return behind; });
  const std::string request = fixture.Request(GENERATE("/book/x", "/chat/x", "/gone/x"));
  const bool known_route = request.find("/gone/") == std::string::npos;

  SECTION("while the one in force was the newest just now") {
    CHECK(fixture.relay.Accepting(BootTimeNow()));
    CHECK(fixture.SendAndWait(request).status == (known_route ? 200 : 404));
  }
  SECTION("then all requests are refused as not run, and the instance is not ready") {
    const TimePoint later = BootTimeNow() + seconds(2);
    CHECK(fixture.relay.IsSuperseded(later));
    CHECK_FALSE(fixture.relay.Accepting(later));
    limits.superseded_age = milliseconds(1);
    fixture.relay.SetLimits(limits);
    fixture.RunFor(milliseconds(10), [] { return false; });
    const CallerResponse response = fixture.SendAndWait(request);
    CHECK(response.status == 503);
    CHECK_FALSE(response.head.Field("Retry-After").empty());
    SECTION("until it has read the newer one") {
      behind = false;
      CHECK(fixture.SendAndWait(request).status == (known_route ? 200 : 404));
    }
  }
  SECTION("but nothing is refused only because the store is silent") {
    behind = false;
    CHECK_FALSE(fixture.relay.IsSuperseded(BootTimeNow() + seconds(4)));
    CHECK(fixture.relay.Accepting(BootTimeNow() + seconds(4)));
  }
}

TEST_CASE("A follower is behind from the first notice of newer rows until it has read them") {
  const SourceView view{{"10.0.0.2:1"}, 3, 0};
  TableFollower follower({milliseconds(600), {}, milliseconds(300), milliseconds(1500)}, 1);
  TimePoint now{seconds(100)};
  TableNotice notice{"op", 5, {}, {}};
  follower.Start(now);
  CHECK_FALSE(follower.OnNotice("10.0.0.2:1", notice, view, now));
  CHECK_FALSE(follower.IsBehind());  // it has no rows at all
  REQUIRE(follower.Next(view, now).has_value());
  follower.OnRead(ReadResult::kRows, 5, false, now);
  CHECK_FALSE(follower.IsBehind());
  notice.version = 6;
  notice.dated = false;
  follower.OnNotice("10.0.0.2:1", notice, view, now);
  CHECK(follower.IsBehind());
  SECTION("a failed read changes nothing") {
    REQUIRE(follower.Next(view, now).has_value());
    follower.OnRead(ReadResult::kSilent, 0, false, now);
    CHECK(follower.IsBehind());
  }
  SECTION("a read ends it") {
    REQUIRE(follower.Next(view, now).has_value());
    follower.OnRead(ReadResult::kRows, 6, true, now);
    CHECK_FALSE(follower.IsBehind());
  }
  SECTION("a notice that is too old says nothing") {
    notice.version = 7;
    notice.age = seconds(2);
    follower.OnNotice("10.0.0.2:1", notice, view, now);
    REQUIRE(follower.Next(view, now).has_value());
    follower.OnRead(ReadResult::kRows, 6, true, now);
    CHECK_FALSE(follower.IsBehind());
  }
}

}  // namespace chiverail
