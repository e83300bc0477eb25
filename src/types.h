#ifndef CHIVERAIL_TYPES_H_
#define CHIVERAIL_TYPES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chiverail {

// Monotonic time since an arbitrary start. Classes with decision logic read no clock; they receive
// the time as an argument.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

using InstanceId = std::string;
using DataCentreId = std::string;
using RegionId = std::string;
using WorkspaceId = std::string;
using UpstreamId = std::string;
using ModelId = std::string;
using ChatId = std::string;
using RequestId = std::string;

// Configuration revision; 0 means that no configuration has been applied yet.
using Revision = std::uint64_t;

// One row of the name table of an enum class.
template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

// Returns the name of `value`, or "unknown" if it is not in the table.
template <typename E, std::size_t N>
constexpr std::string_view NameOf(const std::array<EnumName<E>, N>& table, E value) {
  for (const auto& row : table) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "unknown";
}

// Returns the value with the given name, or nothing if the table has no such name.
template <typename E, std::size_t N>
constexpr std::optional<E> ValueOf(const std::array<EnumName<E>, N>& table, std::string_view name) {
  for (const auto& row : table) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

// Priority class of a request, named after a typical workload; a lower value is served first.
enum class RequestClass : std::uint8_t { kInteractive, kReport, kTagging };
inline constexpr std::array<EnumName<RequestClass>, 3> kRequestClassNames{{
    {RequestClass::kInteractive, "interactive"},
    {RequestClass::kReport, "report"},
    {RequestClass::kTagging, "tagging"},
}};

// Whether a refused or failed request ran at an upstream. `kNo` guarantees that it has not run and
// never will.
enum class Ran : std::uint8_t { kNo, kYes, kUnknown };
inline constexpr std::array<EnumName<Ran>, 3> kRanNames{{
    {Ran::kNo, "no"},
    {Ran::kYes, "yes"},
    {Ran::kUnknown, "unknown"},
}};

// Error codes of refused and failed requests, as sent to the caller.
enum class ErrorCode : std::uint8_t {
  kMalformedJson,
  kInvalidField,
  kBodyTooLarge,
  kNotFound,
  kUnknownModel,
  kUnknownWorkspace,
  kUnknownService,
  kMissingIdempotencyKey,
  kIdempotencyKeyReused,
  kDeadlineExpired,
  kNoCapacity,
  kNoUpstream,
  kNotReady,
  kIsolated,
  kStoreUnavailable,
  kInDoubt,
  kInProgress,
  kUpstreamFailed,
  kResumeFailed,
};
inline constexpr std::array<EnumName<ErrorCode>, 19> kErrorCodeNames{{
    {ErrorCode::kMalformedJson, "malformed_json"},
    {ErrorCode::kInvalidField, "invalid_field"},
    {ErrorCode::kBodyTooLarge, "body_too_large"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kUnknownModel, "unknown_model"},
    {ErrorCode::kUnknownWorkspace, "unknown_workspace"},
    {ErrorCode::kUnknownService, "unknown_service"},
    {ErrorCode::kMissingIdempotencyKey, "missing_idempotency_key"},
    {ErrorCode::kIdempotencyKeyReused, "idempotency_key_reused"},
    {ErrorCode::kDeadlineExpired, "deadline_expired"},
    {ErrorCode::kNoCapacity, "no_capacity"},
    {ErrorCode::kNoUpstream, "no_upstream"},
    {ErrorCode::kNotReady, "not_ready"},
    {ErrorCode::kIsolated, "isolated"},
    {ErrorCode::kStoreUnavailable, "store_unavailable"},
    {ErrorCode::kInDoubt, "in_doubt"},
    {ErrorCode::kInProgress, "in_progress"},
    {ErrorCode::kUpstreamFailed, "upstream_failed"},
    {ErrorCode::kResumeFailed, "resume_failed"},
}};

// A refusal or failure: error code, human-readable message, and whether the request ran.
struct RequestError {
  ErrorCode code = ErrorCode::kNoCapacity;
  std::string message;
  Ran ran = Ran::kNo;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TYPES_H_
