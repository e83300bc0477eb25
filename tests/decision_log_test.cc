#include "decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

// A pipe whose reader reads only on request.
class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(ends_) == 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  std::string Read() const {
    std::string text;
    char buffer[4096];
    for (ssize_t count = 0; (count = read(ends_[0], buffer, sizeof buffer)) > 0;) {
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  int ends_[2];
};

}  // namespace

TEST_CASE("Decisions are logged as JSON lines") {
  boost::asio::io_context io;
  Pipe pipe;
  DecisionLog::Limits limits;
  limits.lines_per_second = 50;
  DecisionLog log(io, "front-1", pipe.writer(), limits);

  SECTION("a line has the kind, the time, the instance and the given fields") {
    log.Write(Decision::kConfig, {{"version", 7}});
    log.Flush();
    const auto line = nlohmann::json::parse(pipe.Read());
    CHECK(line.at("event") == "config");
    CHECK(line.at("instance") == "front-1");
    CHECK(line.at("version") == 7);
    CHECK(line.at("t").get<double>() > 0);
  }
  SECTION("excess lines of one kind are dropped and counted, and other kinds are still logged") {
    for (int i = 0; i < 1000; ++i) {
      log.Write(Decision::kRequest, {{"request", i}});
    }
    CHECK(log.omitted() >= 900);
    log.Write(Decision::kConfig, {{"version", 8}});
    log.Flush();
    CHECK(pipe.Read().find("\"version\":8") != std::string::npos);
  }
  SECTION("a stalled reader does not block the process, and the buffer stays bounded") {
    DecisionLog::Limits wide;
    wide.lines_per_second = 1e6;
    wide.max_pending_bytes = 10'000;
    DecisionLog flood(io, "front-1", pipe.writer(), wide);
    for (int i = 0; i < 20'000; ++i) {
      flood.Write(Decision::kRequest, {{"request", i}, {"why", std::string(50, 'x')}});
      if (i % 50 == 0) {
        flood.Flush();
      }
    }
    CHECK(flood.omitted() > 0);
    SECTION("logging resumes when the reader does") {
      pipe.Read();
      flood.Flush();
      CHECK_FALSE(pipe.Read().empty());
    }
  }
}

}  // namespace chiverail
