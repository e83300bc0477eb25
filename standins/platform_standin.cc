// Stand-in for the platform: table with compare-and-set, object store, delayed list of instances
// and upstreams, and rate-limited weight store, all in memory. Faults are injected with POST
// /fault.
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "http_server.h"

ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:0",
          "address to listen on, ip:port; port 0 selects a free port");
ABSL_FLAG(int,
          list_lag_ms,
          2000,
          "delay of changes to the list of instances and upstreams, in milliseconds");
ABSL_FLAG(int, weight_reads_per_second, 4, "maximum reads of weights per second");

namespace chiverail {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

// Faults that a test can inject.
struct Faults {
  bool table_down = false;
  bool objects_down = false;
  int slow_ms = 0;
  double lose_answer_share = 0;  // share of writes that take effect but whose connection is aborted
  int lose_next_answers = 0;     // number of next writes with the same fault
};

// Table of versioned rows. All versions come from one counter, so each write increases the version.
// After a restore the versions since the copy are given out again, in the next era.
class Table {
 public:
  std::uint64_t era() const { return era_; }

  void Save() {
    saved_rows_ = rows_;
    saved_version_ = last_version_;
  }

  void Restore() {
    ++era_;
    rows_ = saved_rows_;
    last_version_ = saved_version_;
  }

  json Read(const std::string& key) const {
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
      return {};
    }
    return {{"key", key},
            {"version", found->second.version},
            {"value", found->second.value},
            {"era", era_}};
  }

  json Scan(const std::string& prefix) const {
    json rows = json::array();
    for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) {
        break;
      }
      rows.push_back(Read(it->first));
    }
    return {{"rows", rows}, {"era", era_}};
  }

  // Applies all writes of the transaction, or none if a condition fails. Returns nullopt then.
  std::optional<json> Write(const json& transaction) {
    for (const json& condition : transaction.value("if", json::array())) {
      const bool other_era = condition.value("era", era_) != era_;
      if (other_era ||
          VersionOf(condition.at("key")) != condition.at("version").get<std::uint64_t>()) {
        return std::nullopt;
      }
    }
    json versions = json::object();
    for (const json& put : transaction.value("put", json::array())) {
      Row& row = rows_[put.at("key")];
      row = {++last_version_, put.at("value")};
      versions[put.at("key").get<std::string>()] = row.version;
    }
    for (const json& key : transaction.value("delete", json::array())) {
      rows_.erase(key.get<std::string>());
    }
    return json{{"versions", versions}, {"era", era_}};
  }

 private:
  struct Row {
    std::uint64_t version = 0;
    json value;
  };

  std::uint64_t VersionOf(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.version;
  }

  std::map<std::string, Row> rows_;
  std::uint64_t last_version_ = 0;
  std::map<std::string, Row> saved_rows_;
  std::uint64_t saved_version_ = 0;
  std::uint64_t era_ = 0;
};

// The list of instances and upstreams. Each change becomes visible to readers after the lag.
class LaggingList {
 public:
  explicit LaggingList(std::chrono::milliseconds lag) : lag_(lag) {}

  void Set(const std::string& kind, const std::string& id, json entry, SteadyTime now) {
    pending_.push_back({now + lag_, kind, id, std::move(entry)});
  }

  json Read(SteadyTime now) {
    while (!pending_.empty() && pending_.front().visible_at <= now) {
      Change& change = pending_.front();
      auto& entries = change.kind == "upstreams" ? upstreams_ : instances_;
      if (change.entry.is_null()) {
        entries.erase(change.id);
      } else {
        entries[change.id] = change.entry;
      }
      ++sequence_;
      pending_.pop_front();
    }
    return {{"sequence", sequence_},
            {"instances", Values(instances_)},
            {"upstreams", Values(upstreams_)}};
  }

 private:
  struct Change {
    SteadyTime visible_at;
    std::string kind;
    std::string id;
    json entry;  // null removes the entry
  };

  static json Values(const std::map<std::string, json>& entries) {
    json values = json::array();
    for (const auto& [id, entry] : entries) {
      values.push_back(entry);
    }
    return values;
  }

  std::chrono::milliseconds lag_;
  std::deque<Change> pending_;
  std::map<std::string, json> instances_;
  std::map<std::string, json> upstreams_;
  std::uint64_t sequence_ = 0;
};

// The HTTP interface of the stand-in.
class Platform {
 public:
  explicit Platform(asio::io_context& io)
      : io_(io), list_(std::chrono::milliseconds(absl::GetFlag(FLAGS_list_lag_ms))) {}

  void Handle(HttpServerExchange& exchange, asio::yield_context yield) {
    const HttpTarget target = ParseTarget(exchange.request().target);
    if (target.path == "/fault") {
      SetFaults(exchange);
    } else if (target.path == "/stats") {
      exchange.Respond(200, json{{"reads", reads_}, {"writes", writes_}}.dump());
    } else if (target.path == "/list") {
      ChangeList(exchange);
    } else {
      Serve(exchange, target, yield);
    }
  }

