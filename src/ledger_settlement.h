#ifndef CHIVERAIL_LEDGER_SETTLEMENT_H_
#define CHIVERAIL_LEDGER_SETTLEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ledger_row.h"
#include "ledger_writer.h"

namespace chiverail {

// What an operator has found out about an in-doubt call. "Did not run" has to be established after
// the call became in doubt, when no byte of the call can reach the upstream any more.
struct CallResolution {
  std::string operator_name;
  std::string nonce;                 // of the attempt examined; empty for the one in the row
  std::optional<CallAnswer> answer;  // the answer if the call ran; unset if it did not run
};

// Result of a settlement.
enum class SettlementResult : std::uint8_t {
  kPending,
  kSettled,
  kMarkedInDoubt,  // the row was in state sent and is now in doubt; examine the call, settle again
  kNotFound,       // no such call
  kNotInDoubt,     // the call has an outcome already, or got one in the meantime
  kStillHeld,      // a live instance still works on the call
  kUnavailable,    // the store failed; this settlement has not taken effect
  kUnknown,        // the store failed; the settlement may have taken effect
};
inline constexpr std::array<EnumName<SettlementResult>, 8> kSettlementResultNames{{
    {SettlementResult::kPending, "pending"},
    {SettlementResult::kSettled, "settled"},
    {SettlementResult::kMarkedInDoubt, "marked_in_doubt"},
    {SettlementResult::kNotFound, "not_found"},
    {SettlementResult::kNotInDoubt, "not_in_doubt"},
    {SettlementResult::kStillHeld, "still_held"},
    {SettlementResult::kUnavailable, "unavailable"},
    {SettlementResult::kUnknown, "unknown"},
}};

// Settles one in-doubt call as an operator has resolved it, by compare-and-set on the row that the
// operator examined. A row in state sent is polled until its holder can no longer send and is then
// only marked in doubt, because the operator's finding may have become outdated since.
class CallSettlement {
 public:
  CallSettlement(std::string row_key, CallResolution resolution, TimePoint deadline);

  // Returns ReadRow, WriteRows, PutCallObject and QueryHolderState actions only.
  LedgerActions Start(TimePoint now);
  LedgerActions OnRead(std::uint64_t op, const TableReadResult& result, TimePoint now);
  LedgerActions OnWrite(std::uint64_t op, const TableWriteResult& result, TimePoint now);
  LedgerActions OnObjectPut(std::uint64_t op, TableStatus status, TimePoint now);
  LedgerActions OnHolderState(HolderState state, TimePoint now);
  LedgerActions Tick(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;

  SettlementResult result() const { return result_; }
  // The row as last read. After kNotInDoubt it shows the operator the current state of the call.
  const CallRow& row() const { return row_; }

 private:
  LedgerActions Read(TimePoint now);
  LedgerActions Interpret(std::uint64_t version, TimePoint now);
  LedgerActions Settle(TimePoint now);
  LedgerActions Write(CallRow target, TimePoint now);
  LedgerActions End(SettlementResult result);

  std::string key_;
  CallResolution resolution_;
  TimePoint deadline_;
  StoreOp op_{0};
  SettlementResult result_ = SettlementResult::kPending;
  CallRow row_;
  std::uint64_t version_ = 0;    // of row_
  TimePoint unchanged_since_{};  // time at which version_ was first read
  std::string target_;           // printed row of the last write; empty before the first
  std::string nonce_;            // of the attempt that resolution_ applies to
  bool object_put_ = false;
  bool awaiting_holder_state_ = false;
  bool was_sent_ = false;  // the first row read was in state sent
  // A write without an answer may have taken effect or may still do so.
  bool write_may_take_effect_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_LEDGER_SETTLEMENT_H_
