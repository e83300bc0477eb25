#ifndef CHIVERAIL_SEND_BUDGET_H_
#define CHIVERAIL_SEND_BUDGET_H_

#include <deque>

#include "types.h"

namespace chiverail {

// Limits further sends of requests to a service within any sliding window to a share of the
// requests in it and a constant. RetryBudget, which the product's own API uses, gives no constant
// and so no repeat to a service with few requests.
class SendBudget {
 public:
  static constexpr Duration kWindow = seconds(10);

  // `ratio` is the number of further sends for each request, `slack` those beyond them.
  SendBudget(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  // Sets this instance's part of the constant, which shrinks as the fleet grows.
  void SetSlack(double slack) { slack_ = slack; }

  // Counts a request.
  void OnRequest(TimePoint now);

  // True if a further send fits now.
  bool Allows(TimePoint now);

  // Takes one further send; returns false when it doesn't fit.
  bool TrySpend(TimePoint now);

 private:
  void Expire(TimePoint now);

  double ratio_;
  double slack_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> sends_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SEND_BUDGET_H_
