// CallerConnection: responses and their ends.

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string>

#include "caller_connection.h"
#include "http_listener.h"

namespace chiverail {
namespace {

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
  framing_ = framing;
  length_left_ = framing == BodyFraming::kLength ? length : 0;
  // Requests that the caller has sent already are answered before the connection closes.
  closing_ = !keep_alive_ || framing == BodyFraming::kClose ||
             (listener_.closing() && read_buffer_.empty() && !io_.HasUnread());
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reason.empty() ? DefaultReason(status) : reason).append("\r\n");
  for (const auto& [name, value] : fields) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (framing == BodyFraming::kChunked) {
    head.append("Transfer-Encoding: chunked\r\n");
  } else if (framing == BodyFraming::kLength && status != 204 && status != 304) {
    head.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  }
  if (framing == BodyFraming::kClose) {
    io_.ResetUnlessSent();  // a close within the response would look like its end
  }
  head.append(closing_ ? "Connection: close\r\n\r\n" : "\r\n");
  io_.Send(head);
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (bytes.empty() || head_request_) {
    return;
  }
  if (framing_ != BodyFraming::kChunked) {
    length_left_ -= std::min<std::uint64_t>(length_left_, bytes.size());
    io_.Send(bytes);
  } else {
    std::string chunk = Hex(bytes.size());
    chunk.append("\r\n").append(bytes).append("\r\n");
    io_.Send(chunk);
  }
  if (io_.unsent() > 0) {
    UpdateHeld(false);
  }
}

void CallerConnection::EndResponse() {
  if (framing_ == BodyFraming::kChunked && !head_request_) {
    io_.Send("0\r\n\r\n");
  }
  on_disconnect_ = nullptr;
  busy_ = false;
  request_cost_ = 0;
  received_ = read_buffer_.size();
  progress_mark_ = 0;
  framing_ = BodyFraming::kLength;
  if (closing_ && drops_body_) {
    return;
  }
  if (closing_) {
    CloseWhenSent();
    return;
  }
  NextRequest();
}

void CallerConnection::Abort() {
  on_disconnect_ = nullptr;
  busy_ = false;
  timer_.cancel();
  io_.Reset();
}

// Whether what was sent of a response that has not ended could be taken for the whole response.
bool CallerConnection::LooksComplete() const {
  switch (framing_) {
    case BodyFraming::kLength:
      return head_request_ || length_left_ == 0;
    case BodyFraming::kChunked:
      return head_request_ || http_1_0_;
    case BodyFraming::kClose:
      return true;
  }
  return true;
}

void CallerConnection::EndIncomplete() {
  if (LooksComplete()) {
    Abort();
    return;
  }
  on_disconnect_ = nullptr;
  busy_ = false;
  CloseWhenSent();
}

}  // namespace chiverail
