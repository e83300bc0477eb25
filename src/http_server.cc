#include "http_server.h"

#include <iterator>
#include <set>
#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http_message.h"
#include "log.h"

namespace chiverail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

void ThrowIfFailed(const boost::system::error_code& error) {
  if (error) {
    throw HttpError("caller disconnected: " + error.message(), true);
  }
}

// What a request says about its connection.
struct CallerTerms {
  bool keep_alive = false;
  bool http_1_0 = false;  // the caller doesn't know chunks
};

// A request and its response on a server connection.
class ServerExchange final : public HttpServerExchange {
 public:
  ServerExchange(beast::tcp_stream& stream,
                 HttpRequest request,
                 CallerTerms terms,
                 Duration write_limit,
                 asio::yield_context yield)
      : stream_(stream),
        request_(std::move(request)),
        terms_(terms),
        write_limit_(write_limit),
        yield_(yield) {}

  const HttpRequest& request() const override { return request_; }

  void Respond(int status,
               const std::string& body,
               const std::vector<HttpHeader>& headers) override {
    RespondAs(status, body, "application/json", headers);
  }

  void RespondAs(int status,
                 const std::string& body,
                 const std::string& content_type,
                 const std::vector<HttpHeader>& headers) override {
    started_ = true;
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, content_type);
    for (const auto& [name, value] : headers) {
      response.set(name, value);
    }
    response.keep_alive(terms_.keep_alive);
    response.body() = body;
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    boost::system::error_code error;
    stream_.expires_after(write_limit_);
    if (request_.method == "HEAD") {
      http::async_write_header(stream_, serializer, yield_[error]);
    } else {
      http::async_write(stream_, serializer, yield_[error]);
    }
    ThrowIfFailed(error);
  }

  void StartStream(int status) override {
    started_ = true;
    http::response<http::empty_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/x-ndjson");
    if (terms_.http_1_0) {
      ends_with_connection_ = true;
      terms_.keep_alive = false;
      SetResetOnClose(true);
    }
    response.keep_alive(terms_.keep_alive);
    response.chunked(!terms_.http_1_0);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    stream_.expires_after(write_limit_);
    http::async_write_header(stream_, serializer, yield_[error]);
    ThrowIfFailed(error);
  }

  void WriteLine(const std::string& line) override {
    const std::string text = line + "\n";
    boost::system::error_code error;
    stream_.expires_after(write_limit_);
    if (ends_with_connection_) {
      asio::async_write(stream_, asio::buffer(text), yield_[error]);
    } else {
      asio::async_write(stream_, http::make_chunk(asio::buffer(text)), yield_[error]);
    }
    ThrowIfFailed(error);
  }

  void EndStream() override {
    if (std::exchange(ends_with_connection_, false)) {
      SetResetOnClose(false);
      return;
    }
    boost::system::error_code error;
    stream_.expires_after(write_limit_);
    asio::async_write(stream_, http::make_chunk_last(), yield_[error]);
    ThrowIfFailed(error);
  }

  void Abort() override {
    terms_.keep_alive = false;
    stream_.close();
  }

  bool started() const override { return started_; }
  bool keep_alive() const { return terms_.keep_alive; }

  // True while a regular close would end the stream as if it were complete.
  bool ends_with_connection() const { return ends_with_connection_; }

 private:
  // With a reset on close, the caller sees that the response is incomplete even if this process is
  // killed.
  void SetResetOnClose(bool reset) {
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
  }

  beast::tcp_stream& stream_;
  HttpRequest request_;
  CallerTerms terms_;
  Duration write_limit_;
  asio::yield_context yield_;
  bool started_ = false;
  bool ends_with_connection_ = false;
};

HttpRequest FromWire(http::request<http::string_body>&& wire) {
  HttpRequest request;
  request.method = std::string(wire.method_string());
  request.target = std::string(wire.target());
  for (const auto& field : wire) {
    request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(wire.body());
  return request;
}

// Beast takes a request with another coding than chunked for one without a body.
bool HasKnownEnd(const http::request<http::string_body>& request) {
  const auto codings = request.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return true;
  }
  const auto coding = codings.first->value();
  return std::next(codings.first) == codings.second && request.version() >= 11 &&
         IsSupportedCoding({coding.data(), coding.size()});
}

}  // namespace

