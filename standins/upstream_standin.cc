// Stand-in for an upstream: a model engine that streams tokens, or a plain service with
// non-idempotent calls.
#include <iostream>
#include <map>
#include <set>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "engine.h"
#include "http_server.h"

ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:0",
          "address to listen on, ip:port; port 0 selects a free port");
ABSL_FLAG(std::string, kind, "engine", "kind of the upstream: engine or plain");
ABSL_FLAG(std::string, id, "upstream", "name of the upstream");
ABSL_FLAG(int, token_gap_ms, 5, "time between tokens, in milliseconds");
ABSL_FLAG(int,
          prefill_ms_per_1000,
          100,
          "prefill time per 1,000 uncached prompt tokens, in milliseconds");
ABSL_FLAG(int, service_ms, 5, "duration of a call to the plain service, in milliseconds");
ABSL_FLAG(bool, cold, false, "start as a cold engine");
ABSL_FLAG(bool, checks_fence, true, "reject orders with an outdated fencing number");

namespace chiverail {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

// Faults that a test can inject.
struct Faults {
  int silent_after = -1;  // tokens (engine) or requests (plain) after which nothing more is sent
  int cut_after = -1;     // tokens after which the connection is aborted, once
  bool crossed = false;   // the next answer has the id of another request
  int late_ms = 0;        // delay before the first byte
};

EngineParameters ParametersFromFlags() {
  EngineParameters parameters;
  parameters.token_gap = std::chrono::milliseconds(absl::GetFlag(FLAGS_token_gap_ms));
  parameters.prefill_per_1000_tokens =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_prefill_ms_per_1000));
  return parameters;
}

// Text of the token at an offset. Deterministic, so that callers can check it.
std::string TokenText(std::uint32_t offset) {
  return "t" + std::to_string(offset) + " ";
}

