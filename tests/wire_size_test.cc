#include "wire_size.h"

#include <vector>

#include <catch2/catch.hpp>

#include "peer_codec.h"

using namespace chiverail;

// The bench computes control traffic with WireSize, which must be updated when the encoding
// changes.
TEST_CASE("WireSize equals the encoded size of peer messages") {
  const std::string long_id(200, 'x');
  const LoadDigest digest{"instance01", 1, 2, 3, 4, {{4, 5}, {6, 7}}};
  const std::vector<PeerMessage> messages = {
      DigestBatch{{digest, digest}},
      DigestBatch{std::vector<LoadDigest>(150, digest)},
      SlotRequest{"request", 1, "instance01", "engine01", "workspace", RequestClass::kReport, 9, 2},
      SlotAnswer{long_id, 1, "engine01", true, 2},
      SlotRelease{"request", 1, "instance01", "engine01", true, 120},
      AdmissionHandover{
          "instance01", "engine01", 3, 5, 24, {{"request", 1, "instance02", "workspace"}}},
      TableProbe{"instance01", 8, 3},
      TableProbeAnswer{"instance01", 8, true, 12, 3, false, 3, "{}"},
  };
  for (const PeerMessage& message : messages) {
    CHECK(bench::WireSize::Encoded(message) == EncodePeerMessage(message).size());
  }
}
