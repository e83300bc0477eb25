#include "send_rules.h"

namespace chiverail {
namespace {

// Sends that don't count as runs, beyond the attempts of the route.
constexpr int kExtraSends = 2;

// Less time leaves no chance of an answer.
constexpr Duration kLeastTime = milliseconds(40);

}  // namespace

bool Repeatable(WorkKind kind, bool resumable) {
  return kind == WorkKind::kIdempotent || (kind == WorkKind::kStream && resumable);
}

bool MayHaveRun(AttemptEnd end) {
  return end != AttemptEnd::kNotConnected && end != AttemptEnd::kDeclined &&
         end != AttemptEnd::kWrongUpstream;
}

bool MaySendAgain(AttemptEnd end, const SendState& state) {
  if (state.time_left < kLeastTime || state.sends >= state.attempts + kExtraSends) {
    return false;
  }
  const bool may_go_on = state.kind == WorkKind::kStream && state.resumable && state.has_event;
  if (state.answer_started && !may_go_on) {
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
