#include "sliding_window_retry_budget.h"

#include <algorithm>

namespace chiverail {
namespace {

// Counts that are older than this are not relied on.
constexpr Duration kMaxAge = seconds(2);

void DropBefore(std::deque<TimePoint>& times, TimePoint limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

void SlidingWindowRetryBudget::Expire(TimePoint now) {
  DropBefore(requests_, now - kWindow);
  DropBefore(retries_, now - kWindow);
}

void SlidingWindowRetryBudget::OnRequest(TimePoint now) {
  Expire(now);
  requests_.push_back(now);
}

bool SlidingWindowRetryBudget::Allows(const FleetUse& others, TimePoint now) {
  Expire(now);
  const auto own_requests = static_cast<double>(requests_.size());
  const auto own_retries = static_cast<double>(retries_.size());
  const auto instances = static_cast<double>(std::max<std::size_t>(1, others.instances));
  if (own_retries + 1 <= ratio_ * own_requests + slack_ / instances) {
    return true;
  }
  if (!others.age || *others.age > kMaxAge) {
    return false;
  }
  // Every request of the others since their counts were made may have become a retry.
  const double unseen =
      static_cast<double>(others.requests) *
      (std::chrono::duration<double>(*others.age) / std::chrono::duration<double>(kWindow));
  return own_retries + others.retries + unseen + 1 <=
         ratio_ * (own_requests + others.requests) + slack_;
}

bool SlidingWindowRetryBudget::TrySpend(const FleetUse& others, TimePoint now) {
  if (!Allows(others, now)) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

std::uint32_t SlidingWindowRetryBudget::requests(TimePoint now) {
  Expire(now);
  return static_cast<std::uint32_t>(requests_.size());
}

std::uint32_t SlidingWindowRetryBudget::retries(TimePoint now) {
  Expire(now);
  return static_cast<std::uint32_t>(retries_.size());
}

}  // namespace chiverail
