#include "relay_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

// Whole answers up to this size are kept until they are complete, so that a cut one can still be
// replaced by another upstream's.
constexpr std::size_t kMaxBufferedAnswer = 64 * 1024;

// A caller that takes its answer slowly stops its upstream at this many bytes.
constexpr std::size_t kMaxUnsentBytes = 128 * 1024;

// Sends that don't count as runs, beyond the attempts of the route.
constexpr int kExtraSends = 2;

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

// Time to return when this instance can't serve but others may, and what is added while no upstream
// of the service is left: engines that have restarted are listed again after about a second.
constexpr Duration kRetryElsewhere = milliseconds(50);
constexpr Duration kNoUpstreamRetry = milliseconds(500);

std::optional<std::int64_t> WholeNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::vector<HttpHeader> AnswerFields(const MessageHead& head) {
  const std::string_view connection = head.Field("Connection");
  std::vector<HttpHeader> fields;
  for (const HttpHeader& field : head.fields) {
    if (!IsConnectionField(field.first, connection)) {
      fields.push_back(field);
    }
  }
  return fields;
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
  return route_->kind == WorkKind::kIdempotent ||
         (route_->kind == WorkKind::kStream && route_->resumable);
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
  if (choice.upstream == nullptr) {
    WaitForPlace(choice.outcome, now);
    return;
  }
  relay_.Queue(service_name_).OnPlaced();
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
    const Duration patience =
        route_->kind == WorkKind::kStream
            ? std::max<Duration>(route_->objective * kPatienceObjectives, kLeastEventPatience)
            : share;
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

void RelayCall::OnEvent(AnswerEvent event) {
  const auto self = shared_from_this();
  struct Visitor {
    RelayCall& call;
    void operator()(AnswerHead& head) { call.OnHead(std::move(head)); }
    void operator()(AnswerBody& body) { call.OnBody(std::move(body)); }
    void operator()(AnswerEnd&) { call.OnEnd(); }
    void operator()(AnswerBroken& broken) {
      call.EndAttempt(broken.sent ? AttemptEnd::kBroken : AttemptEnd::kNotConnected, broken.reason);
    }
  };
  std::visit(Visitor{*this}, event);
}

void RelayCall::OnHead(AnswerHead answer) {
  if (KnownUpstream* upstream = relay_.upstreams().Find(upstream_id_)) {
    relay_.upstreams().OnHeard(*upstream);
  }
  const HeaderNames& names = relay_.names();
  if (!answer.head.Field(names.not_run).empty()) {
    EndAttempt(AttemptEnd::kDeclined, std::to_string(answer.head.status));
    return;
  }
  if (answer.head.status == 421) {
    EndAttempt(AttemptEnd::kWrongUpstream, "another upstream has the address");
    return;
  }
  const bool success = answer.head.status >= 200 && answer.head.status < 300;
  if (answer.head.Field(names.seal).empty() || answer.head.Field(names.request_id) != id_) {
    EndAttempt(AttemptEnd::kBroken, "an answer that isn't the upstream's own");
    return;
  }
  if (caller_->answer_started() && !success) {
    EndAttempt(AttemptEnd::kBroken,
               "the stream could not go on: " + std::to_string(answer.head.status));
    return;
  }
  head_ = std::move(answer.head);
  first_byte_at_ = BootTimeNow();
  if (success && route_->kind == WorkKind::kStream) {
    phase_ = Phase::kRelaying;
    return;
  }
  phase_ = Phase::kBuffering;
}

void RelayCall::StartRelaying(BodyFraming framing) {
  if (caller_->answer_started()) {
    return;
  }
  caller_->StartAnswer(head_->status, head_->reason, AnswerFields(*head_), framing,
                       head_->body_length.value_or(0));
}

void RelayCall::OnBody(AnswerBody body) {
  if (route_->kind == WorkKind::kStream && phase_ == Phase::kRelaying) {
    const std::string events = events_.Take(body.bytes);
    if (!events.empty()) {
      StartRelaying(BodyFraming::kChunked);
      events_relayed_ = true;
      if (patient_until_ != TimePoint{}) {
        patient_until_ = BootTimeNow() + std::max<Duration>(route_->objective * kPatienceObjectives,
                                                            kLeastEventPatience);
      }
      RelayBody(events);
    }
    return;
  }
  if (phase_ == Phase::kBuffering) {
    buffer_.append(body.bytes);
    if (buffer_.size() > kMaxBufferedAnswer) {
      phase_ = Phase::kRelaying;
      StartRelaying(head_->body_length ? BodyFraming::kLength : BodyFraming::kChunked);
      RelayBody(std::exchange(buffer_, {}));
    }
    return;
  }
  RelayBody(body.bytes);
}

void RelayCall::RelayBody(std::string_view bytes) {
  caller_->SendBody(bytes);
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

void RelayCall::OnEnd() {
  const int status = head_->status;
  const auto connection = std::exchange(connection_, nullptr);
  relay_.pool().GiveBack(connection);
  const TimePoint now = BootTimeNow();
  const bool repeat = phase_ == Phase::kBuffering && status >= 500 && Repeatable() &&
                      MaySendAgain(AttemptEnd::kFailedAnswer, runs_ + 1, now) &&
                      relay_.BudgetFor(service_name_).Allows(now);
  if (repeat) {
    EndAttempt(AttemptEnd::kFailedAnswer, std::to_string(status));
    return;
  }
  if (phase_ == Phase::kRelaying && route_->kind == WorkKind::kStream) {
    StartRelaying(BodyFraming::kChunked);
    RelayBody(events_.rest());
  } else if (phase_ == Phase::kBuffering) {
    caller_->StartAnswer(status, head_->reason, AnswerFields(*head_), BodyFraming::kLength,
                         buffer_.size());
    caller_->SendBody(buffer_);
  }
  ReleaseUpstream(status >= 500);
  caller_->EndAnswer();
  Finish("answered", status);
}

void RelayCall::ReleaseUpstream(bool failed) {
  relay_.Shares(service_name_).OnDone(class_, workspace_);
  KnownUpstream* upstream = relay_.upstreams().Find(upstream_id_);
  if (upstream == nullptr) {
    return;
  }
  upstream->own_load = std::max(0, upstream->own_load - 1);
  relay_.upstreams().OnAnswer(*upstream, failed, BootTimeNow());
  relay_.ServeWaiting(service_name_);
}

void RelayCall::EndAttempt(AttemptEnd end, const std::string& reason) {
  const TimePoint now = BootTimeNow();
  last_fault_ = std::string(NameOf(kAttemptEndNames, end)) + ": " + reason;
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
  }
  const bool ran = end != AttemptEnd::kNotConnected && end != AttemptEnd::kDeclined &&
                   end != AttemptEnd::kWrongUpstream;
  may_have_run_ = may_have_run_ || ran;
  runs_ += ran ? 1 : 0;
  sends_ -= end == AttemptEnd::kNotConnected ? 1 : 0;
  ReleaseUpstream(ran);
  if (KnownUpstream* upstream = relay_.upstreams().Find(upstream_id_)) {
    if (end == AttemptEnd::kNotConnected) {
      relay_.upstreams().OnConnectFailed(
          *upstream, service_ == nullptr ? Duration{} : service_->cold_start, now);
    } else if (end == AttemptEnd::kWrongUpstream) {
      relay_.upstreams().OnReplaced(*upstream);
    } else if (end == AttemptEnd::kSilent || end == AttemptEnd::kBroken) {
      relay_.pool().Drop(upstream->entry.address);
    }
  }
  events_.DropRest();
  buffer_.clear();
  if (!MaySendAgain(end, runs_, now)) {
    AnswerUpstreamFailure(end);
    return;
  }
  if (end != AttemptEnd::kNotConnected && !relay_.BudgetFor(service_name_).TrySpend(now)) {
    last_fault_ += " (retry budget spent)";
    relay_.metrics().Add(Counter::kRetriesRefused);
    AnswerUpstreamFailure(end);
    return;
  }
  relay_.metrics().Add(Counter::kRetries);
  relay_.log().Write(Decision::kSendAgain, {{"request", id_},
                                            {"from", upstream_id_},
                                            {"why", last_fault_},
                                            {"after_event", events_.last_id()},
                                            {"sends", sends_}});
  phase_ = Phase::kPlacing;
  Place();
}

// Work that may have run is only repeated where the route allows it and the answer hasn't begun,
// or where the stream can go on after its last event.
bool RelayCall::MaySendAgain(AttemptEnd end, int runs, TimePoint now) {
  constexpr Duration kLeastTime = milliseconds(40);  // less leaves no chance of an answer
  if (give_up_at_ - now < kLeastTime || sends_ >= route_->attempts + kExtraSends) {
    return false;
  }
  const bool started = caller_->answer_started();
  const bool may_go_on = route_->kind == WorkKind::kStream && route_->resumable &&
                         (!started || !events_.last_id().empty());
  if (started && !may_go_on) {
    return false;
  }
  const bool ran =
      end == AttemptEnd::kBroken || end == AttemptEnd::kSilent || end == AttemptEnd::kFailedAnswer;
  if (!ran) {
    return true;
  }
  return Repeatable() && runs < route_->attempts;
}

// What the caller is told depends on whether the request may have run: 503 promises that it hasn't.
void RelayCall::AnswerUpstreamFailure(AttemptEnd end) {
  if (caller_->answer_started()) {
    caller_->Abort();
    Finish("cut", 0);
    return;
  }
  if (may_have_run_) {
    Refuse(end == AttemptEnd::kSilent ? 504 : 502, last_fault_, {});
    return;
  }
  const Duration back = relay_.Queue(service_name_).ReturnAfter(relay_.Random(), BootTimeNow());
  Refuse(503, last_fault_, no_upstream_ ? kNoUpstreamRetry + back : back);
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
  last_fault_ = std::string(reason);
  caller_->Respond(status, {}, fields, std::string(reason) + "\n");
  Finish("refused", status);
}

void RelayCall::OnCallerGone() {
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
    ReleaseUpstream(false);
  }
  Finish("caller_left", 0);
}

