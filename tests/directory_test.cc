#include "directory.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

// Instances in `data_centres` data centres, evenly.
std::vector<DirectoryEntry> Instances(int count, int data_centres) {
  std::vector<DirectoryEntry> entries;
  for (int i = 0; i < count; ++i) {
    const std::string name = "front-" + std::to_string(i);
    entries.push_back({name, name + ":80", "dc" + std::to_string(i % data_centres)});
  }
  return entries;
}

}  // namespace

// Guards against a fleet of which callers use a part only (vdm-za-grown quiet-1): the directory
// listed 115 addresses in the order of the instances' names, callers read the first 64 of them, and
// 51 instances served less than a sixth of the requests of the others.
TEST_CASE("Callers of a large fleet are spread over all instances") {
  constexpr int kInstances = 295;
  constexpr int kDataCentres = 5;
  const auto entries = Instances(kInstances, kDataCentres);
  std::map<std::string, int> uses;
  std::map<std::string, std::string> data_centre_of;
  for (const DirectoryEntry& entry : entries) {
    data_centre_of[entry.address] = entry.data_centre;
  }
  constexpr int kCallers = 600;
  for (int i = 0; i < kCallers; ++i) {
    const std::string own = "dc" + std::to_string(i % kDataCentres);
    const auto addresses = ChooseAddresses(entries, {"10.9.0." + std::to_string(i), own});
    REQUIRE(addresses.size() == kMaxDirectoryAddresses);
    CHECK(std::set<std::string>(addresses.begin(), addresses.end()).size() == addresses.size());
    for (const std::string& address : addresses) {
      ++uses[address];
    }
    // All 59 instances of the caller's own data centre come first.
    for (int j = 0; j < kInstances / kDataCentres; ++j) {
      CHECK(data_centre_of[addresses[static_cast<std::size_t>(j)]] == own);
    }
  }
  constexpr double kMean =
      static_cast<double>(kCallers * kMaxDirectoryAddresses) / static_cast<double>(kInstances);
  CHECK(uses.size() == kInstances);
  for (const auto& [address, count] : uses) {
    CHECK(count > kMean / 2);
    CHECK(count < kMean * 2);
  }

  SECTION("callers of one data centre larger than a response share it evenly") {
    const auto single = Instances(kInstances, 1);
    uses.clear();
    for (int i = 0; i < kCallers; ++i) {
      for (const auto& address : ChooseAddresses(single, {"caller-" + std::to_string(i), "dc0"})) {
        ++uses[address];
      }
    }
    CHECK(uses.size() == kInstances);
  }
  SECTION("a caller gets the same addresses again, but for those that have left") {
    const DirectoryQuery query{"10.9.0.1", "dc1"};
    const auto before = ChooseAddresses(entries, query);
    auto reordered = entries;
    std::reverse(reordered.begin(), reordered.end());
    CHECK(ChooseAddresses(reordered, query) == before);
    auto fewer = entries;
    fewer.erase(fewer.begin() + 1);  // front-1, of the caller's data centre
    const auto after = ChooseAddresses(fewer, query);
    const std::set<std::string> kept(after.begin(), after.end());
    int missing = 0;
    for (const std::string& address : before) {
      missing += kept.count(address) == 0 ? 1 : 0;
    }
    CHECK(missing == 1);
  }
  SECTION("a small fleet is listed whole, whatever the caller's data centre") {
    CHECK(ChooseAddresses(Instances(13, 3), {"c", "dc2"}).size() == 13);
    CHECK(ChooseAddresses(Instances(13, 3), {"c", "elsewhere"}).size() == 13);
    CHECK(ChooseAddresses({}, {"c", "dc2"}).empty());
  }
}

}  // namespace chiverail