 private:
  void Serve(HttpServerExchange& exchange, const HttpTarget& target, asio::yield_context yield) {
    if (faults_.slow_ms > 0) {
      asio::steady_timer timer(io_, std::chrono::milliseconds(faults_.slow_ms));
      timer.async_wait(yield);
    }
    const std::string& path = target.path;
    if (path.rfind("/table", 0) == 0) {
      faults_.table_down ? Unavailable(exchange) : ServeTable(exchange, target);
    } else if (path.rfind("/objects/", 0) == 0) {
      faults_.objects_down ? Unavailable(exchange) : ServeObject(exchange, path.substr(9));
    } else if (path == "/instances") {
      ++reads_;
      exchange.Respond(200, list_.Read(std::chrono::steady_clock::now()).dump());
    } else if (path.rfind("/weights/", 0) == 0) {
      ServeWeights(exchange, path.substr(9));
    } else {
      exchange.Respond(404, R"({"message":"no such resource"})");
    }
  }

  void ServeTable(HttpServerExchange& exchange, const HttpTarget& target) {
    const HttpRequest& request = exchange.request();
    if (request.method == "POST") {
      WriteTable(exchange);
      return;
    }
    ++reads_;
    if (target.path == "/table") {
      exchange.Respond(200, table_.Scan(target.Parameter("prefix")).dump());
      return;
    }
    const json row = table_.Read(PercentDecode(target.path.substr(7)));
    exchange.Respond(row.empty() ? 404 : 200,
                     row.empty() ? json{{"era", table_.era()}}.dump() : row.dump());
  }

  void WriteTable(HttpServerExchange& exchange) {
    ++writes_;
    const json transaction = json::parse(exchange.request().body, nullptr, false);
    if (!transaction.is_object()) {
      exchange.Respond(400, R"({"message":"malformed transaction"})");
      return;
    }
    const auto result = table_.Write(transaction);
    if (!result) {
      exchange.Respond(409, R"({"message":"a condition does not hold"})");
    } else if (TakeLoseAnswerFault()) {
      exchange.Abort();
    } else {
      exchange.Respond(200, result->dump());
    }
  }

  // Returns whether the answer to this write is to be lost.
  bool TakeLoseAnswerFault() {
    if (faults_.lose_next_answers > 0) {
      --faults_.lose_next_answers;
      return true;
    }
    return std::uniform_real_distribution<double>(0, 1)(random_) < faults_.lose_answer_share;
  }

  void ServeObject(HttpServerExchange& exchange, const std::string& name) {
    if (exchange.request().method == "PUT") {
      ++writes_;
      objects_[name] = exchange.request().body;
      exchange.Respond(200, "{}");
      return;
    }
    ++reads_;
    const auto found = objects_.find(name);
    exchange.Respond(found == objects_.end() ? 404 : 200,
                     found == objects_.end() ? "{}" : found->second);
  }

  void ServeWeights(HttpServerExchange& exchange, const std::string& name) {
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!weight_reads_.empty() && now - weight_reads_.front() > std::chrono::seconds(1)) {
      weight_reads_.pop_front();
    }
    const bool over_limit = weight_reads_.size() >=
                            static_cast<std::size_t>(absl::GetFlag(FLAGS_weight_reads_per_second));
    if (!over_limit) {
      weight_reads_.push_back(now);
    }
    exchange.Respond(over_limit ? 429 : 200, json{{"name", name}}.dump());
  }

  void ChangeList(HttpServerExchange& exchange) {
    const json body = json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object() || !body.contains("kind") || !body.contains("id")) {
      exchange.Respond(400, R"({"message":"kind and id are required"})");
      return;
    }
    const bool removed = body.value("removed", false);
    json entry = body;
    entry.erase("kind");
    list_.Set(body.at("kind"), body.at("id"), removed ? json() : entry,
              std::chrono::steady_clock::now());
    exchange.Respond(200, "{}");
  }

  void SetFaults(HttpServerExchange& exchange) {
    const json body = json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object()) {
      exchange.Respond(400, R"({"message":"malformed fault"})");
      return;
    }
    faults_.table_down = body.value("table_down", faults_.table_down);
    faults_.objects_down = body.value("objects_down", faults_.objects_down);
    faults_.slow_ms = body.value("slow_ms", faults_.slow_ms);
    faults_.lose_answer_share = body.value("lose_answer_share", faults_.lose_answer_share);
    faults_.lose_next_answers = body.value("lose_next_answers", faults_.lose_next_answers);
    if (body.value("save_table", false)) {
      table_.Save();
    }
    if (body.value("restore_table", false)) {
      table_.Restore();
    }
    exchange.Respond(200, "{}");
  }

  static void Unavailable(HttpServerExchange& exchange) {
    exchange.Respond(503, R"({"message":"unavailable"})");
  }

  asio::io_context& io_;
  Table table_;
  LaggingList list_;
  Faults faults_;
  std::map<std::string, std::string> objects_;
  std::deque<SteadyTime> weight_reads_;
  std::mt19937_64 random_{1};
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace
}  // namespace chiverail

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Stand-in for the platform of chiverail; prints its listen address.");
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  chiverail::Platform platform(io);
  chiverail::HttpServerLimits limits;
  limits.max_body_bytes = 64u << 20;
  chiverail::HttpServer server(
      io, absl::GetFlag(FLAGS_listen), limits,
      [&platform](chiverail::HttpServerExchange& exchange, boost::asio::yield_context yield) {
        platform.Handle(exchange, yield);
      });
  std::cout << "listening on " << server.address() << std::endl;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}
