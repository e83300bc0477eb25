#include "send_rules.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

SendState State(WorkKind kind, bool resumable, int attempts) {
  SendState state;
  state.kind = kind;
  state.resumable = resumable;
  state.attempts = attempts;
  state.sends = 1;
  state.runs = 1;
  state.time_left = seconds(1);
  return state;
}

}  // namespace

TEST_CASE("Requests are retried at another upstream only where that is safe") {
  const SendState book = State(WorkKind::kAtMostOnce, false, 3);
  const SendState read = State(WorkKind::kIdempotent, false, 2);
  SendState chat = State(WorkKind::kStream, true, 2);

  SECTION("at-most-once work is retried only if it has certainly not run") {
    CHECK(MaySendAgain(AttemptEnd::kNotConnected, book));
    CHECK(MaySendAgain(AttemptEnd::kDeclined, book));
    CHECK(MaySendAgain(AttemptEnd::kWrongUpstream, book));
    CHECK_FALSE(MaySendAgain(AttemptEnd::kBroken, book));
    CHECK_FALSE(MaySendAgain(AttemptEnd::kSilent, book));
    CHECK_FALSE(MaySendAgain(AttemptEnd::kFailedAnswer, book));
    CHECK_FALSE(MaySendAgain(AttemptEnd::kBroken, State(WorkKind::kStream, false, 3)));
  }
  SECTION("idempotent work is retried up to the attempts of its route") {
    CHECK(MaySendAgain(AttemptEnd::kBroken, read));
    SendState twice = read;
    twice.runs = 2;
    CHECK_FALSE(MaySendAgain(AttemptEnd::kBroken, twice));
  }
  SECTION("a resumable stream that has started needs a known last event") {
    CHECK(MaySendAgain(AttemptEnd::kBroken, chat));
    chat.answer_started = true;
    CHECK_FALSE(MaySendAgain(AttemptEnd::kBroken, chat));
    chat.has_event = true;
    CHECK(MaySendAgain(AttemptEnd::kBroken, chat));
  }
  SECTION("nothing is retried near the deadline or after too many declined attempts") {
    SendState late = read;
    late.time_left = milliseconds(20);
    CHECK_FALSE(MaySendAgain(AttemptEnd::kDeclined, late));
    SendState declined = read;
    declined.sends = 4;
    CHECK_FALSE(MaySendAgain(AttemptEnd::kDeclined, declined));
  }
}

TEST_CASE("Status 503 is sent only for a request that has not run") {
  CHECK(FailureStatus(AttemptEnd::kDeclined, false) == 503);
  CHECK(FailureStatus(AttemptEnd::kDeclined, true) == 502);
  CHECK(FailureStatus(AttemptEnd::kSilent, true) == 504);
}

}  // namespace chiverail
