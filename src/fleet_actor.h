#ifndef CHIVERAIL_FLEET_ACTOR_H_
#define CHIVERAIL_FLEET_ACTOR_H_

#include <map>
#include <memory>
#include <string>

#include <spdlog/logger.h>
#include <caf/event_based_actor.hpp>

#include "actor_messages.h"
#include "config_follower.h"
#include "graceful_shutdown.h"
#include "leaving_marks.h"
#include "membership.h"
#include "runtime.h"

namespace chiverail {

// Keeps this instance a member of the fleet and follows the fleet's configuration. Holds the state
// of the lease, the members rows, the configuration head, the leaving marks and the graceful
// shutdown, and publishes views of the fleet.
class FleetActor : public caf::event_based_actor {
 public:
  FleetActor(caf::actor_config& config, Runtime& runtime);

 protected:
  caf::behavior make_behavior() override;

 private:
  TimePoint Now() { return clock().now(); }
  void OnTick();
  void OnPeerMessage(const PeerMessage& message);
  void OnList(const PlatformList& list);
  void OnManifest(const ManifestFetched& fetched);

  template <typename Actions>
  void Execute(const Actions& actions, TableReadOrigin origin);
  void Handle(const MembershipActions& actions);
  void Do(const ReadRow& action, TableReadOrigin origin);
  void Do(const WriteRows& action);
  void Do(const MembersChanged& action);
  void Do(const Joined& action);
  void Do(const Evicted& action);
  void Do(const MarkedLeaving& action);
  void Do(const Released& action);
  void Do(const MembershipError& action);

  void Handle(const FollowerActions& actions);
  void Do(const FetchManifest& action);
  void Do(const SendProbes& action);
  void Do(const ReachabilityVerdict& action);
  void Do(const ConfigurationInForce& action);
  void Do(const DataCentresOut& action);
  void Do(const FollowerError& action);

  void Handle(const ShutdownActions& actions);
  void Do(const MarkLeaving& action);
  void Do(const StopAccepting& action);
  void Do(const HandOverEngines& action);
  void Do(const ReleaseLease& action);
  void Do(const CutStreams& action);
  void Do(const ExitProcess& action);

  void Publish();
  void ReplayRows();
  void PublishMetrics(const FleetView& view);
  void PublishServing();
  void LogChanges(IsolationState isolation, bool may_grant);
  void PollList();
  void UpdateProbePeers();
  std::string StatusJson();

  Runtime& runtime_;
  std::shared_ptr<spdlog::logger> log_;
  Membership membership_;
  ConfigFollower follower_;
  GracefulShutdown shutdown_;
  LeavingMarks leaving_marks_;
  FleetState state_;
  std::uint64_t view_sequence_ = 0;
  // Rows of this data centre that were read before the first manifest.
  std::vector<MembersRow> rows_before_manifest_;
  std::map<std::string, std::shared_ptr<const Manifest>> fetched_manifests_;  // by hash
  std::map<InstanceId, ListedInstance> listed_instances_;
  TimePoint next_list_poll_{};
  bool exit_requested_ = false;
  IsolationState logged_isolation_ = IsolationState::kStarting;
  bool logged_may_grant_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_FLEET_ACTOR_H_
