#ifndef CHIVERAIL_PEER_DATAGRAMS_H_
#define CHIVERAIL_PEER_DATAGRAMS_H_

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace chiverail {

// Sends and receives datagrams between instances. The messages need no reliable delivery, since the
// next one replaces a lost one, and unlike a connection, UDP needs no recovery after a link
// failure.
class PeerDatagrams {
 public:
  using OnDatagram = std::function<void(std::string_view bytes, const std::string& from)>;

  // Binds to "ip:port". Throws boost::system::system_error when the address can't be bound.
  PeerDatagrams(boost::asio::io_context& io, const std::string& address, OnDatagram on_datagram);

  // Sends a datagram to "ip:port". Failures are ignored, also of an address that can't be read.
  void Send(std::string_view bytes, const std::string& address);

 private:
  void Receive();

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  OnDatagram on_datagram_;
  // Larger than the 1,472 bytes that fit into one Ethernet frame: a new instance receives the
  // roster of a large fleet in a few datagrams.
  std::array<char, 16 * 1024> buffer_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_PEER_DATAGRAMS_H_
