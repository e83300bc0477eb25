#include "ledger.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

const TimePoint kStart{};

CallSubmission Booking(const std::string& nonce) {
  CallSubmission submission;
  submission.workspace = "w1";
  submission.key = "booking-7";
  submission.request_hash = CallRequestHash("booking", "book", "seat 4");
  submission.request = "r-" + nonce;
  submission.upstream = "plain1";
  submission.nonce = nonce;
  submission.deadline = kStart + seconds(60);
  return submission;
}

template <typename T>
const T* Find(const LedgerActions& actions) {
  for (const LedgerAction& action : actions) {
    if (const T* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

template <typename T>
T Only(const LedgerActions& actions) {
  REQUIRE(Find<T>(actions) != nullptr);
  return *Find<T>(actions);
}

std::string RowOf(CallState state, const std::string& nonce, std::uint32_t attempt = 1) {
  CallRow row;
  row.state = state;
  row.attempt = attempt;
  row.nonce = nonce;
  row.holder = {"i2", 1};
  row.request_hash = CallRequestHash("booking", "book", "seat 4");
  row.answer_timeout = seconds(30);
  row.answer = {200, "text/plain", "booked"};
  return SerializeCallRow(row);
}

TableReadResult Read(std::uint64_t version, const std::string& value) {
  return {TableStatus::kOk, {"call/w1/booking-7", version, value}};
}

}  // namespace

TEST_CASE("A non-idempotent call claims its row before it is sent") {
  LedgerCall call({"i1", 1}, Booking("n1"));
  const auto claim = Only<WriteRows>(call.Start(kStart));
  REQUIRE(claim.transaction.conditions.size() == 1);
  CHECK(claim.transaction.conditions[0].version == 0);
  CHECK(ParseCallRow(claim.transaction.puts[0].value).state == CallState::kSent);

  SECTION("the claim succeeds and the call is sent") {
    const auto sent = Only<SendCall>(call.OnWrite(claim.op, {TableStatus::kOk, {{"", 5}}}, kStart));
    CHECK(sent.send_before == kStart + kClaimSendWindow);

    SECTION("the answer is recorded, then given to the caller") {
      const auto done = Only<WriteRows>(
          call.OnAnswer("r-n1", 1, {200, "text/plain", "booked"}, kStart + seconds(1)));
      CHECK(done.transaction.conditions[0].version == 5);
      const auto actions =
          call.OnWrite(done.op, {TableStatus::kOk, {{"", 6}}}, kStart + seconds(1));
      CHECK(Only<AnswerCaller>(actions).answer.body == "booked");
      CHECK(call.finished());
    }
    SECTION("a failed write of the record does not withhold the answer from the caller") {
      const auto done = Only<WriteRows>(call.OnAnswer("r-n1", 1, {}, kStart + seconds(1)));
      const auto actions = call.OnWrite(done.op, {TableStatus::kUnavailable, {}}, kStart);
      CHECK(Find<AnswerCaller>(actions) != nullptr);
      CHECK_FALSE(call.finished());
      CHECK(Find<WriteRows>(call.Tick(kStart + seconds(2))) != nullptr);
    }
    SECTION("an answer to another request is not accepted for this call") {
      const auto actions = call.OnAnswer("r-other", 1, {}, kStart + seconds(1));
      CHECK(Find<AbortCall>(actions) != nullptr);
      CHECK(Only<RefuseCaller>(actions).error.ran == Ran::kUnknown);
    }
    SECTION("an upstream that does not answer leaves the call in doubt, never \"not run\"") {
      const auto actions = call.Tick(kStart + seconds(31));
      CHECK(Only<RefuseCaller>(actions).error.code == ErrorCode::kInDoubt);
      CHECK(Only<RefuseCaller>(actions).error.ran == Ran::kUnknown);
      const auto row = Only<WriteRows>(actions);
      CHECK(ParseCallRow(row.transaction.puts[0].value).state == CallState::kInDoubt);

      SECTION("a late answer settles it, but not over an operator's settlement") {
        const auto read = Only<ReadRow>(call.OnAnswer("r-n1", 1, {}, kStart + seconds(32)));
        CallRow settled = ParseCallRow(RowOf(CallState::kReleased, "n1"));
        settled.settled_by = "operator";
        CHECK(
            call.OnRead(read.op, Read(9, SerializeCallRow(settled)), kStart + seconds(32)).empty());
        CHECK(call.finished());
      }
    }
    SECTION("a connection on which no byte was written releases the row") {
      const auto actions = call.OnNotSent(kStart + seconds(1));
      CHECK(Only<RefuseCaller>(actions).error.ran == Ran::kNo);
      const auto row = Only<WriteRows>(actions);
      CHECK(ParseCallRow(row.transaction.puts[0].value).state == CallState::kReleased);
    }
  }
  SECTION("an instance paused beyond the send window does not send") {
    const auto actions =
        call.OnWrite(claim.op, {TableStatus::kOk, {{"", 5}}}, kStart + kClaimSendWindow);
    CHECK(Find<SendCall>(actions) == nullptr);
    CHECK(Only<RefuseCaller>(actions).error.ran == Ran::kNo);
  }
  SECTION("a lost write answer is resolved by the nonce") {
    const auto read = Only<ReadRow>(call.OnWrite(claim.op, {TableStatus::kUnknown, {}}, kStart));
    SECTION("own nonce: the claim has taken effect") {
      CHECK(Find<SendCall>(call.OnRead(read.op, Read(5, RowOf(CallState::kSent, "n1")), kStart)));
    }
    SECTION("another nonce: this submission waits and returns the other's answer") {
      const auto row = Read(5, RowOf(CallState::kSent, "n2"));
      CHECK(Find<QueryHolderState>(call.OnRead(read.op, row, kStart)) != nullptr);
      const auto again = Only<ReadRow>(call.Tick(kStart + kMinRowPollInterval));
      const auto actions = call.OnRead(again.op, Read(6, RowOf(CallState::kDone, "n2")),
                                       kStart + kMinRowPollInterval);
      CHECK(Only<AnswerCaller>(actions).stored);
    }
    SECTION("no row yet: the claim is retried with the same nonce and the same window") {
      const TimePoint later = kStart + milliseconds(500);
      const auto again = Only<WriteRows>(call.OnRead(read.op, Read(0, ""), later));
      const auto sent =
          Only<SendCall>(call.OnWrite(again.op, {TableStatus::kOk, {{"", 5}}}, later));
      CHECK(sent.send_before == kStart + kClaimSendWindow);
    }
  }
}

TEST_CASE("A repeated call is answered from its row") {
  LedgerCall call({"i1", 1}, Booking("n1"));
  const auto claim = Only<WriteRows>(call.Start(kStart));
  const auto read = Only<ReadRow>(call.OnWrite(claim.op, {TableStatus::kConflict, {}}, kStart));

  SECTION("done: the stored answer") {
    const auto actions = call.OnRead(read.op, Read(3, RowOf(CallState::kDone, "n2")), kStart);
    CHECK(Only<AnswerCaller>(actions).answer.body == "booked");
  }
  SECTION("done with a large answer: the body comes from the object store and is checked") {
    CallRow row = ParseCallRow(RowOf(CallState::kDone, "n2"));
    row.answer.body = std::string(kCallRowLimitBytes, 'x');
    REQUIRE(NeedsObject(row));
    row.object = "large";
    row.object_hash = CallBodyHash(row.answer.body);
    const auto object =
        Only<GetCallObject>(call.OnRead(read.op, Read(3, SerializeCallRow(row)), kStart));
    SECTION("intact") {
      const auto actions = call.OnObjectRead(object.op, TableStatus::kOk, row.answer.body, kStart);
      CHECK(Only<AnswerCaller>(actions).answer.body == row.answer.body);
    }
    SECTION("unavailable: the caller is told that the call ran") {
      call.OnObjectRead(object.op, TableStatus::kUnavailable, "", kStart);
      CHECK(Only<RefuseCaller>(call.Tick(kStart + seconds(3))).error.ran == Ran::kYes);
    }
  }
  SECTION("another request under the same key is refused") {
    CallRow row = ParseCallRow(RowOf(CallState::kDone, "n2"));
    row.request_hash = "other";
    const auto actions = call.OnRead(read.op, Read(3, SerializeCallRow(row)), kStart);
    CHECK(Only<RefuseCaller>(actions).error.code == ErrorCode::kIdempotencyKeyReused);
  }
  SECTION("released: the call runs with the next attempt number") {
    const auto again = Only<WriteRows>(
        call.OnRead(read.op, Read(3, RowOf(CallState::kReleased, "n2", 4)), kStart));
    CHECK(again.transaction.conditions[0].version == 3);
    CHECK(ParseCallRow(again.transaction.puts[0].value).attempt == 5);
  }
  SECTION("sent by a holder that is gone: in doubt, after the holder's send window") {
    const auto row = Read(3, RowOf(CallState::kSent, "n2"));
    call.OnRead(read.op, row, kStart);
    CHECK(call.OnHolderState(HolderState::kGone, kStart).empty());
    const TimePoint later = kStart + kInDoubtTimeout;
    call.OnRead(Only<ReadRow>(call.Tick(kStart + seconds(1))).op, row, later);
    const auto mark = Only<WriteRows>(call.OnHolderState(HolderState::kGone, later));
    CHECK(ParseCallRow(mark.transaction.puts[0].value).state == CallState::kInDoubt);
  }
}

TEST_CASE("A call refused in a table outage is never falsely \"not run\"") {
  CallSubmission submission = Booking("n1");
  submission.first_submission = GENERATE(true, false);
  LedgerCall call({"i1", 1}, submission);
  const auto claim = Only<WriteRows>(call.Start(kStart));
  call.OnWrite(claim.op, {TableStatus::kUnavailable, {}}, kStart);
  const auto error = Only<RefuseCaller>(call.Tick(kStart + kTableTimeout)).error;
  CHECK(error.code == ErrorCode::kStoreUnavailable);
  // An earlier submission may have run unless the caller states that there was none.
  CHECK(error.ran == (submission.first_submission ? Ran::kNo : Ran::kUnknown));
  CHECK(call.finished());
}
