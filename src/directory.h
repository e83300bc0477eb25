#ifndef CHIVERAIL_DIRECTORY_H_
#define CHIVERAIL_DIRECTORY_H_

#include <string>
#include <vector>

#include "types.h"

namespace chiverail {

// An instance that callers may use.
struct DirectoryEntry {
  InstanceId instance;
  std::string address;  // "ip:port" for callers
  DataCentreId data_centre;
};

// A caller that asks which addresses to use.
struct DirectoryQuery {
  std::string caller;        // identifies the caller, for example its host
  DataCentreId data_centre;  // of the caller; empty if unknown
};

// Maximum number of addresses in a response. Callers read no more than this many.
inline constexpr std::size_t kMaxDirectoryAddresses = 64;

// Returns the addresses for a caller. In a fleet that is larger than a response, each caller gets
// instances of its own data centre first, then others, each in an order of its own: a common order
// would send all callers to the same instances. The order of one caller is the same on all
// instances and over time, because callers close connections to addresses that are missing from a
// new response.
std::vector<std::string> ChooseAddresses(const std::vector<DirectoryEntry>& entries,
                                         const DirectoryQuery& query);

}  // namespace chiverail

#endif  // CHIVERAIL_DIRECTORY_H_
