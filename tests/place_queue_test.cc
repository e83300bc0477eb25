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

TEST_CASE("Requests are queued for a slot") {
  PlaceQueue queue;
  TimePoint now = kStart;
  std::uint32_t ticket = 0;
  const auto join = [&](const WorkspaceId& workspace, RequestClass request_class) {
    return queue.Join(Ask(++ticket, workspace, request_class, now), now);
  };

  SECTION("urgent requests are served first, whatever the order of arrival") {
    join("a", RequestClass::kTagging);
    join("a", RequestClass::kReport);
    join("a", RequestClass::kInteractive);
    CHECK(queue.Next(now)->attempt == 3);
    CHECK(queue.Next(now)->attempt == 2);
    CHECK(queue.Next(now)->attempt == 1);
    CHECK_FALSE(queue.Next(now));
  }
  SECTION("requests wait for at most an eighth of their objective") {
    join("a", RequestClass::kInteractive);
    CHECK(queue.TakeExpired(now + milliseconds(99)).empty());
    CHECK(queue.TakeExpired(now + milliseconds(100)).size() == 1);
    CHECK(queue.empty());
  }
  SECTION("a request that has already used up its waiting time is refused") {
    const PlaceAsk late = Ask(9, "a", RequestClass::kInteractive, now - milliseconds(100));
    CHECK(queue.Join(late, now) == JoinOutcome::kWaitedTooLong);
  }
  // Guards against polling for free slots: when each request polled every 15 ms in no order, a
  // flood from one workspace got nearly all slots that became free.
  SECTION("a workspace that floods gets no more slots than the others") {
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
  // Guards against useless waiting: when half of the engines were lost under overload, all requests
  // waited for their full time and were then refused.
  SECTION("requests are refused once no slot has become free for the maximum wait") {
    CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kWaits);
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(10);
      queue.TakeExpired(now);
      join("a", RequestClass::kInteractive);
    }
    CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kNoPlacesFree);
    SECTION("until a request finds a free slot") {
      queue.OnPlaced();
      CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kWaits);
    }
    SECTION("until the shortage is long past") {
      now += seconds(5);
      CHECK(join("a", RequestClass::kInteractive) == JoinOutcome::kWaits);
    }
  }
}

// Guards against retry delays that ignore the shortage: with 0.1 to 0.4 s however long the shortage
// lasted, refused callers spent their only retry on a second refusal.
TEST_CASE("The retry delay follows the duration of the shortage") {
  PlaceQueue queue;
  TimePoint now = kStart;

  SECTION("short and spread at first") {
    queue.OnRefused(now);
    Duration shortest = seconds(9);
    Duration longest{};
    for (std::uint64_t random = 0; random < 1000; random += 7) {
      shortest = std::min(shortest, queue.ReturnAfter(random, now));
      longest = std::max(longest, queue.ReturnAfter(random, now));
    }
    CHECK(shortest == milliseconds(100));
    CHECK(longest > milliseconds(350));
    CHECK(longest <= milliseconds(400));
  }
  SECTION("longer as the shortage lasts, up to a maximum") {
    for (int i = 0; i < 20; ++i, now += milliseconds(100)) {
      queue.OnRefused(now);
    }
    CHECK(queue.ReturnAfter(0, now) >= milliseconds(1900));
    for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
      queue.OnRefused(now);
    }
    CHECK(queue.ReturnAfter(2900, now) <= seconds(3));
    SECTION("short again after the shortage") {
      now += seconds(1);
      queue.OnRefused(now);
      CHECK(queue.ReturnAfter(0, now) == milliseconds(100));
    }
  }
}

TEST_CASE("A request is queued in the class of its route unless its workspace has low priority") {
  CHECK(WaitingClass(0, false) == RequestClass::kInteractive);
  CHECK(WaitingClass(1, false) == RequestClass::kReport);
  CHECK(WaitingClass(7, false) == RequestClass::kTagging);
  CHECK(WaitingClass(0, true) == RequestClass::kTagging);
}

}  // namespace chiverail
