#include "fleet_actor.h"

#include <boost/asio/detached.hpp>

#include "log.h"
#include "manifest_fetch.h"

namespace chiverail {
namespace {

constexpr Duration kTickInterval = milliseconds(100);

Member SelfOf(const Runtime& runtime) {
  Member self;
  self.id = runtime.settings.instance_id;
  self.generation = runtime.generation;
  self.data_centre = runtime.settings.data_centre;
  self.address = runtime.address;
  self.peer_address = runtime.peer_address;
  return self;
}

MembershipSettings MembershipSettingsOf(const Runtime& runtime) {
  MembershipSettings settings;
  settings.self = SelfOf(runtime);
  settings.data_centres = {runtime.settings.data_centre};
  settings.seed = runtime.generation;
  settings.operation_timeout = TableOperationTimeout(runtime.settings);
  return settings;
}

ShutdownSettings ShutdownSettingsOf(const Settings& settings) {
  ShutdownSettings shutdown;
  shutdown.accept_time = settings.drain_accept;
  shutdown.deadline = settings.drain_deadline;
  return shutdown;
}

}  // namespace

FleetActor::FleetActor(caf::actor_config& config, Runtime& runtime)
    : caf::event_based_actor(config),
      runtime_(runtime),
      log_(ComponentLogger("fleet")),
      membership_(MembershipSettingsOf(runtime)),
      follower_(runtime.settings.instance_id,
                runtime.generation,
                clock().now(),
                TableOperationTimeout(runtime.settings)),
      shutdown_(ShutdownSettingsOf(runtime.settings)) {}

caf::behavior FleetActor::make_behavior() {
  return {
      [this](const TickMessage&) {
        delayed_send(this, kTickInterval, TickMessage{});
        OnTick();
      },
      [this](const RowRead& read) {
        if (read.origin == TableReadOrigin::kMembership) {
          Handle(membership_.OnRead(read.op, read.result, Now()));
        } else {
          Handle(follower_.OnHead(read.op, read.result, Now()));
        }
      },
      [this](const RowsWritten& written) {
        Handle(membership_.OnWrite(written.op, written.result, Now()));
      },
      [this](const ManifestFetched& fetched) { OnManifest(fetched); },
      [this](const ListRead& read) { OnList(read.list); },
      [this](const PeerReceived& received) { OnPeerMessage(received.message); },
      [this](const RevisionHint& hint) { Handle(follower_.OnHint(hint.revision, Now())); },
      [this](const EpochHint& hint) {
        Handle(membership_.OnEpochHint(hint.data_centre, hint.epoch, Now()));
      },
      [this](const FleetStatusRequest& request) { request.reply.Send(StatusJson()); },
      [this](const ShutdownRequest&) {
        log_->info("Shutdown requested.");
        Handle(shutdown_.OnSignal(Now()));
      },
  };
}

void FleetActor::OnTick() {
  const TimePoint now = Now();
  Handle(membership_.Tick(now));
  Handle(follower_.Tick(now));
  Handle(shutdown_.OnOpenStreams(static_cast<std::uint32_t>(runtime_.open_requests.load()), now));
  Handle(shutdown_.Tick(now));
  if (now >= next_list_poll_) {
    next_list_poll_ = now + runtime_.settings.listing_poll_period;
    PollList();
  }
  PublishServing();
}

void FleetActor::OnPeerMessage(const PeerMessage& message) {
  if (const auto* probe = std::get_if<TableProbe>(&message)) {
    TableProbeAnswer answer = follower_.AnswerProbe(*probe, Now());
    answer.requester_evicted = membership_.HasLeft(probe->from);
    runtime_.actors.Send(Component::kPeers, PeerSend{probe->from, std::move(answer)});
  } else if (const auto* answer = std::get_if<TableProbeAnswer>(&message)) {
    Handle(follower_.OnProbeAnswer(*answer, Now()));
  }
}

void FleetActor::PollList() {
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_](boost::asio::yield_context yield) {
        if (auto list = runtime.platform.ReadList(yield)) {
          runtime.actors.Send(Component::kFleet, ListRead{std::move(*list)});
        }
      },
      boost::asio::detached);
}

