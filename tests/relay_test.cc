#include "relay.h"

#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

using Caller = std::shared_ptr<CallerConnection>;

void Decline(const Caller& caller, const CallerRequest& request) {
  auto fields = FakeUpstream::Own(request);
  fields.emplace_back("Not-Run", "1");
  caller->Respond(503, {}, fields, "");
}

void Reset(const Caller& caller, const CallerRequest&) {
  caller->Abort();
}

void Hang(const Caller&, const CallerRequest&) {}

}  // namespace

TEST_CASE("A request passes through the relay") {
  RelayFixture fixture;

  SECTION("not before a configuration is known: nothing may be denied that it could allow") {
    CHECK(fixture.Ask(RelayFixture::Request("/read/x")).status == 503);
  }
  fixture.Configure();

  SECTION("to an upstream, with its bytes unchanged") {
    FakeUpstream& upstream = fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    const CallerView view =
        fixture.Ask(RelayFixture::Request("/read/x?y=1", "Extra: kept\r\nSystem-Only: forged\r\n"));
    CHECK(view.status == 200);
    CHECK(view.body == "result");
    CHECK(view.head.Field("Answer-Seal") == "seal");
    REQUIRE(upstream.requests().size() == 1);
    const CallerRequest& seen = upstream.requests().front();
    CHECK(seen.head.target == "/read/x?y=1");
    CHECK(seen.body == "body");
    CHECK(seen.head.Field("Extra") == "kept");
    SECTION("and with the fields that only the system sets") {
      CHECK(seen.head.Field("Workspace") == "gusseisen");
      CHECK(seen.head.Field("Workspace-Key").empty());
      CHECK(seen.head.Field("System-Only").empty());
      CHECK(seen.head.Field("Expected-Upstream") == "up-1");
      CHECK(std::stoi(std::string(seen.head.Field("Request-Deadline-Ms"))) <= 700);
    }
  }
  SECTION("unless its route or key is unknown") {
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    CHECK(fixture.Ask(RelayFixture::Request("/other/")).status == 404);
    CHECK(fixture.Ask(RelayFixture::Request("/read/", "", "withdrawn")).status == 401);
  }
  SECTION("unless the configuration is too old to know withdrawn keys") {
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    RelayLimits limits = RelayFixture::Limits();
    limits.key_age = milliseconds(1);
    fixture.relay.SetLimits(limits);
    std::this_thread::sleep_for(milliseconds(5));
    CHECK(fixture.Ask(RelayFixture::Request("/read/")).status == 503);
  }
  SECTION("without an upstream it is refused at once, with a time to come back") {
    const CallerView view = fixture.Ask(RelayFixture::Request("/book/"));
    CHECK(view.status == 503);
    CHECK_FALSE(view.head.Field("Retry-After").empty());
  }
}

TEST_CASE("Work that may not be repeated runs at most once") {
  RelayFixture fixture;
  fixture.Configure();

  SECTION("a connection that breaks after the send is answered as in doubt, never as not run") {
    FakeUpstream& first = fixture.AddUpstream("up-1", Reset);
    FakeUpstream& second = fixture.AddUpstream("up-2", Reset);
    CHECK(fixture.Ask(RelayFixture::Request("/book/")).status == 502);
    CHECK(first.requests().size() + second.requests().size() == 1);
  }
  SECTION("an upstream that says it didn't run it allows another one") {
    fixture.AddUpstream("up-1", Decline);
    fixture.AddUpstream("up-2", FakeUpstream::Succeed);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.Ask(RelayFixture::Request("/book/")).status == 200);
    }
  }
  SECTION("when all decline, the caller is told that it has not run") {
    fixture.AddUpstream("up-1", Decline);
    CHECK(fixture.Ask(RelayFixture::Request("/book/")).status == 503);
  }
  SECTION("an upstream that stays silent is answered for at the route's time limit") {
    fixture.AddUpstream("up-1", Hang);
    const TimePoint start = BootTimeNow();
    CHECK(fixture.Ask(RelayFixture::Request("/book/")).status == 504);
    CHECK(BootTimeNow() - start < milliseconds(700 + 400));
  }
  SECTION("an answer without the upstream's seal is none") {
    fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest&) {
      caller->Respond(200, {}, {{"Request-Id", "r1"}}, "forged");
    });
    CHECK(fixture.Ask(RelayFixture::Request("/book/")).status == 502);
  }
}

TEST_CASE("Idempotent work is repeated at another upstream") {
  RelayFixture fixture;
  fixture.Configure();
  FakeUpstream& bad = fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest& r) {
    caller->Respond(500, {}, FakeUpstream::Own(r), "");
  });
  FakeUpstream& good = fixture.AddUpstream("up-2", FakeUpstream::Succeed);
  for (int i = 0; i < 6; ++i) {
    CHECK(fixture.Ask(RelayFixture::Request("/read/")).status == 200);
  }
  CHECK(good.requests().size() == 6);
  CHECK(bad.requests().size() < 6);

  // Incident f779 on gge-chiverail: all engines failed part of their streams for four seconds, and
  // streams that may be resumed were not tried again.
  SECTION("and so is a resumable stream that failed before its first event") {
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.Ask(RelayFixture::Request("/chat/")).status == 200);
    }
  }
}

