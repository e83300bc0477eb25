#ifndef CHIVERAIL_CALLER_CONNECTION_H_
#define CHIVERAIL_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller_limits/caller_account.h"
#include "http_message.h"
#include "socket_io.h"

namespace chiverail {

class HttpListener;

// A complete request from a caller.
struct CallerRequest {
  MessageHead head;
  std::string body;
  TimePoint received;  // time at which the first byte was read
};

// Server side of a caller's connection. Reads requests one after the other, passes each to the
// listener's handler once it is complete, and sends the responses. Detects a disconnect of the
// caller while a request is read or answered.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(HttpListener& listener, boost::asio::ip::tcp::socket socket);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Starts reading the first request.
  void Start();

  // Sends a complete response. `fields` must not contain the fields of the connection or the
  // length; they are added here.
  void Respond(int status,
               std::string_view reason,
               const std::vector<HttpHeader>& fields,
               std::string_view body);

  // Sends the head of a response whose body is passed to SendBody() in pieces. The end of the body
  // is marked as `framing` says; `length` is that of a body with a length.
  void StartResponse(int status,
                     std::string_view reason,
                     const std::vector<HttpHeader>& fields,
                     BodyFraming framing,
                     std::uint64_t length);

  // Sends a piece of the response body.
  void SendBody(std::string_view bytes);

  // Ends the response, then reads the next request unless the connection closes.
  void EndResponse();

  // Resets the connection, so that the caller can't take the response for complete.
  void Abort();

  // Closes the connection within a response of which the caller keeps what was sent. The response
  // does not look complete: the rest of its length or its last chunk is missing. If its framing
  // can't show that, the connection is reset.
  void EndIncomplete();

  // Has the listener's owner refuse a request whose body is still arriving, if it knows that it
  // can't serve it.
  void RefuseEarly();

  // Refuses a request that was received in part, because the process ends. Its connection closes.
  void RefuseUnread(const std::vector<HttpHeader>& fields);

  // Calls `callback` if the caller disconnects before the response has ended. The callback is
  // cleared when the response ends.
  void OnDisconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }

  // Calls `callback` once all sent bytes have been written to the socket.
  void OnDrained(std::function<void()> callback) { io_.OnDrained(std::move(callback)); }

  // IP address of the caller; empty if the connection is closed.
  std::string peer_host();

  // Bytes that are not yet written to the socket.
  std::size_t unsent() const { return io_.unsent(); }

  bool response_started() const { return response_started_; }

  // True while a request is being answered.
  bool busy() const { return busy_; }

  // True while a request is received or answered, or bytes wait to be read or sent.
  bool has_unfinished_request();

  // True until the connection has closed or is idle for long enough to be closed.
  bool in_use();

  // True while a request arrives that has not been passed on.
  bool IsReceiving() const { return parser_.has_value() && !busy_ && !drops_body_; }

  // True if no request arrives or is answered, and nothing waits to be sent.
  bool IsIdle() const { return io_.open() && !busy_ && !parser_ && io_.unsent() == 0; }

  // True if a request is answered whose caller sends more than it may, or does not read its answer.
  bool IsHeldUp() const {
    return busy_ && (io_.reading_paused() || (response_started_ && io_.unsent() > 0));
  }

  // When a request was last received or answered on this connection.
  TimePoint idle_since() const { return idle_since_; }

  // Tells the account what this connection holds. `progress` as in HeldBytes::Set.
  void UpdateHeld(bool progress);

  // Closes the connection because the process holds too much, or for another one: a request that
  // arrives is refused as not run, an answer that its caller does not read is cut.
  void CloseForMemory();

  // Closes the connection unless it has an unfinished request or was in use just now: the caller
  // may be sending its next request.
  void CloseIfIdle();

 private:
  // Phase whose timeout the connection's timer enforces.
  enum class TimeoutPhase : std::uint8_t { kIdle, kReadingHead, kReadingBody, kNone };

  void OnBytes(std::string_view bytes);
  void Parse();
  void BeginRequest(const MessageHead& head);
  bool OfferEarlyRefusal(bool body_comes);
  void DispatchRequest();
  void Refuse(int status);
  void RefuseMalformed();
  bool IsMalformed() const;
  // True if the chunks of a body take many times its size.
  bool HasExcessiveFraming() const;
  std::size_t HeldNow() const;
  void NextRequest();
  void CloseWhenSent();
  bool LooksComplete() const;
  void HandleDisconnect();
  void StartTimeout(TimeoutPhase phase);
  void OnTimer();
  void ArmTimer(Duration time);

  HttpListener& listener_;
  std::shared_ptr<CallerAccount> account_;
  std::shared_ptr<std::size_t> open_count_;  // connections of the listener
  SocketIo io_;
  boost::asio::steady_timer timer_;
  std::optional<HttpMessageParser> parser_;
  std::string read_buffer_;
  std::string body_;
  TimePoint first_byte_at_{};
  TimePoint idle_since_{};
  TimePoint timeout_at_{};
  TimeoutPhase timeout_phase_ = TimeoutPhase::kNone;
  bool timer_pending_ = false;
  bool busy_ = false;
  bool keep_alive_ = true;
  bool closing_ = false;  // the connection closes after the current response
  bool response_started_ = false;
  BodyFraming framing_ = BodyFraming::kLength;  // of the current response
  std::uint64_t length_left_ = 0;               // of a response with a length
  bool head_request_ = false;
  bool http_1_0_ = false;
  bool drops_body_ = false;        // the request was refused while its body was arriving
  std::size_t request_cost_ = 0;   // bytes held for the request that is being answered
  std::size_t received_ = 0;       // bytes of the request that arrives
  std::size_t progress_mark_ = 0;  // of these, at the last progress
  bool ended_ = false;             // no further request is read
  std::size_t unsent_before_ = 0;  // when the timer was last started
  std::function<void()> on_disconnect_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_CALLER_CONNECTION_H_
