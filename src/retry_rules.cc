#include "retry_rules.h"

namespace chiverail {
namespace {

// Attempts allowed beyond the attempts of the route, for those that upstreams did not run.
constexpr int kExtraAttempts = 2;

// With less time before the deadline, a retry has no chance of a response.
constexpr Duration kMinTimeLeft = milliseconds(40);

}  // namespace

bool IsRetryable(WorkKind kind, bool resumable) {
  return kind == WorkKind::kIdempotent || (kind == WorkKind::kStream && resumable);
}

bool MayHaveRun(AttemptFailure end) {
  return end != AttemptFailure::kNotConnected && end != AttemptFailure::kDeclined &&
         end != AttemptFailure::kWrongUpstream;
}

bool MayRetry(AttemptFailure end, const RetryState& state) {
  if (state.time_left < kMinTimeLeft || state.attempts_made >= state.max_runs + kExtraAttempts) {
    return false;
  }
  const bool can_resume = state.kind == WorkKind::kStream && state.resumable && state.has_event;
  if (state.response_started && !can_resume) {
    return false;
  }
  return !MayHaveRun(end) ||
         (IsRetryable(state.kind, state.resumable) && state.runs < state.max_runs);
}

int FailureStatus(AttemptFailure end, bool may_have_run) {
  if (!may_have_run) {
    return 503;
  }
  return end == AttemptFailure::kTimeout ? 504 : 502;
}

}  // namespace chiverail
