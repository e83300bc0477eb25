#ifndef CHIVERAIL_OWNERSHIP_FENCE_H_
#define CHIVERAIL_OWNERSHIP_FENCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet_view.h"
#include "lease.h"
#include "manifest.h"
#include "types.h"

namespace chiverail {

// Longest time for which a new owner waits for earlier owners. Once it has passed, no instance acts
// on an older members row (its lease has lapsed) or grants by an older manifest
// (kConfigurationDeadline, 7 s).
inline constexpr Duration kOwnershipFenceTimeout = kLeaseObserverTimeout + seconds(7);

// Notifies the new owner of an engine that this instance no longer grants its slots. The peer
// message AdmissionHandover carries the same fields together with the engine's slots and limit.
struct HandoverNotice {
  UpstreamId engine;
  InstanceId to;
  std::uint64_t epoch = 0;
  Revision revision = 0;
};

// Fences the new owner of an engine: holds back its grants until no earlier owner can still grant.
//
// The owner of an engine is a function of the members row of its data centre and of the manifest.
// Instances receive new rows and new manifests at different times and in different orders, so an
// earlier owner, or an owner computed by an instance that received them in another order, may still
// grant. An earlier owner has stopped when one of these holds:
// - it has left the row (evicted after its lease lapsed, or released),
// - it has handed the engine over,
// - it has reported that it has adopted the same row and manifest as this instance (digests carry
//   epoch and revision), or
// - this instance has held its own lease for kOwnershipFenceTimeout since it adopted them. This
//   rule requires a reachable table: while the table is down for everyone, other instances may keep
//   acting on an older row.
//
// Used by the fleet simulation in tests/. In the daemon, Admission decides when a new owner may
// grant slots (AdmissionPhase).
class OwnershipFence {
 public:
  OwnershipFence(InstanceId self, DataCentreId data_centre);

  // Adopts the next members row of the own data centre. Must be called for every row in
  // sequence (MembersChanged::steps), or with `consecutive` false if rows may have been missed.
  std::vector<HandoverNotice> OnMembersRow(const MembersRow& row, bool consecutive, TimePoint now);

  // Adopts the manifest of a revision that has come into force.
  std::vector<HandoverNotice> OnManifest(Revision revision,
                                         std::shared_ptr<const Manifest> manifest,
                                         TimePoint now);

  // An earlier owner has stopped granting. A handover for an epoch or a revision that this instance
  // has not received yet is kept until both have been received.
  void OnHandover(const InstanceId& from, const HandoverNotice& handover);

  // A peer of the same data centre has adopted the row of `epoch` and the manifest of `revision`.
  void OnPeerView(const InstanceId& peer, std::uint64_t epoch, Revision revision);

  // Ends the waits for earlier owners that have lasted kOwnershipFenceTimeout. Must be called at
  // least every second, with the result of Membership::HoldsLease; while the lease is not held,
  // waits restart.
  void Tick(TimePoint now, bool holds_lease);

  // Whether this instance owns the engine and no earlier owner can still grant its slots. Must be
  // checked right before each grant, together with Membership::MayGrant and
  // ConfigFollower::AcceptsWork.
  bool IsSoleOwner(const UpstreamId& engine) const;

  // The view that this instance has adopted, to be sent in its digests.
  std::uint64_t epoch() const { return view_.epoch; }
  Revision revision() const { return view_.revision; }

 private:
  // Epoch of a members row and revision of a manifest.
  struct View {
    std::uint64_t epoch = 0;
    Revision revision = 0;

    bool IsAtLeast(const View& other) const {
      return epoch >= other.epoch && revision >= other.revision;
    }
  };

  // A wait until a peer has adopted a view, limited by `until`.
  struct Wait {
    TimePoint until{};
    View view;
  };

  // Instances that may still grant slots of an engine by an older view.
  struct EarlierOwners {
    std::map<InstanceId, Wait> owners;
    // Wait for all listed instances; set when views were missed, since any of them may grant.
    std::optional<Wait> wait_for_all;
    InstanceId previous_owner;  // owner right before the current one
    View owned_since;           // first view with the current owner
  };

  struct PendingHandover {
    InstanceId from;
    HandoverNotice handover;
  };

  using Owners = std::map<UpstreamId, InstanceId>;

  struct KnownRow {
    MembersRow row;
    TimePoint superseded_at = TimePoint::max();
  };

  struct KnownManifest {
    Revision revision = 0;
    std::shared_ptr<const Manifest> manifest;
    TimePoint superseded_at = TimePoint::max();
  };

  Owners ComputeOwners(const MembersRow& row,
                       const std::shared_ptr<const Manifest>& manifest) const;
  std::vector<HandoverNotice> Adopt(const std::vector<Owners>& other_owners,
                                    bool consecutive,
                                    TimePoint now);
  void ApplyHandovers();
  // Also true for this instance and for peers that are not members, for which nothing waits.
  bool HasAdopted(const InstanceId& peer, const View& view) const;
  void EndWaits(EarlierOwners& earlier) const;
  void EndAllWaits();

  InstanceId self_;
  DataCentreId data_centre_;
  std::deque<KnownRow> rows_;            // the current one is last
  std::deque<KnownManifest> manifests_;  // the current one is last
  View view_;                            // current epoch and revision
  Owners owners_;                        // by the current view
  std::set<InstanceId> listed_;          // members of the current row
  std::map<UpstreamId, EarlierOwners> earlier_;
  std::map<InstanceId, View> peer_views_;
  std::vector<PendingHandover> pending_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_OWNERSHIP_FENCE_H_
