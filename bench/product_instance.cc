#include "product_instance.h"

#include <utility>

#include "hash.h"
#include "product_policy.h"

namespace chiverail::bench {
namespace {

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kEngineDelay = std::chrono::microseconds(400);

RequestId RequestIdOf(std::uint32_t turn) {
  const std::string digits = std::to_string(turn);
  return "request-" + std::string(8 - digits.size(), '0') + digits;
}

std::uint32_t Milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(duration / milliseconds(1));
}

}  // namespace

ProductInstance::ProductInstance(ProductPolicy& policy,
                                 InstanceId id,
                                 std::uint64_t generation,
                                 const DataCentreId& data_centre,
                                 std::shared_ptr<const FleetView> view)
    : policy_(policy),
      id_(std::move(id)),
      generation_(generation),
      view_(std::move(view)),
      admission_(id_, generation, data_centre),
      load_total_(id_),
      hub_(id_, generation) {}

TimePoint ProductInstance::now() const {
  return policy_.world().loop().now();
}

template <typename F>
void ProductInstance::After(Duration delay, F run) {
  policy_.world().loop().After(delay, [self = shared_from_this(), run = std::move(run)] {
    if (!self->stopped_) {
      run();
    }
  });
}

void ProductInstance::Run() {
  Perform(admission_.OnView(view_, now()));
  Tick();
  PollReports();
  SendDigests();
}

// Callers resume their running streams through other instances, so only waiting requests are
// returned.
std::vector<std::uint32_t> ProductInstance::Stop() {
  stopped_ = true;
  std::vector<std::uint32_t> waiting_turns;
  for (const RequestId& request : searching_) {
    waiting_turns.push_back(sessions_.at(request).turn);
  }
  return waiting_turns;
}

void ProductInstance::CountCutSessions() {
  for (const auto& [request, session] : sessions_) {
    if (searching_.count(request) == 0) {
      policy_.world().Cut(session.turn);
    }
  }
}

void ProductInstance::OnRequest(std::uint32_t turn, std::uint32_t first_attempt) {
  Session& session = sessions_[RequestIdOf(turn)];
  session.turn = turn;
  Search(session, first_attempt);
}

void ProductInstance::Search(Session& session, std::uint32_t first_attempt) {
  const TraceTurn& turn = policy_.world().turn(session.turn);
  ChatRequest request;
  request.request = RequestIdOf(session.turn);
  request.workspace = view_->manifest().workspaces[turn.workspace].id;
  request.model = view_->manifest().models.front().id;
  request.chat = turn.chat;
  request.turn = turn.turn;
  request.prompt_tokens = turn.prompt_tokens;
  request.max_tokens = turn.output_tokens;
  request.deadline = turn.time + kRequestDeadline;
  request.region = "region";
  const CandidateList candidates = placement_.Rank(*view_, request, now());
  const RequestId id = request.request;
  searching_.insert(id);
  session.search.emplace(id_, view_, std::move(request), candidates, first_attempt);
  PerformSearch(id, session.search->Start(now()));
}

// Performs the actions in order. A slot request to this instance is answered synchronously, and the
// answer may end the search while its actions are still being performed.
void ProductInstance::PerformSearch(const RequestId& request, const SlotSearchActions& actions) {
  for (const SlotSearchAction& action : actions) {
    if (const auto* sent = std::get_if<SendSlotRequest>(&action)) {
      if (sent->owner == id_) {
        Perform(admission_.RequestSlot(sent->request, now()));
      } else {
        policy_.Send(id_, sent->owner, sent->request);
      }
    } else if (const auto* found = std::get_if<SlotFound>(&action)) {
      OnSlotFound(request, *found);
    } else if (const auto* returned_slot = std::get_if<ReleaseSlot>(&action)) {
      Release(returned_slot->release, returned_slot->owner);
    } else {
      policy_.RecordDecision(sessions_.at(request).turn, id_, 0);
      policy_.world().Refuse(sessions_.at(request).turn);

      searching_.erase(request);
      sessions_.erase(request);
    }
  }
}

void ProductInstance::OnSlotFound(const RequestId& request, const SlotFound& found) {
  Session& session = sessions_.at(request);
  searching_.erase(request);
  session.engine = found.engine;
  session.attempt = found.attempt;
  policy_.RecordSlot(OwnerOf(found.engine) != id_);
  policy_.RecordDecision(session.turn, id_, HashText(found.engine));
  After(kEngineDelay, [this, request] { StartAtEngine(request); });
}

// A stopped engine refuses the connection. The request has not run then, so a new search starts.
void ProductInstance::StartAtEngine(const RequestId& request) {
  Session& session = sessions_.at(request);
  World& world = policy_.world();
  const bool started = world.Start(session.turn, world.EngineIndex(session.engine),
                                   [self = shared_from_this(), request](const ServiceEnd& end) {
                                     if (!self->stopped_) {
                                       self->OnServiceEnd(request, end);
                                     }
                                   });
  if (!started) {
    Release({request, session.attempt, id_, session.engine, false, 0}, OwnerOf(session.engine));
    Search(session, session.search->next_attempt());
  }
}

void ProductInstance::OnServiceEnd(const RequestId& request, const ServiceEnd& end) {
  const Session& session = sessions_.at(request);
  const TraceTurn& turn = policy_.world().turn(session.turn);
  if (end.complete) {
    placement_.OnServed(turn.chat, session.engine, turn.turn, now());
  }
  Release(
      {request, session.attempt, id_, session.engine, end.complete, Milliseconds(end.first_token)},
      OwnerOf(session.engine));
  sessions_.erase(request);
}

