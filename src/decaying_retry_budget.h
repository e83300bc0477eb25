#ifndef CHIVERAIL_DECAYING_RETRY_BUDGET_H_
#define CHIVERAIL_DECAYING_RETRY_BUDGET_H_

#include "types.h"

namespace chiverail {

// Limits retries to a share of the requests by means of credit that decays exponentially. Each
// instance earns credit from its own first attempts only, so the fleet as a whole keeps to the same
// share without exchanging messages.
class DecayingRetryBudget {
 public:
  // `ratio` is the number of retries allowed per request.
  explicit DecayingRetryBudget(double ratio = 0.1) : ratio_(ratio) {}

  // Records a first attempt, which earns credit for retries.
  void OnRequest(TimePoint now);

  // Spends the credit for one retry; returns false if there is not enough.
  bool TrySpend(TimePoint now);

  // Returns the credit available now, in retries.
  double Balance(TimePoint now) const;

 private:
  double ratio_;
  double balance_ = 1.0;  // allows one retry right after the start
  TimePoint updated_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_DECAYING_RETRY_BUDGET_H_
