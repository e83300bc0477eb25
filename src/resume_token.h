#ifndef CHIVERAIL_RESUME_TOKEN_H_
#define CHIVERAIL_RESUME_TOKEN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types.h"

namespace chiverail {

// Identifies a stream at its engine, so that any instance can resume it. Opaque to callers.
struct ResumeToken {
  UpstreamId upstream;
  RequestId request;
  std::uint32_t attempt = 0;
};

// Encodes a token as printable characters without spaces.
std::string SerializeResumeToken(const ResumeToken& token);

// Decodes a token. Returns nullopt if the text is malformed or its checksum does not match. The
// checksum detects accidental changes only.
std::optional<ResumeToken> ParseResumeToken(std::string_view text);

}  // namespace chiverail

#endif  // CHIVERAIL_RESUME_TOKEN_H_
