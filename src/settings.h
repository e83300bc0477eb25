#ifndef CHIVERAIL_SETTINGS_H_
#define CHIVERAIL_SETTINGS_H_

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace chiverail {

// Settings of one chiveraild process. The table in settings.cc defines the range, the default and
// the meaning of each member; docs/settings.md is printed from it.
struct Settings {
  // Sets every default; required members are left empty.
  Settings();

  InstanceId instance_id;
  DataCentreId data_centre;
  std::string listen_address;          // "ip:port", port 0 lets the system choose
  std::string advertise_address;       // "ip:port"; empty means the bound address
  std::string peer_listen_address;     // "tcp://ip:port"
  std::string peer_advertise_address;  // "tcp://ip:port"; empty means the bound address
  std::string platform_address;        // "ip:port"
  std::string log_level;

  Duration locate_ttl{};
  Duration listing_poll_period{};
  Duration load_poll_period{};

  Duration connect_timeout{};
  Duration first_byte_timeout{};
  Duration token_gap_timeout{};
  Duration platform_timeout{};
  Duration pooled_connection_max_age{};

  std::int64_t max_body_bytes = 0;
  std::int64_t retry_budget_percent = 0;
  std::int64_t control_bytes_per_second = 0;
  std::int64_t chat_table_max_entries = 0;

  Duration drain_accept{};
  Duration drain_deadline{};  // 0 means none
};

// Parses and checks daemon settings. Throws InvalidDocument with all errors found.
Settings ParseSettings(const nlohmann::json& document);

// Returns the table of settings as Markdown, the content of docs/settings.md.
std::string SettingsMarkdown();

}  // namespace chiverail

#endif  // CHIVERAIL_SETTINGS_H_
