#include "relay.h"

#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace chiverail {
namespace {

using Caller = std::shared_ptr<CallerConnection>;

void Decline(const Caller& caller, const CallerRequest& request) {
  auto fields = FakeUpstream::SealFields(request);
  fields.emplace_back("Not-Run", "1");
  caller->Respond(503, {}, fields, "");
}

void Reset(const Caller& caller, const CallerRequest&) {
  caller->Abort();
}

void Hang(const Caller&, const CallerRequest&) {}

}  // namespace

TEST_CASE("A request is relayed") {
  RelayFixture fixture;

  SECTION("but refused as unavailable, not denied, before a configuration is known") {
    CHECK(fixture.SendAndWait(RelayFixture::Request("/read/x")).status == 503);
  }
  fixture.Configure();

  SECTION("to an upstream, with its bytes unchanged") {
    FakeUpstream& upstream = fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    const CallerResponse response = fixture.SendAndWait(
        RelayFixture::Request("/read/x?y=1", "Extra: kept\r\nSystem-Only: forged\r\n"));
    CHECK(response.status == 200);
    CHECK(response.body == "result");
    CHECK(response.head.Field("Answer-Seal") == "seal");
    REQUIRE(upstream.requests().size() == 1);
    const CallerRequest& seen = upstream.requests().front();
    CHECK(seen.head.target == "/read/x?y=1");
    CHECK(seen.body == "body");
    CHECK(seen.head.Field("Extra") == "kept");
    SECTION("and with the header fields that only the system sets") {
      CHECK(seen.head.Field("Workspace") == "gusseisen");
      CHECK(seen.head.Field("Workspace-Key").empty());
      CHECK(seen.head.Field("System-Only").empty());
      CHECK(seen.head.Field("Expected-Upstream") == "up-1");
      CHECK(std::stoi(std::string(seen.head.Field("Request-Deadline-Ms"))) <= 700);
    }
  }
  SECTION("unless its route or key is unknown") {
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    CHECK(fixture.SendAndWait(RelayFixture::Request("/other/")).status == 404);
    CHECK(fixture.SendAndWait(RelayFixture::Request("/read/", "", "withdrawn")).status == 401);
  }
  SECTION("unless the configuration is too old to reflect withdrawn keys") {
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    RelayLimits limits = RelayFixture::Limits();
    limits.key_age = milliseconds(1);
    fixture.relay.SetLimits(limits);
    std::this_thread::sleep_for(milliseconds(5));
    CHECK(fixture.SendAndWait(RelayFixture::Request("/read/")).status == 503);
  }
  SECTION("without an upstream it is refused immediately with Retry-After") {
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/book/"));
    CHECK(response.status == 503);
    CHECK_FALSE(response.head.Field("Retry-After").empty());
  }
}

TEST_CASE("Work that must not be retried runs at most once") {
  RelayFixture fixture;
  fixture.Configure();

  SECTION("a connection that breaks after the request was sent gives 502, never 503") {
    FakeUpstream& first = fixture.AddUpstream("up-1", Reset);
    FakeUpstream& second = fixture.AddUpstream("up-2", Reset);
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/")).status == 502);
    CHECK(first.requests().size() + second.requests().size() == 1);
  }
  SECTION("it is retried if the upstream reports that it was not run") {
    fixture.AddUpstream("up-1", Decline);
    fixture.AddUpstream("up-2", FakeUpstream::Succeed);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.SendAndWait(RelayFixture::Request("/book/")).status == 200);
    }
  }
  SECTION("if all upstreams decline, the response reports that it was not run") {
    fixture.AddUpstream("up-1", Decline);
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/")).status == 503);
  }
  SECTION("if the upstream does not respond, it fails at the route's timeout") {
    fixture.AddUpstream("up-1", Hang);
    const TimePoint start = BootTimeNow();
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/")).status == 504);
    CHECK(BootTimeNow() - start < milliseconds(700 + 400));
  }
  SECTION("a response without the upstream's seal is rejected") {
    fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest&) {
      caller->Respond(200, {}, {{"Request-Id", "r1"}}, "forged");
    });
    CHECK(fixture.SendAndWait(RelayFixture::Request("/book/")).status == 502);
  }
}

