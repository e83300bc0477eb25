#ifndef CHIVERAIL_PEER_LINK_H_
#define CHIVERAIL_PEER_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chiverail {

// One-way messages between instances over nng push and pull sockets. Delivery is not guaranteed and
// losses are not reported, so every protocol on top of the link has its own timeout.
class PeerLink {
 public:
  // Called on an nng thread for each message received.
  using OnMessage = std::function<void(std::string)>;

  // Listens on "tcp://ip:port"; port 0 selects a free port. Throws std::runtime_error on failure.
  PeerLink(const std::string& listen_address, OnMessage on_message);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // The address that the link listens on, "tcp://ip:port".
  const std::string& address() const { return address_; }

  // Queues a message for a peer and connects to it first if necessary. Returns false if the message
  // was dropped because the peer is not connected and its send queue is full.
  bool Send(const std::string& peer_address, const std::string& bytes);

  // Closes the connection to a peer.
  void Disconnect(const std::string& peer_address);

 private:
  class Listener;
  class Dialer;

  std::unique_ptr<Listener> listener_;
  std::string address_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Dialer>> dialers_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PEER_LINK_H_
