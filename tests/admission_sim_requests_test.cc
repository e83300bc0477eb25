#include "admission_sim.h"

#include <algorithm>
#include <cmath>

namespace chiverail::admission_sim {
namespace {

constexpr double kMultiple = 1.25;  // the manifest's default

// Maximum age of a request in a total: the lifetime of a digest, its relay, a pause too short to be
// detected, and the lag of the load report from which the sender of the digest counted.
constexpr Duration kMaxTotalAge = milliseconds(3500 + 1500 + 1500 + 1000);

// A sign of a cold engine reaches the engine's owner within the lag of a report, the polling
// interval and the delay of the answer.
constexpr Duration kColdDetection = milliseconds(1000 + 1000 + 200);

// A new owner that takes over before the previous one has polled the sign detects it with its own
// first poll, after a polling interval and the delay of the answer.
constexpr Duration kFirstReport = milliseconds(1000 + 200);

}  // namespace

// Schedules the arrivals of requests, each at the owner of its home engine or, with a stale
// address, at any instance.
void FleetSim::ScheduleArrival() {
  const double elapsed_s = std::chrono::duration<double>(now_ - (end_ - options_.length)).count();
  const bool surge = elapsed_s > 20 && elapsed_s < 35;
  const double rate = options_.requests_per_s * (surge ? options_.surge : 1.0);
  const int gap_us = static_cast<int>(2e6 / rate);
  Schedule(now_ + std::chrono::microseconds(1 + Random(gap_us)), [this] {
    ++result_.arrived;
    Request request;
    request.id = "r" + std::to_string(next_request_++);
    request.workspace = "w" + std::to_string(Random(5));
    request.tokens = options_.tokens / 4 +
                     static_cast<std::uint64_t>(Random(static_cast<int>(options_.tokens * 3 / 2)));
    // Each chat has its own order of engines; a few popular chats load their engines more than
    // others.
    const int chat = Random(10) == 0 ? Random(10) : Random(400);
    request.chat = "c" + std::to_string(chat);
    const int home = chat * 7 % options_.engines;
    const int step = 1 + chat % (options_.engines / 2);
    for (int i = 0; i < 3; ++i) {
      request.engines[i] = (home + i * step) % options_.engines;
    }
    int recipient = Random(static_cast<int>(instances_.size()));
    const Instance& router = *instances_[recipient];
    if (Random(5) != 0) {
      const int owner = OwnerIndex(router, EngineId(request.engines[0]));
      recipient = owner >= 0 ? owner : recipient;
    }
    Instance& holder = *instances_[recipient];
    if (holder.alive && now_ >= holder.paused_until) {
      const RequestId id = request.id;
      holder.requests[id] = std::move(request);
      Attempt(recipient, id);
    }
    ScheduleArrival();
  });
}

void FleetSim::Attempt(int instance, const RequestId& id) {
  Instance& holder = *instances_[instance];
  Request& request = holder.requests[id];
  if (request.attempt >= 4) {
    holder.requests.erase(id);
    return;
  }
  const bool last = request.attempt == 3;
  request.engine = request.engines[last ? 0 : request.attempt];
  ++request.attempt;
  request.awaiting_slot = true;
  if (options_.policy == SimPolicy::kReportOnly) {
    AttemptByReport(holder, request);
    return;
  }
  const SlotRequest slot_request{id,
                                 request.attempt,
                                 holder.id,
                                 EngineId(request.engine),
                                 request.workspace,
                                 static_cast<RequestClass>(Random(3)),
                                 last ? 10000U : 0U,
                                 holder.view->Epoch("dc"),
                                 last ? SlotClaim::kLastResort : SlotClaim::kCached};
  const int owner = OwnerIndex(holder, slot_request.engine);
  Send(instance, owner, [this, owner, slot_request](Instance& target) {
    Perform(owner, target.admission->RequestSlot(slot_request, now_));
  });
  const std::uint32_t attempt = request.attempt;
  const int engine = request.engine;
  request.use_by = now_ + kGrantWindow + milliseconds(slot_request.wait_ms);
  // A paused holder abandons the attempt late, but cannot use the slot after `use_by`.
  Schedule(request.use_by, [this, &holder, id, attempt, engine] {
    const auto found = holder.requests.find(id);
    if (found != holder.requests.end() && found->second.attempt == attempt &&
        found->second.awaiting_slot) {
      EraseTrueLoad(engine, id, attempt);
    }
  });
  ScheduleOn(instance, request.use_by,
             [this, instance, id, attempt](Instance&) { AbandonAttempt(instance, id, attempt); });
}

// Policy for comparison: each router decides by itself from the last load reports.
void FleetSim::AttemptByReport(Instance& holder, Request& request) {
  std::uint64_t total = 0;
  for (const LoadReport& report : holder.reports) {
    total += report.running;
  }
  const LoadReport& report = holder.reports[request.engine];
  const double bound = std::ceil(kMultiple * static_cast<double>(total + 1) / options_.engines);
  const int index = IndexOf(holder.id);
  int own = 0;
  for (const auto& [key, owner] : true_load_[request.engine]) {
    own += owner == index ? 1 : 0;
  }
  if (index >= 0 && report.running < bound && !(report.cold && own >= kSimColdLimit)) {
    CheckGrant(holder, request.engine);
    true_load_[request.engine][{request.id, request.attempt}] = index;
    StartRun(index, request);
  } else if (index >= 0) {
    ScheduleOn(index, now_ + milliseconds(100), [this, index, id = request.id](Instance& self) {
      if (self.requests.count(id) > 0) {
        Attempt(index, id);
      }
    });
  }
}

// Ends an attempt without an answer. The release frees the slot or removes the queued request.
void FleetSim::AbandonAttempt(int instance, const RequestId& id, std::uint32_t attempt) {
  Instance& holder = *instances_[instance];
  const auto found = holder.requests.find(id);
  if (found == holder.requests.end() || found->second.attempt != attempt ||
      !found->second.awaiting_slot) {
    return;
  }
  found->second.awaiting_slot = false;
  EraseTrueLoad(found->second.engine, id, attempt);
  SendRelease(instance, {id, attempt, holder.id, EngineId(found->second.engine), false, 0});
  Attempt(instance, id);
}

void FleetSim::SendRelease(int instance, const SlotRelease& release) {
  const int owner = OwnerIndex(*instances_[instance], release.engine);
  Send(instance, owner, [this, owner, release](Instance& target) {
    Perform(owner, target.admission->Release(release, now_));
  });
}

// Number of accepting engines and of requests at them.
std::pair<int, std::uint64_t> FleetSim::AcceptingLoad() const {
  int engines = 0;
  std::uint64_t total = 0;
  for (int i = 0; i < options_.engines; ++i) {
    if (Accepts(i)) {
      ++engines;
      total += true_load_[i].size();
    }
  }
  return {engines, total};
}

// Removes a request that no longer holds a slot from the true load, and records the time.
void FleetSim::EraseTrueLoad(int engine, const RequestId& id, std::uint32_t attempt) {
  if (true_load_[engine].erase({id, attempt}) > 0) {
    recent_ends_.push_back(now_);
  }
}

// Checks a grant against the true load, before the grant is counted. The mean is taken over the
// engines that accept work by the granting instance's view; views lag by up to 2 s.
void FleetSim::CheckGrant(const Instance& granting, int engine) {
  ++result_.grants;
  int engines = 0;
  std::uint64_t total = 0;
  for (int i = 0; i < options_.engines; ++i) {
    const bool accepting = granting.view->engines()[i].accepting;
    engines += accepting ? 1 : 0;
    total += accepting || Accepts(i) ? true_load_[i].size() : 0;
  }
  while (!recent_ends_.empty() && recent_ends_.front() < now_ - kMaxTotalAge) {
    recent_ends_.pop_front();
  }
  const auto bound = [&](std::uint64_t requests) {
    return std::max<double>(options_.load_floor,
                            std::ceil(kMultiple * static_cast<double>(requests + 1) / engines));
  };
  const double load = static_cast<double>(true_load_[engine].size()) + 1;
  const double mean = static_cast<double>(total + 1) / engines;
  result_.bound_violations += load > bound(total + recent_ends_.size()) ? 1 : 0;
  result_.above_current_bound += load > bound(total) ? 1 : 0;
  if (mean >= 4) {
    result_.worst_at_grant = std::max(result_.worst_at_grant, load / mean);
  }
  result_.cold_grants += engines_[engine].IsCold(now_) ? 1 : 0;
  if (engines_[engine].IsCold(now_) && load > kSimColdLimit) {
    const bool detectable = now_ > engines_[engine].ColdSince() + kColdDetection &&
                            now_ > granting.owner_since[engine] + kFirstReport;
    ++(detectable ? result_.cold_violations : result_.cold_undetected_excess);
  }
}

void FleetSim::Perform(int instance, const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* granted = std::get_if<SlotGranted>(&action)) {
      const SlotAnswer answer = granted->answer;
      const int holder = IndexOf(granted->holder);
      if (holder < 0) {
        continue;
      }
      const int engine = EngineIndex(answer.engine);
      const auto found = instances_[holder]->requests.find(answer.request);
      const bool usable = found != instances_[holder]->requests.end() &&
                          found->second.attempt == answer.attempt && found->second.awaiting_slot &&
                          now_ < found->second.use_by;
      const std::pair<RequestId, std::uint32_t> key{answer.request, answer.attempt};
      if (usable && true_load_[engine].count(key) == 0) {
        CheckGrant(*instances_[instance], engine);
        true_load_[engine][key] = holder;
        const auto status = instances_[instance]->admission->Status(answer.engine);
        result_.unknown_load +=
            status && true_load_[engine].size() > status->slots + status->foreign;
        granted_.insert(key);
      }
      if (granted_.insert(key).second) {
        recent_ends_.push_back(now_);  // its holder has abandoned the attempt and sent a release
      }
      Send(instance, holder, [this, holder, answer](Instance&) { OnAnswer(holder, answer); });
    } else if (const auto* refused = std::get_if<SlotRefused>(&action)) {
      const int holder = IndexOf(refused->holder);
      const SlotAnswer answer = refused->answer;
      Send(instance, holder, [this, holder, answer](Instance&) { OnAnswer(holder, answer); });
    } else if (const auto* sent = std::get_if<SendHandover>(&action)) {
      const int to = IndexOf(sent->to);
      const AdmissionHandover handover = sent->handover;
      Send(instance, to, [this, to, handover](Instance& target) {
        Perform(to, target.admission->OnHandover(handover, now_));
      });
    } else if (const auto* forward = std::get_if<ForwardRelease>(&action)) {
      const int to = IndexOf(forward->to);
      const SlotRelease release = forward->release;
      Send(instance, to, [this, to, release](Instance& target) {
        Perform(to, target.admission->Release(release, now_));
      });
    }
  }
}

