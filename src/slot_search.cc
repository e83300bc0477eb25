#include "slot_search.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

Duration MaxQueueWait(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kInteractive:
      return kMaxInteractiveWait;
    case RequestClass::kReport:
      return kMaxReportWait;
    case RequestClass::kTagging:
      return kMaxTaggingWait;
  }
  return kMaxInteractiveWait;
}

}  // namespace

SlotSearch::SlotSearch(InstanceId self,
                       std::shared_ptr<const FleetView> view,
                       ChatRequest request,
                       CandidateList candidates,
                       std::uint32_t first_attempt)
    : self_(std::move(self)),
      view_(std::move(view)),
      request_(std::move(request)),
      candidates_(candidates),
      next_attempt_(first_attempt) {}

SlotSearchActions SlotSearch::Start(TimePoint now) {
  if (candidates_.empty()) {
    return Deny(ErrorCode::kNoUpstream, "no engine serves model " + request_.model);
  }
  return RequestNext(now);
}

const EngineEntry& SlotSearch::EngineOf(std::size_t position) const {
  return view_->engines()[candidates_[position].engine];
}

const Member* SlotSearch::OwnerOf(std::size_t position) const {
  return view_->AdmissionOwner(EngineOf(position));
}

// Sends a slot request to the owner of the next candidate. Skips candidates without an owner and,
// once kMaxRemoteRequests is reached, those with a remote owner. When no candidate is left,
// enqueues the request.
SlotSearchActions SlotSearch::RequestNext(TimePoint now) {
  while (position_ < candidates_.size()) {
    const std::size_t position = position_++;
    const Member* owner = OwnerOf(position);
    if (owner == nullptr) {
      continue;
    }
    const bool remote = owner->id != self_;
    if (remote && remote_requests_ >= kMaxRemoteRequests) {
      continue;
    }
    remote_requests_ += remote ? 1 : 0;
    const SlotClaim claim =
        candidates_[position].cached_turn > 0 ? SlotClaim::kCached : SlotClaim::kUncached;
    return SendRequest(position, claim, candidates_[position].max_slot_wait, now);
  }
  return Enqueue(now);
}

// The first candidate with an owner is the one that most likely has the chat's prefix cached, so
// waiting there costs less than recomputing the prefix elsewhere. An owner that has not answered is
// skipped, and after one that refuses to enqueue the request the next one is tried.
SlotSearchActions SlotSearch::Enqueue(TimePoint now) {
  const Duration wait =
      std::min(request_.deadline - now - kRefusalMargin, MaxQueueWait(request_.request_class));
  if (wait <= Duration::zero()) {
    return Deny(ErrorCode::kNoCapacity, "no engine had a free slot before the deadline");
  }
  while (enqueue_position_ < candidates_.size() && enqueue_attempts_ < kMaxEnqueueAttempts) {
    const std::size_t position = enqueue_position_++;
    if (OwnerOf(position) != nullptr && (unresponsive_ & (1U << position)) == 0) {
      ++enqueue_attempts_;
      return SendRequest(position, SlotClaim::kLastResort, wait, now);
    }
  }
  return enqueue_attempts_ > 0
             ? Deny(ErrorCode::kNoCapacity, "no engine had a free slot before the deadline")
             : Deny(ErrorCode::kNoUpstream,
                    "no owner of an engine of model " + request_.model + " answers");
}

SlotSearchActions SlotSearch::SendRequest(std::size_t position,
                                          SlotClaim claim,
                                          Duration wait,
                                          TimePoint now) {
  const EngineEntry& engine = EngineOf(position);
  SlotRequest slot_request;
  slot_request.request = request_.request;
  slot_request.attempt = next_attempt_++;
  slot_request.holder = self_;
  slot_request.engine = engine.upstream->id;
  slot_request.workspace = request_.workspace;
  slot_request.request_class = request_.request_class;
  slot_request.wait_ms =
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(wait).count());
  slot_request.claim = claim;
  slot_request.epoch = view_->Epoch(engine.upstream->data_centre);
  pending_ = slot_request;
  pending_position_ = position;
  pending_until_ = now + wait + kSlotRequestTimeout;
  return {SendSlotRequest{slot_request, OwnerOf(position)->id}};
}

SlotSearchActions SlotSearch::OnAnswer(const SlotAnswer& answer, TimePoint now) {
  const bool current = pending_ && !finished_ && answer.attempt == pending_->attempt &&
                       answer.engine == pending_->engine;
  if (!current) {
    if (!answer.granted) {
      return {};
    }
    const EngineEntry* engine = view_->FindEngine(answer.engine);
    const Member* owner = engine == nullptr ? nullptr : view_->AdmissionOwner(*engine);
    if (owner == nullptr) {
      return {};
    }
    return {
        ReleaseSlot{{answer.request, answer.attempt, self_, answer.engine, false, 0}, owner->id}};
  }
  pending_.reset();
  if (!answer.granted) {
    return enqueue_attempts_ > 0 ? Enqueue(now) : RequestNext(now);
  }
  finished_ = true;
  return {SlotFound{answer.engine, answer.attempt, candidates_[pending_position_].cached_turn}};
}

SlotSearchActions SlotSearch::Tick(TimePoint now) {
  if (finished_ || !pending_ || now < pending_until_) {
    return {};
  }
  // The owner may have granted the slot and its answer may have been lost, so the slot is released
  // in any case.
  const InstanceId owner = OwnerOf(pending_position_)->id;
  SlotSearchActions actions = {ReleaseSlot{
      {pending_->request, pending_->attempt, self_, pending_->engine, false, 0}, owner}};
  pending_.reset();
  unresponsive_ |= 1U << pending_position_;
  SlotSearchActions next = enqueue_attempts_ > 0 ? Enqueue(now) : RequestNext(now);
  actions.insert(actions.end(), next.begin(), next.end());
  return actions;
}

std::optional<TimePoint> SlotSearch::NextDeadline() const {
  if (finished_ || !pending_) {
    return std::nullopt;
  }
  return pending_until_;
}

SlotSearchActions SlotSearch::Deny(ErrorCode code, const std::string& message) {
  finished_ = true;
  return {SlotDenied{{code, message, Ran::kNo}}};
}

}  // namespace chiverail
