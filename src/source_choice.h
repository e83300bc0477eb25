#ifndef CHIVERAIL_SOURCE_CHOICE_H_
#define CHIVERAIL_SOURCE_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace chiverail {

// What the fleet's roster says about reading a table of the platform's store.
struct SourceView {
  std::vector<std::string> readers;  // see FleetRoster::StoreReaders
  std::size_t instances = 1;         // live instances
  double turn = 0;                   // see FleetRoster::DirectReadTurn
};

// Chooses from which of several sources to read a table of the platform's store: instances that
// mirror it, or the store itself. Instances that read the store say so several times a second, and
// one of these is read from as long as there is any. If there is none, all instances try the store
// within a short time, in an order on which they agree: each may be the only one that the store
// serves. Those whose turn is late mostly hear from an earlier one and need not try.
class SourceChoice {
 public:
  // The store itself, in lists of sources.
  static constexpr const char* kStore = "";

  explicit SourceChoice(std::uint64_t seed) : random_(seed) {}

  // Returns the source for the next call; nothing if there is none before NextTry. `listed` tells
  // whether this instance has rows already.
  std::optional<std::string> Pick(const SourceView& view, bool listed, TimePoint now);

  // Returns the instance to read from of those that are known to have recent rows.
  std::optional<std::string> RecentInstance(const SourceView& view, TimePoint now);

  // True if this instance reads the store itself at present.
  bool ReadsStore(const SourceView& view, TimePoint now) const;

  // Time at which the store or an instance that failed may be tried again.
  TimePoint NextTry() const { return next_try_; }

  // Records that an instance has recent rows, which it has read from the store itself.
  void OnNotice(const std::string& source, TimePoint now);

  // Records that an instance has lost the store, or has ended.
  void Forget(const std::string& source);

  // True if the instance has said within the last kNoticeTimeout that it has recent rows.
  bool IsRecent(const std::string& source, TimePoint now) const;

  // Reports that a source did not answer (`silent`), or that its rows were too old.
  void OnFailed(const std::string& source, bool silent, TimePoint now);

  // Reports that a source has answered.
  void OnSucceeded(const std::string& source);

  // False for kStoreRecoveryTime after a failed read from the store, or until the next successful
  // one.
  bool StoreHealthy(TimePoint now) const;

  // An instance that has not been heard of for this long is not read from. Notices come several
  // times a second.
  static constexpr Duration kNoticeTimeout = milliseconds(700);

  // Time within which all instances try the store once nobody is known to have recent rows.
  static Duration TurnSpread(std::size_t instances);

 private:
  // An instance that answers, but has no recent rows, may have them again soon. One that is silent
  // costs the timeout of a call; if it is heard of after that, the call may just have been lost.
  static constexpr Duration kStaleRetry = milliseconds(50);
  static constexpr Duration kSilentRetry = seconds(2);
  static constexpr Duration kHeardRetry = milliseconds(250);

  // Time for which a starting instance tries others before the store.
  static constexpr Duration kMinStartDelay = milliseconds(500);

  // Calls per second that all instances together make to the store after each has tried it once.
  static constexpr double kFleetDirectReads = 20;

  // Pauses between calls to the store in a small fleet: short at first, since single lost responses
  // are common, and longer in an outage, since refused calls are billed too.
  static constexpr Duration kMinDirectRetry = milliseconds(60);
  static constexpr Duration kMaxDirectRetry = milliseconds(500);

  // Time after a failure of the store until this instance offers to mirror it again.
  static constexpr Duration kStoreRecoveryTime = seconds(3);

  bool IsUsable(const std::string& source, TimePoint now) const;
  double RandomShare();
  Duration SpreadOverFleet(std::size_t instances);
  bool TakeDirectTurn(const SourceView& view, Duration first_delay, TimePoint now);

  std::map<std::string, TimePoint> failed_until_;
  std::map<std::string, TimePoint> heard_at_;  // last notice of each instance
  std::string last_other_;                     // last instance read from that is no preferred one
  TimePoint lost_at_{};                        // since when no source is known; zero if one is
  TimePoint direct_try_at_{};                  // next try of the store meanwhile; zero if not set
  int direct_tries_ = 0;                       // since lost_at_
  bool direct_ = false;                        // the last read from the store succeeded
  bool had_source_ = false;                    // something has been read or heard of
  TimePoint store_failed_at_{};
  TimePoint next_try_{};
  std::uint64_t random_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_SOURCE_CHOICE_H_
