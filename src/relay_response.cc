// RelayCall: handling of the upstream's response and of failures.

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {
namespace {

// Non-stream responses up to this size are buffered until they are complete, so that a truncated
// one can still be replaced by a retry at another upstream.
constexpr std::size_t kMaxBufferedResponse = 64 * 1024;

// Limit for one event of a stream. Events of engines have a few hundred bytes.
constexpr std::size_t kMaxEventBytes = 256 * 1024;

// An answer that goes on for this long after its begin shows that its prompt does not end
// upstreams.
constexpr Duration kSoundAfter = milliseconds(300);

// Reading from the upstream pauses once more than this many bytes for the caller are unsent.
constexpr std::size_t kMaxUnsentBytes = 128 * 1024;

// The same while this instance stops, as long as Relay::TryReadAhead() allows it.
constexpr std::size_t kMaxUnsentAtStop = 4 << 20;

// Connections that are tried to an upstream after an answer without a length. A lost packet leaves
// one without a result.
constexpr int kEndChecks = 2;

std::vector<HttpHeader> ResponseFields(const MessageHead& head) {
  const std::string_view connection = head.Field("Connection");
  std::vector<HttpHeader> fields;
  for (const HttpHeader& field : head.fields) {
    if (!IsHopByHopField(field.first, connection)) {
      fields.push_back(field);
    }
  }
  return fields;
}

}  // namespace

void RelayCall::OnEvent(ResponseEvent event) {
  const auto self = shared_from_this();
  struct Visitor {
    RelayCall& call;
    void operator()(ResponseHead& head) { call.OnHead(std::move(head)); }
    void operator()(ResponseBody& body) { call.OnBody(std::move(body)); }
    void operator()(ResponseEnd&) { call.OnEnd(); }
    void operator()(ExchangeError& error) {
      call.FailAttempt(error.sent ? AttemptFailure::kBroken : AttemptFailure::kNotConnected,
                       error.reason);
    }
  };
  std::visit(Visitor{*this}, event);
}

void RelayCall::OnHead(ResponseHead response) {
  heard_at_ = BootTimeNow();
  if (UpstreamState* upstream = relay_.upstreams().Find(upstream_id_)) {
    relay_.upstreams().OnBytesReceived(*upstream);
  }
  const HeaderNames& names = relay_.names();
  const bool declined = !response.head.Field(names.not_run).empty();
  const bool wrong_upstream = response.head.status == 421;
  if ((declined || wrong_upstream) && connection_->used() &&
      response.head.Field(names.request_id).empty()) {
    // It may be a second copy of an earlier refusal, and the request may run.
    FailAttempt(AttemptFailure::kBroken, "a refusal without the id of the request");
    return;
  }
  const UpstreamState* upstream = relay_.upstreams().Find(upstream_id_);
  if (upstream != nullptr && !wrong_upstream &&
      (declined || response.head.Field(names.request_id) == id_)) {
    relay_.OnUpstreamHead(*upstream, response.head, response.head.status == 503, BootTimeNow());
  }
  if (declined) {
    FailAttempt(AttemptFailure::kDeclined, std::to_string(response.head.status));
    return;
  }
  if (wrong_upstream) {
    FailAttempt(AttemptFailure::kWrongUpstream, "another upstream has the address");
    return;
  }
  const bool success = response.head.status >= 200 && response.head.status < 300;
  if (response.head.Field(names.seal).empty() || response.head.Field(names.request_id) != id_) {
    FailAttempt(AttemptFailure::kBroken, "an answer that isn't the upstream's own");
    return;
  }
  if (caller_->response_started() && !success) {
    FailAttempt(AttemptFailure::kBroken,
                "the stream could not go on: " + std::to_string(response.head.status));
    return;
  }
  if (!success && hedge_) {
    FailAttempt(AttemptFailure::kErrorResponse, std::to_string(response.head.status));
    return;
  }
  EndHedge(HedgeOutcome::kCancelled);
  relay_.Hedges(service_name_).OnAnswer(heard_at_ - sent_at_, heard_at_);
  head_ = std::move(response.head);
  received_bytes_ = 0;
  first_byte_at_ = BootTimeNow();
  if (success && route_->kind == WorkKind::kStream) {
    phase_ = Phase::kRelaying;
    return;
  }
  if (success) {
    OnAnswerGoesOn();
  }
  phase_ = Phase::kBuffering;
}

void RelayCall::OnAnswerGoesOn() {
  const TimePoint now = BootTimeNow();
  if (answer_begun_at_ == TimePoint{}) {
    answer_begun_at_ = now;
  }
  if (!prompt_sound_ && answer_begun_at_ + kSoundAfter <= now) {
    prompt_sound_ = true;
    relay_.quarantine().OnBegun(shared_segments_, now);
  }
}

// The answer of an upstream that has ended with it does not show what its prompt does.
void RelayCall::OnAnswerEnded() {
  if (!std::exchange(prompt_sound_, true) && upstream_lives_) {
    relay_.quarantine().OnBegun(shared_segments_, BootTimeNow());
  }
}

void RelayCall::CheckEnd(AttemptFailure failure) {
  const UpstreamState* upstream = relay_.upstreams().Find(upstream_id_);
  if (failure == AttemptFailure::kBroken && !prompt_sound_ && segments_.size() > 1 &&
      upstream != nullptr) {
    relay_.CheckEnded(*upstream, segments_);
  }
}

void RelayCall::StartRelaying(BodyFraming framing) {
  if (caller_->response_started()) {
    return;
  }
  caller_->StartResponse(head_->status, head_->reason, ResponseFields(*head_), framing,
                         head_->body_length.value_or(0));
}

// An answer whose upstream does not state its end is passed on without such a statement too: it may
// have been cut by something that no check shows.
BodyFraming RelayCall::StreamFraming() const {
  return head_->framing == BodyFraming::kClose ? BodyFraming::kClose : BodyFraming::kChunked;
}

void RelayCall::OnBody(ResponseBody body) {
  heard_at_ = BootTimeNow();
  received_bytes_ += body.bytes.size();
  if (route_->kind == WorkKind::kStream && phase_ == Phase::kRelaying) {
    const std::string events = events_.Feed(body.bytes);
    if (events_.partial_event().size() > kMaxEventBytes) {
      FailAttempt(AttemptFailure::kBroken, "bytes without an event");
      return;
    }
    if (!events.empty()) {
      OnAnswerGoesOn();
      ++deliveries_;
      StartRelaying(StreamFraming());
      events_relayed_ = true;
      if (attempt_deadline_ != TimePoint{}) {
        attempt_deadline_ = BootTimeNow() + EventTimeout();
      }
      RelayBody(events);
    }
    return;
  }
  if (head_->status < 300) {
    OnAnswerGoesOn();
  }
  if (phase_ == Phase::kBuffering) {
    buffer_.append(body.bytes);
    if (buffer_.size() > kMaxBufferedResponse) {
      phase_ = Phase::kRelaying;
      StartRelaying(head_->framing);
      RelayBody(std::exchange(buffer_, {}));
    }
    return;
  }
  RelayBody(body.bytes);
}

void RelayCall::RelayBody(std::string_view bytes) {
  caller_->SendBody(bytes);
  relayed_bytes_ += bytes.size();
  const std::size_t unsent = caller_->unsent();
  if (unsent <= kMaxUnsentBytes || !connection_ ||
      (unsent <= kMaxUnsentAtStop && relay_.TryReadAhead(bytes.size()))) {
    return;
  }
  connection_->PauseReading();
  caller_->OnDrained([connection = std::weak_ptr<UpstreamConnection>(connection_)] {
    if (const auto paused = connection.lock()) {
      paused->ResumeReading();
    }
  });
}

void RelayCall::RecordResponseEnd() {
  const std::string framing(NameOf(kBodyFramingNames, head_->framing));
  relay_.metrics().Add(Counter::kUpstreamResponses, 1, framing);
  partial_event_bytes_ = events_.partial_event().size();
  if (events_.inside_event()) {
    relay_.metrics().Add(Counter::kStreamsEndedInsideEvent, 1, framing);
  }
}

// An upstream that crashes may close its connection regularly, and then even its response's framing
// does not show that its stream is incomplete.
std::string_view RelayCall::IncompleteReason() const {
  if (phase_ != Phase::kRelaying || route_->kind != WorkKind::kStream) {
    return {};
  }
  if (events_.inside_event()) {
    return "the stream ended inside an event";
  }
  if (head_->framing == BodyFraming::kClose && received_bytes_ == 0) {
    return "the stream ended before its first event";
  }
  return {};
}

void RelayCall::OnEnd() {
  RecordResponseEnd();
  if (const std::string_view reason = IncompleteReason(); !reason.empty()) {
    FailAttempt(AttemptFailure::kBroken, std::string(reason));
  } else if (head_->framing == BodyFraming::kClose) {
    attempt_deadline_ = {};  // the upstream is not silent
    ConfirmEnd(kEndChecks, request_.body.size());
  } else {
    CompleteAnswer();
  }
}

void RelayCall::ConfirmEnd(int checks, std::size_t unread) {
  CheckConnect(
      relay_.io(), connection_->address(), kProcessEndTime, UpstreamConnection::kConnectTimeout,
      [self = shared_from_this(), checked = connection_, checks, unread](ConnectResult result) {
        if (self->connection_ != checked) {
          return;  // the attempt has ended
        }
        if (result == ConnectResult::kUnknown && checks > 1) {
          self->ConfirmEnd(checks - 1, unread);
        } else {
          self->OnEndConfirmed(result, unread);
        }
      });
}

void RelayCall::OnEndConfirmed(ConnectResult result, std::size_t unread) {
  const std::optional<std::size_t> still_unread = connection_->Unacknowledged();
  if (still_unread && *still_unread > 0 && *still_unread < unread) {
    ConfirmEnd(kEndChecks, *still_unread);
    return;
  }
  new_connection_ = result;
  relay_.metrics().Add(Counter::kClosedAnswers, 1,
                       std::string(NameOf(kConnectResultNames, result)));
  if (!still_unread) {
    FailAttempt(AttemptFailure::kBroken, "the connection failed after the end of the answer");
    return;
  }
  if (*still_unread > 0) {
    FailAttempt(AttemptFailure::kBroken, "the upstream ended its answer without reading on");
    return;
  }
  // A process that stops may refuse connections before its last answers have ended, and then its
  // other connections are still open. That it leaves shows nothing: it may be killed meanwhile.
  upstream_lives_ =
      result == ConnectResult::kAccepted ||
      (result == ConnectResult::kRefused && relay_.pool().HasOpen(connection_->address()));
  if (upstream_lives_) {
    CompleteAnswer();
  } else {
    FailAttempt(AttemptFailure::kBroken, "the upstream ended with its answer");
  }
}

void RelayCall::CompleteAnswer() {
  const int status = head_->status;
  if (answer_begun_at_ != TimePoint{}) {
    OnAnswerEnded();
  }
  const auto connection = std::exchange(connection_, nullptr);
  relay_.pool().Return(connection);
  const TimePoint now = BootTimeNow();
  const bool retry = phase_ == Phase::kBuffering && status >= 500 && IsRetryable() &&
                     CanBeSentElsewhere(AttemptFailure::kErrorResponse, now);
  if (retry) {
    FailAttempt(AttemptFailure::kErrorResponse, std::to_string(status));
    return;
  }
  if (phase_ == Phase::kRelaying && route_->kind == WorkKind::kStream) {
    StartRelaying(StreamFraming());
    RelayBody(events_.partial_event());
  } else if (phase_ == Phase::kBuffering) {
    const BodyFraming framing =
        head_->framing == BodyFraming::kClose ? BodyFraming::kClose : BodyFraming::kLength;
    caller_->StartResponse(status, head_->reason, ResponseFields(*head_), framing, buffer_.size());
    RelayBody(buffer_);
  }
  RecordForRollout(status >= 500, false, now);
  ReleaseUpstream(status >= 500);
  caller_->EndResponse();
  Finish("answered", status);
}

void RelayCall::ReleaseUpstream(bool failed) {
  FreeSlot(failed);
  relay_.ServeQueue(service_name_);
}

void RelayCall::FreeSlot(bool failed) {
  relay_.Shares(service_name_).OnDone(class_, workspace_);
  UpstreamState* upstream = relay_.upstreams().Find(upstream_id_);
  if (upstream == nullptr) {
    return;
  }
  upstream->own_load = std::max(0, upstream->own_load - 1);
  relay_.upstreams().OnAnswer(*upstream, failed, BootTimeNow());
}

// The queue is served last: a request that was found to have room elsewhere gets it.
void RelayCall::FailAttempt(AttemptFailure failure, const std::string& reason) {
  const TimePoint now = BootTimeNow();
  EndAttempt(failure, reason, now);
  if (hedge_) {
    AdoptHedge();
    ArmTimer(deadline_);
    relay_.ServeQueue(service_name_);
    return;
  }
  RetryOrRespond(failure, now);
  relay_.ServeQueue(service_name_);
}

void RelayCall::EndAttempt(AttemptFailure failure, const std::string& reason, TimePoint now) {
  last_error_ = std::string(NameOf(kAttemptFailureNames, failure)) + ": " + reason;
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
  }
  CheckEnd(failure);
  const bool ran = MayHaveRun(failure);
  if (ran) {
    RecordForRollout(failure != AttemptFailure::kBroken, failure == AttemptFailure::kBroken, now);
  }
  may_have_run_ = may_have_run_ || ran;
  runs_ += ran ? 1 : 0;
  attempts_made_ -= failure == AttemptFailure::kNotConnected ? 1 : 0;
  FreeSlot(ran);
  if (UpstreamState* upstream = relay_.upstreams().Find(upstream_id_)) {
    if (failure == AttemptFailure::kNotConnected || failure == AttemptFailure::kWrongUpstream) {
      avoided_data_centre_ = upstream->entry.data_centre;
    }
    if (failure == AttemptFailure::kNotConnected) {
      relay_.upstreams().OnConnectFailed(
          *upstream, service_ == nullptr ? Duration{} : service_->cold_start, now);
    } else if (failure == AttemptFailure::kWrongUpstream) {
      relay_.upstreams().OnAddressTaken(*upstream);
    } else if (failure == AttemptFailure::kTimeout || failure == AttemptFailure::kBroken) {
      relay_.pool().CloseIdle(upstream->entry.address);
    }
  }
  partial_event_bytes_ = events_.partial_event().size();
  events_.DiscardPartialEvent();
  buffer_.clear();
}

