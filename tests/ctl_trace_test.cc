#include "ctl_trace.h"

#include <sstream>

#include <catch2/catch.hpp>

namespace chiverail {

TEST_CASE("A trace collects the lines of a request from the logs of several instances") {
  std::istringstream one(
      R"(12.5 front-1 {"t":12.5,"instance":"front-1","event":"config","version":7}
{"t":13.5,"instance":"front-1","event":"config","version":9}
{"t":14.0,"instance":"front-1","event":"dependency","outcome":"lost"}
{"t":15.0,"instance":"front-1","event":"request","request":"r1","status":502}
{"t":15.5,"instance":"front-1","event":"config","version":11}
not a line of this log
{"t":2.0,"instance":"front-1","event":"dependency","outcome":"back"})");
  std::istringstream two(R"({"t":14.5,"instance":"front-1","event":"send_again","request":"r1"}
{"t":14.0,"instance":"front-2","event":"config","version":9}
{"t":15.0,"instance":"front-2","event":"request","request":"r2","status":200})");
  RequestTrace trace("r1");
  trace.Read(one);
  trace.Read(two);
  const auto lines = trace.Lines();
  REQUIRE(lines.size() == 4);
  CHECK(lines[0].at("version") == 9);
  CHECK(lines[1].at("event") == "dependency");
  CHECK(lines[2].at("event") == "send_again");
  CHECK(lines[3].at("status") == 502);
}

}  // namespace chiverail
