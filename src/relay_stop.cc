// Relay and RelayCall: what becomes of the requests of an instance that stops.

#include <utility>

#include "relay_call.h"

namespace chiverail {
namespace {

// Other instances that a refusal names.
constexpr std::size_t kMaxInstancesNamed = 3;

constexpr const char* kStops = "this instance stops";

}  // namespace

void Relay::AddCall(const std::shared_ptr<RelayCall>& call) {
  calls_[call.get()] = call;
}

void Relay::RemoveCall(const RelayCall* call) {
  calls_.erase(call);
}

void Relay::ForEachCall(const std::function<void(RelayCall&)>& act) {
  std::vector<std::shared_ptr<RelayCall>> calls;  // calls that end remove themselves
  for (const auto& [key, weak] : calls_) {
    if (auto call = weak.lock()) {
      calls.push_back(std::move(call));
    }
  }
  for (const auto& call : calls) {
    act(*call);
  }
}

void Relay::BeginStop(TimePoint accept_until, TimePoint deadline, TimePoint now) {
  // Answers that are still running say how long those of their routes may take.
  ForEachCall([&](const RelayCall& call) { call.RecordTime(now); });
  stop_plan_.Begin(accept_until, deadline);
  stop_began_at_ = now;
  RefuseWaiting(now);
  ForEachCall([](RelayCall& call) { call.ReadOn(); });
}

void Relay::RefuseWaiting(TimePoint now) {
  ForEachCall([now](RelayCall& call) { call.RefuseIfStopping(now); });
}

bool Relay::RefuseEarly(const std::shared_ptr<CallerConnection>& caller,
                        const MessageHead& head,
                        TimePoint received) {
  return stop_plan_.stopping() &&
         std::make_shared<RelayCall>(*this, caller, CallerRequest{head, {}, received})
             ->RefuseEarly();
}

bool Relay::TryReadAhead(std::size_t bytes) {
  if (!stop_plan_.stopping() || read_ahead_bytes_ + bytes > kMaxReadAheadBytes) {
    return false;
  }
  read_ahead_bytes_ += bytes;
  return true;
}

std::size_t Relay::EndCalls() {
  const std::size_t count = calls_.size();
  ForEachCall([](RelayCall& call) { call.EndAtStop(); });
  return count;
}

std::string Relay::OtherInstances() const {
  std::string names;
  std::size_t count = 0;
  for (const DirectoryEntry& entry : fleet_.roster().CallerEntries()) {
    if (entry.instance != fleet_.roster().self().instance && count++ < kMaxInstancesNamed) {
      names.append(names.empty() ? "" : ", ").append(entry.address);
    }
  }
  return names;
}

void RelayCall::RecordTime(TimePoint now) const {
  relay_.stop_plan().OnAnswered(route_->name, now - request_.received, now);
}

bool RelayCall::StopAllows(TimePoint now) const {
  if (caller_->response_started()) {
    return relay_.stop_plan().MayGoOn(route_->name, deadline_, now);
  }
  // A stream is as long as its caller wants, and has begun when it is cut.
  const bool repeatable = route_->kind == WorkKind::kIdempotent;
  return relay_.stop_plan().MayPassOn(route_->name, repeatable, deadline_, now);
}

bool RelayCall::PassesStop(TimePoint now) {
  if (StopAllows(now)) {
    return true;
  }
  last_error_ = kStops;
  if (may_have_run_ || caller_->response_started()) {
    RespondWithFailure(AttemptFailure::kBroken);
    return false;
  }
  const std::string others = relay_.OtherInstances();
  Refuse(503, others.empty() ? kStops : std::string(kStops) + ": use " + others, kRetryElsewhere);
  return false;
}

void RelayCall::RefuseIfStopping(TimePoint now) {
  if (phase_ == Phase::kPlacing) {
    PassesStop(now);
  }
}

// What the relay would refuse for another reason waits until it is whole.
bool RelayCall::RefuseEarly() {
  id_ = std::string(request_.head.Field(relay_.names().request_id));
  route_ = table_ ? table_->Match(request_.head.Field("Host"), request_.head.target) : nullptr;
  if (route_ == nullptr || route_->targets.empty() || id_.empty()) {
    return false;
  }
  ReadDeadline();
  return !PassesStop(BootTimeNow());
}

void RelayCall::ReadOn() {
  if (connection_) {
    connection_->ResumeReading();
  }
}

// The caller keeps what it has received of its answer: without a reset, the connection delivers
// what was written, and the framing shows that the rest is missing.
void RelayCall::EndAtStop() {
  if (phase_ == Phase::kDone) {
    return;
  }
  last_error_ = kStops;
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
    may_have_run_ = true;
    ReleaseUpstream(false);
  }
  if (caller_->response_started()) {
    unsent_bytes_ = caller_->unsent();
    caller_->EndIncomplete();
    Finish("cut", 0);
    return;
  }
  Refuse(FailureStatus(AttemptFailure::kTimeout, may_have_run_), kStops,
         may_have_run_ ? Duration::zero() : kRetryElsewhere);
}

}  // namespace chiverail
