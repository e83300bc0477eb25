#include "settings.h"

#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "json_fields.h"
#include "membership.h"

namespace chiverail {
namespace {

using nlohmann::json;

constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::string_view kPeerScheme = "tcp://";

// Format of a text setting.
enum class TextForm : std::uint8_t { kIdentifier, kAddress, kBindAddress, kPeerAddress, kLogLevel };
constexpr std::array<EnumName<TextForm>, 5> kTextFormNames{{
    {TextForm::kIdentifier, "identifier"},
    {TextForm::kAddress, "address `ip:port`"},
    {TextForm::kBindAddress, "address `ip:port`, port 0 allowed"},
    {TextForm::kPeerAddress, "address `tcp://ip:port`, port 0 allowed"},
    {TextForm::kLogLevel, "log level"},
}};

enum class LogLevel : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError, kOff };
constexpr std::array<EnumName<LogLevel>, 6> kLogLevelNames{{
    {LogLevel::kTrace, "trace"},
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarn, "warn"},
    {LogLevel::kError, "err"},
    {LogLevel::kOff, "off"},
}};

struct TextSetting {
  std::string Settings::*target;
  TextForm form;
  const char* default_value;  // null when the setting is required
};

struct NumberSetting {
  std::int64_t Settings::*target;
  std::int64_t min;
  std::int64_t max;
  std::int64_t default_value;
  const char* unit;
};

struct DurationSetting {
  Duration Settings::*target;
  std::int64_t min_ms;
  std::int64_t max_ms;
  std::int64_t default_ms;
};

// One row of the table: key, type, range, default and description of a setting.
struct SettingRow {
  const char* key;
  std::variant<TextSetting, NumberSetting, DurationSetting> setting;
  const char* doc;
};

