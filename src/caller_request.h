#ifndef CHIVERAIL_CALLER_REQUEST_H_
#define CHIVERAIL_CALLER_REQUEST_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "fleet_view.h"
#include "http_types.h"
#include "locate.h"
#include "placement.h"
#include "resume_token.h"
#include "types.h"

namespace chiverail {

// Thrown when a request is refused; carries the typed error that is sent to the caller.
class RefusedRequest : public std::runtime_error {
 public:
  explicit RefusedRequest(RequestError error)
      : std::runtime_error(error.message), error_(std::move(error)) {}
  RefusedRequest(ErrorCode code, const std::string& message)
      : RefusedRequest(RequestError{code, message, Ran::kNo}) {}
  const RequestError& error() const { return error_; }

 private:
  RequestError error_;
};

// A parsed `POST /v1/chat` request.
struct ChatCall {
  ChatRequest request;
  std::optional<ResumeToken> resume;
  std::uint64_t resume_offset = 0;  // bytes of text that the caller has received
};

// Parses the body of `POST /v1/chat` and validates it against the view. A request without a
// deadline gets the manifest's `longest_request` time. Throws RefusedRequest.
ChatCall ParseChatCall(std::string_view body,
                       const FleetView& view,
                       const RegionId& region,
                       TimePoint now);

// Parses the parameters of `GET /v1/locate`. Throws RefusedRequest.
LocateQuery ParseLocateQuery(const HttpTarget& target,
                             const FleetView& view,
                             const DataCentreId& data_centre);

// A parsed call to a plain service.
struct ServiceCall {
  WorkspaceId workspace;
  std::string service;
  std::string operation;
  std::string key;  // idempotency key; empty for idempotent operations
  bool idempotent = false;
};

// Parses the path and headers of `/v1/call/<service>/<operation>`. Throws RefusedRequest.
ServiceCall ParseServiceCall(const HttpRequest& request,
                             const HttpTarget& target,
                             const FleetView& view);

// Returns the plain upstreams of a service that accept new work, in rendezvous hashing order for
// `key`.
std::vector<const Upstream*> ServiceUpstreams(const FleetView& view,
                                              const std::string& service,
                                              std::string_view key);

}  // namespace chiverail

#endif  // CHIVERAIL_CALLER_REQUEST_H_
