// Load generator: sends chats and non-idempotent calls to a fleet at a fixed rate, checks every
// answer and prints a report.
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hash.h"
#include "json_fields.h"
#include "load_caller.h"
#include "manifest.h"

ABSL_FLAG(std::string,
          instances,
          "",
          "addresses of instances for locate requests, ip:port, comma-separated");
ABSL_FLAG(std::string, manifest, "", "manifest file with the workspaces, models and services");
ABSL_FLAG(double, rate, 50, "total requests per second");
ABSL_FLAG(double, seconds, 10, "duration in which requests are started, in seconds");
ABSL_FLAG(int, concurrency, 200, "maximum number of open requests; further requests are skipped");
ABSL_FLAG(int, chats, 200, "number of concurrent chats");
ABSL_FLAG(int, turns, 20, "turns of a chat before a new chat replaces it");
ABSL_FLAG(int, new_tokens, 200, "prompt tokens that each turn adds");
ABSL_FLAG(int, max_tokens, 40, "tokens per answer");
ABSL_FLAG(int, deadline_ms, 0, "deadline of each chat request in milliseconds; 0 means none");
ABSL_FLAG(double, call_share, 0.1, "share of non-idempotent calls among all requests");
ABSL_FLAG(double, repeat_share, 0.1, "share of answered calls that are submitted again");
ABSL_FLAG(int,
          answer_timeout_ms,
          60'000,
          "timeout for the first byte of an answer, in milliseconds");
ABSL_FLAG(double,
          drain_seconds,
          60,
          "timeout for open requests after the last request was started, in seconds");
ABSL_FLAG(double,
          settle_seconds,
          1,
          "delay before executions are read from the upstreams, in seconds");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices of chats and classes");
ABSL_FLAG(std::string, run, "", "prefix of request ids and keys; by default derived from the time");
ABSL_FLAG(std::string, json, "", "write the report to this file as JSON");

namespace chiverail {
namespace {

namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

constexpr double kReportShare = 0.15;
constexpr double kTaggingShare = 0.05;

// A chat that sends several turns.
struct ReturningChat {
  std::string id;
  std::string workspace;
  std::uint32_t turn = 0;
  std::uint32_t history_tokens = 0;
  bool busy = false;
};

// A non-idempotent operation of a service.
struct CallTarget {
  std::string service;
  std::string operation;
};

Manifest ReadManifest(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read the manifest file \"" + path + "\"");
  }
  return ParseManifest(ParseJsonText(
      std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>())));
}

std::string RunName() {
  const std::string name = absl::GetFlag(FLAGS_run);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return !name.empty() ? name : "load-" + std::to_string(now / std::chrono::milliseconds(1));
}

// The timeout for the first byte must cover the time a request may spend in the fleet's queues; a
// shorter one would count queued requests as cut.
HttpTimeouts TimeoutsFromFlags() {
  HttpTimeouts timeouts;
  timeouts.first_byte = milliseconds(absl::GetFlag(FLAGS_answer_timeout_ms));
  return timeouts;
}

// Starts requests at fixed times, whether or not earlier requests have completed.
class LoadRun {
 public:
  LoadRun(asio::io_context& io, Manifest manifest)
      : io_(io),
        manifest_(std::move(manifest)),
        http_(io, TimeoutsFromFlags()),
        locator_(http_, absl::StrSplit(absl::GetFlag(FLAGS_instances), ','), report_),
        caller_(io, http_, locator_, report_),
        random_(absl::GetFlag(FLAGS_seed)),
        run_(RunName()) {
    for (const Service& service : manifest_.services) {
      for (const Operation& operation : service.operations) {
        if (!operation.idempotent) {
          call_targets_.push_back({service.id, operation.name});
        }
      }
    }
    std::vector<double> shares;
    for (const Workspace& workspace : manifest_.workspaces) {
      shares.push_back(workspace.share);
    }
    workspace_choice_ = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    chats_.resize(static_cast<std::size_t>(std::max(1, absl::GetFlag(FLAGS_chats))));
  }

