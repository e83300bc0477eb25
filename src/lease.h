#ifndef CHIVERAIL_LEASE_H_
#define CHIVERAIL_LEASE_H_

#include <cstdint>
#include <map>
#include <variant>

#include "jitter.h"
#include "types.h"

namespace chiverail {

// Timing of a lease. kLeaseClockMargin covers clocks that run at slightly different rates.
inline constexpr Duration kLeaseRenewInterval = seconds(5);
inline constexpr Duration kLeaseValidity = seconds(15);
static_assert(2 * kLeaseRenewInterval <= kLeaseValidity, "one lost renewal must not end a lease");
inline constexpr Duration kLeaseClockMargin = seconds(2);

// An observer treats a lease as lapsed when it has stayed unchanged for this long.
inline constexpr Duration kLeaseObserverTimeout = kLeaseValidity + kLeaseClockMargin;

// Retry interval after a failed renewal: during an outage 390 instances make 195 writes a second,
// within the several hundred that the platform handles.
inline constexpr Duration kLeaseRetryInterval = seconds(2);

// No renewal is due before `until`.
struct LeaseWait {
  TimePoint until;
};

// Write the lease row with this sequence now.
struct LeaseRenew {
  std::uint64_t sequence = 0;
};

using LeaseAction = std::variant<LeaseWait, LeaseRenew>;

// The lease of this instance on the holder's side. Validity is counted from the start of the
// renewing write on the holder's own clock, so that it ends before any observer can treat the lease
// as lapsed.
class Lease {
 public:
  explicit Lease(std::uint64_t seed) : jitter_(seed) {}

  // Returns a renewal when one is due and marks it as started; otherwise returns the time at which
  // the next one may be due.
  LeaseAction NextAction(TimePoint now);

  // Registers a lease write that is part of another transaction (a join) and returns its sequence.
  std::uint64_t StartWrite(TimePoint now);

  // The write of `sequence` is known to have taken effect.
  void OnRenewed(std::uint64_t sequence, TimePoint now);

  // The write in flight failed or its outcome is unknown; a later OnRenewed for its sequence still
  // counts validity from the start of that write.
  void OnRenewFailed(TimePoint now);

  // The table is reachable again: a lapsed lease becomes due for renewal at once.
  void RenewNowIfLapsed(TimePoint now);

  // Whether the lease is valid at `now`; must be checked right before each action that relies on
  // it.
  bool IsValid(TimePoint now) const { return now < valid_until_; }

  // Start of the latest write that is known to have taken effect.
  TimePoint renewed_at() const { return valid_until_ - kLeaseValidity; }

  // Discards the lease after an eviction or a release.
  void Reset();

 private:
  Jitter jitter_;
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, TimePoint> open_writes_;  // start times of writes with unknown outcome
  bool in_flight_ = false;
  TimePoint next_renewal_{};
  TimePoint valid_until_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_LEASE_H_
