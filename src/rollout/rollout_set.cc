#include "rollout/rollout_set.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace chiverail {
namespace {

constexpr const char* kPromotingFlag = "promoting";
constexpr const char* kRolledBackFlag = "rolled_back";

bool IsDecided(const Rollout& rollout) {
  return rollout.phase() == RolloutPhase::kCompleted ||
         rollout.phase() == RolloutPhase::kRolledBack;
}

RolloutSide SideOf(const Rollout& rollout, const std::string& version) {
  return version == rollout.order().version ? RolloutSide::kNew : RolloutSide::kOld;
}

}  // namespace

bool RolloutSet::Apply(const RolloutOrder& order, bool known, bool restored, TimePoint now) {
  const auto found = entries_.find(order.service);
  std::set<std::string> rejected;
  if (found != entries_.end()) {
    Rollout& rollout = found->second.rollout;
    const RolloutOrder& before = rollout.order();
    const bool same = before.version == order.version && before.duration == order.duration;
    if (before.revision == order.revision) {
      return false;
    }
    if (same && (!IsDecided(rollout) || restored)) {
      rollout.Renumber(order.revision);
      return false;
    }
    rejected = std::move(found->second.rejected_versions);
    if (rollout.phase() == RolloutPhase::kTrial || rollout.phase() == RolloutPhase::kUnknown ||
        rollout.phase() == RolloutPhase::kRolledBack) {
      rejected.insert(before.version);
    }
    rejected.erase(order.version);
    entries_.erase(found);
  }
  Entry entry{Rollout(order, max_share_, known, now), {}, {}, {}, std::move(rejected), true};
  entries_.emplace(order.service, std::move(entry));
  return true;
}

void RolloutSet::Withdraw(const std::string& service) {
  const auto found = entries_.find(service);
  if (found == entries_.end()) {
    return;
  }
  if (found->second.rollout.phase() == RolloutPhase::kCompleted) {
    entries_.erase(found);
    return;
  }
  found->second.rollout.Withdraw();
}

void RolloutSet::OnRecord(const std::string& service,
                          const RolloutRecord& record,
                          Duration age,
                          TimePoint now) {
  const auto found = entries_.find(service);
  if (found != entries_.end()) {
    found->second.rollout.OnRecord(record, age, now);
  }
}

void RolloutSet::OnAnswer(const std::string& service,
                          const std::string& version,
                          const std::string& route,
                          const AnswerSample& sample) {
  const auto found = entries_.find(service);
  if (found != entries_.end() && !IsDecided(found->second.rollout)) {
    found->second.evidence.Record(SideOf(found->second.rollout, version), route, sample);
  }
}

std::vector<Tally> RolloutSet::Tallies() const {
  std::vector<Tally> tallies;
  for (const auto& [service, entry] : entries_) {
    const RolloutOrder& order = entry.rollout.order();
    const RolloutPhase phase = entry.rollout.phase();
    if (!IsDecided(entry.rollout)) {
      const std::vector<Tally> counts = entry.evidence.Tallies(order);
      tallies.insert(tallies.end(), counts.begin(), counts.end());
    }
    if (phase == RolloutPhase::kPromoting || phase == RolloutPhase::kCompleted) {
      tallies.push_back({TallyTag(order, kPromotingFlag), 1, 0});
    } else if (phase == RolloutPhase::kRolledBack) {
      tallies.push_back({TallyTag(order, kRolledBackFlag), 1, 0});
    }
  }
  return tallies;
}

RolloutView RolloutSet::ViewOf(const Entry& entry, const RolloutSources& sources) const {
  const RolloutOrder& order = entry.rollout.order();
  RolloutView view;
  view.counts = entry.counts;
  view.others_promote = sources.others(TallyTag(order, kPromotingFlag)).first > 0;
  view.others_rolled_back = sources.others(TallyTag(order, kRolledBackFlag)).first > 0;
  view.in_contact = sources.in_contact;
  view.longest_timeout = sources.longest_timeout(order.service);
  for (const RolloutUpstream& upstream : sources.upstreams(order.service)) {
    if (upstream.version == order.version) {
      view.new_upstreams += upstream.usable ? 1 : 0;
      continue;
    }
    view.old_upstreams += upstream.usable ? 1 : 0;
    view.old_versions.insert(upstream.version);
    view.requests_at_old += upstream.requests;
  }
  return view;
}

