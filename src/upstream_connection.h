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
#include "socket_io.h"

namespace chiverail {

// The head of an answer has arrived.
struct AnswerHead {
  MessageHead head;
};
// A piece of the body.
struct AnswerBody {
  std::string bytes;
};
// The answer is whole.
struct AnswerEnd {};
// The exchange failed. `sent` tells whether any byte of the request may have been read.
struct AnswerBroken {
  std::string reason;
  bool sent = false;
};
using AnswerEvent = std::variant<AnswerHead, AnswerBody, AnswerEnd, AnswerBroken>;

// A connection on which requests are sent one after the other. Answers to other requests than the
// one in progress are read over: an upstream may send one late.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Handler = std::function<void(AnswerEvent)>;

  // Tells whether an answer belongs to the request in progress.
  using IsMine = std::function<bool(const MessageHead&)>;

  UpstreamConnection(boost::asio::io_context& io, std::string address);

  // Opens the connection if need be and sends a request. `handler` gets the events in order, until
  // AnswerEnd or AnswerBroken; none after Close.
  void Start(std::string request, bool head_request, IsMine is_mine, Handler handler);

  // Drops the connection; the upstream sees it at once and stops its work.
  void Close();

  // True if the connection may carry another request: the last answer was whole, nothing came after
  // it, and the peer has neither closed nor said anything since.
  bool Reusable();

  // Reading stops while the receiver of the answer is behind.
  void PauseReading() { io_->PauseReading(); }
  void ResumeReading() { io_->ResumeReading(); }

  const std::string& address() const { return address_; }
  TimePoint idle_since() const { return idle_since_; }
  // How long the peer says it keeps an idle connection; absent when it doesn't say.
  std::optional<Duration> keep_alive() const { return keep_alive_; }

  // Longest time to open a connection; upstreams are about a millisecond away.
  static constexpr Duration kConnectTimeout = milliseconds(350);

 private:
  void Connect();
  void OnConnected();
  void SendRequest();
  void OnBytes(std::string_view bytes);
  void Parse();
  void Fail(const std::string& reason);
  void Finish();
  void Emit(AnswerEvent event);
  void Last(AnswerEvent event);

  boost::asio::io_context& asio_;
  std::string address_;
  std::shared_ptr<SocketIo> io_;
  boost::asio::steady_timer connect_timer_;
  std::optional<HttpMessageParser> parser_;
  std::string inbox_;
  std::string request_;
  bool active_ = false;  // a request is in progress
  bool head_request_ = false;
  bool sent_ = false;
  bool head_given_ = false;
  bool skipping_ = false;  // the answer in progress belongs to another request
  bool reusable_ = false;
  TimePoint idle_since_{};
  std::optional<Duration> keep_alive_;
  IsMine is_mine_;
  Handler handler_;
};

// Idle connections to upstreams, by address.
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& io) : io_(io) {}

  // Returns an idle connection that has been idle for at most `max_idle`, or a new one.
  std::shared_ptr<UpstreamConnection> Take(const std::string& address, Duration max_idle);

  // Keeps a connection for later use if it may be used again.
  void GiveBack(std::shared_ptr<UpstreamConnection> connection);

  // Closes the idle connections to an address: one of them has gone silent.
  void Drop(const std::string& address);

  // Closes connections that have been idle for too long.
  void Expire();

 private:
  boost::asio::io_context& io_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_CONNECTION_H_
