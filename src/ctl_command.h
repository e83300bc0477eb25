#ifndef CHIVERAIL_CTL_COMMAND_H_
#define CHIVERAIL_CTL_COMMAND_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "http_client.h"
#include "platform_client.h"
#include "types.h"

namespace chiverail {

// Exit codes of chiverailctl; scripts rely on the numbers.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalidDocument = 3,
  kConflict = 4,
  kStoreUnavailable = 5,
  kOutcomeUnknown = 6,
  kNotInForce = 7,
};
inline constexpr std::array<EnumName<ExitCode>, 8> kExitCodeNames{{
    {ExitCode::kOk, "ok"},
    {ExitCode::kFailed, "failed"},
    {ExitCode::kUsage, "usage"},
    {ExitCode::kInvalidDocument, "invalid_document"},
    {ExitCode::kConflict, "conflict"},
    {ExitCode::kStoreUnavailable, "store_unavailable"},
    {ExitCode::kOutcomeUnknown, "outcome_unknown"},
    {ExitCode::kNotInForce, "not_in_force"},
}};

// Thrown by a command to end with a non-zero exit code.
class CtlError : public std::runtime_error {
 public:
  CtlError(ExitCode code, const std::string& message) : std::runtime_error(message), code_(code) {}
  ExitCode code() const { return code_; }

 private:
  ExitCode code_;
};

// Values of the flags.
struct CtlOptions {
  std::string platform;  // "ip:port"; empty when not given
  std::string instance;  // "ip:port"; empty when not given
  bool json = false;
  std::string author;          // empty when not given
  std::string default_author;  // of changes without --author
  std::optional<Revision> expect_revision;
  bool wait = false;
  Duration wait_timeout = milliseconds(7000);
  Duration publish_timeout =
      seconds(10);  // changes are retried for this long during a store outage
  bool force = false;
  Revision since = 0;       // first revision to list
  std::string settle_as;    // "ran" or "not-run"; empty when not given
  std::string answer_file;  // answer returned to repeats of a call settled as ran
};

// Options, output and I/O of a running command. Commands run in a coroutine.
struct CtlContext {
  const CtlOptions& options;
  std::ostream& out;
  boost::asio::io_context& io;
  HttpClient& http;
  boost::asio::yield_context yield;

  // Returns a client of the platform. Throws CtlError(kUsage) without --platform.
  PlatformClient Platform() const;

  // Returns the author of a change: --author, or by default the system user.
  const std::string& Author() const;

  // Prints a result: `text`, or `document` with --json.
  void Print(const std::string& text, const nlohmann::json& document) const;

  // Suspends the coroutine without blocking the thread.
  void Sleep(Duration time) const;
};

// A sub-command.
struct CtlCommand {
  std::vector<std::string> words;  // of its name, such as {"calls", "settle"}
  std::string parameters;          // positional arguments as shown in the help, separated by spaces
  std::string summary;
  std::size_t argument_count;
  void (*run)(const CtlContext& context, const std::vector<std::string>& arguments);
};

// Reads a whole file. Throws CtlError(kFailed) when it cannot be read.
std::string ReadFile(const std::string& path);

// Formats rows as aligned columns; the first row is the heading.
std::string FormatColumns(const std::vector<std::vector<std::string>>& rows);

// Runs the command given by `arguments` and returns the exit code.
ExitCode RunCtl(const CtlOptions& options,
                const std::vector<std::string>& arguments,
                std::ostream& out,
                std::ostream& errors);

// Returns the help text with all commands, flags, exit codes and examples.
std::string CtlHelp();

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_COMMAND_H_
