#ifndef CHIVERAIL_CONNECT_CHECK_H_
#define CHIVERAIL_CONNECT_CHECK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "http_types.h"
#include "types.h"

namespace chiverail {

// What became of a new connection to an address.
enum class ConnectResult : std::uint8_t {
  kAccepted,
  kRefused,  // nothing listens there: the process has ended
  kUnknown,  // no answer within the timeout, or another error
};
inline constexpr std::array<EnumName<ConnectResult>, 3> kConnectResultNames{{
    {ConnectResult::kAccepted, "accepted"},
    {ConnectResult::kRefused, "refused"},
    {ConnectResult::kUnknown, "unknown"},
}};

// Time after which a process that is being killed has closed all its sockets. The kernel closes the
// one that listens after the connections.
inline constexpr Duration kProcessEndTime = milliseconds(30);

// Opens a connection to "ip:port" after `delay`, closes it again and passes the result on. A
// connection that broke tells whether its peer has ended only together with such a check.
void CheckConnect(boost::asio::io_context& io,
                  const std::string& address,
                  Duration delay,
                  Duration timeout,
                  std::function<void(ConnectResult)> on_result);

}  // namespace chiverail

#endif  // CHIVERAIL_CONNECT_CHECK_H_
