#include "cache_holders.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

}  // namespace

TEST_CASE("Instances track which engines have a prompt segment cached") {
  // Segment 99 is sent to engine 1, then to engine 2.
  CacheHolders holders;
  holders.OnSent(99, 1, kStart);
  holders.OnSent(99, 2, kStart + seconds(1));
  const TimePoint now = kStart + seconds(2);
  CHECK(holders.HoldersOf(99, now) == std::vector<std::uint32_t>{2, 1});
  CHECK(holders.HoldersOf(98, now).empty());

  SECTION("each record is returned once for sending and is applied by other instances") {
    const auto updates = holders.TakeUpdates();
    CHECK(updates.size() == 2);
    CHECK(holders.TakeUpdates().empty());
    CacheHolders other;
    for (const CachedSegment& segment : updates) {
      other.OnPeerRecord(segment, now);
    }
    CHECK(other.HoldersOf(99, now).size() == 2);
  }
  SECTION("records expire, because engines evict unused segments") {
    CHECK(holders.HoldersOf(99, now + CacheHolders::kRetention).empty());
    holders.Expire(now + CacheHolders::kRetention);
    CHECK(holders.size() == 0);
  }
  SECTION("the records of a restarted engine are removed") {
    holders.RemoveEngine(2);
    CHECK(holders.HoldersOf(99, now) == std::vector<std::uint32_t>{1});
  }
}

}  // namespace chiverail
