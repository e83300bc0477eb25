#ifndef CHIVERAIL_SLOT_QUEUE_H_
#define CHIVERAIL_SLOT_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fair_queue.h"
#include "types.h"

namespace chiverail {

// A request for which no upstream of its service had a free slot.
struct PendingRequest {
  SlotKey key;
  WorkspaceId workspace;
  RequestClass request_class = RequestClass::kInteractive;
  TimePoint received{};  // when its first byte was read
  Duration objective{};  // target time to the response, or to the first event of a stream
};

// Result of adding a request to the queue.
enum class EnqueueResult : std::uint8_t { kQueued, kWaitedTooLong, kQueueTooLong, kNoSlotFreed };
inline constexpr std::array<EnumName<EnqueueResult>, 4> kEnqueueResultNames{{
    {EnqueueResult::kQueued, "waits"},
    {EnqueueResult::kWaitedTooLong, "waited_too_long"},
    {EnqueueResult::kQueueTooLong, "turn_too_late"},
    {EnqueueResult::kNoSlotFreed, "no_places_free"},
}};

// Queue of the requests of one service that wait at this instance for a slot at an upstream. It
// handles the following kinds of overload:
//   - A burst from all callers: a request waits for at most a fraction of its objective. One that
//     would be served later is refused at once, while its caller still has time to retry.
//   - Lost capacity: if no slot has become free for that long, no more requests are queued.
//   - A flood from one workspace: workspaces are served in turn, so the others wait no longer.
//   - A flood of less urgent work: classes are served by priority, with a minimum rate for each so
//     that none starves.
//   - Refused callers that retry immediately: the retry delay grows with the queue and differs
//     between callers.
// Requests have equal cost whatever their size, so that large ones are not served later than small
// ones.
class SlotQueue {
 public:
  // Adds a request that found no free slot, unless it has to be refused.
  EnqueueResult Enqueue(const PendingRequest& request, TimePoint now);

  // Removes and returns the request that gets the slot that has become free.
  std::optional<SlotKey> Dequeue(TimePoint now);

  // Records that a request found a free slot, with or without waiting.
  void OnSlotFound() { no_slot_since_ = {}; }

  // Removes a request that was answered in another way or whose caller has disconnected.
  void Remove(const SlotKey& key) { queue_.Remove(key); }

  // Removes and returns the requests that have reached their maximum wait.
  std::vector<SlotKey> TakeExpired(TimePoint now);

  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }

  // Records that a request was refused because no slot was free.
  void OnRefused(TimePoint now);

  // Returns the time after which a refused caller should retry: until the requests queued now have
  // been served and the shortage is expected to be over, plus a random delay that spreads the
  // retries. `random` is any number.
  Duration RetryDelay(std::uint64_t random, TimePoint now) const;

 private:
  FairQueue queue_;
  TimePoint no_slot_since_{};  // no request has found a free slot since; zero if the last one did
  TimePoint shortage_since_{};
  TimePoint last_refused_at_{};  // last refusal for lack of a free slot
  TimePoint last_no_slot_at_{};  // last time a request found no free slot
};

// Returns the class in which a request is queued. `priority` is the configured priority of its
// route relative to the most urgent route of the service, which has 0. Requests of low-priority
// workspaces are always in the last class.
RequestClass QueueClass(int priority, bool low_priority_workspace);

}  // namespace chiverail

#endif  // CHIVERAIL_SLOT_QUEUE_H_
