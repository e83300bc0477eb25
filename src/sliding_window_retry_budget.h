#ifndef CHIVERAIL_SLIDING_WINDOW_RETRY_BUDGET_H_
#define CHIVERAIL_SLIDING_WINDOW_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "types.h"

namespace chiverail {

// Requests and retries of the other instances for a service, within the window.
struct FleetUse {
  std::size_t instances = 1;  // live instances, this one included
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  std::optional<Duration> age;  // of the counts; absent if there are none
};

// Limits the retries of the whole fleet for one service within any sliding window to a share of the
// requests in that window plus a constant. DecayingRetryBudget, which the product's own API uses,
// has no such constant and would therefore allow no retry to a service with few requests.
//
// Retries come in bursts at single instances, so the budget is not divided: an instance may use
// what the fleet has left. The older the counts of the others are, the more retries they may have
// made since, and the less is used. Without counts, an instance uses its share only.
class SlidingWindowRetryBudget {
 public:
  static constexpr Duration kWindow = seconds(10);

  // `ratio` is the number of retries per request, `slack` the constant that is added, both of the
  // fleet.
  SlidingWindowRetryBudget(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  // Changes the limits.
  void SetLimits(double ratio, double slack) {
    ratio_ = ratio;
    slack_ = slack;
  }

  // Records a request, which raises the limit for the length of the window.
  void OnRequest(TimePoint now);

  // Returns true if the budget has room for one more retry now.
  bool Allows(const FleetUse& others, TimePoint now);

  // Records a retry; returns false, and records nothing, if the budget has no room for it.
  bool TrySpend(const FleetUse& others, TimePoint now);

  // Requests and retries of this instance within the window.
  std::uint32_t requests(TimePoint now);
  std::uint32_t retries(TimePoint now);

 private:
  void Expire(TimePoint now);

  double ratio_;
  double slack_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SLIDING_WINDOW_RETRY_BUDGET_H_
