#ifndef CHIVERAIL_PLACE_SHARES_H_
#define CHIVERAIL_PLACE_SHARES_H_

#include <array>
#include <cstddef>
#include <map>

#include "types.h"

namespace chiverail {

// How far a request may fill the upstreams of its service when places are short. The last places
// are kept for urgent work, and for workspaces that hold little, while less urgent work and a
// workspace that floods are refused a little earlier. A class that holds less than its floor is
// treated like the most urgent one, so that none starves. Counts the requests of this instance
// only: callers pick instances at random, so its mix is that of the fleet.
class PlaceShares {
 public:
  void OnSent(RequestClass request_class, const WorkspaceId& workspace);
  void OnDone(RequestClass request_class, const WorkspaceId& workspace);

  // Share of an engine's slots up to which a request of this class and workspace may be placed.
  double SlotShare(RequestClass request_class, const WorkspaceId& workspace) const;

  // Share for the most urgent work.
  static constexpr double kFullShare = 0.95;

 private:
  bool IsHeavy(const WorkspaceId& workspace) const;

  std::array<std::size_t, kRequestClassNames.size()> of_class_{};
  std::map<WorkspaceId, std::size_t> of_workspace_;
  std::size_t total_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PLACE_SHARES_H_
