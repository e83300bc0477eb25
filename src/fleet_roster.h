#ifndef CHIVERAIL_FLEET_ROSTER_H_
#define CHIVERAIL_FLEET_ROSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "directory.h"
#include "fleet_messages.h"
#include "types.h"

namespace chiverail {

// The instances of the fleet as known to this one, itself included. Every change gets a version of
// this instance's own, so that another instance can be sent what it lacks.
class FleetRoster {
 public:
  // One instance in the roster.
  struct Member {
    InstanceInfo info;
    std::uint32_t key = 0;
    std::uint64_t version = 0;  // of the roster at the last change of this entry
    TimePoint heard_at{};       // time of its last sign of life known here
    bool live = false;
  };

  explicit FleetRoster(InstanceInfo self);

  // Sets what this instance tells about itself; its revision is maintained here.
  void SetSelf(InstanceInfo self);
  const InstanceInfo& self() const { return members_.at(self_).info; }

  // Records a sign of life of another instance at `at`, with what it tells about itself. Returns
  // false if it belongs to an earlier run of that instance.
  bool OnHeard(const InstanceInfo& info, TimePoint at, TimePoint now);

  // Records a sign of life of the instance with this key. Returns the instance, or null if unknown.
  const Member* OnHeard(std::uint32_t key, TimePoint at);

  // Applies what another instance's roster says about an instance.
  void Apply(const RosterEntry& entry, TimePoint now);

  // Marks instances that were not heard of for `silence` as not live, and removes those that have
  // not been live for long.
  void MarkSilent(TimePoint now, Duration silence);

  // Marks an instance as changed, so that its entry is sent again to those that follow this roster.
  void MarkChanged(const InstanceId& instance);

  // Marks all instances as not live but this one and those in `listed`.
  void RetainLive(const std::set<InstanceId>& listed);

  // Records a sign of life of all live instances. Called when this instance starts to judge
  // liveness itself, since until then another one has followed their signs of life.
  void RefreshLive(TimePoint now);

  // Returns the entries that changed after a version, oldest first and at most `limit`, of those
  // that `selected` accepts.
  RosterChanges ChangesAfter(std::uint64_t version,
                             std::size_t limit,
                             const std::function<bool(const Member&)>& selected) const;

  // Returns the entry of an instance, or null.
  const Member* Find(const InstanceId& instance) const;
  const Member* FindByKey(std::uint32_t key) const;

  // Returns the live instances of a data centre that are not leaving, this one included, those with
  // the most capacity first. All instances with the same roster get the same order.
  const std::vector<InstanceId>& Ranked(const DataCentreId& data_centre) const;

  // Data centres with at least one live instance.
  std::vector<DataCentreId> DataCentres() const;

  // Ids of the live instances, this one included.
  std::vector<InstanceId> LiveInstances() const;

  // Ids of the live instances and of those that were heard of within `silence`, this one included.
  std::vector<InstanceId> RecentInstances(TimePoint now, Duration silence) const;

  // Number of live instances, this one included.
  std::size_t live_count() const { return live_count_; }

  // Returns the instances that callers may use: the live ones that accept requests, or if there are
  // none, all live ones that are not leaving.
  std::vector<DirectoryEntry> CallerEntries() const;

  // Returns the peer addresses of the instances from which this one may read the contents of the
  // platform's store, the preferred one first, an empty one for the store itself. In each data
  // centre a few instances read the store and mirror it to the others, so that the number of calls
  // to the store follows the data centres and not the instances. If the store rejects all
  // instances of this data centre, or all of its stronger ones, those of the others are used.
  std::vector<std::string> StoreReaders() const;

  // Returns the place of this instance, from 0 to 1, in the order in which the instances try the
  // platform's store when none is known to reach it: by rank, in all data centres at once.
  double DirectReadTurn() const;

  const std::map<InstanceId, Member>& members() const { return members_; }
  std::uint64_t version() const { return version_; }

 private:
  void Touch(Member& member);
  void SetLive(Member& member, bool live);
  bool Update(const InstanceInfo& info, TimePoint now);

  InstanceId self_;
  std::map<InstanceId, Member> members_;
  std::unordered_map<std::uint32_t, InstanceId> by_key_;
  std::uint64_t version_ = 0;
  std::size_t live_count_ = 0;
  // Ranked() of each data centre, for the roster at `ranked_version_`.
  mutable std::map<DataCentreId, std::vector<InstanceId>> ranked_;
  mutable std::uint64_t ranked_version_ = 0;
};

// Returns the position of an instance in an order that all instances agree on.
std::uint64_t InstanceRank(const InstanceId& instance);

}  // namespace chiverail

#endif  // CHIVERAIL_FLEET_ROSTER_H_
