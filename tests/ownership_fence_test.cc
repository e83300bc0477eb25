#include "ownership_fence.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

// A row in which `live` owns every engine, and the others are leaving.
MembersRow RowOf(std::uint64_t epoch, const InstanceId& live, std::set<InstanceId> leaving) {
  MembersRow row;
  row.epoch = epoch;
  row.members.push_back({live, 1, "dc1", "", "", MemberState::kLive});
  for (const InstanceId& id : leaving) {
    row.members.push_back({id, 1, "dc1", "", "", MemberState::kLeaving});
  }
  return row;
}

std::shared_ptr<const Manifest> ManifestOf(std::vector<UpstreamId> engines) {
  auto manifest = std::make_shared<Manifest>();
  for (const UpstreamId& id : engines) {
    Upstream engine;
    engine.id = id;
    engine.data_centre = "dc1";
    manifest->upstreams.push_back(engine);
  }
  return manifest;
}

}  // namespace

// Guards against a new owner that grants slots while an earlier owner may still grant by an older
// view.
TEST_CASE("A gained engine") {
  OwnershipFence ownership("b", "dc1");
  const TimePoint start = TimePoint(seconds(100));
  ownership.OnManifest(1, ManifestOf({"e"}), start);
  ownership.OnMembersRow(RowOf(1, "a", {"c"}), true, start);
  ownership.OnMembersRow(RowOf(2, "b", {"a", "c"}), true, start + seconds(1));
  CHECK_FALSE(ownership.IsSoleOwner("e"));

  SECTION("is granted for after the handover of its last owner") {
    ownership.OnHandover("c", {"e", "b", 2, 1});
    CHECK_FALSE(ownership.IsSoleOwner("e"));
    ownership.OnHandover("a", {"e", "b", 2, 1});
    CHECK(ownership.IsSoleOwner("e"));
  }

  SECTION("is granted for once the earlier owner has adopted the row and the manifest") {
    ownership.OnPeerView("a", 2, 0);
    CHECK_FALSE(ownership.IsSoleOwner("e"));
    ownership.OnPeerView("a", 2, 1);
    CHECK(ownership.IsSoleOwner("e"));
  }

  SECTION("a peer with a newer view does not confirm the present one") {
    ownership.OnPeerView("a", 3, 1);
    CHECK_FALSE(ownership.IsSoleOwner("e"));
    ownership.OnMembersRow(RowOf(3, "b", {"a"}), true, start + seconds(2));
    CHECK(ownership.IsSoleOwner("e"));
  }

  SECTION("an owner that has left the row has stopped") {
    ownership.OnMembersRow(RowOf(3, "b", {"c"}), true, start + seconds(2));
    CHECK(ownership.IsSoleOwner("e"));
  }

  SECTION("a handover may arrive before its row") {
    ownership.OnMembersRow(RowOf(3, "a", {"b", "c"}), true, start + seconds(2));
    ownership.OnHandover("a", {"e", "b", 4, 1});
    ownership.OnMembersRow(RowOf(4, "b", {"a", "c"}), true, start + seconds(3));
    CHECK(ownership.IsSoleOwner("e"));
  }

  SECTION("a handover of an older view does not end the wait for a later one") {
    ownership.OnMembersRow(RowOf(3, "a", {"b", "c"}), true, start + seconds(2));
    ownership.OnMembersRow(RowOf(4, "b", {"a", "c"}), true, start + seconds(3));
    ownership.OnHandover("a", {"e", "b", 2, 1});
    CHECK_FALSE(ownership.IsSoleOwner("e"));
  }

  SECTION("is granted for after a wait with the lease held, and an outage restarts the wait") {
    const TimePoint outage = start + seconds(10);
    ownership.Tick(outage, false);
    ownership.Tick(outage + kOwnershipFenceTimeout - seconds(1), true);
    CHECK_FALSE(ownership.IsSoleOwner("e"));
    ownership.Tick(outage + kOwnershipFenceTimeout, true);
    CHECK(ownership.IsSoleOwner("e"));

    SECTION("and is handed over by an owner that was the sole one") {
      const auto handovers =
          ownership.OnMembersRow(RowOf(3, "c", {"b"}), true, outage + seconds(30));
      REQUIRE(handovers.size() == 1);
      CHECK(handovers[0].to == "c");
    }
  }

  SECTION("is not handed over while the wait lasts, nor after missed rows") {
    CHECK(ownership.OnMembersRow(RowOf(3, "c", {"b"}), true, start).empty());
    ownership.OnMembersRow(RowOf(9, "b", {"c"}), false, start);
    CHECK_FALSE(ownership.IsSoleOwner("e"));
    ownership.OnPeerView("c", 9, 1);
    CHECK(ownership.IsSoleOwner("e"));
  }

  SECTION("a new engine waits for its owners by the new manifest and an older row") {
    ownership.OnPeerView("a", 2, 1);
    ownership.OnManifest(2, ManifestOf({"e", "f"}), start + seconds(2));
    CHECK_FALSE(ownership.IsSoleOwner("f"));
    ownership.OnPeerView("a", 2, 2);
    CHECK(ownership.IsSoleOwner("f"));
    CHECK(ownership.IsSoleOwner("e"));
  }
}
