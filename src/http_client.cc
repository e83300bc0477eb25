#include "http_client.h"

#include <limits>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "connect_check.h"
#include "http_message.h"
#include "socket_io.h"

namespace chiverail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMaxIdlePerAddress = 32;
constexpr std::size_t kMaxResponseBytes = 64u << 20;
constexpr std::size_t kMaxLineBytes = 1u << 20;
constexpr int kUserTimeoutMs = 10'000;  // limit for unacknowledged data (TCP_USER_TIMEOUT)

using Clock = std::chrono::steady_clock;
using WireRequest = http::request<http::string_body>;

WireRequest ToWire(const std::string& address, const HttpRequest& request) {
  WireRequest wire;
  wire.method_string(request.method);
  wire.target(request.target);
  wire.version(11);
  wire.set(http::field::host, address);
  for (const auto& [name, value] : request.headers) {
    wire.set(name, value);
  }
  wire.body() = request.body;
  wire.prepare_payload();
  return wire;
}

template <typename Message>
std::vector<HttpHeader> CopyHeaders(const Message& message) {
  std::vector<HttpHeader> headers;
  for (const auto& field : message) {
    headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

// Keepalive probes and the TCP user timeout detect connections whose state a middlebox, such as a
// NAT or firewall, has dropped.
void SetSocketOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int idle_seconds = 5;
  const int interval_seconds = 2;
  const int probes = 3;
  const int fd = socket.native_handle();
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof(interval_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
}

}  // namespace

// A TCP connection and the state of the response being read from it.
class HttpConnection {
 public:
  HttpConnection(const asio::any_io_executor& executor, const HttpTimeouts& timeouts)
      : stream_(executor), check_stream_(executor), timeouts_(timeouts) {}

  // Connects to an IP address and port.
  void Connect(const std::string& address, asio::yield_context yield) {
    const auto [host, port] = SplitAddress(address);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error) {
      throw HttpError("not an IP address: " + host, false);
    }
    endpoint_ = tcp::endpoint(ip, port);
    stream_.expires_after(timeouts_.connect);
    stream_.async_connect(endpoint_, yield[error]);
    if (error) {
      throw HttpError("cannot connect to " + address + ": " + error.message(), false);
    }
    SetSocketOptions(stream_.socket());
    opened_ = Clock::now();
  }

  // Writes a request and reads the header of its final response.
  void SendAndReadHeader(const WireRequest& request, asio::yield_context yield) {
    boost::system::error_code error;
    stream_.expires_after(timeouts_.first_byte);
    const std::size_t written = http::async_write(stream_, request, yield[error]);
    if (error) {
      throw HttpError("cannot send the request: " + error.message(), written > 0);
    }
    ReadHeader(yield);
    for (int count = 0; IsInterimStatus(status()); ++count) {
      if (count == kMaxInterimResponses) {
        throw HttpError("no response: too many interim responses", true);
      }
      ReadHeader(yield);
    }
  }

  HttpResponse ReadAll(asio::yield_context yield) {
    boost::system::error_code error;
    const auto deadline = Clock::now() + timeouts_.first_byte;
    stream_.expires_at(deadline);
    http::async_read(stream_, buffer_, *parser_, yield[error]);
    if (error) {
      throw HttpError("response cut: " + error.message(), true);
    }
    if (parser_->need_eof()) {
      CheckPeerAccepts(deadline, yield);
    }
    auto message = parser_->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.headers = CopyHeaders(message);
    response.body = std::move(message.body());
    reusable_ = message.keep_alive();
    return response;
  }

  std::optional<std::string> ReadLine(asio::yield_context yield) {
    while (true) {
      std::string& body = parser_->get().body();
      const std::size_t newline = body.find('\n', consumed_);
      if (newline != std::string::npos) {
        std::string line = body.substr(consumed_, newline - consumed_);
        consumed_ = newline + 1;
        DiscardConsumed(body);
        return line;
      }
      if (parser_->is_done()) {
        return TakeUnterminatedLine(body);
      }
      if (body.size() - consumed_ > kMaxLineBytes) {
        throw HttpError("stream without a line end", true);
      }
      ReadSome(yield);
    }
  }

  int status() const { return static_cast<int>(parser_->get().result_int()); }
  // True if the last response was complete and nothing has been received after it.
  bool Reusable() { return reusable_ && buffer_.size() == 0 && IsQuiet(stream_.socket()); }
  bool Expired() const { return Clock::now() - opened_ > timeouts_.max_pooled_age; }

  // Closes with a TCP reset, so that bytes still queued in the socket are not sent.
  void Close() {
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.close();
    check_stream_.close();
    closed_ = true;
  }

 private:
  void ReadHeader(asio::yield_context yield) {
    parser_ = std::make_unique<http::response_parser<http::string_body>>();
    parser_->body_limit(kMaxResponseBytes);
    boost::system::error_code error;
    http::async_read_header(stream_, buffer_, *parser_, yield[error]);
    if (error) {
      throw HttpError("no response: " + error.message(), true);
    }
    CheckHeader();
  }

  // Throws HttpError if the header is one that Beast accepts and HTTP does not allow.
  void CheckHeader() const {
    if (!IsHttpStatus(status())) {
      throw HttpError("no response: status " + std::to_string(status()), true);
    }
    const auto codings = parser_->get().equal_range(http::field::transfer_encoding);
    for (auto field = codings.first; field != codings.second; ++field) {
      if (!IsSupportedCoding(std::string_view(field->value().data(), field->value().size()))) {
        throw HttpError("no response: unsupported transfer coding", true);
      }
    }
  }

  // A response that only the end of its connection ends is whole if its sender goes on: the
  // connections of a killed process end in the same way, or just before they are reset.
  void CheckPeerAccepts(Clock::time_point deadline, asio::yield_context yield) {
    AwaitRequestTaken(deadline, yield);
    boost::system::error_code error;
    check_stream_.expires_after(timeouts_.connect);
    check_stream_.async_connect(endpoint_, yield[error]);
    if (error) {
      throw HttpError("response cut: its sender has ended: " + error.message(), true);
    }
    check_stream_.close();
  }

  // Returns once the peer has taken the whole request, which it may still read after its response.
  // Throws HttpError if it takes nothing more of it, resets the connection or is late.
  void AwaitRequestTaken(Clock::time_point deadline, asio::yield_context yield) {
    asio::steady_timer timer(stream_.get_executor());
    std::size_t unread = std::numeric_limits<std::size_t>::max();
    while (true) {
      boost::system::error_code ignored;
      timer.expires_after(kProcessEndTime);
      timer.async_wait(yield[ignored]);
      if (closed_) {
        throw HttpError("response cut: the exchange was given up", true);
      }
      const auto still_unread = UnacknowledgedBytes(stream_.socket());
      if (still_unread == std::size_t{0}) {
        return;
      }
      if (!still_unread || *still_unread >= unread || Clock::now() > deadline) {
        throw HttpError("response cut: its sender has not read the request", true);
      }
      unread = *still_unread;
    }
  }

  void ReadSome(asio::yield_context yield) {
    boost::system::error_code error;
    stream_.expires_after(timeouts_.gap);
    http::async_read_some(stream_, buffer_, *parser_, yield[error]);
    if (error) {
      throw HttpError("stream cut: " + error.message(), true);
    }
  }

  // Returns the text after the last newline, such as an error body without a trailing newline. If
  // only the end of the connection marks the end of the response, the line may have been cut off.
  std::optional<std::string> TakeUnterminatedLine(const std::string& body) {
    if (consumed_ == body.size()) {
      return std::nullopt;
    }
    if (parser_->need_eof()) {
      throw HttpError("stream cut inside a line", true);
    }
    std::string rest = body.substr(consumed_);
    consumed_ = body.size();
    return rest;
  }

  // Discards lines that ReadLine has returned, so that a long stream does not accumulate in memory.
  void DiscardConsumed(std::string& body) {
    constexpr std::size_t kDiscardThresholdBytes = 16 * 1024;
    if (consumed_ > kDiscardThresholdBytes) {
      body.erase(0, consumed_);
      consumed_ = 0;
    }
  }

  beast::tcp_stream stream_;
  beast::tcp_stream check_stream_;  // of CheckPeerAccepts()
  tcp::endpoint endpoint_;
  HttpTimeouts timeouts_;
  beast::flat_buffer buffer_;
  std::unique_ptr<http::response_parser<http::string_body>> parser_;
  std::size_t consumed_ = 0;
  bool reusable_ = false;
  bool closed_ = false;
  Clock::time_point opened_;
};

