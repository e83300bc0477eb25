#ifndef CHIVERAIL_MESSAGE_JSON_H_
#define CHIVERAIL_MESSAGE_JSON_H_

#include <cstdint>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "types.h"

namespace chiverail {

// Elements of the messages between instances of a fleet. The readers throw MalformedMessage or an
// exception of nlohmann::json.

// Counts and ages above these are not produced by any instance.
inline constexpr std::uint32_t kMaxRequests = 1'000'000;
inline constexpr Duration kMaxAge = seconds(600);

// The message is not one that an instance sends.
struct MalformedMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::int64_t WholeMilliseconds(Duration duration) {
  return std::chrono::ceil<milliseconds>(duration).count();
}

// Reads an age of at most `max`.
inline Duration AgeFrom(const nlohmann::json& value, Duration max = kMaxAge) {
  const auto age = milliseconds(value.get<std::int64_t>());
  if (age < Duration::zero() || age > max) {
    throw MalformedMessage("age out of range");
  }
  return age;
}

inline std::uint32_t CountFrom(const nlohmann::json& value) {
  const auto count = value.get<std::uint64_t>();
  if (count > kMaxRequests) {
    throw MalformedMessage("count out of range");
  }
  return static_cast<std::uint32_t>(count);
}

inline std::uint32_t TagFrom(const nlohmann::json& value) {
  const auto tag = value.get<std::uint64_t>();
  if (tag > UINT32_MAX) {
    throw MalformedMessage("tag out of range");
  }
  return static_cast<std::uint32_t>(tag);
}

// Checks that a flat list holds whole records of `width` elements.
inline const nlohmann::json& Records(const nlohmann::json& list, std::size_t width) {
  if (!list.is_array() || list.size() % width != 0) {
    throw MalformedMessage("incomplete record");
  }
  return list;
}

}  // namespace chiverail

#endif  // CHIVERAIL_MESSAGE_JSON_H_
