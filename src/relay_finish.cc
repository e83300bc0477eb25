// RelayCall: the end of a request, with its refusals, metrics and log line.

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {
namespace {

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

}  // namespace

void RelayCall::RespondWithFailure(AttemptFailure failure) {
  if (caller_->response_started()) {
    unsent_bytes_ = caller_->unsent();
    caller_->EndIncomplete();
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

// Takes the reason by value: most callers pass last_error_, which is assigned here.
void RelayCall::Refuse(int status, std::string reason, Duration retry_after) {
  std::vector<HttpHeader> fields;
  if (!id_.empty()) {
    fields.emplace_back(relay_.names().request_id, id_);
  }
  if (retry_after > Duration::zero()) {
    fields.emplace_back(relay_.names().retry_after,
                        fmt::format("{:.3f}", std::chrono::duration<double>(retry_after).count()));
  }
  fields.emplace_back("Content-Type", "text/plain");
  last_error_ = std::move(reason);
  caller_->Respond(status, {}, fields, last_error_ + "\n");
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
  EndHedge(HedgeOutcome::kCancelled);
  relay_.RemoveCall(this);
  Dequeue();
  timer_.cancel();
  caller_->OnDisconnect(nullptr);
  const TimePoint now = BootTimeNow();
  const bool failed = outcome != "answered";
  if (sent_at_ != TimePoint{}) {
    RecordTime(now);
  }
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
  if (new_connection_) {
    line["new_connection"] = NameOf(kConnectResultNames, *new_connection_);
    line["upstream_lives"] = upstream_lives_;
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
  if (failed && sent_at_ != TimePoint{}) {
    line["silent_ms"] = Milliseconds(now - std::max(sent_at_, heard_at_));
    line["unsent_bytes"] = unsent_bytes_;
  }
  if (relay_.stop_began_at() != TimePoint{}) {
    line["stopping_ms"] = Milliseconds(now - relay_.stop_began_at());
    relay_.metrics().Add(Counter::kStopRequests, 1, std::string(outcome));
  }
  relay_.log().Write(Decision::kRequest, line);
}

}  // namespace chiverail