  void Run(asio::yield_context yield) {
    const auto start = SteadyClock::now();
    const double rate = absl::GetFlag(FLAGS_rate);
    const auto total = static_cast<std::uint64_t>(rate * absl::GetFlag(FLAGS_seconds));
    for (std::uint64_t i = 0; i < total; ++i) {
      const std::chrono::duration<double> due(static_cast<double>(i) / rate);
      WaitUntil(start + std::chrono::duration_cast<SteadyClock::duration>(due), yield);
      StartRequest();
    }
    WaitForOpenRequests(yield);
    report_.seconds = std::chrono::duration<double>(SteadyClock::now() - start).count();
    CompareExecutions(yield);
  }

  const LoadReport& report() const { return report_; }

 private:
  void WaitUntil(SteadyClock::time_point time, asio::yield_context yield) {
    asio::steady_timer timer(io_, time);
    timer.async_wait(yield);
  }

  void WaitForOpenRequests(asio::yield_context yield) {
    constexpr std::chrono::milliseconds kCheckPeriod{10};
    const std::chrono::duration<double> longest(absl::GetFlag(FLAGS_drain_seconds));
    const auto end = SteadyClock::now() + longest;
    while (open_ > 0 && SteadyClock::now() < end) {
      WaitUntil(SteadyClock::now() + kCheckPeriod, yield);
    }
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void StartRequest() {
    const bool is_call = !call_targets_.empty() && Uniform() < absl::GetFlag(FLAGS_call_share);
    ReturningChat* chat = is_call ? nullptr : PickChat();
    if (open_ >= absl::GetFlag(FLAGS_concurrency) || (!is_call && chat == nullptr)) {
      ++report_.unsent;
      return;
    }
    ++report_.sent;
    if (is_call) {
      Spawn(
          [this, call = NextCall()](asio::yield_context yield) { caller_.SendCall(call, yield); });
    } else {
      Spawn([this, chat, turn = NextTurn(*chat)](asio::yield_context yield) {
        if (caller_.Chat(turn, yield)) {
          chat->history_tokens = turn.prompt_tokens + turn.max_tokens;
        }
        chat->busy = false;
      });
    }
  }

  // Exceptions are caught here, because one that leaves a coroutine ends the event loop and the
  // run.
  void Spawn(std::function<void(asio::yield_context)> request) {
    ++open_;
    asio::spawn(
        io_,
        [this, request = std::move(request)](asio::yield_context yield) {
          try {
            request(yield);
          } catch (const std::exception& error) {
            ++report_.refused[std::string("tool/") + error.what()];
          }
          --open_;
        },
        asio::detached);
  }

  // Returns a chat without an open request, or null if none is found within kTries tries.
  ReturningChat* PickChat() {
    constexpr int kTries = 50;
    for (int i = 0; i < kTries; ++i) {
      ReturningChat& chat = chats_[random_() % chats_.size()];
      if (!chat.busy) {
        return &chat;
      }
    }
    return nullptr;
  }

  ChatTurn NextTurn(ReturningChat& chat) {
    const std::uint64_t number = ++number_;
    if (chat.id.empty() || chat.turn >= static_cast<std::uint32_t>(absl::GetFlag(FLAGS_turns))) {
      chat = {run_ + "-c" + std::to_string(number),
              manifest_.workspaces[workspace_choice_(random_)].id, 0, 0, false};
    }
    chat.busy = true;
    ++chat.turn;
    const Model& model = manifest_.models[HashText(chat.id) % manifest_.models.size()];
    ChatTurn turn;
    turn.request = run_ + "-r" + std::to_string(number);
    turn.workspace = chat.workspace;
    turn.model = model.id;
    turn.adapter =
        model.adapters.empty() ? "" : model.adapters[HashText(chat.id) / 7 % model.adapters.size()];
    turn.chat = chat.id;
    turn.turn = chat.turn;
    turn.prompt_tokens =
        chat.history_tokens + static_cast<std::uint32_t>(absl::GetFlag(FLAGS_new_tokens));
    turn.max_tokens = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_tokens));
    turn.deadline_ms = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_deadline_ms));
    const double choice = Uniform();
    turn.request_class = choice < kTaggingShare                  ? "tagging"
                         : choice < kTaggingShare + kReportShare ? "report"
                                                                 : "interactive";
    return turn;
  }

  LoadCall NextCall() {
    const CallTarget& target = call_targets_[random_() % call_targets_.size()];
    LoadCall call;
    call.workspace = manifest_.workspaces[workspace_choice_(random_)].id;
    call.service = target.service;
    call.operation = target.operation;
    call.model = manifest_.models.empty() ? "" : manifest_.models[0].id;
    call.key = run_ + "-k" + std::to_string(++number_);
    call.repeat = Uniform() < absl::GetFlag(FLAGS_repeat_share);
    return call;
  }

  // Adds up the executions of each key over all plain upstreams. Returns false if one of them
  // cannot be read.
  bool ReadExecutions(std::map<std::string, int>& counts, asio::yield_context yield) {
    try {
      for (const Upstream& upstream : manifest_.upstreams) {
        if (upstream.kind != UpstreamKind::kPlain) {
          continue;
        }
        const auto response = http_.Send(upstream.address, {"GET", "/executions", {}, ""}, yield);
        const auto executions = nlohmann::json::parse(response.body);
        for (const auto& [key, count] : executions.items()) {
          counts[key] += count.get<int>();
        }
      }
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }

  void CompareExecutions(asio::yield_context yield) {
    if (caller_.keys().empty()) {
      return;
    }
    const std::chrono::duration<double> settle(absl::GetFlag(FLAGS_settle_seconds));
    WaitUntil(SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(settle),
              yield);
    std::map<std::string, int> counts;
    report_.executions_read = ReadExecutions(counts, yield);
    if (!report_.executions_read) {
      return;
    }
    for (const auto& [key, record] : caller_.keys()) {
      const auto found = counts.find(key);
      const int count = found == counts.end() ? 0 : found->second;
      report_.doubled += count > 1 ? 1 : 0;
      report_.false_not_run += count > 0 && record.every_submission_not_run ? 1 : 0;
      report_.missing += count == 0 && record.answered ? 1 : 0;
    }
  }

  asio::io_context& io_;
  Manifest manifest_;
  LoadReport report_;
  HttpClient http_;
  Locator locator_;
  LoadCaller caller_;
  std::mt19937_64 random_;
  std::string run_;
  std::vector<CallTarget> call_targets_;
  std::discrete_distribution<std::size_t> workspace_choice_;
  std::vector<ReturningChat> chats_;
  std::uint64_t number_ = 0;
  int open_ = 0;
};

