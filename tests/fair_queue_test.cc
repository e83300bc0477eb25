#include "fair_queue.h"

#include <map>

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

const TimePoint kStart{seconds(1000)};

QueuedRequest MakeEntry(const std::string& request,
                        const std::string& workspace,
                        RequestClass request_class = RequestClass::kInteractive,
                        Duration timeout = seconds(1000)) {
  return {{request, 1}, "instance", workspace, request_class, kStart + timeout};
}

}  // namespace

TEST_CASE("A surge of one workspace does not reduce the shares of the others") {
  FairQueue queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push(MakeEntry("a" + std::to_string(i), "surging"), 1.0, kStart);
  }
  for (int i = 0; i < 10; ++i) {
    queue.Push(MakeEntry("b" + std::to_string(i), "quiet"), 1.0, kStart);
    queue.Push(MakeEntry("c" + std::to_string(i), "double"), 2.0, kStart);
  }
  std::map<WorkspaceId, int> served;
  for (int i = 0; i < 20; ++i) {
    ++served[queue.Pop(kStart)->workspace];
  }
  CHECK(served["surging"] == 5);
  CHECK(served["quiet"] == 5);
  CHECK(served["double"] == 10);

  SECTION("it takes all slots when no other workspace has queued requests") {
    for (int i = 0; i < 5; ++i) {
      queue.Pop(kStart);
    }
    CHECK(queue.Pop(kStart)->workspace == "surging");
  }
}

TEST_CASE("Classes are served by priority without starving the lowest") {
  FairQueue queue;
  for (int i = 0; i < 200; ++i) {
    queue.Push(MakeEntry("i" + std::to_string(i), "w"), 1.0, kStart);
    queue.Push(MakeEntry("r" + std::to_string(i), "w", RequestClass::kReport), 1.0, kStart);
    queue.Push(MakeEntry("t" + std::to_string(i), "w", RequestClass::kTagging), 1.0, kStart);
  }
  std::map<RequestClass, int> served;
  CHECK(queue.Pop(kStart)->request_class == RequestClass::kInteractive);
  for (int i = 0; i < 170; ++i) {
    ++served[queue.Pop(kStart)->request_class];
  }
  CHECK(served[RequestClass::kInteractive] > 120);
  CHECK(served[RequestClass::kReport] > 25);
  CHECK(served[RequestClass::kTagging] == 10);
}

TEST_CASE("Requests whose deadline cannot be met are removed or not queued") {
  FairQueue queue;
  queue.Push(MakeEntry("first", "w"), 1.0, kStart);
  queue.Push(MakeEntry("short", "w", RequestClass::kInteractive, seconds(3)), 1.0, kStart);
  queue.Push(MakeEntry("last", "w"), 1.0, kStart);
  CHECK(queue.NextDeadline() == kStart + seconds(3));

  SECTION("an expired request is removed and the order of the others is kept") {
    const auto expired = queue.TakeExpired(kStart + seconds(3));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].key.request == "short");
    CHECK(queue.Pop(kStart + seconds(3))->key.request == "first");
    CHECK(queue.Pop(kStart + seconds(3))->key.request == "last");
    CHECK_FALSE(queue.Pop(kStart + seconds(3)));
  }

  SECTION("a request is not queued if slots become free too slowly for its deadline") {
    queue.Pop(kStart + seconds(2));
    CHECK_FALSE(queue.Push(MakeEntry("too-short", "w", RequestClass::kInteractive, seconds(4)), 1.0,
                           kStart + seconds(2)));
    CHECK(queue.Push(MakeEntry("long", "w", RequestClass::kInteractive, seconds(30)), 1.0,
                     kStart + seconds(2)));
  }

  SECTION("a cancelled request is removed once") {
    CHECK(queue.Remove({"first", 1}));
    CHECK_FALSE(queue.Remove({"first", 1}));
    CHECK(queue.Pop(kStart)->key.request == "short");
    CHECK(queue.size() == 1);
  }
}
