#ifndef CHIVERAIL_UPSTREAM_RUNS_UPSTREAM_ENTRY_H_
#define CHIVERAIL_UPSTREAM_RUNS_UPSTREAM_ENTRY_H_

#include <cstdint>
#include <string>

#include "types.h"

namespace chiverail {

// Entry of an upstream in the platform's list.
struct UpstreamEntry {
  UpstreamId id;
  std::string service;
  std::string address;  // "ip:port"
  DataCentreId data_centre;
  std::string version;  // of its software; may be empty
  int slots = 1;
  bool draining = false;
  Duration cold_remaining{};    // how long it stays cold, counted from the write of the entry
  std::int64_t started_ms = 0;  // Unix time of its start; distinguishes runs under the same id
  std::uint64_t sequence = 0;   // rises within a run; not all entries reach every instance
};

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_RUNS_UPSTREAM_ENTRY_H_
