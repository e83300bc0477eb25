#include "instance_table.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace chiverail {
namespace {

// An address that has been silent for this long is forgotten; instances write their address to the
// platform at each start, so a replacement is learnt anew.
constexpr Duration kForgetAfter = seconds(90);

// One reader of the store serves this many instances of its data centre.
constexpr std::size_t kInstancesPerReader = 16;

// A reader must have been heard this lately: its silence costs its followers a call's time limit.
constexpr Duration kReaderSilenceLimit = milliseconds(2000);

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
  address_heard_at_[address] = now;
  for (const std::string& other : digest.instances) {
    addresses_.insert(other);
  }
  KnownInstance& known = instances_[digest.instance];
  const bool same_run = known.digest.start_id == digest.start_id;
  // Start ids come from a clock that may be set back between two runs, so they only decide while
  // datagrams of the earlier run can still be on their way.
  const bool older =
      same_run ? digest.sequence <= known.digest.sequence
               : digest.start_id < known.digest.start_id && now < known.heard_at + kSilenceLimit;
  if (known.heard_at != TimePoint{} && older) {
    return false;
  }
  known.digest = digest;
  known.digest.instances.clear();
  known.digest.reads.clear();
  known.message_address = address;
  known.heard_at = now;
  return true;
}

void InstanceTable::ForgetSilent(TimePoint now) {
  for (auto entry = instances_.begin(); entry != instances_.end();) {
    entry = entry->second.heard_at + kForgetAfter < now ? instances_.erase(entry) : ++entry;
  }
  for (auto entry = address_heard_at_.begin(); entry != address_heard_at_.end();) {
    if (entry->second + kForgetAfter < now) {
      addresses_.erase(entry->first);
      entry = address_heard_at_.erase(entry);
    } else {
      ++entry;
    }
  }
}

std::vector<const KnownInstance*> InstanceTable::Heard(TimePoint now) const {
  std::vector<const KnownInstance*> heard;
  for (const auto& [id, known] : instances_) {
    if (now < known.heard_at + kSilenceLimit) {
      heard.push_back(&known);
    }
  }
  return heard;
}

std::vector<std::string> InstanceTable::CallerAddresses(const InstanceDigest& self,
                                                        TimePoint now) const {
  std::vector<std::string> accepting;
  std::vector<std::string> staying;
  const auto add = [&](const InstanceDigest& digest) {
    if (!digest.leaving && !digest.caller_address.empty()) {
      staying.push_back(digest.caller_address);
      if (digest.accepting) {
        accepting.push_back(digest.caller_address);
      }
    }
  };
  add(self);
  for (const KnownInstance* known : Heard(now)) {
    add(known->digest);
  }
  return accepting.empty() ? staying : accepting;
}

std::string InstanceTable::ReaderFor(const InstanceDigest& self, TimePoint now) const {
  struct Reader {
    std::uint32_t capacity;
    std::uint64_t rank;
    std::string address;  // empty for this instance
  };
  std::vector<Reader> near;
  std::vector<Reader> far;
  if (self.reads_store) {
    near.push_back({self.capacity, ReaderRank(self.instance), {}});
  }
  for (const auto& [id, known] : instances_) {
    if (now < known.heard_at + kReaderSilenceLimit && known.digest.accepting &&
        known.digest.reads_store && !known.digest.leaving) {
      auto& readers = known.digest.data_centre == self.data_centre ? near : far;
      readers.push_back({known.digest.capacity, ReaderRank(id), known.message_address});
    }
  }
  // The store may turn away a whole data centre.
  std::vector<Reader>& readers = near.empty() ? far : near;
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

std::map<std::uint32_t, std::uint32_t> InstanceTable::Loads(TimePoint now) const {
  std::map<std::uint32_t, std::uint32_t> loads;
  for (const KnownInstance* known : Heard(now)) {
    for (const UpstreamLoad& load : known->digest.loads) {
      loads[load.tag] += load.requests;
    }
  }
  return loads;
}

}  // namespace chiverail
