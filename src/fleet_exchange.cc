#include "fleet_exchange.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chiverail {
namespace {

// Up to this many instances exchange their state directly. At the default period they then send
// fewer datagrams than a hub of a larger fleet.
constexpr std::size_t kMaxDirectInstances = 24;

// Number of instances that one hub serves. At five reports a second each it receives and sends some
// 600 datagrams a second, about a hundredth of a core.
constexpr std::size_t kInstancesPerHub = 128;

// Reports are a little more frequent than direct messages, because two of them lie on the way.
constexpr double kReportShare = 0.7;

// A hub sends to each other hub at most this often; with many hubs less often, so that it sends no
// more than 125 datagrams a second.
constexpr Duration kMinForwardPeriod = milliseconds(100);
constexpr Duration kForwardPeriodPerHub = milliseconds(8);

// Losses of single datagrams must not make an instance pass over its hub, nor end its listing.
constexpr int kHubTimeoutPeriods = 4;
constexpr int kSilencePeriods = 12;
constexpr Duration kMinHubTimeout = milliseconds(700);
constexpr Duration kMinSilence = milliseconds(2500);

// Instances that forward to this one get forwards in return for this long, whatever the roster.
constexpr Duration kLinkTime = seconds(2);

// Addresses without a known instance are tried this often.
// An instance that knows no other asks more often: all may have started at the same moment.
constexpr Duration kProbePeriod = milliseconds(400);
constexpr Duration kLonelyProbePeriod = milliseconds(40);
constexpr int kProbesPerAddress = 5;

// Segments in one message, so that it fits into a few packets.
constexpr std::size_t kMaxSegments = 128;

// Segments kept for receivers that lag behind.
constexpr std::size_t kMaxLoggedSegments = 2048;

// After it was alone, an instance tells nobody that others are not live until it has had time to
// hear of them.
constexpr Duration kSettleTime = seconds(1);

}  // namespace

std::size_t HubCount(std::size_t instances) {
  return instances == 0 ? 0 : 1 + (instances - 1) / kInstancesPerHub;
}

ExchangeTiming TimingFor(const std::vector<std::size_t>& instances, Duration period) {
  ExchangeTiming timing;
  const std::size_t total = std::accumulate(instances.begin(), instances.end(), std::size_t{0});
  timing.direct = total <= kMaxDirectInstances;
  for (const std::size_t count : instances) {
    timing.hubs += timing.direct ? count : HubCount(count);
  }
  timing.report = std::chrono::duration_cast<Duration>(period * kReportShare);
  timing.forward = timing.direct
                       ? period
                       : std::max<Duration>(kMinForwardPeriod,
                                            kForwardPeriodPerHub * static_cast<int>(timing.hubs));
  const Duration longest = std::max(timing.report, timing.forward);
  timing.hub_timeout = std::max<Duration>(kMinHubTimeout, kHubTimeoutPeriods * longest);
  timing.silence = std::max<Duration>(kMinSilence, kSilencePeriods * longest);
  return timing;
}

void FleetExchange::SegmentLog::Add(const CachedSegment& segment) {
  segments.push_back(segment);
  ++end;
  if (segments.size() > kMaxLoggedSegments) {
    segments.pop_front();
  }
}

std::vector<CachedSegment> FleetExchange::SegmentLog::Take(std::uint64_t& cursor) const {
  const std::uint64_t begin = end - segments.size();
  cursor = std::clamp(cursor, begin, end);
  std::vector<CachedSegment> taken;
  while (cursor < end && taken.size() < kMaxSegments) {
    taken.push_back(segments[static_cast<std::size_t>(cursor - begin)]);
    ++cursor;
  }
  return taken;
}

FleetExchange::FleetExchange(InstanceInfo self, Duration period, ExchangeHooks hooks)
    : period_(period),
      hooks_(std::move(hooks)),
      roster_(std::move(self)),
      hub_(roster_.self().instance),
      is_hub_(true),
      random_(InstanceRank(hub_)) {
  UpdateTiming();
}

