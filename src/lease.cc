#include "lease.h"

#include <algorithm>

namespace chiverail {
namespace {

// Writes with an unknown outcome whose start times are kept; leases of older ones have lapsed.
constexpr std::size_t kMaxOpenWrites = 16;

}  // namespace

LeaseAction Lease::NextAction(TimePoint now) {
  if (in_flight_) {
    return LeaseWait{TimePoint::max()};
  }
  if (now < next_renewal_) {
    return LeaseWait{next_renewal_};
  }
  return LeaseRenew{StartWrite(now)};
}

std::uint64_t Lease::StartWrite(TimePoint now) {
  in_flight_ = true;
  open_writes_[++sequence_] = now;
  if (open_writes_.size() > kMaxOpenWrites) {
    open_writes_.erase(open_writes_.begin());
  }
  return sequence_;
}

// Validity never moves backwards: once a lost answer has been recovered by a read, answers may
// arrive out of order.
void Lease::OnRenewed(std::uint64_t sequence, TimePoint now) {
  const auto found = open_writes_.find(sequence);
  if (found == open_writes_.end()) {
    return;
  }
  valid_until_ = std::max(valid_until_, found->second + kLeaseValidity);
  next_renewal_ = std::max(now, found->second + jitter_.Around(kLeaseRenewInterval));
  open_writes_.erase(open_writes_.begin(), std::next(found));
  in_flight_ = false;
}

// The wide jitter keeps retries from synchronizing with a table that fails at regular intervals.
void Lease::OnRenewFailed(TimePoint now) {
  in_flight_ = false;
  next_renewal_ = now + kLeaseRetryInterval / 2 + jitter_.UpTo(kLeaseRetryInterval);
}

void Lease::RenewNowIfLapsed(TimePoint now) {
  if (!IsValid(now)) {
    next_renewal_ = std::min(next_renewal_, now);
  }
}

void Lease::Reset() {
  open_writes_.clear();
  in_flight_ = false;
  next_renewal_ = TimePoint{};
  valid_until_ = TimePoint{};
}

}  // namespace chiverail
