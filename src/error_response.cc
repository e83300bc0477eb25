#include "error_response.h"

#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

nlohmann::json ErrorJson(const RequestError& error) {
  return {{"code", NameOf(kErrorCodeNames, error.code)},
          {"message", error.message},
          {"ran", NameOf(kRanNames, error.ran)}};
}

}  // namespace

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kMalformedJson:
    case ErrorCode::kInvalidField:
    case ErrorCode::kMissingIdempotencyKey:
      return 400;
    case ErrorCode::kNotFound:
    case ErrorCode::kUnknownModel:
    case ErrorCode::kUnknownWorkspace:
    case ErrorCode::kUnknownService:
      return 404;
    case ErrorCode::kBodyTooLarge:
      return 413;
    case ErrorCode::kIdempotencyKeyReused:
    case ErrorCode::kInProgress:
      return 409;
    case ErrorCode::kResumeFailed:
      return 410;
    case ErrorCode::kNoCapacity:
      return 429;
    case ErrorCode::kUpstreamFailed:
    case ErrorCode::kInDoubt:
      return 502;
    case ErrorCode::kDeadlineExpired:
      return 504;
    case ErrorCode::kNoUpstream:
    case ErrorCode::kNotReady:
    case ErrorCode::kIsolated:
    case ErrorCode::kStoreUnavailable:
      return 503;
  }
  return 500;
}

std::string ErrorBody(const RequestError& error) {
  return ErrorJson(error).dump();
}

std::string ErrorBody(const RequestError& error, const std::vector<std::string>& addresses) {
  nlohmann::json body = ErrorJson(error);
  body["addresses"] = addresses;
  return body.dump();
}

}  // namespace chiverail
