// Instances that are paused and go on: what they read then is as old as it was when it was sent.

#include <catch2/catch.hpp>

#include "table_sim.h"

namespace chiverail {
namespace {

constexpr ReadTiming kOperatorRows{milliseconds(600), {}, milliseconds(300), milliseconds(1500)};

enum class Role : std::uint8_t { kHub, kReader, kOther };

std::size_t InstanceWith(Role role, const TableSim& sim) {
  const std::size_t hub = sim.fleet.HubOf("dc0");
  const std::vector<std::size_t> readers = sim.Readers();
  switch (role) {
    case Role::kHub:
      return hub;
    case Role::kReader:
      return readers.front();
    case Role::kOther:
      break;
  }
  for (std::size_t i = sim.fleet.nodes.size(); i-- > 0;) {
    if (i != hub && std::count(readers.begin(), readers.end(), i) == 0) {
      return i;
    }
  }
  return 0;
}

struct Scene {
  int instances;
  int data_centres;
  Duration pause;
  Role role;
};

// The large fleets take a second or more of processor time for each second.
std::vector<Scene> Scenes() {
  std::vector<Scene> scenes;
  for (const int instances : {3, 13, 24}) {
    for (const int pause_ms : {300, 1000, 4000, 8000}) {
      for (const Role role : {Role::kHub, Role::kReader, Role::kOther}) {
        scenes.push_back({instances, 3, milliseconds(pause_ms), role});
      }
    }
  }
  for (const int pause_ms : {300, 1000, 4000, 8000}) {
    scenes.push_back({114, 4, milliseconds(pause_ms), Role::kHub});
  }
  scenes.push_back({114, 4, seconds(4), Role::kReader});
  scenes.push_back({114, 4, seconds(4), Role::kOther});
  scenes.push_back({295, 5, seconds(4), Role::kHub});
  return scenes;
}

}  // namespace

// Guards against withdrawn keys that are served again (review/1, CONFIG): notices that had waited
// in the socket of a paused instance confirmed its rows, and those of the instances it told.
TEST_CASE("Notices that were held up by a pause confirm nothing for that time") {
  const Scene scene = GENERATE(from_range(Scenes()));
  TableSim sim(scene.instances, scene.data_centres, kOperatorRows, 11);
  const std::size_t paused = InstanceWith(scene.role, sim);
  sim.Pause(paused);
  sim.fleet.Run(milliseconds(150));
  for (std::size_t i = 0; i < sim.fleet.nodes.size(); ++i) {
    sim.silenced.insert(i);
  }
  sim.Commit();
  sim.fleet.Run(scene.pause - milliseconds(150));
  sim.Resume(paused);
  sim.fleet.Run(milliseconds(1500));
  INFO(scene.instances << " instances, paused for " << scene.pause.count() / 1000000 << " ms, role "
                       << static_cast<int>(scene.role));
  CHECK(sim.false_confirmations == 0);
}

// Guards against an instance that refuses requests after a pause until a timeout has passed.
TEST_CASE("A paused instance confirms its rows again with the first answers") {
  const int instances = GENERATE(3, 13, 24, 114);
  const Role role = GENERATE(Role::kHub, Role::kReader, Role::kOther);
  const int pause_ms = GENERATE(4000, 8000);
  TableSim sim(instances, 3, kOperatorRows, 12);
  const std::size_t paused = InstanceWith(role, sim);
  sim.Pause(paused);
  sim.fleet.Run(milliseconds(pause_ms));
  const TimePoint resumed = sim.fleet.now();
  sim.Resume(paused);
  // The rows of an instance that was not paused are as old as this.
  const Duration took = sim.UntilConfirmed(paused, resumed - kOperatorRows.max_age, seconds(5));
  INFO(instances << " instances, role " << static_cast<int>(role) << ", " << took.count() / 1000000
                 << " ms");
  CHECK(took < SourceChoice::kNoticeTimeout);
  CHECK(sim.false_confirmations == 0);
}

}  // namespace chiverail
