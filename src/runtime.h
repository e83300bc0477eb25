#ifndef CHIVERAIL_RUNTIME_H_
#define CHIVERAIL_RUNTIME_H_

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/send.hpp>

#include "http_client.h"
#include "metrics.h"
#include "object_cache.h"
#include "platform_client.h"
#include "published_state.h"
#include "settings.h"

namespace chiverail {

// The supervisor and the actors that it runs.
enum class Component : std::uint8_t { kSupervisor, kFleet, kRouter, kLedger, kOrders, kPeers };
inline constexpr std::array<EnumName<Component>, 6> kComponentNames{{
    {Component::kSupervisor, "supervisor"},
    {Component::kFleet, "fleet"},
    {Component::kRouter, "router"},
    {Component::kLedger, "ledger"},
    {Component::kOrders, "orders"},
    {Component::kPeers, "peers"},
}};

// Registry of the current actors. A restart replaces an actor, so senders look it up for each
// message. Thread-safe.
class ActorRegistry {
 public:
  caf::actor Get(Component component) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return actors_[static_cast<std::size_t>(component)];
  }
  void Set(Component component, caf::actor actor) {
    const std::lock_guard<std::mutex> lock(mutex_);
    actors_[static_cast<std::size_t>(component)] = std::move(actor);
  }
  void Clear() {
    const std::lock_guard<std::mutex> lock(mutex_);
    actors_ = {};
  }

  // Sends a message to an actor; the message is dropped while the actor is not running.
  template <typename Message>
  void Send(Component component, Message message) const {
    const caf::actor actor = Get(component);
    if (actor) {
      caf::anon_send(actor, std::move(message));
    }
  }

 private:
  mutable std::mutex mutex_;
  std::array<caf::actor, kComponentNames.size()> actors_;
};

// Returns the time after which a table operation is given up: the longest that the platform client
// takes with these settings, and a margin for scheduling.
Duration TableOperationTimeout(const Settings& settings);

// State shared by all actors and coroutines of one daemon; it outlives them.
struct Runtime {
  Runtime(Settings daemon_settings, caf::actor_system& actor_system);

  // Time of the actor system's clock, which tests pause and advance.
  TimePoint Now() const { return system.clock().now(); }

  // Counts a table operation that did not succeed.
  void CountTableResult(TableStatus status);

  Settings settings;
  caf::actor_system& system;
  boost::asio::io_context io;  // run by one thread
  Metrics metrics;
  PublishedState shared;
  ActorRegistry actors;
  ObjectCache objects;
  HttpClient platform_http;
  HttpClient upstream_http;
  PlatformClient platform;
  // Distinguishes runs under the same instance id; changes after an eviction and when the fleet
  // actor is restarted.
  std::atomic<std::uint64_t> generation{0};
  std::string address;       // "ip:port" for callers
  std::string peer_address;  // "tcp://ip:port" for peers
  std::atomic<int> open_requests{0};
  // Number of the last call that the ledger took. It outlives the ledger actor, so that the result
  // of an operation that a failed actor started is not taken for one of a new call.
  std::atomic<std::uint64_t> last_call_number{0};
};

}  // namespace chiverail

#endif  // CHIVERAIL_RUNTIME_H_
