#include "event_splitter.h"

#include <catch2/catch.hpp>

namespace chiverail {

TEST_CASE("A stream is forwarded in complete events") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.last_id() == "1");
  SECTION("an event is returned once it is complete") {
    CHECK(splitter.Feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.last_id() == "2");
  }
  SECTION("a partial event of a failed upstream is discarded") {
    splitter.DiscardPartialEvent();
    CHECK(splitter.Feed("id: 2\ndata: c\n\n") == "id: 2\ndata: c\n\n");
  }
  SECTION("an incomplete event is told from line ends after a complete one") {
    CHECK(splitter.inside_event());
    splitter.Feed("ta: b\n\n");
    CHECK_FALSE(splitter.inside_event());
    CHECK(splitter.Feed("\n").empty());
    CHECK_FALSE(splitter.inside_event());
    splitter.Feed("id: 2");
    CHECK(splitter.inside_event());
  }
  SECTION("events may end with CR LF line ends") {
    splitter.DiscardPartialEvent();
    CHECK(splitter.Feed("id:7\r\ndata: x\r\n\r\n").size() == 17);
    CHECK(splitter.last_id() == "7");
  }
}

}  // namespace chiverail
