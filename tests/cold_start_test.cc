#include "cold_start.h"

#include <catch2/catch.hpp>

using namespace chiverail;

TEST_CASE("The limit of a cold engine rises with completed requests") {
  const TimePoint start{seconds(1000)};
  ColdStart cold(1, 8);
  cold.OnReport("run1", false, start);
  CHECK(cold.Limit() == 1);

  SECTION("reports of a warm engine alone do not raise it") {
    for (int i = 0; i < 10; ++i) {
      cold.OnReport("run1", false, start + seconds(i));
    }
    CHECK(cold.Limit() == 1);
  }

  SECTION("each completed request raises it up to the engine's concurrency") {
    for (int i = 1; i <= 20; ++i) {
      cold.OnCompleted(start + seconds(i), 200, start + seconds(i + 1));
    }
    CHECK(cold.Limit() == 8);
    const TimePoint later = start + seconds(100);

    SECTION("the engine's own report lowers it, and older requests do not raise it again") {
      cold.OnReport("run1", true, later);
      CHECK(cold.Limit() == 1);
      cold.OnCompleted(later - seconds(1), 200, later + seconds(1));
      CHECK(cold.Limit() == 1);
      cold.OnCompleted(later + seconds(1), 200, later + seconds(2));
      CHECK(cold.Limit() == 1);  // the engine still declares itself cold
      cold.OnReport("run1", false, later + seconds(2));
      CHECK(cold.Limit() == 1);
      cold.OnCompleted(later + seconds(1), 200, later + seconds(3));
      CHECK(cold.Limit() == 2);
    }

    SECTION("a changed start id lowers it") {
      cold.OnReport("run2", false, later);
      CHECK(cold.Limit() == 1);
    }

    SECTION("a first token far slower than the mean lowers it, a slightly slow one does not") {
      cold.OnCompleted(later, 1500, later);
      CHECK(cold.Limit() == 8);
      cold.OnCompleted(later, 5000, later);
      CHECK(cold.Limit() == 1);
    }

    SECTION("an abort of half of the requests at once lowers it, one cancelled request does not") {
      cold.OnAborted(6, later);
      CHECK(cold.Limit() == 8);
      cold.OnAborted(5, later + milliseconds(100));
      cold.OnAborted(4, later + milliseconds(100));
      CHECK(cold.Limit() == 1);
    }
  }

  SECTION("a handover sets the limit, unless its limit is unknown") {
    cold.OnHandover(5, start);
    CHECK(cold.Limit() == 5);
    cold.OnHandover(0, start);
    CHECK(cold.Limit() == 5);
  }
}
