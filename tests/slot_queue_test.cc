#include "slot_queue.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

PendingRequest MakeRequest(std::uint32_t ticket,
                           const WorkspaceId& workspace,
                           RequestClass request_class,
                           TimePoint received) {
  return {{"r", ticket}, workspace, request_class, received, milliseconds(800)};
}

}  // namespace

TEST_CASE("Requests are queued for a slot") {
  SlotQueue queue;
  TimePoint now = kStart;
  std::uint32_t ticket = 0;
  const auto enqueue = [&](const WorkspaceId& workspace, RequestClass request_class) {
    return queue.Enqueue(MakeRequest(++ticket, workspace, request_class, now), now);
  };

  SECTION("urgent requests are served first, whatever the order of arrival") {
    enqueue("a", RequestClass::kTagging);
    enqueue("a", RequestClass::kReport);
    enqueue("a", RequestClass::kInteractive);
    CHECK(queue.Dequeue(now)->attempt == 3);
    CHECK(queue.Dequeue(now)->attempt == 2);
    CHECK(queue.Dequeue(now)->attempt == 1);
    CHECK_FALSE(queue.Dequeue(now));
  }
  SECTION("requests wait for at most an eighth of their objective") {
    enqueue("a", RequestClass::kInteractive);
    CHECK(queue.TakeExpired(now + milliseconds(99)).empty());
    CHECK(queue.TakeExpired(now + milliseconds(100)).size() == 1);
    CHECK(queue.empty());
  }
  SECTION("a request that has already used up its waiting time is refused") {
    const PendingRequest late =
        MakeRequest(9, "a", RequestClass::kInteractive, now - milliseconds(100));
    CHECK(queue.Enqueue(late, now) == EnqueueResult::kWaitedTooLong);
  }
  // Guards against polling for free slots: when each request polled every 15 ms in no order, a
  // flood from one workspace got nearly all slots that became free.
  SECTION("a workspace that floods gets no more slots than the others") {
    for (int i = 0; i < 40; ++i) {
      enqueue("flood", RequestClass::kInteractive);
    }
    enqueue("quiet-1", RequestClass::kInteractive);
    enqueue("quiet-2", RequestClass::kInteractive);
    std::set<std::uint32_t> served;
    for (int i = 0; i < 6; ++i) {
      served.insert(queue.Dequeue(now)->attempt);
    }
    CHECK(served.count(41) == 1);
    CHECK(served.count(42) == 1);
  }
  // Guards against useless waiting: when half of the engines were lost under overload, all requests
  // waited for their full time and were then refused.
  SECTION("requests are refused once no slot has become free for the maximum wait") {
    CHECK(enqueue("a", RequestClass::kInteractive) == EnqueueResult::kQueued);
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(10);
      queue.TakeExpired(now);
      enqueue("a", RequestClass::kInteractive);
    }
    CHECK(enqueue("a", RequestClass::kInteractive) == EnqueueResult::kNoSlotFreed);
    SECTION("until a request finds a free slot") {
      queue.OnSlotFound();
      CHECK(enqueue("a", RequestClass::kInteractive) == EnqueueResult::kQueued);
    }
    SECTION("until the shortage is long past") {
      now += seconds(5);
      CHECK(enqueue("a", RequestClass::kInteractive) == EnqueueResult::kQueued);
    }
  }
}

// Guards against retry delays that ignore the shortage: with 0.1 to 0.4 s however long the shortage
// lasted, refused callers spent their only retry on a second refusal.
TEST_CASE("The retry delay follows the duration of the shortage") {
  SlotQueue queue;
  TimePoint now = kStart;

  SECTION("short and spread at first") {
    queue.OnRefused(now);
    Duration shortest = seconds(9);
    Duration longest{};
    for (std::uint64_t random = 0; random < 1000; random += 7) {
      shortest = std::min(shortest, queue.RetryDelay(random, now));
      longest = std::max(longest, queue.RetryDelay(random, now));
    }
    CHECK(shortest == milliseconds(100));
    CHECK(longest > milliseconds(350));
    CHECK(longest <= milliseconds(400));
  }
  SECTION("longer as the shortage lasts, up to a maximum") {
    for (int i = 0; i < 20; ++i, now += milliseconds(100)) {
      queue.OnRefused(now);
    }
    CHECK(queue.RetryDelay(0, now) >= milliseconds(1900));
    for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
      queue.OnRefused(now);
    }
    CHECK(queue.RetryDelay(2900, now) <= seconds(3));
    SECTION("short again after the shortage") {
      now += seconds(1);
      queue.OnRefused(now);
      CHECK(queue.RetryDelay(0, now) == milliseconds(100));
    }
  }
}

TEST_CASE("A request is queued in the class of its route unless its workspace has low priority") {
  CHECK(QueueClass(0, false) == RequestClass::kInteractive);
  CHECK(QueueClass(1, false) == RequestClass::kReport);
  CHECK(QueueClass(7, false) == RequestClass::kTagging);
  CHECK(QueueClass(0, true) == RequestClass::kTagging);
}

}  // namespace chiverail