void FleetSim::OnAnswer(int instance, const SlotAnswer& answer) {
  Instance& holder = *instances_[instance];
  const auto found = holder.requests.find(answer.request);
  const bool current = found != holder.requests.end() && found->second.attempt == answer.attempt;
  if (current && found->second.running) {
    return;  // duplicate answer
  }
  if (!current || !found->second.awaiting_slot) {
    if (answer.granted) {
      SendRelease(instance, {answer.request, answer.attempt, holder.id, answer.engine, false, 0});
    }
    return;
  }
  if (now_ >= found->second.use_by) {
    AbandonAttempt(instance, answer.request, answer.attempt);
  } else if (answer.granted) {
    StartRun(instance, found->second);
  } else {
    found->second.awaiting_slot = false;
    EraseTrueLoad(found->second.engine, answer.request, answer.attempt);
    Attempt(instance, answer.request);
  }
}

void FleetSim::StartRun(int instance, Request& request) {
  request.awaiting_slot = false;
  request.running = true;
  const SlotKey key{request.id, request.attempt};
  const FakeRun run = engines_[request.engine].Start(key, request.chat, 1000, request.tokens, now_);
  const auto first_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(run.first_token - now_).count());
  const int engine = request.engine;
  // One in 20 callers disconnects in the middle of the answer.
  const bool cancelled = Random(20) == 0;
  const TimePoint end = cancelled ? now_ + (run.end - now_) / 2 : run.end;
  Schedule(end, [this, instance, engine, key, first_ms, cancelled] {
    if (!engines_[engine].Finish(key, now_)) {
      return;
    }
    EraseTrueLoad(engine, key.request, key.attempt);
    ScheduleOn(instance, now_ + RandomMs(1, 5),
               [this, instance, key, first_ms, cancelled](Instance&) {
                 EndRun(instance, key.request, key.attempt, !cancelled, first_ms);
               });
  });
}

