#ifndef CHIVERAIL_ENGINE_POLLER_H_
#define CHIVERAIL_ENGINE_POLLER_H_

#include <map>
#include <memory>
#include <set>

#include <boost/asio/spawn.hpp>

#include "runtime.h"

namespace chiverail {

// Polls the engines that this instance owns for load reports and cache events, and passes them to
// the router and orders actors. Runs on the I/O thread.
class EnginePoller : public std::enable_shared_from_this<EnginePoller> {
 public:
  explicit EnginePoller(Runtime& runtime) : runtime_(runtime) {}

  // Starts polling; ends when the io_context stops.
  void Start();

 private:
  // Position in the cache event stream of one start of an engine.
  struct EventCursor {
    std::string start_id;
    std::uint64_t sequence = 0;
  };

  void Loop(boost::asio::yield_context yield);
  void PollEngine(const UpstreamId& engine,
                  const std::string& address,
                  boost::asio::yield_context yield);
  void PollLoad(const UpstreamId& engine,
                const std::string& address,
                boost::asio::yield_context yield);
  void PollCacheEvents(const UpstreamId& engine,
                       const std::string& address,
                       boost::asio::yield_context yield);

  Runtime& runtime_;
  std::set<UpstreamId> in_flight_;
  std::map<UpstreamId, EventCursor> cursors_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ENGINE_POLLER_H_
