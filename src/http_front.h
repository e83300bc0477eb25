#ifndef CHIVERAIL_HTTP_FRONT_H_
#define CHIVERAIL_HTTP_FRONT_H_

#include <boost/asio/spawn.hpp>

#include "admin_api.h"
#include "caller_request.h"
#include "http_server.h"
#include "runtime.h"

namespace chiverail {

// Serves the caller API: locate, chat and calls to plain services. Other paths go to the AdminApi.
class HttpFront {
 public:
  explicit HttpFront(Runtime& runtime) : runtime_(runtime), admin_(runtime) {}

  // Handles one request in the coroutine of its connection.
  void Handle(HttpServerExchange& exchange, boost::asio::yield_context yield);

 private:
  void HandleApi(HttpServerExchange& exchange,
                 const HttpTarget& target,
                 boost::asio::yield_context yield);
  void HandleLocate(HttpServerExchange& exchange, const HttpTarget& target);
  void HandleChat(HttpServerExchange& exchange, boost::asio::yield_context yield);
  void HandleCall(HttpServerExchange& exchange,
                  const HttpTarget& target,
                  boost::asio::yield_context yield);
  void RunLedgerCall(HttpServerExchange& exchange,
                     const ServiceCall& call,
                     boost::asio::yield_context yield);
  void RunIdempotentCall(HttpServerExchange& exchange,
                         const ServiceCall& call,
                         boost::asio::yield_context yield);
  void Refuse(HttpServerExchange& exchange, const RequestError& error);

  Runtime& runtime_;
  AdminApi admin_;
  std::uint64_t next_request_ = 1;  // sequence number for plain service requests
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_FRONT_H_
