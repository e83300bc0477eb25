#ifndef CHIVERAIL_BENCH_WIRE_SIZE_H_
#define CHIVERAIL_BENCH_WIRE_SIZE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "peer_messages.h"

namespace chiverail::bench {

// Bytes of the TCP/IP headers and the message framing of one peer message.
inline constexpr std::size_t kFramingBytes = 66;

// Computes the encoded size of a peer message (fixed-size integers, strings and lists with a length
// prefix of one byte up to 127, two header bytes) without depending on the codec's libraries. A
// test compares the sizes with those of the codec.
class WireSize {
 public:
  static std::size_t Encoded(const PeerMessage& message) {
    return 2 + std::visit([](const auto& typed) { return Of(typed); }, message);
  }

 private:
  static std::size_t Length(std::size_t size) { return size < 128 ? 1 : size < 16384 ? 2 : 3; }
  static std::size_t Of(const std::string& text) { return Length(text.size()) + text.size(); }
  static std::size_t Of(const LoadDigest& x) {
    return Of(x.instance) + 32 + Length(x.pools.size()) + 12 * x.pools.size();
  }
  static std::size_t Of(const DigestBatch& x) {
    std::size_t bytes = Length(x.digests.size());
    for (const LoadDigest& digest : x.digests) {
      bytes += Of(digest);
    }
    return bytes;
  }
  static std::size_t Of(const SlotRequest& x) {
    return Of(x.request) + Of(x.holder) + Of(x.engine) + Of(x.workspace) + 4 + 1 + 4 + 8 + 1;
  }
  static std::size_t Of(const SlotAnswer& x) { return Of(x.request) + Of(x.engine) + 4 + 1 + 8; }
  static std::size_t Of(const SlotRelease& x) {
    return Of(x.request) + Of(x.holder) + Of(x.engine) + 4 + 1 + 4;
  }
  static std::size_t Of(const AdmissionHandover& x) {
    std::size_t bytes = Of(x.from) + Of(x.engine) + 8 + 8 + 4 + Length(x.slots.size());
    for (const HeldSlot& slot : x.slots) {
      bytes += Of(slot.request) + 4 + Of(slot.holder) + Of(slot.workspace);
    }
    return bytes;
  }
  static std::size_t Of(const TableProbe& x) { return Of(x.from) + 16; }
  static std::size_t Of(const TableProbeAnswer& x) {
    return Of(x.from) + 8 + 1 + 4 + 8 + 8 + 1 + Of(x.head);
  }
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_WIRE_SIZE_H_