HttpStream::HttpStream(std::unique_ptr<HttpConnection> connection)
    : connection_(std::move(connection)) {}
HttpStream::~HttpStream() = default;
HttpStream::HttpStream(HttpStream&&) noexcept = default;
HttpStream& HttpStream::operator=(HttpStream&&) noexcept = default;

int HttpStream::status() const {
  return connection_->status();
}

std::optional<std::string> HttpStream::ReadLine(asio::yield_context yield) {
  return connection_->ReadLine(yield);
}

void HttpStream::Close() {
  connection_->Close();
}

HttpCall::HttpCall(std::unique_ptr<HttpConnection> connection)
    : connection_(std::move(connection)) {}
HttpCall::~HttpCall() = default;

HttpResponse HttpCall::Send(const std::string& address,
                            const HttpRequest& request,
                            asio::yield_context yield) {
  connection_->SendAndReadHeader(ToWire(address, request), yield);
  return connection_->ReadAll(yield);
}

void HttpCall::Close() {
  connection_->Close();
}

HttpClient::HttpClient(asio::io_context& io, HttpTimeouts timeouts)
    : io_(io), timeouts_(timeouts) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::Connect(const std::string& address,
                                                    asio::yield_context yield) {
  auto connection = std::make_unique<HttpConnection>(io_.get_executor(), timeouts_);
  connection->Connect(address, yield);
  return connection;
}