TEST_CASE("Idempotent work is retried at another upstream") {
  RelayFixture fixture;
  fixture.Configure();
  FakeUpstream& bad = fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest& r) {
    caller->Respond(500, {}, FakeUpstream::SealFields(r), "");
  });
  FakeUpstream& good = fixture.AddUpstream("up-2", FakeUpstream::Succeed);
  for (int i = 0; i < 6; ++i) {
    CHECK(fixture.SendAndWait(RelayFixture::Request("/read/")).status == 200);
  }
  CHECK(good.requests().size() == 6);
  CHECK(bad.requests().size() < 6);

  // Incident f779 on gge-chiverail: all engines failed some of their streams for four seconds, and
  // resumable streams were not retried.
  SECTION("and so is a resumable stream that failed before its first event") {
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.SendAndWait(RelayFixture::Request("/chat/")).status == 200);
    }
  }
}

TEST_CASE("A late response to an earlier request is skipped") {
  RelayFixture fixture;
  fixture.Configure();
  fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest& request) {
    auto other = FakeUpstream::SealFields(request);
    other.front().second = "r0";
    caller->StartResponse(200, {}, other, BodyFraming::kLength, 4);
    caller->SendBody("late");
    caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kLength, 4);
    caller->SendBody("mine");
    caller->EndResponse();
  });
  const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/book/"));
  CHECK(response.status == 200);
  CHECK(response.body == "mine");
}

TEST_CASE("A stream is relayed event by event") {
  RelayFixture fixture;
  fixture.Configure();
  const auto interrupted_stream = [](const Caller& caller, const CallerRequest& request) {
    caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
    caller->SendBody("id: 1\ndata: a\n\nid: 2\nda");
    caller->Abort();
  };
  const auto resumed_stream = [](const Caller& caller, const CallerRequest& request) {
    caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
    caller->SendBody("id: 2\ndata: b\n\n");
    caller->EndResponse();
  };

  SECTION("and resumes at another upstream if the first one breaks off within an event") {
    int served = 0;
    const auto handler = [&](const Caller& caller, const CallerRequest& request) {
      (served++ == 0 ? FakeUpstream::Handler(interrupted_stream)
                     : FakeUpstream::Handler(resumed_stream))(caller, request);
    };
    FakeUpstream& one = fixture.AddUpstream("up-1", handler);
    FakeUpstream& two = fixture.AddUpstream("up-2", handler);
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/chat/"));
    CHECK(response.complete);
    CHECK(response.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    const auto& resumed = one.requests().size() == 1 && two.requests().size() == 1 ? two : one;
    CHECK((one.requests().back().head.Field("Last-Event-Id") == "1" ||
           two.requests().back().head.Field("Last-Event-Id") == "1"));
    CHECK(resumed.requests().size() == 1);
  }
  SECTION("and is aborted, not ended, if no other upstream is left") {
    fixture.AddUpstream("up-1", interrupted_stream);
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request("/chat/"));
    CHECK_FALSE(response.complete);
    CHECK(response.body == "id: 1\ndata: a\n\n");
  }
}

// Guards against requests that find all upstreams full polling for a slot every 15 ms in no defined
// order instead of waiting in the queue.
TEST_CASE("Requests are queued if all upstreams are full") {
  RelayFixture fixture;
  fixture.Configure();
  std::vector<std::pair<Caller, CallerRequest>> pending;
  FakeUpstream& upstream =
      fixture.AddUpstream("up-1", [&](const Caller& caller, const CallerRequest& request) {
        pending.emplace_back(caller, request);
      });
  constexpr std::size_t kCapacity = 12;  // 1.5 times the number of slots
  std::vector<CallerResponse> responses(kCapacity + 1);
  std::vector<std::shared_ptr<UpstreamConnection>> callers;
  for (std::size_t i = 0; i < kCapacity; ++i) {
    callers.push_back(fixture.Send(RelayFixture::Request("/book/"), responses[i]));
  }
  REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == kCapacity; }));
  callers.push_back(fixture.Send(RelayFixture::Request("/book/"), responses[kCapacity]));

  SECTION("and get the next free slot") {
    CHECK_FALSE(fixture.RunFor(milliseconds(10), [&] { return responses[kCapacity].ended; }));
    FakeUpstream::Succeed(pending.front().first, pending.front().second);
    REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == kCapacity + 1; }));
    FakeUpstream::Succeed(pending.back().first, pending.back().second);
    CHECK(fixture.RunUntil([&] { return responses[kCapacity].ended; }));
    CHECK(responses[kCapacity].status == 200);
  }
  SECTION("or are refused early with Retry-After") {
    const TimePoint start = BootTimeNow();
    REQUIRE(fixture.RunUntil([&] { return responses[kCapacity].ended; }));
    CHECK(BootTimeNow() - start < milliseconds(150));
    CHECK(responses[kCapacity].status == 503);
    CHECK_FALSE(responses[kCapacity].head.Field("Retry-After").empty());
    CHECK(upstream.requests().size() == kCapacity);
  }
  SECTION("or are dequeued if their caller disconnects") {
    fixture.RunFor(milliseconds(5), [] { return false; });
    callers.back()->Close();
    CHECK(fixture.RunUntil([&] { return fixture.relay.Queue("engines").empty(); }));
  }
  for (const auto& caller : callers) {
    caller->Close();
  }
}

