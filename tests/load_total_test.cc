#include "load_total.h"

#include <catch2/catch.hpp>

#include "decaying_retry_budget.h"

using namespace chiverail;

namespace {

constexpr std::uint64_t kPool = 7;

LoadDigest Digest(const std::string& instance,
                  std::uint64_t generation,
                  std::uint64_t sequence,
                  std::uint32_t outstanding) {
  return {instance, generation, sequence, 0, 0, {{kPool, outstanding}}};
}

// Reads the total every second, since a longer time between two calls counts as a pause.
void PassTime(LoadTotal& total, TimePoint from, TimePoint to) {
  for (TimePoint now = from; now < to; now += seconds(1)) {
    total.LowerBound(kPool, now);
  }
}

}  // namespace

TEST_CASE("The total from digests is a lower bound") {
  const TimePoint start{seconds(1000)};
  LoadTotal total("self");
  CHECK(total.LowerBound(kPool, start).present == 0);
  total.OnDigest(Digest("a", 1, 5, 64), start);
  total.OnDigest(Digest("b", 1, 5, 36), start);
  total.OnDigest(Digest("self", 1, 5, 1000), start);
  CHECK(total.LowerBound(kPool, start).recent == 100);
  CHECK(total.LowerBound(kPool, start).present == 90);  // 100 less its square root

  SECTION("late and repeated digests are ignored") {
    total.OnDigest(Digest("a", 1, 4, 500), start);
    total.OnDigest(Digest("a", 1, 5, 500), start);
    CHECK(total.LowerBound(kPool, start).recent == 100);
  }

  SECTION("digests of an instance's earlier run are ignored after those of its new run") {
    total.OnDigest(Digest("a", 2, 1, 4), start);
    total.OnDigest(Digest("a", 1, 9, 64), start);
    CHECK(total.LowerBound(kPool, start).recent == 40);
  }

  SECTION("an instance without new digests is not counted, even when an old digest is repeated") {
    PassTime(total, start, start + seconds(2));
    total.OnDigest(Digest("b", 1, 6, 36), start + seconds(2));
    PassTime(total, start + seconds(2), start + seconds(4));
    CHECK(total.LowerBound(kPool, start + seconds(4)).recent == 36);
    total.OnDigest(Digest("a", 1, 5, 64), start + seconds(4));
    CHECK(total.LowerBound(kPool, start + seconds(4)).recent == 36);
  }

  SECTION("the total is not too low after a short partition") {
    PassTime(total, start, start + seconds(5));
    CHECK(total.LowerBound(kPool, start + seconds(5)).present == 0);
    total.OnDigest(Digest("a", 1, 10, 64), start + seconds(5));
    total.OnDigest(Digest("b", 1, 10, 36), start + seconds(5));
    CHECK(total.LowerBound(kPool, start + seconds(5)).present == 90);
  }

  SECTION("a decrease is assumed to continue for the lifetime of a digest") {
    total.OnDigest(Digest("a", 1, 6, 44), start + seconds(1));
    CHECK(total.LowerBound(kPool, start + seconds(1)).recent ==
          74);  // the assumed decrease is at most 8%
    CHECK(total.LowerBound(kPool, start + seconds(1)).present == 71);  // 80 less its square root
    PassTime(total, start + seconds(1), start + seconds(3));
    total.OnDigest(Digest("a", 1, 7, 44), start + seconds(3));
    total.OnDigest(Digest("b", 1, 7, 36), start + seconds(3));
    PassTime(total, start + seconds(3), start + seconds(6));
    total.OnDigest(Digest("a", 1, 8, 44), start + seconds(6));
    total.OnDigest(Digest("b", 1, 8, 36), start + seconds(6));
    CHECK(total.LowerBound(kPool, start + seconds(6)).recent == 80);
  }

  SECTION("digests that were buffered during a pause are ignored") {
    total.OnDigest(Digest("a", 1, 6, 64), start + seconds(20));
    CHECK(total.LowerBound(kPool, start + seconds(20)).recent == 0);
    PassTime(total, start + seconds(20), start + seconds(22));
    total.OnDigest(Digest("a", 1, 25, 10), start + seconds(22));
    CHECK(total.LowerBound(kPool, start + seconds(22)).recent == 10);
  }
}

TEST_CASE("Retries are limited to a share of the requests") {
  TimePoint now{seconds(1000)};
  DecayingRetryBudget budget;
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    budget.OnRequest(now);
    spent += budget.TrySpend(now) ? 1 : 0;
  }
  CHECK(spent > 70);
  CHECK(spent <= 101);

  SECTION("the retry budget does not accumulate while there are no requests") {
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest(now);
    }
    now += seconds(600);
    CHECK_FALSE(budget.TrySpend(now));
  }
}
