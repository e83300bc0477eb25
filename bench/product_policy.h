#ifndef CHIVERAIL_BENCH_PRODUCT_POLICY_H_
#define CHIVERAIL_BENCH_PRODUCT_POLICY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "product_instance.h"
#include "random.h"
#include "world.h"

namespace chiverail::bench {

// Runs the product's decision classes on every instance and simulates what connects them: callers
// that cache locate answers until they expire, delayed messages and view updates, and delayed load
// reports and cache events.
class ProductPolicy {
 public:
  ProductPolicy(World& world, std::uint64_t seed);

  void OnArrival(std::uint32_t turn);
  void OnChange(const FleetChange& change);

  // Adds the results that only this policy has.
  void Complete(RunResult& result) const;

  // Used by the instances.
  World& world() { return world_; }
  void Send(const InstanceId& from, const InstanceId& to, const PeerMessage& message);
  void RecordDecision(std::uint32_t turn, const InstanceId& instance, std::uint64_t outcome);
  void RecordSlot(bool remote);
  const SimLoadSample& Sample(std::size_t engine) const { return samples_[engine]; }

 private:
  // Locate answer in a caller's cache.
  struct CachedLocate {
    TimePoint expires;
    std::vector<InstanceId> instances;
  };

  // Returns the running instance, or null.
  ProductInstance* FindLive(const InstanceId& id);
  CachedLocate& CacheEntryFor(std::uint32_t turn);
  void Locate(std::uint32_t turn, CachedLocate& cached_locate);
  void Connect(std::uint32_t turn, std::size_t position, int attempts_left);
  void StartInstance(const InstanceId& id, std::uint64_t generation);
  void StopInstance(const InstanceId& id);
  void Poll(const InstanceId& id);
  void ProbeTables();
  bool TableDown() const;
  void SampleLoads();
  void CollectCacheEvents();

  World& world_;
  Random random_;
  std::shared_ptr<const FleetView> latest_view_;
  std::map<InstanceId, std::shared_ptr<ProductInstance>> instances_;  // null while stopped
  std::vector<InstanceId> instance_ids_;
  std::map<InstanceId, DataCentreId> data_centres_;               // by instance
  std::unordered_map<std::uint64_t, CachedLocate> locate_cache_;  // by chat
  std::unordered_map<std::uint64_t, ChatId> chats_;
  std::vector<SimLoadSample> samples_;
  std::vector<int> connection_counts_;  // by turn; gives each connection its own attempt numbers
  std::uint64_t decisions_hash_ = 0;
  std::uint64_t slots_ = 0;
  std::uint64_t remote_slots_ = 0;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_PRODUCT_POLICY_H_
