#include "resume_token.h"

#include <array>
#include <charconv>
#include <vector>

#include "hash.h"

namespace chiverail {
namespace {

constexpr char kDigits[] = "0123456789abcdef";
constexpr std::size_t kMaxTokenBytes = 1024;

std::string ToHex(std::string_view text) {
  std::string hex;
  hex.reserve(2 * text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

std::optional<std::string> FromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string text;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned byte = 0;
    const auto parsed = std::from_chars(hex.data() + i, hex.data() + i + 2, byte, 16);
    if (parsed.ec != std::errc() || parsed.ptr != hex.data() + i + 2) {
      return std::nullopt;
    }
    text += static_cast<char>(byte);
  }
  return text;
}

std::string Checksum(std::string_view text) {
  const std::uint64_t hash = HashText(text);
  std::string digits;
  for (int shift = 28; shift >= 0; shift -= 4) {
    digits += kDigits[(hash >> shift) & 15];
  }
  return digits;
}

}  // namespace

std::string SerializeResumeToken(const ResumeToken& token) {
  const std::string text =
      std::to_string(token.attempt) + "." + ToHex(token.upstream) + "." + ToHex(token.request);
  return text + "." + Checksum(text);
}

std::optional<ResumeToken> ParseResumeToken(std::string_view text) {
  const std::size_t last = text.rfind('.');
  if (text.size() > kMaxTokenBytes || last == std::string_view::npos ||
      Checksum(text.substr(0, last)) != text.substr(last + 1)) {
    return std::nullopt;
  }
  const std::size_t first = text.find('.');
  const std::size_t second = text.find('.', first + 1);
  if (second >= last) {
    return std::nullopt;
  }
  ResumeToken token;
  const auto parsed = std::from_chars(text.data(), text.data() + first, token.attempt);
  const auto upstream = FromHex(text.substr(first + 1, second - first - 1));
  const auto request = FromHex(text.substr(second + 1, last - second - 1));
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + first || !upstream || !request) {
    return std::nullopt;
  }
  token.upstream = *upstream;
  token.request = *request;
  return token;
}

}  // namespace chiverail
