#ifndef CHIVERAIL_TABLE_FOLLOWER_H_
#define CHIVERAIL_TABLE_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet_exchange.h"
#include "source_choice.h"
#include "types.h"

namespace chiverail {

// How often a table is read.
struct ReadTiming {
  Duration hold{};          // maximum time for which the store holds a response back
  Duration pause{};         // between a response and the next call
  Duration change_pause{};  // minimum pause after a response with changes; at most `hold`
  Duration max_age{};       // rows of an instance that are older are not used
};

// A call to read a table.
struct TableRead {
  std::string source;    // peer address of an instance, or SourceChoice::kStore
  bool listing = false;  // the whole table instead of the changes since the last read
  Duration hold{};       // time for which the source may hold its response back
  Duration timeout{};    // the call has failed if its response has not begun by then
};

// How a read ended.
enum class ReadResult : std::uint8_t {
  kRows,         // rows, or that there are no new ones
  kMorePages,    // a page of a listing that goes on
  kRefused,      // the source can't serve the table now, or its rows are too old
  kSilent,       // no response
  kHistoryGone,  // the changes since the last read are no longer available
};

// Decides when one table of the platform's store is read, and from where. Instances that read the
// store send notices of their rows: without changes a notice confirms the rows of this instance,
// with changes these are read. Does no I/O.
class TableFollower {
 public:
  TableFollower(ReadTiming timing, std::uint64_t seed) : timing_(timing), choice_(seed) {}

  // Starts with a listing.
  void Start(TimePoint now) { next_at_ = now; }

  // Returns the call to make now, if any. Its end must be reported by OnRead, unless IsCurrent says
  // that it no longer counts.
  std::optional<TableRead> Next(const SourceView& view, TimePoint now);

  // Time at which Next should be called next.
  TimePoint next_at() const { return next_at_; }

  // Number of the call in flight. A call is given up when its source turns out to have no rows.
  std::uint64_t call() const { return call_; }
  bool IsCurrent(std::uint64_t call) const { return reading_ && call_ == call; }

  // Reports the end of the call in flight. `version` is the newest version of the table and
  // `changed` tells whether there were rows.
  void OnRead(ReadResult result, std::uint64_t version, bool changed, TimePoint now);

  // Handles a notice of an instance. Returns true if it confirms the rows of this instance as of
  // the age of the notice.
  bool OnNotice(const std::string& source,
                TableNotice notice,
                const SourceView& view,
                TimePoint now);

  // An instance has ended or has lost the store.
  void OnSourceLost(const std::string& source, TimePoint now);

  // The roster has changed. An instance that is now to read the store does so at once.
  void OnRosterChange(const SourceView& view, TimePoint now);

  // Source of the last call.
  const std::string& source() const { return read_.source; }

  // True if the rows of this instance come from the store itself.
  bool FromStore() const {
    return listed_ && failures_ == 0 && last_good_source_ == SourceChoice::kStore;
  }

  bool listed() const { return listed_; }
  std::uint64_t version() const { return version_; }

  // True if another instance has told of rows that are newer than those of this instance.
  bool IsBehind() const { return listed_ && version_ < noticed_version_; }
  bool StoreHealthy(TimePoint now) const { return choice_.StoreHealthy(now); }

 private:
  // A response of the store takes 4 ms normally and about 200 ms if it is slow. Calls that fail one
  // after the other wait longer, so that an instance on a slow processor still gets an answer.
  static constexpr Duration kMinTimeout = milliseconds(300);
  static constexpr Duration kMaxTimeout = milliseconds(900);

  // Pauses after failed calls.
  static constexpr Duration kMinRetry = milliseconds(60);
  static constexpr Duration kMaxRetry = milliseconds(500);

  // Pause while this instance has no rows yet and its source is an instance: all may have started
  // at the same moment, and the source reads its first rows from the store just now.
  static constexpr Duration kStartRetry = milliseconds(25);

  // Changes are read from another instance than the usual one if that does not have them this long
  // after the first notice of them: other data centres are read from only if need be.
  static constexpr Duration kOtherSourceDelay = milliseconds(350);

  friend std::vector<std::pair<std::string, Duration>>
  WaitsOfChange(const ReadTiming& timing, std::size_t instances, const ExchangeTiming& exchange);

  // Pause after a failed call that `failures` others failed before.
  static Duration RetryPause(int failures);

  void OnFailed(bool silent, TimePoint now);
  void PassOverStore(const std::string& source, const TableNotice& notice, TimePoint now);

  ReadTiming timing_;
  SourceChoice choice_;
  TableRead read_;
  std::string last_good_source_;
  std::optional<std::string> next_source_;  // of the next call, if not chosen by `choice_`
  std::uint64_t version_ = 0;
  std::uint64_t noticed_version_ = 0;  // newest version in a notice
  std::uint64_t call_ = 0;
  bool listed_ = false;
  bool relist_ = true;         // the next call reads the whole table
  bool reading_ = false;       // a call is in flight
  bool trying_store_ = false;  // the call asks the store although it may not answer
  bool after_change_ = false;  // the last response had changes
  int failures_ = 0;           // consecutive failures
  int history_lost_ = 0;       // changes that were no longer available, in a row
  TimePoint next_at_ = TimePoint::max();
  TimePoint newer_since_{};  // first notice of changes that this instance lacks; zero if none
};

// The waits on the way of a change from the store's confirmation to all instances, each at its
// longest, when the store has just fallen silent toward all readers: names and times.
std::vector<std::pair<std::string, Duration>> WaitsOfChange(const ReadTiming& timing,
                                                            std::size_t instances,
                                                            const ExchangeTiming& exchange);

}  // namespace chiverail

#endif  // CHIVERAIL_TABLE_FOLLOWER_H_
