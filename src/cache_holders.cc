#include "cache_holders.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

// Maximum number of engines recorded for one segment. A segment with much traffic is spread over
// more engines, of which the least recently used are dropped.
constexpr std::size_t kMaxHolders = 8;

// Maximum number of records kept for the next digest; digests are sent several times a second.
constexpr std::size_t kMaxUnsent = 256;

}  // namespace

std::uint32_t CacheHolders::ShortHash(std::uint64_t segment_id_hash) {
  return static_cast<std::uint32_t>(segment_id_hash ^ (segment_id_hash >> 32));
}

void CacheHolders::OnSent(std::uint64_t segment_id_hash, std::uint32_t upstream, TimePoint now) {
  const CachedSegment segment{ShortHash(segment_id_hash), upstream};
  Record(segment, now);
  const bool queued = std::any_of(unsent_.begin(), unsent_.end(), [&](const CachedSegment& other) {
    return other.segment_hash == segment.segment_hash && other.upstream == segment.upstream;
  });
  if (!queued && unsent_.size() < kMaxUnsent) {
    unsent_.push_back(segment);
  }
}

void CacheHolders::OnPeerRecord(const CachedSegment& segment, TimePoint now) {
  Record(segment, now);
}

void CacheHolders::Record(const CachedSegment& segment, TimePoint now) {
  auto& holders = holders_of_segment_[segment.segment_hash];
  const auto same = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) {
    return holder.upstream == segment.upstream;
  });
  if (same != holders.end()) {
    holders.erase(same);
  }
  holders.insert(holders.begin(), {segment.upstream, now});
  if (holders.size() > kMaxHolders) {
    holders.pop_back();
  }
}

std::vector<std::uint32_t> CacheHolders::HoldersOf(std::uint64_t segment_id_hash,
                                                   TimePoint now) const {
  std::vector<std::uint32_t> tags;
  const auto found = holders_of_segment_.find(ShortHash(segment_id_hash));
  if (found != holders_of_segment_.end()) {
    for (const Holder& holder : found->second) {
      if (now < holder.last_used + kRetention) {
        tags.push_back(holder.upstream);
      }
    }
  }
  return tags;
}

std::vector<CachedSegment> CacheHolders::TakeUpdates() {
  return std::exchange(unsent_, {});
}

void CacheHolders::RemoveEngine(std::uint32_t upstream) {
  for (auto& [segment, holders] : holders_of_segment_) {
    holders.erase(
        std::remove_if(holders.begin(), holders.end(),
                       [upstream](const Holder& holder) { return holder.upstream == upstream; }),
        holders.end());
  }
}

void CacheHolders::Expire(TimePoint now) {
  for (auto entry = holders_of_segment_.begin(); entry != holders_of_segment_.end();) {
    const auto& holders = entry->second;
    const bool unused = holders.empty() || holders.front().last_used + kRetention < now;
    entry = unused ? holders_of_segment_.erase(entry) : ++entry;
  }
}

}  // namespace chiverail
