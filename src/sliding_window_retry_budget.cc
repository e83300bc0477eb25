#include "sliding_window_retry_budget.h"

namespace chiverail {
namespace {

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

bool SlidingWindowRetryBudget::Allows(TimePoint now) {
  Expire(now);
  return static_cast<double>(retries_.size()) + 1 <=
         ratio_ * static_cast<double>(requests_.size()) + slack_;
}

bool SlidingWindowRetryBudget::TrySpend(TimePoint now) {
  if (!Allows(now)) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

}  // namespace chiverail
