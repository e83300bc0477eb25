#ifndef CHIVERAIL_QUARANTINE_CODEC_H_
#define CHIVERAIL_QUARANTINE_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "prompt_quarantine.h"

namespace chiverail {

// Encodes what instances tell each other of prompt segments that end upstreams.
nlohmann::json Encode(const QuarantineNews& news);

// Decodes it. Throws MalformedMessage or an exception of nlohmann::json.
QuarantineNews QuarantineFrom(const nlohmann::json& list);

}  // namespace chiverail

#endif  // CHIVERAIL_QUARANTINE_CODEC_H_
