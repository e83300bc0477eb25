#include "decaying_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace chiverail {
namespace {

// Half-life of the credit. Decay keeps an idle night from funding a retry storm in the morning.
constexpr Duration kCreditHalfLife = seconds(30);

// Maximum credit of one instance. With 390 instances, a correlated failure causes at most 3,900
// retries beyond the earned share, which is less than one second of peak traffic.
constexpr double kMaxBalance = 10.0;

}  // namespace

double DecayingRetryBudget::Balance(TimePoint now) const {
  if (updated_ == TimePoint{} || now <= updated_) {
    return balance_;
  }
  const double half_lives = std::chrono::duration<double>(now - updated_).count() /
                            std::chrono::duration<double>(kCreditHalfLife).count();
  return balance_ * std::exp2(-half_lives);
}

void DecayingRetryBudget::OnRequest(TimePoint now) {
  balance_ = std::min(Balance(now) + ratio_, kMaxBalance);
  updated_ = now;
}

bool DecayingRetryBudget::TrySpend(TimePoint now) {
  balance_ = Balance(now);
  updated_ = now;
  if (balance_ < 1.0) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

}  // namespace chiverail
