#ifndef CHIVERAIL_LEDGER_ROW_H_
#define CHIVERAIL_LEDGER_ROW_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "table_types.h"
#include "types.h"

namespace chiverail {

// Largest serialized call row that keeps its answer inside the row; larger answers go to the object
// store, because the table is sized for small rows.
inline constexpr std::size_t kCallRowLimitBytes = 64 * 1024;

// State of a non-idempotent call as its row records it.
enum class CallState : std::uint8_t {
  kSent,      // claimed by a holder, which may have sent the call
  kDone,      // ran; the row holds the answer or names the object that holds it
  kReleased,  // the recorded attempt was not sent and never will be
  kInDoubt,   // may have run; only an operator or the original holder's answer settles it
};
inline constexpr std::array<EnumName<CallState>, 4> kCallStateNames{{
    {CallState::kSent, "sent"},
    {CallState::kDone, "done"},
    {CallState::kReleased, "released"},
    {CallState::kInDoubt, "in_doubt"},
}};

// Whether the holder of a row is still an instance of the fleet.
enum class HolderState : std::uint8_t { kLive, kGone };

// The holder may write the first byte only within this time from the start of its claim write.
inline constexpr Duration kClaimSendWindow = milliseconds(2000);
// Another instance marks the call of a holder that has left the fleet as in doubt only after the
// row has stayed unchanged for this long: the send window plus half of it, as a margin for clocks
// that run at different rates.
inline constexpr Duration kInDoubtTimeout = milliseconds(3000);

// The answer of a plain service.
struct CallAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

// Identity of an instance that holds a call.
struct CallHolder {
  InstanceId instance;
  std::uint64_t generation = 0;
};

// The row of a non-idempotent call.
struct CallRow {
  CallState state = CallState::kSent;
  std::uint32_t attempt = 1;
  std::string nonce;  // unique for each submission; by it the holder recognises its own writes
  CallHolder holder;
  UpstreamId upstream;
  RequestId request;
  std::string request_hash;
  Duration answer_timeout{0};  // how long after the send the holder waits for the upstream's answer
  CallAnswer answer;           // in state kDone; the body is empty when `object` is set
  std::string object;          // name of the object with the body
  std::string object_hash;     // HashText of the body in hexadecimal
  std::string settled_by;      // operator who settled an in-doubt call
};

// Parses the value of a call row. Throws InvalidDocument when it is not one.
CallRow ParseCallRow(const std::string& value);

// Writes a call row in the form that ParseCallRow accepts. The body must be UTF-8 text.
std::string SerializeCallRow(const CallRow& row);

// Returns whether the answer of a finished call has to be stored in the object store instead of in
// the row: the body is not UTF-8 text or the serialized row would exceed kCallRowLimitBytes.
bool NeedsObject(const CallRow& row);

// Hash of the request that a key was first used for: service, operation and body.
std::string CallRequestHash(std::string_view service,
                            std::string_view operation,
                            std::string_view body);

// Hash of an answer body, which a done row records next to the object's name.
std::string CallBodyHash(std::string_view body);

// Name of the object for an answer. It contains the nonce, so that two attempts never write the
// same object; a retried write of one attempt always writes the same bytes.
std::string CallObjectName(const std::string& row_key, const CallRow& row);

// Returns how long the row of a sent call must stay unchanged before another instance may mark it
// in doubt. A holder that has left the fleet will not write the outcome; a listed holder that has
// had time for the whole call no longer has it in memory (its ledger was restarted). Both timeouts
// exceed the send window, so the holder can no longer send; it may still report an answer.
Duration InDoubtTimeoutFor(const CallRow& row, HolderState holder);

// Returns whether a key may be used in a row key: 1 to 128 characters out of letters, digits, '-',
// '_', '.' and ':'. A '/' would let two workspaces share a row.
bool IsValidIdempotencyKey(std::string_view key);

}  // namespace chiverail

#endif  // CHIVERAIL_LEDGER_ROW_H_
