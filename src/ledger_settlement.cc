#include "ledger_settlement.h"

#include <algorithm>
#include <utility>

#include "manifest.h"

namespace chiverail {
namespace {

// Interval between two reads of a row whose holder may still execute the call.
constexpr Duration kRowPollInterval = milliseconds(500);

}  // namespace

CallSettlement::CallSettlement(std::string row_key, CallResolution resolution, TimePoint deadline)
    : key_(std::move(row_key)),
      resolution_(std::move(resolution)),
      deadline_(deadline),
      nonce_(resolution_.nonce) {}

LedgerActions CallSettlement::Start(TimePoint now) {
  return Read(now);
}

LedgerActions CallSettlement::Read(TimePoint now) {
  return {ReadRow{op_.Start(now), key_}};
}

LedgerActions CallSettlement::End(SettlementResult result) {
  result_ = result;
  op_.Clear();
  return {};
}

LedgerActions CallSettlement::OnRead(std::uint64_t op,
                                     const TableReadResult& result,
                                     TimePoint now) {
  if (!op_.End(op)) {
    return {};
  }
  if (result.status != TableStatus::kOk) {
    op_.ScheduleRetry(now);
    return {};
  }
  op_.ResetRetryDelay();
  if (result.row.version == 0) {
    return End(SettlementResult::kNotFound);
  }
  try {
    row_ = ParseCallRow(result.row.value);
  } catch (const InvalidDocument&) {
    return End(SettlementResult::kNotInDoubt);
  }
  return Interpret(result.row.version, now);
}

// The resolution applies to the attempt that the operator examined or, without a nonce, to the
// first one read. If the row shows another attempt or an outcome by now, the resolution does not
// apply to it.
LedgerActions CallSettlement::Interpret(std::uint64_t version, TimePoint now) {
  if (!target_.empty() && SerializeCallRow(row_) == target_) {
    return End(was_sent_ ? SettlementResult::kMarkedInDoubt : SettlementResult::kSettled);
  }
  if (row_.state != CallState::kInDoubt && row_.state != CallState::kSent) {
    return End(SettlementResult::kNotInDoubt);
  }
  if (nonce_.empty()) {
    nonce_ = row_.nonce;
  } else if (nonce_ != row_.nonce) {
    return End(SettlementResult::kNotInDoubt);
  }
  if (version != version_) {
    version_ = version;
    unchanged_since_ = now;
  }
  if (row_.state == CallState::kInDoubt) {
    return was_sent_ ? End(SettlementResult::kMarkedInDoubt) : Settle(now);
  }
  was_sent_ = true;
  awaiting_holder_state_ = true;
  op_.ScheduleAt(now + kRowPollInterval);
  return {QueryHolderState{row_.holder}};
}

LedgerActions CallSettlement::OnHolderState(HolderState state, TimePoint now) {
  if (!awaiting_holder_state_ || result_ != SettlementResult::kPending) {
    return {};
  }
  awaiting_holder_state_ = false;
  if (now - unchanged_since_ < InDoubtTimeoutFor(row_, state)) {
    return {};
  }
  CallRow in_doubt_row = row_;
  in_doubt_row.state = CallState::kInDoubt;
  return Write(std::move(in_doubt_row), now);
}

// Writes the object before the row that names it, as CallRowWriter does for an answer from the
// upstream.
LedgerActions CallSettlement::Settle(TimePoint now) {
  CallRow settled = row_;
  settled.settled_by = resolution_.operator_name;
  settled.state = resolution_.answer ? CallState::kDone : CallState::kReleased;
  if (resolution_.answer) {
    settled.answer = *resolution_.answer;
  }
  if (resolution_.answer && NeedsObject(settled)) {
    // The hash in the name separates the objects of two operators who give different answers.
    settled.object_hash = CallBodyHash(settled.answer.body);
    settled.object = CallObjectName(key_, settled) + "-" + settled.object_hash;
    if (!object_put_) {
      return {PutCallObject{op_.Start(now), settled.object, settled.answer.body}};
    }
  }
  return Write(std::move(settled), now);
}

LedgerActions CallSettlement::Write(CallRow target, TimePoint now) {
  target_ = SerializeCallRow(target);
  return {WriteRows{op_.Start(now), {{{key_, version_}}, {{key_, target_}}, {}}}};
}

LedgerActions CallSettlement::OnObjectPut(std::uint64_t op, TableStatus status, TimePoint now) {
  if (!op_.End(op)) {
    return {};
  }
  if (status != TableStatus::kOk) {
    op_.ScheduleRetry(now);
    return {};
  }
  object_put_ = true;
  return Settle(now);
}

LedgerActions CallSettlement::OnWrite(std::uint64_t op,
                                      const TableWriteResult& result,
                                      TimePoint now) {
  if (!op_.End(op)) {
    return {};
  }
  switch (result.status) {
    case TableStatus::kOk:
      return End(was_sent_ ? SettlementResult::kMarkedInDoubt : SettlementResult::kSettled);
    case TableStatus::kConflict:
      return Read(now);
    case TableStatus::kUnknown:
      write_may_take_effect_ = true;
      return Read(now);
    case TableStatus::kUnavailable:
      op_.ScheduleRetry(now);
      return {};
  }
  return {};
}

LedgerActions CallSettlement::Tick(TimePoint now) {
  if (result_ != SettlementResult::kPending) {
    return {};
  }
  if (now >= deadline_) {
    const bool writing = op_.in_flight() && !target_.empty();
    if (write_may_take_effect_ || writing) {
      return End(SettlementResult::kUnknown);
    }
    const bool held = version_ != 0 && row_.state == CallState::kSent;
    return End(held ? SettlementResult::kStillHeld : SettlementResult::kUnavailable);
  }
  if (op_.TimedOut(now)) {
    write_may_take_effect_ = write_may_take_effect_ || !target_.empty();
    op_.ScheduleRetry(now);
    return {};
  }
  return op_.TryResume(now) ? Read(now) : LedgerActions{};
}

std::optional<TimePoint> CallSettlement::NextDeadline() const {
  if (result_ != SettlementResult::kPending) {
    return std::nullopt;
  }
  const auto next = op_.NextDeadline();
  return next ? std::min(*next, deadline_) : deadline_;
}

}  // namespace chiverail
