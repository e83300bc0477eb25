#ifndef CHIVERAIL_OWNERSHIP_H_
#define CHIVERAIL_OWNERSHIP_H_

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

// A new owner waits at most this long for earlier ones: until nobody acts on an older members row
// (the lease), and until nobody grants by an older manifest (the deadline of the configuration).
inline constexpr Duration kOwnerWait = kLeaseObserverTimeout + seconds(7);

// Tell the new owner that this instance no longer grants for the engine; travels as OwnerHandover
// with the slots and the limit of the engine.
struct HandOver {
  UpstreamId engine;
  InstanceId to;
  std::uint64_t epoch = 0;
  Revision revision = 0;
};

// Decides from when on this instance may grant for an engine that it has gained.
//
// The owner of an engine is a function of the members row of its data centre and of the manifest.
// Instances learn of new rows and new manifests at different times and in different orders, so an
// earlier owner, or one by another order, may still act. It has stopped when
// - it has left the row (evicted after its lease lapsed, or released),
// - it has handed over,
// - it has said that it knows this instance's row and manifest (digests carry epoch and revision),
// or
// - this instance has held its own lease for kOwnerWait since it learned of them. This rule needs a
//   table that can be reached: while it is down for everyone, others may go on with an older row.
class Ownership {
 public:
  Ownership(InstanceId self, DataCentreId data_centre);

  // Adopts the next members row of the own data centre; to be called for each step of
  // MembersChanged, or with `consecutive` unset when the steps are not known.
  std::vector<HandOver> OnRow(const MembersRow& row, bool consecutive, TimePoint now);

  // Adopts the manifest of a revision that is in force from now on.
  std::vector<HandOver> OnManifest(Revision revision,
                                   std::shared_ptr<const Manifest> manifest,
                                   TimePoint now);

  // An earlier owner has stopped granting. A handover for an epoch or a revision that is not known
  // yet is kept until it is.
  void OnHandover(const InstanceId& from, const HandOver& handover);

  // A peer of the same data centre acts on the row of `epoch` and the manifest of `revision`.
  void OnPeerView(const InstanceId& peer, std::uint64_t epoch, Revision revision);

  // Ends the waiting for earlier owners whose time is over; to be called every second or more often
  // with Membership::HoldsLease. Without the lease the waiting starts again.
  void Tick(TimePoint now, bool holds_lease);

  // Whether this instance owns the engine and no earlier owner can still grant for it. To be asked
  // right before each grant, together with Membership::MayGrant and ConfigFollower::AcceptsWork.
  bool MayGrant(const UpstreamId& engine) const;

  // The view that this instance acts on, for its own digests.
  std::uint64_t epoch() const { return view_.epoch; }
  Revision revision() const { return view_.revision; }

 private:
  // Epoch of a members row and revision of a manifest.
  struct View {
    std::uint64_t epoch = 0;
    Revision revision = 0;

    bool Reaches(const View& other) const {
      return epoch >= other.epoch && revision >= other.revision;
    }
  };

  // Wait until a peer has reached a view, at the latest until a time.
  struct Wait {
    TimePoint until{};
    View view;
  };

  // Who may still grant for an engine by an older view.
  struct Earlier {
    std::map<InstanceId, Wait> owners;
    std::optional<Wait> unknown;  // any listed instance may, because views were missed
    InstanceId last;              // owner right before the present one
    View since;                   // that made the present owner
  };

  struct PendingHandover {
    InstanceId from;
    HandOver handover;
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

  Owners OwnersBy(const MembersRow& row, const std::shared_ptr<const Manifest>& manifest) const;
  std::vector<HandOver> Adopt(const std::vector<Owners>& others, bool consecutive, TimePoint now);
  void ApplyHandovers();
  bool HasReached(const InstanceId& peer, const View& view) const;
  void EndWaits(Earlier& earlier) const;
  void EndAllWaits();

  InstanceId self_;
  DataCentreId data_centre_;
  std::deque<KnownRow> rows_;            // the present one last
  std::deque<KnownManifest> manifests_;  // the present one last
  View view_;                            // present epoch and revision
  Owners owners_;                        // by the present view
  std::set<InstanceId> listed_;          // in the present row
  std::map<UpstreamId, Earlier> earlier_;
  std::map<InstanceId, View> peer_views_;
  std::vector<PendingHandover> pending_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_OWNERSHIP_H_
