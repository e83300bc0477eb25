#include "hedging/hedge_policy.h"

#include <algorithm>
#include <vector>

namespace chiverail {
namespace {

// Bounds of the share of the answers that come before the second attempt is due. It follows from
// the limit: attempts that are due earlier would use that up for requests that gain little.
constexpr double kMinQuantile = 0.5;
constexpr double kMaxQuantile = 0.99;

// Answers from which that time is taken: the last ones, as upstreams change within seconds.
constexpr std::size_t kMinTimes = 16;
constexpr std::size_t kMaxTimes = 200;
constexpr Duration kTimesWindow = seconds(30);

// A second attempt that is due sooner gains nothing over the network.
constexpr Duration kMinDelay = milliseconds(5);

// Requests at the upstreams for each of their slots from which on slots are short.
constexpr double kShortLoad = 0.6;

// Window over which second attempts are limited, and how many may be made in it beside the share,
// so that an instance with few requests can make one.
constexpr Duration kLimitWindow = seconds(10);
constexpr double kLimitSlack = 1;

}  // namespace

void HedgePolicy::Expire(TimePoint now) {
  while (!times_.empty() && times_.front().first + kTimesWindow <= now) {
    times_.pop_front();
  }
  for (std::deque<TimePoint>* times : {&requests_, &started_}) {
    while (!times->empty() && times->front() + kLimitWindow <= now) {
      times->pop_front();
    }
  }
}

void HedgePolicy::OnRequest(TimePoint now) {
  if (share_ > 0) {
    requests_.push_back(now);
    Expire(now);
  }
}

void HedgePolicy::OnAnswer(Duration time, TimePoint now) {
  if (share_ <= 0) {
    return;
  }
  times_.emplace_back(now, time);
  if (times_.size() > kMaxTimes) {
    times_.pop_front();
  }
}

std::optional<Duration> HedgePolicy::Delay(TimePoint now) {
  Expire(now);
  if (share_ <= 0 || times_.size() < kMinTimes) {
    return std::nullopt;
  }
  std::vector<Duration> sorted;
  for (const auto& [at, time] : times_) {
    sorted.push_back(time);
  }
  const double quantile = std::clamp(1 - share_, kMinQuantile, kMaxQuantile);
  const auto place = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return std::max<Duration>(kMinDelay, sorted[static_cast<std::size_t>(place)]);
}

HedgeOutcome HedgePolicy::TryStart(double load, TimePoint now) {
  Expire(now);
  if (load >= kShortLoad) {
    return HedgeOutcome::kShort;
  }
  const double limit = share_ * static_cast<double>(requests_.size()) + kLimitSlack;
  if (static_cast<double>(started_.size()) + 1 > limit) {
    return HedgeOutcome::kOverLimit;
  }
  started_.push_back(now);
  return HedgeOutcome::kStarted;
}

}  // namespace chiverail
