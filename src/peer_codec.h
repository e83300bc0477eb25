#ifndef CHIVERAIL_PEER_CODEC_H_
#define CHIVERAIL_PEER_CODEC_H_

#include <optional>
#include <string>

#include "peer_messages.h"

namespace chiverail {

// Version of the encoding; an instance drops messages of another version.
inline constexpr char kPeerCodecVersion = 1;

// Encodes a message for transmission. Throws std::runtime_error if a string is too long to encode.
std::string EncodePeerMessage(const PeerMessage& message);

// Decodes a message. Returns nullopt if the bytes are malformed or truncated, have another version
// or trailing bytes.
std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace chiverail

#endif  // CHIVERAIL_PEER_CODEC_H_
