#ifndef CHIVERAIL_HASH_H_
#define CHIVERAIL_HASH_H_

#include <cstdint>
#include <string_view>

namespace chiverail {

// Returns a 64-bit hash of a text. The value is the same on every instance and in every build.
std::uint64_t HashText(std::string_view text);

// Combines the hashes of a key and of a node into the rendezvous hash of the pair. Uses a
// multiply-xorshift finaliser, which is cheaper than hashing both texts again for each pair, and is
// inline because placing one request evaluates several hundred pairs.
inline std::uint64_t CombineHashes(std::uint64_t key, std::uint64_t node) {
  std::uint64_t mixed = key ^ (node * 0x9E3779B97F4A7C15ULL);
  mixed ^= mixed >> 32;
  mixed *= 0xD6E8FEB86659FD93ULL;
  mixed ^= mixed >> 32;
  mixed *= 0xD6E8FEB86659FD93ULL;
  mixed ^= mixed >> 32;
  return mixed;
}

// Returns the weighted rendezvous score of a node for a key; the highest score wins. `weight` must
// be positive; a node's share of the keys is proportional to it.
double RendezvousScore(std::uint64_t key, std::uint64_t node, double weight);

}  // namespace chiverail

#endif  // CHIVERAIL_HASH_H_