void FleetActor::OnList(const PlatformList& list) {
  Listing listing;
  listing.sequence = list.sequence;
  for (const auto& [id, instance] : list.instances) {
    listing.instances.push_back({id, instance.leaving});
  }
  for (const auto& [id, leaving] : list.upstreams_leaving) {
    listing.upstreams.push_back({id, leaving});
  }
  listed_instances_ = list.instances;
  runtime_.actors.Send(Component::kPeers, PeerAddresses{list.instances});
  UpdateProbePeers();
  if (leaving_marks_.OnListing(listing)) {
    state_.draining_upstreams = leaving_marks_.upstreams();
    state_.leaving_instances = leaving_marks_.instances();
    Publish();
  }
}

void FleetActor::OnManifest(const ManifestFetched& fetched) {
  if (fetched.manifest) {
    fetched_manifests_[fetched.hash] = fetched.manifest;
  }
  Handle(follower_.OnManifest(fetched.hash, fetched.manifest != nullptr, Now()));
}

// Executes the actions of one state machine; `origin` identifies it, so that the results of its
// reads are returned to it.
template <typename Actions>
void FleetActor::Execute(const Actions& actions, TableReadOrigin origin) {
  for (const auto& action : actions) {
    std::visit(
        [this, origin](const auto& typed) {
          if constexpr (std::is_same_v<std::decay_t<decltype(typed)>, ReadRow>) {
            Do(typed, origin);
          } else {
            Do(typed);
          }
        },
        action);
  }
}

void FleetActor::Handle(const MembershipActions& actions) {
  Execute(actions, TableReadOrigin::kMembership);
}

void FleetActor::Handle(const FollowerActions& actions) {
  Execute(actions, TableReadOrigin::kFollower);
}

void FleetActor::Do(const ReadRow& action, TableReadOrigin origin) {
  runtime_.metrics.Add(Counter::kTableReads);
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, action, origin](boost::asio::yield_context yield) {
        RowRead read{origin, action.op, runtime.platform.ReadRow(action.key, yield)};
        runtime.CountTableResult(read.result.status);
        runtime.actors.Send(Component::kFleet, std::move(read));
      },
      boost::asio::detached);
}

void FleetActor::Do(const WriteRows& action) {
  runtime_.metrics.Add(Counter::kTableWrites);
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, action](boost::asio::yield_context yield) {
        RowsWritten written{action.op, runtime.platform.Write(action.transaction, yield)};
        runtime.CountTableResult(written.result.status);
        runtime.actors.Send(Component::kFleet, std::move(written));
      },
      boost::asio::detached);
}

// Publishes a view for the row of every epoch in order, because the router must know every
// intermediate owner of an engine.
void FleetActor::Do(const MembersChanged& action) {
  log_->info("Members of {} are at epoch {} with {} instances.", action.data_centre,
             action.row.epoch, action.row.members.size());
  if (state_.revision == 0 && action.data_centre == runtime_.settings.data_centre) {
    rows_before_manifest_.insert(rows_before_manifest_.end(), action.steps.begin(),
                                 action.steps.end());
    rows_before_manifest_.push_back(action.row);
  }
  for (const MembersRow& step : action.steps) {
    if (step.epoch < action.row.epoch) {
      state_.members[action.data_centre] = step;
      Publish();
    }
  }
  state_.members[action.data_centre] = action.row;
  Publish();
  UpdateProbePeers();
}

// An instance may join before it has a manifest. Once the manifest is known, the router must still
// receive the owners of the engines under the earlier rows. Without this, a replacement granted
// slots at the engines of a killed instance within a second, while the lease of that instance was
// still valid.
void FleetActor::ReplayRows() {
  FleetState earlier = state_;
  if (!rows_before_manifest_.empty() && rows_before_manifest_.front().epoch == 1) {
    // Before the first row, engines had no owner.
    rows_before_manifest_.insert(rows_before_manifest_.begin(), MembersRow{});
  }
  for (const MembersRow& row : rows_before_manifest_) {
    if (row.epoch < state_.members[runtime_.settings.data_centre].epoch) {
      earlier.members[runtime_.settings.data_centre] = row;
      runtime_.actors.Send(Component::kRouter, ViewMessage{std::make_shared<const FleetView>(
                                                   earlier, ++view_sequence_)});
    }
  }
  rows_before_manifest_.clear();
}

