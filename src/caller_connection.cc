#include "caller_connection.h"

#include <charconv>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include "log.h"

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Maximum number of bytes buffered for pipelined requests while one is being answered.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

// Timeout for a body after its head: callers with slow links must not hold memory indefinitely.
constexpr Duration kBodyTimeout = seconds(20);

// Delay after a failed accept: without free file descriptors accept would fail again immediately.
constexpr Duration kAcceptRetry = milliseconds(50);

// A stopping process closes a connection that has been idle for this long. A caller that sends its
// next request at once is answered.
constexpr Duration kMinIdleTime = milliseconds(100);

std::string Hex(std::size_t value) {
  char digits[16];
  const auto end = std::to_chars(std::begin(digits), std::end(digits), value, 16).ptr;
  return {digits, end};
}

std::string_view DefaultReason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

}  // namespace

CallerConnection::CallerConnection(HttpListener& listener, tcp::socket socket)
    : listener_(listener), io_(std::move(socket)), timer_(listener.io()) {}

void CallerConnection::Start() {
  SetPeerTimeout(io_.socket(), listener_.limits().idle_timeout);
  io_.Start(
      shared_from_this(), [this](std::string_view bytes) { OnBytes(bytes); },
      [this](const std::string&) { HandleDisconnect(); });
  StartTimeout(TimeoutPhase::kIdle);
}

void CallerConnection::OnBytes(std::string_view bytes) {
  if (bytes.empty()) {
    HandleDisconnect();
    return;
  }
  read_buffer_.append(bytes);
  if (!busy_) {
    Parse();
  } else if (read_buffer_.size() > kMaxPipelinedBytes) {
    io_.PauseReading();
  }
}

