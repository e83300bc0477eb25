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

// Decodes a digest; nothing for bytes that are none.
std::optional<InstanceDigest> DecodeDigest(std::string_view bytes);

// Digests between instances, as datagrams: they carry no promise, a lost one is replaced by the
// next, and a link that has gone silent needs no repair, as a connection would.
class PeerDatagrams {
 public:
  using OnDigest = std::function<void(InstanceDigest digest, const std::string& from)>;

  // Binds to "ip:port". Throws boost::system::system_error when the address can't be bound.
  PeerDatagrams(boost::asio::io_context& io, const std::string& address, OnDigest on_digest);

  // Sends a digest to each address; one that can't be sent is dropped.
  void Send(const InstanceDigest& digest, const std::set<std::string>& addresses);

 private:
  void Receive();

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::string own_address_;
  OnDigest on_digest_;
  // Largest datagram that isn't split on an Ethernet link is 1,472 bytes; fleets of some hundred
  // instances need more when the list of addresses goes along.
  std::array<char, 16 * 1024> buffer_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_PEER_DATAGRAMS_H_
