#include "directory.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace chiverail {

std::vector<std::string> ChooseAddresses(const std::vector<DirectoryEntry>& entries,
                                         const DirectoryQuery& query) {
  struct Ranked {
    bool remote;
    std::uint64_t rank;
    const DirectoryEntry* entry;
  };
  const std::uint64_t seed = XXH64(query.caller.data(), query.caller.size(), 0);
  std::vector<Ranked> ranked;
  ranked.reserve(entries.size());
  for (const DirectoryEntry& entry : entries) {
    ranked.push_back({entry.data_centre != query.data_centre,
                      XXH64(entry.instance.data(), entry.instance.size(), seed), &entry});
  }
  const std::size_t count = std::min(ranked.size(), kMaxDirectoryAddresses);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](const Ranked& a, const Ranked& b) {
                      return std::tie(a.remote, a.rank) < std::tie(b.remote, b.rank);
                    });
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < count; ++i) {
    addresses.push_back(ranked[i].entry->address);
  }
  return addresses;
}

}  // namespace chiverail
