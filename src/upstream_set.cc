#include "upstream_set.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <xxhash.h>

namespace chiverail {
namespace {

// Initial and maximum back-off after failed connections. A restart takes about one second; the
// initial value is shorter, so that a single lost packet costs less than a restart.
constexpr Duration kInitialBackoff = milliseconds(400);
constexpr Duration kMaxBackoff = seconds(3);

// Weight of one response in the failure rate, which thus covers about the last ten responses.
constexpr double kFailureWeight = 0.1;

// Time over which the load of an upstream is averaged.
constexpr Duration kAverageLoadTime = seconds(1);

// Half-life of the failure rate in the absence of responses.
constexpr Duration kFailureHalfLife = seconds(4);

}  // namespace

std::uint32_t UpstreamTag(const UpstreamId& id) {
  return XXH32(id.data(), id.size(), 0);
}

std::uint32_t RunTag(const UpstreamEntry& entry) {
  return XXH32(entry.id.data(), entry.id.size(),
               1 + static_cast<std::uint32_t>(entry.started_ms ^ (entry.started_ms >> 32)));
}

void UpdateAverageLoad(UpstreamState& upstream, TimePoint now) {
  const double load = upstream.own_load + upstream.peer_load;
  if (upstream.average_load_at == TimePoint{}) {
    upstream.average_load = load;
  } else {
    const double passed = std::chrono::duration<double>(now - upstream.average_load_at) /
                          std::chrono::duration<double>(kAverageLoadTime);
    upstream.average_load += (1 - std::exp(-passed)) * (load - upstream.average_load);
  }
  upstream.average_load_at = now;
}

double FailureRate(const UpstreamState& upstream, TimePoint now) {
  const double half_lives = std::chrono::duration<double>(now - upstream.failure_rate_at) /
                            std::chrono::duration<double>(kFailureHalfLife);
  return upstream.failure_rate * std::exp2(-std::max(0.0, half_lives));
}

bool UpstreamSet::RestoredLately(TimePoint now) const {
  return list_restored_at_ != TimePoint{} && now < list_restored_at_ + kRestoreTime;
}

bool UpstreamSet::IsDoubtful(const UpstreamEntry& entry, TimePoint now) {
  const auto found = departed_.find(entry.id);
  if (found == departed_.end()) {
    return false;
  }
  Departed& departed = found->second;
  const bool restored_since = RestoredLately(now) && departed.at < list_restored_at_;
  if (restored_since && entry.started_ms < departed.started_ms) {
    return true;
  }
  const bool listed_before = departed.listed_at != TimePoint{};
  const bool written_again = listed_before && entry.sequence > departed.sequence;
  const bool still_listed = listed_before && departed.listed_at + kDoubtTime <= now;
  if (entry.started_ms != departed.started_ms || written_again || still_listed ||
      (!restored_since && !listed_before)) {
    departed_.erase(found);
    return false;
  }
  // Heartbeats don't reach every instance, so the first entry that is seen counts as an old one.
  departed.sequence = std::max(departed.sequence, entry.sequence);
  departed.listed = entry;
  departed.listed_at = listed_before ? departed.listed_at : now;
  return true;
}

void UpstreamSet::Apply(const UpstreamEntry& entry, TimePoint now) {
  if (IsDoubtful(entry, now)) {
    return;
  }
  const auto [position, added] = upstreams_.try_emplace(entry.id);
  UpstreamState& upstream = position->second;
  const bool restarted = !added && entry.started_ms != upstream.entry.started_ms;
  if (!added && entry.started_ms < upstream.entry.started_ms) {
    return;  // entry of an earlier run of the upstream
  }
  if (!added && !restarted && entry.started_ms != 0 && RestoredLately(now) &&
      entry.sequence < upstream.entry.sequence) {
    upstream.entry_lapsed = false;
    return;
  }
  if (added) {
    upstream.tag = UpstreamTag(entry.id);
    tags_[upstream.tag] = entry.id;
  }
  if (restarted) {
    upstream.draining = false;
    upstream.backoff_until = {};
    upstream.connect_failures = 0;
    upstream.failure_rate = 0;
  }
  if (entry.cold_remaining > Duration::zero()) {
    upstream.cold_until = std::max(upstream.cold_until, now + entry.cold_remaining);
  } else if (!added && upstream.connect_failures == 0) {
    upstream.cold_until = {};
  }
  // An older entry of the same run never clears the draining flag.
  upstream.draining = upstream.draining || entry.draining;
  upstream.removed = false;
  upstream.entry_lapsed = false;
  upstream.entry = entry;
}

bool UpstreamSet::InReregistrationGrace(TimePoint now) const {
  return list_recovered_at_ != TimePoint{} && now < list_recovered_at_ + kReregistrationGrace;
}

void UpstreamSet::Remove(const UpstreamId& id, TimePoint now) {
  if (const auto departed = departed_.find(id); departed != departed_.end()) {
    departed->second.listed_at = {};
  }
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  if (InReregistrationGrace(now)) {
    found->second.entry_lapsed = true;
    return;
  }
  Retire(found->second, now);
}

void UpstreamSet::Remember(const UpstreamState& upstream, TimePoint now) {
  if (departed_.size() >= kMaxDeparted && departed_.count(upstream.entry.id) == 0) {
    departed_.erase(
        std::min_element(departed_.begin(), departed_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
  departed_[upstream.entry.id] = {upstream.entry.started_ms, upstream.entry.sequence, now, {}, {}};
}

// An upstream with requests in progress is kept until they end, but gets no new ones.
void UpstreamSet::Retire(UpstreamState& upstream, TimePoint now) {
  if (!upstream.removed) {
    Remember(upstream, now);
  }
  upstream.removed = true;
  if (upstream.own_load == 0) {
    tags_.erase(upstream.tag);
    const UpstreamId id = upstream.entry.id;
    upstreams_.erase(id);
  }
}

void UpstreamSet::Replace(const std::vector<UpstreamEntry>& entries, TimePoint now) {
  std::set<UpstreamId> listed;
  for (const UpstreamEntry& entry : entries) {
    listed.insert(entry.id);
    Apply(entry, now);
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const auto& [id, run] : departed_) {
    if (run.listed_at != TimePoint{} && listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    Remove(id, now);
  }
}

void UpstreamSet::OnListRead(TimePoint as_of, TimePoint now) {
  const TimePoint last_read = std::max(list_as_of_, list_seen_as_of_);
  if (list_as_of_ != TimePoint{} && as_of > last_read + kListOutageThreshold) {
    list_recovered_at_ = now;
  }
  list_as_of_ = std::max(list_as_of_, as_of);
}

void UpstreamSet::Expire(TimePoint now) {
  const bool in_grace = InReregistrationGrace(now);
  std::vector<UpstreamId> expired;
  for (const auto& [id, upstream] : upstreams_) {
    const bool unused = upstream.removed && upstream.own_load == 0;
    if (unused || (upstream.entry_lapsed && !in_grace)) {
      expired.push_back(id);
    }
  }
  for (const UpstreamId& id : expired) {
    Retire(upstreams_.at(id), now);
  }
  std::vector<UpstreamEntry> still_listed;
  for (auto departed = departed_.begin(); departed != departed_.end();) {
    const Departed& run = departed->second;
    if (run.listed_at != TimePoint{} && run.listed_at + kDoubtTime <= now) {
      still_listed.push_back(run.listed);
    }
    const bool forgotten = run.listed_at == TimePoint{} && run.at + kDepartedTime <= now;
    departed = forgotten ? departed_.erase(departed) : std::next(departed);
  }
  for (const UpstreamEntry& entry : still_listed) {
    Apply(entry, now);
  }
}

std::vector<UpstreamState*> UpstreamSet::Usable(const std::string& service, TimePoint now) {
  std::vector<UpstreamState*> usable;
  for (auto& [id, upstream] : upstreams_) {
    const bool serving = !upstream.draining && !upstream.removed && upstream.backoff_until <= now;
    if (serving && upstream.entry.service == service &&
        excluded_data_centres_.count(upstream.entry.data_centre) == 0) {
      usable.push_back(&upstream);
    }
  }
  return usable;
}

UpstreamState* UpstreamSet::Find(const UpstreamId& id) {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

UpstreamState* UpstreamSet::FindByTag(std::uint32_t tag) {
  const auto found = tags_.find(tag);
  return found == tags_.end() ? nullptr : Find(found->second);
}

void UpstreamSet::OnConnectFailed(UpstreamState& upstream, Duration cold_start, TimePoint now) {
  const int doublings = std::min(upstream.connect_failures, 4);
  const Duration backoff = std::min<Duration>(kInitialBackoff * (1 << doublings), kMaxBackoff);
  ++upstream.connect_failures;
  upstream.backoff_until = now + backoff;
  upstream.cold_until = std::max(upstream.cold_until, upstream.backoff_until + cold_start);
}

bool IsUnresponsive(const UpstreamState& upstream, TimePoint now) {
  return upstream.unanswered_since != TimePoint{} &&
         upstream.unanswered_since + kUnresponsiveAfter < now &&
         now <= upstream.unanswered_since + kUnresponsiveRetryAfter;
}

void UpstreamSet::OnSent(UpstreamState& upstream, TimePoint now) {
  ++upstream.own_load;
  if (upstream.unanswered_since == TimePoint{} ||
      upstream.unanswered_since + kUnresponsiveRetryAfter < now) {
    upstream.unanswered_since = now;
  }
}

void UpstreamSet::OnBytesReceived(UpstreamState& upstream) {
  upstream.unanswered_since = {};
}

void UpstreamSet::OnAnswer(UpstreamState& upstream, bool failed, TimePoint now) {
  const double rate = FailureRate(upstream, now);
  upstream.failure_rate = rate + kFailureWeight * ((failed ? 1.0 : 0.0) - rate);
  upstream.failure_rate_at = now;
  if (!failed) {
    upstream.connect_failures = 0;
  }
}

void UpstreamSet::OnAddressTaken(UpstreamState& upstream) {
  upstream.draining = true;
}

}  // namespace chiverail
