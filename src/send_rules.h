#ifndef CHIVERAIL_SEND_RULES_H_
#define CHIVERAIL_SEND_RULES_H_

#include <array>
#include <cstdint>

#include "route_table.h"
#include "types.h"

namespace chiverail {

// How an attempt at an upstream has ended, short of a whole answer.
enum class AttemptEnd : std::uint8_t {
  kNotConnected,   // nothing was sent
  kDeclined,       // the upstream says that it didn't run the request
  kWrongUpstream,  // another upstream has the address
  kBroken,         // cut or spoilt after the request was sent; it may have run
  kSilent,         // no answer, or no event, within the patience
  kFailedAnswer,   // a whole answer that says failure
};
inline constexpr std::array<EnumName<AttemptEnd>, 6> kAttemptEndNames{{
    {AttemptEnd::kNotConnected, "not_connected"},
    {AttemptEnd::kDeclined, "declined"},
    {AttemptEnd::kWrongUpstream, "wrong_upstream"},
    {AttemptEnd::kBroken, "broken"},
    {AttemptEnd::kSilent, "silent"},
    {AttemptEnd::kFailedAnswer, "failed_answer"},
}};

// Where a request stands when one of its attempts has ended.
struct SendState {
  WorkKind kind = WorkKind::kAtMostOnce;
  bool resumable = false;       // a stream may go on at another upstream
  int attempts = 1;             // upstreams on which it may run
  int sends = 0;                // requests that may have reached an upstream
  int runs = 0;                 // of these, those that may have run, the ended one included
  bool answer_started = false;  // the caller has received a part of the answer
  bool has_event = false;       // of which the last event is known
  Duration time_left{};         // until the request is given up
};

// True for work that may run more than once.
bool Repeatable(WorkKind kind, bool resumable);

// True if the upstream may have run the request.
bool MayHaveRun(AttemptEnd end);

// True if the request may be sent to a further upstream. Work that may have run is only repeated
// where the route allows it and the answer hasn't begun, or where the stream can go on after its
// last event.
bool MaySendAgain(AttemptEnd end, const SendState& state);

// Status for the caller of a request that isn't sent again: 503 promises that it has not run.
int FailureStatus(AttemptEnd end, bool may_have_run);

}  // namespace chiverail

#endif  // CHIVERAIL_SEND_RULES_H_
