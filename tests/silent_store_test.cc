#include <catch2/catch.hpp>

#include "table_sim.h"

namespace chiverail {
namespace {

// The gateway's standard timing for the operators' rows and for the list of upstreams.
constexpr ReadTiming kOperatorRows{milliseconds(600), {}, milliseconds(300), milliseconds(1500)};
constexpr ReadTiming kUpstreams{milliseconds(500), milliseconds(200), {}, milliseconds(1500)};

struct FleetSize {
  int instances;
  int data_centres;
  Duration bound;  // time in which a change must be in force at deployments of this size
};

// The longest time until a change was in force everywhere, of changes at different times after the
// store has fallen silent toward all instances but `served` drawn ones.
Duration LongestUntilInForce(const FleetSize& size,
                             const ReadTiming& timing,
                             std::size_t served,
                             std::uint64_t seed) {
  Duration longest{};
  TableSim sim(size.instances, size.data_centres, timing, seed);
  // Half of the larger fleets' moments: a second of 114 instances takes half a second to play.
  const std::vector<int> moments = size.instances < 60
                                       ? std::vector<int>{0, 40, 310, 650, 900, 1300, 2000}
                                       : std::vector<int>{0, 900};
  for (const int after_ms : moments) {
    sim.silenced.clear();
    sim.Commit();
    sim.fleet.Run(milliseconds(3300 + sim.fleet.Random() % 900));
    REQUIRE(sim.Lagging() == 0);
    for (std::size_t i = 0; i < sim.fleet.nodes.size(); ++i) {
      sim.silenced.insert(i);
    }
    while (sim.silenced.size() + served > sim.fleet.nodes.size()) {
      sim.silenced.erase(sim.fleet.Random() % sim.fleet.nodes.size());
    }
    sim.fleet.Run(milliseconds(after_ms));
    sim.Commit();
    longest = std::max(longest, sim.UntilInForce(seconds(8)));
  }
  return longest;
}

}  // namespace

// Guards against late configurations and late removals of upstreams while the store leaves some
// instances without answers (cdsaa-rail, CONFIG): each instance waited for the timeouts of the
// readers before it, and those of other data centres did not read from the one that had the rows.
TEST_CASE("A change is in force in time while the store is silent toward all but some") {
  const FleetSize size = GENERATE(FleetSize{1, 1, seconds(2)}, FleetSize{13, 3, seconds(2)},
                                  FleetSize{18, 3, seconds(2)}, FleetSize{30, 3, seconds(3)},
                                  FleetSize{114, 4, seconds(3)});
  const ReadTiming timing = GENERATE(kOperatorRows, kUpstreams);
  const auto instances = static_cast<std::size_t>(size.instances);
  for (const std::size_t served : {std::size_t{1}, 1 + instances / 10, 1 + instances / 2}) {
    const Duration longest =
        LongestUntilInForce(size, timing, std::min(served, instances), 3 * served);
    INFO(size.instances << " instances, " << served << " served, longest "
                        << longest.count() / 1000000 << " ms");
    CHECK(longest <= size.bound);
  }
}

TEST_CASE("A change is in force in time at 295 instances of which the store serves one") {
  const Duration longest = LongestUntilInForce({295, 5, seconds(4)}, kOperatorRows, 1, 5);
  INFO("longest " << longest.count() / 1000000 << " ms");
  CHECK(longest <= seconds(4));
}

// The readers end without a word; the store serves everybody.
TEST_CASE("A change is in force in time when all readers are killed") {
  const FleetSize size = GENERATE(FleetSize{18, 3, seconds(2)}, FleetSize{114, 4, seconds(3)});
  for (const std::uint64_t seed : {1, 2, 3}) {
    TableSim sim(size.instances, size.data_centres, kOperatorRows, seed);
    sim.fleet.Run(seconds(3));
    for (const std::size_t reader : sim.Readers()) {
      sim.fleet.Kill(reader);
    }
    sim.Commit();
    CHECK(sim.UntilInForce(seconds(8)) <= size.bound);
  }
}

TEST_CASE("Calls to the store stay few") {
  TableSim sim(60, 5, kOperatorRows, 1);
  const auto calls_in = [&sim](Duration time) {
    const int before = sim.store_calls;
    sim.fleet.Run(time);
    return sim.store_calls - before;
  };
  sim.fleet.Run(seconds(2));

  SECTION("on a quiet day only the reader of each data centre calls") {
    CHECK(sim.Readers().size() == 5);
    CHECK(calls_in(seconds(10)) <= 5 * 17);
  }
  SECTION("when the store falls silent toward all, each tries once at first") {
    for (std::size_t i = 0; i < 60; ++i) {
      sim.silenced.insert(i);
    }
    CHECK(calls_in(seconds(2)) <= 60 + 5 * 4 + 40);
    CHECK(calls_in(seconds(10)) <= 10 * 25);
    sim.silenced.clear();
    sim.Commit();
    CHECK(sim.UntilInForce(seconds(8)) <= seconds(3));
    sim.fleet.Run(seconds(5));
    CHECK(sim.Readers().size() <= 10);
  }
}

// Guards against constants that contradict the bounds of a deployment, or the size of its fleet.
TEST_CASE("The waits on the way of a change add up to less than its bound at every deployment") {
  struct Site {
    const char* name;
    std::vector<std::size_t> instances;  // of each data centre
    Duration bound;                      // the shorter one of configurations and upstreams
  };
  const std::vector<Site> sites{{"cdsaa-rail", {7, 7, 4}, seconds(2)},
                                {"gge-chiverail", {5, 4, 4}, seconds(2)},
                                {"vdm-za", {8, 8, 8}, seconds(2)},
                                {"gge-chiverail-grown", {31, 31, 31}, seconds(3)},
                                {"cdsaa-rail-grown", {29, 29, 28, 28}, seconds(3)},
                                {"vdm-za-grown", {50, 50, 50}, seconds(3)},
                                {"gge-chiverail-large", {59, 59, 59, 59, 59}, seconds(4)},
                                {"1,000 instances", {200, 200, 200, 200, 200}, seconds(4)}};
  for (const Site& site : sites) {
    std::size_t instances = 0;
    for (const std::size_t count : site.instances) {
      instances += count;
    }
    for (const ReadTiming& timing : {kOperatorRows, kUpstreams}) {
      Duration sum{};
      for (const auto& [wait, time] :
           WaitsOfChange(timing, instances, TimingFor(site.instances, ExchangeFleet::kPeriod))) {
        sum += time;
      }
      INFO(site.name << ": " << sum.count() / 1000000 << " ms");
      CHECK(sum < site.bound);
    }
  }
}

}  // namespace chiverail
