#ifndef CHIVERAIL_PLACE_QUEUE_H_
#define CHIVERAIL_PLACE_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fair_queue.h"
#include "types.h"

namespace chiverail {

// A request that found all upstreams of its service full.
struct PlaceAsk {
  SlotKey key;
  WorkspaceId workspace;
  RequestClass request_class = RequestClass::kInteractive;
  TimePoint received{};  // when its first byte was read
  Duration objective{};  // time within which its caller wants the answer or the first event
};

// Whether a request may wait for a place.
enum class JoinOutcome : std::uint8_t { kWaits, kWaitedTooLong, kTurnTooLate, kNoPlacesFree };
inline constexpr std::array<EnumName<JoinOutcome>, 4> kJoinOutcomeNames{{
    {JoinOutcome::kWaits, "waits"},
    {JoinOutcome::kWaitedTooLong, "waited_too_long"},
    {JoinOutcome::kTurnTooLate, "turn_too_late"},
    {JoinOutcome::kNoPlacesFree, "no_places_free"},
}};

// The requests of one service that wait at this instance for a place at an upstream. It answers
// these loads:
//   - a burst of all callers: a request waits for a share of its objective at most, and one whose
//     turn would come later is refused at once, while its caller still has time to return;
//   - lost capacity: when no place has come free for that long, nothing more is let in;
//   - one workspace that floods: workspaces take turns, so the others wait no longer for it;
//   - a flood of less urgent work: classes are served in order, with a turn for each so that none
//     starves;
//   - refused callers that come back at once: the time to return grows with the queue and differs
//     between callers.
// Requests count alike whatever their size, so that large ones get their turn like small ones.
class PlaceQueue {
 public:
  // Adds a request that found no place, unless it should be refused.
  JoinOutcome Join(const PlaceAsk& ask, TimePoint now);

  // Removes and returns the request that is to have the place that has come free.
  std::optional<SlotKey> Next(TimePoint now);

  // A request found a place, with or without waiting.
  void OnPlaced() { full_since_ = {}; }

  // Removes a request that was answered otherwise or whose caller has left.
  void Leave(const SlotKey& key) { queue_.Remove(key); }

  // Removes and returns the requests that have waited for as long as they may.
  std::vector<SlotKey> TakeExpired(TimePoint now);

  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }

  // A request is refused for want of a place.
  void OnRefused(TimePoint now);

  // Time after which a refused caller should come back: when the requests that wait now will have
  // had their turn and the shortage is expected to be over, plus a random time that keeps returning
  // callers apart. `random` is any number.
  Duration ReturnAfter(std::uint64_t random, TimePoint now) const;

 private:
  FairQueue queue_;
  TimePoint full_since_{};  // no request has found a place since then; zero when one has
  TimePoint shortage_since_{};
  TimePoint refused_at_{};    // last refusal for want of a place
  TimePoint full_seen_at_{};  // when a request found no place last
};

// Class in which a request waits. `priority` is the operators' rank of its route, 0 for the most
// urgent of its service; work of a workspace that ranks behind others goes last.
RequestClass WaitingClass(int priority, bool workspace_ranks_behind);

}  // namespace chiverail

#endif  // CHIVERAIL_PLACE_QUEUE_H_
