#include <catch2/catch.hpp>

#include "peer_datagrams.h"

namespace chiverail {

// Prints the digest sizes from which the gateway's rows in docs/CAPACITY.md are computed. Hidden;
// runs only if selected by name or tag.
TEST_CASE("Sizes of digests are measured", "[.slopes]") {
  struct Fleet {
    int instances;
    int upstreams_with_load;  // per instance
    int cached_segments;      // prompt segments between two digests
  };
  for (const Fleet fleet : {Fleet{13, 10, 3}, Fleet{93, 12, 8}, Fleet{390, 15, 16}}) {
    InstanceDigest digest;
    digest.instance = "front-bern-a-10";
    digest.start_id = 1'770'000'000'000;
    digest.sequence = 100'000;
    digest.caller_address = "10.1.0.40:8227";
    digest.data_centre = "bern-a";
    for (int i = 0; i < fleet.upstreams_with_load; ++i) {
      digest.loads.push_back({4'000'000'000u + static_cast<std::uint32_t>(i), 2});
    }
    for (int i = 0; i < fleet.cached_segments; ++i) {
      digest.cached_segments.push_back({4'000'000'000u, 4'000'000'000u});
    }
    const std::size_t plain = EncodeDigest(digest).size();
    for (int i = 0; i < fleet.instances; ++i) {
      digest.instances.push_back("10.1.0.100:7340");
    }
    WARN(fleet.instances << " instances: " << plain << " bytes, with addresses "
                         << EncodeDigest(digest).size());
  }
}

}  // namespace chiverail
