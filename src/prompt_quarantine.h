#ifndef CHIVERAIL_PROMPT_QUARANTINE_H_
#define CHIVERAIL_PROMPT_QUARANTINE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "types.h"

namespace chiverail {

// Hash of a prompt segment's id, and of the service that the request is for in the upper
// kServiceBits.
using SegmentHash = std::uint64_t;

inline constexpr int kServiceBits = 20;

SegmentHash SegmentHashOf(const std::string& segment_id, const std::string& service);

// The hash of the id alone, which is the same at all services.
using IdHash = std::uint64_t;

constexpr IdHash IdHashOf(SegmentHash segment) {
  return segment & (~IdHash{0} >> kServiceBits);
}

// An upstream ended while requests of one instance waited there for the begin of their answers.
struct CrashReport {
  std::uint32_t reporter = 0;         // InstanceKey of that instance
  std::uint64_t sequence = 0;         // of the report, by that instance
  std::uint32_t upstream = 0;         // tag of the upstream
  Duration age{};                     // time since it ended; whole milliseconds in messages
  std::vector<SegmentHash> segments;  // of those requests, without the last ones of their prompts
};

// A request with this segment has begun to be answered.
struct SegmentBegun {
  SegmentHash segment = 0;
  Duration age{};  // of the last such answer
};

// A segment in quarantine.
struct SegmentHold {
  SegmentHash segment = 0;
  Duration age{};             // of the last crash that is ascribed to it
  std::uint32_t strikes = 0;  // see PromptQuarantine::kHoldTime
};

// What an instance tells the others. It is repeated in many messages, so that no loss matters.
struct QuarantineNews {
  std::vector<CrashReport> crashes;
  std::vector<SegmentBegun> begun;
  std::vector<SegmentHold> holds;
};

// How the state of a segment changed.
enum class QuarantineEvent : std::uint8_t {
  kHeld,
  kLearned,
  kProlonged,
  kTrial,
  kTrialElsewhere,
  kSpread,
  kLifted,
  kExpired
};
inline constexpr std::array<EnumName<QuarantineEvent>, 8> kQuarantineEventNames{{
    {QuarantineEvent::kHeld, "held"},            // on the evidence that this instance has
    {QuarantineEvent::kLearned, "learned"},      // from another instance
    {QuarantineEvent::kProlonged, "prolonged"},  // an upstream ended after a trial
    {QuarantineEvent::kTrial, "trial"},          // one request is let through
    {QuarantineEvent::kTrialElsewhere, "trial at another service"},
    {QuarantineEvent::kSpread, "spread"},    // an upstream ended at another service as well
    {QuarantineEvent::kLifted, "lifted"},    // a request with it was answered
    {QuarantineEvent::kExpired, "expired"},  // nobody has asked for it for long
}};
struct QuarantineChange {
  QuarantineEvent event;
  SegmentHash segment = 0;
  Duration remaining{};
  std::vector<std::uint32_t> upstreams;  // whose ends are ascribed to it
};

// Finds prompt segments that end each upstream which begins to answer them, and keeps requests with
// them from upstreams.
//
// An upstream that ends takes all its requests with it, and only one of them need be the cause. A
// request is a suspect only if its answer had not begun. A segment is held if upstreams ended again
// and again, at different times, while requests with it waited for their answers, and no answer
// with it has begun since the first of these ends, anywhere in the fleet. What counts are ends: one
// upstream that is restarted and ends again is as good evidence as several, only more of it is
// needed, since an upstream may also end by itself. Ends that a held segment explains don't count
// against the others that were there.
//
// What is known of a segment holds for each service, since requests may move from one to another:
// its ends at all services count together, each since the last answer at its own. A segment that is
// held for one service is kept from another, too, unless it was answered there. The upstreams of a
// service may have ended for another reason, so a few requests are tried at the other one; if an
// upstream ends there, too, the segment is held for both.
//
// Instances exchange their observations, not sums, so that one
// end that several instances see, or hear of twice, counts once.
class PromptQuarantine {
 public:
  // `self` is the InstanceKey of this instance.
  explicit PromptQuarantine(std::uint32_t self) : self_(self) {}

