#include "slot_shares.h"

#include <deque>
#include <random>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

// One instance's part of a service with 100 slots, with more arrivals than it can serve. A request
// occupies its slot for 100 arrivals. Counts the requests served, by workspace and by class.
struct Overload {
  std::map<WorkspaceId, int> served_of;
  std::array<int, 3> served_class{};
  std::array<int, 3> requested_class{};

  template <typename Arrival>
  void Run(bool with_shares, int arrivals, Arrival arrival) {
    constexpr std::size_t kSlots = 100;
    constexpr double kPlainShare = 0.85;  // for every request, without shares by class
    SlotShares shares;
    std::deque<std::pair<int, std::pair<RequestClass, WorkspaceId>>> held;
    for (int i = 0; i < arrivals; ++i) {
      while (!held.empty() && held.front().first <= i) {
        shares.OnDone(held.front().second.first, held.front().second.second);
        held.pop_front();
      }
      const auto [request_class, workspace] = arrival(i);
      const auto position = static_cast<std::size_t>(request_class);
      ++requested_class[position];
      const double share =
          with_shares ? shares.MaxSlotShare(request_class, workspace) : kPlainShare;
      if (static_cast<double>(held.size()) + 1 <= share * kSlots) {
        shares.OnSent(request_class, workspace);
        held.push_back({i + 100, {request_class, workspace}});
        ++served_of[workspace];
        ++served_class[position];
      }
    }
  }

  double ServedShare(RequestClass request_class) const {
    const auto position = static_cast<std::size_t>(request_class);
    return static_cast<double>(served_class[position]) / std::max(1, requested_class[position]);
  }
};

}  // namespace

TEST_CASE("Slots are shared between classes and workspaces under overload") {
  std::mt19937_64 random(5);

  SECTION("a flood of the least urgent class leaves slots for urgent work and is not starved") {
    // Every hundred arrivals fill the slots once; a quarter more arrive than fit, mostly tagging.
    const auto arrival = [&](int) {
      const auto draw = random() % 10;
      const RequestClass request_class = draw < 2   ? RequestClass::kInteractive
                                         : draw < 3 ? RequestClass::kReport
                                                    : RequestClass::kTagging;
      return std::make_pair(request_class, WorkspaceId("w-" + std::to_string(random() % 8)));
    };
    Overload before;
    before.Run(false, 20'000, arrival);
    Overload after;
    after.Run(true, 20'000, arrival);
    CHECK(before.ServedShare(RequestClass::kInteractive) < 0.9);
    CHECK(after.ServedShare(RequestClass::kInteractive) > 0.99);
    CHECK(after.ServedShare(RequestClass::kReport) > 0.99);
    CHECK(after.ServedShare(RequestClass::kTagging) > 0.6);
  }
  SECTION("a flood of urgent work leaves every class its guaranteed fraction") {
    const auto arrival = [&](int) {
      const RequestClass request_class =
          random() % 10 < 7 ? RequestClass::kInteractive : RequestClass::kTagging;
      return std::make_pair(request_class, WorkspaceId("w-" + std::to_string(random() % 8)));
    };
    Overload after;
    after.Run(true, 20'000, arrival);
    CHECK(after.ServedShare(RequestClass::kTagging) > 0.5);
  }
  SECTION("a workspace that floods is refused before the others") {
    const auto arrival = [&](int) {
      const bool flood = random() % 10 < 7;
      return std::make_pair(RequestClass::kInteractive,
                            WorkspaceId(flood ? "flood" : "w-" + std::to_string(random() % 8)));
    };
    const auto served_of_others = [](const Overload& run) {
      int served = 0;
      for (const auto& [workspace, count] : run.served_of) {
        served += workspace == "flood" ? 0 : count;
      }
      return served;
    };
    Overload before;
    before.Run(false, 20'000, arrival);
    Overload after;
    after.Run(true, 20'000, arrival);
    CHECK(served_of_others(before) < 0.9 * 0.3 * 20'000);
    CHECK(served_of_others(after) > 0.97 * 0.3 * 20'000);
  }
  SECTION("requests without a workspace are not treated as the flood of one workspace") {
    SlotShares shares;
    shares.OnSent(RequestClass::kInteractive, "w");
    for (int i = 0; i < 50; ++i) {
      shares.OnSent(RequestClass::kInteractive, "");
    }
    CHECK(shares.MaxSlotShare(RequestClass::kInteractive, "") == SlotShares::kFullShare);
  }
}

}  // namespace chiverail
