// Replays a small plain service before many instances on the decision classes: three upstreams of
// six slots, calls of 30 ms, and loads that are ten calls old when they arrive. Seen as 30% of the
// requests declined by upstreams at three quarters of their capacity.

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "service_gate/service_gate.h"
#include "upstream_choice.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kStep = milliseconds(1);
constexpr Duration kRunTime = seconds(20);
constexpr Duration kObjective = milliseconds(150);
constexpr int kUpstreams = 3;
constexpr int kSlots = 6;
constexpr int kQueue = 24;
constexpr double kCallMs = 30;
constexpr double kCapacity = kUpstreams * kSlots * 1000 / kCallMs;  // calls a second

// An instance tells its load this often; it arrives everywhere after about twice that time.
constexpr Duration kReport = milliseconds(175);
constexpr Duration kLag = milliseconds(250);

enum class Rule : std::uint8_t { kLoads, kGate };

struct Outcome {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int declined = 0;  // by upstreams; a request may be declined by several
  double Share(int count) const { return static_cast<double>(count) / (in_time + late + refused); }
};

class Replay {
 public:
  Replay(int instances, Rule rule) : rule_(rule), instances_(instances) {
    for (Instance& instance : instances_) {
      for (int i = 0; i < kUpstreams; ++i) {
        UpstreamEntry entry;
        entry.id = "up-" + std::to_string(i);
        entry.service = "desk";
        entry.slots = kSlots;
        instance.upstreams.Apply(entry, kStart);
      }
    }
  }

  // Runs with `rate` requests a second. Each request that is refused returns once.
  Outcome Run(double rate) {
    std::poisson_distribution<int> arrivals(rate / 1000);
    for (TimePoint now = kStart; now < kStart + kRunTime; now += kStep) {
      End(now);
      Exchange(now);
      for (; !returns_.empty() && returns_.top().at <= now; returns_.pop()) {
        Place(returns_.top().received, true, now);
      }
      for (int i = arrivals(random_); i > 0; --i) {
        Place(now, false, now);
      }
    }
    return outcome_;
  }

 private:
  struct Instance {
    UpstreamSet upstreams;
    ServiceGate gate;
  };
  struct Call {
    TimePoint received{};
    std::size_t instance = 0;
  };
  struct Running {
    TimePoint ends{};
    Call call;
  };
  struct Server {
    std::vector<Running> running;
    std::deque<Call> waiting;
  };
  struct Return {
    TimePoint at{};
    TimePoint received{};
    bool operator<(const Return& other) const { return at > other.at; }
  };

  UpstreamState& StateOf(std::size_t instance, int upstream) {
    return *instances_[instance].upstreams.Find("up-" + std::to_string(upstream));
  }

  void Begin(Server& server, const Call& call, TimePoint now) {
    std::lognormal_distribution<double> time(std::log(kCallMs) - 0.125, 0.5);
    server.running.push_back({now + std::chrono::duration_cast<Duration>(
                                        std::chrono::duration<double, std::milli>(time(random_))),
                              call});
  }

  void End(TimePoint now) {
    for (int i = 0; i < kUpstreams; ++i) {
      Server& server = servers_[i];
      for (std::size_t j = 0; j < server.running.size();) {
        if (server.running[j].ends > now) {
          ++j;
          continue;
        }
        const Call call = server.running[j].call;
        server.running.erase(server.running.begin() + static_cast<std::ptrdiff_t>(j));
        --StateOf(call.instance, i).own_load;
        ++(now - call.received <= kObjective ? outcome_.in_time : outcome_.late);
        if (!server.waiting.empty()) {
          Begin(server, server.waiting.front(), now);
          server.waiting.pop_front();
        }
      }
    }
  }

  // Totals as of kLag ago reach each instance every kReport.
  void Exchange(TimePoint now) {
    std::vector<int> totals;
    for (const Server& server : servers_) {
      totals.push_back(static_cast<int>(server.running.size() + server.waiting.size()));
    }
    history_.push_back(totals);
    if (history_.size() > static_cast<std::size_t>(kLag / kStep)) {
      history_.pop_front();
    }
    const auto steps = static_cast<std::size_t>(kReport / kStep);
    const auto phase = static_cast<std::size_t>((now - kStart) / kStep) % steps;
    for (std::size_t i = phase; i < instances_.size(); i += steps) {
      int all = 0;
      for (int j = 0; j < kUpstreams; ++j) {
        UpstreamState& state = StateOf(i, j);
        state.peer_load = std::max(0, history_.front()[j] - state.own_load);
        UpdateAverageLoad(state, now);
        all += state.own_load + state.peer_load;
      }
      instances_[i].gate.Update(static_cast<double>(all) / (kUpstreams * kSlots), now);
    }
  }

