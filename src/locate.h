#ifndef CHIVERAIL_LOCATE_H_
#define CHIVERAIL_LOCATE_H_

#include <string>
#include <vector>

#include "fleet_view.h"
#include "types.h"

namespace chiverail {

// How long a caller may use a locate answer. A longer time keeps callers at old owners after a
// membership change, which costs remote slot requests; a shorter one costs callers one more request
// per turn.
inline constexpr Duration kLocateTtl = milliseconds(30'000);

// A caller's query for the instances to which it should connect.
struct LocateQuery {
  WorkspaceId workspace;
  ModelId model;
  std::string adapter;
  ChatId chat;
  RegionId region;           // region of the caller; empty for any
  DataCentreId data_centre;  // data centre nearest to the caller; empty for any
};

// The instances to try, best first. The pointers are valid as long as the view.
struct LocateAnswer {
  std::vector<const Member*> members;  // at most 3, without duplicates
  Duration ttl = kLocateTtl;
};

// Returns the admission owner of the chat's home engine, the owner of the next engine in rendezvous
// order, and one more live instance, preferably in the data centre nearest to the caller. Leaving
// instances are never returned; the answer is empty only when no instance is live.
LocateAnswer Locate(const FleetView& view, const LocateQuery& query);

}  // namespace chiverail

#endif  // CHIVERAIL_LOCATE_H_
