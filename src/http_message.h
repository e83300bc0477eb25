#ifndef CHIVERAIL_HTTP_MESSAGE_H_
#define CHIVERAIL_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http_types.h"

namespace chiverail {

// Start line and header fields of one HTTP/1.1 message, as received.
struct MessageHead {
  int status = 0;      // of a response
  std::string reason;  // of a response
  std::string method;  // of a request
  std::string target;  // of a request
  std::vector<HttpHeader> fields;
  bool keep_alive = true;                    // the sender keeps the connection open
  std::optional<std::uint64_t> body_length;  // absent for chunked bodies and those that end with
                                             // the connection

  // Value of the first field `name` without regard to case; empty when absent.
  std::string_view Field(std::string_view name) const;
};

// True when two header names are equal without regard to case.
bool SameFieldName(std::string_view a, std::string_view b);

// True for fields that concern one connection only and are never forwarded, and for Content-Length,
// which is written anew. `connection` is the value of the message's Connection field, whose tokens
// name further such fields.
bool IsConnectionField(std::string_view name, std::string_view connection);

// What a parser reads.
enum class MessageKind : std::uint8_t { kRequest, kResponse };

// Incremental parser of one message, over Beast's. Bytes are pushed in; the head and pieces of the
// body come out. Refuses messages whose framing is ambiguous.
class HttpMessageParser {
 public:
  // `max_head_bytes` and `max_body_bytes` bound what is accepted.
  HttpMessageParser(MessageKind kind, std::size_t max_head_bytes, std::uint64_t max_body_bytes);
  ~HttpMessageParser();
  HttpMessageParser(HttpMessageParser&&) noexcept;
  HttpMessageParser& operator=(HttpMessageParser&&) noexcept;

  // Parses as much of `bytes` as forms whole elements and returns how many bytes were used. The
  // rest must be presented again together with what follows.
  std::size_t Put(std::string_view bytes);

  // Tells that the sender has closed the connection, which ends a body without a length.
  void PutEnd();

  // Tells that the message has no body whatever its fields say, as the answer to HEAD.
  void SkipBody();

  bool head_complete() const;
  bool complete() const;
  bool failed() const;
  // True when the failure is a head or a body over its limit.
  bool head_too_large() const;
  bool body_too_large() const;

  // Valid once head_complete().
  const MessageHead& head() const;

  // Returns the body parsed since the last call.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HTTP_MESSAGE_H_
