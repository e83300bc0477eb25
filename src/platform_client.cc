#include "platform_client.h"

#include <nlohmann/json.hpp>

#include "log.h"

namespace chiverail {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// Parses a response body. Returns a discarded value if it is malformed, which callers treat as no
// answer. Members of the wrong type throw a json::exception when they are read; every public call
// catches it, because an exception that left the coroutine would be discarded with the result that
// a state machine waits for.
json ParseBody(const std::string& body) {
  return json::parse(body, nullptr, false);
}

// Every answer of the table states its era; one without a statement is of era 0.
TableEra EraFromJson(const json& document) {
  return document.is_object() ? document.value("era", TableEra{0}) : 0;
}

TableRow RowFromJson(const std::string& key, TableEra era, const json& document) {
  TableRow row;
  row.key = key;
  row.version = VersionInEra(era, document.value("version", std::uint64_t{0}));
  row.era = era;
  row.value = document.contains("value") ? document["value"].dump() : "";
  return row;
}

json TransactionToJson(const TableTransaction& transaction) {
  json document = {{"if", json::array()}, {"put", json::array()}, {"delete", transaction.deletes}};
  for (const TableCondition& condition : transaction.conditions) {
    json held = {{"key", condition.key}, {"version", CounterOf(condition.version)}};
    if (condition.version != 0) {
      held["era"] = EraOf(condition.version);
    }
    document["if"].push_back(std::move(held));
  }
  for (const TablePut& put : transaction.puts) {
    document["put"].push_back({{"key", put.key}, {"value", json::parse(put.value)}});
  }
  return document;
}

PlatformList ListFromJson(const json& document) {
  PlatformList list;
  list.sequence = document.value("sequence", std::uint64_t{0});
  for (const json& entry : document.value("instances", json::array())) {
    list.instances[entry.value("id", "")] = {entry.value("state", "") == "leaving",
                                             entry.value("peer_address", "")};
  }
  for (const json& entry : document.value("upstreams", json::array())) {
    list.upstreams_leaving[entry.value("id", "")] = entry.value("state", "") == "leaving";
  }
  return list;
}

// The result that the caller gets holds no reason, so the reason is logged here.
void LogFailure(const std::string& operation, const std::exception& error) {
  ComponentLogger("platform")->warn("The {} failed: {}.", operation, error.what());
}

TableStatus WriteStatus(int http_status) {
  switch (http_status) {
    case kOk:
      return TableStatus::kOk;
    case kConflict:
      return TableStatus::kConflict;
    case kUnavailable:
      return TableStatus::kUnavailable;
    default:
      return TableStatus::kUnknown;
  }
}

// Returns the new row versions in the order of the puts, or an empty list if the answer lacks any.
std::vector<TableCondition> VersionsFromJson(const TableTransaction& transaction,
                                             const json& answer) {
  std::vector<TableCondition> versions;
  const json named = answer.is_object() ? answer.value("versions", json::object()) : json::object();
  for (const TablePut& put : transaction.puts) {
    if (!named.contains(put.key)) {
      return {};
    }
    versions.push_back(
        {put.key, VersionInEra(EraFromJson(answer), named[put.key].get<std::uint64_t>())});
  }
  return versions;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& http, std::string address)
    : http_(http), address_(std::move(address)) {}

TableReadResult PlatformClient::ReadRow(const std::string& key, boost::asio::yield_context yield) {
  try {
    const auto response = http_.Send(address_, {"GET", "/table/" + key, {}, ""}, yield);
    const json document = ParseBody(response.body);
    if (response.status == kNotFound) {
      return {TableStatus::kOk, {key, 0, "", EraFromJson(document)}};
    }
    if (response.status == kOk && document.is_object()) {
      return {TableStatus::kOk, RowFromJson(key, EraFromJson(document), document)};
    }
  } catch (const std::exception& error) {
    LogFailure("read of row " + key, error);
  }
  return {TableStatus::kUnavailable, {key, 0, ""}};
}

TableScanResult PlatformClient::ReadPrefix(const std::string& prefix,
                                           boost::asio::yield_context yield) {
  TableScanResult result;
  try {
    const auto response =
        http_.Send(address_, {"GET", "/table?prefix=" + PercentEncode(prefix), {}, ""}, yield);
    const json document = ParseBody(response.body);
    if (response.status != kOk || !document.is_object()) {
      return result;
    }
    for (const json& row : document.at("rows")) {
      result.rows.push_back(RowFromJson(row.value("key", ""), EraFromJson(document), row));
    }
    result.status = TableStatus::kOk;
  } catch (const std::exception& error) {
    LogFailure("scan of prefix " + prefix, error);
    result = {};
  }
  return result;
}

TableWriteResult PlatformClient::Write(const TableTransaction& transaction,
                                       boost::asio::yield_context yield) {
  TableWriteResult result;
  try {
    const std::string body = TransactionToJson(transaction).dump();
    const auto response = http_.Send(address_, {"POST", "/table", {}, body}, yield);
    result.status = WriteStatus(response.status);
    if (result.status == TableStatus::kOk) {
      result.versions = VersionsFromJson(transaction, ParseBody(response.body));
    }
  } catch (const HttpError& error) {
    LogFailure("write", error);
    result.status = error.bytes_written() ? TableStatus::kUnknown : TableStatus::kUnavailable;
  } catch (const std::exception& error) {
    // Nothing was sent, or the write took effect and its answer is malformed: then the versions
    // stay unknown, and the caller reads the rows back.
    LogFailure("write", error);
    result.versions.clear();
  }
  return result;
}

bool PlatformClient::PutObject(const std::string& name,
                               const std::string& body,
                               boost::asio::yield_context yield) {
  try {
    return http_.Send(address_, {"PUT", "/objects/" + name, {}, body}, yield).status == kOk;
  } catch (const std::exception& error) {
    LogFailure("write of object " + name, error);
    return false;
  }
}

std::optional<std::string> PlatformClient::GetObject(const std::string& name,
                                                     boost::asio::yield_context yield) {
  try {
    auto response = http_.Send(address_, {"GET", "/objects/" + name, {}, ""}, yield);
    if (response.status == kOk) {
      return std::move(response.body);
    }
  } catch (const std::exception& error) {
    LogFailure("read of object " + name, error);
  }
  return std::nullopt;
}

std::optional<PlatformList> PlatformClient::ReadList(boost::asio::yield_context yield) {
  try {
    const auto response = http_.Send(address_, {"GET", "/instances", {}, ""}, yield);
    const json document = ParseBody(response.body);
    if (response.status != kOk || !document.is_object()) {
      return std::nullopt;
    }
    return ListFromJson(document);
  } catch (const std::exception& error) {
    LogFailure("read of the list of instances", error);
    return std::nullopt;
  }
}

}  // namespace chiverail
