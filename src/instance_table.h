#ifndef CHIVERAIL_INSTANCE_TABLE_H_
#define CHIVERAIL_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cache_holders.h"
#include "directory.h"
#include "types.h"

namespace chiverail {

// Number of requests that an instance has in progress at one upstream.
struct UpstreamLoad {
  std::uint32_t tag = 0;  // UpstreamTag of the upstream
  std::uint32_t requests = 0;
};

// State that an instance sends to the others several times a second.
struct InstanceDigest {
  InstanceId instance;
  std::uint64_t start_id = 0;  // differs between two runs of an instance
  std::uint64_t sequence = 0;  // increases within a run, because datagrams may be reordered
  std::string caller_address;  // "ip:port" for callers
  DataCentreId data_centre;
  bool accepting = false;        // it can serve new requests
  bool leaving = false;          // it is shutting down
  bool store_reachable = false;  // its connection to the platform's store works
  std::uint32_t capacity = 0;    // instances with more are preferred as mirror readers
  std::vector<UpstreamLoad> loads;
  std::vector<CachedSegment> cached_segments;  // shared prompt segments sent since the last digest
  std::vector<std::string> instances;          // peer addresses known to it; not in every digest
};

// Last digest received from another instance.
struct PeerInstance {
  InstanceDigest digest;
  std::string peer_address;
  TimePoint received_at{};
};

// Table of the other instances of the fleet, built from the digests that they send. The instances
// do not agree on a common list: each one returns to callers the addresses of those from which it
// has recently received a digest.
class InstanceTable {
 public:
  // An instance from which no digest has arrived for this long is no longer listed to callers.
  // Digests are sent every few hundred milliseconds, so several lost datagrams in a row are
  // tolerated.
  static constexpr Duration kDigestTimeout = milliseconds(2500);

  // Adds a peer address from the settings, the platform or another instance.
  void AddAddress(const std::string& address);

  // Processes a digest received from `address`. Returns false for one that is older than the last
  // one received or belongs to an earlier run.
  bool OnDigest(const InstanceDigest& digest, const std::string& address, TimePoint now);

  // Addresses to which digests are sent. Those without a recent digest are kept for a while, since
  // a network partition may end.
  const std::set<std::string>& addresses() const { return addresses_; }

  // Removes instances and addresses from which no digest has arrived for a long time. An address
  // that never sent one is kept.
  void RemoveSilent(TimePoint now);

  // Returns the other instances from which a digest arrived within kDigestTimeout.
  std::vector<const PeerInstance*> LiveInstances(TimePoint now) const;

  // Returns the instances that callers may use: those with a recent digest that accept requests, or
  // if there are none, all with a recent digest that are not leaving. `self` is the digest of this
  // instance.
  std::vector<DirectoryEntry> CallerEntries(const InstanceDigest& self, TimePoint now) const;

  // Returns the peer address of the mirror reader from which this instance should read the contents
  // of the platform's store, or an empty string if it should read the store itself. A few instances
  // of each data centre read the store and mirror it to the others, so that the number of calls
  // does not grow with the fleet. All instances that receive each other's digests select the same
  // ones.
  std::string MirrorReaderFor(const InstanceDigest& self, TimePoint now) const;

  // Returns the number of requests that the other instances have at each upstream, by tag.
  std::map<std::uint32_t, std::uint32_t> PeerLoads(TimePoint now) const;

 private:
  std::set<std::string> addresses_;
  std::map<std::string, TimePoint> last_digest_from_;  // by address
  std::map<InstanceId, PeerInstance> instances_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_INSTANCE_TABLE_H_
