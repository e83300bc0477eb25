#include "source_choice.h"

#include <algorithm>

namespace chiverail {
namespace {

// Calls per second of the whole fleet while all of its instances try the store.
constexpr double kTurnsPerSecond = 1000;
constexpr Duration kMinTurnSpread = milliseconds(100);

// True if the instance is one of those that read the store for the others.
bool IsReader(const SourceView& view) {
  return view.readers.empty() || view.readers.front() == SourceChoice::kStore;
}

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

Duration SourceChoice::TurnSpread(std::size_t instances) {
  return std::max<Duration>(kMinTurnSpread,
                            Seconds(static_cast<double>(instances) / kTurnsPerSecond));
}

double SourceChoice::RandomShare() {
  random_ = random_ * 6364136223846793005u + 1442695040888963407u;
  return static_cast<double>(random_ >> 40) / static_cast<double>(1u << 24);
}

// A delay that spreads the calls of all instances evenly.
Duration SourceChoice::SpreadOverFleet(std::size_t instances) {
  return Seconds(2 * RandomShare() * static_cast<double>(instances) / kFleetDirectReads);
}

bool SourceChoice::IsRecent(const std::string& source, TimePoint now) const {
  const auto heard = heard_at_.find(source);
  return heard != heard_at_.end() && now < heard->second + kNoticeTimeout;
}

bool SourceChoice::IsUsable(const std::string& source, TimePoint now) const {
  const auto failed = failed_until_.find(source);
  return IsRecent(source, now) && (failed == failed_until_.end() || failed->second <= now);
}

// The preferred instances come first. The others are drawn once and kept, so that the instances of
// a data centre without a reader spread over those that are left.
std::optional<std::string> SourceChoice::RecentInstance(const SourceView& view, TimePoint now) {
  for (const std::string& reader : view.readers) {
    if (IsUsable(reader, now)) {
      return reader;
    }
  }
  if (IsUsable(last_other_, now)) {
    return last_other_;
  }
  std::vector<std::string> others;
  for (const auto& [source, heard] : heard_at_) {
    if (IsUsable(source, now)) {
      others.push_back(source);
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  const auto drawn = static_cast<std::size_t>(RandomShare() * static_cast<double>(others.size()));
  last_other_ = others[drawn];
  return last_other_;
}

// Returns whether the store is due to be tried although nothing is known of it. The first try comes
// after `first_delay`, the next ones at a rate that the whole fleet shares.
bool SourceChoice::TakeDirectTurn(const SourceView& view, Duration first_delay, TimePoint now) {
  if (lost_at_ == TimePoint{}) {
    lost_at_ = now;
    direct_try_at_ = now + first_delay;
  }
  if (now < direct_try_at_) {
    return false;
  }
  const Duration pause =
      std::min<Duration>(kMinDirectRetry * (1 << std::min(direct_tries_++, 4)), kMaxDirectRetry);
  direct_try_at_ = now + std::max(pause, SpreadOverFleet(view.instances));
  return true;
}

bool SourceChoice::ReadsStore(const SourceView& view, TimePoint now) const {
  if (IsReader(view)) {
    return direct_ || StoreHealthy(now);
  }
  const auto usable = [&](const std::string& source) { return IsUsable(source, now); };
  return direct_ && std::none_of(view.readers.begin(), view.readers.end(), usable);
}

std::optional<std::string> SourceChoice::Pick(const SourceView& view, bool listed, TimePoint now) {
  next_try_ = now;
  direct_ = ReadsStore(view, now) && direct_;
  if (ReadsStore(view, now)) {
    had_source_ = true;
    return kStore;
  }
  if (auto recent = RecentInstance(view, now)) {
    lost_at_ = {};
    direct_tries_ = 0;
    return recent;
  }
  // Instances that start together wait for each other: their readers read the first rows just now.
  Duration first_delay =
      std::chrono::duration_cast<Duration>(TurnSpread(view.instances) * view.turn);
  if (!listed && !IsReader(view)) {
    first_delay = kMinStartDelay + SpreadOverFleet(view.instances);
  }
  if (had_source_ && TakeDirectTurn(view, first_delay, now)) {
    return kStore;
  }
  next_try_ = had_source_ ? direct_try_at_ : TimePoint::max();
  if (listed) {
    return std::nullopt;  // an instance that sends no notices has no rows either
  }
  for (const std::string& reader : view.readers) {
    const auto failed = failed_until_.find(reader);
    if (reader == kStore) {
      continue;
    }
    if (failed == failed_until_.end() || failed->second <= now) {
      return reader;
    }
    next_try_ = std::min(next_try_, failed->second);
  }
  return std::nullopt;
}

void SourceChoice::OnNotice(const std::string& source, TimePoint now) {
  had_source_ = true;
  heard_at_[source] = now;
  const auto failed = failed_until_.find(source);
  if (failed != failed_until_.end()) {
    failed->second = std::min(failed->second, now + kHeardRetry);
  }
}

void SourceChoice::Forget(const std::string& source) {
  heard_at_.erase(source);
}

void SourceChoice::OnFailed(const std::string& source, bool silent, TimePoint now) {
  had_source_ = true;
  if (source == kStore) {
    store_failed_at_ = now;
    direct_ = false;
    return;
  }
  failed_until_[source] = now + (silent ? kSilentRetry : kStaleRetry);
  Forget(source);
}

void SourceChoice::OnSucceeded(const std::string& source) {
  had_source_ = true;
  if (source == kStore) {
    store_failed_at_ = {};
    direct_ = true;
  }
  failed_until_.erase(source);
  lost_at_ = {};
  direct_tries_ = 0;
}

bool SourceChoice::StoreHealthy(TimePoint now) const {
  return store_failed_at_ == TimePoint{} || store_failed_at_ + kStoreRecoveryTime < now;
}

}  // namespace chiverail
