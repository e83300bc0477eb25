#ifndef CHIVERAIL_HTTP_TYPES_H_
#define CHIVERAIL_HTTP_TYPES_H_

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "types.h"

namespace chiverail {

// One header field of a message.
using HttpHeader = std::pair<std::string, std::string>;

// Returns whether HTTP defines the status code: 100 to 599 (RFC 9110, section 15).
constexpr bool IsHttpStatus(int status) {
  return status >= 100 && status <= 599;
}

// Returns whether the status is that of an interim response, which a final one follows.
constexpr bool IsInterimStatus(int status) {
  return status >= 100 && status < 200;
}

// Limit for interim responses to one request.
inline constexpr int kMaxInterimResponses = 16;

// A request with its complete body.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;

  // Value of the first header called `name`, compared case-insensitively; empty if absent.
  std::string Header(const std::string& name) const;
};

// A response with its complete body.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  // Value of the first header called `name`, compared case-insensitively; empty if absent.
  std::string Header(const std::string& name) const;
};

// Path and decoded query parameters of a request target.
struct HttpTarget {
  std::string path;
  std::vector<HttpHeader> parameters;  // names and values

  // Value of the parameter `name`; empty if absent.
  std::string Parameter(const std::string& name) const;
};

// Splits a request target into path and parameters. Percent-encoded octets are decoded in the
// parameters but not in the path.
HttpTarget ParseTarget(const std::string& target);

// Percent-encodes a text for use in a path segment or a parameter.
std::string PercentEncode(const std::string& text);

// Decodes percent-encoded octets; malformed ones are left as they are.
std::string PercentDecode(const std::string& text);

// Splits "ip:port". Throws std::invalid_argument if the port is missing or not within 0 to 65535.
std::pair<std::string, unsigned short> SplitAddress(const std::string& address);

// Thrown when an HTTP exchange fails. `bytes_written` is true if any byte of the request may have
// reached the peer. If so, the request is in doubt; if not, it was not run.
class HttpError : public std::runtime_error {
 public:
  HttpError(const std::string& message, bool bytes_written)
      : std::runtime_error(message), bytes_written_(bytes_written) {}
  bool bytes_written() const { return bytes_written_; }

 private:
  bool bytes_written_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_TYPES_H_
