#include "relay_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

// Share of the time left that one attempt of idempotent work may take while another is possible.
constexpr double kAttemptShare = 0.45;

// A resumable stream goes on elsewhere after a silence of this many times its objective, but at
// least kLeastEventPatience: engines pause for prefills of others.
constexpr int kPatienceObjectives = 2;
constexpr Duration kLeastEventPatience = milliseconds(900);

// Idle connections may be closed by the upstream at any moment; work that can't be repeated only
// goes over ones that were used a moment ago.
constexpr Duration kMaxIdleAtMostOnce = milliseconds(800);
constexpr Duration kMaxIdleIdempotent = seconds(10);

// Time to return when this instance can't serve but others may.
constexpr Duration kRetryElsewhere = milliseconds(50);

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
  if (!Check(now)) {
    return;
  }
  ReadDeadline();
  affinity_ = AffinityOf(
      relay_.names().parse_prompt_parts(request_.head.Field(relay_.names().prompt_parts)));
  service_name_ = PickTarget(*route_, relay_.Random()).service;
  service_ = table_->Service(service_name_);
  class_ = WaitingClass(route_->priority - table_->MostUrgent(service_name_),
                        table_->config().workspaces_behind.count(workspace_) > 0);
  relay_.BudgetFor(service_name_).OnRequest(now);
  caller_->OnGone([self = shared_from_this()] { self->OnCallerGone(); });
  ArmTimer(give_up_at_);
  Place();
}