InstanceId ProductInstance::OwnerOf(const UpstreamId& engine) const {
  const EngineEntry* entry = view_->FindEngine(engine);
  const Member* owner = entry == nullptr ? nullptr : view_->AdmissionOwner(*entry);
  return owner == nullptr ? InstanceId{} : owner->id;
}

void ProductInstance::Release(const SlotRelease& release, const InstanceId& owner) {
  if (owner == id_) {
    Perform(admission_.Release(release, now()));
  } else if (!owner.empty()) {
    policy_.Send(id_, owner, release);
  }
}

void ProductInstance::OnSlotAnswer(const SlotAnswer& answer) {
  const auto found = sessions_.find(answer.request);
  if (found != sessions_.end() && found->second.search) {
    PerformSearch(answer.request, found->second.search->OnAnswer(answer, now()));
  } else if (answer.granted) {
    Release({answer.request, answer.attempt, id_, answer.engine, false, 0}, OwnerOf(answer.engine));
  }
}

void ProductInstance::SendAnswer(const InstanceId& holder, const SlotAnswer& answer) {
  if (holder == id_) {
    OnSlotAnswer(answer);
  } else {
    policy_.Send(id_, holder, answer);
  }
}

void ProductInstance::Perform(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* granted = std::get_if<SlotGranted>(&action)) {
      SendAnswer(granted->holder, granted->answer);
    } else if (const auto* refused = std::get_if<SlotRefused>(&action)) {
      SendAnswer(refused->holder, refused->answer);
    } else if (const auto* handover = std::get_if<SendHandover>(&action)) {
      policy_.Send(id_, handover->to, handover->handover);
    } else if (const auto* forward = std::get_if<ForwardRelease>(&action)) {
      policy_.Send(id_, forward->to, forward->release);
    }
  }
}

void ProductInstance::Receive(const PeerMessage& message) {
  if (const auto* batch = std::get_if<DigestBatch>(&message)) {
    for (const OutgoingDigest& send : hub_.OnBatch(*batch, now())) {
      policy_.Send(id_, send.to, send.batch);
    }
    UpdateTotal();
  } else if (const auto* request = std::get_if<SlotRequest>(&message)) {
    Perform(admission_.RequestSlot(*request, now()));
  } else if (const auto* answer = std::get_if<SlotAnswer>(&message)) {
    OnSlotAnswer(*answer);
  } else if (const auto* release = std::get_if<SlotRelease>(&message)) {
    Perform(admission_.Release(*release, now()));
  } else if (const auto* handover = std::get_if<AdmissionHandover>(&message)) {
    Perform(admission_.OnHandover(*handover, now()));
  }
}

// A member that was removed, or has restarted under a new generation, no longer holds its slots.
void ProductInstance::SetView(const std::shared_ptr<const FleetView>& view) {
  if (view->sequence() <= view_->sequence()) {
    return;
  }
  const std::shared_ptr<const FleetView> previous = std::exchange(view_, view);
  Perform(admission_.OnView(view_, now()));
  for (const Member& member : previous->members()) {
    const Member* current = view_->FindMember(member.id);
    if (current == nullptr || current->generation != member.generation) {
      Perform(admission_.OnHolderLost(member.id, now()));
    }
  }
}

void ProductInstance::Tick() {
  Perform(admission_.Tick(now()));
  for (const Model& model : view_->manifest().models) {
    for (const std::uint32_t engine : view_->Candidates(model.id, "")) {
      const std::uint64_t pool = LoadPool(view_->engines()[engine]);
      Perform(admission_.SetPoolTotal(pool, load_total_.LowerBound(pool, now()), now()));
      break;
    }
  }
  const std::vector<RequestId> searching(searching_.begin(), searching_.end());
  for (const RequestId& request : searching) {
    SlotSearch& search = *sessions_.at(request).search;
    const auto deadline = search.NextDeadline();
    if (deadline && *deadline <= now()) {
      PerformSearch(request, search.Tick(now()));
    }
  }
  After(kTickInterval, [this] { Tick(); });
}

void ProductInstance::PollReports() {
  for (const EngineEntry& entry : view_->engines()) {
    const UpstreamId& id = entry.upstream->id;
    if (OwnerOf(id) != id_) {
      continue;
    }
    const SimLoadSample& sample = policy_.Sample(policy_.world().EngineIndex(id));
    LoadReport report;
    report.start_id = std::to_string(sample.start_id);
    report.running = sample.running;
    report.cold = sample.cold;
    report.sampled = sample.sampled_at;
    std::uint64_t& last_start_id = last_start_ids_[id];
    if (last_start_id != 0 && last_start_id != sample.start_id) {
      placement_.OnEngineRestarted(id);
    }
    last_start_id = sample.start_id;
    Perform(admission_.OnLoadReport(id, report, now()));
  }
  After(kReportInterval, [this] { PollReports(); });
}

void ProductInstance::SendDigests() {
  for (const OutgoingDigest& send : hub_.Tick(*view_, admission_.PoolLoads(now()), now())) {
    policy_.Send(id_, send.to, send.batch);
  }
  UpdateTotal();
  After(hub_.Period(*view_), [this] { SendDigests(); });
}

void ProductInstance::UpdateTotal() {
  if (const auto others = hub_.TakeOthersLoad(now())) {
    load_total_.OnDigest(*others, now());
  }
}

}  // namespace chiverail::bench
