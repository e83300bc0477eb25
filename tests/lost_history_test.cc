#include <string>

#include <catch2/catch.hpp>

#include "table_follower.h"

using namespace chiverail;

// Guards against a loop of calls without a pause when each read of changes ends as history gone.
TEST_CASE("A table whose history is always gone is listed at most a few times a second") {
  const TimePoint start{seconds(100)};
  SourceView view;
  view.readers = {SourceChoice::kStore};
  TableFollower follower({milliseconds(600), {}, milliseconds(300), milliseconds(1500)}, 1);
  follower.Start(start);
  int listings = 0;
  int changes = 0;
  for (TimePoint now = start; now < start + seconds(10); now += milliseconds(1)) {
    const auto read = follower.Next(view, now);
    if (!read) {
      continue;
    }
    (read->listing ? listings : changes) += 1;
    follower.OnRead(read->listing ? ReadResult::kRows : ReadResult::kHistoryGone, 7, false, now);
  }
  // The pauses between failed calls grow to 500 ms.
  CHECK(listings > 10);
  CHECK(listings < 40);
  CHECK(changes < 40);
}
