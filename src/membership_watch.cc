#include <algorithm>
#include <utility>

#include "membership.h"

namespace chiverail {

// Each instance watches the members that follow it in a ring ordered by id.
void Membership::UpdateWatches() {
  std::vector<InstanceId> ring;
  for (const Member& member : OwnRow().members) {
    if (member.id != self_.id) {
      ring.push_back(member.id);
    }
  }
  std::sort(ring.begin(), ring.end());
  std::rotate(ring.begin(), std::upper_bound(ring.begin(), ring.end(), self_.id), ring.end());
  ring.resize(std::min(ring.size(), watch_count_));
  std::map<InstanceId, Watch> kept;
  kept[self_.id] = watches_[self_.id];
  for (const InstanceId& instance : ring) {
    kept[instance] = watches_[instance];
  }
  watches_ = std::move(kept);
}

void Membership::TickWatches(TimePoint now, MembershipActions& out) {
  for (auto& [instance, watch] : watches_) {
    if (instance != self_.id && now >= watch.next_read && !InFlight(Purpose::kWatch, instance)) {
      watch.next_read = now + jitter_.Around(kWatchInterval);
      Read(Purpose::kWatch, instance, now, out);
    }
  }
}

// A lease counts as lapsed only after it has been seen unchanged for kLeaseObserverTimeout without
// a gap in the reads: during an outage of the table a holder cannot renew and must not be evicted
// for that.
void Membership::OnWatchedLease(const InstanceId& instance,
                                const TableRow& row,
                                TimePoint started,
                                TimePoint now) {
  const auto found = watches_.find(instance);
  if (found == watches_.end()) {
    return;
  }
  Watch& watch = found->second;
  if (instance == self_.id && !IsMember() && row.version == 0) {
    watch.lapsed = true;
    return;
  }
  if (!watch.seen || watch.version != row.version || now - watch.last_seen > kMaxWatchGap) {
    if (watch.seen && watch.version != row.version && instance != self_.id) {
      watch_count_ = kWatchedSuccessors;
    }
    watch.first_seen = now;
    watch.version = row.version;
    watch.seen = true;
  }
  watch.last_seen = now;
  watch.lapsed = started - watch.first_seen >= kLeaseObserverTimeout;
}

}  // namespace chiverail
