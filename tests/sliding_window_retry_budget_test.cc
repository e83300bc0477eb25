#include "sliding_window_retry_budget.h"

#include <deque>
#include <vector>

#include <catch2/catch.hpp>

namespace chiverail {

TEST_CASE("Retries stay within the budget of every window") {
  const TimePoint start{seconds(1000)};
  SlidingWindowRetryBudget budget(0.1, 2);

  SECTION("the constant allows retries for a service with few requests") {
    budget.OnRequest(start);
    CHECK(budget.TrySpend({}, start));
    CHECK(budget.TrySpend({}, start));
    CHECK_FALSE(budget.TrySpend({}, start));
  }
  // Every request fails and attempts a retry.
  SECTION("a failure storm is limited to the configured share in every window") {
    std::deque<TimePoint> retries;
    TimePoint now = start;
    for (int i = 0; i < 5000; ++i, now += milliseconds(10)) {
      budget.OnRequest(now);
      if (budget.TrySpend({}, now)) {
        retries.push_back(now);
      }
      while (!retries.empty() && retries.front() <= now - SlidingWindowRetryBudget::kWindow) {
        retries.pop_front();
      }
      REQUIRE(retries.size() <= 0.1 * 1000 + 2);
    }
    CHECK(retries.size() > 90);
  }
  SECTION("changed limits take effect immediately") {
    budget.SetLimits(0.1, 0.5);
    CHECK_FALSE(budget.Allows({}, start));
  }
}

TEST_CASE("Instances share the retry budget of the fleet") {
  const TimePoint start{seconds(1000)};
  constexpr std::size_t kInstances = 295;
  // Budget of the plain services of a large fleet: 450 requests a second.
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 630;
  SlidingWindowRetryBudget budget(kRatio, kSlack);
  for (int i = 0; i < 15; ++i) {
    budget.OnRequest(start);
  }

  // Guards against a budget that is divided among many instances: with three retries each in ten
  // seconds, an instance that received the failures of one upstream could not retry them while the
  // fleet had used a tenth of its budget.
  SECTION("an instance may use what the others have left") {
    const FleetUse others{kInstances, 4485, 100, milliseconds(300)};
    int retries = 0;
    while (retries < 2000 && budget.TrySpend(others, start)) {
      ++retries;
    }
    CHECK(retries > 1000);
    CHECK(retries + 100 <= kRatio * 4500 + kSlack);
  }
  SECTION("the older the counts are, the less is used") {
    const auto retries_at_age = [&](Duration age) {
      SlidingWindowRetryBudget aged = budget;
      int retries = 0;
      while (retries < 2000 && aged.TrySpend({kInstances, 4485, 700, age}, start)) {
        ++retries;
      }
      return retries;
    };
    CHECK(retries_at_age(milliseconds(100)) > retries_at_age(milliseconds(500)));
    CHECK(retries_at_age(milliseconds(500)) > retries_at_age(milliseconds(1500)));
  }
  SECTION("without recent counts an instance uses its share only") {
    const int share = static_cast<int>(kRatio * 15 + kSlack / kInstances);
    for (const auto& age : {std::optional<Duration>{}, std::optional<Duration>{seconds(3)}}) {
      SlidingWindowRetryBudget alone = budget;
      int retries = 0;
      while (retries < 2000 && alone.TrySpend({kInstances, 4485, 0, age}, start)) {
        ++retries;
      }
      CHECK(retries == share);
    }
  }
  // Every request of every instance fails at once, and all retry with counts of the same age.
  SECTION("a failure of everything stays within the budget of the fleet") {
    constexpr Duration kAge = milliseconds(500);
    std::vector<SlidingWindowRetryBudget> budgets(kInstances, {kRatio, kSlack});
    std::deque<std::pair<TimePoint, int>> made;  // retries of the fleet, by time
    const auto made_between = [&made](TimePoint from, TimePoint until) {
      int count = 0;
      for (const auto& [at, retries] : made) {
        count += from < at && at <= until ? retries : 0;
      }
      return count;
    };
    for (Duration after{}; after < seconds(30); after += milliseconds(100)) {
      const TimePoint now = start + after;
      int retries = 0;
      for (std::size_t i = 0; i < kInstances; ++i) {
        if (i % 7 == static_cast<std::size_t>(after / milliseconds(100)) % 7) {
          budgets[i].OnRequest(now);
          const auto seen =
              made_between(now - kAge - SlidingWindowRetryBudget::kWindow, now - kAge);
          const auto requests = static_cast<std::uint32_t>(
              std::min<Duration>(after, SlidingWindowRetryBudget::kWindow) / milliseconds(100) *
              static_cast<std::int64_t>(kInstances / 7));
          retries += budgets[i].TrySpend(
                         {kInstances, requests, static_cast<std::uint32_t>(seen), kAge}, now)
                         ? 1
                         : 0;
        }
      }
      made.emplace_back(now, retries);
      const auto in_window =
          static_cast<double>(made_between(now - SlidingWindowRetryBudget::kWindow, now));
      REQUIRE(in_window <= kRatio * 4300 + kSlack);
    }
  }
}

}  // namespace chiverail
