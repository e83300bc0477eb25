#include "relay_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

// Fraction of the remaining time that one attempt of idempotent work may take while a retry is
// possible.
constexpr double kAttemptShare = 0.45;

// Fraction of its whole time that idempotent work needs for a retry because of silence.
constexpr double kRetryShare = 0.4;

// A resumable stream is retried at another upstream if its first event does not arrive for this
// multiple of its latency objective, but not before kMinEventTimeout: engines let a request wait
// for the prefills of others.
constexpr int kEventTimeoutObjectives = 2;
constexpr Duration kMinEventTimeout = milliseconds(900);

// Callers abandon a stream if it pauses for the longest of kMinCallerPatience and these multiples
// of its objective and of its target time between events. Engines that preempt a request pause its
// stream as well and then go on, so one that has begun is retried only after kPatienceShare of that
// time, which leaves the rest for the retry.
constexpr Duration kMinCallerPatience = seconds(2);
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceGaps = 8;
constexpr double kPatienceShare = 2.0 / 3;

// Interval at which it is checked whether a request of a silent upstream can be sent elsewhere.
constexpr Duration kRetryCheck = milliseconds(250);

// Maximum idle time of a connection that is reused. The upstream may close an idle connection at
// any moment, so work that can't be retried uses recently used connections only.
constexpr Duration kMaxIdleAtMostOnce = milliseconds(800);

// Longer times that callers state have no effect, and could overflow.
constexpr std::int64_t kMaxStatedMs = 24 * 3600 * 1000;

std::optional<std::int64_t> WholeNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

RelayCall::RelayCall(Relay& relay, std::shared_ptr<CallerConnection> caller, CallerRequest request)
    : relay_(relay),
      caller_(std::move(caller)),
      request_(std::move(request)),
      table_(relay.table()),
      timer_(relay.io()) {}

void RelayCall::Start() {
  const TimePoint now = BootTimeNow();
  id_ = std::string(request_.head.Field(relay_.names().request_id));
  if (HoldsUntilConfigured(now) || !Check(now)) {
    return;
  }
  ReadDeadline();
  segments_ =
      relay_.names().parse_prompt_segments(request_.head.Field(relay_.names().prompt_parts));
  affinity_ = AffinityOf(segments_);
  service_name_ = PickTarget(*route_, relay_.Random()).service;
  shared_segments_ = Relay::SharedSegments(segments_, service_name_);
  service_ = table_->Service(service_name_);
  class_ = QueueClass(route_->priority - table_->HighestPriority(service_name_),
                      table_->config().low_priority_workspaces.count(workspace_) > 0);
  if (!relay_.rollouts().empty()) {
    rollout_draw_ = static_cast<double>(relay_.Random() >> 11) / static_cast<double>(1ull << 53);
  }
  relay_.CountRequest(service_name_, now);
  caller_->OnDisconnect([self = shared_from_this()] { self->OnCallerDisconnected(); });
  relay_.AddCall(shared_from_this());
  ArmTimer(deadline_);
  Place();
}

// The order matters: no request is denied before a configuration is known, since the configuration
// may allow it.
bool RelayCall::Check(TimePoint now) {
  if (!table_) {
    Refuse(503, "no configuration yet", kRetryElsewhere);
    return false;
  }
  if (relay_.IsSuperseded(now)) {
    Refuse(503, "configuration superseded", kRetryElsewhere);
    return false;
  }
  route_ = table_->Match(request_.head.Field("Host"), request_.head.target);
  const bool fresh = relay_.HasFreshConfig(now);
  if (route_ == nullptr || route_->targets.empty()) {
    fresh ? Refuse(404, "no such route", {})
          : Refuse(503, "configuration too old", kRetryElsewhere);
    return false;
  }
  if (!CheckKey(now)) {
    return false;
  }
  if (id_.empty()) {
    Refuse(400, "no request id", {});
    return false;
  }
  return true;
}

// A configuration that is no longer confirmed may still contain keys that were withdrawn.
bool RelayCall::CheckKey(TimePoint now) {
  keyed_ = table_->config().keys_required && !route_->is_public;
  if (!keyed_) {
    return true;
  }
  if (!relay_.HasFreshConfig(now)) {
    Refuse(503, "configuration too old for keys", kRetryElsewhere);
    return false;
  }
  const WorkspaceId* workspace =
      table_->WorkspaceOfKey(std::string(request_.head.Field(relay_.names().key)));
  if (workspace == nullptr) {
    Refuse(401, "unknown key", {});
    return false;
  }
  workspace_ = *workspace;
  return true;
}

