#ifndef CHIVERAIL_CTL_TRACE_H_
#define CHIVERAIL_CTL_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ctl_command.h"

namespace chiverail {

// Collects the lines of decision logs that explain a request. These are the request's own lines
// and, for each instance that handled it, the line of the configuration in force and the start,
// stop and dependency lines of the last 5 s before the request's last line.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request) : request_(std::move(request)) {}

  // Reads one log. Lines may have a prefix added by a log collector; lines without a decision
  // log record are skipped.
  void Read(std::istream& log);

  // Returns the request's lines and their context, sorted by time.
  std::vector<nlohmann::json> Lines() const;

 private:
  // Start, stop and dependency lines may explain the outcome of a request if they precede its last
  // line by less than this.
  static constexpr double kContextSeconds = 5;

  std::string request_;
  std::vector<nlohmann::json> own_;
  std::vector<nlohmann::json> context_;
};

// Command `trace ID FILE[,FILE...]`.
void TraceRequest(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_TRACE_H_
