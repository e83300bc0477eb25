#include "ctl_command.h"

#include <algorithm>
#include <exception>
#include <fstream>
#include <iterator>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ctl_calls.h"
#include "ctl_data_centre.h"
#include "ctl_manifest.h"
#include "ctl_settings.h"
#include "ctl_status.h"
#include "ctl_trace.h"
#include "manifest.h"

namespace chiverail {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

// Short, because operators prefer an error to waiting for a platform that does not respond.
constexpr Duration kFirstByteTimeout = seconds(3);

const std::vector<CtlCommand>& Commands() {
  static const std::vector<CtlCommand> commands = {
      {{"manifest", "check"},
       "FILE",
       "check a manifest file and list all errors",
       1,
       CheckManifest},
      {{"manifest", "diff"},
       "FILE",
       "compare a manifest file with the manifest in force",
       1,
       DiffManifest},
      {{"manifest", "apply"},
       "FILE",
       "put a manifest file in force as a new revision",
       1,
       ApplyManifest},
      {{"manifest", "history"}, "", "list all revisions, newest first", 0, ShowHistory},
      {{"manifest", "rollforward"},
       "N",
       "apply the manifest of an earlier revision as a new revision",
       1,
       RollForward},
      {{"datacentre", "out"},
       "NAME",
       "take a data centre out of service: it gets no new work",
       1,
       TakeDataCentreOut},
      {{"datacentre", "back"}, "NAME", "return a data centre to service", 1, BringDataCentreBack},
      {{"status"},
       "",
       "list instances, their leases and the revision each has in force",
       0,
       ShowStatus},
      {{"upstreams"},
       "",
       "list upstreams with owner, load, limit and cold start",
       0,
       ShowUpstreams},
      {{"calls"}, "", "list non-idempotent calls whose outcome is in doubt", 0, ShowCalls},
      {{"calls", "settle"},
       "WORKSPACE/KEY",
       "settle a call in doubt with the outcome given by --as",
       1,
       SettleCall},
      {{"audit"}, "", "list accepted changes, oldest first", 0, ShowAudit},
      {{"settings", "check"}, "FILE", "check a settings file of chiveraild", 1, CheckSettings},
      {{"trace"},
       "REQUEST FILE[,FILE...]",
       "print the lines of the gateway's decision logs that explain a request",
       2,
       TraceRequest},
      {{"settings", "table"}, "", "print the table of settings as Markdown", 0, PrintSettingsTable},
  };
  return commands;
}

constexpr char kHelpTail[] = R"(
Flags:
  --platform IP:PORT       the platform's table and object store
  --instance IP:PORT       query this instance only (status, upstreams)
  --json                   print one JSON document instead of text
  --author NAME            author of the change, or whose changes to list (audit)
  --expect-revision N      exit 4 if the target of the change was changed after revision N
  --wait                   return when the revision is in force at every live instance
  --wait-timeout-ms N      with --wait, exit 7 after this time (default 7000)
  --force                  take out a data centre that is unknown or the last one in service
  --since N                list changes from revision N on (audit)
  --as ran|not-run         outcome of the call to settle
  --answer FILE            with --as ran, the answer returned to repeats of the call

Exit codes:
  0 done                   4 conflict: another change was accepted first
  1 failed                 5 the store is unavailable; nothing was changed
  2 wrong usage            6 the outcome of the change is unknown
  3 invalid document       7 changed, but not in force everywhere before the timeout

Examples:
  chiverailctl manifest check examples/emmental/manifest.json
  chiverailctl manifest apply m.json --platform 10.0.0.5:7000 --author pipeline --wait
  chiverailctl datacentre out burgdorf --platform 10.0.0.5:7000 --wait
  chiverailctl manifest rollforward 41 --platform 10.0.0.5:7000 --expect-revision 42
  chiverailctl calls settle savings-bank/order-817 --as not-run --platform 10.0.0.5:7000
  chiverailctl audit --since 40 --json --platform 10.0.0.5:7000
)";

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

bool StartsWith(const std::vector<std::string>& arguments, const std::vector<std::string>& words) {
  return arguments.size() >= words.size() &&
         std::equal(words.begin(), words.end(), arguments.begin());
}