void RelayCall::ReadDeadline() {
  deadline_ = request_.received + route_->timeout;
  if (const auto left = StatedTimeLeft()) {
    deadline_ = std::min<TimePoint>(deadline_, request_.received + *left);
  }
}

std::optional<Duration> RelayCall::StatedTimeLeft() const {
  const auto deadline_ms = WholeNumber(request_.head.Field(relay_.names().deadline_ms));
  return deadline_ms && *deadline_ms >= 0 && *deadline_ms <= kMaxStatedMs
             ? std::make_optional<Duration>(milliseconds(*deadline_ms))
             : std::nullopt;
}

bool RelayCall::IsRetryable() const {
  return chiverail::IsRetryable(route_->kind, route_->resumable);
}

Duration RelayCall::EventTimeout() const {
  if (events_relayed_) {
    const Duration patience =
        std::max<Duration>({kMinCallerPatience, route_->objective * kPatienceObjectives,
                            route_->event_gap * kPatienceGaps});
    return std::chrono::duration_cast<Duration>(patience * kPatienceShare);
  }
  return std::max<Duration>(route_->objective * kEventTimeoutObjectives, kMinEventTimeout);
}

void RelayCall::Place() {
  if (phase_ != Phase::kPlacing) {
    return;
  }
  const TimePoint now = BootTimeNow();
  if (deadline_ <= now) {
    // The process was delayed, or the request has waited: its timer is due as well.
    RespondWithFailure(AttemptFailure::kTimeout);
    return;
  }
  if (keyed_ && !relay_.HasFreshConfig(now)) {
    last_error_ = "configuration too old for keys";
    RespondWithFailure(AttemptFailure::kNotConnected);
    return;
  }
  if (!PassesStop(now) || !PassesQuarantine(now)) {
    return;
  }
  if (attempts_made_ == 0 && !may_have_run_ && !std::exchange(passed_gate_, true) &&
      !relay_.PassesGate(service_name_)) {
    last_error_ = "service saturated";
    RespondWithFailure(AttemptFailure::kNotConnected);
    return;
  }
  load_age_ = relay_.fleet().StateAge(now);
  if (load_age_) {
    relay_.metrics().Observe(Summary::kFleetStateAgeSeconds, *load_age_);
  }
  const ChoiceQuery query = NextQuery(now);
  const Choice choice = ChooseNext(query, now);
  usable_ = choice.usable;
  if (choice.upstream == nullptr) {
    WaitForSlot(choice.outcome, now);
    return;
  }
  relay_.Queue(service_name_).OnSlotFound();
  placed_by_ = choice.cause;
  relay_.metrics().Add(Counter::kPlacements, 1,
                       std::string(NameOf(kPlacementCauseNames, choice.cause)));
  Send(*choice.upstream, query.holders, now);
}

ChoiceQuery RelayCall::NextQuery(TimePoint now) {
  ChoiceQuery query = relay_.QueryFor(service_name_, service_);
  query.affinity = affinity_;
  if (affinity_ != 0) {
    query.holders = relay_.cache_holders().HoldersOf(affinity_, now);
  }
  query.tried = &tried_;
  query.avoided_data_centre = avoided_data_centre_;
  return query;
}

Choice RelayCall::ChooseNext(const ChoiceQuery& query, TimePoint now) {
  const double slot_share = relay_.Shares(service_name_).MaxSlotShare(class_, workspace_);
  const ChoiceLimits limits = relay_.LimitsFor(service_, slot_share);
  return relay_.rollouts().Find(service_name_) == nullptr
             ? ChooseUpstream(relay_.upstreams(), query, limits, now)
             : ChooseByVersion(query, limits, now);
}

bool RelayCall::CanBeSentElsewhere(AttemptFailure failure, TimePoint now) {
  return MayRetry(failure, runs_ + 1, now) && StopAllows(now) &&
         (!keyed_ || relay_.HasFreshConfig(now)) &&
         !relay_.quarantine().HasHold(shared_segments_) && relay_.MayRetry(service_name_, now) &&
         ChooseNext(NextQuery(now), now).upstream != nullptr;
}

