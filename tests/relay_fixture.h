#ifndef CHIVERAIL_TESTS_RELAY_FIXTURE_H_
#define CHIVERAIL_TESTS_RELAY_FIXTURE_H_

#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "relay.h"

namespace chiverail {

// What a caller has received.
struct CallerView {
  int status = 0;
  MessageHead head;
  std::string body;
  bool whole = false;
  bool ended = false;
  std::string failure;
};

// An upstream on loopback whose answers a test decides.
class FakeUpstream {
 public:
  using Handler = std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>;

  FakeUpstream(boost::asio::io_context& io, std::string id, int port, Handler handler)
      : id_(std::move(id)),
        address_("127.0.0.1:" + std::to_string(port)),
        listener_(io,
                  address_,
                  [this, handler = std::move(handler)](const auto& caller, CallerRequest request) {
                    requests_.push_back(request);
                    callers_.push_back(caller);
                    handler(caller, std::move(request));
                  }) {}

  UpstreamEntry Entry() const {
    UpstreamEntry entry;
    entry.id = id_;
    entry.service = "engines";
    entry.address = address_;
    entry.data_centre = "west";
    entry.slots = 8;
    return entry;
  }
  const std::vector<CallerRequest>& requests() const { return requests_; }

  // Fields that every answer of an upstream's own bears.
  static std::vector<HttpHeader> Own(const CallerRequest& request) {
    return {{"Request-Id", std::string(request.head.Field("Request-Id"))}, {"Answer-Seal", "seal"}};
  }

  // Answers with a success.
  static void Succeed(const std::shared_ptr<CallerConnection>& caller,
                      const CallerRequest& request) {
    caller->Respond(200, {}, Own(request), "result");
  }

 private:
  std::string id_;
  std::string address_;
  std::vector<CallerRequest> requests_;
  HttpListener listener_;
  std::vector<std::shared_ptr<CallerConnection>> callers_;  // kept open, so that it looks busy
};

// A relay with one route of each kind, on loopback.
class RelayFixture {
 public:
  static constexpr int kPort = 18431;  // the relay's; upstreams take the ports after it

  RelayFixture()
      : log_file_(std::tmpfile()),
        log_(io, "front-1", fileno(log_file_), {}),
        relay(io, "front-1", "west", Names(), Limits(), log_, metrics),
        front_(io,
               "127.0.0.1:" + std::to_string(kPort),
               [this](const auto& caller, CallerRequest request) {
                 relay.Handle(caller, std::move(request));
               }) {}

  ~RelayFixture() { std::fclose(log_file_); }
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  // Lines of the decision log about one kind of decision.
  std::vector<nlohmann::json> Lines(const std::string& event) {
    log_.Flush();
    std::rewind(log_file_);
    std::vector<nlohmann::json> lines;
    std::string text;
    for (int c = std::fgetc(log_file_); c != EOF; c = std::fgetc(log_file_)) {
      if (c != '\n') {
        text.push_back(static_cast<char>(c));
        continue;
      }
      nlohmann::json line = nlohmann::json::parse(std::exchange(text, {}));
      if (line["event"] == event) {
        lines.push_back(std::move(line));
      }
    }
    return lines;
  }

  static HeaderNames Names() {
    HeaderNames names;
    names.reserved = {"System-Only"};
    return names;
  }
  static RelayLimits Limits() {
    RelayLimits limits;
    limits.key_age = seconds(5);
    limits.retry_slack = 100;
    return limits;
  }

  // Puts the test's configuration in force.
  void Configure() {
    RoutingConfig config;
    config.version = 3;
    config.keys_required = true;
    config.workspace_of_key["key"] = "gusseisen";
    config.services.push_back({"engines", 0, seconds(1), 0, false, false});
    config.routes = {MakeRoute("/read/", WorkKind::kIdempotent, 2),
                     MakeRoute("/book/", WorkKind::kAtMostOnce, 1),
                     MakeRoute("/chat/", WorkKind::kStream, 2)};
    config.routes.back().resumable = true;
    relay.Apply(std::move(config));
    relay.OnConfigConfirmed(BootTimeNow());
  }

  FakeUpstream& AddUpstream(const std::string& id, FakeUpstream::Handler handler) {
    const int port = kPort + 1 + static_cast<int>(upstreams_.size());
    upstreams_.push_back(std::make_unique<FakeUpstream>(io, id, port, std::move(handler)));
    relay.upstreams().Apply(upstreams_.back()->Entry(), BootTimeNow());
    return *upstreams_.back();
  }

  // A request as a caller writes it.
  static std::string Request(const std::string& path,
                             const std::string& extra = "",
                             const std::string& key = "key",
                             int deadline_ms = 2000) {
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n" +
           "Workspace-Key: " + key + "\r\nRequest-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\n" + extra + "Content-Length: 4\r\n\r\nbody";
  }

  // Sends a request and runs until its answer has ended.
  CallerView Ask(const std::string& request) {
    CallerView view;
    const auto caller = Send(request, view);
    RunUntil([&] { return view.ended; });
    caller->Close();
    return view;
  }

  // Sends a request; `view` fills while the test runs.
  std::shared_ptr<UpstreamConnection> Send(const std::string& request, CallerView& view) {
    const auto caller =
        std::make_shared<UpstreamConnection>(io, "127.0.0.1:" + std::to_string(kPort));
    caller->Start(
        request, false, [](const MessageHead&) { return true; },
        [&view](AnswerEvent event) {
          if (auto* head = std::get_if<AnswerHead>(&event)) {
            view.status = head->head.status;
            view.head = head->head;
          } else if (auto* body = std::get_if<AnswerBody>(&event)) {
            view.body += body->bytes;
          } else if (auto* broken = std::get_if<AnswerBroken>(&event)) {
            view.ended = true;
            view.failure = broken->reason;
          } else {
            view.ended = true;
            view.whole = true;
          }
        });
    return caller;
  }

  // Runs the relay until `done` holds or three seconds have passed.
  template <typename Done>
  bool RunUntil(Done done) {
    return RunFor(seconds(3), done);
  }

  // Runs the relay until `done` holds or the time has passed.
  template <typename Done>
  bool RunFor(Duration time, Done done) {
    constexpr Duration kStep = milliseconds(5);
    for (Duration passed{}; passed < time && !done(); passed += kStep) {
      io.restart();
      io.run_for(kStep);
    }
    return done();
  }

  boost::asio::io_context io{1};
  Metrics metrics;

 private:
  static Route MakeRoute(const std::string& prefix, WorkKind kind, int attempts) {
    Route route;
    route.name = prefix;
    route.host = "desk.example";
    route.prefix = prefix;
    route.kind = kind;
    route.attempts = attempts;
    route.timeout = milliseconds(700);
    route.objective = milliseconds(200);
    route.targets = {{"engines", 1}};
    return route;
  }

  std::FILE* log_file_;
  DecisionLog log_;

 public:
  Relay relay;

 private:
  HttpListener front_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_RELAY_FIXTURE_H_
