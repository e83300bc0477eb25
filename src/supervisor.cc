#include "supervisor.h"

#include <random>

#include <caf/send.hpp>

#include "fleet_actor.h"
#include "ledger_actor.h"
#include "log.h"
#include "orders_actor.h"
#include "peers_actor.h"
#include "router_actor.h"

namespace chiverail {

Supervisor::Supervisor(caf::actor_config& config,
                       Runtime& runtime,
                       PeerLink& link,
                       SupervisorHooks hooks)
    : caf::event_based_actor(config), runtime_(runtime), link_(link), hooks_(std::move(hooks)) {}

caf::behavior Supervisor::make_behavior() {
  set_down_handler([this](const caf::down_msg& down) { OnDown(down); });
  runtime_.actors.Set(Component::kSupervisor, caf::actor_cast<caf::actor>(this));
  for (const Component component : {Component::kPeers, Component::kRouter, Component::kLedger,
                                    Component::kOrders, Component::kFleet}) {
    Start(component);
  }
  return {
      [this](const StopAcceptingMessage&) { hooks_.stop_accepting(); },
      [this](const ExitMessage& message) { Exit(message.code); },
  };
}

caf::actor Supervisor::Spawn(Component component) {
  switch (component) {
    case Component::kFleet:
      return spawn<FleetActor>(std::ref(runtime_));
    case Component::kRouter:
      return spawn<RouterActor>(std::ref(runtime_));
    case Component::kLedger:
      return spawn<LedgerActor>(std::ref(runtime_));
    case Component::kOrders:
      return spawn<OrdersActor>(std::ref(runtime_));
    case Component::kPeers:
      return spawn<PeersActor>(std::ref(runtime_), std::ref(link_));
    case Component::kSupervisor:
      break;
  }
  return {};
}

void Supervisor::Start(Component component) {
  const caf::actor actor = Spawn(component);
  monitor(actor);
  running_[actor.address()] = component;
  runtime_.actors.Set(component, actor);
  // The first tick starts the actor's operations. Their results reach it through the registry and
  // are dropped while it is not registered: an actor that started by itself could lose the results
  // of its first reads.
  if (component != Component::kPeers) {
    send(actor, TickMessage{});
  }
}

// Restarts a failed actor, which rebuilds its state: the fleet actor rejoins under a new
// generation; the router starts from the current view and takes the requests that run at its
// engines from their load reports. Calls that a failed ledger held are marked in doubt when a
// caller repeats them.
void Supervisor::OnDown(const caf::down_msg& down) {
  const auto found = running_.find(down.source);
  if (found == running_.end() || exiting_) {
    return;
  }
  const Component component = found->second;
  running_.erase(found);
  const std::string name(NameOf(kComponentNames, component));
  const std::string reason = to_string(down.reason);
  const TimePoint now = clock().now();
  restarts_.push_back(now);
  while (now - restarts_.front() > kRestartWindow) {
    restarts_.pop_front();
  }
  if (restarts_.size() > kMaxRestarts) {
    ComponentLogger("supervisor")->critical("Actor {} failed again ({}); stopping.", name, reason);
    Exit(1);
    return;
  }
  ComponentLogger("supervisor")->error("Actor {} failed ({}); restarting it.", name, reason);
  runtime_.metrics.Add(Counter::kRestarts, 1, name);
  if (component == Component::kFleet) {
    std::random_device device;
    runtime_.generation = (static_cast<std::uint64_t>(device()) << 32) | device();
  }
  Start(component);
}

void Supervisor::Exit(int code) {
  if (exiting_) {
    return;
  }
  exiting_ = true;
  for (const auto& [address, component] : running_) {
    if (const caf::actor actor = runtime_.actors.Get(component)) {
      send_exit(actor, caf::exit_reason::user_shutdown);
    }
  }
  runtime_.actors.Clear();
  hooks_.exit(code);
  quit();
}

}  // namespace chiverail