bool RelayCall::KeepsSilentAttempt(TimePoint now) const {
  const bool stream = route_->kind == WorkKind::kStream;
  const bool receiving =
      connection_->HasUnread() || (phase_ == Phase::kBuffering && now < heard_at_ + kRetryCheck);
  const bool too_late = !stream && deadline_ - now < (deadline_ - request_.received) * kRetryShare;
  // The next upstream may decline a stream that has begun, and during a stop there is no other.
  const bool at_risk = caller_->response_started() && relay_.stop_plan().stopping();
  return receiving || too_late || at_risk;
}

bool RelayCall::PassesQuarantine(TimePoint now) {
  if (quarantine_trial_) {
    return true;
  }
  const PromptQuarantine::Verdict verdict = relay_.CheckQuarantine(shared_segments_, now);
  quarantine_trial_ = verdict.trial;
  if (!verdict.held) {
    return true;
  }
  last_error_ = "prompt part in quarantine: " + segments_[verdict.position].id;
  if (caller_->response_started()) {
    RespondWithFailure(AttemptFailure::kBroken);
  } else {
    Refuse(FailureStatus(AttemptFailure::kNotConnected, may_have_run_), last_error_,
           may_have_run_ ? Duration::zero() : verdict.retry_after);
  }
  return false;
}

// Responds immediately if the service has no upstream to wait for.
void RelayCall::WaitForSlot(ChoiceOutcome outcome, TimePoint now) {
  last_error_ = std::string(NameOf(kChoiceOutcomeNames, outcome));
  no_upstream_ = outcome == ChoiceOutcome::kNoUpstream;
  attempt_deadline_ = {};
  const bool by_terms =
      outcome == ChoiceOutcome::kAllLimited || outcome == ChoiceOutcome::kAllResting;
  if (by_terms && !may_have_run_ && !caller_->response_started()) {
    Refuse(503, last_error_, relay_.TermsRetryDelay(service_name_, now));
    return;
  }
  const EnqueueResult enqueue_result = no_upstream_ ? EnqueueResult::kNoSlotFreed : Enqueue(now);
  if (enqueue_result == EnqueueResult::kQueued) {
    return;
  }
  if (!no_upstream_) {
    last_error_ += fmt::format(" ({}, {} waiting)", NameOf(kEnqueueResultNames, enqueue_result),
                               relay_.Queue(service_name_).size());
  }
  RespondWithFailure(AttemptFailure::kNotConnected);
}

EnqueueResult RelayCall::Enqueue(TimePoint now) {
  PendingRequest request;
  request.key = {id_, ticket_ == 0 ? ticket_ = relay_.NextTicket() : ticket_};
  request.workspace = workspace_;
  request.request_class = class_;
  request.received = request_.received;
  request.objective = route_->objective;
  const EnqueueResult result = relay_.EnqueueCall(service_name_, request, shared_from_this(), now);
  queued_ = result == EnqueueResult::kQueued;
  if (queued_ && queued_since_ == TimePoint{}) {
    queued_since_ = now;
  }
  return result;
}

void RelayCall::Dequeue() {
  if (std::exchange(queued_, false)) {
    relay_.DequeueCall(service_name_, {id_, ticket_});
  }
}

void RelayCall::OnSlotFree() {
  queued_ = false;
  Place();
}

void RelayCall::OnQueueTimeout() {
  queued_ = false;
  if (phase_ == Phase::kPlacing) {
    last_error_ +=
        fmt::format(" ({}, {} waiting)", NameOf(kEnqueueResultNames, EnqueueResult::kWaitedTooLong),
                    relay_.Queue(service_name_).size());
    RespondWithFailure(AttemptFailure::kNotConnected);
  }
}

