#ifndef CHIVERAIL_LEDGER_H_
#define CHIVERAIL_LEDGER_H_

#include <optional>
#include <string>

#include "ledger_row.h"
#include "ledger_writer.h"

namespace chiverail {

// A call that has not been sent is refused when the table has not answered for this long.
inline constexpr Duration kTableTimeout = milliseconds(2000);
// Shortest and longest interval between two reads of a row that another instance holds. The
// interval doubles with each read of an unchanged row.
inline constexpr Duration kMinRowPollInterval = milliseconds(100);
inline constexpr Duration kMaxRowPollInterval = milliseconds(1000);
// Longest time for which an answer is held back until it has been recorded in the row. After that
// the caller gets it even if the row is not settled yet.
inline constexpr Duration kMaxAnswerDelay = milliseconds(500);

// One submission of a non-idempotent call.
struct CallSubmission {
  WorkspaceId workspace;
  std::string key;           // idempotency key
  std::string request_hash;  // see CallRequestHash
  RequestId request;
  UpstreamId upstream;   // where the call will be sent
  std::string nonce;     // random, unique for each submission in the fleet
  TimePoint deadline{};  // after this time the caller no longer waits
  Duration answer_timeout = milliseconds(30'000);  // longest wait for the upstream's answer
  // The caller states that it has never submitted this key. Without this, a refusal during a table
  // outage cannot be marked "not run", because an earlier submission may have run.
  bool first_submission = false;
};

// State machine of one submission of a non-idempotent call. It claims the call's row before the
// first byte is sent to the upstream, so that the call runs at most once over all submissions with
// the same key.
//
// The owner executes the returned actions in order and reports their results. After the caller has
// received its reply the owner keeps the object until finished(), because the row may still have to
// be settled.
class LedgerCall {
 public:
  LedgerCall(CallHolder self, CallSubmission submission);

  LedgerActions Start(TimePoint now);

  // Results of store operations. A result of an operation that has timed out is ignored.
  LedgerActions OnRead(std::uint64_t op, const TableReadResult& result, TimePoint now);
  LedgerActions OnWrite(std::uint64_t op, const TableWriteResult& result, TimePoint now);
  LedgerActions OnObjectPut(std::uint64_t op, TableStatus status, TimePoint now);
  LedgerActions OnObjectRead(std::uint64_t op,
                             TableStatus status,
                             const std::string& body,
                             TimePoint now);
  LedgerActions OnHolderState(HolderState state, TimePoint now);

  // Results of SendCall. OnNotSent: the connection is closed, no byte was written and none will be.
  // OnConnectionLost: the connection ended after a byte may have been written.
  LedgerActions OnNotSent(TimePoint now);
  LedgerActions OnConnectionLost(TimePoint now);
  LedgerActions OnAnswer(const RequestId& request,
                         std::uint32_t attempt,
                         CallAnswer answer,
                         TimePoint now);

  // The caller has disconnected. The row of a call that has been sent is still settled.
  LedgerActions OnCallerDisconnected(TimePoint now);

  LedgerActions Tick(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;

  bool finished() const { return phase_ == Phase::kFinished; }
  bool replied() const { return replied_; }
  const std::string& row_key() const { return key_; }

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    kClaiming,        // claim write in flight or due for a retry
    kReading,         // row read in flight or due for a retry
    kPollingRow,      // another holder's row; waiting for the next read
    kMarkingInDoubt,  // in_doubt write for the row of a lost holder in flight
    kReadingObject,   // read of the stored answer in flight or due for a retry
    kSending,
    kSettling,
    kFinished,
  };

  LedgerActions Claim(TimePoint now);
  LedgerActions Read(TimePoint now);
  LedgerActions Interpret(const TableRow& stored, TimePoint now);
  LedgerActions InterpretOwn(const CallRow& row, std::uint64_t version, TimePoint now);
  LedgerActions ClaimNextAttempt(std::uint64_t version, std::uint32_t last_attempt, TimePoint now);
  LedgerActions PollRow(const CallRow& row, std::uint64_t version, TimePoint now);
  LedgerActions MarkInDoubt(std::uint64_t version, TimePoint now);
  bool HasGoneBack(const CallRow& row) const;
  LedgerActions ReplyWithStoredAnswer(CallRow row, TimePoint now);
  LedgerActions ReadObject(TimePoint now);
  LedgerActions Send(std::optional<std::uint64_t> version, TimePoint now);
  LedgerActions SettleAsInDoubt(const std::string& message, bool abort, TimePoint now);
  LedgerActions Release(std::optional<std::uint64_t> version, TimePoint now);
  LedgerActions Abandon(ErrorCode code, const std::string& message, TimePoint now);
  LedgerActions Refuse(ErrorCode code, const std::string& message, Ran ran);
  LedgerActions OnClaimFailed(TableStatus status, TimePoint now);
  LedgerActions Settle(CallState state, std::optional<std::uint64_t> version, TimePoint now);
  LedgerActions AfterSettling(LedgerActions actions);
  LedgerActions TickClaim(TimePoint now);
  LedgerActions ReplyWithAnswer();
  LedgerActions TickSending(TimePoint now);
  LedgerActions Finish(LedgerActions actions);
  // Whether a claim write whose result is unknown may have taken effect or may still do so.
  bool ClaimOutstanding() const;
  CallRow OwnRow(CallState state) const;

  CallHolder self_;
  CallSubmission submission_;
  std::string key_;
  Phase phase_ = Phase::kIdle;
  StoreOp op_{0};
  CallRowWriter writer_;
  bool replied_ = false;
  bool known_not_run_ = false;     // the row as last read shows that no submission has run
  TimePoint last_table_answer_{};  // time of the last answer from the table, or of Start

  // Claim: the row version it replaces, the attempt, and whether an earlier claim write may still
  // take effect.
  std::uint64_t base_version_ = 0;
  std::uint32_t attempt_ = 1;
  bool claim_may_take_effect_ = false;
  TimePoint claim_start_{};  // start of the earliest claim write that may take effect
  std::optional<std::uint64_t> claimed_version_;

  // Row held by another submission, as last read.
  CallRow stored_row_;
  std::uint64_t stored_version_ = 0;  // 0 when there is none
  TimePoint unchanged_since_{};
  Duration poll_interval_ = kMinRowPollInterval;

  bool in_doubt_ = false;  // the row is being settled as in_doubt
  TimePoint answer_deadline_{};
  std::optional<CallAnswer> answer_;  // the upstream's answer, until it is sent to the caller
  TimePoint reply_deadline_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_LEDGER_H_
