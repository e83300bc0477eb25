// What servers in trouble send: late copies of responses, bytes that are no response, without end.

#include <array>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "raw_fixture.h"
#include "store_client.h"

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against an answer that reaches another caller: an upstream sends a second copy of an
// answer, late, on a connection that is in use again.
TEST_CASE("A second copy of an answer never reaches another caller") {
  const auto check = [](RawFixture& fixture) {
    for (const std::string id : {"a", "b", "c"}) {
      const CallerResponse response = fixture.SendAndWait(Get(id));
      CHECK(response.status == 200);
      CHECK(response.body == "for " + id);
    }
  };
  static constexpr std::array<const char*, 8> kIds{"a", "b", "c", "d", "e", "f", "g", "h"};
  int served = 0;

  SECTION("in one read with the end of the first") {
    RawFixture fixture([&](RawServer& server, int) {
      const std::string id = kIds.at(served++);
      server.Send(Answer(id, "for " + id) + Answer(id, "for " + id));
    });
    check(fixture);
  }
  SECTION("between two requests") {
    RawFixture fixture([&](RawServer& server, int) {
      const std::string id = kIds.at(served++);
      server.Send(Answer(id, "for " + id));
    });
    CHECK(fixture.SendAndWait(Get("a")).body == "for a");
    fixture.server.Send(Answer("a", "for a"));
    fixture.RunFor(milliseconds(30), [] { return false; });
    CHECK(fixture.SendAndWait(Get("b")).body == "for b");
    // With the id of the request that comes next.
    fixture.server.Send(Answer("c", "forged"));
    fixture.RunFor(milliseconds(30), [] { return false; });
    CHECK(fixture.SendAndWait(Get("c")).body == "for c");
  }
  SECTION("in front of the answer to the next request") {
    RawFixture fixture([&](RawServer& server, int request) {
      const std::string id = kIds.at(served++);
      const std::string before = request > 1 ? kIds.at(served - 2) : id;
      server.Send((request > 1 ? Answer(before, "for " + before) : "") + Answer(id, "for " + id));
    });
    check(fixture);
  }
  SECTION("after an interim response") {
    RawFixture fixture([&](RawServer& server, int request) {
      const std::string id = kIds.at(served++);
      const std::string before = request > 1 ? kIds.at(served - 2) : id;
      server.Send("HTTP/1.1 103 Early Hints\r\n\r\n" +
                  (request > 1 ? Answer(before, "for " + before) : "") + Answer(id, "for " + id));
    });
    check(fixture);
  }
  SECTION("without an id") {
    RawFixture fixture([&](RawServer& server, int request) {
      const std::string id = kIds.at(served++);
      server.Send((request > 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno" : "") +
                  Answer(id, "for " + id));
    });
    for (const std::string id : {"a", "b"}) {
      const CallerResponse response = fixture.SendAndWait(Get(id));
      CHECK((response.status != 200 || response.body == "for " + id));
    }
  }
}

// Guards against memory that grows, and callers that wait, while an upstream sends bytes without
// end that are no answer.
TEST_CASE("Bytes without end that are no answer end the attempt") {
  constexpr std::size_t kMostSent = 16u << 20;
  std::string bytes;
  std::string path = "/chat/x";
  std::string start;
  const std::string stream_head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  SECTION("in a head") {
    bytes = std::string(4000, 'x');
  }
  SECTION("in the fields of a head") {
    start = "HTTP/1.1 200 OK\r\n";
    bytes = "X-Field: " + std::string(1000, 'x') + "\r\n";
  }
  SECTION("as interim responses") {
    bytes = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SECTION("in the size of a chunk") {
    start = stream_head;
    bytes = "000000000000000000000000000000000000000000000000000000000000000000";
  }
  SECTION("in the extension of a chunk") {
    start = stream_head + "5;";
    bytes = std::string(4000, 'x');
  }
  SECTION("in a stream, without an event") {
    start = stream_head;
    bytes = "fa0\r\n" + std::string(4000, 'x') + "\r\n";
  }
  SECTION("in a stream, as comments without a blank line") {
    start = stream_head;
    bytes = "4\r\n:ok\n\r\n";
  }
  RawFixture fixture([&](RawServer& server, int) {
    server.Send(start);
    server.SendForever(bytes);
  });
  CallerResponse response;
  const auto caller = fixture.Send(RelayFixture::Request(path), response);
  const TimePoint sent_at = BootTimeNow();
  fixture.RunUntil([&] { return response.ended; });
  // Not later than the route's time limit of 700 ms, and refused with a status that tells the
  // truth: the request may have run.
  CHECK(BootTimeNow() < sent_at + milliseconds(1000));
  CHECK((response.status == 502 || response.status == 504));
  CHECK(fixture.RunUntil([&] { return fixture.server.closed(); }));
  CHECK(fixture.server.sent() < kMostSent);
  caller->Close();
}

TEST_CASE("A body without end is passed on only as fast as its caller reads") {
  RawFixture fixture([&](RawServer& server, int) {
    server.Send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n\r\n");
    server.SendForever(std::string(16'000, 'x'));
  });
  CallerResponse response;
  const auto caller = fixture.Send(RelayFixture::Request("/book/x"), response);
  caller->PauseReading();
  fixture.RunFor(milliseconds(500), [] { return false; });
  const std::size_t sent = fixture.server.sent();
  CHECK(sent < 32u << 20);  // the buffers of the sockets
  fixture.RunFor(milliseconds(100), [] { return false; });
  CHECK(fixture.server.sent() == sent);
  // At the route's time limit the response ends, and does not look complete.
  fixture.RunFor(milliseconds(400), [] { return false; });
  caller->ResumeReading();
  fixture.RunUntil([&] { return response.ended; });
  CHECK_FALSE(response.complete);
  CHECK(fixture.server.closed());
  caller->Close();
}

// Guards against a process that acts on a time that has passed while it was paused: it finds the
// free slot and the overdue timer of a request at the same moment.
TEST_CASE("A paused process sends no request whose time is over") {
  RelayFixture fixture;
  fixture.Configure();
  std::vector<std::shared_ptr<CallerConnection>> held;
  std::vector<CallerRequest> requests;
  FakeUpstream& upstream =
      fixture.AddUpstream("engine-1", [&](const auto& caller, const CallerRequest& request) {
        held.push_back(caller);
        requests.push_back(request);
      });
  std::vector<CallerResponse> responses(16);
  std::vector<std::shared_ptr<UpstreamConnection>> callers;
  for (CallerResponse& response : responses) {
    callers.push_back(fixture.Send(RelayFixture::Request("/book/x"), response));
  }
  fixture.RunFor(milliseconds(20), [] { return false; });
  const std::size_t sent = upstream.requests().size();
  REQUIRE(sent < responses.size());  // the others wait for a slot
  timespec pause{0, 800'000'000};    // longer than the route's time limit
  nanosleep(&pause, nullptr);
  FakeUpstream::Succeed(held.at(0), requests.at(0));
  fixture.RunUntil([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const CallerResponse& response) { return response.ended; });
  });
  CHECK(upstream.requests().size() == sent);
  for (const auto& caller : callers) {
    caller->Close();
  }
}

// Guards against rows of one call that are taken for the response to another one: responses of the
// store carry nothing that identifies their call.
TEST_CASE("A second copy of a response of the store is not taken for the next one") {
  asio::io_context io{1};
  Metrics metrics;
  const auto rows = [](const std::string& key, int version) {
    const std::string body = R"({"rows":[{"key":")" + key + R"(","ver":)" +
                             std::to_string(version) + R"(,"value":"aGk="}],"ver":)" +
                             std::to_string(version) + R"(,"has_more":false})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  int served = 0;
  std::string last;
  RawServer server(io, kRawPort, [&](RawServer& raw, int request) {
    // From the second request of a connection on, a copy of the former response comes first.
    const std::string copy = request > 1 ? last : "";
    ++served;
    last = rows("row-" + std::to_string(served), served);
    raw.Send(copy + last);
  });
  StoreClient client(io, "127.0.0.1:" + std::to_string(kRawPort), metrics);
  for (int call = 1; call <= 3; ++call) {
    StoreResponse response;
    bool ended = false;
    client.Changes("servers", 0, {}, milliseconds(900), [&](StoreResponse received) {
      response = std::move(received);
      ended = true;
    });
    for (int i = 0; i < 200 && !ended; ++i) {
      io.restart();
      io.run_for(milliseconds(5));
    }
    REQUIRE(response.rows.size() == 1);
    CHECK(response.rows[0].key == "row-" + std::to_string(call));
    CHECK(response.version == static_cast<std::uint64_t>(call));
  }
}

// Guards against listings that never arrive (sweep of gge-chiverail-grown, 1,000 upstreams): on a
// link of 10 Mbit/s that 16 instances shared, none was complete within a second, and all began
// again.
TEST_CASE("A long response is received for as long as it makes progress") {
  asio::io_context io{1};
  Metrics metrics;
  asio::steady_timer timer(io);
  int pieces = 0;
  std::string piece;
  std::function<void(RawServer&)> send_piece = [&](RawServer& server) {
    server.Send(piece);
    ++pieces;
    timer.expires_after(milliseconds(200));
    timer.async_wait([&](const auto& cancelled) {
      if (!cancelled && pieces < 12) {
        send_piece(server);
      }
    });
  };
  RawServer server(io, kRawPort, [&](RawServer& raw, int) {
    raw.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(12 * piece.size()) +
             "\r\n\r\n");
    send_piece(raw);
  });
  StoreClient client(io, "127.0.0.1:" + std::to_string(kRawPort), metrics, StoreServer::kInstance);
  StoreResponse response;
  bool ended = false;
  const TimePoint started = BootTimeNow();
  const auto receive = [&] {
    client.Rows("servers", "", milliseconds(500), [&](StoreResponse received) {
      response = std::move(received);
      ended = true;
    });
    for (int i = 0; i < 1000 && !ended; ++i) {
      io.restart();
      io.run_for(milliseconds(5));
    }
  };
  SECTION("slowly") {
    piece = std::string(20'000, ' ');
    receive();
    // It is complete, though no document.
    CHECK(BootTimeNow() > started + milliseconds(2100));
    CHECK(pieces == 12);
  }
  SECTION("but not a few bytes at a time") {
    piece = "xx";
    receive();
    CHECK(response.status == StoreStatus::kUnknown);
    CHECK(BootTimeNow() < started + milliseconds(1600));
  }
  timer.cancel();
}

}  // namespace chiverail
