#include "peer_link.h"

#include <stdexcept>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace chiverail {
namespace {

constexpr int kQueuedMessagesPerPeer = 64;
constexpr std::size_t kMaxMessageBytes = 256 * 1024;
constexpr nng_duration kReconnectMinMs = 100;
constexpr nng_duration kReconnectMaxMs = 2000;

void ThrowIfFailed(int result, const std::string& operation) {
  if (result != 0) {
    throw std::runtime_error(operation + ": " + nng_strerror(result));
  }
}

}  // namespace

// The pull socket, with one asynchronous receive operation pending.
class PeerLink::Listener {
 public:
  Listener(const std::string& address, OnMessage on_message) : on_message_(std::move(on_message)) {
    ThrowIfFailed(nng_pull0_open(&socket_), "cannot open the pull socket");
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    ThrowIfFailed(nng_listener_create(&listener_, socket_, address.c_str()),
                  "invalid peer address " + address);
    nng_listener_set_bool(listener_, NNG_OPT_TCP_KEEPALIVE, true);
    const int started = nng_listener_start(listener_, 0);
    if (started != 0) {
      nng_close(socket_);
      ThrowIfFailed(started, "cannot listen on " + address);
    }
    ThrowIfFailed(nng_aio_alloc(&aio_, &Listener::OnReceiveDone, this),
                  "cannot allocate a receive operation");
    nng_recv_aio(socket_, aio_);
  }

  ~Listener() {
    nng_close(socket_);
    nng_aio_stop(aio_);
    nng_aio_free(aio_);
  }

  // Port that the listener is bound to.
  int port() const {
    int port = 0;
    nng_listener_get_int(listener_, NNG_OPT_TCP_BOUND_PORT, &port);
    return port;
  }

 private:
  static void OnReceiveDone(void* self) { static_cast<Listener*>(self)->HandleReceived(); }

  // Passes on the received message and starts the next receive operation.
  void HandleReceived() {
    if (nng_aio_result(aio_) != 0) {
      return;  // the socket was closed
    }
    nng_msg* message = nng_aio_get_msg(aio_);
    std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    on_message_(std::move(bytes));
    nng_recv_aio(socket_, aio_);
  }

  OnMessage on_message_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_listener listener_ = NNG_LISTENER_INITIALIZER;
  nng_aio* aio_ = nullptr;
};

// The push socket connected to one peer; nng reconnects it in the background.
class PeerLink::Dialer {
 public:
  explicit Dialer(const std::string& address) {
    ThrowIfFailed(nng_push0_open(&socket_), "cannot open a push socket");
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, kQueuedMessagesPerPeer);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    nng_dialer dialer = NNG_DIALER_INITIALIZER;
    if (nng_dialer_create(&dialer, socket_, address.c_str()) == 0) {
      nng_dialer_set_bool(dialer, NNG_OPT_TCP_KEEPALIVE, true);
      nng_dialer_start(dialer, NNG_FLAG_NONBLOCK);
    }
  }
  ~Dialer() { nng_close(socket_); }
  Dialer(const Dialer&) = delete;
  Dialer& operator=(const Dialer&) = delete;

  bool Send(const std::string& bytes) {
    return nng_send(socket_, const_cast<char*>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK) == 0;
  }

 private:
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

PeerLink::PeerLink(const std::string& listen_address, OnMessage on_message)
    : listener_(std::make_unique<Listener>(listen_address, std::move(on_message))) {
  address_ =
      listen_address.substr(0, listen_address.rfind(':')) + ":" + std::to_string(listener_->port());
}

PeerLink::~PeerLink() = default;

bool PeerLink::Send(const std::string& peer_address, const std::string& bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& dialer = dialers_[peer_address];
  if (!dialer) {
    dialer = std::make_unique<Dialer>(peer_address);
  }
  return dialer->Send(bytes);
}

void PeerLink::Disconnect(const std::string& peer_address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  dialers_.erase(peer_address);
}

}  // namespace chiverail
