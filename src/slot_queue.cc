#include "slot_queue.h"

#include <algorithm>

namespace chiverail {
namespace {

// The maximum wait of a request is its target response time (PendingRequest::objective) divided by
// this. The rest of the time must suffice for the response, or for the caller to try another
// instance.
constexpr int kMaxWaitDivisor = 8;

// Minimum retry delay of a refused caller: about one period of the digests through which instances
// learn of free slots.
constexpr Duration kMinRetryAfter = milliseconds(100);

// Retry delays are spread over this span, or over the expected wait if that is longer.
constexpr Duration kMinRetrySpread = milliseconds(300);

// Maximum retry delay; callers abandon requests that would have to wait longer.
constexpr Duration kMaxRetryAfter = seconds(3);

// Refusals less than this apart belong to the same shortage.
constexpr Duration kShortageGap = milliseconds(500);

// All workspaces have the same share of the slots.
constexpr double kEqualShare = 1.0;

}  // namespace

EnqueueResult SlotQueue::Enqueue(const PendingRequest& request, TimePoint now) {
  const Duration max_wait = request.objective / kMaxWaitDivisor;
  const TimePoint deadline = request.received + max_wait;
  if (deadline <= now) {
    return EnqueueResult::kWaitedTooLong;
  }
  const bool first_without_slot =
      no_slot_since_ == TimePoint{} || last_no_slot_at_ + max_wait < now;
  no_slot_since_ = first_without_slot ? now : no_slot_since_;
  last_no_slot_at_ = now;
  if (no_slot_since_ + max_wait < now) {
    return EnqueueResult::kNoSlotFreed;
  }
  QueuedRequest queued;
  queued.key = request.key;
  queued.workspace = request.workspace;
  queued.request_class = request.request_class;
  queued.deadline = deadline;
  queued.queued_at = now;
  return queue_.Push(std::move(queued), kEqualShare, now) ? EnqueueResult::kQueued
                                                          : EnqueueResult::kQueueTooLong;
}

std::optional<SlotKey> SlotQueue::Dequeue(TimePoint now) {
  auto next = queue_.Pop(now);
  return next ? std::make_optional(std::move(next->key)) : std::nullopt;
}

std::vector<SlotKey> SlotQueue::TakeExpired(TimePoint now) {
  std::vector<SlotKey> keys;
  for (QueuedRequest& queued : queue_.TakeExpired(now)) {
    keys.push_back(std::move(queued.key));
  }
  return keys;
}

void SlotQueue::OnRefused(TimePoint now) {
  if (last_refused_at_ + kShortageGap <= now) {
    shortage_since_ = now;
  }
  last_refused_at_ = now;
}

Duration SlotQueue::RetryDelay(std::uint64_t random, TimePoint now) const {
  Duration wait = queue_.SlotInterval() * static_cast<std::int64_t>(queue_.size());
  if (last_refused_at_ + kShortageGap > now) {
    // The best estimate of the remaining duration of a shortage is its duration so far.
    wait = std::max<Duration>(wait, now - shortage_since_);
  }
  const auto spread_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::max(wait, kMinRetrySpread)).count());
  const Duration spread = milliseconds(random % spread_ms);
  return std::min(std::max(wait, kMinRetryAfter) + spread, kMaxRetryAfter);
}

RequestClass QueueClass(int priority, bool low_priority_workspace) {
  if (low_priority_workspace || priority >= 2) {
    return RequestClass::kTagging;
  }
  return priority == 1 ? RequestClass::kReport : RequestClass::kInteractive;
}

}  // namespace chiverail
