#include "instance_table.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace chiverail {
namespace {

// An address from which no digest has arrived for this long is removed. Instances write their
// address to the platform at each start, so the address of a replacement is found there.
constexpr Duration kAddressRetention = seconds(90);

// Number of instances of a data centre per mirror reader.
constexpr std::size_t kInstancesPerReader = 16;

// A mirror reader must have sent a digest within this time, because each call to one that is down
// costs an instance the timeout of the call.
constexpr Duration kReaderDigestTimeout = milliseconds(2000);

std::uint64_t ReaderRank(const InstanceId& instance) {
  return XXH64(instance.data(), instance.size(), 0);
}

}  // namespace

void InstanceTable::AddAddress(const std::string& address) {
  addresses_.insert(address);
}

bool InstanceTable::OnDigest(const InstanceDigest& digest,
                             const std::string& address,
                             TimePoint now) {
  addresses_.insert(address);
  last_digest_from_[address] = now;
  for (const std::string& other : digest.instances) {
    addresses_.insert(other);
  }
  PeerInstance& known = instances_[digest.instance];
  const bool same_run = known.digest.start_id == digest.start_id;
  // Start ids come from a clock that may be set back between two runs, so they are compared only
  // while datagrams of the earlier run may still arrive.
  const bool older = same_run ? digest.sequence <= known.digest.sequence
                              : digest.start_id < known.digest.start_id &&
                                    now < known.received_at + kDigestTimeout;
  if (known.received_at != TimePoint{} && older) {
    return false;
  }
  known.digest = digest;
  known.digest.instances.clear();
  known.digest.cached_segments.clear();
  known.peer_address = address;
  known.received_at = now;
  return true;
}

void InstanceTable::RemoveSilent(TimePoint now) {
  for (auto entry = instances_.begin(); entry != instances_.end();) {
    entry = entry->second.received_at + kAddressRetention < now ? instances_.erase(entry) : ++entry;
  }
  for (auto entry = last_digest_from_.begin(); entry != last_digest_from_.end();) {
    if (entry->second + kAddressRetention < now) {
      addresses_.erase(entry->first);
      entry = last_digest_from_.erase(entry);
    } else {
      ++entry;
    }
  }
}

std::vector<const PeerInstance*> InstanceTable::LiveInstances(TimePoint now) const {
  std::vector<const PeerInstance*> live;
  for (const auto& [id, known] : instances_) {
    if (now < known.received_at + kDigestTimeout) {
      live.push_back(&known);
    }
  }
  return live;
}

std::vector<DirectoryEntry> InstanceTable::CallerEntries(const InstanceDigest& self,
                                                         TimePoint now) const {
  std::vector<DirectoryEntry> accepting;
  std::vector<DirectoryEntry> not_leaving;
  const auto add = [&](const InstanceDigest& digest) {
    if (!digest.leaving && !digest.caller_address.empty()) {
      not_leaving.push_back({digest.instance, digest.caller_address, digest.data_centre});
      if (digest.accepting) {
        accepting.push_back(not_leaving.back());
      }
    }
  };
  add(self);
  for (const PeerInstance* known : LiveInstances(now)) {
    add(known->digest);
  }
  return accepting.empty() ? not_leaving : accepting;
}

std::string InstanceTable::MirrorReaderFor(const InstanceDigest& self, TimePoint now) const {
  struct Reader {
    std::uint32_t capacity;
    std::uint64_t rank;
    std::string address;  // empty for this instance
  };
  std::vector<Reader> local;   // in this data centre
  std::vector<Reader> remote;  // in the others
  if (self.store_reachable) {
    local.push_back({self.capacity, ReaderRank(self.instance), {}});
  }
  for (const auto& [id, known] : instances_) {
    if (now < known.received_at + kReaderDigestTimeout && known.digest.accepting &&
        known.digest.store_reachable && !known.digest.leaving) {
      auto& readers = known.digest.data_centre == self.data_centre ? local : remote;
      readers.push_back({known.digest.capacity, ReaderRank(id), known.peer_address});
    }
  }
  // The store may reject all instances of a data centre; then those of the others are used.
  std::vector<Reader>& readers = local.empty() ? remote : local;
  if (readers.empty()) {
    return {};
  }
  std::sort(readers.begin(), readers.end(), [](const Reader& a, const Reader& b) {
    return std::tie(a.capacity, a.rank) > std::tie(b.capacity, b.rank);
  });
  const std::size_t count = std::min(readers.size(), 1 + readers.size() / kInstancesPerReader);
  for (std::size_t i = 0; i < count; ++i) {
    if (readers[i].address.empty()) {
      return {};
    }
  }
  return readers[ReaderRank(self.instance) % count].address;
}

std::map<std::uint32_t, std::uint32_t> InstanceTable::PeerLoads(TimePoint now) const {
  std::map<std::uint32_t, std::uint32_t> loads;
  for (const PeerInstance* known : LiveInstances(now)) {
    for (const UpstreamLoad& load : known->digest.loads) {
      loads[load.tag] += load.requests;
    }
  }
  return loads;
}

}  // namespace chiverail