// The HTTP interface of the stand-in.
class Upstream {
 public:
  explicit Upstream(asio::io_context& io)
      : io_(io),
        engine_(ParametersFromFlags(),
                absl::GetFlag(FLAGS_id) + "-" +
                    std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()),
                absl::GetFlag(FLAGS_cold)) {}

  void Handle(HttpServerExchange& exchange, asio::yield_context yield) {
    const HttpTarget target = ParseTarget(exchange.request().target);
    if (target.path == "/fault") {
      SetFaults(exchange);
    } else if (target.path == "/stats") {
      exchange.Respond(200, json{{"peak", engine_.peak()},
                                 {"running", engine_.running()},
                                 {"starts", starts_},
                                 {"orders", orders_}}
                                .dump());
    } else if (absl::GetFlag(FLAGS_kind) == "plain") {
      ServePlain(exchange, target, yield);
    } else {
      ServeEngine(exchange, target, yield);
    }
  }

 private:
  void ServeEngine(HttpServerExchange& exchange,
                   const HttpTarget& target,
                   asio::yield_context yield) {
    const std::string& method = exchange.request().method;
    const bool resumes = target.path.rfind("/generate/", 0) == 0;
    if (target.path == "/generate" && method == "POST") {
      Generate(exchange, yield);
    } else if (resumes && method == "GET") {
      Resume(exchange, target, yield);
    } else if (resumes && method == "DELETE") {
      Cancel(exchange, target);
    } else if (target.path == "/load") {
      json report = json::parse(engine_.LoadReport(std::chrono::steady_clock::now()));
      report.update({{"model", model_}, {"version", version_}, {"adapters", adapters_}});
      exchange.Respond(200, report.dump());
    } else if (target.path == "/cache_events") {
      const std::string after = target.Parameter("after");
      exchange.Respond(200, engine_.CacheEvents(after.empty() ? 0 : std::stoull(after),
                                                std::chrono::steady_clock::now()));
    } else if (target.path == "/orders" && method == "POST") {
      HandleOrder(exchange);
    } else {
      exchange.Respond(404, R"({"message":"no such resource"})");
    }
  }

  void Generate(HttpServerExchange& exchange, asio::yield_context yield) {
    const json body = json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object()) {
      exchange.Respond(400, R"({"message":"malformed request"})");
      return;
    }
    Wait(std::chrono::milliseconds(faults_.late_ms), yield);
    ++starts_;
    const GenerationKey key{body.value("request", ""), body.value("attempt", 1u)};
    const ChatTurn turn{body.value("chat", ""), body.value("turn", 1u),
                        body.value("prompt_tokens", 0u)};
    const bool exists = engine_.Find(key) != nullptr;
    engine_.Start(key, turn, body.value("max_tokens", 16u), std::chrono::steady_clock::now());
    if (!exists) {
      asio::spawn(
          io_, [this, key](asio::yield_context background) { RunToEnd(key, background); },
          asio::detached);
    }
    StreamTokens(exchange, key, 0, yield);
  }

  // Ends the generation after its last token, whether or not a caller reads the stream.
  void RunToEnd(const GenerationKey& key, asio::yield_context yield) {
    constexpr std::chrono::milliseconds kCancelCheck{20};
    while (true) {
      Generation* generation = engine_.Find(key);
      if (generation == nullptr) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      const auto end = engine_.TokenTime(*generation, generation->tokens);
      if (generation->cancelled || now >= end) {
        engine_.Finish(*generation, now);
        return;
      }
      Wait(std::min<std::chrono::steady_clock::duration>(kCancelCheck, end - now), yield);
    }
  }

  static GenerationKey KeyOf(const HttpTarget& target) {
    const std::string attempt = target.Parameter("attempt");
    return {PercentDecode(target.path.substr(10)), attempt.empty() ? 1 : std::stoul(attempt)};
  }

  void Resume(HttpServerExchange& exchange, const HttpTarget& target, asio::yield_context yield) {
    const GenerationKey key = KeyOf(target);
    const std::string offset = target.Parameter("offset");
    if (engine_.Find(key) == nullptr) {
      exchange.Respond(404, R"({"message":"no such generation"})");
      return;
    }
    StreamTokens(exchange, key, offset.empty() ? 0 : std::stoul(offset), yield);
  }

  // Streams the text, starting at a byte offset.
  void StreamTokens(HttpServerExchange& exchange,
                    const GenerationKey& key,
                    std::size_t offset,
                    asio::yield_context yield) {
    const Generation generation = *engine_.Find(key);
    exchange.StartStream(200);
    const std::string request_id = faults_.crossed ? "crossed-" + key.first : key.first;
    faults_.crossed = false;
    exchange.WriteLine(json{{"request", request_id}, {"attempt", key.second}}.dump());
    std::string text;
    std::uint32_t token = 0;
    while (token < generation.tokens) {
      WaitUntil(engine_.TokenTime(generation, token), yield);
      const Generation* current = engine_.Find(key);
      if (current == nullptr || current->cancelled) {
        exchange.Abort();
        return;
      }
      const std::uint32_t available =
          engine_.Available(generation, std::chrono::steady_clock::now());
      for (; token < available; ++token) {
        text += TokenText(token);
      }
      if (!SendFrom(exchange, text, offset, token, yield)) {
        return;
      }
    }
    exchange.WriteLine(json{{"end",
                             {{"tokens", generation.tokens},
                              {"length", text.size()},
                              {"cached_tokens", generation.cached_tokens}}}}
                           .dump());
    exchange.EndStream();
  }

  // Sends the text after `offset` as one line. Returns false if a fault has ended the stream.
  bool SendFrom(HttpServerExchange& exchange,
                const std::string& text,
                std::size_t& offset,
                std::uint32_t tokens,
                asio::yield_context yield) {
    if (text.size() > offset) {
      exchange.WriteLine(json{{"offset", offset}, {"text", text.substr(offset)}}.dump());
      offset = text.size();
    }
    if (faults_.silent_after >= 0 && tokens >= static_cast<std::uint32_t>(faults_.silent_after)) {
      constexpr std::chrono::seconds kSilence{60};
      Wait(kSilence, yield);
      exchange.Abort();
      return false;
    }
    if (faults_.cut_after >= 0 && tokens >= static_cast<std::uint32_t>(faults_.cut_after)) {
      faults_.cut_after = -1;
      exchange.Abort();
      return false;
    }
    return true;
  }

  void Cancel(HttpServerExchange& exchange, const HttpTarget& target) {
    if (Generation* generation = engine_.Find(KeyOf(target))) {
      generation->cancelled = true;
    }
    exchange.Respond(200, "{}");
  }

  void HandleOrder(HttpServerExchange& exchange) {
    const json body = json::parse(exchange.request().body, nullptr, false);
    const std::uint64_t fence = body.is_object() ? body.value("fence", std::uint64_t{0}) : 0;
    if (absl::GetFlag(FLAGS_checks_fence) && fence < highest_fence_) {
      exchange.Respond(409, json{{"fence", highest_fence_}}.dump());
      return;
    }
    highest_fence_ = std::max(highest_fence_, fence);
    ++orders_;
    Apply(body.value("kind", ""), body.value("target", ""));
    exchange.Respond(200, "{}");
  }

  void Apply(const std::string& kind, const std::string& target) {
    if (kind == "load_model") {
      model_ = target;
    } else if (kind == "load_version") {
      version_ = target;
    } else if (kind == "load_adapter") {
      adapters_.insert(target);
    }
  }

  void ServePlain(HttpServerExchange& exchange,
                  const HttpTarget& target,
                  asio::yield_context yield) {
    if (target.path == "/executions") {
      exchange.Respond(200, json(executions_).dump());
      return;
    }
    const HttpRequest& request = exchange.request();
    const std::vector<HttpHeader> echoed = {{"X-Request", request.Header("X-Request")},
                                            {"X-Attempt", request.Header("X-Attempt")}};
    ++starts_;
    const std::string key = request.Header("Idempotency-Key");
    if (request.method != "GET" && !key.empty()) {
      ++executions_[key];
    }
    Wait(std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms) + faults_.late_ms), yield);
    if (faults_.silent_after >= 0 && starts_ > faults_.silent_after) {
      constexpr std::chrono::seconds kSilence{60};
      Wait(kSilence, yield);
      exchange.Abort();
      return;
    }
    const json answer = {{"operation", target.path.substr(1)}, {"number", starts_}, {"key", key}};
    exchange.Respond(200, answer.dump(), echoed);
  }

  void SetFaults(HttpServerExchange& exchange) {
    const json body = json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object()) {
      exchange.Respond(400, R"({"message":"malformed fault"})");
      return;
    }
    faults_.silent_after = body.value("silent_after", faults_.silent_after);
    faults_.cut_after = body.value("cut_after", faults_.cut_after);
    faults_.crossed = body.value("crossed", faults_.crossed);
    faults_.late_ms = body.value("late_ms", faults_.late_ms);
    if (body.contains("cold")) {
      engine_.SetCold(body["cold"].get<bool>());
    }
    exchange.Respond(200, "{}");
  }

  void Wait(std::chrono::steady_clock::duration time, asio::yield_context yield) {
    if (time.count() > 0) {
      asio::steady_timer timer(io_, time);
      timer.async_wait(yield);
    }
  }

  void WaitUntil(SteadyTime time, asio::yield_context yield) {
    Wait(time - std::chrono::steady_clock::now(), yield);
  }

  asio::io_context& io_;
  Engine engine_;
  Faults faults_;
  std::map<std::string, int> executions_;  // number of executions by idempotency key
  std::string model_ = "none";
  std::string version_;
  std::set<std::string> adapters_;
  std::uint64_t highest_fence_ = 0;
  int orders_ = 0;
  int starts_ = 0;
};

}  // namespace
}  // namespace chiverail

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-in for an upstream of chiverail; prints its listen address.");
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  chiverail::Upstream upstream(io);
  chiverail::HttpServer server(
      io, absl::GetFlag(FLAGS_listen), {},
      [&upstream](chiverail::HttpServerExchange& exchange, boost::asio::yield_context yield) {
        upstream.Handle(exchange, yield);
      });
  std::cout << "listening on " << server.address() << std::endl;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}
