#include "send_budget.h"

#include <catch2/catch.hpp>

namespace chiverail {

TEST_CASE("Further sends stay within the budget of any window") {
  const TimePoint start{seconds(1000)};
  SendBudget budget(0.1, 2);

  SECTION("a service with few requests can still be tried again") {
    budget.OnRequest(start);
    CHECK(budget.TrySpend(start));
    CHECK(budget.TrySpend(start));
    CHECK_FALSE(budget.TrySpend(start));
  }
  // A storm of failures: every request asks for a repeat.
  SECTION("a storm gets the share of its requests, in every window") {
    std::deque<TimePoint> sends;
    TimePoint now = start;
    for (int i = 0; i < 5000; ++i, now += milliseconds(10)) {
      budget.OnRequest(now);
      if (budget.TrySpend(now)) {
        sends.push_back(now);
      }
      while (!sends.empty() && sends.front() <= now - SendBudget::kWindow) {
        sends.pop_front();
      }
      REQUIRE(sends.size() <= 0.1 * 1000 + 2);
    }
    CHECK(sends.size() > 90);
  }
  SECTION("a smaller part of the constant counts at once") {
    budget.SetSlack(0.5);
    CHECK_FALSE(budget.Allows(start));
  }
}

}  // namespace chiverail
