#ifndef CHIVERAIL_TESTS_FAKE_PLATFORM_H_
#define CHIVERAIL_TESTS_FAKE_PLATFORM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jitter.h"
#include "leaving_marks.h"
#include "table_types.h"
#include "types.h"

namespace chiverail {

// Event queue of a simulation in virtual time. Events run in the order of their times, and in the
// order of insertion at the same time.
class SimEventQueue {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint time, std::function<void()> event) {
    events_.emplace(std::max(time, now_), std::move(event));
  }
  void After(Duration delay, std::function<void()> event) { At(now_ + delay, std::move(event)); }

  // Runs the events up to `end` and calls `after` after each one.
  template <typename After>
  void RunUntil(TimePoint end, After after) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto first = events_.begin();
      now_ = first->first;
      const std::function<void()> event = std::move(first->second);
      events_.erase(first);
      event();
      after();
    }
    now_ = end;
  }
  void RunUntil(TimePoint end) {
    RunUntil(end, [] {});
  }

 private:
  TimePoint now_{};
  std::multimap<TimePoint, std::function<void()>> events_;
};

// In-memory stand-in for the platform's transactional table. Operations take effect immediately; a
// simulation adds the delays.
class FakeTable {
 public:
  bool down = false;          // every operation is refused
  double lost_answers = 0.0;  // share of the writes that take effect but return kUnknown
  Jitter random{1};
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  // Called after each transaction that took effect.
  std::function<void(const TableTransaction&)> on_commit;

  TableReadResult Read(const std::string& key) {
    ++reads;
    if (down) {
      return {};
    }
    const auto found = rows_.find(key);
    TableRow row = found == rows_.end() ? TableRow{key, 0, ""} : found->second;
    row.version = VersionInEra(era_, row.version);
    row.era = era_;
    return {TableStatus::kOk, row};
  }

  TableWriteResult Write(const TableTransaction& transaction) {
    ++writes;
    if (down) {
      return {};
    }
    for (const TableCondition& condition : transaction.conditions) {
      const auto found = rows_.find(condition.key);
      const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
      if (VersionInEra(era_, version) != condition.version) {
        return {TableStatus::kConflict, {}};
      }
    }
    TableWriteResult result{TableStatus::kOk, {}};
    for (const TablePut& put : transaction.puts) {
      rows_[put.key] = {put.key, ++version_, put.value};
      result.versions.push_back({put.key, VersionInEra(era_, version_)});
    }
    for (const std::string& key : transaction.deletes) {
      rows_.erase(key);
    }
    if (on_commit) {
      on_commit(transaction);
    }
    if (static_cast<double>(random.Below(1'000'000)) < lost_answers * 1e6) {
      return {TableStatus::kUnknown, {}};
    }
    return result;
  }

  // Returns the value of a row, or an empty text.
  std::string Value(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? std::string() : found->second.value;
  }
  const std::map<std::string, TableRow>& rows() const { return rows_; }

  // A copy of the table as of some time.
  struct Copy {
    std::uint64_t version = 0;
    std::map<std::string, TableRow> rows;
  };
  Copy Save() const { return {version_, rows_}; }

  // The table comes back from a copy and gives the versions after it out again.
  void Restore(const Copy& copy) {
    ++era_;
    version_ = copy.version;
    rows_ = copy.rows;
  }

 private:
  TableEra era_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, TableRow> rows_;
};

// In-memory stand-in for the platform's object store: immutable objects by name.
class FakeObjects {
 public:
  bool down = false;

  bool Put(const std::string& name, std::string content) {
    if (!down) {
      objects_[name] = std::move(content);
    }
    return !down;
  }
  bool Has(const std::string& name) const { return !down && objects_.count(name) > 0; }
  // Returns the content of an object, or null when the store is down or has none.
  const std::string* Get(const std::string& name) const {
    return Has(name) ? &objects_.at(name) : nullptr;
  }

 private:
  std::map<std::string, std::string> objects_;
};

// In-memory stand-in for the platform's list. It returns a past state with a varying lag, so that a
// later answer may be older than an earlier one.
class FakeList {
 public:
  void Set(TimePoint now, Listing listing) {
    listing.sequence = ++sequence_;
    history_.emplace_back(now, std::move(listing));
  }

  // Returns the newest listing set at or before `now - lag`.
  Listing Get(TimePoint now, Duration lag) const {
    Listing found;
    for (const auto& [time, listing] : history_) {
      if (time <= now - lag) {
        found = listing;
      }
    }
    return found;
  }

 private:
  std::uint64_t sequence_ = 0;
  std::deque<std::pair<TimePoint, Listing>> history_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_FAKE_PLATFORM_H_
