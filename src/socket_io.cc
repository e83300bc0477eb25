#include "socket_io.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;

// Read buffer shared by all sockets: bytes are passed on before the next socket is read.
std::array<char, kReadBufferBytes>& ReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

void SetOption(tcp::socket& socket, int level, int option, int value) {
  // Errors are ignored: old kernels may reject options, which only delays detection of dead peers.
  (void)setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

}  // namespace

TimePoint BootTimeNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

void SetPeerTimeout(tcp::socket& socket, Duration timeout) {
  constexpr int kProbes = 2;
  const auto timeout_ms = std::chrono::duration_cast<milliseconds>(timeout).count();
  const int interval_s = std::max<int>(1, static_cast<int>(timeout_ms / 1000 / (kProbes + 1)));
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout_ms));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval_s);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

bool IsQuiet(tcp::socket& socket) {
  char byte = 0;
  const auto count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool IsEstablished(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_ESTABLISHED;
}

std::optional<std::size_t> UnacknowledgedBytes(tcp::socket& socket) {
  const int fd = socket.native_handle();
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    return std::nullopt;
  }
  int count = 0;
  return ioctl(fd, SIOCOUTQ, &count) == 0 && count > 0 ? static_cast<std::size_t>(count) : 0;
}

SocketIo::SocketIo(tcp::socket socket) : socket_(std::move(socket)) {}

SocketIo::~SocketIo() {
  Close();
}

void SocketIo::Start(std::shared_ptr<void> owner, OnBytes on_bytes, OnError on_error) {
  owner_ = owner;
  on_bytes_ = std::move(on_bytes);
  on_error_ = std::move(on_error);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  WaitReadable();
}

void SocketIo::WaitReadable() {
  if (waiting_to_read_ || paused_ || !socket_.is_open()) {
    return;
  }
  waiting_to_read_ = true;
  socket_.async_wait(tcp::socket::wait_read, [this, owner = owner_.lock()](const auto& error) {
    waiting_to_read_ = false;
    if (!error && socket_.is_open()) {
      ReadAvailable();
    }
  });
}

void SocketIo::ReadAvailable() {
  if (paused_) {
    return;
  }
  boost::system::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(ReadBuffer()), error);
  if (error == asio::error::would_block) {
    WaitReadable();
    return;
  }
  if (error && error != asio::error::eof) {
    Fail(error.message());
    return;
  }
  if (linger_timer_) {
    error ? Close() : WaitReadable();
    return;
  }
  const OnBytes on_bytes = on_bytes_;  // the callback may close this connection
  on_bytes(std::string_view(ReadBuffer().data(), error ? 0 : count));
  if (!error) {
    WaitReadable();
  }
}

void SocketIo::ResumeReading() {
  paused_ = false;
  WaitReadable();
}

void SocketIo::Send(std::string_view bytes) {
  if (!socket_.is_open()) {
    return;
  }
  if (unsent_.empty()) {
    boost::system::error_code error;
    const std::size_t count = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block) {
      Fail(error.message());
      return;
    }
    bytes.remove_prefix(error ? 0 : count);
  }
  unsent_.append(bytes);
  WaitWritable();
}

void SocketIo::WaitWritable() {
  if (unsent_.empty() || waiting_to_write_ || !socket_.is_open()) {
    return;
  }
  waiting_to_write_ = true;
  socket_.async_wait(tcp::socket::wait_write, [this, owner = owner_.lock()](const auto& error) {
    waiting_to_write_ = false;
    if (error || !socket_.is_open()) {
      return;
    }
    std::string bytes;
    bytes.swap(unsent_);
    Send(bytes);
    if (!unsent_.empty()) {
      return;
    }
    if (close_when_sent_) {
      Linger();
    } else if (on_drained_) {
      std::exchange(on_drained_, nullptr)();
    }
  });
}

// Send() may fail while its caller is changing state, so the callback is posted to the executor.
void SocketIo::Fail(const std::string& reason) {
  Close();
  if (on_error_) {
    asio::post(socket_.get_executor(),
               [owner = owner_.lock(), on_error = std::exchange(on_error_, nullptr), reason] {
                 on_error(reason);
               });
  }
}

bool SocketIo::HasUnread() {
  if (!socket_.is_open()) {
    return false;
  }
  char byte = 0;
  const auto count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // The kernel reports an error once: the next read would take the reset for the end of the stream.
  if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    Fail(boost::system::error_code(errno, boost::system::system_category()).message());
  }
  return count > 0;
}

std::optional<std::size_t> SocketIo::Unacknowledged() {
  const auto written = open() ? UnacknowledgedBytes(socket_) : std::nullopt;
  return written ? std::optional(*written + unsent()) : std::nullopt;
}

void SocketIo::Close() {
  boost::system::error_code ignored;
  unsent_.clear();
  if (linger_timer_) {
    linger_timer_->cancel();
  }
  socket_.close(ignored);
}

void SocketIo::CloseWhenSent() {
  close_when_sent_ = true;
  if (unsent_.empty()) {
    Linger();
  }
}

void SocketIo::ResetUnlessSent() {
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void SocketIo::Linger() {
  if (linger_timer_ || !socket_.is_open()) {
    return;
  }
  boost::system::error_code error;
  socket_.set_option(asio::socket_base::linger(false, 0), error);
  socket_.shutdown(tcp::socket::shutdown_send, error);
  if (error) {
    Close();
    return;
  }
  linger_timer_.emplace(socket_.get_executor(), kLingerTime);
  linger_timer_->async_wait([this, owner = owner_.lock()](const auto& cancelled) {
    if (!cancelled) {
      Close();
    }
  });
  ResumeReading();
}

void SocketIo::Reset() {
  if (socket_.is_open()) {
    ResetUnlessSent();
  }
  Close();
}

}  // namespace chiverail
