#include "settings.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "manifest.h"
#include "source_file.h"

using namespace chiverail;
using nlohmann::json;

namespace {

json SmallSettings() {
  return {{"instance_id", "i1"},
          {"data_centre", "dc1"},
          {"listen_address", "127.0.0.1:0"},
          {"peer_listen_address", "tcp://127.0.0.1:7001"},
          {"platform_address", "127.0.0.1:7000"}};
}

std::vector<std::string> FaultsOf(const json& document) {
  std::vector<std::string> lines;
  try {
    ParseSettings(document);
  } catch (const InvalidDocument& invalid) {
    for (const JsonFault& fault : invalid.faults()) {
      lines.push_back(fault.pointer + ": " + fault.reason);
    }
  }
  return lines;
}

}  // namespace

TEST_CASE("Daemon settings are parsed and checked by the settings table") {
  json document = SmallSettings();

  SECTION("absent settings get their defaults") {
    const Settings settings = ParseSettings(document);
    CHECK(settings.instance_id == "i1");
    CHECK(settings.locate_ttl == seconds(30));
    CHECK(settings.load_poll_period == seconds(1));
    CHECK(settings.drain_deadline == Duration::zero());
    CHECK(settings.log_level == "info");
    CHECK(settings.retry_budget_percent == 10);
  }

  SECTION("all faults are reported at once") {
    document.erase("instance_id");
    document["peer_listen_address"] = "127.0.0.1:7001";
    document["log_level"] = "inf";
    document["retry_budget_percent"] = 101;
    document["locate_tll_ms"] = 5;
    CHECK(
        FaultsOf(document) ==
        std::vector<std::string>{
            "/instance_id: missing",
            "/peer_listen_address: \"127.0.0.1:7001\" is not an address of the form tcp://ip:port",
            "/log_level: \"inf\" is none of trace, debug, info, warn, err, off; did you mean "
            "\"info\"?",
            "/retry_budget_percent: 101 is outside 0 to 100",
            "/locate_tll_ms: unknown key; did you mean \"locate_ttl_ms\"?",
        });
  }

  SECTION("a wildcard address requires an advertised address, since callers cannot connect to it") {
    document["listen_address"] = "0.0.0.0:80";
    document["peer_listen_address"] = "tcp://0.0.0.0:81";
    CHECK(FaultsOf(document).size() == 2);
    document["advertise_address"] = "10.0.0.1:80";
    document["peer_advertise_address"] = "tcp://10.0.0.1:81";
    CHECK(FaultsOf(document).empty());
  }

  SECTION("a drain time shorter than the time for which callers use the address is refused") {
    document["drain_accept_ms"] = 31'000;
    CHECK(FaultsOf(document).size() == 1);
    document["locate_ttl_ms"] = 1'000;
    CHECK(FaultsOf(document).empty());
  }
}

TEST_CASE("docs/settings.md is the printed settings table") {
  CHECK(ReadSourceFile("docs/settings.md") == SettingsMarkdown());
}
