#include "retry_rules.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

RetryState State(WorkKind kind, bool resumable, int max_runs) {
  RetryState state;
  state.kind = kind;
  state.resumable = resumable;
  state.max_runs = max_runs;
  state.attempts_made = 1;
  state.runs = 1;
  state.time_left = seconds(1);
  return state;
}

}  // namespace

TEST_CASE("Requests are retried at another upstream only where that is safe") {
  const RetryState book = State(WorkKind::kAtMostOnce, false, 3);
  const RetryState read = State(WorkKind::kIdempotent, false, 2);
  RetryState chat = State(WorkKind::kStream, true, 2);

  SECTION("at-most-once work is retried only if it has certainly not run") {
    CHECK(MayRetry(AttemptFailure::kNotConnected, book));
    CHECK(MayRetry(AttemptFailure::kDeclined, book));
    CHECK(MayRetry(AttemptFailure::kWrongUpstream, book));
    CHECK_FALSE(MayRetry(AttemptFailure::kBroken, book));
    CHECK_FALSE(MayRetry(AttemptFailure::kTimeout, book));
    CHECK_FALSE(MayRetry(AttemptFailure::kErrorResponse, book));
    CHECK_FALSE(MayRetry(AttemptFailure::kBroken, State(WorkKind::kStream, false, 3)));
  }
  SECTION("idempotent work is retried up to the attempts of its route") {
    CHECK(MayRetry(AttemptFailure::kBroken, read));
    RetryState twice = read;
    twice.runs = 2;
    CHECK_FALSE(MayRetry(AttemptFailure::kBroken, twice));
  }
  SECTION("a resumable stream that has started needs a known last event") {
    CHECK(MayRetry(AttemptFailure::kBroken, chat));
    chat.response_started = true;
    CHECK_FALSE(MayRetry(AttemptFailure::kBroken, chat));
    chat.has_event = true;
    CHECK(MayRetry(AttemptFailure::kBroken, chat));
  }
  SECTION("nothing is retried near the deadline or after too many declined attempts") {
    RetryState late = read;
    late.time_left = milliseconds(20);
    CHECK_FALSE(MayRetry(AttemptFailure::kDeclined, late));
    RetryState declined = read;
    declined.attempts_made = 4;
    CHECK_FALSE(MayRetry(AttemptFailure::kDeclined, declined));
  }
}

TEST_CASE("Status 503 is sent only for a request that has not run") {
  CHECK(FailureStatus(AttemptFailure::kDeclined, false) == 503);
  CHECK(FailureStatus(AttemptFailure::kDeclined, true) == 502);
  CHECK(FailureStatus(AttemptFailure::kTimeout, true) == 504);
}

}  // namespace chiverail
