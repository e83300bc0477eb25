#include "ledger.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

void Append(LedgerActions& actions, LedgerActions more) {
  std::move(more.begin(), more.end(), std::back_inserter(actions));
}

std::optional<TimePoint> Earlier(std::optional<TimePoint> a, std::optional<TimePoint> b) {
  if (!a || !b) {
    return a ? a : b;
  }
  return std::min(*a, *b);
}

}  // namespace

// Checks the send window here too, because this instance may have been paused before it handled the
// claim's answer.
LedgerActions LedgerCall::Send(std::optional<std::uint64_t> version, TimePoint now) {
  known_not_run_ = true;
  claimed_version_ = version;
  const TimePoint send_before = claim_start_ + kClaimSendWindow;
  if (replied_ || now >= send_before || now >= submission_.deadline) {
    LedgerActions actions = Refuse(ErrorCode::kStoreUnavailable,
                                   "the claim came too late; the call was not sent", Ran::kNo);
    Append(actions, Release(version, now));
    return actions;
  }
  phase_ = Phase::kSending;
  answer_deadline_ = now + submission_.answer_timeout;
  return {SendCall{submission_.upstream, submission_.request, attempt_, send_before}};
}

LedgerActions LedgerCall::OnNotSent(TimePoint now) {
  if (phase_ != Phase::kSending) {
    return {};
  }
  LedgerActions actions = Refuse(
      ErrorCode::kNoUpstream, "the upstream could not be reached; the call was not sent", Ran::kNo);
  Append(actions, Release(claimed_version_, now));
  return actions;
}

LedgerActions LedgerCall::OnConnectionLost(TimePoint now) {
  if (phase_ != Phase::kSending) {
    return {};
  }
  return SettleAsInDoubt("the connection to the upstream broke before the answer", false, now);
}

// Accepts only an answer that names this request and attempt. Any other answer means that the
// connection has mixed up responses, and does not show whether the call ran.
LedgerActions LedgerCall::OnAnswer(const RequestId& request,
                                   std::uint32_t attempt,
                                   CallAnswer answer,
                                   TimePoint now) {
  const bool own = request == submission_.request && attempt == attempt_;
  if (phase_ == Phase::kSending && !own) {
    return SettleAsInDoubt("the upstream answered another request", true, now);
  }
  // An answer received while in_doubt is being written still settles the call as done.
  const bool late = phase_ == Phase::kSettling && in_doubt_;
  if (!own || (phase_ != Phase::kSending && !late)) {
    return {};
  }
  in_doubt_ = false;
  answer_ = std::move(answer);
  reply_deadline_ = now + kMaxAnswerDelay;
  return Settle(CallState::kDone, late ? std::nullopt : claimed_version_, now);
}

LedgerActions LedgerCall::SettleAsInDoubt(const std::string& message, bool abort, TimePoint now) {
  LedgerActions actions;
  if (abort) {
    actions.push_back(AbortCall{});
  }
  Append(actions, Refuse(ErrorCode::kInDoubt, message, Ran::kUnknown));
  in_doubt_ = true;
  Append(actions, Settle(CallState::kInDoubt, claimed_version_, now));
  return actions;
}

LedgerActions LedgerCall::Release(std::optional<std::uint64_t> version, TimePoint now) {
  return Settle(CallState::kReleased, version, now);
}

LedgerActions LedgerCall::Settle(CallState state,
                                 std::optional<std::uint64_t> version,
                                 TimePoint now) {
  phase_ = Phase::kSettling;
  CallRow row = OwnRow(state);
  if (state == CallState::kDone) {
    row.answer = *answer_;
  }
  return AfterSettling(writer_.Begin(std::move(row), version, now));
}

// Normally replies once the answer is recorded, so that a retry by the caller finds it. If a store
// operation has failed, replies without waiting for the record.
LedgerActions LedgerCall::AfterSettling(LedgerActions actions) {
  if (writer_.finished() || writer_.delayed()) {
    Append(actions, ReplyWithAnswer());
  }
  return writer_.finished() ? Finish(std::move(actions)) : std::move(actions);
}

