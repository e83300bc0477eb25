#ifndef CHIVERAIL_ROUTE_TABLE_H_
#define CHIVERAIL_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace chiverail {

// What may be repeated of the work on a route.
enum class WorkKind : std::uint8_t {
  kIdempotent,  // may run more than once
  kAtMostOnce,  // a repeat may do harm
  kStream,      // a series of events; at most once unless the route lets it be resumed
};
inline constexpr std::array<EnumName<WorkKind>, 3> kWorkKindNames{{
    {WorkKind::kIdempotent, "idempotent"},
    {WorkKind::kAtMostOnce, "at_most_once"},
    {WorkKind::kStream, "stream"},
}};

// One service that a route may lead to, and its share of the route's requests.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;
};

// Where requests of a host and path prefix go, and how they may be treated.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  WorkKind kind = WorkKind::kAtMostOnce;
  Duration timeout = seconds(30);  // longest time until the end of the answer
  Duration objective{};            // time to the answer, or to a stream's first event
  int attempts = 1;                // upstreams on which one request may run
  int priority = 0;                // operators' rank; 0 for the most urgent
  bool is_public = false;          // needs no key
  bool resumable = false;          // a stream may go on at another upstream
  std::vector<RouteTarget> targets;
};

// What is known of a service as a whole.
struct ServiceConfig {
  std::string name;
  int max_connections = 0;     // to one upstream, from all instances together; 0 for no limit
  Duration cold_start{};       // how long an upstream stays cold after its start
  double cold_per_second = 0;  // requests that a cold upstream bears; 0 for no limit
  bool is_engine = false;      // batches prompts and caches their parts
  bool shares_cache = false;   // its engines can copy cached parts from each other
};

// Bounds on what callers may send.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4u << 20;
  Duration header_timeout = seconds(3);  // from the first byte to the end of the header
  Duration idle_timeout = seconds(15);   // between two requests of a connection
};

// A complete routing configuration, as operators declare it.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
  bool keys_required = false;  // requests on routes that are not public need a key
  std::unordered_map<std::string, WorkspaceId> workspace_of_key;
  // Workspaces that rank behind the most urgent ones, whatever the route.
  std::set<WorkspaceId> workspaces_behind;
};

// Looks up routes, services and keys of one configuration.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig config);

  std::uint64_t version() const { return config_.version; }
  const RoutingConfig& config() const { return config_; }

  // Returns the route with the longest prefix of `target`'s path on `host` (a port is ignored), or
  // null. The pointer is valid as long as the table.
  const Route* Match(std::string_view host, std::string_view target) const;

  // Returns the workspace of a key, or null for an unknown one.
  const WorkspaceId* WorkspaceOfKey(const std::string& key) const;

  // Returns a service, or null when it isn't declared.
  const ServiceConfig* Service(const std::string& name) const;

  // Rank of the most urgent route that leads to a service; 0 for a service without routes.
  int MostUrgent(const std::string& service) const;

 private:
  RoutingConfig config_;
  // Positions of the routes of a host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_of_host_;
  std::unordered_map<std::string, std::size_t> service_positions_;
  std::unordered_map<std::string, int> most_urgent_;  // by service
};

// Picks a target by weight; `point` is any number, equally likely ones give the declared shares.
const RouteTarget& PickTarget(const Route& route, std::uint64_t point);

}  // namespace chiverail

#endif  // CHIVERAIL_ROUTE_TABLE_H_
