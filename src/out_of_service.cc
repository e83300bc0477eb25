#include "out_of_service.h"

#include <utility>

namespace chiverail {

// Changes between two eras include removals that nobody has asked for.
const std::set<DataCentreId>& OutOfService::Apply(const std::vector<Row>& rows,
                                                  bool full,
                                                  std::uint64_t era,
                                                  TimePoint now) {
  const bool restored = std::exchange(known_, true) && era_ < era;
  era_ = era;
  if (restored) {
    kept_ = in_force_;
    kept_until_ = now + kKeepTime;
  }
  if (full) {
    rows_.clear();
  }
  for (const Row& row : rows) {
    if (!row.removed) {
      rows_.insert(row.data_centre);
      continue;
    }
    rows_.erase(row.data_centre);
    if (!restored) {
      kept_.erase(row.data_centre);
    }
  }
  if (kept_until_ <= now) {
    kept_.clear();
  }
  in_force_ = rows_;
  in_force_.insert(kept_.begin(), kept_.end());
  return in_force_;
}

}  // namespace chiverail
