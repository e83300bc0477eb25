// Main program of chiverailctl, the command-line tool for operators; CtlHelp lists its commands.
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include "ctl_command.h"

ABSL_FLAG(std::string, platform, "", "address of the platform's table and object store, ip:port");
ABSL_FLAG(std::string, instance, "", "address of an instance, ip:port");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, author, "", "author of the change, or whose changes to list");
ABSL_FLAG(std::int64_t,
          expect_revision,
          -1,
          "revision that the change is based on; -1 means the newest");
ABSL_FLAG(bool, wait, false, "wait until every live instance has the new revision");
ABSL_FLAG(std::int64_t, wait_timeout_ms, 7000, "longest time for --wait, in milliseconds");
ABSL_FLAG(bool, force, false, "take out a data centre that is unknown or the last one in service");
ABSL_FLAG(std::int64_t, since, 0, "first revision to list");
ABSL_FLAG(std::string, as, "", "outcome of the call to settle: ran or not-run");
ABSL_FLAG(std::string,
          answer,
          "",
          "file with the answer returned to repeats of a call settled as ran");

namespace {

using chiverail::CtlError;
using chiverail::ExitCode;

// Sets one flag from "--name=value", "--name value" or, for Boolean flags, "--name" alone. Returns
// whether `next`, the following argument, was used as the value.
bool SetFlag(std::string name, const std::string* next) {
  const std::size_t equals = name.find('=');
  const bool has_value = equals != std::string::npos;
  std::string value = has_value ? name.substr(equals + 1) : "true";
  name.resize(has_value ? equals : name.size());
  const std::string shown = name;
  for (char& c : name) {
    c = c == '-' ? '_' : c;
  }
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) {
    throw CtlError(ExitCode::kUsage, "no such flag: --" + shown);
  }
  const bool takes_next = !has_value && !flag->IsOfType<bool>();
  if (takes_next) {
    if (next == nullptr) {
      throw CtlError(ExitCode::kUsage, "flag --" + shown + " requires a value");
    }
    value = *next;
  }
  std::string reason;
  if (!flag->ParseFrom(value, &reason)) {
    throw CtlError(ExitCode::kUsage, "flag --" + shown + ": invalid value \"" + value + "\"");
  }
  return takes_next;
}

// Sets the flags and returns the positional arguments. Abseil's own parser is not used: it ends the
// process with exit code 1 on an invalid flag and accepts flag names with underscores only.
std::vector<std::string> ParseArguments(const std::vector<std::string>& arguments) {
  std::vector<std::string> positional;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument == "--help" || argument == "-h") {
      return {"help"};
    }
    if (argument.rfind("--", 0) != 0) {
      positional.push_back(argument);
    } else if (SetFlag(argument.substr(2),
                       i + 1 < arguments.size() ? &arguments[i + 1] : nullptr)) {
      ++i;
    }
  }
  return positional;
}

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

chiverail::CtlOptions OptionsFromFlags() {
  chiverail::CtlOptions options;
  options.platform = absl::GetFlag(FLAGS_platform);
  options.instance = absl::GetFlag(FLAGS_instance);
  options.json = absl::GetFlag(FLAGS_json);
  options.author = absl::GetFlag(FLAGS_author);
  options.default_author = DefaultAuthor();
  const std::int64_t expected = absl::GetFlag(FLAGS_expect_revision);
  if (expected >= 0) {
    options.expect_revision = static_cast<chiverail::Revision>(expected);
  }
  options.wait = absl::GetFlag(FLAGS_wait);
  options.wait_timeout = chiverail::milliseconds(absl::GetFlag(FLAGS_wait_timeout_ms));
  options.force = absl::GetFlag(FLAGS_force);
  options.since = static_cast<chiverail::Revision>(absl::GetFlag(FLAGS_since));
  options.settle_as = absl::GetFlag(FLAGS_as);
  options.answer_file = absl::GetFlag(FLAGS_answer);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments = ParseArguments({argv + 1, argv + argc});
    return static_cast<int>(chiverail::RunCtl(OptionsFromFlags(), arguments, std::cout, std::cerr));
  } catch (const CtlError& error) {
    std::cerr << "chiverailctl: " << error.what() << "\n";
    return static_cast<int>(error.code());
  }
}
