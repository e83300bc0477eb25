#ifndef CHIVERAIL_CALLER_LIMITS_CALLER_ACCOUNT_H_
#define CHIVERAIL_CALLER_LIMITS_CALLER_ACCOUNT_H_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "caller_limits/held_bytes.h"
#include "metrics.h"
#include "types.h"

namespace chiverail {

class CallerConnection;

// Keeps what all callers' connections of a process hold within a limit, whichever listener they
// belong to: closes connections as HeldBytes decides. Must outlive no connection; connections share
// its ownership.
class CallerAccount {
 public:
  // `metrics` may be null.
  CallerAccount(boost::asio::io_context& io, Metrics* metrics) : io_(io), metrics_(metrics) {}

  void SetLimit(std::size_t bytes) { held_.SetLimit(bytes); }

  // Takes up what a connection holds. If it is too much together, connections are closed soon after
  // the call.
  void Update(const std::shared_ptr<CallerConnection>& connection,
              std::size_t bytes,
              HolderState state,
              bool progress,
              TimePoint now);

  // Forgets a connection.
  void Remove(const CallerConnection* connection);

  // Returns whether a request of this size may be passed on. Requests that are still arriving are
  // refused for it, but not that on `connection`. Small requests always may.
  bool MakeRoomFor(std::size_t bytes, const CallerConnection* connection, TimePoint now);

  std::size_t total() const { return held_.total(); }

 private:
  // Requests up to this size are passed on whatever the others hold.
  static constexpr std::size_t kSmallRequest = 64 * 1024;

  void CloseVictims();
  void Close(const CallerConnection* holder);

  boost::asio::io_context& io_;
  Metrics* metrics_;
  HeldBytes held_;
  std::unordered_map<HeldBytes::Holder, std::weak_ptr<CallerConnection>> connections_;
  bool closing_soon_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_CALLER_LIMITS_CALLER_ACCOUNT_H_
