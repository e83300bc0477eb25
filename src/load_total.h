#ifndef CHIVERAIL_LOAD_TOTAL_H_
#define CHIVERAIL_LOAD_TOTAL_H_

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet_view.h"
#include "peer_messages.h"
#include "types.h"

namespace chiverail {

// A digest is valid for this time after its arrival. Digests are sent every second and relayed, so
// one or two may be lost without a decrease of the total.
inline constexpr Duration kDigestLifetime = milliseconds(3500);

// Longest regular time between two calls of a LoadTotal or an AdmissionController; totals are
// recomputed every second. A longer time means that the process was paused, and that messages which
// were buffered meanwhile are about to be handled as if they were new.
inline constexpr Duration kPauseGap = milliseconds(1500);

// Messages that are received within this time after a pause may have been buffered during it.
inline constexpr Duration kBufferedTime = seconds(1);

// Returns the load pool of an engine: the hash that identifies the engines over which the mean load
// is taken, namely those of the same pool in the same region. Regions have separate load pools
// because requests stay in their region.
std::uint64_t LoadPool(const EngineEntry& engine);

// Lower bounds of the requests at the engines of a pool. Digests lag, so no number derived from
// them is certain to be below the current one: any request may have ended since.
struct TotalBound {
  // Sum of the digests less its recent decrease, in case the decrease continues. The decrease is
  // measured over the lifetime of a digest. A lower bound of the requests that held a slot at some
  // time within the age of a digest.
  std::uint32_t recent = 0;
  // The sum less its square root, by which the current number usually varies; at most `recent`.
  std::uint32_t present = 0;
};

// Requests of the other instances at the engines of each pool, summed from their digests.
class LoadTotal {
 public:
  // Digests of `self` are ignored, since an instance's own count is exact.
  explicit LoadTotal(InstanceId self) : self_(std::move(self)) {}

  // Handles a digest. Older and repeated digests are ignored; generations must increase. When more
  // than kPauseGap passes between two calls, the process is assumed to have been paused.
  void OnDigest(const LoadDigest& digest, TimePoint now);

  // Lower bounds of the other instances' requests at a pool's engines.
  TotalBound LowerBound(std::uint64_t pool, TimePoint now);

 private:
  // Maximum of a sum in each of the last seconds.
  class RecentPeak {
   public:
    void OnValue(std::uint32_t value, TimePoint now);
    void Reset(std::uint32_t value);
    // Maximum within the lifetime of a digest; at least the last value.
    std::uint32_t Max(TimePoint now) const;

   private:
    struct Bucket {
      std::int64_t second = -1;
      std::uint32_t value = 0;
    };
    std::array<Bucket, 5> buckets_;
    std::uint32_t last_ = 0;
  };
  struct Peer {
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    TimePoint expires{};
    std::vector<PoolLoad> pools;
  };
  struct PoolSum {
    std::uint32_t sum = 0;
    RecentPeak peak;
  };

  void DetectPause(TimePoint now);
  void Expire(TimePoint now);
  void Subtract(Peer& peer);

  InstanceId self_;
  TimePoint last_call_ = TimePoint::min();
  TimePoint ignore_until_ = TimePoint::min();  // digests are ignored until then, after a pause
  std::unordered_map<InstanceId, Peer> peers_;
  std::set<std::pair<TimePoint, InstanceId>> expiries_;
  std::unordered_map<std::uint64_t, PoolSum> pools_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_LOAD_TOTAL_H_
