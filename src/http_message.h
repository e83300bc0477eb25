#ifndef CHIVERAIL_HTTP_MESSAGE_H_
#define CHIVERAIL_HTTP_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http_types.h"
#include "types.h"

namespace chiverail {

// How the end of a message's body is marked.
enum class BodyFraming : std::uint8_t {
  kLength,   // by its announced length; also used for messages without a body
  kChunked,  // by the last chunk
  kClose,    // by the end of the connection
};
inline constexpr std::array<EnumName<BodyFraming>, 3> kBodyFramingNames{{
    {BodyFraming::kLength, "length"},
    {BodyFraming::kChunked, "chunked"},
    {BodyFraming::kClose, "close"},
}};

// Start line and header fields of one HTTP/1.1 message, as received.
struct MessageHead {
  int status = 0;      // of a response
  std::string reason;  // of a response
  std::string method;  // of a request
  std::string target;  // of a request
  std::vector<HttpHeader> fields;
  bool keep_alive = true;  // the sender keeps the connection open
  bool http_1_0 = false;   // the sender speaks HTTP/1.0, which has no chunked bodies
  BodyFraming framing = BodyFraming::kLength;
  // The declared length; absent for chunked bodies and bodies that end when the connection closes.
  std::optional<std::uint64_t> body_length;

  // Value of the first field called `name`, compared case-insensitively; empty if absent.
  std::string_view Field(std::string_view name) const;

  // Values of all fields called `name`.
  std::vector<std::string_view> Fields(std::string_view name) const;
};

// Compares two header field names case-insensitively.
bool SameFieldName(std::string_view a, std::string_view b);

// Returns whether a body with this value of Transfer-Encoding can be decoded. Only chunked can be,
// and no peer may use another coding unasked (RFC 9112, section 7.4).
bool IsSupportedCoding(std::string_view transfer_encoding);

// True for hop-by-hop fields, which are never forwarded, and for Content-Length, which is generated
// for each hop. `connection` is the value of the message's Connection field, whose tokens name
// further hop-by-hop fields.
bool IsHopByHopField(std::string_view name, std::string_view connection);

enum class MessageKind : std::uint8_t { kRequest, kResponse };

// Incremental parser of one message, based on Beast's parser. The caller passes in received bytes
// and takes out the head and pieces of the body. Rejects messages whose framing is ambiguous and
// responses with a status that HTTP does not define or a transfer coding that is not supported.
class HttpMessageParser {
 public:
  // Messages above `max_head_bytes` or `max_body_bytes` are rejected.
  HttpMessageParser(MessageKind kind, std::size_t max_head_bytes, std::uint64_t max_body_bytes);
  ~HttpMessageParser();
  HttpMessageParser(HttpMessageParser&&) noexcept;
  HttpMessageParser& operator=(HttpMessageParser&&) noexcept;

  // Parses the complete elements at the start of `bytes` and returns the number of bytes consumed.
  // The rest must be passed in again together with the bytes that follow.
  std::size_t Put(std::string_view bytes);

  // Signals that the sender has closed the connection, which ends a body without a length.
  void PutEof();

  // Declares that the message has no body regardless of its fields, as in a response to HEAD.
  void SkipBody();

  bool head_complete() const;
  bool complete() const;
  bool failed() const;
  // True if parsing failed because the head or the body is larger than its limit.
  bool head_too_large() const;
  bool body_too_large() const;

  // Valid only if head_complete().
  const MessageHead& head() const;

  // Returns the body parsed since the last call.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_MESSAGE_H_
