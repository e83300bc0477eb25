#ifndef CHIVERAIL_LEDGER_WRITER_H_
#define CHIVERAIL_LEDGER_WRITER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ledger_row.h"

namespace chiverail {

// Timeout of a table or object operation, because a connection to the platform can stop responding
// without being closed.
inline constexpr Duration kLedgerStoreTimeout = milliseconds(1000);
// Delay before a store operation is retried; doubled up to kLedgerMaxRetryDelay.
inline constexpr Duration kLedgerRetryDelay = milliseconds(100);
inline constexpr Duration kLedgerMaxRetryDelay = milliseconds(2000);

// Writes an object; answered by OnObjectPut.
struct PutCallObject {
  std::uint64_t op = 0;
  std::string name;
  std::string body;
};

// Reads an object; answered by OnObjectRead.
struct GetCallObject {
  std::uint64_t op = 0;
  std::string name;
};

// Looks up whether the members rows still list a holder under its generation; answered by
// OnHolderState. For the own instance the answer is kGone when no other LedgerCall in its memory
// has the row.
struct QueryHolderState {
  CallHolder holder;
};

// Sends the call on a new connection. The check against `send_before` must be the last step before
// the first byte is written; when it fails, the connection is closed and OnNotSent is reported.
struct SendCall {
  UpstreamId upstream;
  RequestId request;
  std::uint32_t attempt = 0;
  TimePoint send_before;
};

// Resets the connection of the call, so that no byte still queued in it is sent.
struct AbortCall {};

// Sends the answer to the caller.
struct AnswerCaller {
  CallAnswer answer;
  bool stored = false;  // true when the answer was read from the row
};

// Sends an error to the caller.
struct RefuseCaller {
  RequestError error;
};

using LedgerAction = std::variant<ReadRow,
                                  WriteRows,
                                  PutCallObject,
                                  GetCallObject,
                                  QueryHolderState,
                                  SendCall,
                                  AbortCall,
                                  AnswerCaller,
                                  RefuseCaller>;
using LedgerActions = std::vector<LedgerAction>;

// The single store operation in flight, and the delay before the next one.
class StoreOp {
 public:
  // Operation numbers start above `base`, so that the two StoreOps of one call use different
  // numbers.
  explicit StoreOp(std::uint64_t base) : last_(base) {}

  // Starts an operation and returns its number.
  std::uint64_t Start(TimePoint now);
  // Ends the operation. Returns false when `op` is an earlier operation.
  bool End(std::uint64_t op);
  // Schedules the next operation after a delay that doubles with each call.
  void ScheduleRetry(TimePoint now);
  void ScheduleAt(TimePoint when) { resume_at_ = when; }
  void ResetRetryDelay() { retry_delay_ = kLedgerRetryDelay; }
  void Clear();

  std::uint64_t current() const { return last_; }
  bool in_flight() const { return in_flight_; }
  bool TimedOut(TimePoint now) const { return in_flight_ && now >= timeout_at_; }
  // Returns whether the next operation is due; if so, clears its schedule.
  bool TryResume(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;

 private:
  std::uint64_t last_;
  bool in_flight_ = false;
  TimePoint timeout_at_{};
  std::optional<TimePoint> resume_at_;
  Duration retry_delay_ = kLedgerRetryDelay;
};

// Writes the outcome of a call over the holder's claim, with retries until the store accepts it.
// Never overwrites what an operator or a later attempt has written.
class CallRowWriter {
 public:
  explicit CallRowWriter(std::string key);

  // Starts to write `target` over `version`; without a version the row is read first. A second call
  // replaces the target (for an answer that arrives while in_doubt is being written).
  LedgerActions Begin(CallRow target, std::optional<std::uint64_t> version, TimePoint now);

  LedgerActions OnRead(std::uint64_t op, const TableReadResult& result, TimePoint now);
  LedgerActions OnWrite(std::uint64_t op, const TableWriteResult& result, TimePoint now);
  LedgerActions OnObjectPut(std::uint64_t op, TableStatus status, TimePoint now);
  LedgerActions Tick(TimePoint now);

  bool finished() const { return finished_; }
  // Whether a store operation has failed or timed out since Begin.
  bool delayed() const { return delayed_; }
  std::optional<TimePoint> NextDeadline() const { return op_.NextDeadline(); }

 private:
  LedgerActions Next(TimePoint now);
  LedgerActions Retry(TimePoint now);
  bool MayOverwrite(const CallRow& row, std::uint64_t version) const;

  std::string key_;
  CallRow target_;
  std::optional<std::uint64_t> version_;
  std::uint64_t first_version_ = 0;
  bool object_needed_ = false;
  bool finished_ = false;
  bool delayed_ = false;
  StoreOp op_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_LEDGER_WRITER_H_
