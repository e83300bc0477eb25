// PromptQuarantine: segments that are held at one service, at other ones.

#include <algorithm>

#include "prompt_quarantine.h"

namespace chiverail {

std::vector<const PromptQuarantine::Hold*> PromptQuarantine::HoldsElsewhere(
    SegmentHash segment) const {
  std::vector<const Hold*> holds;
  for (const auto& [held, hold] : holds_) {
    if (held != segment && IdHashOf(held) == IdHashOf(segment)) {
      holds.push_back(&hold);
    }
  }
  return holds;
}

bool PromptQuarantine::IsHeldElsewhere(SegmentHash segment) const {
  return LastBegun(segment) == TimePoint{} && !HoldsElsewhere(segment).empty();
}

// The ends of one service may have another reason, those of two hardly.
bool PromptQuarantine::MayTryElsewhere(SegmentHash segment, bool owns_trial, TimePoint now) {
  const auto holds = HoldsElsewhere(segment);
  const bool over = std::all_of(holds.begin(), holds.end(),
                                [now](const Hold* hold) { return hold->until() <= now; });
  Elsewhere& state = elsewhere_[segment];
  const bool due = state.trial_at == TimePoint{} || state.trial_at + kTrialTime <= now;
  const bool early = holds.size() == 1 && state.trials < kMaxTrialsElsewhere;
  if (!owns_trial || !due || !(early || over)) {
    return false;
  }
  ++state.trials;
  state.trial_at = now;
  changes_.push_back({QuarantineEvent::kTrialElsewhere, segment, {}, {}});
  return true;
}

Duration PromptQuarantine::RetryAfterElsewhere(SegmentHash segment, TimePoint now) const {
  const auto holds = HoldsElsewhere(segment);
  if (holds.size() == 1) {
    return kTrialTime;
  }
  Duration longest{};
  for (const Hold* hold : holds) {
    longest = std::max(longest, RetryAfter(*hold, now));
  }
  return longest;
}

// An end after the last one that is ascribed to the segment is that of a trial, or of a request
// that was on its way when the segment was held.
void PromptQuarantine::SpreadHolds(const Report& report, TimePoint now) {
  for (const SegmentHash segment : report.segments) {
    if (holds_.count(segment) > 0 || report.at <= LastBegun(segment)) {
      continue;
    }
    Hold spread;
    for (const Hold* hold : HoldsElsewhere(segment)) {
      if (hold->since < report.at) {
        spread.since = report.at;
        spread.strikes = std::max({spread.strikes, hold->strikes, std::uint32_t{1}});
      }
    }
    if (spread.since != TimePoint{}) {
      changes_.push_back(
          {QuarantineEvent::kSpread, segment, RetryAfter(spread, now), {report.upstream}});
      AddHold(segment, spread);
    }
  }
}

}  // namespace chiverail
