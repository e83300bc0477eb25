#include "part_holders.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

// Engines remembered for one part; a part that draws much traffic is spread over more, and then the
// ones used least lately drop out.
constexpr std::size_t kMaxHolders = 8;

// Sends that wait for the next digest; a digest comes several times a second.
constexpr std::size_t kMaxNews = 256;

}  // namespace

std::uint32_t PartHolders::Short(std::uint64_t affinity) {
  return static_cast<std::uint32_t>(affinity ^ (affinity >> 32));
}

void PartHolders::OnSent(std::uint64_t affinity, std::uint32_t upstream, TimePoint now) {
  const PartRead read{Short(affinity), upstream};
  Note(read, now);
  const bool known = std::any_of(news_.begin(), news_.end(), [&](const PartRead& other) {
    return other.part == read.part && other.upstream == read.upstream;
  });
  if (!known && news_.size() < kMaxNews) {
    news_.push_back(read);
  }
}

void PartHolders::OnHeard(const PartRead& read, TimePoint now) {
  Note(read, now);
}

void PartHolders::Note(const PartRead& read, TimePoint now) {
  auto& holders = parts_[read.part];
  const auto same = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) {
    return holder.upstream == read.upstream;
  });
  if (same != holders.end()) {
    holders.erase(same);
  }
  holders.insert(holders.begin(), {read.upstream, now});
  if (holders.size() > kMaxHolders) {
    holders.pop_back();
  }
}

std::vector<std::uint32_t> PartHolders::Holders(std::uint64_t affinity, TimePoint now) const {
  std::vector<std::uint32_t> tags;
  const auto found = parts_.find(Short(affinity));
  if (found != parts_.end()) {
    for (const Holder& holder : found->second) {
      if (now < holder.used + kHoldTime) {
        tags.push_back(holder.upstream);
      }
    }
  }
  return tags;
}

std::vector<PartRead> PartHolders::TakeNews() {
  return std::exchange(news_, {});
}

void PartHolders::Forget(std::uint32_t upstream) {
  for (auto& [part, holders] : parts_) {
    holders.erase(
        std::remove_if(holders.begin(), holders.end(),
                       [upstream](const Holder& holder) { return holder.upstream == upstream; }),
        holders.end());
  }
}

void PartHolders::Expire(TimePoint now) {
  for (auto entry = parts_.begin(); entry != parts_.end();) {
    const auto& holders = entry->second;
    const bool unused = holders.empty() || holders.front().used + kHoldTime < now;
    entry = unused ? parts_.erase(entry) : ++entry;
  }
}

}  // namespace chiverail