// On-call engineers have only the log, so each line must contain the inputs of its decision.
TEST_CASE("Log lines contain the inputs of decisions") {
  RelayFixture fixture;

  SECTION("for a request without a configuration") {
    fixture.SendAndWait(RelayFixture::Request("/read/"));
    const auto lines = fixture.Lines("request");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["why"] == "no configuration yet");
    CHECK(lines[0]["config_age_ms"].is_null());
  }
  fixture.Configure();

  SECTION("for a new configuration, with the previous version") {
    const auto lines = fixture.Lines("config");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["version"] == 3);
    CHECK(lines[0]["before"] == 0);
  }
  SECTION("for the placement of a request, with the age of the data used") {
    fixture.AddUpstream("up-1", FakeUpstream::Succeed);
    fixture.relay.upstreams().OnListRead(BootTimeNow(), BootTimeNow());
    fixture.SendAndWait(RelayFixture::Request("/read/"));
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
  SECTION("for a response, with its framing and the bytes received and relayed") {
    fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest& request) {
      caller->StartResponse(200, {}, FakeUpstream::SealFields(request), BodyFraming::kChunked, 0);
      caller->SendBody("id: 1\ndata: a\n\n");
      caller->EndResponse();
    });
    fixture.SendAndWait(RelayFixture::Request("/chat/"));
    const auto lines = fixture.Lines("request");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["framing"] == "chunked");
    CHECK(lines[0]["received_bytes"] == 15);
    CHECK(lines[0]["relayed_bytes"] == 15);
    CHECK(lines[0].count("partial_event_bytes") == 0);
    CHECK(fixture.metrics.Value(Counter::kUpstreamResponses, "chunked") == 1);
  }
  SECTION("for a retry, with its first upstream and reason") {
    fixture.AddUpstream("up-1", Decline);
    fixture.AddUpstream("up-2", Decline);
    fixture.SendAndWait(RelayFixture::Request("/book/"));
    const auto lines = fixture.Lines("send_again");
    REQUIRE_FALSE(lines.empty());
    CHECK(lines[0]["request"] == "r1");
    CHECK(lines[0]["why"] == "declined: 503");
    CHECK(lines[0]["from"].get<std::string>().substr(0, 3) == "up-");
  }
  SECTION("for an upstream that broke, with what it did not answer and whether it has ended") {
    fixture.AddUpstream("up-1", Reset);
    fixture.SendAndWait(RelayFixture::Request("/book/", "Prompt-Parts: a,b,own\r\n"));
    REQUIRE(fixture.RunUntil([&] { return !fixture.Lines("upstream").empty(); }));
    const auto line = fixture.Lines("upstream").front();
    CHECK(line["upstream"] == "up-1");
    CHECK(line["outcome"] == "broke");
    CHECK(line["new_connection"] == "accepted");
    CHECK(line["unanswered_parts"] == nlohmann::json{"a", "b"});
    CHECK(fixture.metrics.Value(Counter::kBrokenUpstreams, "accepted") == 1);
  }
  SECTION("for a refusal, with the state of the queue") {
    fixture.AddUpstream("up-1", Hang);
    std::vector<CallerResponse> responses(13);
    std::vector<std::shared_ptr<UpstreamConnection>> callers;
    for (CallerResponse& response : responses) {
      callers.push_back(fixture.Send(RelayFixture::Request("/book/"), response));
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
  SECTION("for a caller that disconnected") {
    FakeUpstream& upstream = fixture.AddUpstream("up-1", Hang);
    CallerResponse response;
    const auto caller = fixture.Send(RelayFixture::Request("/book/"), response);
    REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == 1; }));
    caller->Close();
    REQUIRE(fixture.RunUntil([&] { return !fixture.Lines("request").empty(); }));
    CHECK(fixture.Lines("request").front()["outcome"] == "caller_left");
  }
}

