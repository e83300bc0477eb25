#include "relay.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {
namespace {

// Shares of the fleet-wide bounds that are used: instances see each other late, so their shares
// may add up to more for some seconds.
constexpr double kBudgetShare = 0.6;
constexpr double kColdShare = 0.75;

// Requests that a plain upstream may hold as a multiple of its slots: it queues a few.
constexpr double kPlainSlotShare = 1.5;

}  // namespace

Relay::Relay(boost::asio::io_context& io,
             InstanceId instance,
             DataCentreId data_centre,
             HeaderNames names,
             RelayLimits limits,
             DecisionLog& log,
             Metrics& metrics)
    : io_(io),
      instance_(std::move(instance)),
      data_centre_(std::move(data_centre)),
      names_(std::move(names)),
      limits_(limits),
      log_(log),
      metrics_(metrics),
      pool_(io),
      random_(std::random_device{}()) {}

void Relay::Handle(const std::shared_ptr<CallerConnection>& caller, CallerRequest request) {
  std::make_shared<RelayCall>(*this, caller, std::move(request))->Start();
}

void Relay::Apply(RoutingConfig config) {
  if (table_ && config.version < table_->version()) {
    return;
  }
  const bool changed = !table_ || config.version != table_->version();
  if (changed) {
    log_.Write(Decision::kConfig, {{"version", config.version},
                                   {"before", table_ ? table_->version() : 0},
                                   {"routes", config.routes.size()},
                                   {"keys", config.workspace_of_key.size()}});
    table_ = std::make_shared<const RouteTable>(std::move(config));
    metrics_.Set(Gauge::kRevisionInForce, static_cast<double>(table_->version()));
  }
}

void Relay::OnConfigConfirmed(TimePoint time) {
  config_confirmed_at_ = std::max(config_confirmed_at_, time);
}

bool Relay::InTouch(TimePoint now) const {
  return config_confirmed_at_ != TimePoint{} && now < config_confirmed_at_ + limits_.key_age;
}

void Relay::UpdatePeerLoads(TimePoint now) {
  const auto loads = instances_.Loads(now);
  for (auto& [id, upstream] : upstreams_.all()) {
    const auto found = loads.find(upstream.tag);
    upstream.peer_load = found == loads.end() ? 0 : static_cast<int>(found->second);
  }
}

void Relay::Expire(TimePoint now) {
  upstreams_.Expire(now);
  instances_.ForgetSilent(now);
  part_holders_.Expire(now);
  pool_.Expire();
}

std::vector<UpstreamLoad> Relay::OwnLoads() const {
  std::vector<UpstreamLoad> loads;
  for (const auto& [id, upstream] : upstreams_.all()) {
    if (upstream.own_load > 0) {
      loads.push_back({upstream.tag, static_cast<std::uint32_t>(upstream.own_load)});
    }
  }
  return loads;
}

double Relay::ColdLimit(const ServiceConfig& service,
                        const UpstreamId& upstream,
                        TimePoint now) const {
  if (service.cold_per_second <= 0) {
    return 1e9;  // the service bears full load at once
  }
  std::vector<InstanceId> instances{instance_};
  for (const KnownInstance* known : instances_.Heard(now)) {
    instances.push_back(known->digest.instance);
  }
  const double fleet = service.cold_per_second * limits_.cold_overage + limits_.cold_slack;
  return ColdShare(fleet * kColdShare, instances, instance_, upstream);
}

ChoiceLimits Relay::LimitsFor(const ServiceConfig* service) const {
  ChoiceLimits limits;
  if (service == nullptr || !service->is_engine) {
    limits.slot_share = kPlainSlotShare;
  }
  return limits;
}

SendBudget& Relay::BudgetFor(const std::string& service) {
  const double instances = 1.0 + static_cast<double>(instances_.Heard(BootTimeNow()).size());
  const double slack = limits_.retry_slack * kBudgetShare / instances;
  const auto found = budgets_.try_emplace(service, limits_.retry_ratio * kBudgetShare, slack).first;
  found->second.SetSlack(slack);
  return found->second;
}

}  // namespace chiverail
