#include "slot_shares.h"

#include <algorithm>

namespace chiverail {
namespace {

// By class, the most urgent first. Each step reserves room for the urgent arrivals of about a
// quarter of a second, during which instances do not see the requests sent by the others.
constexpr std::array<double, kRequestClassNames.size()> kClassShares{SlotShares::kFullShare, 0.88,
                                                                     0.80};

// Share for a workspace that holds more than its fair share.
constexpr double kHeavyShare = 0.80;

// A workspace is heavy if it holds more than this multiple of the mean over the workspaces with
// requests, plus a constant, because means are small on a single instance.
constexpr double kHeavyMultiple = 2;
constexpr double kHeavyFloor = 2;

// Fraction of the requests in progress that is guaranteed to every class.
constexpr double kClassFloor = 0.2;

}  // namespace

void SlotShares::OnSent(RequestClass request_class, const WorkspaceId& workspace) {
  ++of_class_[static_cast<std::size_t>(request_class)];
  ++of_workspace_[workspace];
  ++total_;
}

void SlotShares::OnDone(RequestClass request_class, const WorkspaceId& workspace) {
  const auto found = of_workspace_.find(workspace);
  if (found == of_workspace_.end()) {
    return;
  }
  --of_class_[static_cast<std::size_t>(request_class)];
  --total_;
  if (--found->second == 0) {
    of_workspace_.erase(found);
  }
}

// Requests without a workspace, on public routes, come from many callers and are never heavy.
bool SlotShares::IsHeavy(const WorkspaceId& workspace) const {
  const auto found = of_workspace_.find(workspace);
  if (workspace.empty() || found == of_workspace_.end()) {
    return false;
  }
  const double mean = static_cast<double>(total_) / static_cast<double>(of_workspace_.size());
  return static_cast<double>(found->second) > kHeavyMultiple * mean + kHeavyFloor;
}

double SlotShares::MaxSlotShare(RequestClass request_class, const WorkspaceId& workspace) const {
  const auto position = static_cast<std::size_t>(request_class);
  const bool under_floor =
      static_cast<double>(of_class_[position]) + 1 <= kClassFloor * static_cast<double>(total_ + 1);
  const double of_class = under_floor ? kFullShare : kClassShares[position];
  return IsHeavy(workspace) ? std::min(of_class, kHeavyShare) : of_class;
}

}  // namespace chiverail