// Without a limit, routes that operators add would create metric series that are never removed.
TEST_CASE("The number of metric series by route is bounded") {
  RelayFixture fixture;
  std::set<std::string> labels;
  for (int i = 0; i < 500; ++i) {
    labels.insert(fixture.relay.RouteLabel("r-" + std::to_string(i)));
  }
  CHECK(labels.size() == 65);
  CHECK(fixture.relay.RouteLabel("r-3") == "r-3");
  CHECK(fixture.relay.RouteLabel("r-400") == "other");
}

TEST_CASE("A request is cancelled if its caller disconnects") {
  RelayFixture fixture;
  fixture.Configure();
  bool gone = false;
  FakeUpstream& upstream =
      fixture.AddUpstream("up-1", [&](const Caller& caller, const CallerRequest&) {
        caller->OnDisconnect([&gone] { gone = true; });
      });
  CallerResponse response;
  const auto caller = fixture.Send(RelayFixture::Request("/book/"), response);
  REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == 1; }));
  const TimePoint left = BootTimeNow();
  caller->Close();
  CHECK(fixture.RunUntil([&] { return gone; }));
  CHECK(BootTimeNow() - left < milliseconds(300));
  CHECK(fixture.relay.upstreams().Find("up-1")->own_load == 0);
}

// Guards against waiting for a slot that the limits of the upstreams will not give in time.
TEST_CASE("A request that the limits of all upstreams leave no room for is refused at once") {
  RelayFixture fixture;
  fixture.Configure();
  FakeUpstream& upstream =
      fixture.AddUpstream("up-1", [](const Caller& caller, const CallerRequest& request) {
        auto fields = FakeUpstream::SealFields(request);
        fields.emplace_back("Request-Limit", "0.5");
        caller->Respond(200, {}, fields, "result");
      });
  REQUIRE(fixture.SendAndWait(RelayFixture::Request("/read/x")).status == 200);
  REQUIRE(fixture.SendAndWait(RelayFixture::Request("/read/x")).status == 200);
  const TimePoint sent = BootTimeNow();
  const CallerResponse refused = fixture.SendAndWait(RelayFixture::Request("/read/x"));
  CHECK(BootTimeNow() - sent < milliseconds(100));
  CHECK(refused.status == 503);
  CHECK(std::stod(std::string(refused.head.Field("Retry-After"))) >= 2);
  CHECK(upstream.requests().size() == 2);
  CHECK(fixture.Lines("upstream").at(0)["limit_per_s"] == 0.5);
}

// Guards against requests that upstreams have asked not to get.
TEST_CASE("What an upstream asks is kept for the next requests") {
  RelayFixture fixture;
  fixture.Configure();
  const auto answer_with = [&](int status, const HttpHeader& field) {
    return [status, field](const Caller& caller, const CallerRequest& request) {
      auto fields = FakeUpstream::SealFields(request);
      fields.push_back(field);
      if (status == 503) {
        fields.emplace_back("Not-Run", "1");
      }
      caller->Respond(status, {}, fields,
                      request.head.target == "/chat/x" ? "data: result\n\n" : "result");
    };
  };
  const std::string path = GENERATE(as<std::string>{}, "/read/x", "/book/x", "/chat/x");
  SECTION("if it leaves") {
    FakeUpstream& upstream = fixture.AddUpstream("up-1", answer_with(200, {"Leaving", "1"}));
    CHECK(fixture.SendAndWait(RelayFixture::Request(path)).status == 200);
    CHECK(fixture.SendAndWait(RelayFixture::Request(path)).status == 503);
    CHECK(upstream.requests().size() == 1);
    FakeUpstream& other = fixture.AddUpstream("up-2", FakeUpstream::Succeed);
    CHECK(fixture.SendAndWait(RelayFixture::Request(path)).status == 200);
    CHECK(other.requests().size() == 1);
  }
  SECTION("if it turns this instance away") {
    FakeUpstream& upstream = fixture.AddUpstream("up-1", answer_with(503, {"Retry-After", "2"}));
    CHECK(fixture.SendAndWait(RelayFixture::Request(path)).status == 503);
    const TimePoint sent = BootTimeNow();
    const CallerResponse refused = fixture.SendAndWait(RelayFixture::Request(path));
    CHECK(BootTimeNow() - sent < milliseconds(100));
    CHECK(refused.status == 503);
    CHECK(std::stod(std::string(refused.head.Field("Retry-After"))) > 1.5);
    CHECK(upstream.requests().size() == 1);
    FakeUpstream& other = fixture.AddUpstream("up-2", FakeUpstream::Succeed);
    CHECK(fixture.SendAndWait(RelayFixture::Request(path)).status == 200);
    CHECK(other.requests().size() == 1);
  }
}

}  // namespace chiverail