TEST_CASE("A late answer to an earlier request is read over") {
  RelayFixture fixture;
  fixture.Configure();
  fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest& request) {
    auto other = FakeUpstream::Own(request);
    other.front().second = "r0";
    caller->StartAnswer(200, {}, other, BodyFraming::kLength, 4);
    caller->SendBody("late");
    caller->StartAnswer(200, {}, FakeUpstream::Own(request), BodyFraming::kLength, 4);
    caller->SendBody("mine");
    caller->EndAnswer();
  });
  const CallerView view = fixture.Ask(RelayFixture::Request("/book/"));
  CHECK(view.status == 200);
  CHECK(view.body == "mine");
}

TEST_CASE("A stream is relayed event by event") {
  RelayFixture fixture;
  fixture.Configure();
  const auto first_part = [](const Caller& caller, const CallerRequest& request) {
    caller->StartAnswer(200, {}, FakeUpstream::Own(request), BodyFraming::kChunked, 0);
    caller->SendBody("id: 1\ndata: a\n\nid: 2\nda");
    caller->Abort();
  };
  const auto rest = [](const Caller& caller, const CallerRequest& request) {
    caller->StartAnswer(200, {}, FakeUpstream::Own(request), BodyFraming::kChunked, 0);
    caller->SendBody("id: 2\ndata: b\n\n");
    caller->EndAnswer();
  };

  SECTION("and goes on at another upstream when its first one breaks off within an event") {
    int served = 0;
    const auto handler = [&](const Caller& caller, const CallerRequest& request) {
      (served++ == 0 ? FakeUpstream::Handler(first_part) : FakeUpstream::Handler(rest))(caller,
                                                                                        request);
    };
    FakeUpstream& one = fixture.AddUpstream("up-1", handler);
    FakeUpstream& two = fixture.AddUpstream("up-2", handler);
    const CallerView view = fixture.Ask(RelayFixture::Request("/chat/"));
    CHECK(view.whole);
    CHECK(view.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    const auto& resumed = one.requests().size() == 1 && two.requests().size() == 1 ? two : one;
    CHECK((one.requests().back().head.Field("Last-Event-Id") == "1" ||
           two.requests().back().head.Field("Last-Event-Id") == "1"));
    CHECK(resumed.requests().size() == 1);
  }
  SECTION("and is cut, not ended, when no other upstream is left") {
    fixture.AddUpstream("up-1", first_part);
    const CallerView view = fixture.Ask(RelayFixture::Request("/chat/"));
    CHECK_FALSE(view.whole);
    CHECK(view.body == "id: 1\ndata: a\n\n");
  }
}

// Requests that found all upstreams full looked for a place every 15 ms in no order.
TEST_CASE("Requests wait for a place when all upstreams are full") {
  RelayFixture fixture;
  fixture.Configure();
  std::vector<std::pair<Caller, CallerRequest>> held;
  FakeUpstream& upstream =
      fixture.AddUpstream("up-1", [&](const Caller& caller, const CallerRequest& request) {
        held.emplace_back(caller, request);
      });
  constexpr std::size_t kPlaces = 12;  // one and a half times the slots
  std::vector<CallerView> views(kPlaces + 1);
  std::vector<std::shared_ptr<UpstreamConnection>> callers;
  for (std::size_t i = 0; i < kPlaces; ++i) {
    callers.push_back(fixture.Send(RelayFixture::Request("/book/"), views[i]));
  }
  REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == kPlaces; }));
  callers.push_back(fixture.Send(RelayFixture::Request("/book/"), views[kPlaces]));

  SECTION("and get the one that comes free") {
    CHECK_FALSE(fixture.RunFor(milliseconds(10), [&] { return views[kPlaces].ended; }));
    FakeUpstream::Succeed(held.front().first, held.front().second);
    REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == kPlaces + 1; }));
    FakeUpstream::Succeed(held.back().first, held.back().second);
    CHECK(fixture.RunUntil([&] { return views[kPlaces].ended; }));
    CHECK(views[kPlaces].status == 200);
  }
  SECTION("or are refused early, with a time to come back") {
    const TimePoint start = BootTimeNow();
    REQUIRE(fixture.RunUntil([&] { return views[kPlaces].ended; }));
    CHECK(BootTimeNow() - start < milliseconds(150));
    CHECK(views[kPlaces].status == 503);
    CHECK_FALSE(views[kPlaces].head.Field("Retry-After").empty());
    CHECK(upstream.requests().size() == kPlaces);
  }
  SECTION("or leave the queue with their caller") {
    fixture.RunFor(milliseconds(5), [] { return false; });
    callers.back()->Close();
    CHECK(fixture.RunUntil([&] { return fixture.relay.Queue("engines").empty(); }));
  }
  for (const auto& caller : callers) {
    caller->Close();
  }
}

