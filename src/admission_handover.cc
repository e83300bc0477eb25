#include <algorithm>

#include "admission.h"

namespace chiverail {
namespace {

// A lease lasts 15 s and observers add 2 s for clock differences, so an instance cannot have
// granted a slot later than this after it was last known to be alive.
constexpr Duration kLeaseExpiry = seconds(17);

// Timeout for a handover. By then a live previous owner has read the members row that made the
// change, since it reads the row with each renewal of its lease, or its lease has expired.
constexpr Duration kHandoverTimeout = seconds(20);

// A decrease of the number of engines takes effect after this time: by then the slowest instances
// have received the view (2 s), and their last digests that count requests at the removed engines
// have been sent (1 s), relayed (1.5 s) and have expired (3.5 s).
constexpr Duration kPoolShrinkDelay = seconds(8);

// Longest time that a digest takes to be relayed.
constexpr Duration kDigestRelay = milliseconds(1500);

// Initial interval at which a handover is resent, since there is no acknowledgement. It doubles
// with each resend.
constexpr Duration kHandoverResend = milliseconds(500);

// Resending ends once the interval exceeds this; a handover is thus sent after 0, 0.5, 1.5, 3.5,
// 7.5 and 15.5 s.
constexpr Duration kHandoverResendMax = seconds(8);

}  // namespace

bool AdmissionController::IsSelf(const Member* member) const {
  return member != nullptr && member->id == self_ && member->generation == generation_;
}

AdmissionActions AdmissionController::OnView(std::shared_ptr<const FleetView> view, TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  if (view_ && view->sequence() < view_->sequence()) {
    return actions;
  }
  first_view_ = view_ == nullptr;
  view_ = std::move(view);
  const std::uint64_t epoch = view_->Epoch(data_centre_);
  // Without an earlier view, the current epoch may be the one that made this run an owner.
  epoch_before_ = first_view_ ? (epoch > 0 ? epoch - 1 : 0) : epoch_;
  epoch_ = std::max(epoch_, epoch);
  shares_.clear();
  for (const Workspace& workspace : view_->manifest().workspaces) {
    if (workspace.share != 1.0) {
      shares_[workspace.id] = workspace.share;
    }
  }
  UpdatePools(now);
  for (const EngineEntry& entry : view_->engines()) {
    if (entry.upstream->data_centre == data_centre_) {
      UpdateEngine(entry, now, actions);
    }
  }
  std::vector<Engine*> removed;
  for (auto& [id, engine] : engines_) {
    if (view_->FindEngine(id) == nullptr) {
      removed.push_back(engine.get());
    }
  }
  for (Engine* engine : removed) {
    RemoveEngine(*engine, actions);
  }
  for (auto early = early_handovers_.begin(); early != early_handovers_.end();) {
    const AdmissionHandover handover = early->second;
    early = handover.epoch <= epoch_ ? early_handovers_.erase(early) : std::next(early);
    if (handover.epoch <= epoch_) {
      ForwardHandover(handover, now, actions);
    }
  }
  for (auto& [id, pool] : pools_) {
    ServePool(pool, now, actions);
  }
  return actions;
}

// Counts the accepting engines of each pool. The mean is taken over these only. A pool that loses
// engines keeps its old, lower bound until no digest includes the requests of those engines.
void AdmissionController::UpdatePools(TimePoint now) {
  std::map<std::uint64_t, std::uint32_t> engines;
  for (const EngineEntry& entry : view_->engines()) {
    engines[LoadPool(entry)] += entry.accepting ? 1 : 0;
  }
  for (auto& [id, pool] : pools_) {
    engines.insert({id, 0});
  }
  for (const auto& [id, count] : engines) {
    Pool& pool = pools_[id];
    if (count >= pool.engines) {
      pool.engines = count;
      pool.shrink_at = TimePoint::max();
      pool.held_mean = 0;
    } else if (pool.shrink_at == TimePoint::max() || count != pool.next_engines) {
      pool.shrink_at = now + kPoolShrinkDelay;
      pool.held_mean = std::max(pool.held_mean, Mean(pool, pool.others.present));
    }
    pool.next_engines = count;
  }
}

void AdmissionController::UpdateEngine(const EngineEntry& entry,
                                       TimePoint now,
                                       AdmissionActions& actions) {
  const UpstreamId& id = entry.upstream->id;
  const Member* owner = view_->AdmissionOwner(entry);
  Engine* engine = FindEngine(id);
  if (IsSelf(owner)) {
    if (engine == nullptr) {
      AddOwnedEngine(entry, now, actions);
    } else {
      CheckPreviousOwner(*engine, now);
    }
    engine = FindEngine(id);
    SetPool(*engine, LoadPool(entry));
    engine->accepting = entry.accepting;
    engine->max_concurrency = static_cast<std::uint32_t>(entry.upstream->max_concurrency);
    engine->cold.SetLimits(static_cast<std::uint32_t>(entry.upstream->cold_limit),
                           engine->max_concurrency);
    if (!engine->accepting) {
      RefuseQueue(*engine, ErrorCode::kNoUpstream, "the engine takes no new work", actions);
    }
    Reconcile(*engine, now, actions);
  } else if (engine != nullptr) {
    GiveUpEngine(*engine, owner, now, actions);
  }
  LastOwner& last_owner = last_owners_[id];
  const InstanceId owner_id = owner == nullptr ? InstanceId() : owner->id;
  const std::uint64_t generation = owner == nullptr ? 0 : owner->generation;
  if (last_owner.id != owner_id || last_owner.generation != generation) {
    last_owner = {owner_id, generation, now};
  }
}

void AdmissionController::SetPool(Engine& engine, std::uint64_t pool) {
  if (engine.pool != pool) {
    pools_[engine.pool].own -= engine.counted;
    pools_[engine.pool].queued_engines.erase(engine.id);
    engine.counted = 0;
    engine.pool = pool;
  }
}

// Adds an engine and decides what this instance, its new owner, waits for before it grants slots.
// The owner in the last view is alive, has been evicted (which proves that its lease has expired),
// or has restarted under a new generation, in which case its earlier run may still be paused with a
// valid lease.
void AdmissionController::AddOwnedEngine(const EngineEntry& entry,
                                         TimePoint now,
                                         AdmissionActions& actions) {
  const UpstreamId& id = entry.upstream->id;
  auto owned =
      std::make_unique<Engine>(id, static_cast<std::uint32_t>(entry.upstream->cold_limit),
                               static_cast<std::uint32_t>(entry.upstream->max_concurrency));
  Engine& engine = *owned;
  engines_[id] = std::move(owned);
  outgoing_handovers_.erase(id);
  SetPool(engine, LoadPool(entry));
  engine.gained_after_epoch = epoch_before_;
  engine.handover_deadline = now + kHandoverTimeout;
  const auto last_owner = last_owners_.find(id);
  if (last_owner == last_owners_.end()) {
    // In the first view, nothing is known about earlier owners. In a later view, an engine without
    // a known owner is itself new.
    engine.phase = AdmissionPhase::kAwaitingHandover;
    if (!first_view_) {
      AwaitReport(engine, now);
    }
  } else {
    engine.previous_owner = last_owner->second.id;
    engine.previous_owner_generation = last_owner->second.generation;
    engine.earlier_owners_stopped = last_owner->second.since + kHandoverTimeout;
    engine.phase = AdmissionPhase::kAwaitingHandover;
    CheckPreviousOwner(engine, now);
  }
  const auto early = early_handovers_.find(id);
  if (early != early_handovers_.end()) {
    const AdmissionHandover handover = early->second;
    early_handovers_.erase(early);
    AcceptHandover(engine, handover, now);
  }
  Reconcile(engine, now, actions);
}

void AdmissionController::AwaitReport(Engine& engine, TimePoint report_from) {
  engine.phase = AdmissionPhase::kAwaitingReport;
  engine.report_from = report_from;
}

void AdmissionController::CheckPreviousOwner(Engine& engine, TimePoint now) {
  if (engine.phase != AdmissionPhase::kAwaitingHandover ||
      (engine.previous_owner.empty() && first_view_)) {
    return;
  }
  const Member* previous_owner = view_->FindMember(engine.previous_owner);
  if (previous_owner == nullptr) {
    // The previous owner is no longer listed. If it owned the engine only briefly, the handover to
    // it from the owner before it may have been late, so that owner must have stopped as well.
    AwaitReport(engine,
                engine.previous_owner.empty() ? now : std::max(now, engine.earlier_owners_stopped));
  } else if (previous_owner->generation != engine.previous_owner_generation) {
    AwaitReport(engine, now + kLeaseExpiry);
  }
}

// Gives up an engine and sends its slots to the new owner at once. This instance grants no slot
// afterwards, so the new owner need not wait. A concurrency limit of 0 makes the new owner wait for
// a load report, because this owner does not know all of the engine's load either.
void AdmissionController::GiveUpEngine(Engine& engine,
                                       const Member* owner,
                                       TimePoint now,
                                       AdmissionActions& actions) {
  const bool load_known = engine.phase == AdmissionPhase::kActive;
  const bool report_due =
      engine.phase == AdmissionPhase::kAwaitingReport && now >= engine.report_from;
  if (load_known || report_due) {
    AdmissionHandover handover;
    handover.from = self_;
    handover.engine = engine.id;
    handover.epoch = epoch_;
    handover.revision = view_->revision();
    handover.slots = engine.slots.Held();
    if (load_known && engine.slots.Foreign() == 0) {
      handover.concurrency_limit = engine.cold.Limit();
    }
    StartHandover(owner, std::move(handover), now, actions);
  }
  RefuseQueue(engine, ErrorCode::kNotReady, "the engine's owner has changed", actions);
  RemoveEngine(engine, actions);
}

void AdmissionController::RemoveEngine(Engine& engine, AdmissionActions& actions) {
  RefuseQueue(engine, ErrorCode::kNoUpstream, "the engine has been removed", actions);
  Pool& pool = pools_[engine.pool];
  pool.own -= engine.counted;
  pool.queued_engines.erase(engine.id);
  timers_.erase({engine.timer, engine.id});
  const UpstreamId id = engine.id;
  engines_.erase(id);
}

// Sends a handover to the engine's owner and schedules its resends. An instance that has been
// evicted, or whose lease is not valid, must not send one: others may have granted slots since.
void AdmissionController::StartHandover(const Member* owner,
                                        AdmissionHandover handover,
                                        TimePoint now,
                                        AdmissionActions& actions) {
  const bool may_send = IsSelf(view_->FindMember(self_)) && now < grants_until_;
  if (!may_send || owner == nullptr || owner->id == self_) {
    return;
  }
  actions.push_back(SendHandover{owner->id, handover});
  const UpstreamId engine = handover.engine;
  outgoing_handovers_[engine] = {owner->id, std::move(handover), now + kHandoverResend,
                                 kHandoverResend, now + view_->manifest().longest_request};
}

// A handover for an engine that this instance does not own (any more) is forwarded to the current
// owner once, so that it is not lost when the owner changes in quick succession.
void AdmissionController::ForwardHandover(const AdmissionHandover& handover,
                                          TimePoint now,
                                          AdmissionActions& actions) {
  std::uint64_t& last_epoch = last_handover_epoch_[handover.engine];
  const EngineEntry* entry = view_->FindEngine(handover.engine);
  if (handover.epoch <= last_epoch || entry == nullptr) {
    return;
  }
  last_epoch = handover.epoch;
  AdmissionHandover forwarded = handover;
  forwarded.from = self_;
  forwarded.epoch = epoch_;
  StartHandover(view_->AdmissionOwner(*entry), std::move(forwarded), now, actions);
}

AdmissionActions AdmissionController::OnHandover(const AdmissionHandover& handover, TimePoint now) {
  DetectPause(now);
  AdmissionActions actions;
  Engine* engine = FindEngine(handover.engine);
  if (engine != nullptr) {
    AcceptHandover(*engine, handover, now);
    Reconcile(*engine, now, actions);
  } else if (handover.epoch > epoch_) {
    early_handovers_[handover.engine] = handover;
  } else {
    ForwardHandover(handover, now, actions);
  }
  return actions;
}

// Takes over the slots, unless the handover is a duplicate or belongs to an earlier change of
// owner. The sender is not checked: only the instance that granted last, or one that received its
// handover, can send one.
void AdmissionController::AcceptHandover(Engine& engine,
                                         const AdmissionHandover& handover,
                                         TimePoint now) {
  std::uint64_t& last_epoch = last_handover_epoch_[handover.engine];
  if (engine.phase == AdmissionPhase::kActive || handover.epoch <= engine.gained_after_epoch ||
      handover.epoch <= last_epoch) {
    return;
  }
  last_epoch = handover.epoch;
  for (const HeldSlot& held : handover.slots) {
    if (!HasEnded({held.request, held.attempt})) {
      engine.slots.Add(held, true, now);
    }
  }
  engine.slots.IgnoreReportsBefore(now);
  engine.inherited_count_from = now + kDigestLifetime + kDigestRelay;
  if (handover.concurrency_limit > 0) {
    engine.cold.OnHandover(handover.concurrency_limit, now);
    engine.phase = AdmissionPhase::kActive;
  } else {
    AwaitReport(engine, now);
  }
}

void AdmissionController::ResendHandovers(TimePoint now, AdmissionActions& actions) {
  for (auto next = outgoing_handovers_.begin(); next != outgoing_handovers_.end();) {
    OutgoingHandover& handover_out = next->second;
    if (now >= handover_out.expires) {
      next = outgoing_handovers_.erase(next);
      continue;
    }
    if (now >= handover_out.next && handover_out.interval > Duration::zero()) {
      actions.push_back(SendHandover{handover_out.to, handover_out.handover});
      handover_out.interval *= 2;
      if (handover_out.interval > kHandoverResendMax) {
        handover_out.interval = Duration::zero();
      }
      handover_out.next = handover_out.interval > Duration::zero() ? now + handover_out.interval
                                                                   : handover_out.expires;
    }
    ++next;
  }
}

}  // namespace chiverail
