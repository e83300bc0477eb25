// RelayCall: the second attempt of a request whose first one is slow.

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {

double Relay::LoadOf(const std::string& service) const {
  double load = 0;
  double slots = 0;
  for (const auto& [id, upstream] : upstreams_.all()) {
    if (upstream.entry.service == service && !upstream.draining && !upstream.removed) {
      load += upstream.average_load;
      slots += upstream.entry.slots;
    }
  }
  return slots > 0 ? load / slots : 1;
}

HedgePolicy& Relay::Hedges(const std::string& service) {
  return hedges_.try_emplace(service, limits_.hedge_share).first->second;
}

// Streams are not hedged: an engine that goes on with a request while another one works on it
// wastes the time of both, and a stream that was begun twice could not be told from a resumed one.
void RelayCall::PlanHedge(TimePoint now) {
  hedge_at_ = {};
  const bool may_hedge = route_->kind == WorkKind::kIdempotent && !hedge_ &&
                         runs_ + 1 < route_->attempts && attempts_made_ == 0;
  if (!may_hedge) {
    return;
  }
  const auto delay = relay_.Hedges(service_name_).Delay(now);
  if (delay && now + *delay * 2 < deadline_) {
    hedge_at_ = now + *delay;
    ArmTimer(hedge_at_);
  }
}

void RelayCall::CountHedge(HedgeOutcome outcome) {
  relay_.metrics().Add(Counter::kHedges, 1, std::string(NameOf(kHedgeOutcomeNames, outcome)));
}

void RelayCall::StartHedge(TimePoint now) {
  hedge_at_ = {};
  if (!StopAllows(now) || (keyed_ && !relay_.HasFreshConfig(now))) {
    return;
  }
  const ChoiceQuery query = NextQuery(now);
  const Choice choice = ChooseNext(query, now);
  HedgeOutcome outcome = HedgeOutcome::kNoUpstream;
  if (choice.upstream != nullptr) {
    outcome = relay_.Hedges(service_name_).TryStart(relay_.LoadOf(service_name_), now);
  }
  if (outcome == HedgeOutcome::kStarted && !relay_.TrySpendRetry(service_name_, now)) {
    outcome = HedgeOutcome::kOverLimit;
  }
  CountHedge(outcome);
  if (outcome != HedgeOutcome::kStarted) {
    return;
  }
  UpstreamState& upstream = *choice.upstream;
  tried_.insert(upstream.entry.id);
  relay_.upstreams().OnSent(upstream, now);
  relay_.Shares(service_name_).OnSent(class_, workspace_);
  RecordSend(upstream, now);
  ++attempts_made_;
  hedge_.emplace();
  hedge_->upstream = upstream.entry.id;
  hedge_->version = upstream.entry.version;
  hedge_->cold = now < upstream.cold_until;
  hedge_->sent_at = now;
  hedge_->connection = relay_.pool().Take(upstream.entry.address, kMaxIdleIdempotent);
  hedge_->connection->Start(
      UpstreamRequestText(relay_.names(), request_, FieldsFor(upstream, now)),
      request_.head.method == "HEAD",
      [names = &relay_.names(), id = id_](const MessageHead& head) {
        return head.Field(names->request_id) == id || head.Field(names->request_id).empty();
      },
      [self = shared_from_this(), connection = hedge_->connection.get()](ResponseEvent event) {
        self->OnHedgeEvent(connection, std::move(event));
      },
      id_);
}

void RelayCall::OnHedgeEvent(const UpstreamConnection* connection, ResponseEvent event) {
  if (connection_.get() == connection) {
    OnEvent(std::move(event));
    return;
  }
  if (!hedge_ || hedge_->connection.get() != connection) {
    return;
  }
  const auto* response = std::get_if<ResponseHead>(&event);
  const HeaderNames& names = relay_.names();
  const bool success = response != nullptr && response->head.status >= 200 &&
                       response->head.status < 300 && !response->head.Field(names.seal).empty() &&
                       response->head.Field(names.request_id) == id_;
  if (!success || phase_ != Phase::kAwaitingHead) {
    const bool declined = response != nullptr && (!response->head.Field(names.not_run).empty() ||
                                                  response->head.status == 421);
    const auto* error = std::get_if<ExchangeError>(&event);
    EndHedge(HedgeOutcome::kFailed, declined || (error != nullptr && !error->sent));
    return;
  }
  CountHedge(HedgeOutcome::kWon);
  relay_.Hedges(service_name_).OnAnswer(BootTimeNow() - sent_at_, BootTimeNow());
  std::exchange(connection_, nullptr)->Close();
  FreeSlot(false);
  may_have_run_ = true;
  ++runs_;
  AdoptHedge();
  OnEvent(std::move(event));
}

// The first attempt is over: the second one takes its place.
void RelayCall::AdoptHedge() {
  connection_ = std::move(hedge_->connection);
  upstream_id_ = hedge_->upstream;
  upstream_version_ = hedge_->version;
  upstream_cold_ = hedge_->cold;
  sent_at_ = hedge_->sent_at;
  attempt_deadline_ = {};
  answer_begun_at_ = {};
  heard_at_ = {};
  new_connection_.reset();
  upstream_lives_ = true;
  phase_ = Phase::kAwaitingHead;
  hedge_.reset();
}

void RelayCall::EndHedge(HedgeOutcome outcome, bool not_run) {
  hedge_at_ = {};
  if (!hedge_) {
    return;
  }
  CountHedge(outcome);
  const HedgeAttempt hedge = std::move(*hedge_);
  hedge_.reset();
  hedge.connection->Close();
  runs_ += not_run ? 0 : 1;
  may_have_run_ = may_have_run_ || !not_run;
  relay_.Shares(service_name_).OnDone(class_, workspace_);
  if (UpstreamState* upstream = relay_.upstreams().Find(hedge.upstream)) {
    upstream->own_load = std::max(0, upstream->own_load - 1);
    relay_.upstreams().OnAnswer(*upstream, outcome == HedgeOutcome::kFailed && !not_run,
                                BootTimeNow());
  }
}

}  // namespace chiverail
