#include "table_reachability.h"

#include <algorithm>
#include <utility>

namespace chiverail {

TableReachability::TableReachability(InstanceId self, std::uint64_t seed)
    : self_(std::move(self)), jitter_(seed) {}

SendProbes TableReachability::StartRound(Revision revision, TimePoint now) {
  probed_own_ = Sample(peers_.own_data_centre, kOwnDataCentreSample);
  probed_ = Sample(peers_.others, kOtherSample);
  probed_.insert(probed_.end(), probed_own_.begin(), probed_own_.end());
  answers_.clear();
  verdict_.evicted = false;
  round_start_ = now;
  open_ = true;
  nonce_ = jitter_.Next();
  return {probed_, {self_, nonce_, revision}};
}

// A peer's contact is dated as late as its answer allows, so that a peer that may have reached the
// table since is treated as if it had. Such a peer ends a frozen view at once.
bool TableReachability::OnAnswer(const TableProbeAnswer& answer,
                                 TimePoint contact,
                                 TimePoint confirmed,
                                 TimePoint now) {
  const bool was_probed = std::find(probed_.begin(), probed_.end(), answer.from) != probed_.end();
  if (answer.nonce != nonce_ || !was_probed) {
    return false;
  }
  PeerAnswer& recorded = answers_[answer.from];
  const TimePoint reached_at = now - milliseconds(answer.reached_ms_ago);
  recorded.reached_since_contact = answer.reached_table && reached_at > contact + kContactSlack;
  recorded.reached_since_confirmed = answer.reached_table && reached_at > confirmed + kContactSlack;
  recorded.in_force = answer.in_force;
  verdict_.evicted = verdict_.evicted || answer.requester_evicted;
  if (recorded.reached_since_confirmed) {
    verdict_.table_down_until = TimePoint{};
  }
  if (recorded.reached_since_contact || answer.requester_evicted) {
    verdict_.owner_frozen_until = TimePoint{};
  }
  return true;
}

bool TableReachability::EvaluateRound(TimePoint now) {
  if (!open_ || (answers_.size() < probed_.size() && now < round_start_ + kProbeTimeout)) {
    return false;
  }
  open_ = false;
  const TimePoint until = round_start_ + kVerdictValidity;
  verdict_.table_down_until =
      HalfWithout(probed_, &PeerAnswer::reached_since_confirmed) ? until : TimePoint{};
  verdict_.owner_frozen_until =
      HalfWithout(probed_own_, &PeerAnswer::reached_since_contact) && !verdict_.evicted
          ? until
          : TimePoint{};
  return true;
}

bool TableReachability::OnTableReached() {
  open_ = false;
  const bool frozen =
      verdict_.table_down_until != TimePoint{} || verdict_.owner_frozen_until != TimePoint{};
  verdict_ = ReachabilityVerdict{};
  return frozen;
}

bool TableReachability::HalfAnswered() const {
  return 2 * answers_.size() >= probed_.size();
}

Revision TableReachability::HighestInForce() const {
  Revision highest = 0;
  for (const auto& [id, recorded] : answers_) {
    highest = std::max(highest, recorded.in_force);
  }
  return highest;
}

// True without peers, since then no other instance can act on a newer state.
bool TableReachability::HalfWithout(const std::vector<InstanceId>& probed,
                                    bool PeerAnswer::*flag) const {
  std::size_t answered = 0;
  for (const InstanceId& peer : probed) {
    const auto found = answers_.find(peer);
    if (found == answers_.end()) {
      continue;
    }
    if (found->second.*flag) {
      return false;
    }
    ++answered;
  }
  return 2 * answered >= probed.size();
}

std::vector<InstanceId> TableReachability::Sample(std::vector<InstanceId> from, std::size_t count) {
  count = std::min(count, from.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + jitter_.Below(from.size() - i)]);
  }
  from.resize(count);
  return from;
}

}  // namespace chiverail
