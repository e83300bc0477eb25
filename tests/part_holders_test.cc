#include "part_holders.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

}  // namespace

TEST_CASE("Instances track which engines have a prompt segment cached") {
  PartHolders holders;
  holders.OnSent(99, 1, kStart);
  holders.OnSent(99, 2, kStart + seconds(1));
  const TimePoint now = kStart + seconds(2);
  CHECK(holders.Holders(99, now) == std::vector<std::uint32_t>{2, 1});
  CHECK(holders.Holders(98, now).empty());

  SECTION("each record is sent to the other instances once") {
    const auto updates = holders.TakeNews();
    CHECK(updates.size() == 2);
    CHECK(holders.TakeNews().empty());
    PartHolders other;
    for (const PartRead& segment : updates) {
      other.OnHeard(segment, now);
    }
    CHECK(other.Holders(99, now).size() == 2);
  }
  SECTION("records expire, because engines evict unused segments") {
    CHECK(holders.Holders(99, now + PartHolders::kRetention).empty());
    holders.Expire(now + PartHolders::kRetention);
    CHECK(holders.size() == 0);
  }
  SECTION("the records of a restarted engine are removed") {
    holders.Forget(2);
    CHECK(holders.Holders(99, now) == std::vector<std::uint32_t>{1});
  }
}

}  // namespace chiverail
