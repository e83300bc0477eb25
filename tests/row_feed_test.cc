#include "row_feed.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace chiverail {
namespace {

// An instance that mirrors a table without rows and counts the polls for changes.
struct Reader {
  Reader(boost::asio::io_context& io, int port)
      : address("127.0.0.1:" + std::to_string(port)),
        listener(io, address, [this](const auto& caller, const CallerRequest& request) {
          polls += request.head.target.find("rows-feed") != std::string::npos ? 1 : 0;
          caller->Respond(200, {}, {}, R"({"rows":[],"ver":7,"has_more":false})");
        }) {}

  std::string address;
  int polls = 0;
  HttpListener listener;
};

}  // namespace

// Guards against rows that grow old while readers fail one after the other (gge-chiverail, hunted
// day 0133-27): each next reader first let the pause pass in which it had relied on notices, so a
// data centre whose machines the store refused followed an upstream that left 0.5 s too long.
TEST_CASE("A feed turns to a new source at once") {
  boost::asio::io_context io{1};
  Metrics metrics;
  DecisionLog log(io, "i", -1, {});
  StoreClient store(io, "127.0.0.1:1", metrics);
  RowMirror mirror(io, "127.0.0.1:18481");
  Reader first(io, 18482);
  Reader second(io, 18483);
  SourceView view{{first.address, second.address}, 13, 0.5};
  RowSources sources(
      io, store, metrics, [&] { return view; }, [] {});
  int confirmed = 0;
  RowFeed feed(
      io, sources, mirror, log, {"servers", milliseconds(50), milliseconds(50), {}, 1},
      [](const StoreResponse&) {}, [&](const StoreResponse&) { ++confirmed; });
  const auto run = [&io](int milliseconds_passed) {
    io.restart();
    io.run_for(milliseconds(milliseconds_passed));
  };
  feed.Start();
  run(30);
  REQUIRE(feed.listed());
  feed.OnNotice(first.address, {"servers", 7, milliseconds(10), {}});
  CHECK(confirmed == 1);
  const int polls = first.polls;
  feed.OnNotice(second.address, {"servers", 7, milliseconds(10), {}});
  feed.OnSourceLost(first.address);
  feed.OnRosterChange();
  run(60);
  CHECK(second.polls > 0);
  CHECK(first.polls == polls);

  SECTION("and takes notices of any instance, but not of old rows") {
    const int before = confirmed;
    feed.OnNotice(second.address, {"servers", 7, seconds(2), {}});
    CHECK(confirmed == before);
    feed.OnNotice("127.0.0.1:18484", {"servers", 7, milliseconds(10), {}});
    CHECK(confirmed == before + 1);
  }
}

}  // namespace chiverail
