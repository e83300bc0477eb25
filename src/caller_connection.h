#ifndef CHIVERAIL_CALLER_CONNECTION_H_
#define CHIVERAIL_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http_message.h"
#include "route_table.h"
#include "socket_io.h"

namespace chiverail {

class HttpListener;

// One whole request of a caller.
struct CallerRequest {
  MessageHead head;
  std::string body;
  TimePoint received;  // when its first byte was read
};

// How the body of an answer is framed.
enum class BodyFraming : std::uint8_t { kLength, kChunked };

// A caller's connection: reads one request after the other and sends their answers. The request is
// handed on once it is whole; meanwhile and until the answer has ended the connection watches for
// the caller's leaving.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(HttpListener& listener, boost::asio::ip::tcp::socket socket);

  // Starts to read the first request.
  void Start();

  // Sends a whole answer. `fields` lacks those of the connection and the length.
  void Respond(int status,
               std::string_view reason,
               const std::vector<HttpHeader>& fields,
               std::string_view body);

  // Sends the head of an answer whose body follows in pieces.
  void StartAnswer(int status,
                   std::string_view reason,
                   const std::vector<HttpHeader>& fields,
                   BodyFraming framing,
                   std::uint64_t length);

  // Sends a piece of the body.
  void SendBody(std::string_view bytes);

  // Ends the answer; the next request is read unless the connection closes.
  void EndAnswer();

  // Breaks the connection, so that the caller can't take the answer for complete.
  void Abort();

  // Calls `callback` when the caller leaves before the answer has ended; cleared by the end.
  void OnGone(std::function<void()> callback) { on_gone_ = std::move(callback); }

  // Calls `callback` once the caller has taken all that was sent.
  void OnDrained(std::function<void()> callback) { io_.OnDrained(std::move(callback)); }

  // Bytes that the caller hasn't taken yet.
  std::size_t unsent() const { return io_.unsent(); }

  bool answer_started() const { return answer_started_; }

  // True while a request is being answered.
  bool busy() const { return busy_; }

  // Closes the connection unless a request is being received or answered.
  void CloseIfIdle();

 private:
  // What the connection's timer guards against.
  enum class Waiting : std::uint8_t { kForRequest, kForHead, kForBody, kNothing };

  void OnBytes(std::string_view bytes);
  void Parse();
  void HandOn();
  void RefuseMalformed();
  void NextRequest();
  void Gone();
  void Guard(Waiting waiting);
  void OnTimer();

  HttpListener& listener_;
  SocketIo io_;
  boost::asio::steady_timer timer_;
  std::optional<HttpMessageParser> parser_;
  std::string inbox_;
  std::string body_;
  TimePoint first_byte_at_{};
  TimePoint guard_until_{};
  Waiting waiting_ = Waiting::kNothing;
  bool timer_runs_ = false;
  bool busy_ = false;
  bool keep_alive_ = true;
  bool closing_ = false;  // the answer in progress is the last one
  bool answer_started_ = false;
  bool chunked_ = false;
  bool head_request_ = false;
  std::function<void()> on_gone_;
};

// Accepts callers' connections on one address.
class HttpListener {
 public:
  using Handler = std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>;

  // Binds to "ip:port". Throws boost::system::system_error when the address can't be bound.
  HttpListener(boost::asio::io_context& io, const std::string& address, Handler handler);

  // Limits for requests that start from now on.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  // Every answer from now on tells the caller that the connection closes after it.
  void StartClosing() { closing_ = true; }

  // Stops accepting and closes the connections that are idle.
  void Close();

  // Closes idle connections; busy ones close after their answer once StartClosing was called.
  void CloseIdle();

  // Connections that are receiving or answering a request.
  std::size_t busy() const;

  const CallerLimits& limits() const { return limits_; }
  bool closing() const { return closing_; }
  boost::asio::io_context& io() { return io_; }

 private:
  friend class CallerConnection;
  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_;
  Handler handler_;
  CallerLimits limits_;
  bool closing_ = false;
  std::unordered_map<CallerConnection*, std::weak_ptr<CallerConnection>> connections_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_CALLER_CONNECTION_H_