void RelayCall::RetryOrRespond(AttemptFailure failure, TimePoint now) {
  const bool suspect = failure == AttemptFailure::kBroken &&
                       (quarantine_trial_ || relay_.quarantine().IsSuspect(shared_segments_));
  if (suspect || !MayRetry(failure, runs_, now)) {
    RespondWithFailure(failure);
    return;
  }
  if (failure != AttemptFailure::kNotConnected && !relay_.TrySpendRetry(service_name_, now)) {
    last_error_ += " (retry budget spent)";
    relay_.metrics().Add(Counter::kRetriesRefused);
    RespondWithFailure(failure);
    return;
  }
  relay_.metrics().Add(Counter::kRetries);
  relay_.log().Write(Decision::kRetry, {{"request", id_},
                                        {"from", upstream_id_},
                                        {"why", last_error_},
                                        {"after_event", events_.last_id()},
                                        {"sends", attempts_made_}});
  phase_ = Phase::kPlacing;
  Place();
}

bool RelayCall::MayRetry(AttemptFailure failure, int runs, TimePoint now) const {
  RetryState state;
  state.kind = route_->kind;
  state.resumable = route_->resumable;
  state.max_runs = route_->attempts;
  state.attempts_made = attempts_made_;
  state.runs = runs;
  state.response_started = caller_->response_started();
  state.has_event = !events_.last_id().empty();
  state.time_left = deadline_ - now;
  return chiverail::MayRetry(failure, state);
}

}  // namespace chiverail
