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

// Kind of the requests on a route, which determines whether they may be retried.
enum class WorkKind : std::uint8_t {
  kIdempotent,  // may run more than once
  kAtMostOnce,  // running twice may do harm
  kStream,      // responds with a stream of events; runs at most once unless the route is resumable
};
inline constexpr std::array<EnumName<WorkKind>, 3> kWorkKindNames{{
    {WorkKind::kIdempotent, "idempotent"},
    {WorkKind::kAtMostOnce, "at_most_once"},
    {WorkKind::kStream, "stream"},
}};

// A service to which a route sends requests, and its share of them.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;
};

// Determines the service of requests for a host and path prefix, and how they are handled.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  WorkKind kind = WorkKind::kAtMostOnce;
  Duration timeout = seconds(30);  // maximum time until the end of the response
  Duration objective{};            // target time to the response, or to a stream's first event
  Duration event_gap{};            // target time between two events of a stream; 0 if unknown
  int attempts = 1;                // maximum number of upstreams on which one request may run
  int priority = 0;                // set by operators; 0 for the most urgent
  bool is_public = false;          // no API key is required
  bool resumable = false;          // whether another upstream may continue a stream
  std::vector<RouteTarget> targets;
};

// Configuration of a service.
struct ServiceConfig {
  std::string name;
  int max_connections = 0;     // to one upstream, from all instances together; 0 for no limit
  Duration cold_start{};       // how long an upstream stays cold after its start
  double cold_per_second = 0;  // requests per second that a cold upstream can serve; 0 for no limit
  bool is_engine = false;      // its upstreams are engines, which cache prompt segments
  bool shares_cache = false;   // its engines can copy cached segments from each other
};

// Limits on the size and timing of requests from callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4u << 20;
  Duration header_timeout = seconds(3);  // from the first byte to the end of the header
  Duration idle_timeout = seconds(15);   // between two requests on a connection
};

// A complete routing configuration, as operators declare it.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
  bool keys_required = false;  // requests on routes that are not public need an API key
  std::unordered_map<std::string, WorkspaceId> workspace_of_key;
  // Low-priority workspaces: their requests are queued in the lowest class
  // (RequestClass::kTagging), whatever the route.
  std::set<WorkspaceId> low_priority_workspaces;
};

// Lookup of the routes, services and API keys of one configuration.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig config);

  std::uint64_t version() const { return config_.version; }
  const RoutingConfig& config() const { return config_; }

  // Returns the route on `host` (a port is ignored) with the longest prefix of the path of
  // `target`, or null. The pointer is valid for the lifetime of the table.
  const Route* Match(std::string_view host, std::string_view target) const;

  // Returns the workspace of an API key, or null for an unknown one.
  const WorkspaceId* WorkspaceOfKey(const std::string& key) const;

  // Returns a service, or null if it is not configured.
  const ServiceConfig* Service(const std::string& name) const;

  // Returns the longest timeout of the routes to a service; zero for a service without routes.
  Duration LongestTimeout(const std::string& service) const;

  // Returns the priority of the most urgent route to a service; 0 for a service without routes.
  int HighestPriority(const std::string& service) const;

 private:
  RoutingConfig config_;
  // Positions of the routes of a host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_of_host_;
  std::unordered_map<std::string, std::size_t> service_positions_;
  std::unordered_map<std::string, int> most_urgent_;           // by service
  std::unordered_map<std::string, Duration> longest_timeout_;  // by service
};

// Picks a target by weight. `random` is any number; uniformly distributed numbers give the
// configured shares. Throws std::invalid_argument for a route without targets.
const RouteTarget& PickTarget(const Route& route, std::uint64_t random);

}  // namespace chiverail

#endif  // CHIVERAIL_ROUTE_TABLE_H_
