#include "hash.h"

#include <cmath>

#include <xxhash.h>

namespace chiverail {

std::uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// -weight / ln(u) with u uniform in (0, 1) gives each node a share proportional to its weight.
double RendezvousScore(std::uint64_t key, std::uint64_t node, double weight) {
  constexpr double kUnit =
      1.0 / 9007199254740993.0;  // 1 / (2^53 + 1) keeps u strictly inside (0, 1)
  const double uniform = (static_cast<double>(CombineHashes(key, node) >> 11) + 1.0) * kUnit;
  return -weight / std::log(uniform);
}

}  // namespace chiverail