void RelayCall::Finish(std::string_view outcome, int status) {
  phase_ = Phase::kDone;
  LeaveQueue();
  timer_.cancel();
  caller_->OnGone(nullptr);
  const TimePoint now = BootTimeNow();
  const bool failed = outcome != "answered";
  relay_.metrics().Add(Counter::kRequests, 1, std::string(outcome));
  relay_.metrics().Observe(Summary::kRequestSeconds, now - request_.received);
  if (first_byte_at_ != TimePoint{}) {
    relay_.metrics().Observe(Summary::kFirstTokenSeconds, first_byte_at_ - request_.received);
  }
  nlohmann::json line{{"request", id_},
                      {"outcome", outcome},
                      {"status", status},
                      {"route", route_ == nullptr ? "" : route_->name},
                      {"workspace", workspace_},
                      {"config", table_ ? table_->version() : 0},
                      {"config_age_ms", Milliseconds(now - relay_.config_confirmed_at())},
                      {"upstream", upstream_id_},
                      {"load", load_at_send_},
                      {"sends", sends_},
                      {"runs", runs_},
                      {"ms", Milliseconds(now - request_.received)}};
  if (!parts_from_.empty()) {
    line["parts_from"] = parts_from_;
  }
  if (waits_since_ != TimePoint{}) {
    line["waited_ms"] = Milliseconds((sent_at_ == TimePoint{} ? now : sent_at_) - waits_since_);
  }
  if (first_byte_at_ != TimePoint{}) {
    line["first_ms"] = Milliseconds(first_byte_at_ - request_.received);
  }
  if (failed || !last_fault_.empty()) {
    line["why"] = last_fault_;
  }
  relay_.log().Write(Decision::kRequest, line);
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
