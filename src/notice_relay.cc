#include "notice_relay.h"

#include <algorithm>
#include <set>

namespace chiverail {

void NoticeRelay::OnNotice(const std::string& source,
                           const TableNotice& notice,
                           bool reported,
                           TimePoint now) {
  for (auto entry = known_.begin(); entry != known_.end();) {
    entry = entry->second.at + kMaxAge <= now ? known_.erase(entry) : std::next(entry);
  }
  Known& known = known_[{notice.table, source}];
  known.notice = notice;
  known.notice.source = source;
  known.at = now;
  known.reported = reported;
}

void NoticeRelay::AddReported(std::vector<TableNotice>& notices, TimePoint now) const {
  std::map<std::string, std::size_t> sources;
  for (const auto& [key, known] : known_) {
    if (known.reported && now < known.at + kMaxAge && sources[key.first]++ < kMaxSources) {
      notices.push_back(known.notice);
      notices.back().age += now - known.at;
    }
  }
}

void NoticeRelay::AddForReporter(std::vector<TableNotice>& notices,
                                 std::uint64_t rank,
                                 TimePoint now) const {
  AddReported(notices, now);
  std::set<std::string> present;
  for (const TableNotice& notice : notices) {
    present.insert(notice.table);
  }
  std::map<std::string, std::vector<const Known*>> missing;
  for (const auto& [key, known] : known_) {
    if (present.count(key.first) == 0 && now < known.at + kMaxAge) {
      missing[key.first].push_back(&known);
    }
  }
  for (const auto& [table, all] : missing) {
    for (std::size_t i = 0; i < std::min(all.size(), kMaxSources); ++i) {
      const Known& known = *all[(rank + i) % all.size()];
      notices.push_back(known.notice);
      notices.back().age += now - known.at;
    }
  }
}

}  // namespace chiverail