void CallerConnection::Parse() {
  if (read_buffer_.empty()) {
    return;
  }
  const CallerLimits& limits = listener_.limits();
  if (!parser_) {
    parser_.emplace(MessageKind::kRequest, limits.max_header_bytes, limits.max_body_bytes);
    first_byte_at_ = BootTimeNow();
    StartTimeout(TimeoutPhase::kReadingHead);
  }
  read_buffer_.erase(0, parser_->Put(read_buffer_));
  if (parser_->failed()) {
    RefuseMalformed();
    return;
  }
  if (!parser_->head_complete()) {
    return;
  }
  if (timeout_phase_ == TimeoutPhase::kReadingHead) {
    StartTimeout(TimeoutPhase::kReadingBody);
    if (SameFieldName(parser_->head().Field("Expect"), "100-continue") && !parser_->complete()) {
      io_.Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  body_.append(parser_->TakeBody());
  if (parser_->complete()) {
    DispatchRequest();
  }
}

void CallerConnection::DispatchRequest() {
  CallerRequest request{parser_->head(), std::move(body_), first_byte_at_};
  body_.clear();
  parser_.reset();
  if (read_buffer_.empty()) {
    read_buffer_.shrink_to_fit();
  }
  busy_ = true;
  response_started_ = false;
  keep_alive_ = request.head.keep_alive;
  head_request_ = request.head.method == "HEAD";
  StartTimeout(TimeoutPhase::kNone);
  try {
    listener_.handler_(shared_from_this(), std::move(request));
  } catch (const std::exception& error) {
    ComponentLogger("http")->error("A request failed: {}.", error.what());
    if (!busy_) {
      return;  // it was answered before
    }
    if (response_started_) {
      Abort();
    } else {
      keep_alive_ = false;
      Respond(500, {}, {}, {});
    }
  }
}

void CallerConnection::RefuseMalformed() {
  int status = 400;
  if (parser_->head_too_large()) {
    status = 431;
  } else if (parser_->body_too_large()) {
    status = 413;
  }
  busy_ = true;
  keep_alive_ = false;
  read_buffer_.clear();
  Respond(status, {}, {}, {});
}

void CallerConnection::Respond(int status,
                               std::string_view reason,
                               const std::vector<HttpHeader>& fields,
                               std::string_view body) {
  StartResponse(status, reason, fields, BodyFraming::kLength, body.size());
  SendBody(body);
  EndResponse();
}

void CallerConnection::StartResponse(int status,
                                     std::string_view reason,
                                     const std::vector<HttpHeader>& fields,
                                     BodyFraming framing,
                                     std::uint64_t length) {
  response_started_ = true;
  chunked_ = framing != BodyFraming::kLength;
  // Requests that the caller has sent already are answered before the connection closes.
  closing_ = !keep_alive_ || (listener_.closing() && read_buffer_.empty() && !io_.HasUnread());
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reason.empty() ? DefaultReason(status) : reason).append("\r\n");
  for (const auto& [name, value] : fields) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (chunked_) {
    head.append("Transfer-Encoding: chunked\r\n");
  } else if (status != 204 && status != 304) {
    head.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  }
  head.append(closing_ ? "Connection: close\r\n\r\n" : "\r\n");
  io_.Send(head);
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (bytes.empty() || head_request_) {
    return;
  }
  if (!chunked_) {
    io_.Send(bytes);
    return;
  }
  std::string chunk = Hex(bytes.size());
  chunk.append("\r\n").append(bytes).append("\r\n");
  io_.Send(chunk);
}

void CallerConnection::EndResponse() {
  if (chunked_ && !head_request_) {
    io_.Send("0\r\n\r\n");
  }
  on_disconnect_ = nullptr;
  busy_ = false;
  chunked_ = false;
  if (closing_) {
    timer_.cancel();
    io_.CloseWhenSent();
    return;
  }
  NextRequest();
}

void CallerConnection::NextRequest() {
  StartTimeout(TimeoutPhase::kIdle);
  io_.ResumeReading();
  if (!read_buffer_.empty()) {
    asio::post(listener_.io(), [self = shared_from_this()] {
      if (!self->busy_ && self->io_.open()) {
        self->Parse();
      }
    });
  }
}

void CallerConnection::Abort() {
  on_disconnect_ = nullptr;
  busy_ = false;
  timer_.cancel();
  io_.Reset();
}

void CallerConnection::EndIncomplete() {
  on_disconnect_ = nullptr;
  busy_ = false;
  timer_.cancel();
  io_.CloseWhenSent();
}

void CallerConnection::RefuseUnread(const std::vector<HttpHeader>& fields) {
  if (!busy_ && parser_) {
    busy_ = true;
    keep_alive_ = false;
    StartTimeout(TimeoutPhase::kNone);
    Respond(503, {}, fields, {});
  }
}

std::string CallerConnection::peer_host() {
  boost::system::error_code error;
  const tcp::endpoint endpoint = io_.socket().remote_endpoint(error);
  return error ? "" : endpoint.address().to_string();
}

bool CallerConnection::has_unfinished_request() {
  return busy_ || parser_ || io_.unsent() > 0 || io_.HasUnread();
}

bool CallerConnection::in_use() {
  return io_.lingering() || has_unfinished_request() ||
         (io_.open() && BootTimeNow() < idle_since_ + kMinIdleTime);
}

// A request whose bytes have arrived is answered, also if none of them was read so far.
void CallerConnection::CloseIfIdle() {
  if (!io_.open() || io_.lingering() || has_unfinished_request()) {
    return;
  }
  const Duration left = idle_since_ + kMinIdleTime - BootTimeNow();
  if (left > Duration::zero()) {
    timeout_at_ = idle_since_ + kMinIdleTime;
    ArmTimer(left);
    return;
  }
  timer_.cancel();
  io_.CloseWhenSent();
}

void CallerConnection::HandleDisconnect() {
  busy_ = false;
  timer_.cancel();
  io_.Close();
  if (on_disconnect_) {
    std::exchange(on_disconnect_, nullptr)();
  }
}

// A pending timer is not restarted: OnTimer() compares the time with timeout_at_ when it fires, so
// that requests cause no timer operations.
void CallerConnection::StartTimeout(TimeoutPhase phase) {
  timeout_phase_ = phase;
  if (phase == TimeoutPhase::kIdle) {
    idle_since_ = BootTimeNow();
  }
  const CallerLimits& limits = listener_.limits();
  Duration timeout = limits.idle_timeout;
  if (phase == TimeoutPhase::kReadingHead) {
    timeout = limits.header_timeout;
  } else if (phase == TimeoutPhase::kReadingBody) {
    timeout = kBodyTimeout;
  }
  timeout_at_ = BootTimeNow() + timeout;
  if (!timer_pending_) {
    OnTimer();
  }
}

void CallerConnection::OnTimer() {
  timer_pending_ = false;
  if (!io_.open()) {
    return;
  }
  const TimePoint now = BootTimeNow();
  if (timeout_phase_ != TimeoutPhase::kNone && timeout_at_ <= now) {
    if (timeout_phase_ == TimeoutPhase::kIdle && io_.HasUnread()) {
      ArmTimer(kMinIdleTime);  // its next request has come in time
    } else if (timeout_phase_ == TimeoutPhase::kIdle) {
      // A caller that does not read its response has had the idle time for it.
      io_.unsent() > 0 ? io_.Reset() : io_.CloseWhenSent();
    } else {
      busy_ = true;
      keep_alive_ = false;
      Respond(408, {}, {}, {});
    }
    return;
  }
  constexpr Duration kBusyCheck = seconds(1);
  ArmTimer(timeout_phase_ == TimeoutPhase::kNone ? kBusyCheck : timeout_at_ - now);
}

void CallerConnection::ArmTimer(Duration time) {
  timer_pending_ = true;
  timer_.expires_after(time);
  timer_.async_wait([self = weak_from_this()](const auto& error) {
    const auto connection = self.lock();
    if (connection && !error) {
      connection->OnTimer();
    }
  });
}

HttpListener::HttpListener(asio::io_context& io, const std::string& address, Handler handler)
    : io_(io), acceptor_(io), accept_retry_timer_(io), handler_(std::move(handler)) {
  const auto [host, port] = SplitAddress(address);
  const tcp::endpoint endpoint(asio::ip::make_address(host), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(1024);
  Accept();
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      ComponentLogger("http")->warn("Cannot accept a connection: {}.", error.message());
      accept_retry_timer_.expires_after(kAcceptRetry);
      accept_retry_timer_.async_wait([this](const auto& cancelled) {
        if (!cancelled) {
          Accept();
        }
      });
      return;
    }
    AddConnection(std::move(socket));
    if (connections_.size() > 64 && connections_.size() % 32 == 0) {
      for (auto entry = connections_.begin(); entry != connections_.end();) {
        entry = entry->second.expired() ? connections_.erase(entry) : ++entry;
      }
    }
    Accept();
  });
}

