#ifndef CHIVERAIL_BENCH_RANDOM_H_
#define CHIVERAIL_BENCH_RANDOM_H_

#include <cmath>
#include <cstdint>

namespace chiverail::bench {

// Seeded generator (SplitMix64) with the same sequence on every platform; the distributions of the
// standard library do not guarantee this.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    std::uint64_t mixed = (state_ += 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }

  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

  // Uniform in [0, bound).
  std::uint32_t Below(std::uint32_t bound) {
    return static_cast<std::uint32_t>(Unit() * static_cast<double>(bound));
  }

  double Uniform(double low, double high) { return low + (high - low) * Unit(); }

  double Exponential(double mean) { return -mean * std::log(1.0 - Unit()); }

 private:
  std::uint64_t state_;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_RANDOM_H_
