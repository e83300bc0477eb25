#ifndef CHIVERAIL_HTTP_LISTENER_H_
#define CHIVERAIL_HTTP_LISTENER_H_

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller_connection.h"
#include "caller_limits/caller_account.h"
#include "route_table.h"

namespace chiverail {

// Accepts connections of callers on one address.
class HttpListener {
 public:
  using Handler = std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>;

  // Refuses a request whose body is still arriving if it is known that it can't be served; returns
  // whether it has.
  using EarlyRefusal = std::function<
      bool(const std::shared_ptr<CallerConnection>&, const MessageHead&, TimePoint received)>;

  // Binds to "ip:port". Throws boost::system::system_error when the address can't be bound.
  HttpListener(boost::asio::io_context& io, const std::string& address, Handler handler);

  // Sets the limits for requests that start after the call.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  // Sets the account of what connections hold, for connections that are accepted after the call. A
  // listener has one of its own otherwise, without a limit.
  void SetAccount(std::shared_ptr<CallerAccount> account) { account_ = std::move(account); }

  // Sets the number of connections that may be open. Beyond it, idle ones and those whose requests
  // make no progress are closed for new ones.
  void SetMaxConnections(std::size_t max_connections) { max_connections_ = max_connections; }

  // Sets the function that is offered each request whose head is complete and whose body is not.
  void SetEarlyRefusal(EarlyRefusal refusal) { early_refusal_ = std::move(refusal); }

  // Offers that function the requests whose bodies are still arriving.
  void RefuseEarly();

  // Adds "Connection: close" to every response that starts after the call.
  void StartClosing() { closing_ = true; }

  // Stops accepting connections and closes the idle ones. Connections that callers have opened are
  // accepted first.
  void Close();

  // Closes idle connections. Busy ones close after their response if StartClosing() was called.
  void CloseIdle();

  // Refuses the requests that were received in part.
  void RefuseUnread(const std::vector<HttpHeader>& fields);

  // Number of connections on which a request is being answered.
  std::size_t busy() const;

  // Number of connections with an unfinished request.
  std::size_t unfinished() const;

  // Number of connections that are in use.
  std::size_t in_use() const;

  // True if bytes of responses wait to be taken by the sockets.
  bool HasUnsent() const;

  const std::shared_ptr<CallerAccount>& account() const { return account_; }
  const std::shared_ptr<std::size_t>& open_count() const { return open_count_; }
  const EarlyRefusal& early_refusal() const { return early_refusal_; }
  const CallerLimits& limits() const { return limits_; }
  bool closing() const { return closing_; }
  boost::asio::io_context& io() { return io_; }

 private:
  friend class CallerConnection;
  void Accept();
  void AcceptQueued();
  // Closes a connection other than `accepted` if too many are open. Returns false if all are in
  // use.
  bool MakeRoom(const CallerConnection* accepted);
  void AcceptAfter(Duration time);
  std::shared_ptr<CallerConnection> AddConnection(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  Handler handler_;
  EarlyRefusal early_refusal_;
  CallerLimits limits_;
  std::shared_ptr<CallerAccount> account_;
  std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
  bool closing_ = false;
  std::unordered_map<CallerConnection*, std::weak_ptr<CallerConnection>> connections_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_LISTENER_H_
