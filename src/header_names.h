#ifndef CHIVERAIL_HEADER_NAMES_H_
#define CHIVERAIL_HEADER_NAMES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "upstream_choice.h"

namespace chiverail {

// Names of the header fields that the relay reads and sets. An adapter replaces them with the names
// of its platform.
struct HeaderNames {
  std::string request_id = "Request-Id";
  std::string deadline_ms = "Request-Deadline-Ms";  // time for which the caller still waits
  std::string key = "Workspace-Key";                // never forwarded
  std::string workspace = "Workspace";              // derived from the key
  std::string expected_upstream = "Expected-Upstream";
  std::string prompt_parts = "Prompt-Parts";
  std::string seal = "Answer-Seal";  // on every response that an upstream generates
  std::string not_run = "Not-Run";   // set if the upstream did not run the request
  std::string resume_after = "Last-Event-Id";
  // Address of an engine that has the prompt segments cached.
  std::string fetch_parts_from = "Fetch-Parts-From";
  std::string retry_after = "Retry-After";
  // Requests per second that an upstream takes from all instances together.
  std::string request_limit = "Request-Limit";
  std::string leaving = "Leaving";  // "1" if an upstream is about to end
  // Fields that only the system may set; removed from requests of callers.
  std::vector<std::string> reserved;

  // Parses a value of `prompt_parts`. Returns no segments if it is malformed.
  std::function<std::vector<PromptSegment>(std::string_view)> parse_prompt_segments =
      [](std::string_view) { return std::vector<PromptSegment>{}; };
};

}  // namespace chiverail

#endif  // CHIVERAIL_HEADER_NAMES_H_
