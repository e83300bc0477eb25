#ifndef CHIVERAIL_HEADER_NAMES_H_
#define CHIVERAIL_HEADER_NAMES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "upstream_choice.h"

namespace chiverail {

// Names of the header fields that the relay reads and sets. An adapter replaces them by those of
// its platform.
struct HeaderNames {
  std::string request_id = "Request-Id";
  std::string deadline_ms = "Request-Deadline-Ms";  // time that the caller still waits
  std::string key = "Workspace-Key";                // never passed on
  std::string workspace = "Workspace";              // set from the key
  std::string expected_upstream = "Expected-Upstream";
  std::string prompt_parts = "Prompt-Parts";
  std::string seal = "Answer-Seal";  // upstreams put it on every answer of their own
  std::string not_run = "Not-Run";   // says that the upstream didn't run the request
  std::string resume_after = "Last-Event-Id";
  std::string fetch_parts_from =
      "Fetch-Parts-From";  // address of an engine that has read the parts
  std::string retry_after = "Retry-After";
  std::vector<std::string> reserved;  // fields that only the system may set; dropped from callers

  // Reads the value of `prompt_parts`; empty for a malformed one.
  std::function<std::vector<PromptPart>(std::string_view)> parse_prompt_parts =
      [](std::string_view) { return std::vector<PromptPart>{}; };
};

}  // namespace chiverail

#endif  // CHIVERAIL_HEADER_NAMES_H_
