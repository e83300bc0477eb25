#include "load_total.h"

#include <algorithm>
#include <cmath>

#include "hash.h"

namespace chiverail {
namespace {

// Seconds over which a decrease of the sum is measured: the lifetime of a digest, rounded up.
constexpr std::int64_t kDecreaseWindowSeconds = 4;

// Largest fraction of the sum by which a decrease is assumed to continue. With a load multiple of
// 1.25, a larger fraction keeps the load bound below the load of a busy pool. The bound then
// reduces the load, which reduces the bound further, down to one request per engine.
constexpr double kMaxDecreaseShare = 0.08;

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

}  // namespace

std::uint64_t LoadPool(const EngineEntry& engine) {
  return CombineHashes(HashText(engine.pool), HashText(engine.region));
}

void LoadTotal::RecentPeak::OnValue(std::uint32_t value, TimePoint now) {
  const std::int64_t second = SecondOf(now);
  Bucket& bucket = buckets_[second % buckets_.size()];
  if (bucket.second != second) {
    bucket = {second, last_};
  }
  bucket.value = std::max(bucket.value, value);
  last_ = value;
}

void LoadTotal::RecentPeak::Reset(std::uint32_t value) {
  buckets_ = {};
  last_ = value;
}

std::uint32_t LoadTotal::RecentPeak::Max(TimePoint now) const {
  std::uint32_t maximum = last_;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second >= 0 && bucket.second > SecondOf(now) - kDecreaseWindowSeconds) {
      maximum = std::max(maximum, bucket.value);
    }
  }
  return maximum;
}

void LoadTotal::Subtract(Peer& peer) {
  for (const PoolLoad& load : peer.pools) {
    pools_[load.pool].sum -= load.outstanding;
  }
}

void LoadTotal::DetectPause(TimePoint now) {
  if (last_call_ != TimePoint::min() && now - last_call_ > kPauseGap) {
    ignore_until_ = now + kBufferedTime;
  }
  last_call_ = now;
}

void LoadTotal::OnDigest(const LoadDigest& digest, TimePoint now) {
  DetectPause(now);
  if (digest.instance == self_ || now < ignore_until_) {
    return;
  }
  Expire(now);
  Peer& peer = peers_[digest.instance];
  const auto version = std::make_pair(digest.generation, digest.sequence);
  if (version <= std::make_pair(peer.generation, peer.sequence)) {
    return;
  }
  Subtract(peer);
  if (digest.generation != peer.generation) {
    for (const PoolLoad& load : peer.pools) {
      pools_[load.pool].peak.Reset(pools_[load.pool].sum);
    }
  }
  expiries_.erase({peer.expires, digest.instance});
  std::vector<PoolLoad> before = std::move(peer.pools);
  peer.generation = digest.generation;
  peer.sequence = digest.sequence;
  peer.expires = now + kDigestLifetime;
  peer.pools = digest.pools;
  expiries_.insert({peer.expires, digest.instance});
  for (const PoolLoad& load : peer.pools) {
    pools_[load.pool].sum += load.outstanding;
  }
  for (const auto& loads : {before, peer.pools}) {
    for (const PoolLoad& load : loads) {
      PoolSum& pool = pools_[load.pool];
      pool.peak.OnValue(pool.sum, now);
    }
  }
}

// A peer whose digests have expired may have stopped together with all its requests. Its generation
// and sequence number are kept, so that a late duplicate is not counted again. The expiry is not a
// decrease that may continue; treating it as one would keep the total too low after each short
// network partition.
void LoadTotal::Expire(TimePoint now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    Peer& peer = peers_[expiries_.begin()->second];
    expiries_.erase(expiries_.begin());
    Subtract(peer);
    for (const PoolLoad& load : peer.pools) {
      PoolSum& pool = pools_[load.pool];
      pool.peak.Reset(pool.sum);
    }
    peer.pools.clear();
  }
}

// Requests that end independently of each other make the sum vary by about its square root. The
// observed decrease accounts for the same ended requests, so the larger of the two is subtracted,
// not both.
TotalBound LoadTotal::LowerBound(std::uint64_t pool, TimePoint now) {
  DetectPause(now);
  Expire(now);
  const auto found = pools_.find(pool);
  if (found == pools_.end() || found->second.sum == 0) {
    return {};
  }
  const std::uint32_t sum = found->second.sum;
  const auto max_decrease = static_cast<std::uint32_t>(kMaxDecreaseShare * sum);
  const std::uint32_t decrease = found->second.peak.Max(now) - sum;
  const std::uint32_t recent = sum - std::min(decrease, max_decrease);
  const auto root = static_cast<std::uint32_t>(std::ceil(std::sqrt(sum)));
  return {recent, std::min(recent, sum > root ? sum - root : 0)};
}

}  // namespace chiverail