// The order matters: nothing is denied before a configuration is known, since it may allow it.
bool RelayCall::Check(TimePoint now) {
  if (!table_) {
    Refuse(503, "no configuration yet", kRetryElsewhere);
    return false;
  }
  route_ = table_->Match(request_.head.Field("Host"), request_.head.target);
  const bool young = relay_.InTouch(now);
  if (route_ == nullptr || route_->targets.empty()) {
    young ? Refuse(404, "no such route", {})
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

// A key that was withdrawn may still stand in a configuration that can't be confirmed any more.
bool RelayCall::CheckKey(TimePoint now) {
  keyed_ = table_->config().keys_required && !route_->is_public;
  if (!keyed_) {
    return true;
  }
  if (!relay_.InTouch(now)) {
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
  give_up_at_ = request_.received + route_->timeout;
  const auto deadline_ms = WholeNumber(request_.head.Field(relay_.names().deadline_ms));
  if (deadline_ms && *deadline_ms >= 0) {
    give_up_at_ = std::min<TimePoint>(give_up_at_, request_.received + milliseconds(*deadline_ms));
  }
}

bool RelayCall::Repeatable() const {
  return chiverail::Repeatable(route_->kind, route_->resumable);
}

Duration RelayCall::EventPatience() const {
  return std::max<Duration>(route_->objective * kPatienceObjectives, kLeastEventPatience);
}

void RelayCall::Place() {
  if (phase_ != Phase::kPlacing) {
    return;
  }
  const TimePoint now = BootTimeNow();
  if (keyed_ && !relay_.InTouch(now)) {
    last_fault_ = "configuration too old for keys";
    AnswerUpstreamFailure(AttemptEnd::kNotConnected);
    return;
  }
  ChoiceQuery query = relay_.QueryFor(service_name_, service_, now);
  query.affinity = affinity_;
  if (affinity_ != 0) {
    query.holders = relay_.part_holders().Holders(affinity_, now);
  }
  query.tried = &tried_;
  const double share = relay_.Shares(service_name_).SlotShare(class_, workspace_);
  const Choice choice =
      ChooseUpstream(relay_.upstreams(), query, relay_.LimitsFor(service_, share), now);
  usable_ = choice.usable;
  if (choice.upstream == nullptr) {
    WaitForPlace(choice.outcome, now);
    return;
  }
  relay_.Queue(service_name_).OnPlaced();
  placed_by_ = choice.cause;
  relay_.metrics().Add(Counter::kPlacements, 1,
                       std::string(NameOf(kPlacementCauseNames, choice.cause)));
  Send(*choice.upstream, query.holders, now);
}

// Without any upstream to hope for the answer is given at once.
void RelayCall::WaitForPlace(ChoiceOutcome outcome, TimePoint now) {
  last_fault_ = std::string(NameOf(kChoiceOutcomeNames, outcome));
  no_upstream_ = outcome == ChoiceOutcome::kNoUpstream;
  patient_until_ = {};
  const JoinOutcome joined = no_upstream_ ? JoinOutcome::kNoPlacesFree : JoinQueue(now);
  if (joined == JoinOutcome::kWaits) {
    return;
  }
  if (!no_upstream_) {
    last_fault_ += fmt::format(" ({}, {} waiting)", NameOf(kJoinOutcomeNames, joined),
                               relay_.Queue(service_name_).size());
  }
  AnswerUpstreamFailure(AttemptEnd::kNotConnected);
}

JoinOutcome RelayCall::JoinQueue(TimePoint now) {
  PlaceAsk ask;
  ask.key = {id_, ticket_ == 0 ? ticket_ = relay_.NextTicket() : ticket_};
  ask.workspace = workspace_;
  ask.request_class = class_;
  ask.received = request_.received;
  ask.objective = route_->objective;
  const JoinOutcome joined = relay_.Wait(service_name_, ask, shared_from_this(), now);
  waits_in_queue_ = joined == JoinOutcome::kWaits;
  if (waits_in_queue_ && waits_since_ == TimePoint{}) {
    waits_since_ = now;
  }
  return joined;
}

void RelayCall::LeaveQueue() {
  if (std::exchange(waits_in_queue_, false)) {
    relay_.StopWaiting(service_name_, {id_, ticket_});
  }
}

void RelayCall::OnPlaceFree() {
  waits_in_queue_ = false;
  Place();
}

void RelayCall::OnWaitOver() {
  waits_in_queue_ = false;
  if (phase_ == Phase::kPlacing) {
    last_fault_ +=
        fmt::format(" ({}, {} waiting)", NameOf(kJoinOutcomeNames, JoinOutcome::kWaitedTooLong),
                    relay_.Queue(service_name_).size());
    AnswerUpstreamFailure(AttemptEnd::kNotConnected);
  }
}

void RelayCall::Send(KnownUpstream& upstream,
                     const std::vector<std::uint32_t>& holders,
                     TimePoint now) {
  upstream_id_ = upstream.entry.id;
  tried_.insert(upstream_id_);
  load_at_send_ = upstream.own_load + upstream.peer_load;
  relay_.upstreams().OnSent(upstream, now);
  relay_.Shares(service_name_).OnSent(class_, workspace_);
  NoteSend(upstream, now);
  parts_from_.clear();
  if (affinity_ != 0) {
    const KnownUpstream* source = service_ != nullptr && service_->shares_cache
                                      ? PartSource(relay_.upstreams(), holders, upstream, now)
                                      : nullptr;
    parts_from_ = source == nullptr ? "" : source->entry.address;
    relay_.part_holders().OnSent(affinity_, upstream.tag, now);
  }
  const bool at_most_once = !Repeatable();
  connection_ = relay_.pool().Take(upstream.entry.address,
                                   at_most_once ? kMaxIdleAtMostOnce : kMaxIdleIdempotent);
  phase_ = Phase::kAwaitingHead;
  sent_at_ = now;
  patient_until_ = {};
  if (Repeatable() && runs_ + 1 < route_->attempts) {
    const Duration share =
        std::chrono::duration_cast<Duration>((give_up_at_ - now) * kAttemptShare);
    const Duration patience = route_->kind == WorkKind::kStream ? EventPatience() : share;
    patient_until_ = now + patience;
    ArmTimer(patient_until_);
  }
  ++sends_;
  connection_->Start(
      UpstreamRequestText(relay_.names(), request_, FieldsFor(upstream, now)),
      request_.head.method == "HEAD",
      [names = &relay_.names(), id = id_](const MessageHead& head) {
        return head.Field(names->request_id) == id || head.Field(names->request_id).empty();
      },
      [self = shared_from_this()](AnswerEvent event) { self->OnEvent(std::move(event)); });
}

UpstreamFields RelayCall::FieldsFor(const KnownUpstream& upstream, TimePoint now) const {
  UpstreamFields fields;
  fields.time_left = give_up_at_ - now;
  fields.upstream = upstream.entry.id;
  fields.workspace = workspace_;
  fields.fetch_parts_from = parts_from_;
  if (events_relayed_) {
    fields.resume_after = events_.last_id();
  }
  return fields;
}

void RelayCall::ArmTimer(TimePoint at) {
  at = std::min(at, give_up_at_);
  const TimePoint now = BootTimeNow();
  if (timer_at_ != TimePoint{} && timer_at_ <= at && now < timer_at_) {
    return;  // it fires before and looks again
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
  if (give_up_at_ <= now) {
    if (phase_ == Phase::kPlacing) {
      AnswerUpstreamFailure(AttemptEnd::kSilent);
    } else {
      EndAttempt(AttemptEnd::kSilent, "time limit of the request");
    }
    return;
  }
  if (phase_ != Phase::kPlacing && patient_until_ != TimePoint{} && patient_until_ <= now) {
    if (MaySendAgain(AttemptEnd::kSilent, runs_ + 1, now) &&
        relay_.BudgetFor(service_name_).Allows(now)) {
      EndAttempt(AttemptEnd::kSilent, "no answer within the patience of an attempt");
      return;
    }
    patient_until_ = {};
  }
  if (phase_ != Phase::kDone && timer_at_ == TimePoint{}) {
    ArmTimer(patient_until_ != TimePoint{} ? patient_until_ : give_up_at_);
  }
}

}  // namespace chiverail