LedgerActions LedgerCall::ReplyWithAnswer() {
  if (!answer_ || replied_) {
    return {};
  }
  replied_ = true;
  LedgerActions actions{AnswerCaller{std::move(*answer_), false}};
  answer_.reset();
  return actions;
}

LedgerActions LedgerCall::Refuse(ErrorCode code, const std::string& message, Ran ran) {
  if (replied_) {
    return {};
  }
  replied_ = true;
  return {RefuseCaller{{code, message, ran}}};
}

LedgerActions LedgerCall::Finish(LedgerActions actions) {
  phase_ = Phase::kFinished;
  op_.Clear();
  return actions;
}

bool LedgerCall::ClaimOutstanding() const {
  return claim_may_take_effect_ || (phase_ == Phase::kClaiming && op_.in_flight());
}

// Ends a submission that has not been sent. "Not run" requires proof that no earlier submission
// ran: the row as read, or the caller's statement that this is the first submission. A claim that
// may still take effect is replaced by a release, so that it does not block a retry by the caller.
LedgerActions LedgerCall::Abandon(ErrorCode code, const std::string& message, TimePoint now) {
  LedgerActions actions;
  if (phase_ == Phase::kReadingObject) {
    actions = Refuse(ErrorCode::kStoreUnavailable, "the call ran; its answer cannot be read now",
                     Ran::kYes);
  } else if (stored_version_ != 0) {
    actions = Refuse(ErrorCode::kInProgress, "another submission of the call has no outcome yet",
                     Ran::kUnknown);
  } else {
    const bool not_run = known_not_run_ || submission_.first_submission;
    actions = Refuse(code, message, not_run ? Ran::kNo : Ran::kUnknown);
  }
  if (!ClaimOutstanding()) {
    return Finish(std::move(actions));
  }
  op_.Clear();
  Append(actions, Release(base_version_, now));
  return actions;
}

LedgerActions LedgerCall::OnObjectPut(std::uint64_t op, TableStatus status, TimePoint now) {
  if (phase_ != Phase::kSettling) {
    return {};
  }
  return AfterSettling(writer_.OnObjectPut(op, status, now));
}

LedgerActions LedgerCall::OnCallerDisconnected(TimePoint now) {
  replied_ = true;
  if (phase_ == Phase::kSending || phase_ == Phase::kSettling || finished()) {
    return {};
  }
  return Abandon(ErrorCode::kDeadlineExpired, "the caller is gone", now);
}

LedgerActions LedgerCall::TickSending(TimePoint now) {
  if (now >= answer_deadline_) {
    return SettleAsInDoubt("the upstream did not answer", true, now);
  }
  if (now >= submission_.deadline) {
    return Refuse(ErrorCode::kDeadlineExpired, "the deadline passed while the call was running",
                  Ran::kUnknown);
  }
  return {};
}

LedgerActions LedgerCall::Tick(TimePoint now) {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kFinished:
      return {};
    case Phase::kSending:
      return TickSending(now);
    case Phase::kSettling: {
      LedgerActions actions = AfterSettling(writer_.Tick(now));
      if (now >= reply_deadline_) {
        Append(actions, ReplyWithAnswer());
      }
      return actions;
    }
    default:
      return TickClaim(now);
  }
}

std::optional<TimePoint> LedgerCall::NextDeadline() const {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kFinished:
      return std::nullopt;
    case Phase::kSending:
      return replied_ ? answer_deadline_ : std::min(answer_deadline_, submission_.deadline);
    case Phase::kSettling:
      return answer_ && !replied_ ? Earlier(writer_.NextDeadline(), reply_deadline_)
                                  : writer_.NextDeadline();
    default:
      return Earlier(op_.NextDeadline(),
                     std::min(submission_.deadline, last_table_answer_ + kTableTimeout));
  }
}

}  // namespace chiverail
