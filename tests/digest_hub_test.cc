#include "digest_hub.h"

#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

constexpr std::uint64_t kPool = 7;

// A fleet of instances whose hubs exchange messages without delay.
struct Fleet {
  explicit Fleet(int instances) {
    auto manifest = std::make_shared<Manifest>();
    FleetState state;
    for (int i = 0; i < instances; ++i) {
      Member member;
      member.id = "instance" + std::to_string(1000 + i);
      state.members["dc"].members.push_back(member);
      hubs.emplace(member.id, DigestHub(member.id, 1));
    }
    state.manifest = manifest;
    view = std::make_unique<FleetView>(state);
  }

  void Deliver(const OutgoingDigest& send) {
    ++sent[send.to];
    if (stopped.count(send.to) > 0) {
      return;
    }
    for (const OutgoingDigest& answer : hubs.at(send.to).OnBatch(send.batch, now)) {
      Deliver(answer);
    }
  }

  // Runs all instances for `periods`; each has `load` requests outstanding.
  void Run(int periods, std::uint32_t load = 10) {
    for (int i = 0; i < periods; ++i) {
      now += hubs.begin()->second.Period(*view);
      for (auto& [id, hub] : hubs) {
        if (stopped.count(id) == 0) {
          for (const OutgoingDigest& send : hub.Tick(*view, {{kPool, load}}, now)) {
            Deliver(send);
          }
        }
      }
    }
  }

  std::uint32_t Others(const InstanceId& id) {
    const auto digest = hubs.at(id).TakeOthersLoad(now);
    return !digest || digest->pools.empty() ? 0 : digest->pools[0].outstanding;
  }

  std::unique_ptr<FleetView> view;
  std::map<InstanceId, DigestHub> hubs;
  std::map<InstanceId, int> sent;
  std::set<InstanceId> stopped;
  TimePoint now{seconds(100)};
};

}  // namespace

TEST_CASE("Hubs sum the load of all other instances") {
  SECTION("in a small fleet, with two messages per instance and period") {
    Fleet fleet(13);
    fleet.Run(3);
    for (auto& [id, hub] : fleet.hubs) {
      CHECK(fleet.Others(id) == 12 * 10);
    }
    fleet.sent.clear();
    fleet.Run(10);
    int messages = 0;
    for (const auto& [id, count] : fleet.sent) {
      messages += count;
    }
    CHECK(messages == 10 * 2 * 12);

    SECTION("a decrease of the load is reflected within two periods") {
      fleet.Run(2, 4);
      for (auto& [id, hub] : fleet.hubs) {
        CHECK(fleet.Others(id) == 12 * 4);
      }
    }

    SECTION("another hub takes over when the first stops, and the sum is never too high") {
      for (const auto& [id, count] : std::map<InstanceId, int>(fleet.sent)) {
        if (count > 20) {
          fleet.stopped.insert(id);
        }
      }
      REQUIRE(fleet.stopped.size() == 1);
      for (int period = 0; period < 12; ++period) {
        fleet.Run(1);
        for (auto& [id, hub] : fleet.hubs) {
          CHECK(fleet.Others(id) <= 12 * 10);
        }
      }
      fleet.Run(1);
      for (auto& [id, hub] : fleet.hubs) {
        if (fleet.stopped.count(id) == 0) {
          CHECK(fleet.Others(id) == 11 * 10);
        }
      }
    }
  }

  SECTION("in a fleet of full size through two levels, with a bound on the messages to each hub") {
    Fleet fleet(390);
    fleet.Run(6);
    for (auto& [id, hub] : fleet.hubs) {
      CHECK(fleet.Others(id) == 389 * 10);
    }
    fleet.sent.clear();
    fleet.Run(10);
    for (const auto& [id, count] : fleet.sent) {
      CHECK(count <= 10 * 65);
    }
  }

  SECTION("an instance outside the view reports nothing") {
    Fleet fleet(5);
    DigestHub unlisted("stranger", 1);
    CHECK(unlisted.Tick(*fleet.view, {{kPool, 10}}, fleet.now).empty());
  }
}
