// Requests with a prompt part that ends each upstream which begins to answer them.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "raw_fixture.h"

namespace chiverail {
namespace {

// An upstream that ends when it gets a request with the deadly part. All its connections are reset
// and nothing listens at its address any more.
class MortalUpstream {
 public:
  MortalUpstream(boost::asio::io_context& io, std::string id, int port)
      : io_(io), id_(std::move(id)), address_("127.0.0.1:" + std::to_string(port)) {
    listener_ = std::make_unique<HttpListener>(
        io, address_, [this](const auto& caller, const CallerRequest& request) {
          ++requests_;
          callers_.push_back(caller);
          if (request.head.Field("Prompt-Parts").find("deadly") == std::string_view::npos) {
            FakeUpstream::Succeed(caller, request);
          } else {
            boost::asio::post(io_, [this] { End(); });
          }
        });
  }

  UpstreamEntry Entry() const { return EntryOf(id_, address_); }

  bool ended() const { return listener_ == nullptr; }
  int requests() const { return requests_; }

 private:
  void End() {
    for (const auto& caller : std::exchange(callers_, {})) {
      caller->Abort();
    }
    listener_.reset();
  }

  boost::asio::io_context& io_;
  std::string id_;
  std::string address_;
  std::unique_ptr<HttpListener> listener_;
  std::vector<std::shared_ptr<CallerConnection>> callers_;
  int requests_ = 0;
};

struct MortalFixture : RelayFixture {
  static constexpr int kUpstreams = 10;

  MortalFixture() {
    Configure();
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams.push_back(
          std::make_unique<MortalUpstream>(io, "up-" + std::to_string(i), kPort + 40 + i));
      relay.upstreams().Apply(upstreams.back()->Entry(), BootTimeNow());
    }
  }

  int Ended() const {
    return static_cast<int>(std::count_if(upstreams.begin(), upstreams.end(),
                                          [](const auto& upstream) { return upstream->ended(); }));
  }

  int Requests() const {
    int requests = 0;
    for (const auto& upstream : upstreams) {
      requests += upstream->requests();
    }
    return requests;
  }

  CallerResponse Ask(const std::string& path, const std::string& parts) {
    return SendAndWait(Request(path, "Prompt-Parts: " + parts + "\r\n"));
  }

  // Lets time pass as the gateway does.
  void Wait(Duration time) {
    for (const TimePoint end = BootTimeNow() + time; BootTimeNow() < end;) {
      relay.Expire(BootTimeNow());
      RunFor(milliseconds(50), [] { return false; });
    }
  }

  std::vector<std::unique_ptr<MortalUpstream>> upstreams;
};

}  // namespace

// Guards against requests of one kind that end one upstream after the other (BUDGET on
// cdsaa-rail): no more than three may be sent after the fifth end.
TEST_CASE("A prompt part under which upstreams end is kept from the others") {
  MortalFixture fixture;
  const std::string path = GENERATE("/book/x", "/chat/x");
  for (int i = 0; i < 4; ++i) {
    fixture.Ask(path, "shared,deadly,own-" + std::to_string(i));
    CHECK(fixture.Ask(path, "shared,sound,own").status == 200);
    fixture.Wait(milliseconds(100));
  }
  const int ended = fixture.Ended();
  CHECK(ended <= 5);
  fixture.Wait(milliseconds(1300));

  SECTION("while requests that share its other parts are answered") {
    for (int i = 0; i < 6; ++i) {
      const int requests = fixture.Requests();
      const CallerResponse refused = fixture.Ask(path, "shared,deadly,own-" + std::to_string(i));
      CHECK(refused.status == 503);
      CHECK_FALSE(refused.head.Field("Retry-After").empty());
      CHECK(fixture.Requests() == requests);
      CHECK(fixture.Ask(path, "shared,sound,own").status == 200);
    }
  }
  SECTION("whatever else their prompts hold") {
    CHECK(fixture.Ask(path, "deadly,other,own").status == 503);
    CHECK(fixture.Ask(path, "other,new,deadly,own").status == 503);
  }
  CHECK(fixture.Ended() == ended);
}

// Guards against a deadly part that is taken for sound because the upstream had written its first
// event, or an answer that looks complete, before it ended.
TEST_CASE("A prompt part under which upstreams end after the first event is kept from the others") {
  RelayFixture fixture;
  fixture.Configure();
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n";
  const std::string answer =
      GENERATE_COPY(head + "\r\nid: 1\ndata: a\n\n",
                    head + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
                    head + "Content-Length: 400\r\n\r\nid: 1\ndata: a\n\nid: 2\nda");

  constexpr int kUpstreams = 8;
  std::vector<std::unique_ptr<RawServer>> upstreams(kUpstreams);
  int ended = 0;
  for (int i = 0; i < kUpstreams; ++i) {
    const int port = RelayFixture::kPort + 40 + i;
    upstreams[i] = std::make_unique<RawServer>(fixture.io, port, [&, i](RawServer& server, int) {
      server.SendAndClose(answer);
      boost::asio::post(fixture.io, [&, i] { upstreams[i].reset(); });
      ++ended;
    });
    fixture.relay.upstreams().Apply(
        EntryOf("up-" + std::to_string(i), "127.0.0.1:" + std::to_string(port)), BootTimeNow());
  }
  const auto ask = [&](int number) {
    const CallerResponse response = fixture.SendAndWait(RelayFixture::Request(
        "/chat/x", "Prompt-Parts: deadly,own-" + std::to_string(number) + "\r\n"));
    for (int step = 0; step < 8; ++step) {
      fixture.relay.Expire(BootTimeNow());
      fixture.RunFor(milliseconds(50), [] { return false; });
    }
    return response.status;
  };
  for (int i = 0; i < 5; ++i) {
    ask(i);
  }
  ask(5);
  ask(6);
  const int before = ended;
  CHECK(before <= 6);
  CHECK(ask(7) == 503);
  CHECK(ended == before);
}

// Guards against sound parts that no longer count as sound: an answer without a length ends with
// its connection also if the upstream goes on.
TEST_CASE("A short answer that ends with its connection shows its prompt to be sound") {
  RawFixture fixture([](RawServer& server, int) {
    server.SendAndClose(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: seal\r\n\r\ndata: a\n\n");
  });
  const std::vector<SegmentHash> segments{SegmentHashOf("sound", "engines")};
  CHECK(fixture.relay.quarantine().IsNew(segments));
  CHECK(fixture.SendAndWait(RelayFixture::Request("/chat/x", "Prompt-Parts: sound,own\r\n"))
            .complete);
  CHECK(fixture.RunUntil([&] { return !fixture.relay.quarantine().IsNew(segments); }));
}

}  // namespace chiverail
