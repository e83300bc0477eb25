#include "peer_datagrams.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <nlohmann/json.hpp>

#include "http_types.h"

namespace chiverail {

namespace asio = boost::asio;
using nlohmann::json;
using udp = asio::ip::udp;

namespace {

// First element of each message; changes with every release that changes the format.
constexpr int kFormatVersion = 5;

udp::endpoint EndpointOf(const std::string& address) {
  const auto [host, port] = SplitAddress(address);
  return {asio::ip::make_address(host), port};
}

}  // namespace

std::string EncodeDigest(const InstanceDigest& digest) {
  json loads = json::array();
  for (const UpstreamLoad& load : digest.loads) {
    loads.push_back(load.tag);
    loads.push_back(load.requests);
  }
  json cached_segments = json::array();
  for (const CachedSegment& segment : digest.cached_segments) {
    cached_segments.push_back(segment.segment_hash);
    cached_segments.push_back(segment.upstream);
  }
  const json message = json::array(
      {kFormatVersion, digest.instance, digest.start_id, digest.sequence, digest.caller_address,
       digest.accepting, digest.leaving, std::move(loads), digest.instances, digest.data_centre,
       std::move(cached_segments), digest.store_reachable, digest.capacity});
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

std::optional<InstanceDigest> DecodeDigest(std::string_view bytes) {
  try {
    const json message = json::from_msgpack(bytes.begin(), bytes.end());
    if (message.size() < 13 || message.at(0) != kFormatVersion) {
      return std::nullopt;
    }
    InstanceDigest digest;
    digest.instance = message.at(1).get<std::string>();
    digest.start_id = message.at(2).get<std::uint64_t>();
    digest.sequence = message.at(3).get<std::uint64_t>();
    digest.caller_address = message.at(4).get<std::string>();
    digest.accepting = message.at(5).get<bool>();
    digest.leaving = message.at(6).get<bool>();
    const json& loads = message.at(7);
    for (std::size_t i = 0; i + 1 < loads.size(); i += 2) {
      digest.loads.push_back({loads[i].get<std::uint32_t>(), loads[i + 1].get<std::uint32_t>()});
    }
    digest.instances = message.at(8).get<std::vector<std::string>>();
    digest.data_centre = message.at(9).get<std::string>();
    digest.store_reachable = message.at(11).get<bool>();
    digest.capacity = message.at(12).get<std::uint32_t>();
    const json& cached_segments = message.at(10);
    for (std::size_t i = 0; i + 1 < cached_segments.size(); i += 2) {
      digest.cached_segments.push_back(
          {cached_segments[i].get<std::uint32_t>(), cached_segments[i + 1].get<std::uint32_t>()});
    }
    return digest;
  } catch (const json::exception&) {
    // An open port may receive arbitrary bytes. If this was a damaged digest, the next one follows.
    return std::nullopt;
  }
}

PeerDatagrams::PeerDatagrams(asio::io_context& io, const std::string& address, OnDigest on_digest)
    : socket_(io), own_address_(address), on_digest_(std::move(on_digest)) {
  const udp::endpoint endpoint = EndpointOf(address);
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
                                 if (auto digest = DecodeDigest({buffer_.data(), size})) {
                                   on_digest_(std::move(*digest), from);
                                 }
                               }
                               Receive();
                             });
}

void PeerDatagrams::Send(const InstanceDigest& digest, const std::set<std::string>& addresses) {
  const std::string bytes = EncodeDigest(digest);
  for (const std::string& address : addresses) {
    if (address != own_address_) {
      boost::system::error_code ignored;  // the next digest replaces a lost one
      socket_.send_to(asio::buffer(bytes), EndpointOf(address), 0, ignored);
    }
  }
}

}  // namespace chiverail
