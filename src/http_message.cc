#include "http_message.h"

#include <array>
#include <utility>
#include <variant>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace chiverail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Stores the output of Beast's parser in a MessageHead and a body. Beast's own field container is
// not used, since it allocates memory for each field.
template <bool is_request>
class Collector final : public http::basic_parser<is_request> {
 public:
  MessageHead head;
  std::string body;

 private:
  using View = beast::string_view;
  using Error = beast::error_code;

  static std::string Text(View view) { return {view.data(), view.size()}; }

  void on_request_impl(http::verb, View method, View target, int version, Error&) override {
    head.method = Text(method);
    head.target = Text(target);
    head.http_1_0 = version < 11;
  }
  // Beast accepts every code of three digits.
  void on_response_impl(int code, View reason, int version, Error& error) override {
    if (!IsHttpStatus(code)) {
      error = http::error::bad_status;
      return;
    }
    head.status = code;
    head.reason = Text(reason);
    head.http_1_0 = version < 11;
  }
  // Trailers are dropped: a field after the body must not count like one before it.
  void on_field_impl(http::field field, View name, View value, Error& error) override {
    if (header_done_) {
      return;
    }
    // Beast takes a request with another coding for one without a body, and the bytes of its body
    // for the next request (RFC 9112, 6.3 and 6.1).
    if (field == http::field::transfer_encoding) {
      const bool repeated = std::exchange(coded_, true);
      if (repeated || (is_request && head.http_1_0) ||
          !IsSupportedCoding({value.data(), value.size()})) {
        error = http::error::bad_transfer_encoding;
        return;
      }
    }
    head.fields.emplace_back(Text(name), Text(value));
  }
  void on_header_impl(Error&) override { header_done_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
  std::size_t on_body_impl(View bytes, Error&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Error&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(Error&) override {}

  bool header_done_ = false;
  bool coded_ = false;  // a transfer coding was stated
};

template <typename Parser>
BodyFraming FramingOf(const Parser& parser) {
  if (parser.chunked()) {
    return BodyFraming::kChunked;
  }
  return parser.need_eof() ? BodyFraming::kClose : BodyFraming::kLength;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

class HttpMessageParser::Impl {
 public:
  using Parser = std::variant<Collector<true>, Collector<false>>;

  Impl(MessageKind kind, std::size_t max_head_bytes, std::uint64_t max_body_bytes) {
    if (kind == MessageKind::kResponse) {
      parser.emplace<Collector<false>>();
    }
    std::visit(
        [&](auto& collector) {
          collector.eager(true);
          collector.header_limit(static_cast<std::uint32_t>(max_head_bytes));
          collector.body_limit(max_body_bytes);
        },
        parser);
  }

  Parser parser;
  beast::error_code error;
};

std::string_view MessageHead::Field(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (SameFieldName(field, name)) {
      return value;
    }
  }
  return {};
}

std::vector<std::string_view> MessageHead::Fields(std::string_view name) const {
  std::vector<std::string_view> values;
  for (const auto& [field, value] : fields) {
    if (SameFieldName(field, name)) {
      values.push_back(value);
    }
  }
  return values;
}

bool SameFieldName(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool IsSupportedCoding(std::string_view transfer_encoding) {
  return beast::iequals({transfer_encoding.data(), transfer_encoding.size()}, "chunked");
}

bool IsHopByHopField(std::string_view name, std::string_view connection) {
  static constexpr std::array<std::string_view, 10> kFields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Content-Length"};
  for (const std::string_view field : kFields) {
    if (SameFieldName(name, field)) {
      return true;
    }
  }
  while (!connection.empty()) {
    const std::size_t comma = connection.find(',');
    if (SameFieldName(Trim(connection.substr(0, comma)), name)) {
      return true;
    }
    connection.remove_prefix(comma == std::string_view::npos ? connection.size() : comma + 1);
  }
  return false;
}

HttpMessageParser::HttpMessageParser(MessageKind kind,
                                     std::size_t max_head_bytes,
                                     std::uint64_t max_body_bytes)
    : impl_(std::make_unique<Impl>(kind, max_head_bytes, max_body_bytes)) {}
HttpMessageParser::~HttpMessageParser() = default;
HttpMessageParser::HttpMessageParser(HttpMessageParser&&) noexcept = default;
HttpMessageParser& HttpMessageParser::operator=(HttpMessageParser&&) noexcept = default;

std::size_t HttpMessageParser::Put(std::string_view bytes) {
  if (failed() || complete()) {
    return 0;
  }
  return std::visit(
      [&](auto& collector) {
        beast::error_code error;
        const std::size_t used = collector.put(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != http::error::need_more) {
          impl_->error = error;
        }
        if (collector.is_header_done()) {
          collector.head.keep_alive = collector.keep_alive();
          collector.head.framing = FramingOf(collector);
          // Beast announces the body only with its first bytes, and a head may arrive alone.
          if (const auto length = collector.content_length()) {
            collector.head.body_length = *length;
          }
        }
        return used;
      },
      impl_->parser);
}

void HttpMessageParser::PutEof() {
  std::visit(
      [&](auto& collector) {
        if (!collector.is_done() && !impl_->error) {
          collector.put_eof(impl_->error);
        }
      },
      impl_->parser);
}

void HttpMessageParser::SkipBody() {
  std::visit([](auto& collector) { collector.skip(true); }, impl_->parser);
}

bool HttpMessageParser::head_complete() const {
  return std::visit([](const auto& collector) { return collector.is_header_done(); },
                    impl_->parser);
}

bool HttpMessageParser::complete() const {
  return std::visit([](const auto& collector) { return collector.is_done(); }, impl_->parser);
}

bool HttpMessageParser::failed() const {
  return static_cast<bool>(impl_->error);
}

bool HttpMessageParser::head_too_large() const {
  return impl_->error == http::error::header_limit;
}

bool HttpMessageParser::body_too_large() const {
  return impl_->error == http::error::body_limit;
}

const MessageHead& HttpMessageParser::head() const {
  return std::visit([](const auto& collector) -> const MessageHead& { return collector.head; },
                    impl_->parser);
}

std::string HttpMessageParser::TakeBody() {
  return std::visit(
      [](auto& collector) {
        std::string taken;
        taken.swap(collector.body);
        return taken;
      },
      impl_->parser);
}

}  // namespace chiverail
