#ifndef CHIVERAIL_SLOT_SEARCH_H_
#define CHIVERAIL_SLOT_SEARCH_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "fleet_view.h"
#include "peer_messages.h"
#include "placement.h"
#include "types.h"

namespace chiverail {

// A request sends slot requests to at most this many owners on other instances before it is
// enqueued: each costs about 400 bytes of control traffic and a round trip.
inline constexpr int kMaxRemoteRequests = 2;

// Number of owners that are asked to enqueue a request, one after the other.
inline constexpr int kMaxEnqueueAttempts = 3;

// Timeout for an owner's answer, in addition to the queue wait that it may spend; then the next
// candidate is tried. Data centres of a region are 0.5 ms apart.
inline constexpr Duration kSlotRequestTimeout = milliseconds(100);

// A queued request is refused this long before its deadline, so that the refusal reaches the caller
// in time.
inline constexpr Duration kRefusalMargin = milliseconds(20);

// Longest queue wait by request class, regardless of the deadline: a person who has waited longer
// has usually left, and a refusal is more useful to the caller.
inline constexpr Duration kMaxInteractiveWait = seconds(5);
inline constexpr Duration kMaxReportWait = seconds(30);
inline constexpr Duration kMaxTaggingWait = seconds(60);

// Send a slot request to the admission owner of an engine; the owner may be this instance.
struct SendSlotRequest {
  SlotRequest request;
  InstanceId owner;
};

// A slot has been granted; send the request to this engine.
struct SlotFound {
  UpstreamId engine;
  std::uint32_t attempt = 0;
  std::uint32_t cached_turn = 0;  // last turn of the chat expected in the engine's cache
};

// No slot was granted; the request has not run.
struct SlotDenied {
  RequestError error;
};

// Release a slot that was, or may have been, granted too late.
struct ReleaseSlot {
  SlotRelease release;
  InstanceId owner;
};

using SlotSearchAction = std::variant<SendSlotRequest, SlotFound, SlotDenied, ReleaseSlot>;
using SlotSearchActions = std::vector<SlotSearchAction>;

// Finds a slot for one request. Slot requests are sent to the owners of the candidates one after
// the other, in the order of placement, each with the candidate's max_slot_wait and with a bound on
// remote slot requests. If none has a free slot, the request is enqueued at the first candidate
// that has an owner.
class SlotSearch {
 public:
  // `first_attempt` is the first attempt number to use. Each slot request has its own number, so
  // that late answers can be distinguished from current ones.
  SlotSearch(InstanceId self,
             std::shared_ptr<const FleetView> view,
             ChatRequest request,
             CandidateList candidates,
             std::uint32_t first_attempt);

  SlotSearchActions Start(TimePoint now);
  SlotSearchActions OnAnswer(const SlotAnswer& answer, TimePoint now);
  SlotSearchActions Tick(TimePoint now);

  // Time at which Tick must be called; nullopt when the search has ended.
  std::optional<TimePoint> NextDeadline() const;

  bool finished() const { return finished_; }
  std::uint32_t next_attempt() const { return next_attempt_; }
  const ChatRequest& request() const { return request_; }

 private:
  SlotSearchActions RequestNext(TimePoint now);
  SlotSearchActions Enqueue(TimePoint now);
  SlotSearchActions SendRequest(std::size_t position,
                                SlotClaim claim,
                                Duration wait,
                                TimePoint now);
  SlotSearchActions Deny(ErrorCode code, const std::string& message);
  const Member* OwnerOf(std::size_t position) const;
  const EngineEntry& EngineOf(std::size_t position) const;

  InstanceId self_;
  std::shared_ptr<const FleetView> view_;
  ChatRequest request_;
  CandidateList candidates_;
  std::uint32_t next_attempt_;
  std::size_t position_ = 0;  // next candidate to try
  int remote_requests_ = 0;
  std::optional<SlotRequest> pending_;  // slot request without an answer yet
  std::size_t pending_position_ = 0;
  TimePoint pending_until_{};
  std::size_t enqueue_position_ = 0;  // next candidate at which to enqueue
  int enqueue_attempts_ = 0;          // owners asked to enqueue the request
  std::uint32_t unresponsive_ = 0;    // bit n is set when the owner of candidate n did not answer
  bool finished_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SLOT_SEARCH_H_
