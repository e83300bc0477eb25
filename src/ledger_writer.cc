#include "ledger_writer.h"

#include <algorithm>
#include <utility>

#include "manifest.h"

namespace chiverail {
namespace {

// Separates the operation numbers of the writer from those of the claim.
constexpr std::uint64_t kWriterOpBase = std::uint64_t{1} << 32;

}  // namespace

std::uint64_t StoreOp::Start(TimePoint now) {
  in_flight_ = true;
  resume_at_.reset();
  timeout_at_ = now + kLedgerStoreTimeout;
  return ++last_;
}

bool StoreOp::End(std::uint64_t op) {
  if (!in_flight_ || op != last_) {
    return false;
  }
  in_flight_ = false;
  return true;
}

void StoreOp::ScheduleRetry(TimePoint now) {
  in_flight_ = false;
  resume_at_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kLedgerMaxRetryDelay);
}

void StoreOp::Clear() {
  in_flight_ = false;
  resume_at_.reset();
}

bool StoreOp::TryResume(TimePoint now) {
  if (!resume_at_ || now < *resume_at_) {
    return false;
  }
  resume_at_.reset();
  return true;
}

std::optional<TimePoint> StoreOp::NextDeadline() const {
  return in_flight_ ? std::optional<TimePoint>(timeout_at_) : resume_at_;
}

CallRowWriter::CallRowWriter(std::string key) : key_(std::move(key)), op_(kWriterOpBase) {}

LedgerActions CallRowWriter::Begin(CallRow target,
                                   std::optional<std::uint64_t> version,
                                   TimePoint now) {
  target_ = std::move(target);
  version_ = version;
  first_version_ = version.value_or(0);
  object_needed_ = target_.state == CallState::kDone && NeedsObject(target_);
  if (object_needed_) {
    target_.object = CallObjectName(key_, target_);
    target_.object_hash = CallBodyHash(target_.answer.body);
  }
  finished_ = false;
  delayed_ = false;
  op_.Clear();
  op_.ResetRetryDelay();
  return Next(now);
}

// Writes the object before the row that names it, so that a done row never names a missing object.
LedgerActions CallRowWriter::Next(TimePoint now) {
  if (object_needed_) {
    return {PutCallObject{op_.Start(now), target_.object, target_.answer.body}};
  }
  if (!version_) {
    return {ReadRow{op_.Start(now), key_}};
  }
  return {
      WriteRows{op_.Start(now), {{{key_, *version_}}, {{key_, SerializeCallRow(target_)}}, {}}}};
}

LedgerActions CallRowWriter::Retry(TimePoint now) {
  delayed_ = true;
  op_.ScheduleRetry(now);
  return {};
}

// Leaves a row as it is once an operator has settled it, even if the holder has a different
// outcome: the operator may have acted on the settlement. The row of a later attempt must not be
// changed either. An attempt that was sent had its claim in the row, so the row of an earlier one
// shows that the table has gone back.
bool CallRowWriter::MayOverwrite(const CallRow& row, std::uint64_t version) const {
  const bool sent = target_.state == CallState::kDone || target_.state == CallState::kInDoubt;
  if (sent && row.attempt < target_.attempt) {
    return true;
  }
  if (row.nonce != target_.nonce || row.attempt != target_.attempt) {
    // A release for a claim that has not taken effect: the row still has the version that the claim
    // was to replace.
    return version == first_version_ && target_.state == CallState::kReleased;
  }
  if (!row.settled_by.empty() || row.state == target_.state) {
    return false;
  }
  return row.state == CallState::kSent ||
         (row.state == CallState::kInDoubt && target_.state != CallState::kInDoubt);
}

LedgerActions CallRowWriter::OnRead(std::uint64_t op,
                                    const TableReadResult& result,
                                    TimePoint now) {
  if (!op_.End(op)) {
    return {};
  }
  if (result.status != TableStatus::kOk) {
    return Retry(now);
  }
  op_.ResetRetryDelay();
  if (result.row.version != 0) {
    try {
      finished_ = !MayOverwrite(ParseCallRow(result.row.value), result.row.version);
    } catch (const InvalidDocument&) {
      finished_ = true;  // not a valid call row any more
    }
  }
  if (finished_) {
    return {};
  }
  version_ = result.row.version;
  return Next(now);
}

// After a conflict or a lost answer the row is read again, since only the row shows what was
// written.
LedgerActions CallRowWriter::OnWrite(std::uint64_t op,
                                     const TableWriteResult& result,
                                     TimePoint now) {
  if (!op_.End(op)) {
    return {};
  }
  switch (result.status) {
    case TableStatus::kOk:
      finished_ = true;
      return {};
    case TableStatus::kConflict:
      version_.reset();
      return Next(now);
    case TableStatus::kUnknown:
      version_.reset();
      return Retry(now);
    case TableStatus::kUnavailable:
      return Retry(now);
  }
  return {};
}

LedgerActions CallRowWriter::OnObjectPut(std::uint64_t op, TableStatus status, TimePoint now) {
  if (!op_.End(op)) {
    return {};
  }
  if (status != TableStatus::kOk) {
    return Retry(now);
  }
  object_needed_ = false;
  op_.ResetRetryDelay();
  return Next(now);
}

LedgerActions CallRowWriter::Tick(TimePoint now) {
  if (op_.TimedOut(now)) {
    if (!object_needed_) {
      version_.reset();  // the operation may have been a write
    }
    return Retry(now);
  }
  return op_.TryResume(now) ? Next(now) : LedgerActions{};
}

}  // namespace chiverail
