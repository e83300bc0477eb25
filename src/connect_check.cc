#include "connect_check.h"

#include <memory>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

struct Check {
  explicit Check(asio::io_context& io) : socket(io), timer(io) {}

  void Finish(ConnectResult result) {
    timer.cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
    if (const auto callback = std::exchange(on_result, nullptr)) {
      callback(result);
    }
  }

  tcp::endpoint endpoint;
  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(ConnectResult)> on_result;
};

ConnectResult ResultOf(const boost::system::error_code& error) {
  if (!error) {
    return ConnectResult::kAccepted;
  }
  return error == asio::error::connection_refused ? ConnectResult::kRefused
                                                  : ConnectResult::kUnknown;
}

void Start(const std::shared_ptr<Check>& check, Duration timeout) {
  check->socket.async_connect(check->endpoint, [check](const boost::system::error_code& error) {
    check->Finish(ResultOf(error));
  });
  check->timer.expires_after(timeout);
  check->timer.async_wait([check](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      check->Finish(ConnectResult::kUnknown);
    }
  });
}

}  // namespace

void CheckConnect(asio::io_context& io,
                  const std::string& address,
                  Duration delay,
                  Duration timeout,
                  std::function<void(ConnectResult)> on_result) {
  const auto check = std::make_shared<Check>(io);
  check->on_result = std::move(on_result);
  const auto [host, port] = SplitAddress(address);
  check->endpoint = tcp::endpoint(asio::ip::make_address(host), port);
  check->timer.expires_after(delay);
  check->timer.async_wait(
      [check, timeout](const boost::system::error_code&) { Start(check, timeout); });
}

}  // namespace chiverail
