#include "ledger.h"

#include <algorithm>
#include <utility>

#include "manifest.h"

namespace chiverail {

LedgerCall::LedgerCall(CallHolder self, CallSubmission submission)
    : self_(std::move(self)),
      submission_(std::move(submission)),
      key_(CallKey(submission_.workspace, submission_.key)),
      writer_(key_) {}

CallRow LedgerCall::OwnRow(CallState state) const {
  CallRow row;
  row.state = state;
  row.attempt = attempt_;
  row.nonce = submission_.nonce;
  row.holder = self_;
  row.upstream = submission_.upstream;
  row.request = submission_.request;
  row.request_hash = submission_.request_hash;
  row.answer_timeout = submission_.answer_timeout;
  return row;
}

LedgerActions LedgerCall::Start(TimePoint now) {
  last_table_answer_ = now;
  return Claim(now);
}

// Claims without reading the row first: keys are nearly always new, and a repeated key shows as a
// conflict. The send window counts from the start of the earliest write that may take effect, since
// observers count from when they first read the row.
LedgerActions LedgerCall::Claim(TimePoint now) {
  phase_ = Phase::kClaiming;
  if (!claim_may_take_effect_) {
    claim_start_ = now;
  }
  return {WriteRows{
      op_.Start(now),
      {{{key_, base_version_}}, {{key_, SerializeCallRow(OwnRow(CallState::kSent))}}, {}}}};
}

LedgerActions LedgerCall::Read(TimePoint now) {
  phase_ = Phase::kReading;
  return {ReadRow{op_.Start(now), key_}};
}

LedgerActions LedgerCall::OnWrite(std::uint64_t op, const TableWriteResult& result, TimePoint now) {
  if (phase_ == Phase::kSettling) {
    return AfterSettling(writer_.OnWrite(op, result, now));
  }
  if (!op_.End(op)) {
    return {};
  }
  if (result.status == TableStatus::kOk || result.status == TableStatus::kConflict) {
    last_table_answer_ = now;
    op_.ResetRetryDelay();
  }
  if (phase_ == Phase::kMarkingInDoubt) {
    return Read(now);
  }
  if (result.status == TableStatus::kOk) {
    return Send(
        result.versions.empty() ? std::nullopt : std::optional(result.versions.front().version),
        now);
  }
  return OnClaimFailed(result.status, now);
}

// After a lost answer or a conflict, reads the row: it shows this submission's nonce, another
// submission's nonce, or that nothing has been written yet.
LedgerActions LedgerCall::OnClaimFailed(TableStatus status, TimePoint now) {
  if (status == TableStatus::kUnavailable) {
    op_.ScheduleRetry(now);
    return {};
  }
  if (status == TableStatus::kUnknown) {
    claim_may_take_effect_ = true;
  } else if (!claim_may_take_effect_) {
    // The row belongs to another submission, which may have run even if the caller declared this
    // one the first.
    known_not_run_ = false;
    submission_.first_submission = false;
  }
  return Read(now);
}

LedgerActions LedgerCall::OnRead(std::uint64_t op, const TableReadResult& result, TimePoint now) {
  if (phase_ == Phase::kSettling) {
    return AfterSettling(writer_.OnRead(op, result, now));
  }
  if (!op_.End(op)) {
    return {};
  }
  if (result.status != TableStatus::kOk) {
    op_.ScheduleRetry(now);
    return {};
  }
  last_table_answer_ = now;
  op_.ResetRetryDelay();
  return Interpret(result.row, now);
}

// Whether the table has gone back behind the row that this submission polls. Rows are never deleted
// while their calls may be repeated, and an attempt ends under its own nonce.
bool LedgerCall::HasGoneBack(const CallRow& row) const {
  return stored_version_ != 0 && row.state != CallState::kDone &&
         (row.attempt < stored_row_.attempt ||
          (row.attempt == stored_row_.attempt && row.nonce != stored_row_.nonce));
}

// Chooses the next step for this submission from the row.
LedgerActions LedgerCall::Interpret(const TableRow& stored, TimePoint now) {
  if (stored.version == 0) {
    return stored_version_ != 0 ? MarkInDoubt(0, now) : ClaimNextAttempt(0, 0, now);
  }
  CallRow row;
  try {
    row = ParseCallRow(stored.value);
  } catch (const InvalidDocument& fault) {
    return Finish(Refuse(ErrorCode::kInDoubt,
                         std::string("the call's row is damaged: ") + fault.what(), Ran::kUnknown));
  }
  if (HasGoneBack(row)) {
    return MarkInDoubt(stored.version, now);
  }
  if (row.nonce == submission_.nonce && row.attempt == attempt_) {
    return InterpretOwn(row, stored.version, now);
  }
  if (row.request_hash != submission_.request_hash) {
    return Finish(Refuse(ErrorCode::kIdempotencyKeyReused,
                         "the key was used before for another request", Ran::kNo));
  }
  switch (row.state) {
    case CallState::kReleased:
      return ClaimNextAttempt(stored.version, row.attempt, now);
    case CallState::kDone:
      return ReplyWithStoredAnswer(std::move(row), now);
    case CallState::kInDoubt:
      return Finish(Refuse(ErrorCode::kInDoubt,
                           "the call may have run; an operator has to settle it", Ran::kUnknown));
    case CallState::kSent:
      break;
  }
  return PollRow(row, stored.version, now);
}

// The row holds this submission's claim, which has not been used to send. If its state is no longer
// "sent", an observer or an operator has declared the call in doubt or settled it because this
// instance was too slow, so this instance must not send any more.
LedgerActions LedgerCall::InterpretOwn(const CallRow& row, std::uint64_t version, TimePoint now) {
  if (row.state == CallState::kSent) {
    return Send(version, now);
  }
  LedgerActions actions = Refuse(ErrorCode::kStoreUnavailable,
                                 "the claim came too late; the call was not sent", Ran::kNo);
  if (row.state == CallState::kInDoubt) {
    LedgerActions release = Release(version, now);
    std::move(release.begin(), release.end(), std::back_inserter(actions));
    return actions;
  }
  return Finish(std::move(actions));
}

// Claims a row that is absent or released, which proves that no submission has run so far.
LedgerActions LedgerCall::ClaimNextAttempt(std::uint64_t version,
                                           std::uint32_t last_attempt,
                                           TimePoint now) {
  known_not_run_ = true;
  stored_version_ = 0;
  if (version != base_version_) {
    claim_may_take_effect_ = false;  // its condition names a version that has been replaced
    base_version_ = version;
  }
  attempt_ = last_attempt + 1;
  return Claim(now);
}

// Polls the row until another holder's attempt has an outcome.
LedgerActions LedgerCall::PollRow(const CallRow& row, std::uint64_t version, TimePoint now) {
  known_not_run_ = false;
  submission_.first_submission = false;
  claim_may_take_effect_ = false;
  if (version != stored_version_) {
    stored_row_ = row;
    stored_version_ = version;
    unchanged_since_ = now;
    poll_interval_ = kMinRowPollInterval;
  }
  phase_ = Phase::kPollingRow;
  op_.ScheduleAt(now + poll_interval_);
  poll_interval_ = std::min(2 * poll_interval_, kMaxRowPollInterval);
  return {QueryHolderState{stored_row_.holder}};
}

LedgerActions LedgerCall::OnHolderState(HolderState state, TimePoint now) {
  if (phase_ != Phase::kPollingRow ||
      now - unchanged_since_ < InDoubtTimeoutFor(stored_row_, state)) {
    return {};
  }
  return MarkInDoubt(stored_version_, now);
}

// Records over `version` that the polled attempt may have run.
LedgerActions LedgerCall::MarkInDoubt(std::uint64_t version, TimePoint now) {
  CallRow in_doubt_row = stored_row_;
  in_doubt_row.state = CallState::kInDoubt;
  phase_ = Phase::kMarkingInDoubt;
  return {
      WriteRows{op_.Start(now), {{{key_, version}}, {{key_, SerializeCallRow(in_doubt_row)}}, {}}}};
}

LedgerActions LedgerCall::ReplyWithStoredAnswer(CallRow row, TimePoint now) {
  if (row.object.empty()) {
    if (replied_) {
      return Finish({});
    }
    replied_ = true;
    return Finish({AnswerCaller{std::move(row.answer), true}});
  }
  stored_row_ = std::move(row);
  return ReadObject(now);
}

LedgerActions LedgerCall::ReadObject(TimePoint now) {
  phase_ = Phase::kReadingObject;
  return {GetCallObject{op_.Start(now), stored_row_.object}};
}

LedgerActions LedgerCall::OnObjectRead(std::uint64_t op,
                                       TableStatus status,
                                       const std::string& body,
                                       TimePoint now) {
  if (phase_ != Phase::kReadingObject || !op_.End(op)) {
    return {};
  }
  if (status != TableStatus::kOk) {
    op_.ScheduleRetry(now);
    return {};
  }
  if (CallBodyHash(body) != stored_row_.object_hash) {
    return Finish(Refuse(ErrorCode::kStoreUnavailable, "the stored answer is damaged", Ran::kYes));
  }
  stored_row_.object.clear();
  stored_row_.answer.body = body;
  return ReplyWithStoredAnswer(std::move(stored_row_), now);
}

LedgerActions LedgerCall::TickClaim(TimePoint now) {
  if (now >= submission_.deadline) {
    return Abandon(ErrorCode::kDeadlineExpired, "the deadline passed before the call was sent",
                   now);
  }
  if (now - last_table_answer_ >= kTableTimeout) {
    return Abandon(ErrorCode::kStoreUnavailable, "the platform's store does not answer", now);
  }
  if (op_.TimedOut(now)) {
    if (phase_ == Phase::kClaiming) {
      return OnWrite(op_.current(), {TableStatus::kUnknown, {}}, now);
    }
    op_.ScheduleRetry(now);
    return {};
  }
  if (!op_.TryResume(now)) {
    return {};
  }
  switch (phase_) {
    case Phase::kClaiming:
      return Claim(now);
    case Phase::kReadingObject:
      return ReadObject(now);
    default:
      return Read(now);
  }
}

}  // namespace chiverail
