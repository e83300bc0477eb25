// Refusals that the relay writes itself.

#include <string>

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

using Caller = std::shared_ptr<CallerConnection>;

void Reset(const Caller& caller, const CallerRequest&) {
  caller->Abort();
}

void Decline(const Caller& caller, const CallerRequest& request) {
  auto fields = FakeUpstream::SealFields(request);
  fields.emplace_back("Not-Run", "1");
  caller->Respond(503, {}, fields, "");
}

}  // namespace

// Guards against a body made from memory that has been freed: the reason of most refusals is the
// call's last error, and a refusal sets that error.
TEST_CASE("The body of a refusal is the logged reason") {
  RelayFixture fixture;
  fixture.Configure();
  const auto check = [&](const std::string& path, int status) {
    for (std::size_t i = 1; i <= 4; ++i) {
      const CallerResponse response = fixture.SendAndWait(RelayFixture::Request(path));
      CHECK(response.status == status);
      const auto lines = fixture.Lines("request");
      REQUIRE(lines.size() == i);
      CHECK(response.body == lines.back()["why"].get<std::string>() + "\n");
    }
  };
  SECTION("if the upstream resets a request that may not be repeated") {
    fixture.AddUpstream("up-1", Reset);
    check("/book/x", 502);
  }
  SECTION("if all upstreams reset a request") {
    fixture.AddUpstream("up-1", Reset);
    fixture.AddUpstream("up-2", Reset);
    check("/read/x", 502);
  }
  SECTION("if the upstream declines") {
    fixture.AddUpstream("up-1", Decline);
    check("/book/x", 503);
  }
  SECTION("if there is no upstream") {
    check("/book/x", 503);
  }
  SECTION("if there is no route") {
    check("/other/x", 404);
  }
}

}  // namespace chiverail