// All instances choose the same ones, by rendezvous hashing.
void RolloutSet::ChooseTrialUpstreams(Entry& entry, const RolloutSources& sources) const {
  const RolloutOrder& order = entry.rollout.order();
  std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
  for (const RolloutUpstream& upstream : sources.upstreams(order.service)) {
    if (upstream.usable && upstream.version == order.version) {
      ranked.emplace_back(XXH64(upstream.id.data(), upstream.id.size(), order.revision),
                          upstream.id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), entry.rollout.upstreams_in_trial()));
  entry.trial_upstreams.clear();
  for (const auto& [rank, id] : ranked) {
    entry.trial_upstreams.insert(id);
  }
}

std::vector<std::string> RolloutSet::Update(const RolloutSources& sources, TimePoint now) {
  std::vector<std::string> changed;
  for (auto& [service, entry] : entries_) {
    if (!IsDecided(entry.rollout)) {
      entry.counts = entry.evidence.Sum(entry.rollout.order(), sources.others);
    }
    const RolloutView view = ViewOf(entry, sources);
    entry.has_old = view.old_upstreams > 0;
    if (entry.rollout.Update(view, now)) {
      changed.push_back(service);
    }
    ChooseTrialUpstreams(entry, sources);
  }
  return changed;
}

const RolloutSet::Entry* RolloutSet::EntryOf(const std::string& service) const {
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : &found->second;
}

RolloutSide RolloutSet::SideFor(const std::string& service, double draw) const {
  const Entry* entry = EntryOf(service);
  return entry != nullptr && draw < entry->rollout.share() ? RolloutSide::kNew : RolloutSide::kOld;
}

bool RolloutSet::MayTake(const std::string& service,
                         const UpstreamId& upstream,
                         const std::string& version,
                         RolloutSide side) const {
  const Entry* entry = EntryOf(service);
  if (entry == nullptr) {
    return true;
  }
  const Rollout& rollout = entry->rollout;
  if (rollout.Excludes(version) || entry->rejected_versions.count(version) > 0) {
    return false;
  }
  switch (rollout.phase()) {
    case RolloutPhase::kCompleted:
    case RolloutPhase::kRolledBack:
      return true;
    case RolloutPhase::kUnknown:
      return SideOf(rollout, version) == RolloutSide::kOld || !entry->has_old;
    case RolloutPhase::kPromoting:
      return SideOf(rollout, version) == side;
    case RolloutPhase::kTrial:
      break;
  }
  return SideOf(rollout, version) == side &&
         (side == RolloutSide::kOld || entry->trial_upstreams.count(upstream) > 0);
}

bool RolloutSet::MayTakeAny(const std::string& service,
                            const UpstreamId& upstream,
                            const std::string& version) const {
  const Entry* entry = EntryOf(service);
  return MayTake(service, upstream, version, RolloutSide::kOld) ||
         (entry != nullptr && entry->rollout.phase() == RolloutPhase::kPromoting &&
          MayTake(service, upstream, version, RolloutSide::kNew));
}

const Rollout* RolloutSet::Find(const std::string& service) const {
  const Entry* entry = EntryOf(service);
  return entry == nullptr ? nullptr : &entry->rollout;
}

const RolloutCounts* RolloutSet::CountsOf(const std::string& service) const {
  const Entry* entry = EntryOf(service);
  return entry == nullptr ? nullptr : &entry->counts;
}

std::vector<std::string> RolloutSet::Services() const {
  std::vector<std::string> services;
  for (const auto& [service, entry] : entries_) {
    services.push_back(service);
  }
  return services;
}

}  // namespace chiverail
