#ifndef CHIVERAIL_UPSTREAM_REQUEST_H_
#define CHIVERAIL_UPSTREAM_REQUEST_H_

#include <string>

#include "caller_connection.h"
#include "header_names.h"
#include "types.h"

namespace chiverail {

// Values of the header fields that the relay adds to one attempt of a request.
struct UpstreamFields {
  Duration time_left{};          // until the request's deadline
  UpstreamId upstream;           // the only upstream that may run the request
  WorkspaceId workspace;         // owner of the caller's key; empty on a public route
  std::string fetch_parts_from;  // address of a cache holder of the prompt segments; may be empty
  std::string resume_after;      // id of the last event sent to the caller; empty if none was
};

// Serializes a caller's request for an upstream. Method, target and body are unchanged; hop-by-hop
// fields and fields that only the system may set are removed.
std::string UpstreamRequestText(const HeaderNames& names,
                                const CallerRequest& request,
                                const UpstreamFields& fields);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_REQUEST_H_
