#include "gateway_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "manifest.h"
#include "source_file.h"

namespace chiverail {
namespace {

nlohmann::json Valid() {
  return {{"instance_id", "front-1"},
          {"data_centre", "west"},
          {"caller_address", "127.0.0.1:8000"},
          {"ready_address", "127.0.0.1:8001"},
          {"directory_address", "127.0.0.1:8002"},
          {"peer_address", "127.0.0.1:8003"},
          {"platform_address", "127.0.0.1:9000"}};
}

}  // namespace

TEST_CASE("Gateway settings are validated") {
  SECTION("optional settings get defaults") {
    const GatewaySettings settings = ParseGatewaySettings(Valid());
    CHECK(settings.MaxKeyAge() < settings.key_withdrawal);
    CHECK(settings.DrainDeadline() < seconds(8));
    CHECK(settings.metrics_address.empty());
  }
  SECTION("seeds are contacted at this instance's own peer port") {
    auto document = Valid();
    document["seeds"] = "10.0.0.1:8229,10.0.0.2:8229";
    CHECK(ParseGatewaySettings(document).SeedAddresses() ==
          std::vector<std::string>{"10.0.0.1:8003", "10.0.0.2:8003"});
  }
  SECTION("all errors are reported at once") {
    auto document = Valid();
    document.erase("data_centre");
    document["retry_ratio"] = 3;
    document["seeds"] = "nowhere";
    document["key_withdrawl_ms"] = 5000;
    try {
      ParseGatewaySettings(document);
      FAIL("accepted");
    } catch (const InvalidDocument& error) {
      CHECK(error.faults().size() == 4);
    }
  }
  SECTION("the page in docs/ matches the table") {
    CHECK(ReadSourceFile("docs/gateway-settings.md") == GatewaySettingsMarkdown());
  }
}

}  // namespace chiverail
