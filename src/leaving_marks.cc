#include "leaving_marks.h"

namespace chiverail {

bool LeavingMarks::Update(Marks& marks,
                          const std::vector<ListedItem>& items,
                          std::uint64_t sequence) {
  bool changed = false;
  for (const ListedItem& item : items) {
    std::uint64_t& known = marks.sequence[item.id];
    if (sequence <= known) {
      continue;
    }
    known = sequence;
    const bool updated =
        item.leaving ? marks.leaving.insert(item.id).second : marks.leaving.erase(item.id) > 0;
    changed = changed || updated;
  }
  return changed;
}

bool LeavingMarks::OnListing(const Listing& listing) {
  const bool instances_changed = Update(instances_, listing.instances, listing.sequence);
  return Update(upstreams_, listing.upstreams, listing.sequence) || instances_changed;
}

void LeavingMarks::KeepUpstreams(const std::set<UpstreamId>& declared) {
  auto& sequence = upstreams_.sequence;
  for (auto known = sequence.begin(); known != sequence.end();) {
    if (declared.count(known->first) > 0) {
      ++known;
    } else {
      upstreams_.leaving.erase(known->first);
      known = sequence.erase(known);
    }
  }
}

}  // namespace chiverail
