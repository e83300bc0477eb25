#include "place_queue.h"

#include <algorithm>

namespace chiverail {
namespace {

// Share of the objective for which a request may wait. What is left must suffice for the answer, or
// for the caller to try elsewhere.
constexpr int kWaitShare = 8;

// Earliest return of a refused caller: about one period of the digests by which instances learn of
// free places.
constexpr Duration kLeastReturn = milliseconds(100);

// Returns are spread over this span, or over the expected wait if that is longer.
constexpr Duration kLeastSpread = milliseconds(300);

// Longest time to return; callers give up on requests that have to wait longer.
constexpr Duration kLongestReturn = seconds(3);

// Refusals that follow each other within this time belong to one shortage.
constexpr Duration kShortageGap = milliseconds(500);

// All workspaces have the same share of the places.
constexpr double kShare = 1.0;

}  // namespace

JoinOutcome PlaceQueue::Join(const PlaceAsk& ask, TimePoint now) {
  const Duration longest = ask.objective / kWaitShare;
  const TimePoint latest = ask.received + longest;
  if (latest <= now) {
    return JoinOutcome::kWaitedTooLong;
  }
  const bool new_shortage = full_since_ == TimePoint{} || full_seen_at_ + longest < now;
  full_since_ = new_shortage ? now : full_since_;
  full_seen_at_ = now;
  if (full_since_ + longest < now) {
    return JoinOutcome::kNoPlacesFree;
  }
  QueuedAsk queued;
  queued.key = ask.key;
  queued.workspace = ask.workspace;
  queued.request_class = ask.request_class;
  queued.deadline = latest;
  queued.queued = now;
  return queue_.Push(std::move(queued), kShare, now) ? JoinOutcome::kWaits
                                                     : JoinOutcome::kTurnTooLate;
}

std::optional<SlotKey> PlaceQueue::Next(TimePoint now) {
  auto next = queue_.Pop(now);
  return next ? std::make_optional(std::move(next->key)) : std::nullopt;
}

std::vector<SlotKey> PlaceQueue::TakeExpired(TimePoint now) {
  std::vector<SlotKey> keys;
  for (QueuedAsk& ask : queue_.TakeExpired(now)) {
    keys.push_back(std::move(ask.key));
  }
  return keys;
}

void PlaceQueue::OnRefused(TimePoint now) {
  if (refused_at_ + kShortageGap <= now) {
    shortage_since_ = now;
  }
  refused_at_ = now;
}

Duration PlaceQueue::ReturnAfter(std::uint64_t random, TimePoint now) const {
  Duration wait = queue_.SlotInterval() * static_cast<std::int64_t>(queue_.size());
  if (refused_at_ + kShortageGap > now) {
    // How long a shortage has lasted is the best guess of how long it still will.
    wait = std::max<Duration>(wait, now - shortage_since_);
  }
  const auto spread_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::max(wait, kLeastSpread)).count());
  const Duration spread = milliseconds(random % spread_ms);
  return std::min(std::max(wait, kLeastReturn) + spread, kLongestReturn);
}

RequestClass WaitingClass(int priority, bool workspace_ranks_behind) {
  if (workspace_ranks_behind || priority >= 2) {
    return RequestClass::kTagging;
  }
  return priority == 1 ? RequestClass::kReport : RequestClass::kInteractive;
}

}  // namespace chiverail
