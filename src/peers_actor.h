#ifndef CHIVERAIL_PEERS_ACTOR_H_
#define CHIVERAIL_PEERS_ACTOR_H_

#include <map>
#include <string>

#include <caf/event_based_actor.hpp>

#include "actor_messages.h"
#include "peer_link.h"
#include "runtime.h"
#include "traffic_budget.h"

namespace chiverail {

// Sends messages to other instances within the control traffic budget and dispatches received ones
// to the actors that handle them.
class PeersActor : public caf::event_based_actor {
 public:
  // `link` must outlive the actor. Messages received on it must be forwarded as PeerBytes.
  PeersActor(caf::actor_config& config, Runtime& runtime, PeerLink& link);

 protected:
  caf::behavior make_behavior() override;

 private:
  void OnSend(const PeerSend& message);
  void OnBytes(const std::string& bytes);
  std::string AddressOf(const InstanceId& instance) const;

  Runtime& runtime_;
  PeerLink& link_;
  TrafficBudget budget_;
  std::map<InstanceId, ListedInstance> listed_instances_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PEERS_ACTOR_H_
