#ifndef CHIVERAIL_UPSTREAM_RUNS_RUN_HISTORY_H_
#define CHIVERAIL_UPSTREAM_RUNS_RUN_HISTORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "types.h"
#include "upstream_runs/upstream_entry.h"

namespace chiverail {

// How an entry of the list stands to what is known of its upstream.
enum class EntryStanding : std::uint8_t { kCurrent, kOld, kDoubtful };
inline constexpr std::array<EnumName<EntryStanding>, 3> kEntryStandingNames{{
    {EntryStanding::kCurrent, "current"},    // to be applied
    {EntryStanding::kOld, "old"},            // of a run that is listed, before its newest entry
    {EntryStanding::kDoubtful, "doubtful"},  // of a run that may be gone; see RunHistory
}};

// What is known of the runs of upstreams, those that are gone included. Decides which entries of
// the list are applied, whether they come with a listing, a change or a mirrored row: a write may
// take effect seconds after later ones and after the removal of its entry, and a restored list
// shows entries of before.
//
// An entry that may be older than what is known is doubtful. It counts once its upstream has
// written again, or if it is still listed after kDoubtTime, when one of an upstream that has ended
// would have lapsed. Entries that don't state the start of their run can't be compared, and are
// doubtful only after a restore.
class RunHistory {
 public:
  // Whether an entry came with a complete listing. Entries of unknown runs that appear between
  // listings are doubtful unless they are the first ones of their run.
  enum class Source : std::uint8_t { kListing, kChange };

  // Judges an entry, and records it if it is current.
  EntryStanding Judge(const UpstreamEntry& entry, Source source, TimePoint now);

  // Returns whether the current run of an upstream has said that it drains.
  bool IsDraining(const UpstreamId& id) const;

  // Records an entry that another instance has seen before its removal.
  void OnLastEntry(const UpstreamEntry& entry);

  // Records that the entry of an upstream was removed. `silence` is the time since it had been
  // written, if known from another instance.
  void OnRemoved(const UpstreamId& id, std::optional<Duration> silence, TimePoint now);

  // Records that an upstream is missing in a complete listing, or drops its doubtful entry.
  void OnNotListed(const UpstreamId& id);

  // Records that the list is read again after a while, in which entries may have been missed.
  void OnReadAfterGap(TimePoint now) { read_since_ = now; }

  // Records that the list has come back from an older copy.
  void OnListRestored(TimePoint now) { restored_at_ = now; }
  bool RestoredLately(TimePoint now) const {
    return restored_at_ != TimePoint{} && now < restored_at_ + kRestoreTime;
  }

  // Returns the doubtful entries that are still listed after kDoubtTime; they are to be judged once
  // more. Forgets runs that are gone for kGoneTime.
  std::vector<UpstreamEntry> Update(TimePoint now);

  // Returns the upstreams that have a doubtful entry.
  std::vector<UpstreamId> Doubtful() const;

  // Number of runs that are gone but remembered, see kMaxGone.
  std::size_t gone() const { return gone_; }

  // Entries in a restored list may be older than what is known for this long.
  static constexpr Duration kRestoreTime = seconds(15);

  // An upstream that has ended lapses from the list after three heartbeats of about 1.2 s.
  static constexpr Duration kDoubtTime = seconds(6);

  // An entry that is removed sooner after it was written has not lapsed: its upstream leaves.
  static constexpr Duration kLapseTime = seconds(3);

  // For how long, and how many, runs that are gone are remembered. A copy of the list is younger,
  // and a write takes effect within 6 s (PROTOCOL.md, "The platform's metadata store"). The number
  // is more than all upstreams of the size to design for.
  static constexpr Duration kGoneTime = seconds(60);
  static constexpr std::size_t kMaxGone = 4096;

  // Entries that an upstream has written within 6 s of its start: its first ones may be late.
  static constexpr std::uint64_t kFirstEntries = 6;

 private:
  struct Doubt {
    UpstreamEntry entry;
    TimePoint since{};
  };

  struct Run {
    std::int64_t started_ms = 0;
    std::uint64_t sequence = 0;
    bool draining = false;
    TimePoint written_at{};  // when its newest entry was seen
    bool listed = false;
    bool lapsed = false;  // if not listed
    TimePoint gone_at{};
    std::vector<std::int64_t> replaced;  // starts of the last runs before it
    std::optional<Doubt> doubt;
  };

  static constexpr std::size_t kMaxReplaced = 4;

  bool IsCurrent(const Run& run, const UpstreamEntry& entry, TimePoint now) const;
  static bool Confirms(Run& run, const UpstreamEntry& entry, TimePoint now);
  void Accept(Run& run, const UpstreamEntry& entry, TimePoint now);
  void AddUnknown(const UpstreamEntry& entry, Source source, TimePoint now);
  void BoundGone();

  std::map<UpstreamId, Run> runs_;
  std::size_t gone_ = 0;  // runs that are not listed
  TimePoint read_since_{};
  TimePoint restored_at_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_RUNS_RUN_HISTORY_H_
