// RelayCall: handling of the upstream's response, of failures and of the end of a request.

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {
namespace {

// Non-stream responses up to this size are buffered until they are complete, so that a truncated
// one can still be replaced by a retry at another upstream.
constexpr std::size_t kMaxBufferedResponse = 64 * 1024;

// Limit for one event of a stream. Events of engines have a few hundred bytes.
constexpr std::size_t kMaxEventBytes = 256 * 1024;

// Reading from the upstream pauses once more than this many bytes for the caller are unsent.
constexpr std::size_t kMaxUnsentBytes = 128 * 1024;

// Added to Retry-After if the service has no upstream: restarted engines are listed again after
// about a second.
constexpr Duration kNoUpstreamRetry = milliseconds(500);

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Age of the data used for a decision; null if there was none.
nlohmann::json AgeMs(TimePoint now, TimePoint known_at) {
  return known_at == TimePoint{} ? nlohmann::json() : nlohmann::json(Milliseconds(now - known_at));
}

// Returns the cause of a refusal without its details, each of which would create a metric series.
std::string CauseOf(const std::string& fault) {
  std::string cause = fault.substr(0, fault.find_first_of(":("));
  if (!cause.empty() && cause.back() == ' ') {
    cause.pop_back();
  }
  return cause;
}

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
  if (UpstreamState* upstream = relay_.upstreams().Find(upstream_id_)) {
    relay_.upstreams().OnBytesReceived(*upstream);
  }
  const HeaderNames& names = relay_.names();
  if (!response.head.Field(names.not_run).empty()) {
    FailAttempt(AttemptFailure::kDeclined, std::to_string(response.head.status));
    return;
  }
  if (response.head.status == 421) {
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
  head_ = std::move(response.head);
  received_bytes_ = 0;
  first_byte_at_ = BootTimeNow();
  if (success && route_->kind == WorkKind::kStream) {
    phase_ = Phase::kRelaying;
    return;
  }
  if (success) {
    OnAnswerBegun();
  }
  phase_ = Phase::kBuffering;
}

void RelayCall::OnAnswerBegun() {
  answer_begun_ = true;
}

void RelayCall::CheckEnd(AttemptFailure failure) {
  const UpstreamState* upstream = relay_.upstreams().Find(upstream_id_);
  if (failure == AttemptFailure::kBroken && !answer_begun_ && segments_.size() > 1 &&
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

void RelayCall::OnBody(ResponseBody body) {
  received_bytes_ += body.bytes.size();
  if (route_->kind == WorkKind::kStream && phase_ == Phase::kRelaying) {
    const std::string events = events_.Feed(body.bytes);
    if (events_.partial_event().size() > kMaxEventBytes) {
      FailAttempt(AttemptFailure::kBroken, "bytes without an event");
      return;
    }
    if (!events.empty()) {
      OnAnswerBegun();
      StartRelaying(BodyFraming::kChunked);
      events_relayed_ = true;
      if (attempt_deadline_ != TimePoint{}) {
        attempt_deadline_ = BootTimeNow() + EventTimeout();
      }
      RelayBody(events);
    }
    return;
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
  if (caller_->unsent() <= kMaxUnsentBytes || !connection_) {
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
    return;
  }
  const int status = head_->status;
  const auto connection = std::exchange(connection_, nullptr);
  relay_.pool().Return(connection);
  const TimePoint now = BootTimeNow();
  const bool retry = phase_ == Phase::kBuffering && status >= 500 && IsRetryable() &&
                     MayRetry(AttemptFailure::kErrorResponse, runs_ + 1, now) &&
                     relay_.MayRetry(service_name_, now);
  if (retry) {
    FailAttempt(AttemptFailure::kErrorResponse, std::to_string(status));
    return;
  }
  if (phase_ == Phase::kRelaying && route_->kind == WorkKind::kStream) {
    StartRelaying(BodyFraming::kChunked);
    RelayBody(events_.partial_event());
  } else if (phase_ == Phase::kBuffering) {
    caller_->StartResponse(status, head_->reason, ResponseFields(*head_), BodyFraming::kLength,
                           buffer_.size());
    RelayBody(buffer_);
  }
  ReleaseUpstream(status >= 500);
  caller_->EndResponse();
  Finish("answered", status);
}

void RelayCall::ReleaseUpstream(bool failed) {
  relay_.Shares(service_name_).OnDone(class_, workspace_);
  UpstreamState* upstream = relay_.upstreams().Find(upstream_id_);
  if (upstream == nullptr) {
    return;
  }
  upstream->own_load = std::max(0, upstream->own_load - 1);
  relay_.upstreams().OnAnswer(*upstream, failed, BootTimeNow());
  relay_.ServeQueue(service_name_);
}

void RelayCall::FailAttempt(AttemptFailure failure, const std::string& reason) {
  const TimePoint now = BootTimeNow();
  last_error_ = std::string(NameOf(kAttemptFailureNames, failure)) + ": " + reason;
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
  }
  CheckEnd(failure);
  const bool ran = MayHaveRun(failure);
  may_have_run_ = may_have_run_ || ran;
  runs_ += ran ? 1 : 0;
  attempts_made_ -= failure == AttemptFailure::kNotConnected ? 1 : 0;
  ReleaseUpstream(ran);
  if (UpstreamState* upstream = relay_.upstreams().Find(upstream_id_)) {
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
  if (!MayRetry(failure, runs_, now)) {
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

void RelayCall::RespondWithFailure(AttemptFailure failure) {
  if (caller_->response_started()) {
    caller_->Abort();
    Finish("cut", 0);
    return;
  }
  const int status = FailureStatus(failure, may_have_run_);
  if (may_have_run_) {
    Refuse(status, last_error_, {});
    return;
  }
  const Duration retry_delay =
      relay_.Queue(service_name_).RetryDelay(relay_.Random(), BootTimeNow());
  Refuse(status, last_error_, no_upstream_ ? kNoUpstreamRetry + retry_delay : retry_delay);
}

void RelayCall::Refuse(int status, std::string_view reason, Duration retry_after) {
  std::vector<HttpHeader> fields;
  if (!id_.empty()) {
    fields.emplace_back(relay_.names().request_id, id_);
  }
  if (retry_after > Duration::zero()) {
    fields.emplace_back(relay_.names().retry_after,
                        fmt::format("{:.3f}", std::chrono::duration<double>(retry_after).count()));
  }
  fields.emplace_back("Content-Type", "text/plain");
  last_error_ = std::string(reason);
  caller_->Respond(status, {}, fields, std::string(reason) + "\n");
  Finish("refused", status);
}

void RelayCall::OnCallerDisconnected() {
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
    ReleaseUpstream(false);
  }
  Finish("caller_left", 0);
}

Duration RelayCall::QueueTime(TimePoint now) const {
  return (sent_at_ == TimePoint{} ? now : sent_at_) - queued_since_;
}

void RelayCall::RecordMetrics(std::string_view outcome, int status, TimePoint now) {
  Metrics& metrics = relay_.metrics();
  const std::string route = relay_.RouteLabel(route_ == nullptr ? "" : route_->name);
  metrics.Add(Counter::kRequests, 1, std::string(outcome));
  metrics.Add(Counter::kRouteRequests, 1, route);
  if (status >= 500 || outcome == "refused" || outcome == "cut") {
    metrics.Add(Counter::kRouteFailures, 1, route);
  }
  if (outcome == "refused") {
    metrics.Add(Counter::kRefused, 1, CauseOf(last_error_));
  }
  metrics.Observe(Summary::kRequestSeconds, now - request_.received);
  if (queued_since_ != TimePoint{}) {
    metrics.Observe(Summary::kQueueSeconds, QueueTime(now));
  }
  if (first_byte_at_ != TimePoint{}) {
    metrics.Observe(Summary::kFirstTokenSeconds, first_byte_at_ - request_.received);
  }
}

void RelayCall::Finish(std::string_view outcome, int status) {
  phase_ = Phase::kDone;
  Dequeue();
  timer_.cancel();
  caller_->OnDisconnect(nullptr);
  const TimePoint now = BootTimeNow();
  const bool failed = outcome != "answered";
  RecordMetrics(outcome, status, now);
  nlohmann::json line{
      {"request", id_},
      {"outcome", outcome},
      {"status", status},
      {"route", route_ == nullptr ? "" : route_->name},
      {"workspace", workspace_},
      {"config", table_ ? table_->version() : 0},
      {"config_age_ms", AgeMs(now, relay_.config_confirmed_at())},
      {"list_age_ms", AgeMs(now, relay_.upstreams().list_as_of())},
      {"class", NameOf(kRequestClassNames, class_)},
      {"usable", usable_},
      {"placed_by", upstream_id_.empty() ? "" : NameOf(kPlacementCauseNames, placed_by_)},
      {"upstream", upstream_id_},
      {"load", load_at_send_},
      {"load_age_ms", load_age_ ? nlohmann::json(Milliseconds(*load_age_)) : nlohmann::json()},
      {"sends", attempts_made_},
      {"runs", runs_},
      {"ms", Milliseconds(now - request_.received)}};
  if (!segment_source_.empty()) {
    line["parts_from"] = segment_source_;
  }
  if (head_) {
    line["framing"] = NameOf(kBodyFramingNames, head_->framing);
    line["received_bytes"] = received_bytes_;
    line["relayed_bytes"] = relayed_bytes_;
  }
  if (partial_event_bytes_ > 0) {
    line["partial_event_bytes"] = partial_event_bytes_;
  }
  if (queued_since_ != TimePoint{}) {
    line["waited_ms"] = Milliseconds(QueueTime(now));
  }
  if (first_byte_at_ != TimePoint{}) {
    line["first_ms"] = Milliseconds(first_byte_at_ - request_.received);
  }
  if (failed || !last_error_.empty()) {
    line["why"] = last_error_;
  }
  relay_.log().Write(Decision::kRequest, line);
}

}  // namespace chiverail
