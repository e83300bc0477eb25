#include "upstream_runs/run_history.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

UpstreamEntry Entry(int number, std::uint64_t sequence) {
  UpstreamEntry entry;
  entry.id = "i-" + std::to_string(number);
  entry.started_ms = 1;
  entry.sequence = sequence;
  return entry;
}

}  // namespace

// Guards against memory that grows with upstreams, and against upstreams that are forgotten while a
// write of theirs may still take effect.
TEST_CASE("Runs that are gone are remembered within a bound") {
  constexpr int kUpstreams = 3000;
  RunHistory runs;
  for (int i = 0; i < kUpstreams; ++i) {
    runs.Judge(Entry(i, 9), RunHistory::Source::kListing, kStart);
  }
  CHECK(runs.gone() == 0);
  for (int i = 0; i < kUpstreams; ++i) {
    runs.OnRemoved("i-" + std::to_string(i), {}, kStart + milliseconds(i));
  }
  REQUIRE(runs.gone() == kUpstreams);
  const TimePoint now = kStart + seconds(6);
  const auto judge = [&](int number, std::uint64_t sequence, TimePoint at) {
    return runs.Judge(Entry(number, sequence), RunHistory::Source::kChange, at);
  };

  SECTION("all upstreams of a large site, if they leave at once") {
    for (int i = 0; i < kUpstreams; ++i) {
      REQUIRE(judge(i, 8, now) == EntryStanding::kDoubtful);
    }
  }
  SECTION("the newest of more, whatever ids are written") {
    for (int i = kUpstreams; i < 3 * kUpstreams; ++i) {
      runs.Judge(Entry(i, 9), RunHistory::Source::kListing, now);
      runs.OnRemoved("i-" + std::to_string(i), {}, now);
    }
    CHECK(runs.gone() == RunHistory::kMaxGone);
    CHECK(judge(3 * kUpstreams - 1, 8, now) == EntryStanding::kDoubtful);
  }
  SECTION("until no write of theirs can take effect any more") {
    runs.Update(kStart + seconds(70));
    CHECK(runs.gone() == 0);
  }
}

// Guards against an upstream that is lost for good since the sequence of its new run is lower.
TEST_CASE("Entries that don't state the start of their run are not compared") {
  RunHistory runs;
  const auto judge = [&](std::uint64_t sequence) {
    UpstreamEntry entry = Entry(1, sequence);
    entry.started_ms = 0;
    return runs.Judge(entry, RunHistory::Source::kChange, kStart);
  };
  CHECK(judge(40) == EntryStanding::kCurrent);
  CHECK(judge(1) == EntryStanding::kCurrent);
  runs.OnRemoved("i-1", {}, kStart);
  CHECK(judge(50) == EntryStanding::kCurrent);
}

// Guards against readers of another instance's copy, whom heartbeats don't reach.
TEST_CASE("What another instance has seen of a removed entry counts") {
  RunHistory runs;
  runs.Judge(Entry(1, 4), RunHistory::Source::kListing, kStart);
  TimePoint now = kStart + seconds(60);
  const auto judge = [&](std::uint64_t sequence) {
    return runs.Judge(Entry(1, sequence), RunHistory::Source::kChange, now);
  };
  SECTION("an entry that is older than the last one is doubtful") {
    runs.OnLastEntry(Entry(1, 50));
    runs.OnRemoved("i-1", seconds(1), now);
    CHECK(judge(48) == EntryStanding::kDoubtful);
    SECTION("until the upstream has written on") {
      CHECK(judge(49) == EntryStanding::kDoubtful);
      CHECK(judge(51) == EntryStanding::kCurrent);
    }
  }
  SECTION("the next entry of one that had stopped to write is current") {
    runs.OnLastEntry(Entry(1, 50));
    runs.OnRemoved("i-1", seconds(4), now);
    CHECK(judge(51) == EntryStanding::kCurrent);
  }
}

}  // namespace chiverail
