#ifndef CHIVERAIL_SLOT_SHARES_H_
#define CHIVERAIL_SLOT_SHARES_H_

#include <array>
#include <cstddef>
#include <map>

#include "types.h"

namespace chiverail {

// Determines up to which share of its slots an upstream may be filled by a request when slots are
// scarce. The last slots are reserved for urgent work and for workspaces with few requests, while
// less urgent work and a workspace that floods are refused a little earlier. A class that holds
// less than its guaranteed fraction is treated like the most urgent one, so that none starves. Only
// the requests of this instance are counted: callers pick instances at random, so each instance
// sees the same mix as the fleet.
class SlotShares {
 public:
  void OnSent(RequestClass request_class, const WorkspaceId& workspace);
  void OnDone(RequestClass request_class, const WorkspaceId& workspace);

  // Returns the share of an upstream's slots up to which a request of this class and workspace may
  // fill it.
  double MaxSlotShare(RequestClass request_class, const WorkspaceId& workspace) const;

  // Share for the most urgent class.
  static constexpr double kFullShare = 0.95;

 private:
  bool IsHeavy(const WorkspaceId& workspace) const;

  std::array<std::size_t, kRequestClassNames.size()> of_class_{};
  std::map<WorkspaceId, std::size_t> of_workspace_;
  std::size_t total_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SLOT_SHARES_H_
