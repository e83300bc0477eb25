#ifndef CHIVERAIL_PLATFORM_CLIENT_H_
#define CHIVERAIL_PLATFORM_CLIENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http_client.h"
#include "table_types.h"

namespace chiverail {

// An instance in the platform's list.
struct ListedInstance {
  bool leaving = false;
  std::string peer_address;  // "tcp://ip:port"; empty if unknown to the platform
};

// The platform's list of live and leaving instances and upstreams. The list may be stale;
// `sequence` orders successive lists.
struct PlatformList {
  std::uint64_t sequence = 0;
  std::map<InstanceId, ListedInstance> instances;
  std::map<UpstreamId, bool> upstreams_leaving;
};

// Result of reading all rows with a key prefix.
struct TableScanResult {
  TableStatus status = TableStatus::kUnavailable;
  std::vector<TableRow> rows;
};

// HTTP client for the platform's table, object store and list. Failures are returned as typed
// results, never thrown. A write whose answer was lost is kUnknown, never kUnavailable.
class PlatformClient {
 public:
  // `address` is "ip:port" of the platform's service. `http` must outlive the client.
  PlatformClient(HttpClient& http, std::string address);

  TableReadResult ReadRow(const std::string& key, boost::asio::yield_context yield);
  TableScanResult ReadPrefix(const std::string& prefix, boost::asio::yield_context yield);
  TableWriteResult Write(const TableTransaction& transaction, boost::asio::yield_context yield);

  // Stores an object. The name must never be reused for different content. Returns true only if the
  // store confirmed the write.
  bool PutObject(const std::string& name,
                 const std::string& body,
                 boost::asio::yield_context yield);

  // Reads an object. Returns nullopt if it is absent or the store does not answer.
  std::optional<std::string> GetObject(const std::string& name, boost::asio::yield_context yield);

  // Reads the list. Returns nullopt if the platform does not answer.
  std::optional<PlatformList> ReadList(boost::asio::yield_context yield);

 private:
  HttpClient& http_;
  std::string address_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PLATFORM_CLIENT_H_
