#include <nlohmann/json.hpp>

#include "fleet_actor.h"

namespace chiverail {
namespace {

// Returns a time until which a permission remains valid without further updates. Other threads
// check this time right before they act, so that the permission also expires during a pause of the
// process.
template <typename Permission>
TimePoint ValidUntil(TimePoint now, Permission permission) {
  for (const Duration ahead : {milliseconds(2000), milliseconds(1000), milliseconds(500),
                               milliseconds(200), milliseconds(100), milliseconds(20)}) {
    if (permission(now + ahead)) {
      return now + ahead;
    }
  }
  return now;
}

}  // namespace

void FleetActor::Publish() {
  const auto view = std::make_shared<const FleetView>(state_, ++view_sequence_);
  runtime_.shared.SetView(view);
  runtime_.actors.Send(Component::kRouter, ViewMessage{view});
  runtime_.actors.Send(Component::kOrders, ViewMessage{view});
  PublishMetrics(*view);
}

void FleetActor::PublishServing() {
  const TimePoint now = Now();
  ServingState serving;
  serving.isolation = follower_.Isolation(now);
  serving.leaving = !shutdown_.IsLocatable();
  serving.member = membership_.IsMember();
  if (shutdown_.AcceptsWork() && state_.revision > 0) {
    serving.accepting_until =
        ValidUntil(now, [this](TimePoint time) { return follower_.AcceptsWork(time); });
  }
  runtime_.shared.SetServing(serving);
  const TimePoint grants_until =
      ValidUntil(now, [this](TimePoint time) { return membership_.MayGrant(time); });
  const TimePoint lease_until = ValidUntil(now, [this](TimePoint time) {
    return membership_.MayGrant(time) && !membership_.IsFrozen(time);
  });
  runtime_.actors.Send(Component::kRouter, GrantsMessage{grants_until, lease_until});
  runtime_.actors.Send(Component::kOrders, GrantsMessage{grants_until, lease_until});
  LogChanges(serving.isolation, grants_until > now);
  runtime_.metrics.Set(Gauge::kLeaseValid, grants_until > now ? 1 : 0);
  runtime_.metrics.Set(Gauge::kViewFrozen, membership_.IsFrozen(now) ? 1 : 0);
  runtime_.metrics.Set(Gauge::kIsolated, serving.isolation == IsolationState::kIsolated ? 1 : 0);
}

// Logged because these changes are rare and operators need the time of each one.
void FleetActor::LogChanges(IsolationState isolation, bool may_grant) {
  if (isolation != logged_isolation_) {
    logged_isolation_ = isolation;
    if (isolation == IsolationState::kServing) {
      log_->info("Configuration confirmed as the newest; serving with revision {}.",
                 state_.revision);
    } else if (isolation == IsolationState::kTableDown) {
      log_->warn("Table unreachable from every instance; serving with revision {}.",
                 state_.revision);
    } else if (isolation == IsolationState::kIsolated) {
      log_->warn("Isolated: disconnected from the table; refusing new work.");
    }
  }
  if (may_grant != logged_may_grant_) {
    logged_may_grant_ = may_grant;
    if (may_grant) {
      log_->info("Slot grants enabled.");
    } else {
      log_->warn("Slot grants disabled until the lease is renewed.");
    }
  }
}

// Takes the peers from the members rows or, until one has been read, from the platform's list.
void FleetActor::UpdateProbePeers() {
  PeerSet peers;
  const InstanceId& self = runtime_.settings.instance_id;
  for (const auto& [data_centre, row] : state_.members) {
    auto& group =
        data_centre == runtime_.settings.data_centre ? peers.own_data_centre : peers.others;
    for (const Member& member : row.members) {
      if (member.id != self) {
        group.push_back(member.id);
      }
    }
  }
  if (state_.members.empty()) {
    for (const auto& [id, listed] : listed_instances_) {
      if (id != self && !listed.peer_address.empty()) {
        peers.others.push_back(id);
      }
    }
  }
  follower_.SetPeers(std::move(peers));
}

void FleetActor::PublishMetrics(const FleetView& view) {
  Metrics& metrics = runtime_.metrics;
  metrics.Set(Gauge::kRevisionInForce, static_cast<double>(view.revision()));
  metrics.Clear(Gauge::kDataCentreOut);
  for (const DataCentreId& data_centre : state_.data_centres_out) {
    metrics.Set(Gauge::kDataCentreOut, 1, data_centre);
  }
  int live = 0;
  for (const Member& member : view.members()) {
    live += member.state == MemberState::kLive ? 1 : 0;
  }
  metrics.Set(Gauge::kMembers, live, "live");
  metrics.Set(Gauge::kMembers, static_cast<double>(view.members().size()) - live, "leaving");
}

std::string FleetActor::StatusJson() {
  using nlohmann::json;
  const TimePoint now = Now();
  json members = json::array();
  for (const auto& [data_centre, row] : state_.members) {
    for (const Member& member : row.members) {
      members.push_back({{"id", member.id},
                         {"data_centre", data_centre},
                         {"address", member.address},
                         {"state", NameOf(kMemberStateNames, member.state)},
                         {"epoch", row.epoch}});
    }
  }
  return json{{"instance", runtime_.settings.instance_id},
              {"data_centre", runtime_.settings.data_centre},
              {"revision", state_.revision},
              {"data_centres_out", state_.data_centres_out},
              {"configuration", NameOf(kIsolationStateNames, follower_.Isolation(now))},
              {"lease_valid", membership_.MayGrant(now)},
              {"frozen", membership_.IsFrozen(now)},
              {"shutdown", NameOf(kShutdownStepNames, shutdown_.step())},
              {"open_requests", runtime_.open_requests.load()},
              {"members", members}}
      .dump();
}

}  // namespace chiverail
