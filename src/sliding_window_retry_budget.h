#ifndef CHIVERAIL_SLIDING_WINDOW_RETRY_BUDGET_H_
#define CHIVERAIL_SLIDING_WINDOW_RETRY_BUDGET_H_

#include <deque>

#include "types.h"

namespace chiverail {

// Limits the retries for one service within any sliding window to a share of the requests in that
// window plus a constant. DecayingRetryBudget, which the product's own API uses, has no such
// constant and would therefore allow no retry to a service with few requests.
class SlidingWindowRetryBudget {
 public:
  static constexpr Duration kWindow = seconds(10);

  // `ratio` is the number of retries per request, `slack` the constant that is added.
  SlidingWindowRetryBudget(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  // Sets this instance's share of the constant, which shrinks as the fleet grows.
  void SetSlack(double slack) { slack_ = slack; }

  // Records a request, which raises the limit for the length of the window.
  void OnRequest(TimePoint now);

  // Returns true if the budget has room for one more retry now.
  bool Allows(TimePoint now);

  // Records a retry; returns false, and records nothing, if the budget has no room for it.
  bool TrySpend(TimePoint now);

 private:
  void Expire(TimePoint now);

  double ratio_;
  double slack_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SLIDING_WINDOW_RETRY_BUDGET_H_
