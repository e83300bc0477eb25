#include <catch2/catch.hpp>

#include "event_splitter.h"
#include "part_holders.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

}  // namespace

TEST_CASE("A stream is passed on in whole events") {
  EventSplitter splitter;
  CHECK(splitter.Take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.last_id() == "1");
  SECTION("the rest follows once the event is whole") {
    CHECK(splitter.Take("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.last_id() == "2");
  }
  SECTION("an upstream that breaks off within an event leaves nothing of it") {
    splitter.DropRest();
    CHECK(splitter.Take("id: 2\ndata: c\n\n") == "id: 2\ndata: c\n\n");
  }
  SECTION("line ends of any kind end an event") {
    splitter.DropRest();
    CHECK(splitter.Take("id:7\r\ndata: x\r\n\r\n").size() == 17);
    CHECK(splitter.last_id() == "7");
  }
}

TEST_CASE("Instances remember which engine has read a part") {
  PartHolders holders;
  holders.OnSent(99, 1, kStart);
  holders.OnSent(99, 2, kStart + seconds(1));
  const TimePoint now = kStart + seconds(2);
  CHECK(holders.Holders(99, now) == std::vector<std::uint32_t>{2, 1});
  CHECK(holders.Holders(98, now).empty());

  SECTION("and tell each other once") {
    const auto news = holders.TakeNews();
    CHECK(news.size() == 2);
    CHECK(holders.TakeNews().empty());
    PartHolders other;
    for (const PartRead& read : news) {
      other.OnHeard(read, now);
    }
    CHECK(other.Holders(99, now).size() == 2);
  }
  SECTION("but not for ever: engines evict what isn't used") {
    CHECK(holders.Holders(99, now + PartHolders::kHoldTime).empty());
    holders.Expire(now + PartHolders::kHoldTime);
    CHECK(holders.size() == 0);
  }
  SECTION("nor after the engine has restarted") {
    holders.Forget(2);
    CHECK(holders.Holders(99, now) == std::vector<std::uint32_t>{1});
  }
}

}  // namespace chiverail