// The acceptor and its connections. Connections share ownership, so that the server may be
// destroyed before them.
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context& io, HttpServerLimits limits, HttpHandler handler)
      : io_(io), acceptor_(io), limits_(limits), handler_(std::move(handler)) {}

  void Listen(const std::string& address) {
    const auto [host, port] = SplitAddress(address);
    const tcp::endpoint endpoint(asio::ip::make_address(host), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(1024);
  }

  void Start() {
    asio::spawn(
        io_, [self = shared_from_this()](asio::yield_context yield) { self->AcceptLoop(yield); },
        asio::detached);
  }

  std::string address() const {
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  int active() const { return active_; }

  void StopAccepting() {
    stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (beast::tcp_stream* stream : idle_) {
      stream->cancel();
    }
  }

 private:
  void AcceptLoop(asio::yield_context yield) {
    while (!stopping_) {
      boost::system::error_code error;
      tcp::socket socket(io_);
      acceptor_.async_accept(socket, yield[error]);
      if (stopping_) {
        return;
      }
      if (error) {
        ComponentLogger("http")->warn("Cannot accept a connection: {}.", error.message());
        WaitAfterFailedAccept(yield);
        continue;
      }
      asio::spawn(
          io_,
          [self = shared_from_this(),
           socket = std::move(socket)](asio::yield_context connection_yield) mutable {
            self->ServeConnection(std::move(socket), connection_yield);
          },
          asio::detached);
    }
  }

  // When file descriptors are exhausted, accept fails immediately; without a delay the accept loop
  // would spin.
  void WaitAfterFailedAccept(asio::yield_context yield) {
    asio::steady_timer timer(io_, milliseconds(50));
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
  }

  void ServeConnection(tcp::socket socket, asio::yield_context yield) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!stopping_ && ServeRequest(stream, buffer, yield)) {
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Reads and handles one request; returns whether the connection can be kept alive.
  bool ServeRequest(beast::tcp_stream& stream,
                    beast::flat_buffer& buffer,
                    asio::yield_context yield) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits_.max_body_bytes);
    parser.header_limit(kMaxHeaderBytes);
    stream.expires_after(limits_.idle);
    boost::system::error_code error;
    idle_.insert(&stream);
    http::async_read(stream, buffer, parser, yield[error]);
    idle_.erase(&stream);
    if (error == http::error::body_limit) {
      return Refuse(stream, 413,
                    R"({"code":"body_too_large","message":"the body is over the limit of )" +
                        std::to_string(limits_.max_body_bytes) + R"( bytes","ran":"no"})",
                    yield);
    }
    if (error) {
      return false;
    }
    if (!HasKnownEnd(parser.get())) {
      return Refuse(stream, 400,
                    R"({"code":"unsupported_transfer_coding","message":"the body has )"
                    R"(a transfer coding other than chunked","ran":"no"})",
                    yield);
    }
    const CallerTerms terms{parser.get().keep_alive() && !stopping_, parser.get().version() < 11};
    ServerExchange exchange(stream, FromWire(parser.release()), terms, limits_.write, yield);
    return Handle(exchange, yield);
  }

  bool Handle(ServerExchange& exchange, asio::yield_context yield) {
    ++active_;
    bool reusable = true;
    try {
      handler_(exchange, yield);
    } catch (const HttpError& error) {
      ComponentLogger("http")->debug("Request aborted: {}.", error.what());
      reusable = false;
    } catch (const std::exception& error) {
      ComponentLogger("http")->error("Request handler failed: {}.", error.what());
      reusable = false;
    }
    --active_;
    if (exchange.ends_with_connection()) {
      exchange.Abort();
    }
    return reusable && exchange.keep_alive();
  }

  // Answers a request that is not handled and closes the connection.
  bool Refuse(beast::tcp_stream& stream,
              int status,
              const std::string& body,
              asio::yield_context yield) {
    ServerExchange exchange(stream, {}, {}, limits_.write, yield);
    try {
      exchange.Respond(status, body, {});
    } catch (const HttpError&) {
    }
    DiscardInput(stream, yield);
    return false;
  }

  // Reads and discards the remaining input of a refused caller. Closing the connection with unread
  // input would reset it, and the caller would see a broken pipe instead of the response.
  void DiscardInput(beast::tcp_stream& stream, asio::yield_context yield) {
    constexpr std::size_t kMaxDiscardedBytes = 64u << 20;
    constexpr Duration kLongestDiscard = seconds(5);
    boost::system::error_code error;
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    stream.expires_after(kLongestDiscard);
    std::vector<char> buffer(64 * 1024);
    std::size_t discarded = 0;
    while (discarded < kMaxDiscardedBytes) {
      discarded += stream.async_read_some(asio::buffer(buffer), yield[error]);
      if (error) {
        return;
      }
    }
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  HttpServerLimits limits_;
  HttpHandler handler_;
  std::set<beast::tcp_stream*> idle_;  // connections that are waiting for a request
  int active_ = 0;
  bool stopping_ = false;
};

HttpServer::HttpServer(asio::io_context& io,
                       const std::string& address,
                       HttpServerLimits limits,
                       HttpHandler handler)
    : impl_(std::make_shared<Impl>(io, limits, std::move(handler))) {
  impl_->Listen(address);
  impl_->Start();
}

HttpServer::~HttpServer() {
  impl_->StopAccepting();
}

std::string HttpServer::address() const {
  return impl_->address();
}

int HttpServer::active() const {
  return impl_->active();
}

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

}  // namespace chiverail