  void Place(TimePoint received, bool returning, TimePoint now) {
    const std::size_t instance = random_() % instances_.size();
    const double draw = static_cast<double>(random_() % 1000) / 1000;
    std::set<UpstreamId> tried;
    if (rule_ == Rule::kLoads || instances_[instance].gate.Admits(draw)) {
      for (int attempt = 0; attempt < 3; ++attempt) {
        const int chosen = Choose(instance, tried, now);
        if (chosen < 0) {
          break;
        }
        Server& server = servers_[chosen];
        if (server.running.size() + server.waiting.size() < kSlots + kQueue) {
          ++StateOf(instance, chosen).own_load;
          const Call call{received, instance};
          server.running.size() < kSlots ? Begin(server, call, now)
                                         : server.waiting.push_back(call);
          return;
        }
        ++outcome_.declined;
        tried.insert("up-" + std::to_string(chosen));
      }
    }
    if (returning) {
      ++outcome_.refused;
    } else {
      returns_.push({now + milliseconds(100 + random_() % 300), received});
    }
  }

  int Choose(std::size_t instance, const std::set<UpstreamId>& tried, TimePoint now) {
    ChoiceQuery query;
    query.service = "desk";
    query.random = random_();
    query.tried = &tried;
    ChoiceLimits limits;
    limits.slot_share = 1.5;
    limits.stale_loads = rule_ == Rule::kGate;
    const Choice choice = ChooseUpstream(instances_[instance].upstreams, query, limits, now);
    return choice.upstream == nullptr ? -1 : choice.upstream->entry.id.back() - '0';
  }

  Rule rule_;
  std::vector<Instance> instances_;
  Server servers_[kUpstreams];
  std::deque<std::vector<int>> history_;
  std::priority_queue<Return> returns_;
  std::mt19937_64 random_{7};
  Outcome outcome_;
};

}  // namespace

TEST_CASE("A small plain service before many instances") {
  const int instances = GENERATE(100, 142, 300);
  CAPTURE(instances);
  CHECK(HasSharedSlots(kUpstreams * kSlots, static_cast<std::size_t>(instances)));

  SECTION("that has room serves its callers in time") {
    const double load = GENERATE(0.5, 0.7);
    const Outcome outcome = Replay(instances, Rule::kGate).Run(load * kCapacity);
    CHECK(outcome.Share(outcome.in_time) > 0.99);
    CHECK(outcome.refused == 0);
  }
  SECTION("that is short of room serves more callers than by loads, and more of them in time") {
    const double load = GENERATE(0.7, 0.9, 1.1, 1.4);
    CAPTURE(load);
    const Outcome by_loads = Replay(instances, Rule::kLoads).Run(load * kCapacity);
    const Outcome by_gate = Replay(instances, Rule::kGate).Run(load * kCapacity);
    CHECK(by_gate.in_time + by_gate.late > by_loads.in_time + by_loads.late);
    CHECK(by_gate.Share(by_gate.in_time) > by_loads.Share(by_loads.in_time));
    INFO("in time " << by_loads.Share(by_loads.in_time) << " by loads, "
                    << by_gate.Share(by_gate.in_time) << " by the gate; refused "
                    << by_loads.Share(by_loads.refused) << ", " << by_gate.Share(by_gate.refused));
    CHECK(by_gate.declined < by_loads.declined);
  }
}

TEST_CASE("The gate of a plain service") {
  ServiceGate gate;
  TimePoint now = kStart;
  const auto run = [&](double load, Duration time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(100)) {
      gate.Update(load, now);
    }
  };
  CHECK(gate.Admits(0.999));
  run(1, seconds(10));
  CHECK(gate.share() == 1);
  SECTION("lets fewer requests pass while its upstreams are overloaded, but always some") {
    run(5, seconds(2));
    CHECK(gate.share() < 0.8);
    CHECK_FALSE(gate.Admits(0.9));
    run(100, seconds(60));
    CHECK(gate.Admits(0.05));
    SECTION("and all of them again after that") {
      run(0, seconds(60));
      CHECK(gate.share() == 1);
    }
  }
  SECTION("takes no notice of a short burst") {
    run(4, milliseconds(200));
    CHECK(gate.share() > 0.95);
  }
}

}  // namespace chiverail
