#ifndef CHIVERAIL_TESTS_EXCHANGE_FLEET_H_
#define CHIVERAIL_TESTS_EXCHANGE_FLEET_H_

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fake_platform.h"
#include "fleet_exchange.h"

namespace chiverail {

// A fleet of exchanges in virtual time. Messages pass the codec and a network that loses, delays
// and duplicates them. Instances can be killed, started again, paused and cut off.
class ExchangeFleet {
 public:
  static constexpr Duration kPeriod = milliseconds(250);
  static constexpr std::uint32_t kTag = 7;  // upstream at which every instance has one request

  struct Node {
    std::string id;
    std::string address;
    std::string data_centre;
    std::uint32_t capacity = 20;
    std::uint64_t runs = 0;
    std::unique_ptr<FleetExchange> exchange;  // null while it is down
    std::unique_ptr<PromptQuarantine> quarantine;
    std::unique_ptr<UpstreamTerms> terms;
    bool paused = false;
    bool leaving = false;
    bool store_reachable = true;
    int partition = 0;  // instances reach only those in the same partition
    std::vector<std::pair<std::string, std::string>> inbox;  // bytes and sender, while paused
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_sent = 0;
  };

  ExchangeFleet(int instances, int data_centres, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < instances; ++i) {
      Node node;
      node.id = "front-" + std::to_string(i);
      node.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000";
      node.data_centre = "dc" + std::to_string(i % data_centres);
      node.capacity = i / data_centres < 3 ? 200 : 20;
      by_address_[node.address] = nodes.size();
      nodes.push_back(std::move(node));
    }
    queue_.At(TimePoint(seconds(1000)), [] {});
    queue_.RunUntil(TimePoint(seconds(1000)));
  }