// Finds the command with the longest matching words, so that "calls settle" is not parsed as
// "calls".
const CtlCommand& FindCommand(const std::vector<std::string>& arguments) {
  const CtlCommand* best = nullptr;
  for (const CtlCommand& command : Commands()) {
    if (StartsWith(arguments, command.words) &&
        (best == nullptr || command.words.size() > best->words.size())) {
      best = &command;
    }
  }
  if (best == nullptr) {
    throw CtlError(ExitCode::kUsage,
                   "no such command: " + Join(arguments) + "; run chiverailctl help for the list");
  }
  if (arguments.size() != best->words.size() + best->argument_count) {
    throw CtlError(ExitCode::kUsage, "usage: chiverailctl " + Join(best->words) +
                                         (best->parameters.empty() ? "" : " ") + best->parameters);
  }
  return *best;
}

// Runs a command as a coroutine until it ends. An exception must not leave the coroutine through
// the event loop, so it is caught there and rethrown here.
void RunInCoroutine(const CtlOptions& options,
                    const CtlCommand& command,
                    const std::vector<std::string>& arguments,
                    std::ostream& out) {
  asio::io_context io(1);
  HttpTimeouts timeouts;
  timeouts.first_byte = kFirstByteTimeout;
  HttpClient http(io, timeouts);
  std::exception_ptr failure;
  asio::spawn(
      io,
      [&](asio::yield_context yield) {
        try {
          command.run({options, out, io, http, yield}, arguments);
        } catch (const std::exception&) {
          failure = std::current_exception();
        }
        io.stop();
      },
      asio::detached);
  io.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

// Prints an error as text, or as a JSON document where the caller reads one.
ExitCode Report(const CtlOptions& options,
                ExitCode code,
                const std::string& message,
                const std::vector<JsonFault>& faults,
                std::ostream& out,
                std::ostream& errors) {
  if (!options.json) {
    errors << "chiverailctl: " << message << "\n";
    return code;
  }
  json error = {{"code", NameOf(kExitCodeNames, code)}, {"message", message}};
  for (const JsonFault& fault : faults) {
    error["faults"].push_back({{"pointer", fault.pointer}, {"reason", fault.reason}});
  }
  out << json{{"error", std::move(error)}}.dump(2) << "\n";
  return code;
}

}  // namespace

PlatformClient CtlContext::Platform() const {
  if (options.platform.empty()) {
    throw CtlError(ExitCode::kUsage, "this command requires --platform IP:PORT");
  }
  return PlatformClient(http, options.platform);
}

void CtlContext::Print(const std::string& text, const json& document) const {
  if (options.json) {
    out << document.dump(2) << "\n";
  } else {
    out << text;
  }
}

void CtlContext::Sleep(Duration time) const {
  asio::steady_timer timer(io, time);
  timer.async_wait(yield);
}

const std::string& CtlContext::Author() const {
  return options.author.empty() ? options.default_author : options.author;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw CtlError(ExitCode::kFailed, "cannot read the file " + path);
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string FormatColumns(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line += std::string(widths[i] - row[i].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

ExitCode RunCtl(const CtlOptions& options,
                const std::vector<std::string>& arguments,
                std::ostream& out,
                std::ostream& errors) {
  if (arguments.empty()) {
    errors << CtlHelp();
    return ExitCode::kUsage;
  }
  if (arguments[0] == "help") {
    out << CtlHelp();
    return ExitCode::kOk;
  }
  try {
    const CtlCommand& command = FindCommand(arguments);
    const auto first = arguments.begin() + static_cast<std::ptrdiff_t>(command.words.size());
    RunInCoroutine(options, command, {first, arguments.end()}, out);
    return ExitCode::kOk;
  } catch (const CtlError& error) {
    return Report(options, error.code(), error.what(), {}, out, errors);
  } catch (const InvalidDocument& invalid) {
    return Report(options, ExitCode::kInvalidDocument,
                  "invalid document\n" + std::string(invalid.what()), invalid.faults(), out,
                  errors);
  } catch (const std::exception& error) {
    return Report(options, ExitCode::kFailed, error.what(), {}, out, errors);
  }
}

std::string CtlHelp() {
  std::string text = "Operates a chiverail fleet.\n\nUsage: chiverailctl COMMAND [FLAGS]\n\n";
  text += "Commands:\n";
  std::vector<std::vector<std::string>> rows;
  for (const CtlCommand& command : Commands()) {
    rows.push_back(
        {"  " + Join(command.words) + (command.parameters.empty() ? "" : " ") + command.parameters,
         command.summary});
  }
  return text + FormatColumns(rows) + kHelpTail;
}

}  // namespace chiverail
