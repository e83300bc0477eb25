#include "stop_plan.h"

#include <algorithm>
#include <utility>

namespace chiverail {

void StopPlan::OnAnswered(const std::string& route, Duration took, TimePoint now) {
  if (since_ + kMemory <= now) {
    before_ = std::exchange(longest_, {});
    if (since_ + 2 * kMemory <= now) {
      before_.clear();
    }
    since_ = now;
  }
  const auto known = longest_.find(route);
  if (known != longest_.end()) {
    known->second = std::max(known->second, took);
  } else if (longest_.size() < kMaxRoutes) {
    longest_.emplace(route, took);
  }
}

void StopPlan::Begin(TimePoint accept_until, TimePoint deadline) {
  accept_until_ = accept_until;
  deadline_ = deadline;
}

std::optional<Duration> StopPlan::Longest(const std::string& route) const {
  std::optional<Duration> longest;
  for (const Longests* longests : {&longest_, &before_}) {
    const auto found = longests->find(route);
    if (found != longests->end()) {
      longest = std::max(longest.value_or(Duration::zero()), found->second);
    }
  }
  return longest;
}

bool StopPlan::MayPassOn(const std::string& route,
                         bool repeatable,
                         TimePoint request_deadline,
                         TimePoint now) const {
  if (!stopping() || request_deadline <= deadline_) {
    return true;
  }
  return repeatable && now < accept_until_ && EndsInTime(route, now);
}

bool StopPlan::MayGoOn(const std::string& route, TimePoint request_deadline, TimePoint now) const {
  return !stopping() || request_deadline <= deadline_ || EndsInTime(route, now);
}

bool StopPlan::EndsInTime(const std::string& route, TimePoint now) const {
  const std::optional<Duration> longest = Longest(route);
  return longest && now + std::chrono::duration_cast<Duration>(*longest * kMargin) <= deadline_;
}

}  // namespace chiverail
