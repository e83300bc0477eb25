#include "http_listener.h"

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace chiverail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int kPort = 18471;
const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// A listener that answers each request with `body_size` bytes, and callers on blocking sockets.
struct Fixture {
  explicit Fixture(std::size_t body_size = 2)
      : listener(io,
                 "127.0.0.1:" + std::to_string(kPort),
                 [this, body_size](const auto& caller, const CallerRequest& request) {
                   ++requests;
                   if (request.head.target == "/fail") {
                     throw std::runtime_error("unexpected");
                   }
                   caller->Respond(200, {}, {}, std::string(body_size, 'x'));
                 }) {}

  tcp::socket Connect() {
    tcp::socket socket(caller_io);
    socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
    return socket;
  }

  void Run(int milliseconds_passed = 20) {
    io.restart();
    io.run_for(milliseconds(milliseconds_passed));
  }

  // Runs the listener until the caller's connection ends; returns what it received.
  std::string ReadAll(tcp::socket& socket) {
    std::string received;
    socket.non_blocking(true);
    for (int i = 0; i < 100; ++i) {
      Run(5);
      boost::system::error_code error;
      std::array<char, 64 * 1024> buffer;
      std::size_t count = 0;
      while ((count = socket.read_some(asio::buffer(buffer), error)) > 0) {
        received.append(buffer.data(), count);
      }
      if (error && error != asio::error::would_block) {
        return error == asio::error::eof ? received : received + "(reset)";
      }
    }
    return received + "(open)";
  }

  asio::io_context io{1};
  asio::io_context caller_io;
  int requests = 0;
  HttpListener listener;
};

bool IsWhole(const std::string& received) {
  return received.find("200 OK") != std::string::npos &&
         received.find("Connection: close") != std::string::npos &&
         received.find('(') == std::string::npos;
}

}  // namespace

// Guards against requests that are cut without an answer during a planned stop under load: those
// that were just accepted, or whose bytes wait to be read.
TEST_CASE("A listener that closes answers the requests that have arrived") {
  Fixture fixture;

  SECTION("on connections that were not accepted yet") {
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 200; ++i) {
      sockets.push_back(fixture.Connect());
      asio::write(sockets.back(), asio::buffer(kRequest));
    }
    fixture.listener.StartClosing();
    fixture.listener.Close();
    CHECK(fixture.listener.unfinished() == 200);
    for (tcp::socket& socket : sockets) {
      CHECK(IsWhole(fixture.ReadAll(socket)));
    }
    CHECK(fixture.requests == 200);
    CHECK(fixture.listener.unfinished() == 0);
  }
  SECTION("whose bytes were not read yet") {
    tcp::socket socket = fixture.Connect();
    fixture.Run();
    asio::write(socket, asio::buffer(kRequest));
    fixture.listener.StartClosing();
    fixture.listener.Close();
    CHECK(IsWhole(fixture.ReadAll(socket)));
  }
  SECTION("of which half was read") {
    tcp::socket socket = fixture.Connect();
    asio::write(socket, asio::buffer(kRequest.substr(0, 10)));
    fixture.Run();
    fixture.listener.StartClosing();
    fixture.listener.Close();
    CHECK(fixture.listener.unfinished() == 1);
    asio::write(socket, asio::buffer(kRequest.substr(10)));
    CHECK(IsWhole(fixture.ReadAll(socket)));
    CHECK(fixture.listener.unfinished() == 0);
  }
  SECTION("and closes idle connections, and those after their answer") {
    tcp::socket idle = fixture.Connect();
    fixture.Run();
    fixture.listener.StartClosing();
    fixture.listener.Close();
    CHECK(fixture.ReadAll(idle).empty());
    CHECK(fixture.listener.unfinished() == 0);
  }
}

TEST_CASE("A response that its caller has not read yet counts as unfinished") {
  Fixture fixture(8u << 20);
  tcp::socket socket = fixture.Connect();
  asio::write(socket, asio::buffer(kRequest));
  fixture.Run();
  fixture.listener.StartClosing();
  fixture.listener.Close();
  CHECK(fixture.listener.busy() == 0);
  CHECK(fixture.listener.unfinished() == 1);
  const std::string received = fixture.ReadAll(socket);
  CHECK(received.find("200 OK") != std::string::npos);
  CHECK(received.size() > 8u << 20);
}

TEST_CASE("A caller that never reads its response is disconnected after the idle time") {
  Fixture fixture(32u << 20);
  CallerLimits limits;
  limits.idle_timeout = milliseconds(100);
  fixture.listener.SetLimits(limits);
  tcp::socket socket = fixture.Connect();
  asio::write(socket, asio::buffer(kRequest));
  fixture.Run();
  CHECK(fixture.listener.unfinished() == 1);
  fixture.Run(300);
  CHECK(fixture.listener.unfinished() == 0);
}

// Guards against a process that ends because of one request.
TEST_CASE("An unexpected error in a handler ends its request, not the others") {
  Fixture fixture;
  tcp::socket failing = fixture.Connect();
  tcp::socket good = fixture.Connect();
  asio::write(failing, asio::buffer("GET /fail HTTP/1.1\r\nHost: h\r\n\r\n"));
  asio::write(good, asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  CHECK(fixture.ReadAll(failing).find("500 Internal Server Error") != std::string::npos);
  CHECK(IsWhole(fixture.ReadAll(good)));
}

}  // namespace chiverail
