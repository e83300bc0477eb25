#include "ctl_platform.h"

#include "json_fields.h"
#include "manifest_chunks.h"

namespace chiverail {
namespace {

constexpr char kAuditPrefix[] = "audit/";
constexpr char kMembersPrefix[] = "members/";
constexpr char kLeasePrefix[] = "lease/";
constexpr char kCallPrefix[] = "call/";

// Parses a row. A malformed row is reported as kFailed, since InvalidDocument would blame a
// document given by the operator.
template <typename Parser>
auto Parse(const TableRow& row, Parser parser) {
  try {
    return parser(row.value);
  } catch (const InvalidDocument& invalid) {
    throw CtlError(ExitCode::kFailed, "malformed row " + row.key + ": " + invalid.what());
  }
}

std::vector<TableRow> ReadRows(const CtlContext& context, const std::string& prefix) {
  TableScanResult result = context.Platform().ReadPrefix(prefix, context.yield);
  if (result.status != TableStatus::kOk) {
    throw CtlError(ExitCode::kStoreUnavailable, "cannot read the rows " + prefix + "*");
  }
  return std::move(result.rows);
}

std::string ReadObject(const CtlContext& context, const std::string& name) {
  auto content = context.Platform().GetObject(name, context.yield);
  if (!content) {
    throw CtlError(ExitCode::kStoreUnavailable,
                   "object " + name + " does not exist, or the object store does not answer");
  }
  return std::move(*content);
}

}  // namespace

HeadRow ReadHead(const CtlContext& context) {
  const TableReadResult result = context.Platform().ReadRow(kHeadKey, context.yield);
  if (result.status != TableStatus::kOk) {
    throw CtlError(ExitCode::kStoreUnavailable, std::string("cannot read the row ") + kHeadKey);
  }
  return result.row.version == 0 ? HeadRow{} : Parse(result.row, ParseHead);
}

// Fetches all objects before joining them, because a coroutine must not be suspended inside a catch
// block.
Manifest ReadManifest(const CtlContext& context, const std::string& hash) {
  std::map<std::string, std::string> objects;
  const std::string index = ReadObject(context, hash);
  for (const std::string& name : MissingChunks(index, [](const std::string&) { return false; })) {
    objects[name] = ReadObject(context, name);
  }
  return JoinManifest(index, [&objects](const std::string& name) -> std::optional<std::string> {
    return objects.at(name);
  });
}

InForce ReadInForce(const CtlContext& context) {
  InForce in_force;
  in_force.head = ReadHead(context);
  const std::string& hash = in_force.head.manifest_hash;
  if (hash.empty()) {
    return in_force;
  }
  in_force.objects =
      MissingChunks(ReadObject(context, hash), [](const std::string&) { return false; });
  in_force.objects.push_back(hash);
  in_force.manifest = ReadManifest(context, hash);
  return in_force;
}

std::vector<AuditRow> ReadAudit(const CtlContext& context, Revision since) {
  std::vector<AuditRow> entries;
  for (const TableRow& row : ReadRows(context, kAuditPrefix)) {
    AuditRow entry = Parse(row, ParseAudit);
    if (entry.to >= since) {
      entries.push_back(std::move(entry));
    }
  }
  return entries;
}

std::vector<Member> ReadMembers(const CtlContext& context) {
  std::vector<Member> members;
  for (const TableRow& row : ReadRows(context, kMembersPrefix)) {
    const DataCentreId data_centre = row.key.substr(sizeof(kMembersPrefix) - 1);
    const MembersValue value = Parse(
        row, [&data_centre](const std::string& text) { return ParseMembers(text, data_centre); });
    members.insert(members.end(), value.row.members.begin(), value.row.members.end());
  }
  return members;
}

std::map<InstanceId, LeaseRow> ReadLeases(const CtlContext& context) {
  std::map<InstanceId, LeaseRow> leases;
  for (const TableRow& row : ReadRows(context, kLeasePrefix)) {
    leases[row.key.substr(sizeof(kLeasePrefix) - 1)] = Parse(row, ParseLease);
  }
  return leases;
}

std::map<std::string, CallRow> ReadCalls(const CtlContext& context) {
  std::map<std::string, CallRow> calls;
  for (const TableRow& row : ReadRows(context, kCallPrefix)) {
    calls[row.key.substr(sizeof(kCallPrefix) - 1)] = Parse(row, ParseCallRow);
  }
  return calls;
}

Revision QueryRevision(const CtlContext& context, const std::string& address) {
  try {
    const auto response =
        context.http.Send(address, {"GET", "/admin/status", {}, ""}, context.yield);
    const auto status = nlohmann::json::parse(response.body, nullptr, false);
    return status.is_object() ? status.value("revision", Revision{0}) : 0;
  } catch (const std::exception&) {
    return 0;
  }
}

}  // namespace chiverail
