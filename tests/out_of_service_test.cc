#include "out_of_service.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

using DataCentres = std::set<DataCentreId>;
constexpr bool kListing = true;
constexpr bool kChanges = false;
const TimePoint kStart{seconds(100)};

}  // namespace

// Guards against a data centre that comes back into service because the table has lost the row that
// took it out.
TEST_CASE("A data centre that operators took out stays out across a restore of the table") {
  OutOfService out;
  REQUIRE(out.Apply({{"east"}}, kListing, 1, kStart) == DataCentres{"east"});
  const TimePoint restored = kStart + seconds(3);

  SECTION("whether a listing lacks its row or changes from another instance remove it") {
    const bool listing = GENERATE(false, true);
    const auto lost =
        listing ? std::vector<OutOfService::Row>{} : std::vector<OutOfService::Row>{{"east", true}};
    CHECK(out.Apply(lost, listing, 2, restored) == DataCentres{"east"});

    SECTION("until the operators have written it again, after which nothing changes") {
      CHECK(out.Apply({{"east"}}, kChanges, 2, restored + seconds(1)) == DataCentres{"east"});
      CHECK(out.Apply({}, kChanges, 2, restored + seconds(60)) == DataCentres{"east"});
    }
    SECTION("or have taken it back in") {
      CHECK(out.Apply({{"east"}}, kChanges, 2, restored + seconds(1)) == DataCentres{"east"});
      CHECK(out.Apply({{"east", true}}, kChanges, 2, restored + seconds(2)).empty());
    }
    SECTION("or have left it so for long enough") {
      CHECK(out.Apply({}, kChanges, 2, restored + OutOfService::kKeepTime - milliseconds(1)) ==
            DataCentres{"east"});
      CHECK(out.Apply({}, kChanges, 2, restored + OutOfService::kKeepTime).empty());
    }
    SECTION("and across the next restore") {
      CHECK(out.Apply({}, kListing, 3, restored + seconds(1)) == DataCentres{"east"});
      CHECK(out.Apply({}, kChanges, 3, restored + seconds(1) + OutOfService::kKeepTime).empty());
    }
  }
  SECTION("and one that the older copy shows as out is out") {
    CHECK(out.Apply({{"west"}}, kListing, 2, restored) == DataCentres{"east", "west"});
  }
}

TEST_CASE("Without a restore, data centres are out exactly as long as their rows are there") {
  OutOfService out;
  CHECK(out.Apply({{"east"}, {"west"}}, kListing, 1, kStart) == DataCentres{"east", "west"});
  CHECK(out.Apply({{"east", true}}, kChanges, 1, kStart) == DataCentres{"west"});
  CHECK(out.Apply({}, kListing, 1, kStart).empty());
}
