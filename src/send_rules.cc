#include "send_rules.h"

namespace chiverail {
namespace {

// Attempts allowed beyond the attempts of the route, for those that upstreams did not run.
constexpr int kExtraAttempts = 2;

// With less time before the deadline, a retry has no chance of a response.
constexpr Duration kMinTimeLeft = milliseconds(40);

}  // namespace

bool Repeatable(WorkKind kind, bool resumable) {
  return kind == WorkKind::kIdempotent || (kind == WorkKind::kStream && resumable);
}

bool MayHaveRun(AttemptEnd end) {
  return end != AttemptEnd::kNotConnected && end != AttemptEnd::kDeclined &&
         end != AttemptEnd::kWrongUpstream;
}

bool MaySendAgain(AttemptEnd end, const SendState& state) {
  if (state.time_left < kMinTimeLeft || state.sends >= state.attempts + kExtraAttempts) {
    return false;
  }
  const bool can_resume = state.kind == WorkKind::kStream && state.resumable && state.has_event;
  if (state.answer_started && !can_resume) {
    return false;
  }
  return !MayHaveRun(end) ||
         (Repeatable(state.kind, state.resumable) && state.runs < state.attempts);
}

int FailureStatus(AttemptEnd end, bool may_have_run) {
  if (!may_have_run) {
    return 503;
  }
  return end == AttemptEnd::kSilent ? 504 : 502;
}

}  // namespace chiverail
