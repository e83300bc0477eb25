#include "place_shares.h"

#include <algorithm>

namespace chiverail {
namespace {

// By class, the most urgent first. The steps hold the urgent arrivals of about a quarter of a
// second, in which instances don't see each other's sends.
constexpr std::array<double, kRequestClassNames.size()> kClassShares{PlaceShares::kFullShare, 0.88,
                                                                     0.80};

// Share of a workspace that holds more than its part.
constexpr double kHeavyShare = 0.80;

// A workspace is heavy when it holds this many times the mean of those that have requests, and this
// many more, as means are small on one instance.
constexpr double kHeavyMultiple = 2;
constexpr double kHeavyFloor = 2;

// Part of the requests held that every class may have whatever the others hold.
constexpr double kClassFloor = 0.2;

}  // namespace

void PlaceShares::OnSent(RequestClass request_class, const WorkspaceId& workspace) {
  ++of_class_[static_cast<std::size_t>(request_class)];
  ++of_workspace_[workspace];
  ++total_;
}

void PlaceShares::OnDone(RequestClass request_class, const WorkspaceId& workspace) {
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

// Requests without a workspace, on public routes, come from many callers.
bool PlaceShares::IsHeavy(const WorkspaceId& workspace) const {
  const auto found = of_workspace_.find(workspace);
  if (workspace.empty() || found == of_workspace_.end()) {
    return false;
  }
  const double mean = static_cast<double>(total_) / static_cast<double>(of_workspace_.size());
  return static_cast<double>(found->second) > kHeavyMultiple * mean + kHeavyFloor;
}

double PlaceShares::SlotShare(RequestClass request_class, const WorkspaceId& workspace) const {
  const auto position = static_cast<std::size_t>(request_class);
  const bool under_floor =
      static_cast<double>(of_class_[position]) + 1 <= kClassFloor * static_cast<double>(total_ + 1);
  const double of_class = under_floor ? kFullShare : kClassShares[position];
  return IsHeavy(workspace) ? std::min(of_class, kHeavyShare) : of_class;
}

}  // namespace chiverail
