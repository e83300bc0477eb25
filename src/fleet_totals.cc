// FleetExchange: totals of the fleet's work.

#include <algorithm>
#include <utility>

#include "fleet_exchange.h"

namespace chiverail {
namespace {

// Percentile of the ages of the instances' work that counts as the age of the totals.
constexpr double kAgePercentile = 0.99;

}  // namespace

// Keeps the totals without the part of this instance, which is the state that it reported then.
void FleetExchange::KeepTotals(const HubSummary& summary, TimePoint sent_at, TimePoint now) {
  const auto own =
      std::find_if(own_reports_.begin(), own_reports_.end(),
                   [&](const OwnReport& report) { return report.sequence == summary.answers; });
  if (own == own_reports_.end()) {
    return;  // it answers a report from so long ago that its totals are no better than the last
             // ones
  }
  others_ = {};
  for (const UpstreamLoad& load : summary.loads) {
    others_.loads[load.tag] = load.requests;
  }
  for (const ServiceUse& use : summary.services) {
    others_.services[use.service] = use;
  }
  others_.age = summary.age;
  others_.Subtract(own->loads, own->services);
  summary_at_ = sent_at;
}

void FleetExchange::Totals::Subtract(const std::vector<UpstreamLoad>& own_loads,
                                     const std::vector<ServiceUse>& own_services) {
  for (const UpstreamLoad& load : own_loads) {
    std::uint32_t& requests = loads[load.tag];
    requests -= std::min(requests, load.requests);
  }
  for (const ServiceUse& own : own_services) {
    ServiceUse& use = services[own.service];
    use.requests -= std::min(use.requests, own.requests);
    use.retries -= std::min(use.retries, own.retries);
  }
}

const FleetExchange::Totals& FleetExchange::CurrentTotals(TimePoint now) const {
  if (totals_at_ != TimePoint{} && now < totals_at_ + ExchangeTiming::kTotalsPeriod) {
    return totals_;
  }
  totals_at_ = now;
  totals_ = {};
  std::vector<Duration> ages;
  const auto add = [this](const std::vector<UpstreamLoad>& loads,
                          const std::vector<ServiceUse>& services) {
    for (const UpstreamLoad& load : loads) {
      totals_.loads[load.tag] += load.requests;
    }
    for (const ServiceUse& use : services) {
      ServiceUse& total = totals_.services[use.service];
      total.service = use.service;
      total.requests += use.requests;
      total.retries += use.retries;
    }
  };
  for (const auto& [key, peer] : work_) {
    const FleetRoster::Member* member = roster_.FindByKey(key);
    if (member != nullptr && member->live) {
      add(peer.work.loads, peer.work.services);
      ages.push_back(now - peer.as_of);
    }
  }
  add(hooks_.loads(), hooks_.services());
  if (!ages.empty()) {
    const auto place =
        static_cast<std::ptrdiff_t>(kAgePercentile * static_cast<double>(ages.size() - 1));
    std::nth_element(ages.begin(), ages.begin() + place, ages.end());
    totals_.age = ages[static_cast<std::size_t>(place)];
  }
  return totals_;
}

bool FleetExchange::HasSummary(TimePoint now) const {
  return summary_at_ != TimePoint{} && now < summary_at_ + timing_.silence;
}

FleetExchange::Totals FleetExchange::OthersTotals(TimePoint now) const {
  if (is_hub_) {
    Totals others = CurrentTotals(now);
    others.Subtract(hooks_.loads(), hooks_.services());
    return others;
  }
  return HasSummary(now) ? others_ : Totals{};
}

std::unordered_map<std::uint32_t, std::uint32_t> FleetExchange::OthersLoads(TimePoint now) const {
  return OthersTotals(now).loads;
}

std::unordered_map<std::uint32_t, ServiceUse> FleetExchange::OthersUses(TimePoint now) const {
  return OthersTotals(now).services;
}

ServiceUse FleetExchange::OthersUse(std::uint32_t service, TimePoint now) const {
  const Totals others = OthersTotals(now);
  const auto found = others.services.find(service);
  return found == others.services.end() ? ServiceUse{service, 0, 0} : found->second;
}

std::optional<Duration> FleetExchange::StateAge(TimePoint now) const {
  if (is_hub_) {
    const Duration age = CurrentTotals(now).age;
    return age + (now - totals_at_);
  }
  if (!HasSummary(now)) {
    return std::nullopt;
  }
  return now - summary_at_ + others_.age;
}

}  // namespace chiverail
