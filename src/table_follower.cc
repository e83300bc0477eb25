#include "table_follower.h"

#include <algorithm>
#include <utility>

#include "table_version.h"

namespace chiverail {

std::optional<TableRead> TableFollower::Next(const SourceView& view, TimePoint now) {
  if (reading_ || now < next_at_) {
    return std::nullopt;
  }
  std::optional<std::string> source = std::exchange(next_source_, std::nullopt);
  if (!source || !choice_.IsRecent(*source, now)) {
    source = choice_.Pick(view, listed_, now);
  }
  if (!source) {
    next_at_ = std::max(choice_.NextTry(), now + milliseconds(1));
    return std::nullopt;
  }
  read_.source = *source;
  read_.listing = relist_;
  // Notices replace the hold. After a pause the hold is shorter, so that a silent store is noticed
  // at the same time after the last response.
  read_.hold = choice_.IsRecent(*source, now) ? Duration::zero() : timing_.hold;
  if (after_change_ && read_.hold > timing_.change_pause) {
    read_.hold -= timing_.change_pause;
  }
  trying_store_ = *source == SourceChoice::kStore && !choice_.ReadsStore(view, now);
  if (relist_ || trying_store_) {
    read_.hold = Duration::zero();
  }
  read_.timeout =
      read_.hold + std::min<Duration>(kMinTimeout * (1 << std::min(failures_, 2)), kMaxTimeout);
  reading_ = true;
  ++call_;
  next_at_ = TimePoint::max();
  return read_;
}

void TableFollower::OnFailed(bool silent, TimePoint now) {
  choice_.OnFailed(read_.source, silent, now);
  const bool starting = !listed_ && read_.source != SourceChoice::kStore;
  // A store that stays silent has used up time already: the next source is asked at once.
  const Duration pause = RetryPause(failures_++);
  next_at_ = now + (starting ? kStartRetry : pause);
}

Duration TableFollower::RetryPause(int failures) {
  return failures == 0
             ? Duration::zero()
             : std::min<Duration>(kMinRetry * (1 << std::min(failures - 1, 4)), kMaxRetry);
}

void TableFollower::OnRead(ReadResult result, std::uint64_t version, bool changed, TimePoint now) {
  reading_ = false;
  switch (result) {
    case ReadResult::kRefused:
    case ReadResult::kSilent:
      relist_ = relist_ || !listed_;
      OnFailed(result == ReadResult::kSilent, now);
      return;
    case ReadResult::kHistoryGone:
      relist_ = true;
      next_at_ = now + RetryPause(history_lost_++);
      return;
    case ReadResult::kMorePages:
      choice_.OnSucceeded(read_.source);
      next_at_ = now;
      return;
    case ReadResult::kRows:
      break;
  }
  choice_.OnSucceeded(read_.source);
  last_good_source_ = read_.source;
  failures_ = 0;
  history_lost_ = read_.listing ? history_lost_ : 0;
  listed_ = true;
  relist_ = false;
  version_ = std::max(version_, version);
  newer_since_ = {};
  const bool follows_notices = choice_.IsRecent(read_.source, now);
  after_change_ = changed && !follows_notices && timing_.change_pause > timing_.pause;
  next_at_ = now + (follows_notices ? SourceChoice::kNoticeTimeout
                    : after_change_ ? timing_.change_pause
                                    : timing_.pause);
}

bool TableFollower::OnNotice(const std::string& source,
                             TableNotice notice,
                             const SourceView& view,
                             TimePoint now) {
  if (!notice.has_era) {
    notice.version = VersionIn(EraOf(version_), notice.version);
  }
  // What was known before the store was restored confirms nothing, and nothing can be read from an
  // instance that knows no more.
  if (notice.age > timing_.max_age || EraOf(notice.version) < EraOf(version_)) {
    return false;
  }
  noticed_version_ = std::max(noticed_version_, notice.version);
  choice_.OnNotice(source, now);
  if (!listed_) {
    return false;
  }
  if (reading_) {
    PassOverStore(source, notice, now);
    return false;
  }
  if (failures_ == 0 && choice_.ReadsStore(view, now)) {
    return false;
  }
  if (notice.version <= version_) {
    if (!notice.dated) {
      return false;
    }
    last_good_source_ = source;
    failures_ = 0;
    next_at_ = now + SourceChoice::kNoticeTimeout;
    return true;
  }
  newer_since_ = newer_since_ == TimePoint{} ? now : newer_since_;
  const bool usual = choice_.RecentInstance(view, now) == source;
  if (usual || failures_ > 0 || newer_since_ + kOtherSourceDelay <= now) {
    next_source_ = source;
    next_at_ = now;
  }
  return false;
}

// The store answers a call as soon as there are changes. If another instance has had some for a
// while, the store does not answer this one.
void TableFollower::PassOverStore(const std::string& source,
                                  const TableNotice& notice,
                                  TimePoint now) {
  if (read_.source != SourceChoice::kStore || notice.version <= version_) {
    return;
  }
  newer_since_ = newer_since_ == TimePoint{} ? now : newer_since_;
  if (!trying_store_ && now < newer_since_ + kOtherSourceDelay) {
    return;
  }
  if (!trying_store_) {
    choice_.OnFailed(SourceChoice::kStore, true, now);
    ++failures_;
  }
  reading_ = false;
  next_source_ = source;
  next_at_ = now;
}

void TableFollower::OnSourceLost(const std::string& source, TimePoint now) {
  if (!choice_.IsRecent(source, now)) {
    return;
  }
  choice_.Forget(source);
  if (source == read_.source && listed_) {
    reading_ = false;
    next_at_ = now;
  }
}

void TableFollower::OnRosterChange(const SourceView& view, TimePoint now) {
  if (listed_ && !reading_ && read_.source != SourceChoice::kStore &&
      choice_.ReadsStore(view, now)) {
    next_at_ = now;
  }
}

std::vector<std::pair<std::string, Duration>> WaitsOfChange(const ReadTiming& timing,
                                                            std::size_t instances,
                                                            const ExchangeTiming& exchange) {
  // A message that is lost is followed by the next one.
  const Duration message = exchange.direct ? exchange.forward : exchange.MaxAge();
  return {
      {"pause before the reader's call", timing.pause},
      {"hold of the call", timing.hold},
      {"timeout of the call", TableFollower::kMinTimeout},
      {"loss of the store reaches the others", message},
      {"turns of the others at the store", SourceChoice::TurnSpread(instances)},
      {"notice of the new rows", message},
      {"read of the new rows", milliseconds(100)},
  };
}

}  // namespace chiverail
