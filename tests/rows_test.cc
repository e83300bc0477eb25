#include "rows.h"

#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "jitter.h"
#include "manifest.h"

using namespace chiverail;

namespace {

std::set<InstanceId> LiveIds(const MembersRow& row) {
  std::set<InstanceId> live;
  for (const Member& member : row.members) {
    if (member.state == MemberState::kLive) {
      live.insert(member.id);
    }
  }
  return live;
}

}  // namespace

// Guards against rows that a newer or older instance cannot read, and against missing or malformed
// fields that silently get default values.
TEST_CASE("Row values") {
  SECTION("serialized rows are parsed back, and fields of a newer version are ignored") {
    const HeadRow head{7, "abc", {"dc1", "dc2"}, "ann", "n1"};
    std::string text = SerializeRow(head);
    text.insert(1, "\"new_field\":{\"a\":1},");
    const HeadRow parsed = ParseHead(text);
    CHECK(parsed.revision == 7);
    CHECK(parsed.data_centres_out == head.data_centres_out);
    CHECK(SerializeRow(parsed) == SerializeRow(head));
    CHECK(ParseAudit(SerializeRow(AuditRow{"ann", 5, 6, 7, "manifest", "c", "h", "accepted", "n"}))
              .to == 7);
    CHECK(ParseLease(SerializeRow(LeaseRow{3, 4, 5})).sequence == 4);
    CHECK(ParseEpoch(SerializeRow(EpochRow{9})).epoch == 9);
  }

  SECTION("every fault of a malformed row is reported") {
    CHECK_THROWS_AS(ParseHead("{"), InvalidDocument);
    CHECK_THROWS_AS(ParseLease("[]"), InvalidDocument);
    try {
      ParseMembers(R"({"epoch":-1,"members":[{"id":"a","generation":1,"address":"x",
                       "peer_address":"y","state":"asleep"}]})",
                   "dc1");
      FAIL("accepted");
    } catch (const InvalidDocument& error) {
      REQUIRE(error.faults().size() == 3);
      CHECK(error.faults()[0].pointer == "/epoch");
      CHECK(error.faults()[1].pointer == "/members/0/state");
      CHECK(error.faults()[2].pointer == "/recent");
    }
  }

  SECTION("rows of missed epochs are reconstructed from the kept changes, or none is returned") {
    CHECK(rc::check(
        "every intermediate row has the live members of its epoch", [](std::uint64_t seed) {
          Jitter random(seed);
          MembersValue value;
          std::vector<std::set<InstanceId>> live(1);
          for (int i = 0; i < 40; ++i) {
            ++value.row.epoch;
            const InstanceId id = "i" + std::to_string(random.Below(6));
            auto& members = value.row.members;
            const auto found = std::find_if(members.begin(), members.end(),
                                            [&](const Member& member) { return member.id == id; });
            if (found == members.end()) {
              members.push_back({id, 1, "dc1", "", "", MemberState::kLive});
              AppendChange(value, {value.row.epoch, id, MemberChangeKind::kJoined});
            } else if (found->state == MemberState::kLive && random.Below(2) == 0) {
              found->state = MemberState::kLeaving;
              AppendChange(value, {value.row.epoch, id, MemberChangeKind::kLeaving});
            } else {
              AppendChange(
                  value, {value.row.epoch, id,
                          found->state == MemberState::kLive ? MemberChangeKind::kRemovedLive
                                                             : MemberChangeKind::kRemovedLeaving});
              members.erase(found);
            }
            live.push_back(LiveIds(value.row));
          }
          const std::uint64_t known = random.Below(40);
          const std::vector<MembersRow> rows = RowsSince(value, known);
          RC_ASSERT(rows.empty() == (40 - known > kRecentChanges));
          for (const MembersRow& row : rows) {
            RC_ASSERT(LiveIds(row) == live[row.epoch]);
          }
        }));
  }
}
