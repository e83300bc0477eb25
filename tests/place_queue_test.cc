#include "place_queue.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

PlaceAsk Ask(std::uint32_t ticket,
             const WorkspaceId& workspace,
             RequestClass request_class,
             TimePoint received) {
  return {{"r", ticket}, workspace, request_class, received, milliseconds(800)};
}

}  // namespace

TEST_CASE("Requests wait for a place") {
  PlaceQueue queue;
  TimePoint now = kStart;
  std::uint32_t ticket = 0;
  const auto join = [&](const WorkspaceId& workspace, RequestClass request_class) {
    return queue.Join(Ask(++ticket, workspace, request_class, now), now);
  };

  SECTION("urgent ones first, whatever came before") {
    join("a", RequestClass::kTagging);
    join("a", RequestClass::kReport);
    join("a", RequestClass::kInteractive);
    CHECK(queue.Next(now)->attempt == 3);
    CHECK(queue.Next(now)->attempt == 2);
    CHECK(queue.Next(now)->attempt == 1);
    CHECK_FALSE(queue.Next(now));
  }
  SECTION("for an eighth of their objective and no longer") {
    join("a", RequestClass::kInteractive);
    CHECK(queue.TakeExpired(now + milliseconds(99)).empty());
    CHECK(queue.TakeExpired(now + milliseconds(100)).size() == 1);
    CHECK(queue.empty());
  }
  SECTION("and are refused when they have waited before and can't any more") {
    const PlaceAsk late = Ask(9, "a", RequestClass::kInteractive, now - milliseconds(100));
    CHECK(queue.Join(late, now) == JoinOutcome::kWaitedTooLong);
  }
  // Before there was a queue, requests looked every 15 ms in no order, and one workspace's flood
  // got nearly all places that came free.
  SECTION("a workspace that floods gets no more places than the others") {
    for (int i = 0; i < 40; ++i) {
      join("flood", RequestClass::kInteractive);
    }
    join("quiet-1", RequestClass::kInteractive);
    join("quiet-2", RequestClass::kInteractive);
    std::set<std::uint32_t> served;
    for (int i = 0; i < 6; ++i) {
      served.insert(queue.Next(now)->attempt);
    }
    CHECK(served.count(41) == 1);
    CHECK(served.count(42) == 1);
  }
  // Half of the engines were lost on the overload day; all requests waited to the end for nothing.
  SECTION("nobody waits once no place has come free for as long as one may wait") {
    CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kWaits);
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(10);
      queue.TakeExpired(now);
      join("a", RequestClass::kInteractive);
    }
    CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kNoPlacesFree);
    SECTION("until one does") {
      queue.OnPlaced();
      CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kWaits);
    }
    SECTION("or the shortage is long past") {
      now += seconds(5);
      CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kWaits);
    }
  }
}

// Refused callers came back after 0.1 to 0.4 s, however long the shortage lasted, and spent their
// only repeat on a second refusal.
TEST_CASE("Refused callers come back when there may be places again") {
  PlaceQueue queue;
  TimePoint now = kStart;

  SECTION("soon at first, and not all at once") {
    queue.OnRefused(now);
    Duration least = seconds(9);
    Duration most{};
    for (std::uint64_t random = 0; random < 1000; random += 7) {
      least = std::min(least, queue.ReturnAfter(random, now));
      most = std::max(most, queue.ReturnAfter(random, now));
    }
    CHECK(least == milliseconds(100));
    CHECK(most > milliseconds(350));
    CHECK(most <= milliseconds(400));
  }
  SECTION("later as the shortage lasts, with a bound") {
    for (int i = 0; i < 20; ++i, now += milliseconds(100)) {
      queue.OnRefused(now);
    }
    CHECK(queue.ReturnAfter(0, now) >= milliseconds(1900));
    for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
      queue.OnRefused(now);
    }
    CHECK(queue.ReturnAfter(2900, now) <= seconds(3));
    SECTION("and soon again after it") {
      now += seconds(1);
      queue.OnRefused(now);
      CHECK(queue.ReturnAfter(0, now) == milliseconds(100));
    }
  }
}

TEST_CASE("A request waits in the class of its route unless its workspace ranks behind") {
  CHECK(WaitingClass(0, false) == RequestClass::kInteractive);
  CHECK(WaitingClass(1, false) == RequestClass::kReport);
  CHECK(WaitingClass(7, false) == RequestClass::kTagging);
  CHECK(WaitingClass(0, true) == RequestClass::kTagging);
}

}  // namespace chiverail