void FleetSim::EndRun(int instance,
                      const RequestId& id,
                      std::uint32_t attempt,
                      bool completed,
                      std::uint32_t first_token_ms) {
  Instance& holder = *instances_[instance];
  const auto found = holder.requests.find(id);
  if (found == holder.requests.end() || found->second.attempt != attempt) {
    return;
  }
  result_.completed += completed ? 1 : 0;
  const int engine = found->second.engine;
  holder.requests.erase(found);
  SendRelease(instance, {id, attempt, holder.id, EngineId(engine), completed, first_token_ms});
}

void FleetSim::ScheduleSample() {
  Schedule(now_ + milliseconds(500), [this] {
    const auto [count, total] = AcceptingLoad();
    const double mean = static_cast<double>(total) / count;
    for (int i = 0; i < options_.engines; ++i) {
      const auto load = static_cast<double>(true_load_[i].size());
      if (!Accepts(i)) {
        continue;
      }
      ++result_.samples;
      result_.load_sum += load;
      result_.samples_above_bound += load > std::ceil(kMultiple * mean) ? 1 : 0;
      result_.worst_excess = std::max(result_.worst_excess, load - kMultiple * mean);
      if (mean >= 4) {
        result_.worst_at_sample = std::max(result_.worst_at_sample, load / mean);
      }
    }
    ScheduleSample();
  });
}

}  // namespace chiverail::admission_sim
