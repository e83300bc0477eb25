#include "relay.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "relay_call.h"
#include "table_version.h"

namespace chiverail {
namespace {

// Fraction of the fleet's retry budget that is used: retries that are made at different times may
// reach the upstreams within the same window.
constexpr double kBudgetShare = 0.6;

// Fraction of the fleet-wide cold rate that the instances use. Instances see changes of the fleet
// with a delay, so their shares may add up to more than 1 for some seconds.
constexpr double kColdShare = 0.75;

// Interval at which the queues are scanned for slots that became free without a response to this
// instance: loads of other instances arrive with digests, and cold upstreams accept more requests
// as time passes.
constexpr Duration kQueueScanInterval = milliseconds(15);

// The shares of a fleet without changes are computed again after this time.
constexpr Duration kShareLifetime = seconds(1);

// Time for which an instance that has fallen silent keeps its share.
constexpr Duration kSilentShareTime = seconds(10);

// Least Retry-After if no upstream has room by what it has asked, and the time up to which it is
// spread over twice the time.
constexpr Duration kMinTermsRetry = milliseconds(250);
constexpr Duration kMaxTermsRetry = seconds(2);

// Rate that no instance reaches.
constexpr double kNoLimit = 1e9;

// Maximum number of requests at an upstream that is not an engine, as a multiple of its slots. Such
// upstreams queue a few requests.
constexpr double kPlainSlotShare = 1.5;

}  // namespace

Relay::Relay(boost::asio::io_context& io,
             InstanceInfo self,
             Duration period,
             HeaderNames names,
             RelayLimits limits,
             DecisionLog& log,
             Metrics& metrics)
    : io_(io),
      data_centre_(self.data_centre),
      names_(std::move(names)),
      limits_(limits),
      log_(log),
      metrics_(metrics),
      quarantine_(InstanceKey(self.instance, self.start_id)),
      fleet_(std::move(self), period, FleetHooks()),
      pool_(io),
      queue_scan_timer_(io),
      random_(std::random_device{}()) {
  rollouts_.SetMaxShare(limits_.rollout_share);
}

ExchangeHooks Relay::FleetHooks() {
  ExchangeHooks hooks;
  hooks.loads = [this] { return OwnLoads(); };
  hooks.services = [this] { return OwnUse(); };
  hooks.take_segments = [this] { return cache_holders_.TakeUpdates(); };
  hooks.record_segment = [this](const CachedSegment& segment, TimePoint now) {
    return cache_holders_.OnPeerRecord(segment, now);
  };
  hooks.notices = [this] {
    std::vector<TableNotice> notices =
        table_notices_ ? table_notices_() : std::vector<TableNotice>{};
    if (table_) {
      notices.push_back({kConfigInForce, CounterOf(table_->version()), {}, {}});
    }
    return notices;
  };
  hooks.quarantine = [this](TimePoint now) { return quarantine_.News(now); };
  hooks.on_quarantine = [this](const QuarantineNews& news, TimePoint now) {
    quarantine_.Merge(news, now);
  };
  hooks.terms = [this](TimePoint now) { return terms_.News(now); };
  hooks.on_terms = [this](const std::vector<UpstreamTermsEntry>& news, TimePoint now) {
    if (!news.empty()) {
      terms_.Merge(news, now);
      allowances_.clear();
    }
  };
  hooks.on_notice = [this](const std::string& peer_address, const TableNotice& notice) {
    if (notice.table == kConfigInForce) {
      OnConfigInForce(CounterOf(notice.version));
    } else if (on_table_notice_) {
      on_table_notice_(peer_address, notice);
    }
  };
  return hooks;
}

void Relay::Handle(const std::shared_ptr<CallerConnection>& caller, CallerRequest request) {
  std::make_shared<RelayCall>(*this, caller, std::move(request))->Start();
}

void Relay::Apply(RoutingConfig config, const ConfigOrigin& origin) {
  if (table_ && config.version < table_->version()) {
    return;
  }
  const bool changed = !table_ || config.version != table_->version();
  if (changed) {
    log_.Write(Decision::kConfig, {{"version", config.version},
                                   {"before", table_ ? table_->version() : 0},
                                   {"source", origin.source.empty() ? "store" : origin.source},
                                   {"age_ms", std::chrono::ceil<milliseconds>(origin.age).count()},
                                   {"routes", config.routes.size()},
                                   {"keys", config.workspace_of_key.size()}});
    table_ = std::make_shared<const RouteTable>(std::move(config));
    metrics_.Set(Gauge::kRevisionInForce, static_cast<double>(table_->version()));
  }
}

void Relay::OnConfigConfirmed(TimePoint time) {
  config_confirmed_at_ = std::max(config_confirmed_at_, time);
}

bool Relay::HasFreshConfig(TimePoint now) const {
  return config_confirmed_at_ != TimePoint{} && now < config_confirmed_at_ + limits_.key_age;
}

void Relay::OnConfigInForce(std::uint64_t version) {
  const TimePoint now = BootTimeNow();
  const bool was_behind = IsBehindAtStart(now);
  start_version_.OnTold(version, now);
  if (!was_behind && IsBehindAtStart(now)) {
    log_.Write(Decision::kConfig, {{"outcome", "others have a newer configuration in force"},
                                   {"version", table_->version()},
                                   {"in_force", version}});
  }
}

bool Relay::IsBehindAtStart(TimePoint now) const {
  return table_ && start_version_.IsBehind(CounterOf(table_->version()), now);
}

bool Relay::IsSuperseded(TimePoint now) const {
  if (IsBehindAtStart(now)) {
    return true;
  }
  return limits_.superseded_age > Duration::zero() && superseded_check_ && superseded_check_() &&
         config_confirmed_at_ + limits_.superseded_age <= now;
}

void Relay::UpdatePeerLoads(TimePoint now) {
  const auto loads = fleet_.OthersLoads(now);
  std::vector<std::uint32_t> tags;
  tags.reserve(upstreams_.all().size());
  for (auto& [id, upstream] : upstreams_.all()) {
    const auto found = loads.find(upstream.tag);
    upstream.peer_load = found == loads.end() ? 0 : static_cast<int>(found->second);
    UpdateAverageLoad(upstream, now);
    tags.push_back(upstream.tag);
  }
  std::sort(tags.begin(), tags.end());
  if (tags != fleet_.upstreams()) {
    fleet_.SetUpstreams(std::move(tags));
  }
  UpdateGates(now);
}

void Relay::Expire(TimePoint now) {
  upstreams_.Expire(now);
  cache_holders_.Expire(now);
  pool_.Expire();
  terms_.Expire(now);
  const UpstreamTerms::Counts counts = terms_.CountTerms(now);
  metrics_.Set(Gauge::kUpstreamTerms, static_cast<double>(counts.limited), "limited");
  metrics_.Set(Gauge::kUpstreamTerms, static_cast<double>(counts.leaving), "leaving");
  metrics_.Set(Gauge::kUpstreamTerms, static_cast<double>(counts.resting), "resting");
  quarantine_.Update(now);
  LogQuarantineChanges();
  UpdateRollouts(now);
  for (const auto& [service, service_queue] : service_queues_) {
    metrics_.Set(Gauge::kWaitingRequests, static_cast<double>(service_queue.queue.size()), service);
  }
  if (config_confirmed_at_ != TimePoint{}) {
    metrics_.Set(Gauge::kConfigAge,
                 std::chrono::duration<double>(now - config_confirmed_at_).count());
  }
}

std::string Relay::RouteLabel(const std::string& route) {
  if (route_labels_.count(route) == 0 && route_labels_.size() >= kMaxRouteLabels) {
    return "other";
  }
  route_labels_.insert(route);
  return route;
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

std::vector<ServiceUse> Relay::OwnUse() {
  const TimePoint now = BootTimeNow();
  std::vector<ServiceUse> uses;
  for (auto& [service, budget] : budgets_) {
    uses.push_back({ServiceTag(service), budget.requests(now), budget.retries(now)});
  }
  for (const Tally& tally : rollouts_.Tallies()) {
    uses.push_back({tally.tag, tally.first, tally.second});
  }
  return uses;
}

// The shares take a pass over all instances and are needed for every cold or limited upstream in
// every choice, so they are computed once for each change of the fleet. Instances that have fallen
// silent a short while ago keep their shares: they may go on sending on their side of a partition.
void Relay::RefreshShares(TimePoint now) {
  if (shares_version_ == fleet_.roster().version() && now < shares_at_ + kShareLifetime) {
    return;
  }
  shares_version_ = fleet_.roster().version();
  shares_at_ = now;
  cold_limits_.clear();
  allowances_.clear();
  sharing_instances_ = fleet_.roster().RecentInstances(now, kSilentShareTime);
}

double Relay::ColdLimit(const ServiceConfig& service, const UpstreamState& upstream) {
  if (service.cold_per_second <= 0) {
    return kNoLimit;  // the service accepts full load immediately after a start
  }
  RefreshShares(BootTimeNow());
  const auto [limit, added] = cold_limits_.try_emplace(upstream.tag);
  if (added) {
    const double fleet = service.cold_per_second * limits_.cold_overage + limits_.cold_slack;
    limit->second = static_cast<double>(FleetShare(static_cast<std::size_t>(fleet * kColdShare),
                                                   sharing_instances_,
                                                   fleet_.roster().self().instance, upstream.tag));
  }
  return limit->second;
}

std::optional<UpstreamTerms::Allowance> Relay::AllowanceOf(const UpstreamState& upstream,
                                                           TimePoint now) {
  if (terms_.empty()) {
    return std::nullopt;
  }
  RefreshShares(now);
  const auto [allowance, added] = allowances_.try_emplace(upstream.tag);
  if (added) {
    allowance->second = terms_.AllowanceOf(RunTag(upstream.entry), sharing_instances_,
                                           fleet_.roster().self().instance, now);
  }
  return allowance->second;
}

void Relay::OnUpstreamHead(const UpstreamState& upstream,
                           const MessageHead& head,
                           bool turned_away,
                           TimePoint now) {
  TermsFields fields{head.Fields(names_.request_limit), head.Fields(names_.leaving), {}};
  if (turned_away) {
    fields.retry_after = head.Fields(names_.retry_after);
  }
  const StatedTerms stated = ReadTerms(fields, limits_.max_rest);
  if (stated.malformed) {
    metrics_.Add(Counter::kMalformedTerms);
  }
  const double spread = static_cast<double>(Random() % 1000) / 1000;
  if (!terms_.OnAnswer(RunTag(upstream.entry), stated, spread, now)) {
    return;
  }
  allowances_.clear();
  log_.Write(Decision::kUpstream,
             {{"upstream", upstream.entry.id},
              {"outcome", "terms"},
              {"limit_per_s", stated.request_limit},
              {"leaving", stated.leaving},
              {"rest_ms", std::chrono::duration_cast<milliseconds>(stated.rest).count()}});
  if (announce_) {
    announce_();
  }
}

Duration Relay::TermsRetryDelay(const std::string& service, TimePoint now) {
  const Duration wait = TimeUntilAllowed(upstreams_, QueryFor(service, nullptr), now);
  const double spread = 1 + static_cast<double>(Random() % 1000) / 1000;
  return std::max<Duration>(
      wait, std::chrono::duration_cast<Duration>(
                std::clamp<Duration>(wait, kMinTermsRetry, kMaxTermsRetry) * spread));
}

UpstreamTerms::Standing Relay::StandingOf(const UpstreamState& upstream, TimePoint now) const {
  return terms_.empty() ? UpstreamTerms::Standing{}
                        : terms_.StandingOf(RunTag(upstream.entry), now);
}

ChoiceQuery Relay::QueryFor(const std::string& service, const ServiceConfig* config) {
  ChoiceQuery query;
  query.service = service;
  query.data_centre = data_centre_;
  query.random = Random();
  query.cold_limit = [this, config](const UpstreamState& upstream) {
    return config == nullptr ? kNoLimit : ColdLimit(*config, upstream);
  };
  if (rollouts_.Find(service) != nullptr) {
    query.eligible = [this, service](const UpstreamState& upstream) {
      return rollouts_.MayTakeAny(service, upstream.entry.id, upstream.entry.version);
    };
  }
  query.allowance = [this, now = BootTimeNow()](const UpstreamState& upstream) {
    return AllowanceOf(upstream, now);
  };
  query.standing = [this, now = BootTimeNow()](const UpstreamState& upstream) {
    return StandingOf(upstream, now);
  };
  return query;
}

EnqueueResult Relay::EnqueueCall(const std::string& service,
                                 const PendingRequest& request,
                                 const std::shared_ptr<RelayCall>& call,
                                 TimePoint now) {
  ServiceQueue& service_queue = service_queues_[service];
  const EnqueueResult result = service_queue.queue.Enqueue(request, now);
  if (result == EnqueueResult::kQueued) {
    service_queue.calls[request.key] = call;
    ScheduleQueueScan();
  }
  return result;
}

void Relay::DequeueCall(const std::string& service, const SlotKey& key) {
  ServiceQueue& service_queue = service_queues_[service];
  service_queue.queue.Remove(key);
  service_queue.calls.erase(key);
}

std::shared_ptr<RelayCall> Relay::TakeQueued(ServiceQueue& service_queue, const SlotKey& key) {
  const auto found = service_queue.calls.find(key);
  if (found == service_queue.calls.end()) {
    return nullptr;
  }
  const auto call = found->second.lock();
  service_queue.calls.erase(found);
  return call;
}

// A request that can't use the free slot, since it has already been sent to that upstream, is
// enqueued again. Each request is tried at most once per scan.
void Relay::ServeQueue(const std::string& service) {
  ServiceQueue& service_queue = service_queues_[service];
  if (service_queue.queue.empty() || std::exchange(service_queue.serving, true)) {
    return;
  }
  const TimePoint now = BootTimeNow();
  for (const SlotKey& key : service_queue.queue.TakeExpired(now)) {
    if (const auto call = TakeQueued(service_queue, key)) {
      call->OnQueueTimeout();
    }
  }
  const auto table = table_;
  const ServiceConfig* config = table ? table->Service(service) : nullptr;
  const ChoiceQuery query = QueryFor(service, config);
  for (std::size_t remaining = service_queue.queue.size();
       remaining > 0 && !service_queue.queue.empty(); --remaining) {
    if (!HasFreeSlot(upstreams_, query, LimitsFor(config, SlotShares::kFullShare), now)) {
      break;
    }
    const auto key = service_queue.queue.Dequeue(now);
    if (const auto call = key ? TakeQueued(service_queue, *key) : nullptr) {
      call->OnSlotFree();
    }
  }
  service_queue.serving = false;
}

void Relay::ScheduleQueueScan() {
  if (std::exchange(queue_scan_scheduled_, true)) {
    return;
  }
  queue_scan_timer_.expires_after(kQueueScanInterval);
  queue_scan_timer_.async_wait([this](const auto& cancelled) {
    queue_scan_scheduled_ = false;
    if (cancelled) {
      return;
    }
    for (const auto& [service, service_queue] : service_queues_) {
      ServeQueue(service);
    }
    const bool more = std::any_of(service_queues_.begin(), service_queues_.end(),
                                  [](const auto& entry) { return !entry.second.queue.empty(); });
    if (more) {
      ScheduleQueueScan();
    }
  });
}

ChoiceLimits Relay::LimitsFor(const ServiceConfig* service, double slot_share) const {
  ChoiceLimits limits;
  limits.slot_share = service == nullptr || !service->is_engine ? kPlainSlotShare : slot_share;
  if (service != nullptr && !service->is_engine) {
    const auto gate = gates_.find(service->name);
    limits.stale_loads = gate != gates_.end() && gate->second.shared;
  }
  return limits;
}

SlidingWindowRetryBudget& Relay::BudgetFor(const std::string& service) {
  return budgets_
      .try_emplace(service, limits_.retry_ratio * kBudgetShare, limits_.retry_slack * kBudgetShare)
      .first->second;
}

FleetUse Relay::OthersUse(const std::string& service, TimePoint now) const {
  const ServiceUse use = fleet_.OthersUse(ServiceTag(service), now);
  return {fleet_.roster().live_count(), use.requests, use.retries, fleet_.StateAge(now)};
}

void Relay::SetLimits(const RelayLimits& limits) {
  limits_ = limits;
  rollouts_.SetMaxShare(limits.rollout_share);
  for (auto& [service, hedges] : hedges_) {
    hedges.SetShare(limits.hedge_share);
  }
  cold_limits_.clear();
  for (auto& [service, budget] : budgets_) {
    budget.SetLimits(limits.retry_ratio * kBudgetShare, limits.retry_slack * kBudgetShare);
  }
}

void Relay::CountRequest(const std::string& service, TimePoint now) {
  BudgetFor(service).OnRequest(now);
  Hedges(service).OnRequest(now);
}

bool Relay::MayRetry(const std::string& service, TimePoint now) {
  return BudgetFor(service).Allows(OthersUse(service, now), now);
}

bool Relay::TrySpendRetry(const std::string& service, TimePoint now) {
  return BudgetFor(service).TrySpend(OthersUse(service, now), now);
}

}  // namespace chiverail
