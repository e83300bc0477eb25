#ifndef CHIVERAIL_JITTER_H_
#define CHIVERAIL_JITTER_H_

#include <cstdint>

#include "types.h"

namespace chiverail {

// Deterministic pseudo-random numbers (splitmix64) for delays and sampling in decision logic, so
// that a seed reproduces every decision.
class Jitter {
 public:
  explicit Jitter(std::uint64_t seed) : state_(seed) {}

  // Returns the next 64 pseudo-random bits.
  std::uint64_t Next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }

  // Returns a number in [0, bound); 0 for bound 0.
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : Next() % bound; }

  // Returns a delay in [base * 9/10, base * 11/10).
  Duration Around(Duration base) {
    const auto span = static_cast<std::uint64_t>(base.count() / 5);
    return base - base / 10 + Duration(static_cast<std::int64_t>(Below(span)));
  }

  // Returns a delay in [0, limit).
  Duration UpTo(Duration limit) {
    return Duration(static_cast<std::int64_t>(Below(static_cast<std::uint64_t>(limit.count()))));
  }

 private:
  std::uint64_t state_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_JITTER_H_
