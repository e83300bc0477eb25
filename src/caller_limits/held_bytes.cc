#include "caller_limits/held_bytes.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

// Share of the limit that is free after holders were closed, so that not each further byte closes
// another one.
constexpr double kFreedShare = 0.1;

// Added to the time without progress, so that size decides between callers that all make progress.
constexpr double kBaseSeconds = 0.1;

}  // namespace

void HeldBytes::Set(Holder holder,
                    std::size_t bytes,
                    HolderState state,
                    bool progress,
                    TimePoint now) {
  Entry& entry = entries_[holder];
  total_ += bytes;
  total_ -= entry.bytes;
  entry.bytes = bytes;
  entry.state = state;
  if (progress || entry.progress_at == TimePoint{}) {
    entry.progress_at = now;
  }
}

void HeldBytes::Remove(Holder holder) {
  const auto found = entries_.find(holder);
  if (found != entries_.end()) {
    total_ -= found->second.bytes;
    entries_.erase(found);
  }
}

std::vector<HeldBytes::Holder> HeldBytes::Victims(TimePoint now, std::size_t needed) const {
  const auto freed = static_cast<std::size_t>(static_cast<double>(limit_) * (1 - kFreedShare));
  const std::size_t target = std::min(freed, limit_ - std::min(limit_, needed));
  std::vector<std::pair<double, Holder>> ranked;
  for (const auto& [holder, entry] : entries_) {
    if (entry.state != HolderState::kServing) {
      const double waited = std::chrono::duration<double>(now - entry.progress_at).count();
      ranked.emplace_back(static_cast<double>(entry.bytes) * (waited + kBaseSeconds), holder);
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Holder> victims;
  std::size_t left = total_;
  for (const auto& [rank, holder] : ranked) {
    if (left <= target) {
      break;
    }
    left -= entries_.at(holder).bytes;
    victims.push_back(holder);
  }
  return victims;
}

}  // namespace chiverail