std::unique_ptr<HttpConnection> HttpClient::TakePooled(const std::string& address) {
  auto& idle = idle_[address];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->Expired() && connection->Reusable()) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::ReturnToPool(const std::string& address,
                              std::unique_ptr<HttpConnection> connection) {
  if (!connection->Reusable() || connection->Expired()) {
    return;
  }
  auto& idle = idle_[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
  }
}

namespace {

// Sends a request on a pooled connection, which the server may close at any time while it is idle.
// Returns false if the exchange failed and the method is idempotent, so that the caller may retry
// on a fresh connection; throws HttpError for other methods. The retry must happen outside the
// catch block, since a coroutine must not switch context inside one.
bool TrySendOnPooled(HttpConnection& connection,
                     const WireRequest& wire,
                     const HttpRequest& request,
                     asio::yield_context yield) {
  const bool idempotent =
      request.method == "GET" || request.method == "PUT" || request.method == "DELETE";
  try {
    connection.SendAndReadHeader(wire, yield);
    return true;
  } catch (const HttpError&) {
    if (!idempotent) {
      throw;
    }
  }
  return false;
}

}  // namespace

HttpResponse HttpClient::Send(const std::string& address,
                              const HttpRequest& request,
                              asio::yield_context yield,
                              ConnectionUse use) {
  const WireRequest wire = ToWire(address, request);
  auto connection = use == ConnectionUse::kPooled ? TakePooled(address) : nullptr;
  if (connection && !TrySendOnPooled(*connection, wire, request, yield)) {
    connection = nullptr;
  }
  if (!connection) {
    connection = Connect(address, yield);
    connection->SendAndReadHeader(wire, yield);
  }
  HttpResponse response = connection->ReadAll(yield);
  ReturnToPool(address, std::move(connection));
  return response;
}

HttpStream HttpClient::Open(const std::string& address,
                            const HttpRequest& request,
                            asio::yield_context yield) {
  auto connection = Connect(address, yield);
  connection->SendAndReadHeader(ToWire(address, request), yield);
  return HttpStream(std::move(connection));
}

std::shared_ptr<HttpCall> HttpClient::Prepare(const std::string& address,
                                              asio::yield_context yield) {
  return std::make_shared<HttpCall>(Connect(address, yield));
}

}  // namespace chiverail
