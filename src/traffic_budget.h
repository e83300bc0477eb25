#ifndef CHIVERAIL_TRAFFIC_BUDGET_H_
#define CHIVERAIL_TRAFFIC_BUDGET_H_

#include <array>
#include <cstdint>

#include "types.h"

namespace chiverail {

// Classes of control traffic between instances. Each has its own budget, so that one class cannot
// exhaust that of another.
enum class TrafficClass : std::uint8_t { kDigest, kSlot, kHandover, kProbe };
inline constexpr std::array<EnumName<TrafficClass>, 4> kTrafficClassNames{{
    {TrafficClass::kDigest, "digest"},
    {TrafficClass::kSlot, "slot"},
    {TrafficClass::kHandover, "handover"},
    {TrafficClass::kProbe, "probe"},
}};

// Overhead of a peer message on the wire, in addition to its body: 20 bytes of IPv4 header, 32 of
// TCP header with timestamps and 8 for the message length.
inline constexpr std::uint32_t kPeerMessageOverheadBytes = 60;

// Budget of one class.
struct TrafficLimit {
  std::uint32_t bytes_per_second = 0;
  std::uint32_t burst_bytes = 0;
};

// Limits on the traffic that a malfunctioning component can cause. Their sum exceeds the 5 KB/s
// allowed per instance, because the classes are not busy at the same time. A digest hub sends up to
// 3.9 KB/s at 390 instances, other instances 0.3 KB/s. Probes run only at start-up, after an
// overdue hint and while the table is unreachable; handovers run only when owners change.
inline constexpr std::array<TrafficLimit, 4> kDefaultTrafficLimits{{
    {4000, 8000},  // kDigest
    {3000, 6000},  // kSlot
    {500, 16000},  // kHandover
    {1500, 6000},  // kProbe
}};

// Returns the default limits scaled to a total of `bytes_per_second`.
std::array<TrafficLimit, 4> ScaledTrafficLimits(std::uint32_t bytes_per_second);

// Token buckets for control traffic, one per class, counted in bytes including headers.
class TrafficBudget {
 public:
  explicit TrafficBudget(TimePoint start,
                         std::array<TrafficLimit, 4> limits = kDefaultTrafficLimits);

  // Deducts a message with a body of `body_bytes` from the budget of its class; returns false and
  // deducts nothing if the budget is insufficient.
  bool TrySpend(TrafficClass traffic, std::uint32_t body_bytes, TimePoint now);

  // Returns the earliest time at which TrySpend succeeds if nothing else is spent, or
  // TimePoint::max() for a message larger than the burst size, which never fits.
  TimePoint EarliestSpendTime(TrafficClass traffic, std::uint32_t body_bytes, TimePoint now) const;

  // Bytes spent and refused since construction, for metrics.
  std::uint64_t spent_bytes(TrafficClass traffic) const { return Bucket(traffic).spent; }
  std::uint64_t refused_bytes(TrafficClass traffic) const { return Bucket(traffic).refused; }

 private:
  struct BucketState {
    double tokens = 0;
    TimePoint filled_at{};
    std::uint64_t spent = 0;
    std::uint64_t refused = 0;
  };

  const BucketState& Bucket(TrafficClass traffic) const {
    return buckets_[static_cast<std::size_t>(traffic)];
  }
  double TokensAt(TrafficClass traffic, TimePoint now) const;

  std::array<TrafficLimit, 4> limits_;
  std::array<BucketState, 4> buckets_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TRAFFIC_BUDGET_H_
