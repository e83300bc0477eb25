#ifndef CHIVERAIL_UPSTREAM_CONNECTION_H_
#define CHIVERAIL_UPSTREAM_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http_message.h"
#include "mixed_answers.h"
#include "socket_io.h"

namespace chiverail {

// The head of the response was received.
struct ResponseHead {
  MessageHead head;
};
// A piece of the response body was received.
struct ResponseBody {
  std::string bytes;
};
// The response is complete.
struct ResponseEnd {};
// The exchange failed. `sent` is true if the upstream may have read any byte of the request.
struct ExchangeError {
  std::string reason;
  bool sent = false;
};
using ResponseEvent = std::variant<ResponseHead, ResponseBody, ResponseEnd, ExchangeError>;

// Client connection on which requests are sent one after the other. Responses that don't belong to
// the request in progress are skipped, since an upstream may send one late.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Handler = std::function<void(ResponseEvent)>;

  // Returns whether a response belongs to the request in progress.
  using MatchesRequest = std::function<bool(const MessageHead&)>;

  UpstreamConnection(boost::asio::io_context& io, std::string address);

  // Opens the connection if necessary and sends a request. `handler` receives the events in order
  // until ResponseEnd or ExchangeError; it is not called after Close().
  // `request_id` is what a late copy of the answer could be told by; empty if there is nothing.
  void Start(std::string request,
             bool head_request,
             MatchesRequest matches_request,
             Handler handler,
             const std::string& request_id = {});

  // Resets the connection, so that the upstream stops working on the request immediately.
  void Close();

  // True if the connection can be reused: the last response was complete, nothing was received
  // after it and the peer has not closed the connection.
  bool Reusable();

  // True if the upstream has neither ended the connection nor failed to open it.
  bool IsOpen() const { return io_ && io_->open() && IsEstablished(io_->socket()); }

  // True if a response has been received on this connection before the request in progress.
  bool used() const { return responses_ > 0; }

  // True if received bytes wait to be read, since reading is paused or the process was delayed.
  bool HasUnread() const { return io_ && io_->HasUnread(); }

  // Number of bytes of the request that the upstream has not taken, which may be more than 0 after
  // an early response; absent if the connection has failed.
  std::optional<std::size_t> Unacknowledged() { return io_->Unacknowledged(); }

  // Pauses and resumes reading while the receiver of the response is slow. Resuming has no effect
  // on a connection that is not paused: a second read of its end would close it.
  void PauseReading() { io_->PauseReading(); }
  void ResumeReading();

  const std::string& address() const { return address_; }
  TimePoint idle_since() const { return idle_since_; }
  // Idle timeout that the peer announced in its Keep-Alive field; absent if it announced none.
  std::optional<Duration> keep_alive() const { return keep_alive_; }

  // Timeout for opening a connection. The network latency to upstreams is about a millisecond.
  static constexpr Duration kConnectTimeout = milliseconds(350);

 private:
  void Connect();
  void OnConnected();
  void SendRequest();
  void OnBytes(std::string_view bytes);
  void Parse();
  void Fail(const std::string& reason);
  void Finish();
  void Emit(ResponseEvent event);
  void EmitLast(ResponseEvent event);

  boost::asio::io_context& asio_;
  std::string address_;
  std::shared_ptr<SocketIo> io_;
  boost::asio::steady_timer connect_timer_;
  std::optional<HttpMessageParser> parser_;
  std::string read_buffer_;
  std::string request_;
  bool active_ = false;  // a request is in progress
  bool head_request_ = false;
  bool sent_ = false;
  bool head_emitted_ = false;
  int interim_responses_ = 0;
  int responses_ = 0;               // complete ones
  bool skipping_response_ = false;  // the current response belongs to another request
  MixedAnswers mixed_answers_;
  bool reusable_ = false;
  TimePoint idle_since_{};
  std::optional<Duration> keep_alive_;
  MatchesRequest matches_request_;
  Handler handler_;
};

// Pool of idle connections to upstreams, by address. Knows of those in use, too.
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& io) : io_(io) {}

  // Returns an idle connection that has been idle for at most `max_idle`, or a new one.
  std::shared_ptr<UpstreamConnection> Take(const std::string& address, Duration max_idle);

  // Returns a connection to the pool if it can be reused, otherwise closes it.
  void Return(std::shared_ptr<UpstreamConnection> connection);

  // Returns whether any connection to an address is open at its other end.
  bool HasOpen(const std::string& address) const;

  // Closes the idle connections to an address. Called after a connection to it has failed.
  void CloseIdle(const std::string& address);

  // Closes connections whose keep-alive time has passed.
  void Expire();

 private:
  boost::asio::io_context& io_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
  std::unordered_map<std::string, std::vector<std::weak_ptr<UpstreamConnection>>> all_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_CONNECTION_H_
