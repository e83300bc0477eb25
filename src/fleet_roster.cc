#include "fleet_roster.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace chiverail {
namespace {

// An instance that has not been live for this long is removed.
constexpr Duration kRetention = seconds(90);

// Number of instances per mirror reader: one for each kCapacityPerInstance of the reader's
// capacity in Mbit/s, within limits. Each instance needs room for a new configuration of 90 KB in a
// second.
constexpr std::size_t kMinInstancesPerReader = 16;
constexpr std::size_t kMaxInstancesPerReader = 64;
constexpr std::size_t kCapacityPerInstance = 2;

// If those of a data centre that reach the store have less than a fourth of the capacity of others,
// these read it for them: 16 instances took 2.3 s to get a configuration from one with 10 Mbit/s.
constexpr std::uint32_t kStrongerReader = 4;

// Number of instances that are tried before the store is read directly.
constexpr std::size_t kMaxReaderChoices = 3;

bool SameInfo(const InstanceInfo& a, const InstanceInfo& b) {
  const auto fields = [](const InstanceInfo& info) {
    return std::tie(info.start_id, info.peer_address, info.caller_address, info.data_centre,
                    info.capacity, info.accepting, info.leaving, info.store_reachable);
  };
  return fields(a) == fields(b);
}

}  // namespace

std::uint64_t InstanceRank(const InstanceId& instance) {
  return XXH64(instance.data(), instance.size(), 0);
}

FleetRoster::FleetRoster(InstanceInfo self) : self_(self.instance) {
  Member& member = members_[self_];
  member.key = InstanceKey(self_, self.start_id);
  by_key_[member.key] = self_;
  member.info = std::move(self);
  SetLive(member, true);
}

void FleetRoster::Touch(Member& member) {
  member.version = ++version_;
}

void FleetRoster::SetLive(Member& member, bool live) {
  if (member.live != live) {
    member.live = live;
    live_count_ = live ? live_count_ + 1 : live_count_ - 1;
    Touch(member);
  }
}

void FleetRoster::SetSelf(InstanceInfo self) {
  Member& member = members_.at(self_);
  if (!SameInfo(member.info, self)) {
    self.revision = member.info.revision + 1;
    member.info = std::move(self);
    Touch(member);
  }
}

// Start ids come from a clock that may be set back between two runs, so they are compared only
// while the known run is live: until then datagrams of an earlier run may still arrive.
bool FleetRoster::Update(const InstanceInfo& info, TimePoint now) {
  if (info.instance == self_) {
    return false;
  }
  const auto [position, added] = members_.try_emplace(info.instance);
  Member& member = position->second;
  const bool same_run = !added && member.info.start_id == info.start_id;
  if (!added && !same_run && member.live && info.start_id < member.info.start_id) {
    return false;
  }
  if (!same_run) {
    by_key_.erase(member.key);
    member.key = InstanceKey(info.instance, info.start_id);
    by_key_[member.key] = info.instance;
    member.heard_at = now;
  }
  if (!same_run || info.revision > member.info.revision) {
    member.info = info;
    Touch(member);
  }
  return true;
}

bool FleetRoster::OnHeard(const InstanceInfo& info, TimePoint at, TimePoint now) {
  if (!Update(info, now)) {
    return false;
  }
  Member& member = members_.at(info.instance);
  member.heard_at = std::max(member.heard_at, at);
  SetLive(member, true);
  return true;
}

const FleetRoster::Member* FleetRoster::OnHeard(std::uint32_t key, TimePoint at) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end() || found->second == self_) {
    return nullptr;
  }
  Member& member = members_.at(found->second);
  if (at > member.heard_at) {
    member.heard_at = at;
    SetLive(member, true);
  }
  return &member;
}

void FleetRoster::Apply(const RosterEntry& entry, TimePoint now) {
  if (Update(entry.info, now)) {
    Member& member = members_.at(entry.info.instance);
    if (entry.live && !member.live) {
      member.heard_at = now;
    }
    SetLive(member, entry.live);
  }
}

void FleetRoster::MarkSilent(TimePoint now, Duration silence) {
  for (auto entry = members_.begin(); entry != members_.end();) {
    Member& member = entry->second;
    if (entry->first == self_ || now < member.heard_at + silence) {
      ++entry;
      continue;
    }
    SetLive(member, false);
    if (now < member.heard_at + kRetention) {
      ++entry;
      continue;
    }
    by_key_.erase(member.key);
    entry = members_.erase(entry);
  }
}

void FleetRoster::MarkChanged(const InstanceId& instance) {
  const auto found = members_.find(instance);
  if (found != members_.end()) {
    Touch(found->second);
  }
}

void FleetRoster::RetainLive(const std::set<InstanceId>& listed) {
  for (auto& [id, member] : members_) {
    if (id != self_ && listed.count(id) == 0) {
      SetLive(member, false);
    }
  }
}

void FleetRoster::RefreshLive(TimePoint now) {
  for (auto& [id, member] : members_) {
    if (member.live) {
      member.heard_at = now;
    }
  }
}

