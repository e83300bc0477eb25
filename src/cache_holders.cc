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
  if (Record(segment, now) && unsent_.size() < kMaxUnsent) {
    unsent_.push_back(segment);
  }
}

bool CacheHolders::OnPeerRecord(const CachedSegment& segment, TimePoint now) {
  return Record(segment, now);
}

// Returns whether the record is new or due to be told again.
bool CacheHolders::Record(const CachedSegment& segment, TimePoint now) {
  auto& holders = holders_of_segment_[segment.segment_hash];
  const auto same = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) {
    return holder.upstream == segment.upstream;
  });
  const bool known = same != holders.end();
  const bool worth_telling = !known || same->told_at + kRefreshPeriod <= now;
  const TimePoint told_at = worth_telling ? now : same->told_at;
  if (known) {
    holders.erase(same);
  }
  holders.insert(holders.begin(), {segment.upstream, now, told_at});
  if (holders.size() > kMaxHolders) {
    holders.pop_back();
  }
  return worth_telling;
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
