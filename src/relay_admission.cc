// Relay and RelayCall: which requests are placed at once, held or refused before that.

#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {

void Relay::UpdateGates(TimePoint now) {
  struct Sum {
    std::size_t slots = 0;
    double load = 0;
  };
  std::map<std::string, Sum> sums;
  for (const auto& [id, upstream] : upstreams_.all()) {
    const ServiceConfig* service = table_ ? table_->Service(upstream.entry.service) : nullptr;
    if (service == nullptr || service->is_engine || upstream.draining || upstream.removed) {
      continue;
    }
    Sum& sum = sums[service->name];
    sum.slots += static_cast<std::size_t>(upstream.entry.slots);
    sum.load += upstream.own_load + upstream.peer_load;
  }
  for (const auto& [service, sum] : sums) {
    GateState& state = gates_[service];
    state.shared = HasSharedSlots(sum.slots, fleet_.roster().live_count());
    if (!state.shared) {
      state.gate = {};
      continue;
    }
    state.gate.Update(sum.load / static_cast<double>(sum.slots), now);
    metrics_.Set(Gauge::kGateShare, state.gate.share(), service);
    if (state.limited != (state.gate.share() < 1)) {
      state.limited = !state.limited;
      log_.Write(Decision::kDependency,
                 {{"dependency", "service"},
                  {"service", service},
                  {"outcome", state.limited ? "limits requests" : "takes all requests"},
                  {"load_per_slot", sum.load / static_cast<double>(sum.slots)}});
    }
  }
}

bool Relay::PassesGate(const std::string& service) {
  const auto found = gates_.find(service);
  if (found == gates_.end() || !found->second.shared) {
    return true;
  }
  return found->second.gate.Admits(static_cast<double>(Random() >> 11) /
                                   static_cast<double>(1ull << 53));
}

bool Relay::HoldUntilConfigured(const std::shared_ptr<RelayCall>& call) {
  if (configured_ || held_calls_.size() >= kMaxHeldAtStart || stop_plan_.stopping()) {
    return false;
  }
  held_calls_.push_back(call);
  return true;
}

void Relay::OnConfigured() {
  if (std::exchange(configured_, true)) {
    return;
  }
  for (const auto& held : std::exchange(held_calls_, {})) {
    if (const auto call = held.lock()) {
      call->OnConfigured();
    }
  }
}

// All instances may have started at the same moment. A caller that is refused would find the others
// in the same state, and most try only once more; the configuration is there within half a second.
bool RelayCall::HoldsUntilConfigured(TimePoint now) {
  if (table_ || !relay_.HoldUntilConfigured(shared_from_this())) {
    return false;
  }
  held_ = true;
  caller_->OnDisconnect([self = shared_from_this()] { self->OnCallerDisconnected(); });
  deadline_ = now + Relay::kMaxStartHold;
  if (const auto left = StatedTimeLeft()) {
    deadline_ = std::min<TimePoint>(deadline_, request_.received + *left / 2);
  }
  ArmTimer(deadline_);
  return true;
}

void RelayCall::OnConfigured() {
  if (!held_ || phase_ == Phase::kDone) {
    return;
  }
  held_ = false;
  timer_.cancel();
  timer_at_ = {};
  table_ = relay_.table();
  Start();
}

}  // namespace chiverail
