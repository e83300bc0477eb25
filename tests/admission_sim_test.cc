#include "admission_sim.h"

namespace chiverail::admission_sim {
namespace {

constexpr int kMaxConcurrency = 40;
constexpr Duration kLeaseDuration = seconds(15);
constexpr Duration kEvictionDelay = seconds(17);

}  // namespace

FleetSim::FleetSim(const SimOptions& options, std::uint64_t seed)
    : options_(options),
      site_(options.engines, kSimColdLimit, kMaxConcurrency),
      random_(seed),
      end_(now_ + options.length),
      true_load_(options.engines) {
  auto manifest = std::make_shared<Manifest>(*site_.state().manifest);
  manifest->load_report_lag = milliseconds(1000);
  manifest->longest_request = seconds(40);
  manifest->load_floor = options.load_floor;
  site_.state().manifest = manifest;
  FakeEngineOptions engine;
  engine.cold_limit = kSimColdLimit;
  engine.cold_time = seconds(8);
  engines_.assign(static_cast<std::size_t>(options.engines), FakeEngine(engine));
  latest_ = site_.View();
  for (int i = 0; i < options.instances; ++i) {
    AddInstance("i" + std::to_string(next_instance_++), 1, true);
  }
}

void FleetSim::Schedule(TimePoint time, Event event) {
  events_.push({time, order_++, std::make_shared<Event>(std::move(event))});
}

// Schedules an event at an instance. A paused instance handles it when it resumes; a dead instance
// never handles it.
void FleetSim::ScheduleOn(int instance, TimePoint time, std::function<void(Instance&)> event) {
  Instance* target = instances_[instance].get();
  const auto generation = target->generation;
  Schedule(time, [this, target, generation, event = std::move(event)] {
    if (!target->alive || target->generation != generation) {
      return;
    }
    if (now_ < target->paused_until) {
      target->backlog.push_back([target, generation, event] {
        if (target->alive && target->generation == generation) {
          event(*target);
        }
      });
      return;
    }
    event(*target);
  });
}

void FleetSim::Send(int from, int to, std::function<void(Instance&)> event) {
  if (to < 0 || from == to) {
    if (to >= 0) {
      ScheduleOn(to, now_, std::move(event));
    }
    return;
  }
  const auto delay = [this] { return Random(20) == 0 ? RandomMs(200, 900) : RandomMs(1, 30); };
  if (Random(1000) >= options_.message_loss) {
    ScheduleOn(to, now_ + delay(), event);
  }
  if (Random(1000) < options_.message_loss) {
    ScheduleOn(to, now_ + delay() + RandomMs(0, 3000), std::move(event));
  }
}

int FleetSim::IndexOf(const InstanceId& id) const {
  for (std::size_t i = instances_.size(); i-- > 0;) {
    if (instances_[i]->id == id && instances_[i]->alive) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

int FleetSim::OwnerIndex(const Instance& viewer, const UpstreamId& engine) const {
  const Member* owner = viewer.view->AdmissionOwner(*viewer.view->FindEngine(engine));
  return owner == nullptr ? -1 : IndexOf(owner->id);
}

// Starts an instance: it reads the rows, writes its lease and joins.
void FleetSim::AddInstance(const InstanceId& id, std::uint64_t generation, bool join) {
  auto instance = std::make_unique<Instance>();
  instance->id = id;
  instance->generation = generation;
  instance->admission = std::make_unique<AdmissionController>(id, generation, "dc");
  instance->total = std::make_unique<LoadTotal>(id);
  instance->reports.resize(static_cast<std::size_t>(options_.engines));
  instance->owner_since.resize(static_cast<std::size_t>(options_.engines));
  instance->renewed = now_;
  const int index = static_cast<int>(instances_.size());
  instances_.push_back(std::move(instance));
  Instance& added = *instances_.back();
  added.view = latest_;
  added.admission->OnView(latest_, now_);
  added.admission->SetGrantsUntil(now_ + kLeaseDuration, now_);
  if (join) {
    site_.Add(id, generation);
    latest_ = site_.View();
    ApplyView(index);
  }
  SchedulePoll(index);
  ScheduleDigest(index);
  ScheduleReportPoll(index);
  ScheduleTick(index);
}

void FleetSim::ApplyView(int instance) {
  Instance& self = *instances_[instance];
  const auto before = self.view;
  self.view = latest_;
  for (int engine = 0; engine < options_.engines; ++engine) {
    const Member* old_owner = before->AdmissionOwner(before->engines()[engine]);
    const Member* new_owner = latest_->AdmissionOwner(latest_->engines()[engine]);
    if (new_owner != nullptr && new_owner->id == self.id &&
        (old_owner == nullptr || old_owner->id != self.id)) {
      self.owner_since[engine] = now_;
    }
  }
  Perform(instance, self.admission->OnView(latest_, now_));
}

// Reads the members row every 1 to 2 s and renews the lease every 5 s in the same round.
void FleetSim::SchedulePoll(int instance) {
  ScheduleOn(instance, now_ + RandomMs(1000, 2000), [this, instance](Instance& self) {
    const Member* listed = latest_->FindMember(self.id);
    if (listed == nullptr || listed->generation != self.generation) {
      if (self.stopping || (listed != nullptr && listed->generation > self.generation)) {
        Kill(instance);
        return;
      }
      // Evicted: joins again under a new generation; its running streams continue.
      ++self.generation;
      self.digest_sequence = 0;
      self.admission = std::make_unique<AdmissionController>(self.id, self.generation, "dc");
      self.total = std::make_unique<LoadTotal>(self.id);
      self.admission->OnView(latest_, now_);
      site_.Add(self.id, self.generation);
      latest_ = site_.View();
      ApplyView(instance);
      ScheduleDigest(instance);
      ScheduleReportPoll(instance);
      ScheduleTick(instance);
    }
    if (now_ - self.renewed >= seconds(5)) {
      self.renewed = now_;
      Perform(instance, self.admission->SetGrantsUntil(now_ + kLeaseDuration, now_));
    } else if (self.view == latest_) {
      SchedulePoll(instance);
      return;
    }
    if (self.view != latest_) {
      const auto before = self.view;
      ApplyView(instance);
      for (const Member& member : before->members()) {
        if (latest_->FindMember(member.id) == nullptr) {
          Perform(instance, self.admission->OnHolderLost(member.id, now_));
        }
      }
    }
    SchedulePoll(instance);
  });
}

void FleetSim::ScheduleDigest(int instance) {
  ScheduleOn(instance, now_ + milliseconds(1000), [this, instance](Instance& self) {
    const LoadDigest digest{
        self.id, self.generation, ++self.digest_sequence, 0, 0, self.admission->PoolLoads(now_)};
    for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
      if (static_cast<int>(peer) != instance && Random(10) != 0) {
        ScheduleOn(static_cast<int>(peer), now_ + RandomMs(5, 1200),
                   [this, peer, digest](Instance& other) {
                     other.total->OnDigest(digest, now_);
                     const std::uint64_t pool = LoadPool(other.view->engines()[0]);
                     Perform(static_cast<int>(peer),
                             other.admission->SetPoolTotal(
                                 pool, other.total->LowerBound(pool, now_), now_));
                   });
      }
    }
    const std::uint64_t pool = LoadPool(self.view->engines()[0]);
    Perform(instance, self.admission->SetPoolTotal(pool, self.total->LowerBound(pool, now_), now_));
    ScheduleDigest(instance);
  });
}

void FleetSim::ScheduleReportPoll(int instance) {
  ScheduleOn(instance, now_ + milliseconds(1000), [this, instance](Instance& self) {
    for (int engine = 0; engine < options_.engines; ++engine) {
      if (options_.policy == SimPolicy::kAdmission && !self.admission->Status(EngineId(engine))) {
        continue;
      }
      const LoadReport report = engines_[engine].Report(now_);
      ScheduleOn(instance, now_ + RandomMs(1, 200),
                 [this, instance, engine, report](Instance& owner) {
                   owner.reports[engine] = report;
                   Perform(instance, owner.admission->OnLoadReport(EngineId(engine), report, now_));
                 });
    }
    ScheduleReportPoll(instance);
  });
}

void FleetSim::ScheduleTick(int instance) {
  ScheduleOn(instance, now_ + milliseconds(250), [this, instance](Instance& self) {
    if (self.admission->NextDeadline() <= now_) {
      Perform(instance, self.admission->Tick(now_));
    }
    ScheduleTick(instance);
  });
}

// Removes an instance from the members row once its lease has expired.
void FleetSim::Evict(const InstanceId& id, std::uint64_t generation) {
  for (const auto& instance : instances_) {
    if (instance->id == id && instance->generation == generation) {
      const TimePoint expiry = instance->renewed + kEvictionDelay;
      if (now_ < expiry) {
        Schedule(expiry, [this, id, generation] { Evict(id, generation); });
        return;
      }
    }
  }
  const Member* listed = latest_->FindMember(id);
  if (listed != nullptr && listed->generation == generation) {
    site_.Evict(id);
    latest_ = site_.View();
    ++result_.owner_changes;
  }
}

void FleetSim::Kill(int instance) {
  Instance& victim = *instances_[instance];
  victim.alive = false;
  for (std::size_t engine = 0; engine < true_load_.size(); ++engine) {
    for (auto slot = true_load_[engine].begin(); slot != true_load_[engine].end();) {
      if (slot->second == instance) {
        engines_[engine].Finish({slot->first.first, slot->first.second}, now_);
        slot = true_load_[engine].erase(slot);
        recent_ends_.push_back(now_);
      } else {
        ++slot;
      }
    }
  }
}

void FleetSim::RestartEngine(int engine) {
  engines_[engine].Restart(now_);
  const auto aborted = std::move(true_load_[engine]);
  true_load_[engine].clear();
  for (const auto& [key, holder] : aborted) {
    recent_ends_.push_back(now_);
    const auto [id, attempt] = key;
    ScheduleOn(holder, now_ + RandomMs(5, 50),
               [this, holder = holder, id = id, attempt = attempt](Instance&) {
                 EndRun(holder, id, attempt, false, 0);
               });
  }
}

// Schedules faults of the fleet, one every few seconds.
void FleetSim::ScheduleFault() {
  Schedule(now_ + RandomMs(4000, 20000), [this] {
    const int instance = Random(static_cast<int>(instances_.size()));
    Instance& victim = *instances_[instance];
    const int engine = Random(options_.engines);
    const int kind = Random(8);
    if (kind < 5 && options_.membership_faults && victim.alive && !victim.stopping) {
      const InstanceId id = victim.id;
      const auto generation = victim.generation;
      if (kind == 0) {  // crashes and is replaced under another id
        Kill(instance);
        Evict(id, generation);
        Schedule(now_ + RandomMs(500, 5000),
                 [this] { AddInstance("i" + std::to_string(next_instance_++), 1, true); });
      } else if (kind == 1) {  // crashes and restarts under the same id
        Kill(instance);
        Schedule(now_ + RandomMs(500, 5000),
                 [this, id, generation] { AddInstance(id, generation + 1, true); });
      } else if (kind == 2) {  // is paused, perhaps beyond its lease
        victim.paused_until = now_ + RandomMs(1000, 25000);
        Evict(id, generation);
        Schedule(victim.paused_until, [this, &victim] {
          std::vector<Event> backlog = std::move(victim.backlog);
          victim.backlog.clear();
          for (const Event& event : backlog) {
            event();
          }
        });
      } else if (kind == 3) {  // leaves in a planned departure
        victim.stopping = true;
        site_.SetLeaving(id);
        latest_ = site_.View();
        ++result_.owner_changes;
        Schedule(now_ + seconds(20), [this, id, &victim] {
          if (victim.alive) {
            site_.Evict(id);
            latest_ = site_.View();
          }
        });
        AddInstance("i" + std::to_string(next_instance_++), 1, true);
      } else {  // a further instance joins
        ++result_.owner_changes;
        AddInstance("i" + std::to_string(next_instance_++), 1, true);
      }
    } else if (kind >= 5 && options_.engine_faults) {
      if (kind == 5) {
        RestartEngine(engine);
      } else if (kind == 6) {
        engines_[engine].TurnCold(now_);
      } else {
        auto& leaving = site_.state().draining_upstreams;
        if (leaving.count(EngineId(engine)) > 0 || leaving.size() >= 2) {
          leaving.clear();
        } else {
          leaving.insert(EngineId(engine));
        }
        latest_ = site_.View();
      }
    }
    ScheduleFault();
  });
}

SimResult FleetSim::Run() {
  ScheduleArrival();
  ScheduleSample();
  if (options_.membership_faults || options_.engine_faults) {
    ScheduleFault();
  }
  while (!events_.empty() && events_.top().time < end_) {
    const Scheduled next = events_.top();
    events_.pop();
    now_ = next.time;
    (*next.event)();
  }
  return result_;
}

}  // namespace chiverail::admission_sim
