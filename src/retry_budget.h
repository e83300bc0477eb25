#ifndef CHIVERAIL_RETRY_BUDGET_H_
#define CHIVERAIL_RETRY_BUDGET_H_

#include "types.h"

namespace chiverail {

// Limits retries to a share of requests. Each instance earns credit from its own first attempts
// only, so the sum over the fleet keeps to the same share without any message.
class RetryBudget {
 public:
  // `ratio` is the number of retries allowed per request.
  explicit RetryBudget(double ratio = 0.1) : ratio_(ratio) {}

  // Counts a first attempt, which earns credit for retries.
  void OnRequest(TimePoint now);

  // Takes one retry from the budget; returns false when there is no credit for it.
  bool TrySpend(TimePoint now);

  // Retries that could be taken now.
  double Balance(TimePoint now) const;

 private:
  double ratio_;
  double balance_ = 1.0;  // lets an instance that has just started retry once
  TimePoint updated_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_RETRY_BUDGET_H_
