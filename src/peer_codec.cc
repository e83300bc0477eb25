#include "peer_codec.h"

#include <stdexcept>
#include <utility>
#include <vector>

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/meta/type_name.hpp>

namespace chiverail {

// CAF finds these overloads by argument-dependent lookup, so they must be in the namespace of the
// messages. The order of the members is the wire format.

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, PoolLoad& x) {
  return f(x.pool, x.outstanding);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, LoadDigest& x) {
  return f(x.instance, x.generation, x.sequence, x.revision, x.epoch, x.pools);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, DigestBatch& x) {
  return f(x.digests);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, SlotRequest& x) {
  return f(x.request, x.attempt, x.holder, x.engine, x.workspace, x.request_class, x.wait_ms,
           x.epoch, x.claim);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, SlotAnswer& x) {
  return f(x.request, x.attempt, x.engine, x.granted, x.epoch);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, SlotRelease& x) {
  return f(x.request, x.attempt, x.holder, x.engine, x.completed, x.first_token_ms);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, HeldSlot& x) {
  return f(x.request, x.attempt, x.holder, x.workspace);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, AdmissionHandover& x) {
  return f(x.from, x.engine, x.epoch, x.revision, x.concurrency_limit, x.slots);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, TableProbe& x) {
  return f(x.from, x.nonce, x.revision);
}

template <typename Inspector>
typename Inspector::result_type inspect(Inspector& f, TableProbeAnswer& x) {
  return f(x.from, x.nonce, x.reached_table, x.reached_ms_ago, x.revision, x.in_force,
           x.requester_evicted, x.head);
}

namespace {

template <std::size_t Index = 0>
std::optional<PeerMessage> DecodeAlternative(std::size_t index, caf::binary_deserializer& source) {
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    if (index != Index) {
      return DecodeAlternative<Index + 1>(index, source);
    }
    std::variant_alternative_t<Index, PeerMessage> message;
    if (source(message) || source.remaining() != 0) {
      return std::nullopt;
    }
    return PeerMessage(std::move(message));
  } else {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  std::vector<char> buffer = {kPeerCodecVersion, static_cast<char>(message.index())};
  caf::binary_serializer sink(nullptr, buffer);
  sink.seek(buffer.size());
  const bool failed = std::visit(
      [&sink](const auto& typed) {
        auto copy = typed;
        return static_cast<bool>(sink(copy));
      },
      message);
  if (failed) {
    throw std::runtime_error("cannot encode a peer message");
  }
  return {buffer.begin(), buffer.end()};
}

std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  constexpr std::size_t kHeaderBytes = 2;
  if (bytes.size() < kHeaderBytes || bytes[0] != kPeerCodecVersion) {
    return std::nullopt;
  }
  caf::binary_deserializer source(nullptr, bytes.data() + kHeaderBytes,
                                  bytes.size() - kHeaderBytes);
  return DecodeAlternative(static_cast<unsigned char>(bytes[1]), source);
}

}  // namespace chiverail
