#ifndef CHIVERAIL_UPSTREAM_REQUEST_H_
#define CHIVERAIL_UPSTREAM_REQUEST_H_

#include <string>

#include "caller_connection.h"
#include "header_names.h"
#include "types.h"

namespace chiverail {

// What the system itself tells an upstream about one send of a request.
struct UpstreamFields {
  Duration time_left{};   // until the request is given up
  UpstreamId upstream;    // the only upstream that may run it
  WorkspaceId workspace;  // that holds the caller's key; empty on a public route
  std::string
      fetch_parts_from;      // address of an engine that has read the shared parts; may be empty
  std::string resume_after;  // last event that the caller has; empty for a stream's start
};

// Writes a caller's request as it goes to an upstream: method, path and body unchanged, without the
// fields of the caller's connection and those that only the system may set.
std::string UpstreamRequestText(const HeaderNames& names,
                                const CallerRequest& request,
                                const UpstreamFields& fields);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_REQUEST_H_
