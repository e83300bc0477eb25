#include "gateway_settings.h"

#include <algorithm>
#include <sstream>
#include <variant>

#include "http_types.h"
#include "json_fields.h"

namespace chiverail {
namespace {

// Format of a text setting.
enum class TextForm : std::uint8_t { kIdentifier, kAddress, kAddressList, kLogLevel };
constexpr std::array<EnumName<TextForm>, 4> kTextFormNames{{
    {TextForm::kIdentifier, "identifier"},
    {TextForm::kAddress, "address `ip:port`"},
    {TextForm::kAddressList, "addresses `ip:port`, separated by commas"},
    {TextForm::kLogLevel, "`info` or `off`"},
}};

struct TextRow {
  std::string GatewaySettings::*target;
  TextForm form;
  const char* default_value;  // null if the setting is required
};

struct DurationRow {
  Duration GatewaySettings::*target;
  std::int64_t min_ms;
  std::int64_t max_ms;
  std::int64_t default_ms;
};

struct NumberRow {
  double GatewaySettings::*target;
  double min;
  double max;
  double default_value;
};

struct CountRow {
  std::int64_t GatewaySettings::*target;
  std::int64_t min;
  std::int64_t max;
  std::int64_t default_value;
};

struct Row {
  const char* key;
  std::variant<TextRow, DurationRow, NumberRow, CountRow> setting;
  const char* doc;
};

using S = GatewaySettings;

// Part of the withdrawal time that is reserved for sending a request to its upstream.
constexpr Duration kKeyMargin = milliseconds(400);

// Part of the time for a new configuration that is reserved for the resolution of ages.
constexpr Duration kConfigMargin = milliseconds(100);

// A stopping process exits this long before it would be killed.
constexpr Duration kStopMargin = milliseconds(900);

const std::vector<Row>& Table() {
  static const std::vector<Row> table = {
      {"instance_id", TextRow{&S::instance_id, TextForm::kIdentifier, nullptr},
       "Name of this instance, unique in the fleet."},
      {"data_centre", TextRow{&S::data_centre, TextForm::kIdentifier, nullptr},
       "Data centre of this instance."},
      {"caller_address", TextRow{&S::caller_address, TextForm::kAddress, nullptr},
       "Address on which requests of callers are served and which the directory lists."},
      {"ready_address", TextRow{&S::ready_address, TextForm::kAddress, nullptr},
       "Address on which the platform checks whether this instance is ready."},
      {"directory_address", TextRow{&S::directory_address, TextForm::kAddress, nullptr},
       "Address of the directory, from which callers get the list of instances to use."},
      {"metrics_address", TextRow{&S::metrics_address, TextForm::kAddress, ""},
       "Address on which metrics are served in the Prometheus text format; empty for none."},
      {"peer_address", TextRow{&S::peer_address, TextForm::kAddress, nullptr},
       "UDP address for messages between instances, and TCP address for mirrored rows; the port is "
       "the same on all of them."},
      {"platform_address", TextRow{&S::platform_address, TextForm::kAddress, nullptr},
       "Address of the platform's store."},
      {"seeds", TextRow{&S::seeds, TextForm::kAddressList, ""},
       "Instances that a starting one asks first; may be out of date."},
      {"log_level", TextRow{&S::log_level, TextForm::kLogLevel, "info"},
       "Whether the decision log is written."},
      {"key_withdrawal_ms", DurationRow{&S::key_withdrawal, 1000, 600'000, 5000},
       "Time after which a withdrawn key must no longer be served anywhere, even by an instance "
       "disconnected from the store."},
      {"list_wait_ms", DurationRow{&S::list_wait, 50, 30'000, 500},
       "Maximum time for which the store may delay its response until the upstreams change."},
      {"list_pause_ms", DurationRow{&S::list_pause, 0, 60'000, 200},
       "Pause between two reads of the changed upstreams, so that changes are batched."},
      {"config_wait_ms", DurationRow{&S::config_wait, 50, 30'000, 600},
       "Maximum time for which the store may delay its response until the configuration changes."},
      {"digest_period_ms", DurationRow{&S::digest_period, 50, 10'000, 250},
       "Time between two messages to the same instance; reports to a hub are a little more "
       "frequent."},
      {"drain_accept_ms", DurationRow{&S::drain_accept, 0, 600'000, 2500},
       "Time after SIGTERM for which a stopping instance accepts connections, and passes on "
       "requests that may be repeated if their route's longest answer of the last one to two "
       "minutes, and a quarter more, ends before the deadline of the stop."},
      {"stop_grace_s", NumberRow{&S::stop_grace_s, 1, 3600, 8},
       "Seconds after SIGTERM at which the process is killed. The deadline of a stop is 0.9 s "
       "earlier: what still runs then is answered as failed, or broken off if its answer has "
       "begun, and the process ends within 0.3 s, or 0.6 s while callers take the rest of their "
       "answers. During the stop up to 32 MB, 4 MB each, are held for slow callers in addition. "
       "From SIGTERM on, requests that may last beyond the deadline are refused at once as not "
       "run, also while their bodies are still arriving."},
      {"directory_ttl_s", CountRow{&S::directory_ttl_s, 1, 3600, 2},
       "Seconds for which callers may cache a response of the directory."},
      {"retry_ratio", NumberRow{&S::retry_ratio, 0, 1, 0.2},
       "Retries per request, over all instances."},
      {"retry_slack", NumberRow{&S::retry_slack, 0, 1e6, 50},
       "Retries of all instances in addition to the ratio."},
      {"cold_overage", NumberRow{&S::cold_overage, 0, 100, 1.0},
       "Rate of requests that all instances together may send to a cold upstream, as a multiple of "
       "the cold rate of its service."},
      {"cold_slack", NumberRow{&S::cold_slack, 0, 1e6, 0},
       "Requests per second to a cold upstream in addition to `cold_overage`."},
      {"max_upstream_rest_ms", DurationRow{&S::max_upstream_rest, 1000, 3'600'000, 60'000},
       "Longest time for which one answer of an upstream may turn this instance away "
       "(`Retry-After`)."},
      {"config_apply_ms", DurationRow{&S::config_apply, 0, 600'000, 0},
       "Time after a change of the configuration in which all instances have to use it: one that "
       "knows of a newer configuration and has not read it by then refuses all requests as not "
       "run. 0 for no limit."},
      {"rollout_share", NumberRow{&S::rollout_share, 0, 1, 0.1},
       "Share of a service's requests that a new version may get until it was found to be sound."},
      {"hedge_share", NumberRow{&S::hedge_share, 0, 1, 0},
       "Second attempts for each request of a plain service, made for those that may be repeated "
       "and whose first attempt takes longer than all but this share of the answers did; they "
       "count in the retry "
       "budget. 0 for none."},
      {"memory_mb", NumberRow{&S::memory_mb, 16, 1e6, 256},
       "Memory of this instance in MB. A quarter may be held for callers: beyond it the requests "
       "that arrive and hold most for longest without progress are refused as not run (503), and "
       "answers that are not read are cut. A single request within the limits of the configuration "
       "never meets it."},
      {"max_fds", CountRow{&S::max_fds, 64, 10'000'000, 65'536},
       "Descriptors that this instance may have open. Callers may have two fifths of them, the "
       "directory, readiness, metrics and mirrored rows a sixteenth each; idle connections are "
       "closed for new ones beyond that."},
      {"link_mbps", NumberRow{&S::link_mbps, 0.001, 1e6, 1000},
       "Bandwidth of this instance in Mbit/s; instances with more read the store for the others."},
      {"cpu_cores", NumberRow{&S::cpu_cores, 0.001, 1024, 1},
       "Processor cores of this instance; used like the bandwidth."},
      {"log_lines_per_second", CountRow{&S::log_lines_per_second, 1, 100'000, 100},
       "Maximum lines per second of each kind in the decision log; excess lines are dropped and "
       "counted."},
  };
  return table;
}

bool IsAddressList(const std::string& text) {
  std::istringstream items(text);
  std::string item;
  while (std::getline(items, item, ',')) {
    if (!IsSocketAddress(item)) {
      return false;
    }
  }
  return true;
}

std::string Markdown(const TextRow& row) {
  const std::string standard = row.default_value == nullptr ? "required"
                               : *row.default_value == '\0'
                                   ? "empty"
                                   : "`" + std::string(row.default_value) + "`";
  return std::string(NameOf(kTextFormNames, row.form)) + " | - | " + standard + " | -";
}

std::string Markdown(const DurationRow& row) {
  std::ostringstream out;
  out << "duration | " << row.min_ms << " to " << row.max_ms << " | " << row.default_ms << " | ms";
  return out.str();
}

template <typename NumericRow>
std::string Markdown(const NumericRow& row) {
  std::ostringstream out;
  out << "number | " << row.min << " to " << row.max << " | " << row.default_value << " | -";
  return out.str();
}

// Reads the value of one row into the settings.
class Reader {
 public:
  Reader(JsonFields& fields, GatewaySettings& settings, const char* key)
      : fields_(fields), settings_(settings), key_(key) {}

  void operator()(const TextRow& row) const {
    const Presence presence =
        row.default_value == nullptr ? Presence::kRequired : Presence::kOptional;
    std::string& target = settings_.*row.target;
    switch (row.form) {
      case TextForm::kIdentifier:
        fields_.Identifier(key_, presence, target);
        break;
      case TextForm::kAddress:
        fields_.Address(key_, presence, target);
        break;
      case TextForm::kAddressList:
        fields_.Text(key_, presence, target);
        if (!IsAddressList(target)) {
          fields_.AddFault(key_, "must be addresses ip:port, separated by commas");
        }
        break;
      case TextForm::kLogLevel:
        fields_.Text(key_, presence, target);
        if (target != "info" && target != "off") {
          fields_.AddFault(key_, "must be info or off");
        }
        break;
    }
  }
  void operator()(const DurationRow& row) const {
    fields_.Milliseconds(key_, Presence::kOptional, row.min_ms, row.max_ms, settings_.*row.target);
  }
  void operator()(const NumberRow& row) const {
    fields_.Number(key_, Presence::kOptional, row.min, row.max, settings_.*row.target);
  }
  void operator()(const CountRow& row) const {
    fields_.Integer(key_, Presence::kOptional, row.min, row.max, settings_.*row.target);
  }

 private:
  JsonFields& fields_;
  GatewaySettings& settings_;
  const char* key_;
};

}  // namespace

GatewaySettings::GatewaySettings() {
  for (const Row& row : Table()) {
    if (const auto* text = std::get_if<TextRow>(&row.setting)) {
      this->*text->target = text->default_value == nullptr ? "" : text->default_value;
    } else if (const auto* duration = std::get_if<DurationRow>(&row.setting)) {
      this->*duration->target = milliseconds(duration->default_ms);
    } else if (const auto* number = std::get_if<NumberRow>(&row.setting)) {
      this->*number->target = number->default_value;
    } else if (const auto* count = std::get_if<CountRow>(&row.setting)) {
      this->*count->target = count->default_value;
    }
  }
}

std::uint32_t GatewaySettings::MirrorCapacity() const {
  // Sending a large configuration to 15 other instances takes some 20 ms of a core and 8 Mbit, so a
  // hundredth of a core counts as much as 4 Mbit/s.
  constexpr double kMbpsPerCore = 400;
  return static_cast<std::uint32_t>(std::min(link_mbps, cpu_cores * kMbpsPerCore));
}

Duration GatewaySettings::MaxKeyAge() const {
  return key_withdrawal - kKeyMargin;
}

Duration GatewaySettings::MaxSupersededAge() const {
  return config_apply == Duration::zero()
             ? Duration::zero()
             : std::max<Duration>(kConfigMargin, config_apply - kConfigMargin);
}

Duration GatewaySettings::DrainDeadline() const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(stop_grace_s)) -
         kStopMargin;
}

std::size_t GatewaySettings::MaxHeldBytes() const {
  constexpr double kHeldShare = 0.25;
  return static_cast<std::size_t>(memory_mb * kHeldShare * (1 << 20));
}

std::size_t GatewaySettings::MaxCallerConnections() const {
  // Each request that runs takes a connection to an upstream besides.
  constexpr double kCallerShare = 0.4;
  return static_cast<std::size_t>(static_cast<double>(max_fds) * kCallerShare);
}

std::size_t GatewaySettings::MaxOtherConnections() const {
  return static_cast<std::size_t>(max_fds / 16);
}

std::vector<std::string> GatewaySettings::SeedAddresses() const {
  const std::string port = peer_address.substr(peer_address.find(':'));
  std::vector<std::string> addresses;
  std::istringstream items(seeds);
  std::string item;
  while (std::getline(items, item, ',')) {
    addresses.push_back(item.substr(0, item.find(':')) + port);
  }
  return addresses;
}

GatewaySettings ParseGatewaySettings(const nlohmann::json& document) {
  GatewaySettings settings;
  std::vector<JsonFault> faults;
  JsonFields fields(document, "", faults);
  for (const Row& row : Table()) {
    std::visit(Reader(fields, settings, row.key), row.setting);
  }
  fields.Finish();
  if (!faults.empty()) {
    throw InvalidDocument(std::move(faults));
  }
  return settings;
}

std::string GatewaySettingsMarkdown() {
  std::ostringstream out;
  out << "# Settings of chiverail_gateway\n\n"
         "The gateway reads its settings from a JSON object, given by `--settings FILE`. Unknown "
         "keys and values outside\ntheir range are rejected, with all errors reported at once. "
         "This page is generated from the table in\n`src/gateway_settings.cc`; a test checks that "
         "it is up to date.\n\n"
         "| key | type | range | default | unit | meaning |\n"
         "| --- | --- | --- | --- | --- | --- |\n";
  for (const Row& row : Table()) {
    out << "| `" << row.key << "` | "
        << std::visit([](const auto& setting) { return Markdown(setting); }, row.setting) << " | "
        << row.doc << " |\n";
  }
  return out.str();
}

}  // namespace chiverail
