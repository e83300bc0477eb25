#ifndef CHIVERAIL_HEDGING_HEDGE_POLICY_H_
#define CHIVERAIL_HEDGING_HEDGE_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "types.h"

namespace chiverail {

// What became of a second attempt that was due.
enum class HedgeOutcome : std::uint8_t {
  kStarted,
  kWon,         // it answered first
  kCancelled,   // the first attempt answered first
  kFailed,      // it failed or was declined
  kShort,       // not made: slots are short
  kOverLimit,   // not made: the limit on extra work, or the retry budget, is used up
  kNoUpstream,  // not made: no other upstream has room
};
inline constexpr std::array<EnumName<HedgeOutcome>, 7> kHedgeOutcomeNames{{
    {HedgeOutcome::kStarted, "started"},
    {HedgeOutcome::kWon, "won"},
    {HedgeOutcome::kCancelled, "cancelled"},
    {HedgeOutcome::kFailed, "failed"},
    {HedgeOutcome::kShort, "withheld_short"},
    {HedgeOutcome::kOverLimit, "withheld_over_limit"},
    {HedgeOutcome::kNoUpstream, "withheld_no_upstream"},
}};

// Decides for one service when a request that may be repeated is sent to a second upstream before
// the first one has answered. Answers to a load in which a few upstreams, or a few answers, are
// slow while the others have room. The second attempt is due once the first takes longer than most
// answers of the service did lately, so the extra work is a small part of all by itself; it has a
// limit besides, and there is none while slots are short, since it would add to an overload.
class HedgePolicy {
 public:
  // `share` is the number of second attempts for each request; 0 for none.
  explicit HedgePolicy(double share) : share_(share) {}

  void SetShare(double share) { share_ = share; }

  // Records a request of the service.
  void OnRequest(TimePoint now);

  // Records the time from sending a request to its answer, or to when it was given up.
  void OnAnswer(Duration time, TimePoint now);

  // Returns the time after which a second attempt is due; nothing if there is to be none.
  std::optional<Duration> Delay(TimePoint now);

  // Returns why a second attempt that is due is not made; kStarted, and records it, if it may be.
  // `load` is the number of requests at the service's upstreams for each of their slots.
  HedgeOutcome TryStart(double load, TimePoint now);

 private:
  void Expire(TimePoint now);

  double share_;
  std::deque<std::pair<TimePoint, Duration>> times_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> started_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_HEDGING_HEDGE_POLICY_H_
