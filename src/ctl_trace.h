#ifndef CHIVERAIL_CTL_TRACE_H_
#define CHIVERAIL_CTL_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ctl_command.h"

namespace chiverail {

// Lines of decision logs that explain a request, in order of time: its own, and of the instance
// that served it the configuration that was in force and the dependencies lost in the seconds
// before.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request) : request_(std::move(request)) {}

  // Reads one log. Lines may bear a prefix of a log collector; those without a JSON object are
  // passed over.
  void Read(std::istream& log);

  // The lines found.
  std::vector<nlohmann::json> Lines() const;

 private:
  // How long before the request a lost dependency still explains it.
  static constexpr double kContextSeconds = 5;

  std::string request_;
  std::vector<nlohmann::json> own_;
  std::vector<nlohmann::json> context_;
};

// Command `trace ID FILE[,FILE...]`.
void TraceRequest(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_TRACE_H_
