#include "load_caller.h"

#include <functional>

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "http_server.h"

using namespace chiverail;
using nlohmann::json;
using Verdict = StreamCheck::Verdict;

namespace {

// Runs a function as a coroutine on the event loop that also runs the servers.
void RunCoroutine(boost::asio::io_context& io,
                  const std::function<void(boost::asio::yield_context)>& body) {
  boost::asio::spawn(
      io,
      [&](boost::asio::yield_context yield) {
        body(yield);
        io.stop();
      },
      boost::asio::detached);
  io.run();
}

// Simulates an instance that aborts the first answer after two tokens and resumes it on request.
class CuttingInstance {
 public:
  explicit CuttingInstance(boost::asio::io_context& io)
      : server_(io, "127.0.0.1:0", {}, [this](HttpServerExchange& exchange, auto) {
          Handle(exchange);
        }) {}
  std::string address() const { return server_.address(); }

 private:
  void Handle(HttpServerExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.target.rfind("/v1/locate", 0) == 0) {
      exchange.Respond(200, json{{"addresses", {address()}}, {"ttl_ms", 1000}}.dump());
      return;
    }
    if (request.target.rfind("/v1/call", 0) == 0) {
      exchange.Respond(503, R"({"code":"store_unavailable","message":"","ran":"no"})");
      return;
    }
    const json body = json::parse(request.body);
    exchange.StartStream(200);
    exchange.WriteLine(
        json{{"start", {{"request", body["request"]}, {"attempt", 1}, {"resume_token", "token"}}}}
            .dump());
    if (!body.contains("resume")) {
      exchange.WriteLine(R"({"offset":0,"text":"t0 t1 "})");
      exchange.Abort();
      return;
    }
    exchange.WriteLine(json{{"offset", body["resume"]["offset"]}, {"text", "t2 "}}.dump());
    exchange.WriteLine(R"({"end":{"tokens":3}})");
    exchange.EndStream();
  }

  HttpServer server_;
};

}  // namespace

TEST_CASE("StreamCheck accepts only the complete answer of the request") {
  StreamCheck check("r1", 3);
  REQUIRE(check.OnLine(R"({"start":{"request":"r1","attempt":1,"resume_token":"x"}})") ==
          Verdict::kContinue);
  REQUIRE(check.OnLine(R"({"offset":0,"text":"t0 "})") == Verdict::kText);

  SECTION("accepts the whole text followed by the end line") {
    CHECK(check.OnLine(R"({"offset":3,"text":"t1 t2 "})") == Verdict::kText);
    CHECK(check.OnLine(R"({"end":{"tokens":3}})") == Verdict::kComplete);
  }
  SECTION("rejects an end line before the whole text") {
    CHECK(check.OnLine(R"({"end":{"tokens":3}})") == Verdict::kMismatch);
  }
  SECTION("rejects a gap, a duplicate or another text") {
    CHECK(check.OnLine(R"({"offset":6,"text":"t2 "})") == Verdict::kMismatch);
    CHECK(check.OnLine(R"({"offset":0,"text":"t0 "})") == Verdict::kMismatch);
    CHECK(check.OnLine(R"({"offset":3,"text":"u1 "})") == Verdict::kMismatch);
  }
  SECTION("rejects the id of another request after a resume") {
    CHECK(check.OnLine(R"({"start":{"request":"r2","attempt":1}})") == Verdict::kMismatch);
  }
}

TEST_CASE("The load generator resumes cut streams and counts outcomes") {
  boost::asio::io_context io(1);
  CuttingInstance instance(io);
  LoadReport report;
  HttpClient http(io, HttpTimeouts{});
  Locator locator(http, {instance.address()}, report);
  LoadCaller caller(io, http, locator, report);

  SECTION("a cut stream resumes at its offset and counts as one complete answer") {
    RunCoroutine(io, [&](boost::asio::yield_context yield) {
      CHECK(caller.Chat({"r1", "w", "m", "", "c", 1, 10, 3, "interactive", 0}, yield));
    });
    CHECK(report.whole == 1);
    CHECK(report.cut == 1);
    CHECK(report.resumed == 1);
    CHECK(report.Sound());
  }

  SECTION("a call whose submissions are all refused as not run is recorded as such") {
    RunCoroutine(io, [&](boost::asio::yield_context yield) {
      caller.SendCall({"w", "s", "book", "m", "k1", false}, yield);
    });
    CHECK(report.refused.at("store_unavailable/no") == 1);
    CHECK(caller.keys().at("k1").every_submission_not_run);
    CHECK(report.repeats == 4);
  }
}
