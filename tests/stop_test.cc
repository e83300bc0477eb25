// What becomes of requests while an instance stops.

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "raw_fixture.h"

namespace chiverail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr TimePoint kStart = TimePoint(seconds(1000));

// A relay that stops, and an upstream that answers after a while.
struct StoppingFixture : RelayFixture {
  explicit StoppingFixture(Duration answer_time = milliseconds(50)) {
    Configure();
    upstream = &AddUpstream("up-1", [this, answer_time](const auto& caller, CallerRequest request) {
      const auto timer = std::make_shared<asio::steady_timer>(io, answer_time);
      timer->async_wait([timer, caller, request = std::move(request)](const auto&) {
        FakeUpstream::Succeed(caller, request);
      });
    });
  }

  void BeginStop(Duration accept, Duration deadline) {
    const TimePoint now = BootTimeNow();
    relay.BeginStop(now + accept, now + deadline, now);
  }

  std::size_t Ran() const { return upstream->requests().size(); }

  FakeUpstream* upstream = nullptr;
};

bool SaysNotRun(const CallerResponse& response) {
  return response.status == 503 && response.complete && !response.head.Field("Retry-After").empty();
}

}  // namespace

// Guards against requests that a stopping instance passes on and then cuts (LOST).
TEST_CASE("A stopping instance passes on what will have ended by its deadline") {
  StopPlan plan;
  const TimePoint late = kStart + seconds(60);
  plan.OnAnswered("short", milliseconds(400), kStart);
  plan.OnAnswered("long", seconds(5), kStart);

  SECTION("before the stop, everything") {
    CHECK(plan.MayPassOn("long", true, late, kStart));
    CHECK(plan.MayPassOn("unknown", true, late, kStart));
  }
  SECTION("in the stop") {
    plan.Begin(kStart + milliseconds(2500), kStart + seconds(7));
    CHECK(plan.MayPassOn("short", true, late, kStart + milliseconds(2400)));
    CHECK(plan.MayPassOn("long", true, late, kStart + milliseconds(700)));
    SECTION("not what may take longer") {
      CHECK_FALSE(plan.MayPassOn("long", true, late, kStart + milliseconds(800)));
      CHECK_FALSE(plan.MayPassOn("unknown", true, late, kStart));
    }
    SECTION("not what may not be repeated, however short its answers") {
      CHECK_FALSE(plan.MayPassOn("short", false, late, kStart));
    }
    SECTION("nothing by the times of its route once callers know of the stop") {
      CHECK_FALSE(plan.MayPassOn("short", true, late, kStart + milliseconds(2500)));
    }
    SECTION("always what has an earlier deadline of its own") {
      CHECK(plan.MayPassOn("unknown", false, kStart + seconds(7), kStart + seconds(6)));
    }
  }
  SECTION("by the longest answer of the last one to two minutes") {
    plan.OnAnswered("long", seconds(1), kStart + seconds(70));
    CHECK(plan.Longest("long") == seconds(5));
    plan.OnAnswered("long", seconds(1), kStart + seconds(140));
    CHECK(plan.Longest("long") == seconds(1));
    plan.OnAnswered("short", seconds(1), kStart + seconds(400));
    CHECK_FALSE(plan.Longest("long"));
  }
}

TEST_CASE("A request that comes during a stop is refused at once if it can't end in time") {
  StoppingFixture fixture;
  const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");

  SECTION("and no other instance has to wait for it") {
    fixture.BeginStop(seconds(2), milliseconds(500));
    const TimePoint start = BootTimeNow();
    const CallerResponse refused = fixture.SendAndWait(fixture.Request(path));
    CHECK(SaysNotRun(refused));
    CHECK(refused.body.find("this instance stops") != std::string::npos);
    CHECK(BootTimeNow() - start < milliseconds(100));
    CHECK(fixture.Ran() == 0);
  }
  SECTION("but passed on if it may be repeated and the answers of its route are short enough") {
    CHECK(fixture.SendAndWait(fixture.Request(path)).status == 200);
    fixture.BeginStop(seconds(2), milliseconds(500));
    const CallerResponse response = fixture.SendAndWait(fixture.Request(path));
    CHECK((path == "/read/x" ? response.status == 200 : SaysNotRun(response)));
  }
  SECTION("or if its own deadline is early enough") {
    fixture.BeginStop(Duration::zero(), milliseconds(600));
    CHECK(fixture.SendAndWait(fixture.Request(path, "", "key", 300)).status == 200);
  }
}

