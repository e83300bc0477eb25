#include "fleet_view.h"

#include <map>

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

FleetState TwoDataCentres(int engines, int instances) {
  auto manifest = std::make_shared<Manifest>();
  manifest->models = {{"writer", "1", {}}};
  manifest->data_centres = {{"dc1", "region"}, {"dc2", "region"}};
  FleetState state;
  for (int i = 0; i < engines; ++i) {
    Upstream upstream;
    upstream.id = "engine" + std::to_string(i);
    upstream.data_centre = i % 2 == 0 ? "dc1" : "dc2";
    upstream.model = "writer";
    upstream.version = "1";
    manifest->upstreams.push_back(upstream);
  }
  for (int i = 0; i < instances; ++i) {
    Member member;
    member.id = "instance" + std::to_string(i);
    member.data_centre = i % 2 == 0 ? "dc1" : "dc2";
    state.members[member.data_centre].members.push_back(member);
  }
  state.manifest = manifest;
  return state;
}

}  // namespace

TEST_CASE("A fleet view assigns engines to owners") {
  FleetState state = TwoDataCentres(20, 8);

  SECTION("every engine has an owner in its own data centre, and no owner exceeds its bound") {
    const FleetView view(state);
    std::map<InstanceId, int> owned;
    for (const EngineEntry& engine : view.engines()) {
      const Member* owner = view.AdmissionOwner(engine);
      REQUIRE(owner != nullptr);
      CHECK(owner->data_centre == engine.upstream->data_centre);
      ++owned[owner->id];
    }
    for (const auto& [id, count] : owned) {
      CHECK(count <= 4);  // ceil(1.25 * 10 engines / 4 instances)
    }

    SECTION("a leaving instance owns no engine, and every engine still has an owner") {
      state.members["dc1"].members[0].state = MemberState::kLeaving;
      const FleetView after(state);
      for (const EngineEntry& engine : after.engines()) {
        REQUIRE(after.AdmissionOwner(engine) != nullptr);
        CHECK(after.AdmissionOwner(engine)->id != state.members["dc1"].members[0].id);
      }
    }
  }

  SECTION("an engine in a data centre that is out of service is not a candidate") {
    state.data_centres_out = {"dc1"};
    const FleetView view(state);
    const auto& candidates = view.Candidates("writer", "region");
    CHECK(candidates.size() == 10);
    for (std::uint32_t index : candidates) {
      CHECK(view.engines()[index].upstream->data_centre == "dc2");
    }
  }
}