// Returns the exit code: 0 if all checks passed, 1 if not, 2 for wrong flags.
int RunLoad() {
  Manifest manifest = ReadManifest(absl::GetFlag(FLAGS_manifest));
  if (absl::GetFlag(FLAGS_instances).empty() || manifest.models.empty() ||
      manifest.workspaces.empty() || absl::GetFlag(FLAGS_rate) <= 0) {
    std::cerr << "--instances, a positive --rate, and a manifest with a model and a workspace are "
                 "required\n";
    return 2;
  }
  asio::io_context io(1);
  LoadRun run(io, std::move(manifest));
  asio::spawn(
      io,
      [&](asio::yield_context yield) {
        run.Run(yield);
        io.stop();  // aborts requests that are still open after the timeout
      },
      asio::detached);
  io.run();
  std::cout << run.report().ToText();
  if (const std::string path = absl::GetFlag(FLAGS_json); !path.empty()) {
    std::ofstream(path) << run.report().ToJson().dump(2) << "\n";
  }
  return run.report().Sound() ? 0 : 1;
}

}  // namespace
}  // namespace chiverail

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Sends chats and calls to a chiverail fleet at a fixed rate and checks every answer.\n"
      "Exit codes: 0 all checks passed, 1 a check failed or an error occurred, 2 wrong usage.\n"
      "Example: chiverail_load --manifest examples/emmental/manifest.json \\\n"
      "  --instances 127.0.0.1:21201,127.0.0.1:21202 --rate 100 --seconds 20");
  absl::FlagsUsageConfig usage;
  usage.contains_help_flags = [](absl::string_view file) {
    return absl::EndsWith(file, "load_main.cc");
  };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  try {
    return chiverail::RunLoad();
  } catch (const std::exception& error) {
    std::cerr << "chiverail_load: " << error.what() << "\n";
    return 1;
  }
}
