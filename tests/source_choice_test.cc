#include "source_choice.h"

#include <set>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr std::size_t kInstances = 295;

SourceView Readers(double turn = 0.5) {
  return {{"reader-1", "reader-2", "reader-3"}, kInstances, turn};
}

}  // namespace

// Guards against a wave of calls to the store (gge-chiverail-large quiet-1: 20,000 calls in a day):
// one failed call to a reader made an instance read the store itself for seconds.
TEST_CASE("An instance whose reader fails turns to other readers before the store") {
  SourceChoice choice(1);
  const auto pick = [&](Duration after) { return choice.Pick(Readers(), false, kStart + after); };
  CHECK(pick({}) == "reader-1");
  choice.OnFailed("reader-1", true, kStart);
  CHECK(pick({}) == "reader-2");
  choice.OnFailed("reader-2", true, kStart);
  CHECK(pick({}) == "reader-3");

  SECTION("a reader that answered with old rows is tried again soon, a silent one later") {
    choice.OnFailed("reader-3", false, kStart);
    CHECK(pick(milliseconds(300)) == "reader-3");
    CHECK(pick(seconds(3)) == "reader-1");
  }
  SECTION("a reader that answers again is used again") {
    choice.OnSucceeded("reader-1");
    CHECK(pick({}) == "reader-1");
  }
  SECTION("without instances to read from, the store is read") {
    CHECK(choice.Pick({{}, 1, 0}, true, kStart) == SourceChoice::kStore);
    CHECK(choice.Pick({{SourceChoice::kStore}, kInstances, 0}, true, kStart) ==
          SourceChoice::kStore);
  }
}

TEST_CASE("An instance with rows reads from one that is heard of") {
  SourceChoice choice(1);
  choice.OnNotice("reader-2", kStart);
  choice.OnNotice("elsewhere", kStart);
  const auto pick = [&](Duration after) { return choice.Pick(Readers(), true, kStart + after); };
  CHECK(pick({}) == "reader-2");

  SECTION("the first in rank if that is heard of") {
    choice.OnNotice("reader-1", kStart);
    CHECK(pick({}) == "reader-1");
  }
  SECTION("any other if the preferred ones have fallen silent") {
    choice.OnNotice("elsewhere", kStart + milliseconds(600));
    CHECK(pick(milliseconds(800)) == "elsewhere");
  }
  SECTION("any other if the preferred one has lost the store") {
    choice.Forget("reader-2");
    CHECK(pick({}) == "elsewhere");
  }
  SECTION("one whose call got lost is tried again soon if it is heard of") {
    choice.Forget("elsewhere");
    choice.OnFailed("reader-2", true, kStart);
    choice.OnNotice("reader-2", kStart + milliseconds(100));
    CHECK_FALSE(pick(milliseconds(200)) == "reader-2");
    CHECK(pick(milliseconds(400)) == "reader-2");
  }
}

// Guards against waits that add up (cdsaa-rail, CONFIG): an instance that reached the store asked
// it only after the readers before it had run into their timeouts one after the other.
TEST_CASE("All instances try the store soon after nobody is known to read it") {
  const Duration spread = SourceChoice::TurnSpread(kInstances);
  CHECK(spread < milliseconds(500));
  for (const double turn : {0.0, 0.5, 1.0}) {
    SourceChoice choice(7);
    choice.OnNotice("reader-1", kStart);
    REQUIRE(choice.Pick(Readers(turn), true, kStart) == "reader-1");
    choice.Forget("reader-1");
    Duration after{};
    while (choice.Pick(Readers(turn), true, kStart + after) != SourceChoice::kStore) {
      after += milliseconds(1);
    }
    CHECK(after <= spread * turn + milliseconds(1));
  }
}

TEST_CASE("While all readers fail, the fleet tries the store at a bounded rate") {
  std::vector<SourceChoice> choices;
  for (std::size_t i = 0; i < kInstances; ++i) {
    choices.emplace_back(static_cast<std::uint64_t>(i) * 7919);
  }
  const bool listed = GENERATE(false, true);
  int direct = 0;
  std::set<std::size_t> tried;
  // An outage of 10 s in which each instance makes two calls a second.
  for (Duration after{}; after < seconds(10); after += milliseconds(500)) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      const SourceView view = Readers(static_cast<double>(i) / kInstances);
      if (listed && after == Duration::zero()) {
        choices[i].OnNotice("reader-1", kStart);
      }
      const auto source = choices[i].Pick(view, listed, kStart + after);
      if (source == SourceChoice::kStore) {
        ++direct;
        tried.insert(i);
      }
      if (source) {
        choices[i].OnFailed(*source, false, kStart + after);
      }
    }
  }
  CHECK(direct > 50);
  // Instances with rows may become the only source of new ones: each tries once at first.
  CHECK(direct < (listed ? 400 + static_cast<int>(kInstances) : 400));
  CHECK(tried.size() > 50);

  SECTION("an instance that the store serves goes on to read it until a reader is heard of") {
    SourceChoice& choice = choices[*tried.begin()];
    const TimePoint now = kStart + seconds(10);
    for (const std::string& reader : Readers().readers) {
      choice.OnFailed(reader, true, now);
    }
    choice.OnSucceeded(SourceChoice::kStore);
    CHECK(choice.Pick(Readers(), true, now + seconds(1)) == SourceChoice::kStore);
    choice.OnNotice("elsewhere", now + seconds(3));
    CHECK(choice.Pick(Readers(), true, now + seconds(3)) == SourceChoice::kStore);
    choice.OnNotice("reader-1", now + seconds(3));
    CHECK(choice.Pick(Readers(), true, now + seconds(3)) == "reader-1");
  }
}

TEST_CASE("An instance that the store refuses is not offered as a reader for a while") {
  SourceChoice choice(1);
  CHECK(choice.StoreHealthy(kStart));
  choice.OnFailed(SourceChoice::kStore, false, kStart);
  CHECK_FALSE(choice.StoreHealthy(kStart + seconds(1)));
  CHECK(choice.StoreHealthy(kStart + seconds(4)));
  choice.OnFailed(SourceChoice::kStore, false, kStart);
  choice.OnSucceeded(SourceChoice::kStore);
  CHECK(choice.StoreHealthy(kStart));
}

}  // namespace chiverail
