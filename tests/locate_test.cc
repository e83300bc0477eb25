#include "locate.h"

#include <set>

#include <catch2/catch.hpp>

#include "placement.h"

using namespace chiverail;

namespace {

FleetState MakeFleetState() {
  auto manifest = std::make_shared<Manifest>();
  manifest->models = {{"writer", "1", {}}};
  FleetState state;
  for (int dc = 0; dc < 3; ++dc) {
    const DataCentreId data_centre = "dc" + std::to_string(dc);
    manifest->data_centres.push_back({data_centre, "region"});
    for (int i = 0; i < 4; ++i) {
      Upstream upstream;
      upstream.id = data_centre + "-engine" + std::to_string(i);
      upstream.data_centre = data_centre;
      upstream.model = "writer";
      upstream.version = "1";
      manifest->upstreams.push_back(upstream);
      Member member;
      member.id = data_centre + "-instance" + std::to_string(i);
      member.data_centre = data_centre;
      state.members[data_centre].members.push_back(member);
    }
  }
  state.manifest = manifest;
  return state;
}

}  // namespace

TEST_CASE("Locate returns the instances to connect to") {
  FleetState state = MakeFleetState();
  LocateQuery query;
  query.model = "writer";
  query.region = "region";
  query.data_centre = "dc1";

  SECTION("first the owner of the home engine, last an instance of the data centre of the caller") {
    const FleetView view(state);
    for (int i = 0; i < 200; ++i) {
      query.chat = "chat" + std::to_string(i);
      const LocateAnswer answer = Locate(view, query);
      REQUIRE(answer.members.size() == 3);
      const CandidateList order = RendezvousOrder(view, "writer", "", "region", query.chat);
      CHECK(answer.members[0] == view.AdmissionOwner(view.engines()[order[0].engine]));
      CHECK(answer.members[2]->data_centre == "dc1");
      CHECK(std::set<const Member*>(answer.members.begin(), answer.members.end()).size() == 3);
      CHECK(answer.ttl == seconds(30));
    }
  }

  SECTION("leaving instances and those of a data centre out of service are not returned") {
    state.data_centres_out = {"dc1"};
    state.members["dc0"].members[2].state = MemberState::kLeaving;
    const FleetView view(state);
    for (int i = 0; i < 200; ++i) {
      query.chat = "chat" + std::to_string(i);
      for (const Member* member : Locate(view, query).members) {
        CHECK(member->data_centre != "dc1");
        CHECK(member->id != "dc0-instance2");
      }
    }
  }

  SECTION("a query for an unknown model returns instances, which can refuse the request") {
    query.model = "absent";
    query.chat = "chat";
    CHECK(Locate(FleetView(state), query).members.size() == 3);
  }

  SECTION("the answer is empty when no instance is live") {
    state.members.clear();
    CHECK(Locate(FleetView(state), query).members.empty());
  }
}
