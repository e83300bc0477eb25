#ifndef CHIVERAIL_CACHE_HOLDERS_H_
#define CHIVERAIL_CACHE_HOLDERS_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace chiverail {

// A shared prompt segment that was sent to an engine, which therefore has it cached.
struct CachedSegment {
  std::uint32_t segment_hash = 0;  // hash of the segment's id, folded to 32 bits
  std::uint32_t upstream = 0;      // tag of the engine
};

// Tracks which engines have a shared prompt segment cached. Instances exchange their records in
// digests, so that requests keep going to the cache holders when engines are added or when load has
// moved the segment away from the engine that rendezvous hashing selects.
class CacheHolders {
 public:
  // A segment that has not been used at an engine for this long is assumed to be evicted there.
  static constexpr Duration kRetention = seconds(40);

  // A segment that keeps being used at an engine is told to the others again after this long.
  static constexpr Duration kRefreshPeriod = seconds(15);

  // Records that this instance sent a segment to an engine.
  void OnSent(std::uint64_t segment_id_hash, std::uint32_t upstream, TimePoint now);

  // Records that another instance sent a segment to an engine. Returns whether that is worth
  // passing on to further instances: not if it was recorded within kRefreshPeriod.
  bool OnPeerRecord(const CachedSegment& segment, TimePoint now);

  // Returns the tags of the engines that have a segment cached, most recently used first.
  std::vector<std::uint32_t> HoldersOf(std::uint64_t segment_id_hash, TimePoint now) const;

  // Returns the records of this instance since the last call that others lack.
  std::vector<CachedSegment> TakeUpdates();

  // Removes all records of an engine that has restarted or was removed.
  void RemoveEngine(std::uint32_t upstream);

  // Removes segments that have not been used within the retention time.
  void Expire(TimePoint now);

  // Number of segments.
  std::size_t size() const { return holders_of_segment_.size(); }

 private:
  struct Holder {
    std::uint32_t upstream = 0;
    TimePoint last_used{};
    TimePoint told_at{};  // when the record was last passed on or received
  };

  static std::uint32_t ShortHash(std::uint64_t segment_id_hash);
  bool Record(const CachedSegment& segment, TimePoint now);

  std::unordered_map<std::uint32_t, std::vector<Holder>> holders_of_segment_;
  std::vector<CachedSegment> unsent_;  // records for the next digest
};

}  // namespace chiverail

#endif  // CHIVERAIL_CACHE_HOLDERS_H_
