#include "peer_datagrams.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include "http_types.h"

namespace chiverail {

namespace asio = boost::asio;
using udp = asio::ip::udp;

PeerDatagrams::PeerDatagrams(asio::io_context& io,
                             const std::string& address,
                             OnDatagram on_datagram)
    : socket_(io), on_datagram_(std::move(on_datagram)) {
  const auto [host, port] = SplitAddress(address);
  const udp::endpoint endpoint(asio::ip::make_address(host), port);
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
  Receive();
}

void PeerDatagrams::Receive() {
  socket_.async_receive_from(asio::buffer(buffer_), from_,
                             [this](const boost::system::error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 const std::string from = from_.address().to_string() + ":" +
                                                          std::to_string(from_.port());
                                 on_datagram_({buffer_.data(), size}, from);
                               }
                               Receive();
                             });
}

void PeerDatagrams::Send(std::string_view bytes, const std::string& address) {
  std::pair<std::string, unsigned short> parts;
  try {
    parts = SplitAddress(address);
  } catch (const std::invalid_argument&) {
    return;  // the address came from another instance
  }
  boost::system::error_code error;
  const auto host = asio::ip::make_address(parts.first, error);
  if (!error) {
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()), udp::endpoint(host, parts.second), 0,
                    error);
  }
}

}  // namespace chiverail
