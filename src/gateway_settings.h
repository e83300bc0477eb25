#ifndef CHIVERAIL_GATEWAY_SETTINGS_H_
#define CHIVERAIL_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace chiverail {

// Settings of one gateway process. Ranges, defaults and descriptions are in the table in
// gateway_settings.cc, from which docs/gateway-settings.md is generated.
struct GatewaySettings {
  // Sets all members to their defaults; required ones are left empty.
  GatewaySettings();

  InstanceId instance_id;
  DataCentreId data_centre;
  std::string caller_address;
  std::string ready_address;
  std::string directory_address;
  std::string metrics_address;  // if empty, no metrics are served
  std::string peer_address;
  std::string platform_address;
  std::string seeds;  // comma-separated "ip:port"
  std::string log_level;

  Duration key_withdrawal{};
  Duration list_wait{};
  Duration list_pause{};
  Duration config_wait{};
  Duration digest_period{};
  Duration drain_accept{};
  std::int64_t directory_ttl_s = 0;

  double retry_ratio = 0;
  double retry_slack = 0;
  double cold_overage = 0;
  double cold_slack = 0;
  Duration max_upstream_rest{};
  Duration config_apply{};
  double rollout_share = 0;
  double hedge_share = 0;
  double stop_grace_s = 0;
  double memory_mb = 0;
  std::int64_t max_fds = 0;
  double link_mbps = 0;
  double cpu_cores = 0;
  std::int64_t log_lines_per_second = 0;

  // Capacity of this instance as a mirror reader, from the bandwidth of its link and its cores.
  std::uint32_t MirrorCapacity() const;

  // Maximum age of the configuration at which requests with a key are served.
  Duration MaxKeyAge() const;

  // Age at which a configuration that is known to be superseded is no longer used; zero for no
  // limit.
  Duration MaxSupersededAge() const;

  // Time after which a stopping instance aborts the requests that are still running.
  Duration DrainDeadline() const;

  // Bytes that may be held for callers.
  std::size_t MaxHeldBytes() const;

  // Connections of callers that may be open, and at each of the other listeners.
  std::size_t MaxCallerConnections() const;
  std::size_t MaxOtherConnections() const;

  // Peer addresses of the seeds: their hosts with this instance's own peer port, which is the same
  // on all instances.
  std::vector<std::string> SeedAddresses() const;
};

// Parses and validates settings. Throws InvalidDocument with all faults found.
GatewaySettings ParseGatewaySettings(const nlohmann::json& document);

// The table of settings as the Markdown page docs/gateway-settings.md.
std::string GatewaySettingsMarkdown();

}  // namespace chiverail

#endif  // CHIVERAIL_GATEWAY_SETTINGS_H_
