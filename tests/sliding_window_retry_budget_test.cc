#include "sliding_window_retry_budget.h"

#include <catch2/catch.hpp>

namespace chiverail {

TEST_CASE("Retries stay within the budget of every window") {
  const TimePoint start{seconds(1000)};
  SlidingWindowRetryBudget budget(0.1, 2);

  SECTION("the constant allows retries for a service with few requests") {
    budget.OnRequest(start);
    CHECK(budget.TrySpend(start));
    CHECK(budget.TrySpend(start));
    CHECK_FALSE(budget.TrySpend(start));
  }
  // Every request fails and attempts a retry.
  SECTION("a failure storm is limited to the configured share in every window") {
    std::deque<TimePoint> retries;
    TimePoint now = start;
    for (int i = 0; i < 5000; ++i, now += milliseconds(10)) {
      budget.OnRequest(now);
      if (budget.TrySpend(now)) {
        retries.push_back(now);
      }
      while (!retries.empty() && retries.front() <= now - SlidingWindowRetryBudget::kWindow) {
        retries.pop_front();
      }
      REQUIRE(retries.size() <= 0.1 * 1000 + 2);
    }
    CHECK(retries.size() > 90);
  }
  SECTION("a lower constant takes effect immediately") {
    budget.SetSlack(0.5);
    CHECK_FALSE(budget.Allows(start));
  }
}

}  // namespace chiverail