void FleetExchange::AddSeed(const std::string& address) {
  if (address != roster_.self().peer_address) {
    seeds_.push_back(address);
    AddAddress(address);
  }
}

void FleetExchange::AddAddress(const std::string& address) {
  if (address != roster_.self().peer_address) {
    probes_left_.try_emplace(address, kProbesPerAddress);
  }
}

void FleetExchange::SetUpstreams(std::vector<std::uint32_t> sorted_tags) {
  upstreams_ = std::move(sorted_tags);
  upstream_set_ = UpstreamSetHash(upstreams_);
}

void FleetExchange::UpdateTiming() {
  if (timed_version_ == roster_.version()) {
    return;
  }
  timed_version_ = roster_.version();
  std::vector<std::size_t> counts;
  for (const DataCentreId& data_centre : roster_.DataCentres()) {
    counts.push_back(roster_.Ranked(data_centre).size());
  }
  timing_ = TimingFor(counts, period_);
}

bool FleetExchange::IsSuspected(const InstanceId& instance, TimePoint now) const {
  const auto found = suspected_until_.find(instance);
  return found != suspected_until_.end() && now < found->second;
}

// Returns the hub that this instance should use: one of the first instances of its data centre,
// those that do not answer left out.
InstanceId FleetExchange::HubCandidate(TimePoint now) const {
  const InstanceId& self = roster_.self().instance;
  // An instance that hears from nobody has to judge the others itself.
  const bool isolated = heard_at_ + timing_.silence <= now;
  if (timing_.direct || isolated) {
    return self;
  }
  const auto& ranked = roster_.Ranked(roster_.self().data_centre);
  std::vector<InstanceId> hubs;
  for (const InstanceId& id : ranked) {
    if (hubs.size() == HubCount(ranked.size())) {
      break;
    }
    if (id == self) {
      return self;
    }
    if (!IsSuspected(id, now)) {
      hubs.push_back(id);
    }
  }
  // An instance that is leaving is not ranked and may find nobody else.
  return hubs.empty() ? self : hubs[InstanceRank(self) % hubs.size()];
}

void FleetExchange::StartAsHub(TimePoint now) {
  is_hub_ = true;
  roster_.RefreshLive(now);
  next_forward_ = now;
}

void FleetExchange::ChooseHub(TimePoint now) {
  const InstanceId& self = roster_.self().instance;
  if (hub_ != self && unanswered_since_ != TimePoint{} &&
      unanswered_since_ + timing_.hub_timeout <= now) {
    suspected_until_[hub_] = now + kSuspicionTime;
  }
  const InstanceId chosen = HubCandidate(now);
  if (chosen != hub_) {
    hub_ = chosen;
    unanswered_since_ = {};
    next_report_ = now;
    // The former hub, or this instance as one, may have judged some instances differently: the new
    // hub's whole roster is asked for.
    if (const FleetRoster::Member* hub = roster_.Find(hub_)) {
      roster_versions_.erase(hub->key);
    }
  }
  const bool is_hub = hub_ == self;
  if (is_hub && !is_hub_) {
    StartAsHub(now);
  }
  is_hub_ = is_hub;
}

bool FleetExchange::HasReporters(TimePoint now) const {
  return std::any_of(reporters_.begin(), reporters_.end(), [&](const auto& entry) {
    return now < entry.second.reported_at + timing_.silence;
  });
}

// An instance that others report to acts as a hub although it would not choose itself: their view
// of the fleet may be ahead of its own.
bool FleetExchange::ActsAsHub(TimePoint now) const {
  return is_hub_ || HasReporters(now);
}

