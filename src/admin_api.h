#ifndef CHIVERAIL_ADMIN_API_H_
#define CHIVERAIL_ADMIN_API_H_

#include <boost/asio/spawn.hpp>

#include "http_server.h"
#include "runtime.h"

namespace chiverail {

// HTTP API for operators and other instances: metrics, health, status and manifest objects.
class AdminApi {
 public:
  explicit AdminApi(Runtime& runtime) : runtime_(runtime) {}

  void Handle(HttpServerExchange& exchange,
              const HttpTarget& target,
              boost::asio::yield_context yield);

 private:
  void HandleReady(HttpServerExchange& exchange);
  void HandleStatus(HttpServerExchange& exchange, boost::asio::yield_context yield);
  void HandleUpstreams(HttpServerExchange& exchange, boost::asio::yield_context yield);
  void HandleObject(HttpServerExchange& exchange, const std::string& name);

  Runtime& runtime_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ADMIN_API_H_
