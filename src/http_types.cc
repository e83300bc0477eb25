#include "http_types.h"

#include <algorithm>
#include <cctype>

namespace chiverail {
namespace {

bool EqualsIgnoringCase(const std::string& a, const std::string& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string FindHeader(const std::vector<HttpHeader>& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoringCase(key, name)) {
      return value;
    }
  }
  return {};
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  return FindHeader(headers, name);
}

std::string HttpResponse::Header(const std::string& name) const {
  return FindHeader(headers, name);
}

std::string HttpTarget::Parameter(const std::string& name) const {
  for (const auto& [key, value] : parameters) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

HttpTarget ParseTarget(const std::string& target) {
  HttpTarget parsed;
  const std::size_t question = target.find('?');
  parsed.path = target.substr(0, question);
  std::size_t start = question == std::string::npos ? target.size() : question + 1;
  while (start < target.size()) {
    const std::size_t end = std::min(target.find('&', start), target.size());
    const std::string field = target.substr(start, end - start);
    const std::size_t equals = field.find('=');
    const std::string value = equals == std::string::npos ? "" : field.substr(equals + 1);
    parsed.parameters.emplace_back(PercentDecode(field.substr(0, equals)), PercentDecode(value));
    start = end + 1;
  }
  return parsed;
}

std::string PercentEncode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (unsigned char c : text) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded += static_cast<char>(c);
    } else {
      encoded += '%';
      encoded += kHex[c >> 4];
      encoded += kHex[c & 15];
    }
  }
  return encoded;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                         std::isxdigit(static_cast<unsigned char>(text[i + 1])) &&
                         std::isxdigit(static_cast<unsigned char>(text[i + 2]));
    if (escaped) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::pair<std::string, unsigned short> SplitAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const std::string port = colon == std::string::npos ? "" : address.substr(colon + 1);
  const bool numeric =
      !port.empty() && port.size() <= 5 &&
      std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c); });
  if (!numeric || std::stoi(port) > 65535) {
    throw std::invalid_argument("not an ip:port address: " + address);
  }
  return {address.substr(0, colon), static_cast<unsigned short>(std::stoi(port))};
}

}  // namespace chiverail