  // Records that a request with these segments is being answered, beyond the first event of its
  // answer, or that an operator declares them sound.
  void OnBegun(const std::vector<SegmentHash>& segments, TimePoint now);

  // Records that an upstream ended at `at`, before it began to answer a request with these
  // segments. A lost connection alone does not show that.
  void OnUpstreamEnded(std::uint32_t upstream,
                       const std::vector<SegmentHash>& segments,
                       TimePoint at,
                       TimePoint now);

  // Whether a request may be sent.
  struct Verdict {
    bool held = false;         // one of its segments is, and the request is no trial
    bool trial = false;        // it is the trial of a segment
    std::size_t position = 0;  // of the held segment
    Duration retry_after{};    // until a request with it may be tried
  };

  // Returns whether a request with these segments may be sent. Once its time is over, a held
  // segment is tried with one request at a time; `owns_trial` tells whether that is up to this
  // instance.
  Verdict Check(const std::vector<SegmentHash>& segments,
                const std::function<bool(SegmentHash)>& owns_trial,
                TimePoint now);

  // Returns whether an upstream has ended under a request with one of these segments while none
  // with it has ever been answered. Such a request should not be sent again.
  bool IsSuspect(const std::vector<SegmentHash>& segments) const;

  // Returns whether one of these segments is held or being tried, at their service or another one.
  bool HasHold(const std::vector<SegmentHash>& segments) const;

  // Returns whether one of these segments was never answered.
  bool IsNew(const std::vector<SegmentHash>& segments) const;

  // Returns at most `limit` of these segments, in their order and each once: those under which most
  // upstreams have ended, then those that were never answered or not for the longest time, so that
  // segments of sound requests don't displace a deadly one.
  std::vector<SegmentHash> MostSuspect(const std::vector<SegmentHash>& segments,
                                       std::size_t limit) const;

  // Weighs the evidence and drops what is old. Called several times a second.
  void Update(TimePoint now);

  QuarantineNews News(TimePoint now) const;
  void Merge(const QuarantineNews& news, TimePoint now);

  // Returns the changes since the last call.
  std::vector<QuarantineChange> TakeChanges() { return std::exchange(changes_, {}); }

  std::size_t held() const { return holds_.size(); }
  std::size_t reports() const { return reports_.size(); }

  // Evidence older than this is dropped. Long enough for requests that come seldom.
  static constexpr Duration kEvidenceTime = seconds(300);

  // Ends at different times under a segment that always suffice to hold it, and those that suffice
  // if no request with it was ever answered, several upstreams ended, and these rarely ended
  // without it.
  static constexpr std::size_t kEnoughEnds = 5;
  static constexpr std::size_t kEndsOfNew = 3;

  // The last one of these ends must be known for this long: answers that clear the segment may
  // still be on their way from other instances.
  static constexpr Duration kSettleTime = milliseconds(1000);

  // Ends within this time of each other have one cause, such as the loss of a rack.
  static constexpr Duration kSameCause = milliseconds(60);

  // An upstream takes longer than this to end, start and end again.
  static constexpr Duration kSameEnd = milliseconds(1500);

  // Ends within this time may be those of a data centre. A segment that was answered before is not
  // held because of them alone, a new one for kBriefHoldTime only.
  static constexpr Duration kBurstTime = seconds(1);
  static constexpr Duration kBriefHoldTime = seconds(5);

  // A segment is held for this long after the last end, and twice as long with each strike after
  // the first. A brief hold has no strikes; an end after a trial adds one.
  static constexpr Duration kHoldTime = seconds(60);
  static constexpr std::uint32_t kMaxStrikes = 5;

  // Time for the answer of a trial to begin before the next trial.
  static constexpr Duration kTrialTime = seconds(10);

  // Trials of a segment at a service where it is neither held nor known to be sound, while it is
  // held at one other service. The second one is for a trial without a result.
  static constexpr int kMaxTrialsElsewhere = 2;

  // Bounds of the memory, whatever callers send.
  static constexpr std::size_t kMaxReports = 128;
  static constexpr std::size_t kMaxSegmentsPerReport = 32;
  static constexpr std::size_t kMaxHolds = 64;
  static constexpr std::size_t kMaxBegun = 4096;

