#include "upstream_set.h"

#include <algorithm>
#include <cmath>

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

bool UpstreamSet::IsSettled(TimePoint now) const {
  return read_since_ != TimePoint{} && read_since_ + kReregistrationGrace <= now &&
         !InReregistrationGrace(now);
}

EntryStanding UpstreamSet::Apply(const UpstreamEntry& entry, TimePoint now) {
  return Judge(entry, IsSettled(now) ? RunHistory::Source::kChange : RunHistory::Source::kListing,
               now);
}

EntryStanding UpstreamSet::Judge(const UpstreamEntry& entry,
                                 RunHistory::Source source,
                                 TimePoint now) {
  const EntryStanding standing = runs_.Judge(entry, source, now);
  if (standing == EntryStanding::kOld && runs_.RestoredLately(now)) {
    if (const auto listed = upstreams_.find(entry.id); listed != upstreams_.end()) {
      listed->second.entry_lapsed = false;
    }
  }
  if (standing != EntryStanding::kCurrent) {
    return standing;
  }
  const auto [position, added] = upstreams_.try_emplace(entry.id);
  UpstreamState& upstream = position->second;
  const bool restarted = !added && entry.started_ms != upstream.entry.started_ms;
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
  upstream.draining = upstream.draining || runs_.IsDraining(entry.id);
  upstream.removed = false;
  upstream.entry_lapsed = false;
  upstream.entry = entry;
  return standing;
}

bool UpstreamSet::InReregistrationGrace(TimePoint now) const {
  return list_recovered_at_ != TimePoint{} && now < list_recovered_at_ + kReregistrationGrace;
}

void UpstreamSet::Remove(const UpstreamId& id, TimePoint now, std::optional<Duration> silence) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    runs_.OnRemoved(id, silence, now);
  } else if (InReregistrationGrace(now)) {
    runs_.OnNotListed(id);
    found->second.entry_lapsed = true;
  } else {
    Retire(found->second, silence, now);
  }
}

// An upstream with requests in progress is kept until they end, but gets no new ones.
void UpstreamSet::Retire(UpstreamState& upstream, std::optional<Duration> silence, TimePoint now) {
  runs_.OnRemoved(upstream.entry.id, silence, now);
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
    Judge(entry, RunHistory::Source::kListing, now);
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : runs_.Doubtful()) {
    if (listed.count(id) == 0) {
      runs_.OnNotListed(id);
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
  if (list_as_of_ == TimePoint{} || as_of > list_as_of_ + kListOutageThreshold) {
    read_since_ = now;
    runs_.OnReadAfterGap(now);
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
    UpstreamState& upstream = upstreams_.at(id);
    const bool lapsed = upstream.entry_lapsed && !upstream.removed;
    Retire(upstream, lapsed ? std::optional<Duration>(RunHistory::kLapseTime) : std::nullopt, now);
  }
  for (const UpstreamEntry& entry : runs_.Update(now)) {
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
