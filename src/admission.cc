#include "admission.h"

#include <algorithm>

#include "hash.h"

namespace chiverail {
namespace {

// Ended attempts are remembered this long; messages between instances are dropped when older.
constexpr Duration kEndedKept = seconds(60);

}  // namespace

Admission::Admission(InstanceId self, std::uint64_t generation, DataCentreId data_centre)
    : self_(std::move(self)), generation_(generation), data_centre_(std::move(data_centre)) {}

Admission::Engine* Admission::FindEngine(const UpstreamId& id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : found->second.get();
}

bool Admission::MayGrant(TimePoint now) const {
  return now < grants_until_ && now >= grants_from_;
}

// Requests may have ended and slots been handed over during a pause, so an owner first handles the
// messages that have waited.
void Admission::NoticePause(TimePoint now) {
  if (last_call_ != TimePoint::min() && now - last_call_ > kPauseGap) {
    grants_from_ = now + kBufferedTime;
    for (auto& [id, pool] : pools_) {
      pool.pumped_bound = 0;  // queues are served by the first SetPoolTotal afterwards
    }
  }
  last_call_ = now;
}

bool Admission::CanGrant(const Engine& engine, SlotClaim claim, TimePoint now) const {
  return engine.phase == OwnerPhase::kActive && engine.accepting && MayGrant(now) &&
         engine.slots.Load() < Limit(engine, claim, now);
}

void Admission::Grant(Engine& engine,
                      const QueuedRequest& ask,
                      TimePoint now,
                      AdmissionActions& actions) {
  engine.slots.Add({ask.key.request, ask.key.attempt, ask.holder, ask.workspace}, false, now);
  Count(engine, now);
  actions.push_back(
      SlotGranted{ask.holder, {ask.key.request, ask.key.attempt, engine.id, true, epoch_}});
}

void Admission::Refuse(const Engine& engine,
                       const QueuedRequest& ask,
                       ErrorCode code,
                       const char* message,
                       AdmissionActions& actions) const {
  actions.push_back(SlotRefused{ask.holder,
                                {ask.key.request, ask.key.attempt, engine.id, false, epoch_},
                                {code, message, Ran::kNo}});
}

void Admission::RefuseQueue(Engine& engine,
                            ErrorCode code,
                            const char* message,
                            AdmissionActions& actions) {
  for (const QueuedRequest& ask : engine.queue.TakeAll()) {
    Refuse(engine, ask, code, message, actions);
  }
}

// A queue is served by the claim of the request in it that has the strongest one.
SlotClaim Admission::QueueClaim(const Engine& engine) {
  return engine.queue.OldestLastResort() ? SlotClaim::kLastResort : SlotClaim::kCached;
}

// Grants queued requests while the engine has room.
void Admission::ServeQueue(Engine& engine, TimePoint now, AdmissionActions& actions) {
  for (const QueuedRequest& ask : engine.queue.TakeExpired(now)) {
    MarkEnded(ask.key, now);
    Refuse(engine, ask, ErrorCode::kDeadlineExpired, "no slot before the deadline", actions);
  }
  while (!engine.queue.empty() && CanGrant(engine, QueueClaim(engine), now)) {
    Grant(engine, *engine.queue.Pop(now), now, actions);
  }
}

// Brings everything that depends on an engine up to date after an event: its queue, its share of
// the pool's total, the other queues of the pool and its timer.
void Admission::Settle(Engine& engine, TimePoint now, AdmissionActions& actions) {
  Count(engine, now);
  ServeQueue(engine, now, actions);
  Pool& pool = pools_[engine.pool];
  if (engine.queue.empty()) {
    pool.waiting.erase(engine.id);
  } else {
    pool.waiting[engine.id] = &engine;
  }
  UpdateTimer(engine, now);
  ServePool(pool, now, actions);
}

// A higher load bound gives room at every engine of the pool. Grants raise the own count and so may
// raise the bound again; the loop ends since each round grants a queued request.
void Admission::ServePool(Pool& pool, TimePoint now, AdmissionActions& actions) {
  std::uint32_t bound = LoadBound(pool, SlotClaim::kLastResort, Duration::zero());
  while (MayGrant(now) && bound > pool.pumped_bound) {
    pool.pumped_bound = bound;
    for (auto waiting = pool.waiting.begin(); waiting != pool.waiting.end();) {
      Engine& engine = *waiting->second;
      ServeQueue(engine, now, actions);
      UpdateTimer(engine, now);
      waiting = engine.queue.empty() ? pool.waiting.erase(waiting) : std::next(waiting);
    }
    bound = LoadBound(pool, SlotClaim::kLastResort, Duration::zero());
  }
  pool.pumped_bound = MayGrant(now) ? bound : 0;
}

// Inherited slots join the own count only when digests of the previous owner that still include
// them have expired everywhere; otherwise they would be counted twice and the total err high.
void Admission::Count(Engine& engine, TimePoint now) {
  if (now >= engine.inherited_count_from) {
    engine.inherited_count_from = TimePoint::min();
  }
  std::uint32_t count = engine.slots.Running();
  if (engine.inherited_count_from != TimePoint::min()) {
    count -= std::min(count, engine.slots.InheritedOut());
  }
  if (!engine.accepting) {
    count = 0;
  }
  Pool& pool = pools_[engine.pool];
  pool.own += count - engine.counted;
  engine.counted = count;
}

void Admission::UpdateTimer(Engine& engine, TimePoint now) {
  TimePoint timer = engine.queue.NextDeadline();
  if (engine.slots.Out() > 0) {
    timer = std::min(timer, engine.slots.OldestGrant() + view_->manifest().longest_request);
  }
  if (engine.phase == OwnerPhase::kAwaitingHandover) {
    timer = std::min(timer, engine.patience);
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

void Admission::MarkEnded(const SlotKey& key, TimePoint now) {
  while (!ended_order_.empty() && ended_order_.front().first <= now - kEndedKept) {
    ended_.erase(ended_order_.front().second);
    ended_order_.pop_front();
  }
  const std::uint64_t hash = CombineHashes(HashText(key.request), key.attempt);
  if (ended_.insert(hash).second) {
    ended_order_.emplace_back(now, hash);
  }
}

bool Admission::HasEnded(const SlotKey& key) const {
  return ended_.count(CombineHashes(HashText(key.request), key.attempt)) > 0;
}

AdmissionActions Admission::Ask(const SlotAsk& ask, TimePoint now) {
  NoticePause(now);
  AdmissionActions actions;
  const QueuedRequest queued{{ask.request, ask.attempt},
                             ask.holder,
                             ask.workspace,
                             ask.request_class,
                             now + milliseconds(ask.wait_ms),
                             now,
                             ask.claim == SlotClaim::kLastResort};
  Engine* engine = FindEngine(ask.engine);
  if (engine == nullptr) {
    actions.push_back(SlotRefused{ask.holder,
                                  {ask.request, ask.attempt, ask.engine, false, epoch_},
                                  {ErrorCode::kNotReady, "not the engine's owner", Ran::kNo}});
    return actions;
  }
  if (const Slot* slot = engine->slots.Find(queued.key)) {
    if (slot->held.holder == ask.holder) {
      actions.push_back(
          SlotGranted{ask.holder, {ask.request, ask.attempt, ask.engine, true, epoch_}});
    }
    return actions;
  }
  if (engine->queue.Contains(queued.key)) {
    actions.push_back(SlotQueued{ask.holder, queued.key, ask.engine});
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
  if (!MayGrant(now)) {
    Refuse(*engine, queued, ErrorCode::kNotReady, "the owner may not grant slots at present",
           actions);
    return actions;
  }
  Settle(*engine, now, actions);
  if (engine->queue.empty() && CanGrant(*engine, ask.claim, now)) {
    Grant(*engine, queued, now, actions);
  } else if (ask.wait_ms == 0) {
    const bool active = engine->phase == OwnerPhase::kActive;
    Refuse(*engine, queued, active ? ErrorCode::kNoCapacity : ErrorCode::kNotReady,
           active ? "no free slot" : "the owner does not know the engine's load yet", actions);
  } else {
    double share = 1.0;
    const auto found = shares_.find(ask.workspace);
    if (found != shares_.end()) {
      share = found->second;
    }
    if (engine->queue.Push(queued, share, now)) {
      actions.push_back(SlotQueued{ask.holder, queued.key, ask.engine});
    } else {
      Refuse(*engine, queued, ErrorCode::kDeadlineExpired, "the queue is longer than the deadline",
             actions);
    }
  }
  Settle(*engine, now, actions);
  return actions;
}

AdmissionActions Admission::Release(const SlotRelease& release, TimePoint now) {
  NoticePause(now);
  AdmissionActions actions;
  const SlotKey key{release.request, release.attempt};
  const bool repeated = HasEnded(key);
  MarkEnded(key, now);
  Engine* engine = FindEngine(release.engine);
  if (engine == nullptr) {
    const auto sent = outgoing_.find(release.engine);
    if (sent != outgoing_.end() && !repeated) {
      actions.push_back(ForwardRelease{sent->second.to, release});
    }
    return actions;
  }
  const std::uint32_t out = engine->slots.Out();
  if (const auto slot = engine->slots.Free(key, now)) {
    if (release.completed) {
      engine->cold.OnCompleted(slot->granted, release.first_token_ms, now);
    } else {
      engine->cold.OnCut(out, now);
    }
  } else {
    engine->queue.Remove(key);
  }
  Settle(*engine, now, actions);
  return actions;
}

AdmissionActions Admission::OnLoadReport(const UpstreamId& engine_id,
                                         const LoadReport& report,
                                         TimePoint now) {
  NoticePause(now);
  AdmissionActions actions;
  Engine* engine = FindEngine(engine_id);
  if (engine == nullptr || report.sampled < engine->last_report) {
    return actions;
  }
  engine->last_report = report.sampled;
  engine->slots.OnReport(report.running, report.sampled);
  engine->cold.OnReport(report.start_id, report.cold, now);
  // The declared lag is waited out as well, in case the engine misstates the age of its samples.
  if (engine->phase == OwnerPhase::kAwaitingReport && report.sampled >= engine->since &&
      now >= engine->since + view_->manifest().load_report_lag) {
    engine->phase = OwnerPhase::kActive;
  }
  Settle(*engine, now, actions);
  return actions;
}

AdmissionActions Admission::OnHolderLost(const InstanceId& holder, TimePoint now) {
  NoticePause(now);
  AdmissionActions actions;
  for (auto& [id, engine] : engines_) {
    engine->slots.AbandonHolder(holder, now);
    engine->queue.RemoveHolder(holder);
    Settle(*engine, now, actions);
  }
  return actions;
}

AdmissionActions Admission::SetPoolTotal(std::uint64_t pool_id, TotalBound others, TimePoint now) {
  NoticePause(now);
  AdmissionActions actions;
  Pool& pool = pools_[pool_id];
  pool.others = others;
  ServePool(pool, now, actions);
  return actions;
}

AdmissionActions Admission::SetGrantsUntil(TimePoint until, TimePoint now) {
  NoticePause(now);
  const bool was_valid = MayGrant(now);
  grants_until_ = until;
  AdmissionActions actions;
  if (!was_valid) {
    for (auto& [id, pool] : pools_) {
      pool.pumped_bound = 0;
      ServePool(pool, now, actions);
    }
  }
  return actions;
}

AdmissionActions Admission::Tick(TimePoint now) {
  NoticePause(now);
  AdmissionActions actions;
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    Engine& engine = *timers_.begin()->second;
    engine.slots.AbandonGrantedBy(now - view_->manifest().longest_request, now);
    if (engine.phase == OwnerPhase::kAwaitingHandover && now >= engine.patience) {
      AwaitReport(engine, now);
    }
    Settle(engine, now, actions);
  }
  for (auto& [id, pool] : pools_) {
    if (pool.shrink_at <= now) {
      pool.engines = pool.next_engines;
      pool.shrink_at = TimePoint::max();
      pool.held_mean = 0;
      ServePool(pool, now, actions);
    }
  }
  RepeatHandovers(now, actions);
  return actions;
}

TimePoint Admission::NextDeadline() const {
  TimePoint next = timers_.empty() ? TimePoint::max() : timers_.begin()->first.first;
  for (const auto& [id, pool] : pools_) {
    next = std::min(next, pool.shrink_at);
  }
  for (const auto& [id, sent] : outgoing_) {
    next = std::min(next, sent.next);
  }
  return next;
}

std::vector<PoolLoad> Admission::PoolLoads(TimePoint now) {
  NoticePause(now);
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

std::optional<EngineStatus> Admission::Status(const UpstreamId& engine_id) const {
  const Engine* engine = FindEngine(engine_id);
  if (engine == nullptr) {
    return std::nullopt;
  }
  return EngineStatus{engine->phase, engine->slots.Out(), engine->slots.Foreign(),
                      Limit(*engine, SlotClaim::kLastResort, last_call_),
                      static_cast<std::uint32_t>(engine->queue.size())};
}

}  // namespace chiverail
