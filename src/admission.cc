#include "admission.h"

#include <algorithm>

#include "hash.h"

namespace chiverail {
namespace {

// Ended attempts are remembered this long. Messages between instances are dropped when they are
// older, so a later message cannot refer to a forgotten attempt.
constexpr Duration kEndedRetention = seconds(60);

}  // namespace

AdmissionController::AdmissionController(InstanceId self,
                                         std::uint64_t generation,
                                         DataCentreId data_centre)
    : self_(std::move(self)), generation_(generation), data_centre_(std::move(data_centre)) {}

AdmissionController::Engine* AdmissionController::FindEngine(const UpstreamId& id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : found->second.get();
}

bool AdmissionController::GrantsPermitted(TimePoint now) const {
  return now < grants_until_ && now >= grants_from_;
}

// Requests may have ended, and slots may have been handed over, while the process was paused. The
// owner therefore handles the buffered messages for kBufferedTime before it grants again.
void AdmissionController::DetectPause(TimePoint now) {
  if (last_call_ != TimePoint::min() && now - last_call_ > kPauseGap) {
    grants_from_ = now + kBufferedTime;
    for (auto& [id, pool] : pools_) {
      pool.served_bound = 0;  // queues are served by the first SetPoolTotal afterwards
    }
  }
  last_call_ = now;
}

bool AdmissionController::CanGrant(const Engine& engine, SlotClaim claim, TimePoint now) const {
  return engine.phase == AdmissionPhase::kActive && engine.accepting && GrantsPermitted(now) &&
         engine.slots.Load() < Limit(engine, claim, now);
}

void AdmissionController::Grant(Engine& engine,
                                const QueuedRequest& queued,
                                TimePoint now,
                                AdmissionActions& actions) {
  engine.slots.Add({queued.key.request, queued.key.attempt, queued.holder, queued.workspace}, false,
                   now);
  UpdateOwnCount(engine, now);
  actions.push_back(SlotGranted{queued.holder,
                                {queued.key.request, queued.key.attempt, engine.id, true, epoch_}});
}

void AdmissionController::Refuse(const Engine& engine,
                                 const QueuedRequest& queued,
                                 ErrorCode code,
                                 const char* message,
                                 AdmissionActions& actions) const {
  actions.push_back(SlotRefused{queued.holder,
                                {queued.key.request, queued.key.attempt, engine.id, false, epoch_},
                                {code, message, Ran::kNo}});
}

void AdmissionController::RefuseQueue(Engine& engine,
                                      ErrorCode code,
                                      const char* message,
                                      AdmissionActions& actions) {
  for (const QueuedRequest& queued : engine.queue.TakeAll()) {
    Refuse(engine, queued, code, message, actions);
  }
}

// A queue is served with the strongest claim of its requests.
SlotClaim AdmissionController::QueueClaim(const Engine& engine) {
  return engine.queue.OldestLastResort() ? SlotClaim::kLastResort : SlotClaim::kCached;
}

// Refuses the queued requests whose deadline has passed, then grants slots to queued requests while
// the engine has free capacity.
void AdmissionController::ServeQueue(Engine& engine, TimePoint now, AdmissionActions& actions) {
  for (const QueuedRequest& queued : engine.queue.TakeExpired(now)) {
    MarkEnded(queued.key, now);
    Refuse(engine, queued, ErrorCode::kDeadlineExpired, "no slot before the deadline", actions);
  }
  while (!engine.queue.empty() && CanGrant(engine, QueueClaim(engine), now)) {
    Grant(engine, *engine.queue.Pop(now), now, actions);
  }
}

// Updates all state that depends on an engine after an event: its queue, its part of the pool's
// own count, its timer and the other queues of the pool.
void AdmissionController::Reconcile(Engine& engine, TimePoint now, AdmissionActions& actions) {
  UpdateOwnCount(engine, now);
  ServeQueue(engine, now, actions);
  Pool& pool = pools_[engine.pool];
  if (engine.queue.empty()) {
    pool.queued_engines.erase(engine.id);
  } else {
    pool.queued_engines[engine.id] = &engine;
  }
  UpdateTimer(engine, now);
  ServePool(pool, now, actions);
}

// A higher load bound frees capacity at every engine of the pool. Grants increase the own count and
// may thereby raise the bound again; the loop ends because each further round requires that a
// queued request was granted.
void AdmissionController::ServePool(Pool& pool, TimePoint now, AdmissionActions& actions) {
  std::uint32_t bound = LoadBound(pool, SlotClaim::kLastResort, Duration::zero());
  while (GrantsPermitted(now) && bound > pool.served_bound) {
    pool.served_bound = bound;
    for (auto next = pool.queued_engines.begin(); next != pool.queued_engines.end();) {
      Engine& engine = *next->second;
      ServeQueue(engine, now, actions);
      UpdateTimer(engine, now);
      next = engine.queue.empty() ? pool.queued_engines.erase(next) : std::next(next);
    }
    bound = LoadBound(pool, SlotClaim::kLastResort, Duration::zero());
  }
  pool.served_bound = GrantsPermitted(now) ? bound : 0;
}

// Inherited slots are added to the own count only after the previous owner's digests that still
// include them have expired everywhere. Otherwise they would be counted twice and the total would
// be too high.
void AdmissionController::UpdateOwnCount(Engine& engine, TimePoint now) {
  if (now >= engine.inherited_count_from) {
    engine.inherited_count_from = TimePoint::min();
  }
  std::uint32_t count = engine.slots.Running();
  if (engine.inherited_count_from != TimePoint::min()) {
    count -= std::min(count, engine.slots.InheritedInUse());
  }
  if (!engine.accepting) {
    count = 0;
  }
  Pool& pool = pools_[engine.pool];
  pool.own += count - engine.counted;
  engine.counted = count;
}

void AdmissionController::UpdateTimer(Engine& engine, TimePoint now) {
  TimePoint timer = engine.queue.NextDeadline();
  if (engine.slots.InUse() > 0) {
    timer = std::min(timer, engine.slots.OldestGrant() + view_->manifest().longest_request);
  }
  if (engine.phase == AdmissionPhase::kAwaitingHandover) {
    timer = std::min(timer, engine.handover_deadline);
  }
  if (engine.queue.OldestLastResort()) {
    timer = std::min<TimePoint>(timer, now + kLastResortStep);
  }
  if (engine.inherited_count_from != TimePoint::min()) {
    timer = std::min(timer, engine.inherited_count_from);
  }
  if (timer != engine.timer) {
    timers_.erase({engine.timer, engine.id});
    engine.timer = timer;
    if (timer != TimePoint::max()) {
      timers_[{timer, engine.id}] = &engine;
    }
  }
}

void AdmissionController::MarkEnded(const SlotKey& key, TimePoint now) {
  while (!ended_order_.empty() && ended_order_.front().first <= now - kEndedRetention) {
    ended_.erase(ended_order_.front().second);
    ended_order_.pop_front();
  }
  const std::uint64_t hash = CombineHashes(HashText(key.request), key.attempt);
  if (ended_.insert(hash).second) {
    ended_order_.emplace_back(now, hash);
  }
}

bool AdmissionController::HasEnded(const SlotKey& key) const {
  return ended_.count(CombineHashes(HashText(key.request), key.attempt)) > 0;
}

AdmissionActions AdmissionController::RequestSlot(const SlotRequest& request, TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  const QueuedRequest queued{{request.request, request.attempt},
                             request.holder,
                             request.workspace,
                             request.request_class,
                             now + milliseconds(request.wait_ms),
                             now,
                             request.claim == SlotClaim::kLastResort};
  Engine* engine = FindEngine(request.engine);
  if (engine == nullptr) {
    actions.push_back(SlotRefused{request.holder,
                                  {request.request, request.attempt, request.engine, false, epoch_},
                                  {ErrorCode::kNotReady, "not the engine's owner", Ran::kNo}});
    return actions;
  }
  if (const Slot* slot = engine->slots.Find(queued.key)) {
    if (slot->held.holder == request.holder) {
      actions.push_back(SlotGranted{
          request.holder, {request.request, request.attempt, request.engine, true, epoch_}});
    }
    return actions;
  }
  if (engine->queue.Contains(queued.key)) {
    actions.push_back(SlotQueued{request.holder, queued.key, request.engine});
    return actions;
  }
  if (HasEnded(queued.key)) {
    Refuse(*engine, queued, ErrorCode::kNoCapacity, "the attempt has already ended", actions);
    return actions;
  }
  if (!engine->accepting) {
    Refuse(*engine, queued, ErrorCode::kNoUpstream, "the engine takes no new work", actions);
    return actions;
  }
  if (!GrantsPermitted(now)) {
    Refuse(*engine, queued, ErrorCode::kNotReady, "the owner may not grant slots at present",
           actions);
    return actions;
  }
  Reconcile(*engine, now, actions);
  if (engine->queue.empty() && CanGrant(*engine, request.claim, now)) {
    Grant(*engine, queued, now, actions);
  } else if (request.wait_ms == 0) {
    const bool active = engine->phase == AdmissionPhase::kActive;
    Refuse(*engine, queued, active ? ErrorCode::kNoCapacity : ErrorCode::kNotReady,
           active ? "no free slot" : "the owner does not know the engine's load yet", actions);
  } else {
    double share = 1.0;
    const auto found = shares_.find(request.workspace);
    if (found != shares_.end()) {
      share = found->second;
    }
    if (engine->queue.Push(queued, share, now)) {
      actions.push_back(SlotQueued{request.holder, queued.key, request.engine});
    } else {
      Refuse(*engine, queued, ErrorCode::kDeadlineExpired, "the queue is longer than the deadline",
             actions);
    }
  }
  Reconcile(*engine, now, actions);
  return actions;
}

AdmissionActions AdmissionController::Release(const SlotRelease& release, TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  const SlotKey key{release.request, release.attempt};
  const bool repeated = HasEnded(key);
  MarkEnded(key, now);
  Engine* engine = FindEngine(release.engine);
  if (engine == nullptr) {
    const auto handover_out = outgoing_handovers_.find(release.engine);
    if (handover_out != outgoing_handovers_.end() && !repeated) {
      actions.push_back(ForwardRelease{handover_out->second.to, release});
    }
    return actions;
  }
  const std::uint32_t slots_in_use = engine->slots.InUse();
  if (const auto slot = engine->slots.Free(key, now)) {
    if (release.completed) {
      engine->cold.OnCompleted(slot->granted, release.first_token_ms, now);
    } else {
      engine->cold.OnAborted(slots_in_use, now);
    }
  } else {
    engine->queue.Remove(key);
  }
  Reconcile(*engine, now, actions);
  return actions;
}

AdmissionActions AdmissionController::OnLoadReport(const UpstreamId& engine_id,
                                                   const LoadReport& report,
                                                   TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  Engine* engine = FindEngine(engine_id);
  if (engine == nullptr || report.sampled < engine->last_report) {
    return actions;
  }
  engine->last_report = report.sampled;
  engine->slots.OnReport(report.running, report.sampled);
  engine->cold.OnReport(report.start_id, report.cold, now);
  // The declared report lag must have passed as well, in case the engine reports a wrong sample
  // age.
  if (engine->phase == AdmissionPhase::kAwaitingReport && report.sampled >= engine->report_from &&
      now >= engine->report_from + view_->manifest().load_report_lag) {
    engine->phase = AdmissionPhase::kActive;
  }
  Reconcile(*engine, now, actions);
  return actions;
}

AdmissionActions AdmissionController::OnHolderLost(const InstanceId& holder, TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  for (auto& [id, engine] : engines_) {
    engine->slots.AbandonHolder(holder, now);
    engine->queue.RemoveHolder(holder);
    Reconcile(*engine, now, actions);
  }
  return actions;
}

AdmissionActions AdmissionController::SetPoolTotal(std::uint64_t pool_id,
                                                   TotalBound others,
                                                   TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  Pool& pool = pools_[pool_id];
  pool.others = others;
  ServePool(pool, now, actions);
  return actions;
}

AdmissionActions AdmissionController::SetGrantsUntil(TimePoint until, TimePoint now) {
  DetectPause(now);
  const bool could_grant = GrantsPermitted(now);
  grants_until_ = until;
  AdmissionActions actions;
  if (!could_grant) {
    for (auto& [id, pool] : pools_) {
      pool.served_bound = 0;
      ServePool(pool, now, actions);
    }
  }
  return actions;
}

AdmissionActions AdmissionController::Tick(TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    Engine& engine = *timers_.begin()->second;
    engine.slots.AbandonGrantedBy(now - view_->manifest().longest_request, now);
    if (engine.phase == AdmissionPhase::kAwaitingHandover && now >= engine.handover_deadline) {
      AwaitReport(engine, now);
    }
    Reconcile(engine, now, actions);
  }
  for (auto& [id, pool] : pools_) {
    if (pool.shrink_at <= now) {
      pool.engines = pool.next_engines;
      pool.shrink_at = TimePoint::max();
      pool.held_mean = 0;
      ServePool(pool, now, actions);
    }
  }
  ResendHandovers(now, actions);
  return actions;
}

TimePoint AdmissionController::NextDeadline() const {
  TimePoint next = timers_.empty() ? TimePoint::max() : timers_.begin()->first.first;
  for (const auto& [id, pool] : pools_) {
    next = std::min(next, pool.shrink_at);
  }
  for (const auto& [id, handover_out] : outgoing_handovers_) {
    next = std::min(next, handover_out.next);
  }
  return next;
}

std::vector<PoolLoad> AdmissionController::PoolLoads(TimePoint now) {
  DetectPause(now);
  std::vector<PoolLoad> loads;
  if (now < grants_from_) {
    return loads;
  }
  for (const auto& [id, pool] : pools_) {
    if (pool.own > 0) {
      loads.push_back({id, pool.own});
    }
  }
  return loads;
}

std::optional<OwnedEngineStatus> AdmissionController::Status(const UpstreamId& engine_id) const {
  const Engine* engine = FindEngine(engine_id);
  if (engine == nullptr) {
    return std::nullopt;
  }
  return OwnedEngineStatus{engine->phase, engine->slots.InUse(), engine->slots.Foreign(),
                           Limit(*engine, SlotClaim::kLastResort, last_call_),
                           static_cast<std::uint32_t>(engine->queue.size())};
}

}  // namespace chiverail
