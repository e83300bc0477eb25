#ifndef CHIVERAIL_ROWS_H_
#define CHIVERAIL_ROWS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet_view.h"
#include "types.h"

namespace chiverail {

// Value of `config/head`: the accepted configuration.
struct HeadRow {
  Revision revision = 0;
  std::string manifest_hash;
  std::set<DataCentreId> data_centres_out;
  std::string author;
  std::string nonce;  // identifies the change that wrote this head
};

// Value of `audit/<revision>`: one accepted change.
struct AuditRow {
  std::string author;
  std::uint64_t at_unix_ms = 0;
  Revision from = 0;
  Revision to = 0;
  std::string subject;        // what changed: "manifest" or "data_centre/<id>"
  std::string change;         // human-readable description of the change
  std::string manifest_hash;  // after the change
  std::string outcome = "accepted";
  std::string nonce;
};

// Value of `lease/<instance>`.
struct LeaseRow {
  std::uint64_t generation = 0;
  std::uint64_t sequence = 0;  // grows with each renewal within a generation
  Revision revision = 0;       // revision in force at the holder
};

// Value of `epoch/<data centre>`.
struct EpochRow {
  std::uint64_t epoch = 0;
};

// How a change of a members row affected one instance.
enum class MemberChangeKind : std::uint8_t { kJoined, kLeaving, kRemovedLive, kRemovedLeaving };
inline constexpr std::array<EnumName<MemberChangeKind>, 4> kMemberChangeKindNames{{
    {MemberChangeKind::kJoined, "joined"},
    {MemberChangeKind::kLeaving, "leaving"},
    {MemberChangeKind::kRemovedLive, "removed_live"},
    {MemberChangeKind::kRemovedLeaving, "removed_leaving"},
}};

// One recent change of a members row.
struct MemberChange {
  std::uint64_t epoch = 0;  // epoch that the change produced
  InstanceId id;
  MemberChangeKind kind = MemberChangeKind::kJoined;
};

// Value of `members/<data centre>`: the row and its latest changes. A reader that missed epochs
// reconstructs their rows from the changes, because it must know which instance owned an engine in
// between.
struct MembersValue {
  MembersRow row;
  std::vector<MemberChange> recent;  // oldest first, at most kRecentChanges
};

// Changes kept in a members row: enough for a burst of joins or evictions between two polls, at
// about 40 bytes each.
inline constexpr std::size_t kRecentChanges = 24;

// Appends a change and drops the oldest one beyond kRecentChanges. Does not change the epoch.
void AppendChange(MembersValue& value, MemberChange change);

// Returns the rows of epochs `known` + 1 up to the newest one, oldest first; empty when the kept
// changes do not reach back to `known`. For members that are no longer listed, only id, data centre
// and state are filled in.
std::vector<MembersRow> RowsSince(const MembersValue& value, std::uint64_t known);

// Parse row values. Unknown fields are ignored, so that older instances can read rows written by
// newer ones. Throw InvalidDocument with every fault found.
HeadRow ParseHead(const std::string& text);
AuditRow ParseAudit(const std::string& text);
LeaseRow ParseLease(const std::string& text);
EpochRow ParseEpoch(const std::string& text);
MembersValue ParseMembers(const std::string& text, const DataCentreId& data_centre);

// Serialize row values as JSON text.
std::string SerializeRow(const HeadRow& row);
std::string SerializeRow(const AuditRow& row);
std::string SerializeRow(const LeaseRow& row);
std::string SerializeRow(const EpochRow& row);
std::string SerializeRow(const MembersValue& row);

}  // namespace chiverail

#endif  // CHIVERAIL_ROWS_H_
