#include "row_sources.h"

#include <set>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};
const std::vector<std::string> kReaders = {"reader-1", "reader-2", "reader-3"};

}  // namespace

// Guards against a wave of calls to the store (gge-chiverail-large quiet-1: 20,000 calls in a day):
// one failed call to a reader made an instance read the store itself for seconds.
TEST_CASE("An instance whose reader fails turns to other readers before the store") {
  SourceChoice choice(1);
  CHECK(choice.Pick(kReaders, 295, kStart) == "reader-1");
  choice.OnFailed("reader-1", true, kStart);
  CHECK(choice.Pick(kReaders, 295, kStart) == "reader-2");
  choice.OnFailed("reader-2", true, kStart);
  CHECK(choice.Pick(kReaders, 295, kStart) == "reader-3");

  SECTION("a reader that answered with old rows is tried again soon, a silent one later") {
    choice.OnFailed("reader-3", false, kStart);
    CHECK(choice.Pick(kReaders, 295, kStart + milliseconds(300)) == "reader-3");
    CHECK(choice.Pick(kReaders, 295, kStart + seconds(3)) == "reader-1");
  }
  SECTION("a reader that answers again is used again") {
    choice.OnSucceeded("reader-1", kStart);
    CHECK(choice.Pick(kReaders, 295, kStart) == "reader-1");
  }
  SECTION("without instances to read from, the store is read") {
    CHECK(choice.Pick({}, 1, kStart) == SourceChoice::kStore);
    CHECK(choice.Pick({SourceChoice::kStore}, 295, kStart) == SourceChoice::kStore);
  }
}

TEST_CASE("While all readers fail, the fleet tries the store at a bounded rate") {
  constexpr int kInstances = 295;
  std::vector<SourceChoice> choices;
  for (int i = 0; i < kInstances; ++i) {
    choices.emplace_back(static_cast<std::uint64_t>(i) * 7919);
  }
  int direct = 0;
  std::set<int> tried;
  // An outage of 10 s in which each instance makes two calls a second.
  for (Duration after{}; after < seconds(10); after += milliseconds(500)) {
    for (int i = 0; i < kInstances; ++i) {
      const std::string source = choices[i].Pick(kReaders, kInstances, kStart + after);
      direct += source == SourceChoice::kStore ? 1 : 0;
      if (source == SourceChoice::kStore) {
        tried.insert(i);
      }
      choices[i].OnFailed(source, false, kStart + after);
    }
  }
  CHECK(direct > 50);
  CHECK(direct < 400);
  CHECK(tried.size() > 50);

  SECTION("an instance that the store serves goes on to read it") {
    SourceChoice& choice = choices[*tried.begin()];
    const TimePoint now = kStart + seconds(10);
    for (const std::string& reader : kReaders) {
      choice.OnFailed(reader, true, now);
    }
    choice.OnSucceeded(SourceChoice::kStore, now);
    CHECK(choice.Pick(kReaders, kInstances, now + seconds(1)) == SourceChoice::kStore);
    CHECK(choice.Pick(kReaders, kInstances, now + seconds(3)) == "reader-1");
  }
}

TEST_CASE("An instance that the store refuses is not offered as a reader for a while") {
  SourceChoice choice(1);
  CHECK(choice.StoreHealthy(kStart));
  choice.OnFailed(SourceChoice::kStore, false, kStart);
  CHECK_FALSE(choice.StoreHealthy(kStart + seconds(1)));
  CHECK(choice.StoreHealthy(kStart + seconds(4)));
  choice.OnFailed(SourceChoice::kStore, false, kStart);
  choice.OnSucceeded(SourceChoice::kStore, kStart);
  CHECK(choice.StoreHealthy(kStart));
}

}  // namespace chiverail
