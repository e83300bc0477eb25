#ifndef CHIVERAIL_PEER_DATAGRAMS_H_
#define CHIVERAIL_PEER_DATAGRAMS_H_

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "instance_table.h"

namespace chiverail {

// Encodes a digest as MessagePack.
std::string EncodeDigest(const InstanceDigest& digest);

// Decodes a digest; returns nothing for bytes that are not one.
std::optional<InstanceDigest> DecodeDigest(std::string_view bytes);

// Exchanges digests between instances over UDP. Digests need no reliable delivery, since the next
// one replaces a lost one, and unlike a connection, UDP needs no recovery after a link failure.
class PeerDatagrams {
 public:
  using OnDigest = std::function<void(InstanceDigest digest, const std::string& from)>;

  // Binds to "ip:port". Throws boost::system::system_error when the address can't be bound.
  PeerDatagrams(boost::asio::io_context& io, const std::string& address, OnDigest on_digest);

  // Sends a digest to each address; failures to send are ignored.
  void Send(const InstanceDigest& digest, const std::set<std::string>& addresses);

 private:
  void Receive();

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::string own_address_;
  OnDigest on_digest_;
  // Larger than the 1,472 bytes that fit into one Ethernet frame: in fleets of some hundred
  // instances, digests with the list of addresses exceed that.
  std::array<char, 16 * 1024> buffer_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_PEER_DATAGRAMS_H_