RosterChanges FleetRoster::ChangesAfter(std::uint64_t version,
                                        std::size_t limit,
                                        const std::function<bool(const Member&)>& selected) const {
  RosterChanges changes;
  changes.from = version;
  changes.version = std::max(version, version_);
  if (version >= version_) {
    return changes;
  }
  std::vector<const Member*> changed;
  for (const auto& [id, member] : members_) {
    if (member.version > version && selected(member)) {
      changed.push_back(&member);
    }
  }
  std::sort(changed.begin(), changed.end(),
            [](const Member* a, const Member* b) { return a->version < b->version; });
  changes.more = changed.size() > limit;
  if (changes.more) {
    changed.resize(limit);
    changes.version = changed.back()->version;
  }
  for (const Member* member : changed) {
    changes.entries.push_back({member->info, member->live});
  }
  return changes;
}

const FleetRoster::Member* FleetRoster::Find(const InstanceId& instance) const {
  const auto found = members_.find(instance);
  return found == members_.end() ? nullptr : &found->second;
}

const FleetRoster::Member* FleetRoster::FindByKey(std::uint32_t key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : Find(found->second);
}

const std::vector<InstanceId>& FleetRoster::Ranked(const DataCentreId& data_centre) const {
  if (ranked_version_ != version_) {
    ranked_.clear();
    ranked_version_ = version_;
    for (const auto& [id, member] : members_) {
      if (member.live && !member.info.leaving) {
        ranked_[member.info.data_centre].push_back(id);
      }
    }
    for (auto& [name, instances] : ranked_) {
      std::sort(instances.begin(), instances.end(),
                [this](const InstanceId& a, const InstanceId& b) {
                  return std::make_tuple(members_.at(a).info.capacity, InstanceRank(a), a) >
                         std::make_tuple(members_.at(b).info.capacity, InstanceRank(b), b);
                });
    }
  }
  return ranked_[data_centre];
}

std::vector<DataCentreId> FleetRoster::DataCentres() const {
  Ranked(self().data_centre);
  std::vector<DataCentreId> data_centres;
  for (const auto& [name, instances] : ranked_) {
    if (!instances.empty()) {
      data_centres.push_back(name);
    }
  }
  return data_centres;
}

std::vector<InstanceId> FleetRoster::LiveInstances() const {
  std::vector<InstanceId> live;
  for (const auto& [id, member] : members_) {
    if (member.live) {
      live.push_back(id);
    }
  }
  return live;
}

std::vector<InstanceId> FleetRoster::RecentInstances(TimePoint now, Duration silence) const {
  std::vector<InstanceId> recent;
  for (const auto& [id, member] : members_) {
    if (member.live || (!member.info.leaving && now < member.heard_at + silence)) {
      recent.push_back(id);
    }
  }
  return recent;
}

std::vector<DirectoryEntry> FleetRoster::CallerEntries() const {
  std::vector<DirectoryEntry> accepting;
  std::vector<DirectoryEntry> not_leaving;
  for (const auto& [id, member] : members_) {
    if (member.live && !member.info.leaving && !member.info.caller_address.empty()) {
      not_leaving.push_back({id, member.info.caller_address, member.info.data_centre});
      if (member.info.accepting) {
        accepting.push_back(not_leaving.back());
      }
    }
  }
  return accepting.empty() ? not_leaving : accepting;
}

double FleetRoster::DirectReadTurn() const {
  const auto& ranked = Ranked(self().data_centre);
  const auto own = std::find(ranked.begin(), ranked.end(), self_);
  if (own == ranked.end()) {
    return 1;  // leaving
  }
  return static_cast<double>(own - ranked.begin()) / static_cast<double>(ranked.size());
}

std::vector<std::string> FleetRoster::StoreReaders() const {
  const auto reachable = [this](const DataCentreId& data_centre) {
    std::vector<InstanceId> instances;
    for (const InstanceId& id : Ranked(data_centre)) {
      if (members_.at(id).info.store_reachable) {
        instances.push_back(id);
      }
    }
    return instances;
  };
  std::vector<InstanceId> readers = reachable(self().data_centre);
  if (readers.empty()) {
    for (const DataCentreId& data_centre : DataCentres()) {
      const auto remote = reachable(data_centre);
      readers.insert(readers.end(), remote.begin(), remote.end());
    }
  }
  if (readers.empty()) {
    return {std::string()};
  }
  const std::uint32_t capacity = members_.at(readers.front()).info.capacity;
  const std::size_t served = std::clamp<std::size_t>(
      capacity / kCapacityPerInstance, kMinInstancesPerReader, kMaxInstancesPerReader);
  std::size_t count = 1 + (readers.size() - 1) / served;
  std::vector<InstanceId> stronger;
  for (const DataCentreId& data_centre : DataCentres()) {
    for (const InstanceId& id : Ranked(data_centre)) {
      const InstanceInfo& info = members_.at(id).info;
      if (info.capacity <= capacity * kStrongerReader) {
        break;  // they are ranked by capacity
      }
      if (info.store_reachable) {
        stronger.push_back(id);
      }
    }
  }
  if (!stronger.empty()) {
    count = stronger.size();
    readers = std::move(stronger);
  }
  const auto last = readers.begin() + static_cast<std::ptrdiff_t>(count);
  if (std::find(readers.begin(), last, self_) != last) {
    return {std::string()};
  }
  std::vector<std::string> addresses;
  const std::size_t first = InstanceRank(self_) % count;
  for (std::size_t i = 0; i < std::min(readers.size(), kMaxReaderChoices); ++i) {
    // The reader that this instance shares with others of its rank, then the next ones in order.
    const std::size_t position = i < count ? (first + i) % count : i;
    const InstanceId& id = readers[position];
    addresses.push_back(id == self_ ? std::string() : members_.at(id).info.peer_address);
  }
  return addresses;
}

}  // namespace chiverail
