#include "traffic_budget.h"

#include <algorithm>
#include <cmath>

namespace chiverail {

std::array<TrafficLimit, 4> ScaledTrafficLimits(std::uint32_t bytes_per_second) {
  std::uint64_t total = 0;
  for (const TrafficLimit& limit : kDefaultTrafficLimits) {
    total += limit.bytes_per_second;
  }
  std::array<TrafficLimit, 4> scaled = kDefaultTrafficLimits;
  for (TrafficLimit& limit : scaled) {
    limit.bytes_per_second = static_cast<std::uint32_t>(std::uint64_t{limit.bytes_per_second} *
                                                        bytes_per_second / total);
    limit.burst_bytes =
        static_cast<std::uint32_t>(std::uint64_t{limit.burst_bytes} * bytes_per_second / total);
  }
  return scaled;
}

TrafficBudget::TrafficBudget(TimePoint start, std::array<TrafficLimit, 4> limits)
    : limits_(limits) {
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i].tokens = limits_[i].burst_bytes;
    buckets_[i].filled_at = start;
  }
}

double TrafficBudget::TokensAt(TrafficClass traffic, TimePoint now) const {
  const auto index = static_cast<std::size_t>(traffic);
  const BucketState& bucket = buckets_[index];
  const double elapsed = std::chrono::duration<double>(now - bucket.filled_at).count();
  return std::min<double>(limits_[index].burst_bytes,
                          bucket.tokens + elapsed * limits_[index].bytes_per_second);
}

bool TrafficBudget::TrySpend(TrafficClass traffic, std::uint32_t body_bytes, TimePoint now) {
  BucketState& bucket = buckets_[static_cast<std::size_t>(traffic)];
  const std::uint32_t bytes = body_bytes + kPeerMessageOverheadBytes;
  const double tokens = TokensAt(traffic, now);
  if (tokens < bytes) {
    bucket.refused += bytes;
    return false;
  }
  bucket.tokens = tokens - bytes;
  bucket.filled_at = now;
  bucket.spent += bytes;
  return true;
}

// Rounds up, so that a sender that waits until then is not refused for lack of a fraction of a
// byte.
TimePoint TrafficBudget::EarliestSpendTime(TrafficClass traffic,
                                           std::uint32_t body_bytes,
                                           TimePoint now) const {
  const TrafficLimit& limit = limits_[static_cast<std::size_t>(traffic)];
  const double bytes = static_cast<double>(body_bytes) + kPeerMessageOverheadBytes;
  const double missing = bytes - TokensAt(traffic, now);
  if (missing <= 0) {
    return now;
  }
  if (bytes > limit.burst_bytes || limit.bytes_per_second == 0) {
    return TimePoint::max();
  }
  const double wait_ns = std::ceil(missing / limit.bytes_per_second * 1e9) + 1;
  return now + Duration(static_cast<std::int64_t>(wait_ns));
}

}  // namespace chiverail
