#include "exchange.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

const TimePoint kStart{};

template <typename T>
const T* FindAction(const ExchangeActions& actions) {
  for (const ExchangeAction& action : actions) {
    if (const T* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

template <typename T>
T GetAction(const ExchangeActions& actions) {
  REQUIRE(FindAction<T>(actions) != nullptr);
  return *FindAction<T>(actions);
}

}  // namespace

TEST_CASE("An exchange delivers one complete answer to its caller") {
  const ExchangeLimits limits;
  Exchange exchange({"r1", kStart + seconds(60), std::nullopt, 0}, limits);
  CHECK_FALSE(GetAction<SelectUpstream>(exchange.Start(kStart)).retry);
  const auto first = GetAction<OpenLink>(exchange.OnUpstream(1, "e1", kStart));
  CHECK_FALSE(first.resume);

  SECTION("the stream starts") {
    const auto start = GetAction<SendStart>(exchange.OnHead(first.link, "r1", 1, kStart));
    const auto token = ParseResumeToken(start.resume_token);
    REQUIRE(token);
    CHECK(token->upstream == "e1");
    CHECK(GetAction<SendText>(exchange.OnText(first.link, 0, "hello ", kStart)).offset == 0);

    SECTION("and is complete with the end mark") {
      CHECK(GetAction<SendText>(exchange.OnText(first.link, 6, "world", kStart)).offset == 6);
      const auto actions = exchange.OnEnd(first.link, {2, 11}, kStart);
      CHECK(FindAction<SendEnd>(actions) != nullptr);
      CHECK(GetAction<AttemptEnded>(actions).completed);
    }
    SECTION("repeated text is removed, missing text leads to a resume") {
      CHECK(GetAction<SendText>(exchange.OnText(first.link, 0, "hello wo", kStart)).text == "wo");
      const auto resume = GetAction<OpenLink>(exchange.OnText(first.link, 9, "ld", kStart));
      CHECK(resume.resume);
      CHECK(resume.offset == 8);
    }
    SECTION("an end mark with a length beyond the received text leads to a resume") {
      CHECK(GetAction<OpenLink>(exchange.OnEnd(first.link, {2, 11}, kStart)).resume);
    }
    SECTION("the end of the connection is not the end of the answer") {
      const auto resume = GetAction<OpenLink>(exchange.OnLinkClosed(first.link, true, kStart));
      CHECK(resume.resume);
      CHECK(resume.offset == 6);
      CHECK(resume.attempt == 1);

      SECTION("lines that arrive late on the old connection are dropped") {
        CHECK(exchange.OnText(first.link, 6, "world", kStart).empty());
        CHECK(exchange.dropped() == 1);
      }
      SECTION(
          "if the engine lost the stream, a new attempt is checked against the delivered text") {
        const auto refused = exchange.OnRefused(
            resume.link, {ErrorCode::kNotFound, "", Ran::kUnknown}, true, kStart);
        CHECK(GetAction<CancelAttempt>(refused).attempt == 1);
        CHECK(GetAction<SelectUpstream>(refused).retry);
        const auto fresh = GetAction<OpenLink>(exchange.OnUpstream(2, "e2", kStart));
        CHECK(fresh.offset == 0);
        CHECK(GetAction<SendStart>(exchange.OnHead(fresh.link, "r1", 2, kStart)).attempt == 2);

        SECTION("identical text continues at the caller's offset") {
          const auto text =
              GetAction<SendText>(exchange.OnText(fresh.link, 0, "hello wor", kStart));
          CHECK(text.offset == 6);
          CHECK(text.text == "wor");
        }
        SECTION("different text is an error and is not mixed into the answer") {
          const auto actions = exchange.OnText(fresh.link, 0, "hullo wor", kStart);
          CHECK(FindAction<SendText>(actions) == nullptr);
          CHECK(GetAction<SendError>(actions).error.ran == Ran::kYes);
        }
      }
    }
    SECTION("a connection without data for the gap timeout is replaced") {
      CHECK(GetAction<OpenLink>(exchange.Tick(kStart + limits.gap)).resume);
    }
    SECTION("after the caller disconnects, the stream is read to its end") {
      exchange.OnCallerDisconnected(kStart);
      CHECK(exchange.OnText(first.link, 6, "world", kStart).empty());
      CHECK(GetAction<AttemptEnded>(exchange.OnEnd(first.link, {2, {}}, kStart)).completed);
    }
  }
  SECTION("the answer to another request is dropped and the attempt abandoned") {
    const auto actions = exchange.OnHead(first.link, "r2", 1, kStart);
    CHECK(FindAction<CloseLink>(actions) != nullptr);
    CHECK(GetAction<CancelAttempt>(actions).attempt == 1);
    CHECK(GetAction<SelectUpstream>(actions).attempt == 2);
  }
  SECTION("an engine that could not be reached is not charged to the retry budget") {
    CHECK_FALSE(GetAction<SelectUpstream>(exchange.OnLinkClosed(first.link, false, kStart)).retry);
    SECTION("and a subsequent refusal reports \"not run\"") {
      const auto actions = exchange.OnNoUpstream(2, {ErrorCode::kNoCapacity, "", Ran::kNo}, kStart);
      CHECK(GetAction<SendError>(actions).error.ran == Ran::kNo);
    }
    SECTION("a slot granted after the caller disconnected is returned") {
      exchange.OnCallerDisconnected(kStart);
      CHECK(GetAction<AttemptEnded>(exchange.OnUpstream(2, "e2", kStart)).upstream == "e2");
    }
  }
  SECTION("a refusal waits for the report whether a byte was written") {
    const auto actions = exchange.Tick(kStart + seconds(60));
    CHECK(FindAction<CloseLink>(actions) != nullptr);
    CHECK(FindAction<SendError>(actions) == nullptr);
    SECTION("no byte was written") {
      const auto closed = exchange.OnLinkClosed(first.link, false, kStart + seconds(60));
      CHECK(GetAction<SendError>(closed).error.ran == Ran::kNo);
    }
    SECTION("a byte was written") {
      const auto closed = exchange.OnLinkClosed(first.link, true, kStart + seconds(60));
      CHECK(GetAction<SendError>(closed).error.ran == Ran::kUnknown);
    }
    SECTION("the report does not arrive in time") {
      CHECK(GetAction<SendError>(exchange.Tick(kStart + seconds(61))).error.ran == Ran::kUnknown);
    }
  }
}

TEST_CASE("A stream is resumed on another instance by its resume token") {
  const auto token = ParseResumeToken(SerializeResumeToken({"e1", "r1", 3}));
  REQUIRE(token);
  CHECK_FALSE(ParseResumeToken("3.6531.7231.00000000"));

  SECTION("with the token of the same request") {
    Exchange exchange({"r1", kStart + seconds(60), token, 6}, {});
    const auto link = GetAction<OpenLink>(exchange.Start(kStart));
    CHECK(link.resume);
    CHECK(link.offset == 6);
    CHECK(link.attempt == 3);
    CHECK(FindAction<SendStart>(exchange.OnHead(link.link, "r1", 3, kStart)) != nullptr);
    CHECK(GetAction<SendText>(exchange.OnText(link.link, 4, "o world", kStart)).text == "world");

    SECTION(
        "a lost stream cannot be replaced by a new attempt, since the delivered text is unknown") {
      const auto actions =
          exchange.OnRefused(link.link, {ErrorCode::kNotFound, "", Ran::kUnknown}, true, kStart);
      CHECK(GetAction<SendError>(actions).error.code == ErrorCode::kResumeFailed);
      CHECK(GetAction<SendError>(actions).error.ran == Ran::kYes);
    }
  }
  SECTION("with the token of another request, it is refused") {
    Exchange exchange({"r2", kStart + seconds(60), token, 6}, {});
    CHECK(GetAction<SendError>(exchange.Start(kStart)).error.code == ErrorCode::kInvalidField);
  }
  SECTION("a new attempt after a resume at offset 0 gets an unused attempt number") {
    Exchange exchange({"r1", kStart + seconds(60), token, 0}, {});
    const auto link = GetAction<OpenLink>(exchange.Start(kStart));
    const auto actions =
        exchange.OnRefused(link.link, {ErrorCode::kNotFound, "", Ran::kUnknown}, true, kStart);
    CHECK(GetAction<SelectUpstream>(actions).attempt == kAttemptStride + 1);
  }
}