void HttpListener::AddConnection(tcp::socket socket) {
  const auto connection = std::make_shared<CallerConnection>(*this, std::move(socket));
  connections_[connection.get()] = connection;
  connection->Start();
}

// Closing the acceptor resets the connections in its queue, with the requests on them.
void HttpListener::AcceptQueued() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
}

void HttpListener::Close() {
  if (acceptor_.is_open()) {
    AcceptQueued();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }
  CloseIdle();
}

void HttpListener::CloseIdle() {
  for (const auto& [key, weak] : connections_) {
    if (const auto connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

void HttpListener::RefuseUnread(const std::vector<HttpHeader>& fields) {
  for (const auto& [key, weak] : connections_) {
    if (const auto connection = weak.lock()) {
      connection->RefuseUnread(fields);
    }
  }
}

std::size_t HttpListener::unfinished() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : connections_) {
    const auto connection = weak.lock();
    count += connection && connection->has_unfinished_request() ? 1 : 0;
  }
  return count;
}

std::size_t HttpListener::in_use() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : connections_) {
    const auto connection = weak.lock();
    count += connection && connection->in_use() ? 1 : 0;
  }
  return count;
}

std::size_t HttpListener::busy() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : connections_) {
    const auto connection = weak.lock();
    count += connection && connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace chiverail