const std::vector<SettingRow>& Table() {
  static const std::vector<SettingRow> table = {
      {"instance_id", TextSetting{&Settings::instance_id, TextForm::kIdentifier, nullptr},
       "Name of this instance; must be unique in the fleet. A replacement may reuse it."},
      {"data_centre", TextSetting{&Settings::data_centre, TextForm::kIdentifier, nullptr},
       "Data centre of this instance, as the manifest names it."},
      {"listen_address", TextSetting{&Settings::listen_address, TextForm::kBindAddress, nullptr},
       "Address for callers and operators; with port 0 the system chooses the port."},
      {"advertise_address", TextSetting{&Settings::advertise_address, TextForm::kAddress, ""},
       "Address advertised to callers; empty means the bound address. Required when "
       "`listen_address` is the wildcard address."},
      {"peer_listen_address",
       TextSetting{&Settings::peer_listen_address, TextForm::kPeerAddress, nullptr},
       "Address for messages from other instances; with port 0 the system chooses the port."},
      {"peer_advertise_address",
       TextSetting{&Settings::peer_advertise_address, TextForm::kPeerAddress, ""},
       "Address advertised to other instances; empty means the bound address. Required when "
       "that is the wildcard address."},
      {"platform_address", TextSetting{&Settings::platform_address, TextForm::kAddress, nullptr},
       "Address of the platform's table, object store and lists."},
      {"log_level", TextSetting{&Settings::log_level, TextForm::kLogLevel, "info"},
       "Lowest level that is logged."},
      {"locate_ttl_ms", DurationSetting{&Settings::locate_ttl, 100, 3'600'000, 30'000},
       "How long a caller may use an answer of `GET /v1/locate`."},
      {"listing_poll_ms", DurationSetting{&Settings::listing_poll_period, 20, 60'000, 2'000},
       "Mean time between reads of the platform's list of live and leaving instances and "
       "upstreams."},
      {"load_poll_ms", DurationSetting{&Settings::load_poll_period, 20, 60'000, 1'000},
       "Time between reads of the load report of each owned engine."},
      {"connect_timeout_ms", DurationSetting{&Settings::connect_timeout, 1, 60'000, 1'000},
       "Timeout for opening a connection to an upstream, a peer or the platform."},
      {"first_byte_timeout_ms",
       DurationSetting{&Settings::first_byte_timeout, 1, 3'600'000, 30'000},
       "Timeout from sending a request to an upstream until the first byte of its response."},
      {"token_gap_timeout_ms", DurationSetting{&Settings::token_gap_timeout, 1, 600'000, 10'000},
       "Longest time without data in a streamed response before the stream is resumed on a new "
       "connection."},
      {"platform_timeout_ms", DurationSetting{&Settings::platform_timeout, 1, 60'000, 2'000},
       "Timeout for a response of the platform; a write that takes longer has an unknown "
       "outcome and is read back."},
      {"pooled_connection_max_age_ms",
       DurationSetting{&Settings::pooled_connection_max_age, 0, 3'600'000, 60'000},
       "Age from which a pooled connection is no longer used; 0 disables pooling."},
      {"max_body_bytes",
       NumberSetting{&Settings::max_body_bytes, 1'024, 1'073'741'824, 1'048'576, "bytes"},
       "Maximum body size of a caller's request; larger ones are refused with `body_too_large`."},
      {"retry_budget_percent", NumberSetting{&Settings::retry_budget_percent, 0, 100, 10, "%"},
       "Maximum share of retries in all requests, fleet-wide."},
      {"control_bytes_per_second",
       NumberSetting{&Settings::control_bytes_per_second, 100, 10'000'000, 9'000, "bytes/s"},
       "Maximum rate of messages to other instances, summed over all message classes; each "
       "class has a fixed share of it. docs/CAPACITY.md gives the actual use."},
      {"chat_table_max_entries",
       NumberSetting{&Settings::chat_table_max_entries, 100, 10'000'000, 65'536, "chats"},
       "Maximum number of chats whose engines are remembered; the least recently used are "
       "evicted."},
      {"drain_accept_ms", DurationSetting{&Settings::drain_accept, 0, 3'600'000, 35'000},
       "Time for which a leaving instance still accepts connections; at least `locate_ttl_ms` "
       "plus 2 s, because peers may give its address to callers until they read that it is "
       "leaving, and callers may use the address for its time to live after that."},
      {"drain_deadline_ms", DurationSetting{&Settings::drain_deadline, 0, kDayMs, 0},
       "Time after which a leaving instance aborts the requests that are still open; 0 means "
       "never."},
  };
  return table;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

bool IsWildcard(std::string_view address) {
  return address.substr(0, address.rfind(':')) == "0.0.0.0";
}

// Sets a setting to its default.
struct DefaultWriter {
  Settings& settings;

  void operator()(const TextSetting& setting) const {
    settings.*setting.target = setting.default_value == nullptr ? "" : setting.default_value;
  }
  void operator()(const NumberSetting& setting) const {
    settings.*setting.target = setting.default_value;
  }
  void operator()(const DurationSetting& setting) const {
    settings.*setting.target = milliseconds(setting.default_ms);
  }
};

// Reads one setting from the document.
struct SettingReader {
  JsonFields& fields;
  const std::string key;
  Settings& settings;

  void operator()(const TextSetting& setting) const {
    const Presence presence =
        setting.default_value == nullptr ? Presence::kRequired : Presence::kOptional;
    std::string& target = settings.*setting.target;
    switch (setting.form) {
      case TextForm::kIdentifier:
        fields.Identifier(key, presence, target);
        break;
      case TextForm::kAddress:
        fields.Address(key, presence, target);
        break;
      case TextForm::kBindAddress:
        fields.Address(key, presence, target, true);
        break;
      case TextForm::kPeerAddress:
        ReadPeerAddress(presence, target);
        break;
      case TextForm::kLogLevel: {
        LogLevel level = *ValueOf(kLogLevelNames, setting.default_value);
        fields.Enum(key, presence, kLogLevelNames, level);
        target = NameOf(kLogLevelNames, level);
        break;
      }
    }
  }

  void operator()(const NumberSetting& setting) const {
    fields.Integer(key, Presence::kOptional, setting.min, setting.max, settings.*setting.target);
  }

  void operator()(const DurationSetting& setting) const {
    fields.Milliseconds(key, Presence::kOptional, setting.min_ms, setting.max_ms,
                        settings.*setting.target);
  }

  void ReadPeerAddress(Presence presence, std::string& target) const {
    std::string text;
    fields.Text(key, presence, text);
    if (text.empty()) {
      return;
    }
    if (text.rfind(kPeerScheme, 0) != 0 ||
        !IsSocketAddress(std::string_view(text).substr(kPeerScheme.size()), true)) {
      fields.AddFault(key, "\"" + text + "\" is not an address of the form tcp://ip:port");
      return;
    }
    target = text;
  }
};

// Checks constraints between settings.
void CheckConstraints(const Settings& settings, JsonFields& fields) {
  if (settings.advertise_address.empty() && IsWildcard(settings.listen_address)) {
    fields.AddFault("advertise_address", "required because listen_address is the wildcard address");
  }
  const std::string_view peer = settings.peer_listen_address;
  if (settings.peer_advertise_address.empty() && !peer.empty() &&
      IsWildcard(peer.substr(kPeerScheme.size()))) {
    fields.AddFault("peer_advertise_address",
                    "required because peer_listen_address is the wildcard address");
  }
  const Duration least_accept = settings.locate_ttl + kOwnEpochInterval;
  if (settings.drain_accept < least_accept) {
    fields.AddFault(
        "drain_accept_ms",
        "must be at least locate_ttl_ms plus the 2 s in which peers read that it is leaving, " +
            std::to_string(ToMilliseconds(least_accept)));
  }
}

std::string Range(std::int64_t min, std::int64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

// Prints the type, range, default and unit columns of a row.
struct ColumnPrinter {
  std::string operator()(const TextSetting& setting) const {
    std::string range = "-";
    if (setting.form == TextForm::kLogLevel) {
      range.clear();
      for (const auto& level : kLogLevelNames) {
        range += (range.empty() ? "`" : ", `") + std::string(level.name) + "`";
      }
    }
    const std::string default_text = setting.default_value == nullptr ? "required"
                                     : std::string(setting.default_value).empty()
                                         ? "empty"
                                         : "`" + std::string(setting.default_value) + "`";
    return std::string(NameOf(kTextFormNames, setting.form)) + " | " + range + " | " +
           default_text + " | -";
  }
  std::string operator()(const NumberSetting& setting) const {
    return "whole number | " + Range(setting.min, setting.max) + " | " +
           std::to_string(setting.default_value) + " | " + setting.unit;
  }
  std::string operator()(const DurationSetting& setting) const {
    return "duration | " + Range(setting.min_ms, setting.max_ms) + " | " +
           std::to_string(setting.default_ms) + " | ms";
  }
};

}  // namespace

Settings::Settings() {
  for (const SettingRow& row : Table()) {
    std::visit(DefaultWriter{*this}, row.setting);
  }
}

Settings ParseSettings(const json& document) {
  std::vector<JsonFault> faults;
  JsonFields fields(document, "", faults);
  Settings settings;
  for (const SettingRow& row : Table()) {
    std::visit(SettingReader{fields, row.key, settings}, row.setting);
  }
  fields.Finish();
  CheckConstraints(settings, fields);
  if (!faults.empty()) {
    throw InvalidDocument(std::move(faults));
  }
  return settings;
}

std::string SettingsMarkdown() {
  std::string text =
      "# Settings of chiveraild\n\n"
      "The daemon reads its settings from a JSON object, given by `--settings FILE`. Unknown keys "
      "and values outside\ntheir range are refused, with all faults listed at once. This page is "
      "printed from the table in\n`src/settings.cc`, and a test keeps the two equal.\n\n"
      "| key | type | range | default | unit | meaning |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (const SettingRow& row : Table()) {
    text += "| `" + std::string(row.key) + "` | " + std::visit(ColumnPrinter{}, row.setting) +
            " | " + row.doc + " |\n";
  }
  return text;
}

}  // namespace chiverail
