// A second copy of an answer that comes within the next answer on its connection.

#include <catch2/catch.hpp>

#include "raw_fixture.h"

namespace chiverail {
namespace {

const std::string kFirstId = "1a5b6a4e57f9661b";
const std::string kNextId = "b519138c77812eac";

std::string Head(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nAnswer-Seal: seal\r\n" + framing + "\r\n";
}

std::string WithLength(std::size_t length) {
  return "Content-Length: " + std::to_string(length) + "\r\n";
}

std::string Request(const std::string& path, const std::string& id) {
  return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
         "\r\nWorkspace-Key: key\r\nRequest-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// Guards against bytes of another caller's answer in an answer that looks whole (MIXED): the
// framing of a body with a length, or one that ends with its connection, hides them.
TEST_CASE("A late copy of an answer within the next one does not reach its caller") {
  const std::string copy = Answer(kFirstId, "for the first");
  const std::string path = GENERATE("/read/x", "/book/x", "/chat/x");
  const std::string event = "id: 1\ndata: a\n\n";
  std::vector<std::string> pieces;

  SECTION("in a body with a length") {
    pieces = {Head(kNextId, WithLength(60)) + event, copy, event + event};
  }
  SECTION("in a body that ends with its connection") {
    pieces = {Head(kNextId, "") + event, copy, event};
  }
  SECTION("in two pieces") {
    pieces = {Head(kNextId, "") + event + copy.substr(0, 30), copy.substr(30), event};
  }
  SECTION("that begins at the end of a short body") {
    pieces = {Head(kNextId, WithLength(event.size())) + copy + event};
  }
  SECTION("in chunks") {
    pieces = {Head(kNextId, "Transfer-Encoding: chunked\r\n") + "f\r\n" + event + "\r\n", copy,
              "0\r\n\r\n"};
  }

  RawFixture fixture([&](RawServer& server, int request) {
    if (request == 1) {
      server.Send(Answer(kFirstId, "for the first"));
      return;
    }
    for (std::size_t i = 0; i < pieces.size(); ++i) {
      const auto timer = std::make_shared<boost::asio::steady_timer>(
          fixture.io, milliseconds(20 * static_cast<int>(i)));
      timer->async_wait([&, i, timer](const auto&) {
        i + 1 < pieces.size() ? server.Send(pieces[i]) : server.SendAndClose(pieces[i]);
      });
    }
  });
  REQUIRE(fixture.SendAndWait(Request("/read/x", kFirstId)).status == 200);
  const CallerResponse response = fixture.SendAndWait(Request(path, kNextId));
  CHECK(fixture.server.connections() == 1);
  CHECK(response.body.find("HTTP/1.") == std::string::npos);
  CHECK(response.body.find(kFirstId) == std::string::npos);
  CHECK_FALSE((response.complete && response.status == 200));
}

// Guards against answers that fail because a copy of an earlier one follows them.
TEST_CASE("A late copy of an answer after the next one does no harm") {
  RawFixture fixture([&](RawServer& server, int request) {
    server.Send(request == 1 ? Answer(kFirstId, "for the first")
                             : Answer(kNextId, "HTTP/1.1 is a protocol") +
                                   Answer(kFirstId, "for the first"));
  });
  REQUIRE(fixture.SendAndWait(Request("/read/x", kFirstId)).status == 200);
  const CallerResponse response = fixture.SendAndWait(Request("/read/x", kNextId));
  CHECK(response.status == 200);
  CHECK(response.body == "HTTP/1.1 is a protocol");
}

}  // namespace chiverail
