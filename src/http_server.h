#ifndef CHIVERAIL_HTTP_SERVER_H_
#define CHIVERAIL_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "http_types.h"

namespace chiverail {

// A request received by a server and the interface for its response: either a single Respond, or
// StartStream followed by any number of WriteLine and one EndStream. All of them throw HttpError if
// the caller has disconnected.
class HttpServerExchange {
 public:
  virtual ~HttpServerExchange() = default;

  virtual const HttpRequest& request() const = 0;

  // Sends a complete response with a JSON body.
  virtual void Respond(int status,
                       const std::string& body,
                       const std::vector<HttpHeader>& headers = {}) = 0;

  // Sends a complete response whose body has the given content type.
  virtual void RespondAs(int status,
                         const std::string& body,
                         const std::string& content_type,
                         const std::vector<HttpHeader>& headers) = 0;

  // Sends the header of a response of newline-separated JSON, in chunks unless the caller speaks
  // HTTP/1.0.
  virtual void StartStream(int status) = 0;

  // Sends one line followed by a newline.
  virtual void WriteLine(const std::string& line) = 0;

  // Marks the response as complete.
  virtual void EndStream() = 0;

  // Closes the connection without the final chunk, or with a reset if there are no chunks, so that
  // the caller detects an incomplete response.
  virtual void Abort() = 0;

  // True once a response has been started.
  virtual bool started() const = 0;
};

// Handles one request in the coroutine of its connection.
using HttpHandler = std::function<void(HttpServerExchange&, boost::asio::yield_context)>;

// Limits of a server.
struct HttpServerLimits {
  std::size_t max_body_bytes = 4u << 20;
  Duration idle = milliseconds(60'000);   // connection closed if no request arrives in time
  Duration write = milliseconds(20'000);  // timeout for one write to a caller
};

// HTTP/1.1 server. Each connection is a coroutine on the io_context, which runs on a single thread.
class HttpServer {
 public:
  // Binds to "ip:port"; port 0 selects a free port. Throws std::system_error if the address cannot
  // be bound.
  HttpServer(boost::asio::io_context& io,
             const std::string& address,
             HttpServerLimits limits,
             HttpHandler handler);
  ~HttpServer();

  // Returns the bound address, "ip:port".
  std::string address() const;

  // Returns the number of requests being handled.
  int active() const;

  // Stops accepting connections and closes idle ones. Requests in progress continue.
  void StopAccepting();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_SERVER_H_
