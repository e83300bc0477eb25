#include "ownership_fence.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

// Handovers kept for epochs that this instance has not received yet; more than the number of
// engines that one instance gains.
constexpr std::size_t kMaxPendingHandovers = 256;

// Limit of rows and of manifests kept; when more arrive within kOwnershipFenceTimeout, the dropped
// ones count as missed views.
constexpr std::size_t kMaxKnownViews = 8;

// Whether two manifests declare the same engines in the same data centres.
bool SameEngines(const std::shared_ptr<const Manifest>& one,
                 const std::shared_ptr<const Manifest>& other) {
  const auto engines = [](const std::shared_ptr<const Manifest>& manifest) {
    std::map<UpstreamId, DataCentreId> found;
    for (const Upstream& upstream : manifest->upstreams) {
      if (upstream.kind == UpstreamKind::kEngine) {
        found[upstream.id] = upstream.data_centre;
      }
    }
    return found;
  };
  return one != nullptr && other != nullptr && engines(one) == engines(other);
}

// Drops rows or manifests that were superseded more than kOwnershipFenceTimeout ago, since no
// instance acts on them any more. Returns false when a more recent one had to be dropped as well.
template <typename Known>
bool DropSuperseded(std::deque<Known>& known, TimePoint now) {
  while (known.size() > 1 && known.front().superseded_at + kOwnershipFenceTimeout <= now) {
    known.pop_front();
  }
  if (known.size() <= kMaxKnownViews) {
    return true;
  }
  known.pop_front();
  return false;
}

}  // namespace

OwnershipFence::OwnershipFence(InstanceId self, DataCentreId data_centre)
    : self_(std::move(self)), data_centre_(std::move(data_centre)), rows_(1), manifests_(1) {}

OwnershipFence::Owners OwnershipFence::ComputeOwners(
    const MembersRow& row,
    const std::shared_ptr<const Manifest>& manifest) const {
  FleetState state;
  state.manifest = manifest;
  state.members[data_centre_] = row;
  const FleetView view(std::move(state));
  Owners owners;
  for (const EngineEntry& engine : view.engines()) {
    if (const Member* owner = view.AdmissionOwner(engine)) {
      owners[engine.upstream->id] = owner->id;
    }
  }
  return owners;
}

// Other instances may already have this row while they still have an older manifest.
std::vector<HandoverNotice> OwnershipFence::OnMembersRow(const MembersRow& row,
                                                         bool consecutive,
                                                         TimePoint now) {
  if (row.epoch <= view_.epoch) {
    return {};
  }
  rows_.back().superseded_at = now;
  rows_.push_back({row});
  const bool rows_kept = DropSuperseded(rows_, now);
  const bool manifests_kept = DropSuperseded(manifests_, now);
  view_.epoch = row.epoch;
  listed_.clear();
  for (const Member& member : row.members) {
    listed_.insert(member.id);
  }
  std::vector<Owners> other_owners;
  for (std::size_t i = 0; i + 1 < manifests_.size(); ++i) {
    other_owners.push_back(ComputeOwners(row, manifests_[i].manifest));
  }
  return Adopt(other_owners, consecutive && rows_kept && manifests_kept, now);
}

// Other instances may already have this manifest while they still have an older row.
std::vector<HandoverNotice> OwnershipFence::OnManifest(Revision revision,
                                                       std::shared_ptr<const Manifest> manifest,
                                                       TimePoint now) {
  if (revision <= view_.revision) {
    return {};
  }
  const KnownManifest& before = manifests_.back();
  const bool consecutive =
      revision == before.revision + 1 || SameEngines(before.manifest, manifest);
  manifests_.back().superseded_at = now;
  manifests_.push_back({revision, std::move(manifest)});
  const bool rows_kept = DropSuperseded(rows_, now);
  const bool manifests_kept = DropSuperseded(manifests_, now);
  view_.revision = revision;
  std::vector<Owners> other_owners;
  for (std::size_t i = 0; i + 1 < rows_.size(); ++i) {
    other_owners.push_back(ComputeOwners(rows_[i].row, manifests_.back().manifest));
  }
  return Adopt(other_owners, consecutive && rows_kept && manifests_kept, now);
}

// A handover is sent only when this instance was the sole owner and has received every view up to
// the one in which it lost the engine. It thus proves to a receiver without any history of its own
// that no other earlier owner remains.
std::vector<HandoverNotice> OwnershipFence::Adopt(const std::vector<Owners>& other_owners,
                                                  bool consecutive,
                                                  TimePoint now) {
  std::vector<HandoverNotice> handovers;
  Owners owners = ComputeOwners(rows_.back().row, manifests_.back().manifest);
  const Wait wait{now + kOwnershipFenceTimeout, view_};
  for (const auto& [engine, owner] : owners) {
    const auto found = owners_.find(engine);
    const InstanceId before = found == owners_.end() ? InstanceId() : found->second;
    EarlierOwners& earlier = earlier_[engine];
    if (consecutive && before == self_ && owner != self_ && IsSoleOwner(engine)) {
      handovers.push_back({engine, owner, view_.epoch, view_.revision});
    }
    if (owner != before) {
      earlier.previous_owner = before;
      earlier.owned_since = view_;
    }
    if (!consecutive) {
      earlier.wait_for_all = wait;
    }
  }
  for (const auto& [engine, owner] : owners_) {
    earlier_[engine].owners[owner] = wait;
  }
  for (const Owners& owners_by_view : other_owners) {
    for (const auto& [engine, owner] : owners_by_view) {
      earlier_[engine].owners[owner] = wait;
    }
  }
  for (auto& [engine, earlier] : earlier_) {
    const auto owner = owners.find(engine);
    if (owner != owners.end()) {
      earlier.owners.erase(owner->second);
    }
  }
  owners_ = std::move(owners);
  ApplyHandovers();
  EndAllWaits();
  return handovers;
}

