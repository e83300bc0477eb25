#ifndef CHIVERAIL_HTTP_CLIENT_H_
#define CHIVERAIL_HTTP_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "http_types.h"

namespace chiverail {

// Timeouts of HTTP exchanges.
struct HttpTimeouts {
  Duration connect = milliseconds(1000);
  Duration first_byte = milliseconds(10'000);  // from the end of the request to the response header
  Duration gap = milliseconds(5'000);          // between two reads of a response body
  Duration max_pooled_age = milliseconds(30'000);  // pooled connections older than this are closed
};

// Returns the longest time that HttpClient::Send takes: an attempt on a pooled connection that gets
// no header, a new connection, and a second attempt whose header and body each take the full time.
inline Duration LongestExchange(const HttpTimeouts& timeouts) {
  return timeouts.connect + 3 * timeouts.first_byte;
}

// Whether an exchange may reuse a pooled connection. Requests that must not be sent twice use a
// fresh one, because a pooled connection may be dead without either end having closed it.
enum class ConnectionUse : std::uint8_t { kPooled, kFresh };

class HttpConnection;

// A response whose body is read line by line. Destroying it before the end closes the connection.
class HttpStream {
 public:
  explicit HttpStream(std::unique_ptr<HttpConnection> connection);
  ~HttpStream();
  HttpStream(HttpStream&&) noexcept;
  HttpStream& operator=(HttpStream&&) noexcept;

  int status() const;

  // Returns the next line without its newline, or nullopt after the complete body. The last line
  // may lack a newline if the body has a length or is chunked. Throws HttpError if the connection
  // breaks, if only its end marks the end of the body and that is inside a line, or if no data
  // arrives within the gap timeout.
  std::optional<std::string> ReadLine(boost::asio::yield_context yield);

  // Closes the connection; a read in progress fails. May be called from another coroutine on the
  // same executor.
  void Close();

 private:
  std::unique_ptr<HttpConnection> connection_;
};

// A single exchange on a dedicated connection. Connecting and sending are separate steps, so that
// the caller can make a final check after connecting and before the first byte is sent.
class HttpCall {
 public:
  explicit HttpCall(std::unique_ptr<HttpConnection> connection);
  ~HttpCall();

  // Sends the request and reads the whole response. Throws HttpError, also if only the end of the
  // connection marks the end of the response and the server accepts no new connection.
  HttpResponse Send(const std::string& address,
                    const HttpRequest& request,
                    boost::asio::yield_context yield);

  // Closes the connection with a TCP reset; a Send in progress fails.
  void Close();

 private:
  std::unique_ptr<HttpConnection> connection_;
};

// HTTP/1.1 client with a connection pool per address. Used only by coroutines of one io_context
// that runs on a single thread, so it needs no locks.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, HttpTimeouts timeouts);
  ~HttpClient();

  // Sends a request and reads the whole response. If an exchange on a pooled connection fails
  // before the response header, an idempotent request is retried once on a fresh one. Throws
  // HttpError, as HttpCall::Send.
  HttpResponse Send(const std::string& address,
                    const HttpRequest& request,
                    boost::asio::yield_context yield,
                    ConnectionUse use = ConnectionUse::kPooled);

  // Sends a request on a fresh connection and reads the response header. Throws HttpError.
  HttpStream Open(const std::string& address,
                  const HttpRequest& request,
                  boost::asio::yield_context yield);

  // Connects to the address without sending a request. Throws HttpError.
  std::shared_ptr<HttpCall> Prepare(const std::string& address, boost::asio::yield_context yield);

 private:
  std::unique_ptr<HttpConnection> Connect(const std::string& address,
                                          boost::asio::yield_context yield);
  std::unique_ptr<HttpConnection> TakePooled(const std::string& address);
  void ReturnToPool(const std::string& address, std::unique_ptr<HttpConnection> connection);

  boost::asio::io_context& io_;
  HttpTimeouts timeouts_;
  std::unordered_map<std::string, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_CLIENT_H_
