#include <cstdio>

#include <catch2/catch.hpp>

#include "sim_instances.h"

using namespace chiverail;

namespace {

// A fleet without faults whose control traffic is counted.
class ControlTrafficSim : public SimInstances {
 public:
  ControlTrafficSim(int instances, int data_centres) : SimInstances(1, 0) {
    data_centres_.clear();
    for (int i = 0; i < data_centres; ++i) {
      data_centres_.push_back("dc" + std::to_string(i));
    }
    for (int i = 0; i < instances; ++i) {
      Add("instance-" + std::to_string(i), data_centres_[i % data_centres]);
      nodes_.back().self.address = "10.0.100." + std::to_string(i % 250) + ":8080";
      nodes_.back().self.peer_address = "tcp://10.0.100." + std::to_string(i % 250) + ":8081";
    }
    HeadRow head;
    head.revision = 1;
    head.author = "operator";
    head.nonce = "0123456789abcdef";
    table_.Write({{}, {{kHeadKey, SerializeRow(head)}}, {}});
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      events_.At(At(0.02 * static_cast<double>(i)), [this, i] { StartNode(i); });
    }
  }

  void Print(const char* name, double start, double end) {
    events_.RunUntil(At(start));
    const SimTraffic before = traffic_;
    events_.RunUntil(At(end));
    const double span = end - start;
    const auto per_second = [&](std::uint64_t after, std::uint64_t from) {
      return static_cast<double>(after - from) / span;
    };
    const auto count = static_cast<double>(nodes_.size());
    std::printf(
        "%4zu instances, %s: %7.1f reads/s, %6.1f writes/s; per instance %5.0f B/s table, "
        "%5.0f B/s probes\n",
        nodes_.size(), name, per_second(traffic_.reads, before.reads),
        per_second(traffic_.writes, before.writes),
        per_second(traffic_.table_bytes, before.table_bytes) / count,
        2 * per_second(traffic_.peer_bytes, before.peer_bytes) / count);
  }

  std::size_t Joined() const {
    std::size_t joined = 0;
    for (const Node& node : nodes_) {
      joined += node.membership->IsMember() ? 1 : 0;
    }
    return joined;
  }

 private:
  void NaiveApply(std::size_t, Revision) override {}
};

}  // namespace

// Prints the control traffic of membership and configuration; hidden, since it checks no limits.
TEST_CASE("Control traffic by fleet size", "[.slopes]") {
  for (const int instances : {13, 50, 100, 390}) {
    ControlTrafficSim sim(instances, instances < 100 ? 3 : 4);
    sim.Print("first minute ", 0, 60);
    REQUIRE(sim.Joined() == static_cast<std::size_t>(instances));
    sim.Print("steady       ", 90, 150);
    sim.table().down = true;
    sim.Print("table down   ", 180, 240);
    sim.table().down = false;
    sim.Print("table returns", 240, 250);
  }
}
