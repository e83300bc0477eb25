#ifndef CHIVERAIL_TABLE_ERA_H_
#define CHIVERAIL_TABLE_ERA_H_

#include <algorithm>
#include <cstdint>

#include "table_version.h"

namespace chiverail {

// Number of the platform's table that rises with each restore from an older copy. Versions order
// rows only within one era. A table that states no era is in era 0.
using TableEra = std::uint64_t;

// Epochs and revisions of one era. Fencing numbers hold epoch and revision in 32 bits each, which
// leaves room for 4,096 eras.
inline constexpr unsigned kNumberBits = 20;

// Joins an era and a version of the table into one version that differs from those of other eras
// and is higher than those of earlier ones. An absent row has version 0 in each era.
inline constexpr std::uint64_t VersionInEra(TableEra era, std::uint64_t version) {
  return version == 0 ? 0 : VersionIn(era, version);
}

// Lowest epoch and revision that may be given out in an era. It is higher than all those of earlier
// eras, including the ones that the restore has lost.
inline constexpr std::uint64_t FirstNumberOf(TableEra era) {
  return era << kNumberBits;
}

inline constexpr TableEra EraOfNumber(std::uint64_t number) {
  return number >> kNumberBits;
}

// Epoch or revision that follows `last`, which was read in this era.
inline constexpr std::uint64_t NextNumber(std::uint64_t last, TableEra era) {
  return std::max(last + 1, FirstNumberOf(era));
}

}  // namespace chiverail

#endif  // CHIVERAIL_TABLE_ERA_H_
