#include "router_actor.h"

#include <algorithm>

#include <caf/send.hpp>

#include "log.h"

namespace chiverail {
namespace {

constexpr Duration kTickInterval = milliseconds(100);

// Maximum number of slot requests for one attempt of an exchange. Slot attempts are numbered from
// attempt * kSlotAttemptsPerAttempt.
constexpr std::uint32_t kSlotAttemptsPerAttempt = 16;

// Removes the engines on which the request has already failed, unless that leaves none.
CandidateList WithoutAvoided(const FleetView& view,
                             const CandidateList& candidates,
                             const std::vector<UpstreamId>& avoid) {
  CandidateList kept;
  for (const Candidate& candidate : candidates) {
    const UpstreamId& id = view.engines()[candidate.engine].upstream->id;
    if (std::find(avoid.begin(), avoid.end(), id) == avoid.end()) {
      kept.Append(candidate);
    }
  }
  return kept.empty() ? candidates : kept;
}

}  // namespace

RouterActor::RouterActor(caf::actor_config& config, Runtime& runtime)
    : caf::event_based_actor(config),
      runtime_(runtime),
      self_(runtime.settings.instance_id),
      view_(runtime.shared.view()),
      placement_(runtime.settings.chat_table_max_entries),
      generation_(runtime.generation),
      admission_(self_, generation_, runtime.settings.data_centre),
      load_total_(self_),
      digest_hub_(self_, generation_),
      retry_budget_(runtime.settings.retry_budget_percent / 100.0) {}

caf::behavior RouterActor::make_behavior() {
  Handle(admission_.SetGrantsUntil(TimePoint{}, Now()));
  OnView(runtime_.shared.view());
  return {
      [this](const TickMessage&) {
        delayed_send(this, kTickInterval, TickMessage{});
        OnTick();
      },
      [this](const ViewMessage& message) { OnView(message.view); },
      [this](const GrantsMessage& message) {
        Handle(admission_.SetGrantsUntil(message.until, Now()));
      },
      [this](const GenerationMessage& message) { OnGeneration(message.generation); },
      [this](const RouteRequest& route) { OnRouteRequest(route); },
      [this](const RouteRelease& release) { OnRouteRelease(release); },
      [this](const PeerReceived& received) { OnPeerMessage(received.message); },
      [this](const LoadReportMessage& report) { OnLoadReport(report); },
      [this](const CacheEventsMessage& message) {
        for (const CacheEvent& event : message.events) {
          placement_.OnCacheEvent(event);
        }
      },
      [this](const EngineStatusRequest& request) { request.reply.Send(StatusJson()); },
  };
}

void RouterActor::OnView(std::shared_ptr<const FleetView> view) {
  const auto before = view_;
  view_ = std::move(view);
  // Before the first manifest there are no engines; rows received until then are replayed with the
  // first manifest.
  if (view_->revision() > 0) {
    Handle(admission_.OnView(view_, Now()));
  }
  ReportLostHolders(*before);
}

// After an eviction this instance rejoins as a new member. The slots that it granted before are
// abandoned, and the new owners have accounted for them from load reports.
void RouterActor::OnGeneration(std::uint64_t generation) {
  if (generation == generation_) {
    return;
  }
  generation_ = generation;
  admission_ = AdmissionController(self_, generation, runtime_.settings.data_centre);
  digest_hub_ = DigestHub(self_, generation);
  Handle(admission_.SetGrantsUntil(TimePoint{}, Now()));
  if (view_->revision() > 0) {
    Handle(admission_.OnView(view_, Now()));
  }
}

// An instance is removed from the members rows only after its lease has expired or was released, so
// the slots that it held are free.
void RouterActor::ReportLostHolders(const FleetView& before) {
  for (const Member& member : before.members()) {
    const Member* now = view_->FindMember(member.id);
    if (now == nullptr || now->generation != member.generation) {
      Handle(admission_.OnHolderLost(member.id, Now()));
    }
  }
}

void RouterActor::OnRouteRequest(RouteRequest route) {
  const TimePoint now = Now();
  if (route.retry) {
    if (!retry_budget_.TrySpend(now)) {
      runtime_.metrics.Add(Counter::kRetriesRefused);
      route.reply.Send(
          RequestError{ErrorCode::kUpstreamFailed, "the retry budget is spent", Ran::kUnknown});
      return;
    }
    runtime_.metrics.Add(Counter::kRetries);
  } else {
    retry_budget_.OnRequest(now);
  }
  const CandidateList candidates =
      WithoutAvoided(*view_, placement_.Rank(*view_, route.request, now), route.avoid);
  const SearchKey key{route.request.request, route.attempt};
  OpenSearch open;
  open.search = std::make_unique<SlotSearch>(self_, view_, route.request, candidates,
                                             route.attempt * kSlotAttemptsPerAttempt);
  open.reply = std::move(route.reply);
  open.start = now;
  SlotSearch& search = *open.search;
  searches_[key] = std::move(open);
  Handle(key, search.Start(now));
}

void RouterActor::Handle(const SearchKey& key, const SlotSearchActions& actions) {
  for (const SlotSearchAction& action : actions) {
    if (const auto* sent = std::get_if<SendSlotRequest>(&action)) {
      held_[{sent->request.request, sent->request.attempt}] = {sent->request.engine, sent->owner};
      if (sent->owner == self_) {
        Handle(admission_.RequestSlot(sent->request, Now()));
      } else {
        runtime_.metrics.Add(Counter::kRemoteSlotRequests);
        SendPeer(sent->owner, sent->request);
      }
    } else if (const auto* found = std::get_if<SlotFound>(&action)) {
      const EngineEntry* engine = view_->FindEngine(found->engine);
      const std::string address = engine == nullptr ? "" : engine->upstream->address;
      Finish(key, RouteResult{found->engine, address, found->attempt, found->cached_turn});
    } else if (const auto* denied = std::get_if<SlotDenied>(&action)) {
      Finish(key, denied->error);
    } else if (const auto* released = std::get_if<ReleaseSlot>(&action)) {
      held_.erase({released->release.request, released->release.attempt});
      Release(released->release, released->owner);
    }
  }
}

void RouterActor::Finish(const SearchKey& key, RouteReply reply) {
  const auto found = searches_.find(key);
  if (found == searches_.end()) {
    return;
  }
  if (std::holds_alternative<RouteResult>(reply)) {
    runtime_.metrics.Observe(Summary::kQueueSeconds, Now() - found->second.start);
  }
  const Reply<RouteReply> answer = found->second.reply;
  searches_.erase(found);
  answer.Send(std::move(reply));
}

void RouterActor::OnRouteRelease(const RouteRelease& route) {
  const SearchKey key{route.request.request, route.slot_attempt};
  const auto found = held_.find(key);
  if (found == held_.end()) {
    return;
  }
  const auto first_token_ms = std::chrono::duration_cast<milliseconds>(route.first_token).count();
  const SlotRelease release{
      route.request.request, route.slot_attempt, self_,
      route.engine,          route.completed,    static_cast<std::uint32_t>(first_token_ms)};
  const InstanceId owner = found->second.owner;
  held_.erase(found);
  if (route.completed) {
    placement_.OnServed(route.request.chat, route.engine, route.request.turn, Now());
  }
  Release(release, owner);
}

// Sends a release to the owner that granted the slot, which forwards it if the engine has a new
// owner. If the granting owner is no longer a member, sends the release to the new owner directly.
void RouterActor::Release(const SlotRelease& release, const InstanceId& owner) {
  InstanceId to = owner;
  if (view_->FindMember(owner) == nullptr) {
    const EngineEntry* engine = view_->FindEngine(release.engine);
    const Member* current = engine == nullptr ? nullptr : view_->AdmissionOwner(*engine);
    if (current == nullptr) {
      return;
    }
    to = current->id;
  }
  if (to == self_) {
    Handle(admission_.Release(release, Now()));
  } else {
    SendPeer(to, release);
  }
}

void RouterActor::OnPeerMessage(const PeerMessage& message) {
  const TimePoint now = Now();
  if (const auto* slot_request = std::get_if<SlotRequest>(&message)) {
    SendEpochHint(slot_request->engine, slot_request->epoch);
    Handle(admission_.RequestSlot(*slot_request, now));
  } else if (const auto* answer = std::get_if<SlotAnswer>(&message)) {
    OnSlotAnswer(*answer);
  } else if (const auto* release = std::get_if<SlotRelease>(&message)) {
    Handle(admission_.Release(*release, now));
  } else if (const auto* handover = std::get_if<AdmissionHandover>(&message)) {
    Handle(admission_.OnHandover(*handover, now));
  } else if (const auto* batch = std::get_if<DigestBatch>(&message)) {
    OnDigests(*batch);
  }
}

void RouterActor::SendEpochHint(const UpstreamId& engine, std::uint64_t epoch) {
  const EngineEntry* entry = view_->FindEngine(engine);
  if (entry != nullptr && epoch > view_->Epoch(entry->upstream->data_centre)) {
    runtime_.actors.Send(Component::kFleet, EpochHint{entry->upstream->data_centre, epoch});
  }
}

// A grant without a waiting search is returned: its search has ended or belonged to an earlier run
// of this process.
void RouterActor::OnSlotAnswer(const SlotAnswer& answer) {
  SendEpochHint(answer.engine, answer.epoch);
  const SearchKey slot{answer.request, answer.attempt};
  const SearchKey key{answer.request, answer.attempt / kSlotAttemptsPerAttempt};
  if (!answer.granted) {
    held_.erase(slot);
  }
  const auto found = searches_.find(key);
  if (found != searches_.end()) {
    Handle(key, found->second.search->OnAnswer(answer, Now()));
    return;
  }
  if (answer.granted && held_.count(slot) == 0) {
    const EngineEntry* engine = view_->FindEngine(answer.engine);
    const Member* owner = engine == nullptr ? nullptr : view_->AdmissionOwner(*engine);
    if (owner != nullptr) {
      Release({answer.request, answer.attempt, self_, answer.engine, false, 0}, owner->id);
    }
  }
}

void RouterActor::OnDigests(const DigestBatch& batch) {
  Revision newest = 0;
  for (const LoadDigest& digest : batch.digests) {
    newest = std::max(newest, digest.revision);
    const Member* sender = view_->FindMember(digest.instance);
    if (sender != nullptr && digest.epoch > view_->Epoch(sender->data_centre)) {
      runtime_.actors.Send(Component::kFleet, EpochHint{sender->data_centre, digest.epoch});
    }
  }
  if (newest > view_->revision()) {
    runtime_.actors.Send(Component::kFleet, RevisionHint{newest});
  }
  SendDigests(digest_hub_.OnBatch(batch, Now()));
}

void RouterActor::OnLoadReport(const LoadReportMessage& report) {
  const auto known = load_reports_.find(report.engine);
  if (known != load_reports_.end() && known->second.start_id != report.start_id) {
    placement_.OnEngineRestarted(report.engine);
  }
  load_reports_[report.engine] = report;
  Handle(admission_.OnLoadReport(
      report.engine, {report.start_id, report.running, report.cold, report.sampled}, Now()));
}

void RouterActor::Handle(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
}

void RouterActor::Execute(const SlotGranted& action) {
  AnswerHolder(action.holder, action.answer);
}

void RouterActor::Execute(const SlotRefused& action) {
  AnswerHolder(action.holder, action.answer);
}

void RouterActor::Execute(const SlotQueued&) {}

void RouterActor::Execute(const SendHandover& action) {
  SendPeer(action.to, action.handover);
}

void RouterActor::Execute(const ForwardRelease& action) {
  SendPeer(action.to, action.release);
}

void RouterActor::AnswerHolder(const InstanceId& holder, const SlotAnswer& answer) {
  if (holder == self_) {
    OnSlotAnswer(answer);
  } else {
    SendPeer(holder, answer);
  }
}

void RouterActor::SendPeer(const InstanceId& to, PeerMessage message) {
  runtime_.actors.Send(Component::kPeers, PeerSend{to, std::move(message)});
}

void RouterActor::OnTick() {
  const TimePoint now = Now();
  std::vector<SearchKey> due;
  for (const auto& [key, open] : searches_) {
    const auto deadline = open.search->NextDeadline();
    if (deadline && *deadline <= now) {
      due.push_back(key);
    }
  }
  for (const SearchKey& key : due) {
    const auto found = searches_.find(key);
    if (found != searches_.end()) {
      Handle(key, found->second.search->Tick(now));
    }
  }
  Handle(admission_.Tick(now));
  ExchangeLoadDigests();
  UpdatePoolTotals();
  PublishMetrics();
}

void RouterActor::SendDigests(const std::vector<OutgoingDigest>& sends) {
  for (const OutgoingDigest& send : sends) {
    SendPeer(send.to, send.batch);
  }
}

// Sends this instance's load digest when it is due and applies the digests received from others.
void RouterActor::ExchangeLoadDigests() {
  const TimePoint now = Now();
  if (now >= next_digest_) {
    next_digest_ = now + digest_hub_.Period(*view_);
    SendDigests(digest_hub_.Tick(*view_, admission_.PoolLoads(now), now));
  }
  if (const auto others = digest_hub_.TakeOthersLoad(now)) {
    load_total_.OnDigest(*others, now);
  }
}

void RouterActor::UpdatePoolTotals() {
  std::set<std::uint64_t> pools;
  for (const EngineEntry& engine : view_->engines()) {
    pools.insert(LoadPool(engine));
  }
  for (const std::uint64_t pool : pools) {
    Handle(admission_.SetPoolTotal(pool, load_total_.LowerBound(pool, Now()), Now()));
  }
}

}  // namespace chiverail
