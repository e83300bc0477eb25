// Which callers are closed when an instance holds too much for all of them.

#include <catch2/catch.hpp>

#include "caller_limits/held_bytes.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr std::size_t kLimit = 10'000;

// Holders are told apart by their address only.
int holders[32];

}  // namespace

TEST_CASE("An instance that holds too much closes callers") {
  HeldBytes held;
  held.SetLimit(kLimit);
  TimePoint now = kStart;
  const auto set = [&](int holder, std::size_t bytes, HolderState state, bool progress) {
    held.Set(&holders[holder], bytes, state, progress, now);
  };

  SECTION("none as long as there is room") {
    set(0, kLimit, HolderState::kReceiving, true);
    CHECK_FALSE(held.IsOver());
    CHECK_FALSE(held.HasRoomFor(1));
    held.Remove(&holders[0]);
    CHECK(held.HasRoomFor(kLimit));
  }
  SECTION("those first that hold most for longest without progress") {
    set(0, 3000, HolderState::kReceiving, true);
    set(1, 3000, HolderState::kReceiving, true);
    set(2, 100, HolderState::kReceiving, true);
    now += seconds(5);
    set(1, 3100, HolderState::kReceiving, true);
    set(3, 4000, HolderState::kReceiving, true);
    REQUIRE(held.IsOver());
    CHECK(held.Victims(now) == std::vector<HeldBytes::Holder>{&holders[0]});
  }
  SECTION("so many that a tenth becomes free") {
    for (int i = 0; i < 11; ++i) {
      set(i, 1000, HolderState::kReceiving, true);
    }
    CHECK(held.Victims(now).size() == 2);
  }
  SECTION("but none whose request may run") {
    set(0, 9000, HolderState::kServing, true);
    set(1, 2000, HolderState::kReceiving, true);
    CHECK(held.Victims(now) == std::vector<HeldBytes::Holder>{&holders[1]});
    set(0, 9000, HolderState::kStalled, false);
    now += seconds(1);
    CHECK(held.Victims(now).front() == &holders[0]);
  }
  SECTION("and small ones stay beside a crowd of large ones") {
    for (int i = 0; i < 20; ++i) {
      set(i, 500, HolderState::kReceiving, true);
    }
    set(20, 20, HolderState::kReceiving, true);
    now += seconds(1);
    set(21, 1000, HolderState::kReceiving, true);
    for (const HeldBytes::Holder victim : held.Victims(now)) {
      CHECK(victim != &holders[20]);
    }
  }
}

}  // namespace chiverail
