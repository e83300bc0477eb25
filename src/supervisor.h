#ifndef CHIVERAIL_SUPERVISOR_H_
#define CHIVERAIL_SUPERVISOR_H_

#include <deque>
#include <functional>
#include <map>

#include <caf/event_based_actor.hpp>

#include "actor_messages.h"
#include "peer_link.h"
#include "runtime.h"

namespace chiverail {

// The daemon exits when its actors fail more than kMaxRestarts times within kRestartWindow.
inline constexpr std::size_t kMaxRestarts = 3;
inline constexpr Duration kRestartWindow = seconds(60);

// Callbacks of the supervisor into the process; called on an actor thread.
struct SupervisorHooks {
  std::function<void()> stop_accepting;
  std::function<void(int code)> exit;
};

// Root of the supervision tree: starts the actors, restarts one that fails, and ends the process
// when actors keep failing or when the shutdown is complete.
class Supervisor : public caf::event_based_actor {
 public:
  Supervisor(caf::actor_config& config, Runtime& runtime, PeerLink& link, SupervisorHooks hooks);

 protected:
  caf::behavior make_behavior() override;

 private:
  caf::actor Spawn(Component component);
  void Start(Component component);
  void OnDown(const caf::down_msg& down);
  void Exit(int code);

  Runtime& runtime_;
  PeerLink& link_;
  SupervisorHooks hooks_;
  std::map<caf::actor_addr, Component> running_;
  std::deque<TimePoint> restarts_;
  bool exiting_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SUPERVISOR_H_