void FleetActor::Do(const Joined& action) {
  log_->info("Joined {} at epoch {}.", runtime_.settings.data_centre, action.epoch);
  runtime_.generation = action.generation;
  runtime_.actors.Send(Component::kRouter, GenerationMessage{action.generation});
}

void FleetActor::Do(const Evicted& action) {
  runtime_.metrics.Add(Counter::kEvictions);
  log_->warn("Evicted at epoch {}; rejoining.", action.epoch);
}

void FleetActor::Do(const MarkedLeaving&) {
  log_->info("Marked as leaving.");
  Handle(shutdown_.OnMarkedLeaving(Now()));
}

void FleetActor::Do(const Released&) {
  log_->info("Lease released.");
  Handle(shutdown_.OnReleased(Now()));
}

void FleetActor::Do(const MembershipError& action) {
  log_->error("Membership error: {}.", action.text);
}

void FleetActor::Do(const FetchManifest& action) {
  std::vector<std::string> addresses;
  const auto view = runtime_.shared.view();
  for (const InstanceId& peer : action.peers) {
    if (const Member* member = view->FindMember(peer)) {
      addresses.push_back(member->address);
    }
  }
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, hash = action.hash,
       addresses = std::move(addresses)](boost::asio::yield_context yield) {
        auto manifest = FetchManifestObjects(runtime, hash, addresses, yield);
        runtime.actors.Send(Component::kFleet, ManifestFetched{hash, std::move(manifest)});
      },
      boost::asio::detached);
}

void FleetActor::Do(const SendProbes& action) {
  for (const InstanceId& peer : action.to) {
    runtime_.actors.Send(Component::kPeers, PeerSend{peer, action.probe});
  }
}

void FleetActor::Do(const ReachabilityVerdict& action) {
  membership_.OnReachability(action, Now());
}

void FleetActor::Do(const ConfigurationInForce& action) {
  const auto found = fetched_manifests_.find(action.head.manifest_hash);
  if (found == fetched_manifests_.end()) {
    log_->error("Manifest {} is in force but has not been fetched.", action.head.manifest_hash);
    return;
  }
  log_->info("Revision {} by {} is in force.", action.head.revision, action.head.author);
  const bool first = state_.revision == 0;
  state_.revision = action.head.revision;
  state_.manifest = found->second;
  state_.data_centres_out = action.head.data_centres_out;
  if (first) {
    ReplayRows();
  }
  const auto kept = *found;
  fetched_manifests_ = {kept};
  std::vector<DataCentreId> data_centres;
  for (const DataCentre& data_centre : state_.manifest->data_centres) {
    data_centres.push_back(data_centre.id);
  }
  membership_.SetDataCentres(data_centres);
  membership_.SetRevision(state_.revision);
  Publish();
}

void FleetActor::Do(const DataCentresOut& action) {
  state_.data_centres_out = action.data_centres;
  Publish();
}

void FleetActor::Do(const FollowerError& action) {
  log_->error("Configuration error: {}.", action.text);
}

void FleetActor::Handle(const ShutdownActions& actions) {
  for (const ShutdownAction& action : actions) {
    std::visit([this](const auto& typed) { Do(typed); }, action);
  }
}

void FleetActor::Do(const MarkLeaving&) {
  Handle(membership_.Leave(Now()));
}

void FleetActor::Do(const StopAccepting&) {
  log_->info("No longer accepting connections; {} requests are open.",
             runtime_.open_requests.load());
  runtime_.actors.Send(Component::kSupervisor, StopAcceptingMessage{});
}

// Nothing to do: marking the instance as leaving has already moved its engines to other owners, and
// the router hands over their slots when it receives that view.
void FleetActor::Do(const HandOverEngines&) {
  Handle(shutdown_.OnHandedOver(Now()));
}

void FleetActor::Do(const ReleaseLease&) {
  Handle(membership_.Release(Now()));
}

void FleetActor::Do(const CutStreams& action) {
  log_->warn("Aborting {} open requests.", action.open);
}

void FleetActor::Do(const ExitProcess& action) {
  if (!exit_requested_) {
    exit_requested_ = true;
    runtime_.actors.Send(Component::kSupervisor, ExitMessage{action.code});
  }
}

}  // namespace chiverail