// On-call engineers have the log only: a line without the inputs of a decision explains nothing.
TEST_CASE("Lines of the log carry what decided") {
  RelayFixture fixture;

  SECTION("that no configuration was known") {
    fixture.Ask(RelayFixture::Request("/read/"));
    const auto lines = fixture.Lines("request");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["why"] == "no configuration yet");
    CHECK(lines[0]["config_age_ms"].is_null());
  }
  fixture.Configure();

  SECTION("a configuration that came into force, with the version before it") {
    const auto lines = fixture.Lines("config");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["version"] == 3);
    CHECK(lines[0]["before"] == 0);
  }
  SECTION("where a request was placed, and by what knowledge of which age") {
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    fixture.relay.upstreams().OnListAnswered(BootTimeNow(), BootTimeNow());
    fixture.Ask(RelayFixture::Request("/read/"));
    const auto lines = fixture.Lines("request");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["request"] == "r1");
    CHECK(lines[0]["outcome"] == "answered");
    CHECK(lines[0]["upstream"] == "up-1");
    CHECK(lines[0]["usable"] == 1);
    CHECK(lines[0]["load"] == 0);
    CHECK(lines[0]["class"] == "interactive");
    CHECK(lines[0]["config"] == 3);
    CHECK(lines[0]["config_age_ms"].get<int>() < 1000);
    CHECK(lines[0]["list_age_ms"].get<int>() < 1000);
    CHECK(lines[0]["workspace"] == "gusseisen");
    CHECK(lines[0]["placed_by"] == "load");
    CHECK(fixture.metrics.Value(Counter::kPlacements, "load") == 1);
    CHECK(fixture.metrics.Value(Counter::kRouteRequests, "/read/") == 1);
    CHECK(fixture.metrics.Value(Counter::kRouteFailures, "/read/") == 0);
  }
  SECTION("that it was sent again, from where and why") {
    fixture.AddUpstream("up-1", Decline);
    fixture.AddUpstream("up-2", Decline);
    fixture.Ask(RelayFixture::Request("/book/"));
    const auto lines = fixture.Lines("send_again");
    REQUIRE_FALSE(lines.empty());
    CHECK(lines[0]["request"] == "r1");
    CHECK(lines[0]["why"] == "declined: 503");
    CHECK(lines[0]["from"].get<std::string>().substr(0, 3) == "up-");
  }
  SECTION("that it was refused, with the state of the queue") {
    fixture.AddUpstream("up-1", Hang);
    std::vector<CallerView> views(13);
    std::vector<std::shared_ptr<UpstreamConnection>> callers;
    for (CallerView& view : views) {
      callers.push_back(fixture.Send(RelayFixture::Request("/book/"), view));
    }
    REQUIRE(fixture.RunUntil([&] { return !fixture.Lines("request").empty(); }));
    const auto line = fixture.Lines("request").front();
    CHECK(line["status"] == 503);
    CHECK(line["why"] == "all_full (waited_too_long, 0 waiting)");
    CHECK(line["waited_ms"].get<int>() >= 20);
    CHECK(fixture.metrics.Value(Counter::kRefused, "all_full") == 1);
    CHECK(fixture.metrics.Value(Counter::kRouteFailures, "/book/") == 1);
    for (const auto& caller : callers) {
      caller->Close();
    }
  }
  SECTION("that its caller left") {
    FakeUpstream& upstream = fixture.AddUpstream("up-1", Hang);
    CallerView view;
    const auto caller = fixture.Send(RelayFixture::Request("/book/"), view);
    REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == 1; }));
    caller->Close();
    REQUIRE(fixture.RunUntil([&] { return !fixture.Lines("request").empty(); }));
    CHECK(fixture.Lines("request").front()["outcome"] == "caller_left");
  }
}

// Each addition of routes by operators would otherwise add series for good.
TEST_CASE("Metrics by route stay bounded") {
  RelayFixture fixture;
  std::set<std::string> labels;
  for (int i = 0; i < 500; ++i) {
    labels.insert(fixture.relay.RouteLabel("r-" + std::to_string(i)));
  }
  CHECK(labels.size() == 65);
  CHECK(fixture.relay.RouteLabel("r-3") == "r-3");
  CHECK(fixture.relay.RouteLabel("r-400") == "other");
}

TEST_CASE("A caller that leaves ends the work for it") {
  RelayFixture fixture;
  fixture.Configure();
  bool gone = false;
  FakeUpstream& upstream =
      fixture.AddUpstream("up-1", [&](const Caller& caller, const CallerRequest&) {
        caller->OnGone([&gone] { gone = true; });
      });
  CallerView view;
  const auto caller = fixture.Send(RelayFixture::Request("/book/"), view);
  REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == 1; }));
  const TimePoint left = BootTimeNow();
  caller->Close();
  CHECK(fixture.RunUntil([&] { return gone; }));
  CHECK(BootTimeNow() - left < milliseconds(300));
  CHECK(fixture.relay.upstreams().Find("up-1")->own_load == 0);
}

}  // namespace chiverail