void RelayCall::Send(UpstreamState& upstream,
                     const std::vector<std::uint32_t>& holders,
                     TimePoint now) {
  upstream_id_ = upstream.entry.id;
  upstream_version_ = upstream.entry.version;
  upstream_cold_ = now < upstream.cold_until;
  deliveries_ = 0;
  tried_.insert(upstream_id_);
  load_at_send_ = upstream.own_load + upstream.peer_load;
  relay_.upstreams().OnSent(upstream, now);
  relay_.Shares(service_name_).OnSent(class_, workspace_);
  RecordSend(upstream, now);
  segment_source_.clear();
  if (affinity_ != 0) {
    const UpstreamState* source =
        service_ != nullptr && service_->shares_cache
            ? FindSegmentSource(relay_.upstreams(), holders, upstream, now)
            : nullptr;
    segment_source_ = source == nullptr ? "" : source->entry.address;
    relay_.cache_holders().OnSent(affinity_, upstream.tag, now);
  }
  const bool at_most_once = !IsRetryable();
  connection_ = relay_.pool().Take(upstream.entry.address,
                                   at_most_once ? kMaxIdleAtMostOnce : kMaxIdleIdempotent);
  phase_ = Phase::kAwaitingHead;
  answer_begun_at_ = {};
  prompt_sound_ = false;
  new_connection_.reset();
  upstream_lives_ = true;
  sent_at_ = now;
  heard_at_ = {};
  attempt_deadline_ = {};
  if (IsRetryable() && runs_ + 1 < route_->attempts) {
    const Duration time_share =
        std::chrono::duration_cast<Duration>((deadline_ - now) * kAttemptShare);
    const Duration timeout = route_->kind == WorkKind::kStream ? EventTimeout() : time_share;
    attempt_deadline_ = now + timeout;
    ArmTimer(attempt_deadline_);
  }
  PlanHedge(now);
  ++attempts_made_;
  connection_->Start(
      UpstreamRequestText(relay_.names(), request_, FieldsFor(upstream, now)),
      request_.head.method == "HEAD",
      [names = &relay_.names(), id = id_](const MessageHead& head) {
        return head.Field(names->request_id) == id || head.Field(names->request_id).empty();
      },
      [self = shared_from_this()](ResponseEvent event) { self->OnEvent(std::move(event)); }, id_);
}

UpstreamFields RelayCall::FieldsFor(const UpstreamState& upstream, TimePoint now) const {
  UpstreamFields fields;
  fields.time_left = deadline_ - now;
  fields.upstream = upstream.entry.id;
  fields.workspace = workspace_;
  fields.fetch_parts_from = segment_source_;
  if (events_relayed_) {
    fields.resume_after = events_.last_id();
  }
  return fields;
}

void RelayCall::ArmTimer(TimePoint at) {
  at = std::min(at, deadline_);
  const TimePoint now = BootTimeNow();
  if (timer_at_ != TimePoint{} && timer_at_ <= at && now < timer_at_) {
    return;  // the pending timer fires earlier and is then armed again
  }
  timer_at_ = at;
  timer_.expires_after(std::max<Duration>(Duration::zero(), at - now));
  timer_.async_wait([self = shared_from_this()](const auto& cancelled) {
    if (!cancelled && self->phase_ != Phase::kDone) {
      self->OnTimer();
    }
  });
}

void RelayCall::OnTimer() {
  const TimePoint now = BootTimeNow();
  timer_at_ = {};
  if (held_) {
    held_ = false;
    Refuse(503, "no configuration yet", kRetryElsewhere);
    return;
  }
  if (deadline_ <= now) {
    EndHedge(HedgeOutcome::kFailed);
    if (phase_ == Phase::kPlacing) {
      RespondWithFailure(AttemptFailure::kTimeout);
    } else {
      FailAttempt(AttemptFailure::kTimeout, "time limit of the request");
    }
    return;
  }
  if (hedge_at_ != TimePoint{} && hedge_at_ <= now && phase_ == Phase::kAwaitingHead) {
    StartHedge(now);
  }
  if (phase_ != Phase::kPlacing && attempt_deadline_ != TimePoint{} && attempt_deadline_ <= now) {
    if (!KeepsSilentAttempt(now) && CanBeSentElsewhere(AttemptFailure::kTimeout, now)) {
      FailAttempt(AttemptFailure::kTimeout, "no answer within the patience of an attempt");
    } else {
      attempt_deadline_ = now + kRetryCheck;
    }
  }
  if (phase_ != Phase::kDone && timer_at_ == TimePoint{}) {
    ArmTimer(attempt_deadline_ != TimePoint{} ? attempt_deadline_ : deadline_);
    if (hedge_at_ != TimePoint{}) {
      ArmTimer(hedge_at_);
    }
  }
}

}  // namespace chiverail