  // Starts all instances within 0.3 s. They know three seeds.
  void StartAll() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      queue_.After(milliseconds(random_() % 300), [this, i] { Start(i); });
    }
  }

  void Start(std::size_t index) {
    Node& node = nodes[index];
    ++node.runs;
    node.paused = false;
    node.leaving = false;
    node.inbox.clear();
    ExchangeHooks hooks;
    hooks.loads = [] { return std::vector<UpstreamLoad>{{kTag, 1}}; };
    hooks.services = [] { return std::vector<ServiceUse>{{3, 10, 1}}; };
    hooks.take_segments = [] { return std::vector<CachedSegment>{}; };
    hooks.record_segment = [](const CachedSegment&, TimePoint) { return false; };
    hooks.notices = [this, index] { return notices ? notices(index) : std::vector<TableNotice>{}; };
    hooks.on_notice = [this, index](const std::string& source, const TableNotice& notice) {
      if (on_notice) {
        on_notice(index, source, notice);
      }
    };
    node.quarantine = std::make_unique<PromptQuarantine>(InstanceKey(node.id, node.runs));
    hooks.quarantine = [&node](TimePoint time) { return node.quarantine->News(time); };
    node.terms = std::make_unique<UpstreamTerms>();
    hooks.terms = [&node](TimePoint time) { return node.terms->News(time); };
    hooks.on_terms = [&node](const std::vector<UpstreamTermsEntry>& news, TimePoint time) {
      node.terms->Merge(news, time);
    };
    hooks.on_quarantine = [&node](const QuarantineNews& news, TimePoint time) {
      node.quarantine->Merge(news, time);
    };
    node.exchange = std::make_unique<FleetExchange>(InfoOf(index), kPeriod, std::move(hooks));
    node.exchange->SetUpstreams({kTag, 11, 12});
    for (const std::size_t seed : {0u, 1u, 2u}) {
      node.exchange->AddSeed(nodes[seed % nodes.size()].address);
    }
    Tick(index, node.runs);
  }

  void Kill(std::size_t index) { nodes[index].exchange.reset(); }

  void Pause(std::size_t index) { nodes[index].paused = true; }

  // The process finds its timers overdue and the datagrams of the pause in its socket.
  void Resume(std::size_t index) {
    Node& node = nodes[index];
    node.paused = false;
    if (node.exchange) {
      Tick(index, node.runs);
      for (const auto& [bytes, from] : std::exchange(node.inbox, {})) {
        Receive(index, bytes, from);
      }
    }
  }

  void Run(Duration length) { queue_.RunUntil(queue_.now() + length); }

  template <typename Check>
  void Run(Duration length, Duration step, Check check) {
    for (const TimePoint end = queue_.now() + length; queue_.now() < end;) {
      Run(step);
      check();
    }
  }

  // Sends the state of an instance at once.
  void Announce(std::size_t index) {
    Node& node = nodes[index];
    if (node.exchange && !node.paused) {
      InstanceInfo info = node.exchange->roster().self();
      info.store_reachable = node.store_reachable;
      Send(index, node.exchange->Announce(std::move(info), now()));
    }
  }

  SimEventQueue& queue() { return queue_; }
  TimePoint now() const { return queue_.now(); }
  std::uint64_t Random() { return random_(); }

  // Position of the hub of a data centre: the instance that most others of it report to.
  std::size_t HubOf(const std::string& data_centre) const {
    for (const Node& node : nodes) {
      if (node.exchange && !node.paused && node.data_centre == data_centre) {
        const InstanceId hub = node.exchange->roster().Ranked(data_centre).front();
        return static_cast<std::size_t>(std::stoi(hub.substr(hub.find('-') + 1)));
      }
    }
    return 0;
  }

  // Requests of the others that an instance knows at kTag.
  std::uint32_t SeenBy(std::size_t index) const {
    const auto loads = nodes[index].exchange->OthersLoads(now());
    const auto found = loads.find(kTag);
    return found == loads.end() ? 0 : found->second;
  }

  // True if every running instance knows exactly the others that run, and their requests.
  bool IsExact() const {
    const auto running = static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [](const Node& node) { return node.exchange != nullptr; }));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].exchange &&
          (nodes[i].exchange->roster().live_count() != running || SeenBy(i) != running - 1)) {
        return false;
      }
    }
    return true;
  }

  // Runs until the fleet is exact; returns whether it became so within the time.
  bool BecomesExact(Duration within) {
    for (const TimePoint end = now() + within; now() < end;) {
      Run(milliseconds(50));
      if (IsExact()) {
        return true;
      }
    }
    return false;
  }

  // Copies of the platform's tables, if a test has any.
  std::function<std::vector<TableNotice>(std::size_t)> notices;
  std::function<void(std::size_t, const std::string&, const TableNotice&)> on_notice;
  // Called after an instance has received a message.
  std::function<void(std::size_t)> on_received;

  std::vector<Node> nodes;
  double loss = 0;
  double duplication = 0;
  Duration max_delay = milliseconds(3);

 private:
  InstanceInfo InfoOf(std::size_t index) const {
    const Node& node = nodes[index];
    InstanceInfo info;
    info.instance = node.id;
    info.start_id = node.runs;
    info.peer_address = node.address;
    info.caller_address = node.address;
    info.data_centre = node.data_centre;
    info.capacity = node.capacity;
    info.accepting = true;
    info.leaving = node.leaving;
    info.store_reachable = true;
    return info;
  }

  void Tick(std::size_t index, std::uint64_t run) {
    Node& node = nodes[index];
    if (!node.exchange || node.runs != run || node.paused) {
      return;
    }
    InstanceInfo info = node.exchange->roster().self();
    info.leaving = node.leaving;
    info.store_reachable = node.store_reachable;
    node.quarantine->Update(now());
    Send(index, node.exchange->Tick(std::move(info), now()));
    queue_.At(std::max(node.exchange->NextTick(), now() + milliseconds(1)),
              [this, index, run] { Tick(index, run); });
  }

  void Send(std::size_t from, const std::vector<FleetExchange::Outgoing>& messages) {
    Node& node = nodes[from];
    for (const FleetExchange::Outgoing& outgoing : messages) {
      const std::string bytes = EncodeFleetMessage(
          outgoing.message, outgoing.dense ? &node.exchange->upstreams() : nullptr);
      node.bytes_sent += bytes.size();
      ++node.datagrams_sent;
      const int copies = Chance(duplication) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        if (!Chance(loss)) {
          const auto delay_us = std::chrono::duration_cast<std::chrono::microseconds>(max_delay);
          queue_.After(std::chrono::microseconds(
                           1 + random_() % static_cast<std::uint64_t>(delay_us.count())),
                       [this, bytes, from, to = outgoing.address] { Deliver(bytes, from, to); });
        }
      }
    }
  }

  void Deliver(const std::string& bytes, std::size_t from, const std::string& to) {
    const auto found = by_address_.find(to);
    if (found != by_address_.end()) {
      const std::size_t i = found->second;
      Node& node = nodes[i];
      if (!node.exchange || node.partition != nodes[from].partition) {
        return;
      }
      if (node.paused) {
        node.inbox.emplace_back(bytes, nodes[from].address);
      } else {
        Receive(i, bytes, nodes[from].address);
      }
    }
  }

  void Receive(std::size_t index, const std::string& bytes, const std::string& from) {
    Node& node = nodes[index];
    const auto decoded = DecodeFleetMessage(bytes, node.exchange->upstreams());
    std::vector<FleetExchange::Outgoing> outgoing;
    if (const auto* message = std::get_if<FleetMessage>(&decoded)) {
      node.exchange->OnMessage(*message, from, now(), outgoing);
    }
    Send(index, outgoing);
    if (on_received) {
      on_received(index);
    }
  }

  bool Chance(double share) {
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  SimEventQueue queue_;
  std::map<std::string, std::size_t> by_address_;
  std::mt19937_64 random_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_EXCHANGE_FLEET_H_
