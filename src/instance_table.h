#ifndef CHIVERAIL_INSTANCE_TABLE_H_
#define CHIVERAIL_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "part_holders.h"
#include "types.h"

namespace chiverail {

// Requests that an instance has at one upstream.
struct UpstreamLoad {
  std::uint32_t tag = 0;  // as UpstreamTag gives it
  std::uint32_t requests = 0;
};

// What an instance tells the others several times a second.
struct InstanceDigest {
  InstanceId instance;
  std::uint64_t start_id = 0;  // differs between two runs of an instance
  std::uint64_t sequence = 0;  // grows within a run; datagrams overtake each other
  std::string caller_address;  // "ip:port" for callers
  DataCentreId data_centre;
  bool accepting = false;      // it can serve new requests
  bool leaving = false;        // it is shutting down
  bool reads_store = false;    // its way to the platform's store is sound
  std::uint32_t capacity = 0;  // those with more read the store for others
  std::vector<UpstreamLoad> loads;
  std::vector<PartRead> reads;         // shared prompt parts sent since the last digest
  std::vector<std::string> instances;  // message addresses that it knows, now and then
};

// What is known of another instance.
struct KnownInstance {
  InstanceDigest digest;
  std::string message_address;
  TimePoint heard_at{};
};

// The other instances of the fleet, by the digests that they send. There is no agreement on the
// list: each instance names to callers those that it has heard lately.
class InstanceTable {
 public:
  // An instance that has been silent for this long is no longer named to callers. Digests come
  // every few hundred milliseconds, so several lost datagrams in a row are borne.
  static constexpr Duration kSilenceLimit = milliseconds(2500);

  // Learns a message address from settings, the platform or another instance.
  void AddAddress(const std::string& address);

  // Takes a digest that came from `address`. Returns false for one that is older than what is
  // known or that belongs to an earlier run.
  bool OnDigest(const InstanceDigest& digest, const std::string& address, TimePoint now);

  // Addresses to send digests to; silent ones are kept, since a partition may end.
  const std::set<std::string>& addresses() const { return addresses_; }

  // Forgets addresses other than `listed` that haven't been heard for a long time.
  void ForgetSilent(TimePoint now);

  // Instances heard within the limit, without this one.
  std::vector<const KnownInstance*> Heard(TimePoint now) const;

  // Addresses for callers: instances that were heard lately and accept requests; if none accepts,
  // those that were heard and aren't leaving. `self` is this instance's own digest.
  std::vector<std::string> CallerAddresses(const InstanceDigest& self, TimePoint now) const;

  // Message address of the instance from which this one should learn what the platform's store
  // says, or empty when it should read the store itself. A few instances of each data centre read
  // the store and pass it on, so that calls don't grow with the fleet; all instances that hear each
  // other agree on them.
  std::string ReaderFor(const InstanceDigest& self, TimePoint now) const;

  // Requests that the other instances have at each upstream, by tag.
  std::map<std::uint32_t, std::uint32_t> Loads(TimePoint now) const;

 private:
  std::set<std::string> addresses_;
  std::map<std::string, TimePoint> address_heard_at_;
  std::map<InstanceId, KnownInstance> instances_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_INSTANCE_TABLE_H_