 private:
  struct Report {
    std::uint32_t reporter = 0;
    std::uint64_t sequence = 0;
    std::uint32_t upstream = 0;
    TimePoint at{};
    TimePoint known_at{};
    TimePoint cleared_at{};  // when all its segments were found cleared; zero if they are not
    std::vector<SegmentHash> segments;
  };

  struct Hold {
    TimePoint since{};  // the last end that is ascribed to the segment
    std::uint32_t strikes = 0;
    TimePoint trial_at{};  // last trial by this instance

    Duration Length() const {
      return strikes == 0 ? kBriefHoldTime : Duration(kHoldTime * (1 << (strikes - 1)));
    }
    TimePoint until() const { return since + Length(); }
    // When it is forgotten if no trial is made. Its evidence has expired by then.
    TimePoint forgotten_at() const {
      return since + std::max<Duration>(2 * Length(), kEvidenceTime);
    }
  };

  // A segment at a service where it is not held itself, while it is held elsewhere.
  struct Elsewhere {
    int trials = 0;
    TimePoint trial_at{};
  };

  // The end of an upstream, from the reports of all instances.
  struct End {
    std::uint32_t upstream = 0;
    TimePoint at{};
    TimePoint known_at{};
    std::map<IdHash, SegmentHash> segments;
  };

  // A segment that the evidence suffices to hold.
  struct Culprit {
    SegmentHash segment = 0;            // at the service of the last end
    std::set<SegmentHash> at_services;  // at all services with ends
    bool known = false;                 // requests with it were answered before
    std::size_t ends = 0;               // at different times
    std::size_t position = 0;           // in the prompt, counted from the first segment
    bool burst = false;                 // all of them within kBurstTime
    TimePoint last{};
    std::vector<std::uint32_t> upstreams;
  };

  // Numbers of the ends under each segment, at any service.
  using SegmentEnds = std::unordered_map<IdHash, std::set<std::size_t>>;

  TimePoint LastBegun(SegmentHash segment) const;
  bool MayTry(SegmentHash segment, Hold& hold, bool owns_trial, TimePoint now);
  // Holds of the same segment at other services.
  std::vector<const Hold*> HoldsElsewhere(SegmentHash segment) const;
  // Returns whether a segment that is not held itself is to be kept from its service.
  bool IsHeldElsewhere(SegmentHash segment) const;
  bool MayTryElsewhere(SegmentHash segment, bool owns_trial, TimePoint now);
  Duration RetryAfterElsewhere(SegmentHash segment, TimePoint now) const;
  static Duration RetryAfter(const Hold& hold, TimePoint now);
  void AddReport(Report report, TimePoint now);
  void ProlongHolds(const Report& report);
  // Holds the segments of an end at its service that are held at another one.
  void SpreadHolds(const Report& report, TimePoint now);
  void AddHold(SegmentHash segment, const Hold& hold);
  void MakeRoom();
  // Reports by the end that they are about, in the order of the ends.
  std::vector<std::vector<const Report*>> ReportsByEnd() const;
  SegmentEnds EndsBySegment() const;
  std::size_t MostEnds(const Report& report, const SegmentEnds& ends) const;
  bool IsCleared(const Report& report) const;
  std::vector<const Report*> ReportsToTell(TimePoint now) const;
  std::vector<End> UnexplainedEnds() const;
  std::optional<Culprit> WeighSegment(IdHash id, const std::vector<End>& ends, TimePoint now) const;
  std::optional<Culprit> FindCulprit(TimePoint now) const;
  std::size_t PositionOf(SegmentHash segment) const;
  void HoldSegment(const Culprit& culprit, TimePoint now);
  void RecordBegun(SegmentHash segment, TimePoint at);
  void LiftIfBegun(SegmentHash segment, TimePoint now);

  std::uint32_t self_;
  std::uint64_t sequence_ = 0;
  std::deque<Report> reports_;
  std::map<SegmentHash, Hold> holds_;
  std::map<SegmentHash, Elsewhere> elsewhere_;
  // Times of the last begun answers. Once the newer map is full it replaces the older one.
  std::unordered_map<SegmentHash, TimePoint> begun_;
  std::unordered_map<SegmentHash, TimePoint> begun_before_;
  std::vector<QuarantineChange> changes_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PROMPT_QUARANTINE_H_
