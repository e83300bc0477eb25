#ifndef CHIVERAIL_TABLE_TYPES_H_
#define CHIVERAIL_TABLE_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "table_era.h"
#include "types.h"

namespace chiverail {

// One row of the platform's table. Version 0 means that the row does not exist; the version grows
// with each write and across restores of the table (see VersionInEra).
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;  // JSON text
  TableEra era = 0;   // of the table when the row was read, also if the row does not exist
};

// A condition of a transaction: the row must have exactly this version.
struct TableCondition {
  std::string key;
  std::uint64_t version = 0;
};

// A row to write.
struct TablePut {
  std::string key;
  std::string value;  // JSON text
};

// Writes that take effect atomically if all conditions hold.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TablePut> puts;
  std::vector<std::string> deletes;
};

// Time after which a state machine gives up waiting for the result of a table operation, unless its
// settings say otherwise. Longer than the platform client takes for one exchange with its default
// timeouts (see LongestExchange).
inline constexpr Duration kDefaultTableOperationTimeout = seconds(10);

// How a table operation ended.
enum class TableStatus : std::uint8_t {
  kOk,
  kConflict,     // a condition did not hold; nothing was written
  kUnavailable,  // refused before anything was written
  kUnknown,      // no answer: the write may or may not have taken effect
};
inline constexpr std::array<EnumName<TableStatus>, 4> kTableStatusNames{{
    {TableStatus::kOk, "ok"},
    {TableStatus::kConflict, "conflict"},
    {TableStatus::kUnavailable, "unavailable"},
    {TableStatus::kUnknown, "unknown"},
}};

// Result of a read. An absent row has status kOk and version 0.
struct TableReadResult {
  TableStatus status = TableStatus::kUnavailable;
  TableRow row;
};

// Result of a transaction.
struct TableWriteResult {
  TableStatus status = TableStatus::kUnavailable;
  std::vector<TableCondition> versions;  // of the rows written, when status is kOk
};

// Request to read one row; the result is returned with the same `op`.
struct ReadRow {
  std::uint64_t op = 0;
  std::string key;
};

// Request to run a transaction; the result is returned with the same `op`.
struct WriteRows {
  std::uint64_t op = 0;
  TableTransaction transaction;
};

// Keys of the rows that instances share.
inline constexpr char kHeadKey[] = "config/head";
inline std::string AuditKey(Revision revision) {
  // Zero-padded so that a listing by prefix is sorted by revision.
  const std::string digits = std::to_string(revision);
  return "audit/" + std::string(digits.size() < 12 ? 12 - digits.size() : 0, '0') + digits;
}
inline std::string LeaseKey(const InstanceId& instance) {
  return "lease/" + instance;
}
inline std::string MembersKey(const DataCentreId& data_centre) {
  return "members/" + data_centre;
}
// Key of a small row that is written with each members row, so that a change is detected without a
// read of the whole members row (12 KB at 98 instances).
inline std::string EpochKey(const DataCentreId& data_centre) {
  return "epoch/" + data_centre;
}
inline std::string CallKey(const WorkspaceId& workspace, const std::string& idempotency_key) {
  return "call/" + workspace + "/" + idempotency_key;
}

}  // namespace chiverail

#endif  // CHIVERAIL_TABLE_TYPES_H_