// A view newer than the current one does not count: it shows that the current one is outdated, and
// the owner by the newer view may be a third instance.
bool OwnershipFence::HasAdopted(const InstanceId& peer, const View& view) const {
  if (peer == self_ || listed_.count(peer) == 0) {
    return true;
  }
  const auto found = peer_views_.find(peer);
  return found != peer_views_.end() && found->second.IsAtLeast(view) &&
         view_.IsAtLeast(found->second);
}

// Ends the waits for peers that have left the row or have adopted the view.
void OwnershipFence::EndWaits(EarlierOwners& earlier) const {
  for (auto wait = earlier.owners.begin(); wait != earlier.owners.end();) {
    wait =
        HasAdopted(wait->first, wait->second.view) ? earlier.owners.erase(wait) : std::next(wait);
  }
  const auto reached = [&](const InstanceId& peer) {
    return HasAdopted(peer, earlier.wait_for_all->view);
  };
  if (earlier.wait_for_all && std::all_of(listed_.begin(), listed_.end(), reached)) {
    earlier.wait_for_all.reset();
  }
}

void OwnershipFence::EndAllWaits() {
  for (auto& [engine, earlier] : earlier_) {
    EndWaits(earlier);
  }
}

void OwnershipFence::OnPeerView(const InstanceId& peer, std::uint64_t epoch, Revision revision) {
  View& known = peer_views_[peer];
  const View reported{epoch, revision};
  if (!reported.IsAtLeast(known) || known.IsAtLeast(reported)) {
    return;
  }
  known = reported;
  EndAllWaits();
  for (auto view = peer_views_.begin(); view != peer_views_.end();) {
    const bool gone = listed_.count(view->first) == 0 && view->second.epoch < view_.epoch;
    view = gone ? peer_views_.erase(view) : std::next(view);
  }
}

void OwnershipFence::OnHandover(const InstanceId& from, const HandoverNotice& handover) {
  pending_.push_back({from, handover});
  if (pending_.size() > kMaxPendingHandovers) {
    pending_.erase(pending_.begin());
  }
  ApplyHandovers();
}

// The sender was the sole owner. If it was the last owner before this instance, no other earlier
// owner remains; otherwise only the sender itself is known to have stopped.
void OwnershipFence::ApplyHandovers() {
  const auto apply = [&](const PendingHandover& pending) {
    const HandoverNotice& handover = pending.handover;
    const View view{handover.epoch, handover.revision};
    if (!view_.IsAtLeast(view)) {
      return false;
    }
    const auto found = earlier_.find(handover.engine);
    if (found == earlier_.end()) {
      return true;
    }
    EarlierOwners& earlier = found->second;
    if (view.IsAtLeast(earlier.owned_since) && pending.from == earlier.previous_owner) {
      earlier.owners.clear();
      earlier.wait_for_all.reset();
    } else {
      const auto wait = earlier.owners.find(pending.from);
      if (wait != earlier.owners.end() && view.IsAtLeast(wait->second.view)) {
        earlier.owners.erase(wait);
      }
    }
    return true;
  };
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(), apply), pending_.end());
}

void OwnershipFence::Tick(TimePoint now, bool holds_lease) {
  const TimePoint restarted_until = now + kOwnershipFenceTimeout;
  for (auto& [engine, earlier] : earlier_) {
    if (earlier.wait_for_all && !holds_lease) {
      earlier.wait_for_all->until = restarted_until;
    } else if (earlier.wait_for_all && now >= earlier.wait_for_all->until) {
      earlier.wait_for_all.reset();
    }
    for (auto wait = earlier.owners.begin(); wait != earlier.owners.end();) {
      if (!holds_lease) {
        wait->second.until = restarted_until;
      }
      wait = now >= wait->second.until ? earlier.owners.erase(wait) : std::next(wait);
    }
  }
}

bool OwnershipFence::IsSoleOwner(const UpstreamId& engine) const {
  const auto owner = owners_.find(engine);
  if (owner == owners_.end() || owner->second != self_) {
    return false;
  }
  const auto found = earlier_.find(engine);
  return found == earlier_.end() ||
         (found->second.owners.empty() && !found->second.wait_for_all.has_value());
}

}  // namespace chiverail