std::set<InstanceId> FleetExchange::ForwardTargets(TimePoint now) const {
  std::set<InstanceId> targets;
  for (const auto& [id, link] : hubs_) {
    if (link.heard_at != TimePoint{} && now < link.heard_at + kLinkTime) {
      targets.insert(id);
    }
  }
  if (ActsAsHub(now)) {
    for (const DataCentreId& data_centre : roster_.DataCentres()) {
      const auto& ranked = roster_.Ranked(data_centre);
      std::size_t left = timing_.direct ? ranked.size() : HubCount(ranked.size());
      for (const InstanceId& id : ranked) {
        if (left == 0) {
          break;
        }
        if (!IsSuspected(id, now)) {
          targets.insert(id);
          --left;
        }
      }
    }
  }
  targets.erase(roster_.self().instance);
  return targets;
}

// An instance that was alone knows others as not live that it has only not heard of.
void FleetExchange::NoteContact(TimePoint now) {
  if (contact_since_ == TimePoint{}) {
    contact_since_ = now;
  }
}

bool FleetExchange::IsSettled(TimePoint now) const {
  return contact_since_ != TimePoint{} && contact_since_ + kSettleTime <= now;
}

// Drops what belongs to instances that are gone or have restarted.
void FleetExchange::ForgetGone(TimePoint now) {
  const auto forget = [](auto& entries, const auto& is_gone) {
    for (auto entry = entries.begin(); entry != entries.end();) {
      entry = is_gone(*entry) ? entries.erase(entry) : std::next(entry);
    }
  };
  const auto unknown_key = [this](const auto& entry) {
    return roster_.FindByKey(entry.first) == nullptr;
  };
  forget(work_, unknown_key);
  forget(heard_, unknown_key);
  forget(last_summary_, unknown_key);
  forget(roster_versions_, unknown_key);
  forget(reporters_,
         [&](const auto& entry) { return entry.second.reported_at + timing_.silence <= now; });
  forget(hubs_, [&](const auto& entry) { return roster_.Find(entry.first) == nullptr; });
  forget(suspected_until_, [&](const auto& entry) { return entry.second <= now; });
  forget(asked_, [&](const auto& entry) { return entry.second + timing_.silence < now; });
}

std::vector<FleetExchange::Outgoing> FleetExchange::Tick(InstanceInfo self, TimePoint now) {
  std::vector<Outgoing> out;
  roster_.SetSelf(std::move(self));
  if (started_at_ == TimePoint{}) {
    started_at_ = next_report_ = next_forward_ = next_probe_ = last_tick_ = now;
  }
  // After a pause of this process the others' messages still wait in the socket.
  const bool was_paused = last_tick_ + timing_.silence / 2 < now;
  last_tick_ = now;
  if (was_paused) {
    roster_.RefreshLive(now);
    unanswered_since_ = {};
    heard_at_ = now;
    for (auto& [id, link] : hubs_) {
      link.unanswered_since = {};
    }
  }
  UpdateTiming();
  ChooseHub(now);
  if (is_hub_) {
    roster_.MarkSilent(now, timing_.silence);
  }
  if (roster_.live_count() == 1) {
    contact_since_ = {};
  }
  if (!is_hub_ && next_report_ <= now) {
    next_report_ = now + timing_.report;
    ReportToHub(now, out);
  }
  if (next_forward_ <= now) {
    next_forward_ = now + timing_.forward;
    if (!is_hub_) {
      // It may still answer instances that report to it, or other hubs.
      next_forward_ = now + timing_.report;
    }
    SendForwards(now, out);
  }
  if (next_probe_ <= now) {
    const bool lonely = roster_.live_count() == 1 && now < started_at_ + kSeedTime;
    next_probe_ = now + (lonely ? kLonelyProbePeriod : kProbePeriod);
    ProbeAddresses(now, out);
    ForgetGone(now);
  }
  next_tick_ = std::min({is_hub_ ? TimePoint::max() : next_report_, next_forward_, next_probe_});
  return out;
}

std::vector<FleetExchange::Outgoing> FleetExchange::Announce(InstanceInfo self, TimePoint now) {
  next_report_ = next_forward_ = now;
  return Tick(std::move(self), now);
}

bool FleetExchange::InContact(TimePoint now) const {
  return heard_at_ != TimePoint{} && now < heard_at_ + timing_.silence;
}

}  // namespace chiverail
