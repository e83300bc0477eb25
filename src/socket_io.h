#ifndef CHIVERAIL_SOCKET_IO_H_
#define CHIVERAIL_SOCKET_IO_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "types.h"

namespace chiverail {

// Time that also counts while the machine is suspended, so that leases and the age of what was read
// from the platform are judged right after a wake-up.
TimePoint BootTimeNow();

// A TCP socket that reads into one buffer shared by all sockets and writes without copying when the
// peer keeps up. An idle connection so costs no buffers. Used by the single thread of the
// io_context.
class SocketIo {
 public:
  // Called with bytes that arrived; an empty view means that the peer has closed its side.
  using OnBytes = std::function<void(std::string_view bytes)>;
  // Called once when the connection has failed.
  using OnError = std::function<void(const std::string& reason)>;

  explicit SocketIo(boost::asio::ip::tcp::socket socket);
  ~SocketIo();

  // Starts to read; both callbacks stay until Close. `owner` is kept alive by each pending wait.
  void Start(std::shared_ptr<void> owner, OnBytes on_bytes, OnError on_error);

  // Sends bytes; what the peer does not take at once is kept and sent as it takes more.
  void Send(std::string_view bytes);

  // Bytes that were given to Send and not yet taken by the peer's side.
  std::size_t unsent() const { return unsent_.size(); }

  // Calls `callback` once when nothing is left unsent.
  void OnDrained(std::function<void()> callback) { on_drained_ = std::move(callback); }

  // Reading stops until it is resumed; a slow receiver so slows its sender.
  void PauseReading() { paused_ = true; }
  void ResumeReading();

  // Closes in order; unread bytes would turn this into a reset.
  void Close();

  // Closes once the peer has taken everything that was sent.
  void CloseWhenSent();

  // Closes with a reset, so that the peer cannot take what it has for complete.
  void Reset();

  bool open() const { return socket_.is_open(); }

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
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
  bool paused_ = false;
  bool close_when_sent_ = false;
  bool waiting_to_read_ = false;
  bool waiting_to_write_ = false;
};

// Bounds the time for which sent bytes may stay unacknowledged and a silent peer goes unnoticed.
void SetSilenceLimit(boost::asio::ip::tcp::socket& socket, Duration limit);

}  // namespace chiverail

#endif  // CHIVERAIL_SOCKET_IO_H_
