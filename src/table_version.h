#ifndef CHIVERAIL_TABLE_VERSION_H_
#define CHIVERAIL_TABLE_VERSION_H_

#include <algorithm>
#include <cstdint>

namespace chiverail {

// Versions of the rows of the platform's tables. The platform takes them from a counter, which goes
// back when the platform is restored from an older copy: a new era begins, in which the same
// numbers are given out again. A version therefore holds the era in its upper bits, so that all
// versions of a later era are newer than those of an earlier one.
inline constexpr int kVersionCounterBits = 44;
inline constexpr std::uint64_t kMaxVersionCounter = (std::uint64_t{1} << kVersionCounterBits) - 1;
inline constexpr std::uint64_t kMaxTableEra = (std::uint64_t{1} << (64 - kVersionCounterBits)) - 1;

// Numbers that are out of range count as the largest ones.
constexpr std::uint64_t VersionIn(std::uint64_t era, std::uint64_t counter) {
  return (std::min(era, kMaxTableEra) << kVersionCounterBits) |
         std::min(counter, kMaxVersionCounter);
}

constexpr std::uint64_t EraOf(std::uint64_t version) {
  return version >> kVersionCounterBits;
}

constexpr std::uint64_t CounterOf(std::uint64_t version) {
  return version & kMaxVersionCounter;
}

}  // namespace chiverail

#endif  // CHIVERAIL_TABLE_VERSION_H_
