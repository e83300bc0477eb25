// Requests with a prompt part that ends each upstream which begins to answer them.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "relay_fixture.h"

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

}  // namespace chiverail