// Guards against requests that wait for a slot, or come back from an upstream that failed, and are
// passed on too late.
TEST_CASE("A request that waits when a stop begins is refused at once") {
  RelayFixture fixture;
  fixture.Configure();
  std::vector<std::shared_ptr<CallerConnection>> kept;
  int requests = 0;
  fixture.AddUpstream("up-1", [&](const auto& caller, const CallerRequest&) {
    ++requests;
    kept.push_back(caller);
  });

  SECTION("in the queue for slots") {
    std::vector<CallerResponse> responses(60);
    std::vector<std::shared_ptr<UpstreamConnection>> callers;
    for (CallerResponse& response : responses) {
      callers.push_back(fixture.Send(fixture.Request("/read/x"), response));
    }
    fixture.RunFor(milliseconds(50), [] { return false; });
    const int passed_on = requests;
    fixture.relay.BeginStop(BootTimeNow(), BootTimeNow() + milliseconds(300), BootTimeNow());
    fixture.RunFor(milliseconds(50), [] { return false; });
    const auto refused = std::count_if(responses.begin(), responses.end(), SaysNotRun);
    CHECK(refused == 60 - passed_on);
    CHECK(requests == passed_on);
    for (const auto& caller : callers) {
      caller->Close();
    }
  }
  SECTION("for another attempt") {
    CallerResponse response;
    const auto caller = fixture.Send(fixture.Request("/read/x"), response);
    fixture.RunUntil([&] { return requests == 1; });
    fixture.relay.BeginStop(BootTimeNow(), BootTimeNow() + milliseconds(300), BootTimeNow());
    kept.front()->Abort();
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(response.status == 502);
    CHECK(requests == 1);
  }
}

// Guards against connections that end without an answer at the deadline of a stop.
TEST_CASE("What still runs at the deadline of a stop ends as well as the protocol allows") {
  RawFixture fixture([](RawServer& server, int) {
    server.Send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\nContent-Length: 500\r\n\r\n"
        "id: 1\ndata: a\n\n");
  });
  CallerResponse response;

  SECTION("with an answer that promises nothing if the upstream works on it") {
    const std::string path = GENERATE("/read/x", "/book/x");
    const auto caller = fixture.Send(fixture.Request(path), response);
    fixture.RunFor(milliseconds(50), [] { return false; });
    CHECK(fixture.relay.EndCalls() == 1);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK(response.complete);
    CHECK(response.status == 504);
  }
  SECTION("with the events that have come, in a response that does not look complete") {
    const auto caller = fixture.Send(fixture.Request("/chat/x"), response);
    CHECK(fixture.RunUntil([&] { return !response.body.empty(); }));
    CHECK(fixture.relay.EndCalls() == 1);
    CHECK(fixture.RunUntil([&] { return response.ended; }));
    CHECK_FALSE(response.complete);
    CHECK(response.status == 200);
    CHECK(response.body == "id: 1\ndata: a\n\n");
    CHECK(response.failure == "the upstream closed the connection");
  }
}

// Guards against answers that are lost because their connection closes (LOST).
TEST_CASE("A connection that closes delivers what was written") {
  asio::io_context io{1};
  asio::io_context caller_io;
  int requests = 0;
  const std::string body(1 << 20, 'x');
  HttpListener listener(io, "127.0.0.1:18491", [&](const auto& caller, const CallerRequest&) {
    ++requests;
    caller->Respond(200, {}, {}, body);
  });
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  tcp::socket socket(caller_io);
  socket.connect({asio::ip::make_address("127.0.0.1"), 18491});
  const auto run = [&] {
    io.restart();
    io.run_for(milliseconds(5));
  };
  // Reads slowly until the connection ends; returns the number of whole answers.
  const auto read_all = [&] {
    std::string received;
    socket.non_blocking(true);
    boost::system::error_code error = asio::error::would_block;
    std::array<char, 16 * 1024> buffer;
    for (int i = 0; i < 600 && error == asio::error::would_block; ++i) {
      run();
      const std::size_t count = socket.read_some(asio::buffer(buffer), error);
      received.append(buffer.data(), count);
      error = error ? error : boost::system::error_code(asio::error::would_block);
    }
    CHECK(error == asio::error::eof);
    return received.size() / body.size();
  };

  SECTION("while the caller sends more after the answer that says so") {
    listener.StartClosing();
    asio::write(socket, asio::buffer(request));
    run();
    asio::write(socket, asio::buffer(request + request));
    CHECK(read_all() == 1);
    CHECK(requests == 1);
  }
  SECTION("also the answers to requests that were pipelined before") {
    asio::write(socket, asio::buffer(request + request + request));
    listener.StartClosing();
    CHECK(read_all() == 3);
    CHECK(requests == 3);
  }
  SECTION("and a request that comes right after the answer before it") {
    asio::write(socket, asio::buffer(request));
    run();
    listener.StartClosing();
    listener.Close();
    asio::write(socket, asio::buffer(request));
    CHECK(read_all() == 2);
  }
}

}  // namespace chiverail
