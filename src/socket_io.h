#ifndef CHIVERAIL_SOCKET_IO_H_
#define CHIVERAIL_SOCKET_IO_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "types.h"

namespace chiverail {

// Current time of a clock that also advances while the machine is suspended, so that the age of
// leases and of data read from the platform is correct after a resume.
TimePoint BootTimeNow();

// A TCP socket that reads into one buffer shared by all sockets and writes without copying unless
// the send buffer is full, so that an idle connection needs no buffers. Used only by the
// io_context's single thread.
class SocketIo {
 public:
  // Called with the received bytes; an empty view means that the peer has closed its side.
  using OnBytes = std::function<void(std::string_view bytes)>;
  // Called once if the connection fails.
  using OnError = std::function<void(const std::string& reason)>;

  explicit SocketIo(boost::asio::ip::tcp::socket socket);
  ~SocketIo();

  // Starts reading. `owner` is kept alive by each pending wait.
  void Start(std::shared_ptr<void> owner, OnBytes on_bytes, OnError on_error);

  // Sends bytes. Those that the socket does not accept immediately are queued and sent later.
  void Send(std::string_view bytes);

  // Number of queued bytes that the socket has not accepted yet.
  std::size_t unsent() const { return unsent_.size(); }

  // Calls `callback` once when all queued bytes have been sent.
  void OnDrained(std::function<void()> callback) { on_drained_ = std::move(callback); }

  // Pauses and resumes reading, so that a slow receiver applies back pressure to the sender.
  void PauseReading() { paused_ = true; }
  void ResumeReading();
  bool reading_paused() const { return paused_; }

  // Discards queued bytes and closes the socket. The kernel sends a reset if received bytes are
  // unread.
  void Close();

  // Closes the socket once all queued bytes have been sent and the peer has closed its side, or has
  // had kLingerTime for that. What it sends meanwhile is dropped: a socket that is closed with
  // unread bytes is reset, and the peer may lose what it has not read yet.
  void CloseWhenSent();

  // True while the socket waits for the peer to close its side.
  bool lingering() const { return linger_timer_.has_value() && socket_.is_open(); }

  // Has every close reset the connection, also that by the kernel if the process is killed, until
  // CloseWhenSent() has sent all queued bytes.
  void ResetUnlessSent();

  // Closes the socket with a reset, so that the peer cannot take what it received for complete.
  void Reset();

  // True if received bytes wait to be read. Reports an error of the socket like a read.
  bool HasUnread();

  // Number of sent bytes, queued ones included, that the peer has not acknowledged; absent if the
  // connection has failed.
  std::optional<std::size_t> Unacknowledged();

  bool open() const { return socket_.is_open(); }

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  static constexpr Duration kLingerTime = seconds(1);

  void Linger();
  void WaitReadable();
  void ReadAvailable();
  void WaitWritable();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  std::weak_ptr<void> owner_;
  OnBytes on_bytes_;
  OnError on_error_;
  std::function<void()> on_drained_;
  std::string unsent_;
  std::optional<boost::asio::steady_timer> linger_timer_;
  bool paused_ = false;
  bool close_when_sent_ = false;
  bool waiting_to_read_ = false;
  bool waiting_to_write_ = false;
};

// Sets TCP_USER_TIMEOUT and keep-alive probes: limits the time for which sent bytes may stay
// unacknowledged and an unreachable peer may go undetected.
void SetPeerTimeout(boost::asio::ip::tcp::socket& socket, Duration timeout);

// Returns whether the peer has neither sent bytes that have not been read nor ended the connection.
bool IsQuiet(boost::asio::ip::tcp::socket& socket);

// Returns whether the connection is established and the peer has not ended it. Leaves an error of
// the socket to the next read.
bool IsEstablished(boost::asio::ip::tcp::socket& socket);

// Returns the number of written bytes that the peer has not acknowledged, or nullopt if the
// connection has failed, such as by a reset. Unlike a read it also shows a reset that follows the
// end of the received stream. An error is reported once.
std::optional<std::size_t> UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace chiverail

#endif  // CHIVERAIL_SOCKET_IO_H_
