#ifndef CHIVERAIL_CTL_TRACE_H_
#define CHIVERAIL_CTL_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ctl_command.h"

namespace chiverail {

// Collects the lines of decision logs that explain a request, in order of time: the request's own
// lines and, of each instance that handled it, the configuration that was in force and the starts,
// stops and dependency changes within kContextSeconds before the request's last line.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request) : request_(std::move(request)) {}

  // Reads one log. Lines may have a prefix added by a log collector; lines without a JSON object
  // are skipped.
  void Read(std::istream& log);

  // Returns the lines found.
  std::vector<nlohmann::json> Lines() const;

 private:
  // Time before the request's last line within which a lost dependency may explain its outcome.
  static constexpr double kContextSeconds = 5;

  std::string request_;
  std::vector<nlohmann::json> own_;
  std::vector<nlohmann::json> context_;
};

// Command `trace ID FILE[,FILE...]`.
void TraceRequest(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_TRACE_H_
