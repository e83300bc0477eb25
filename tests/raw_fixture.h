#ifndef CHIVERAIL_TESTS_RAW_FIXTURE_H_
#define CHIVERAIL_TESTS_RAW_FIXTURE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "relay_fixture.h"

namespace chiverail {

// A server that sends what the test tells it to, without regard for HTTP.
class RawServer {
 public:
  // Called with the number of the request on its connection, from 1.
  using Handler = std::function<void(RawServer& server, int request)>;

  RawServer(boost::asio::io_context& io, int port, Handler handler)
      : acceptor_(io,
                  {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)}),
        socket_(io),
        handler_(std::move(handler)) {
    Accept();
  }

  void Send(std::string bytes) {
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    boost::asio::async_write(socket_, boost::asio::buffer(*kept),
                             [kept](const boost::system::error_code&, std::size_t) {});
  }

  // Sends the bytes and ends the connection, with a reset if `reset` is true. A reset waits until
  // the peer has had time to read the bytes, which it would discard otherwise.
  void SendAndClose(std::string bytes, bool reset = false) {
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket_));
    boost::asio::async_write(
        *socket, boost::asio::buffer(*kept),
        [kept, socket, reset](const boost::system::error_code&, std::size_t) {
          const auto timer = std::make_shared<boost::asio::steady_timer>(socket->get_executor());
          timer->expires_after(reset ? milliseconds(20) : milliseconds(0));
          timer->async_wait([socket, timer, reset](const boost::system::error_code&) {
            if (reset) {
              socket->set_option(boost::asio::socket_base::linger(true, 0));
            }
            socket->close();
          });
        });
  }

  // Sends the bytes, ends its side of the connection regularly and resets the connection after
  // `delay`. Nothing more of the request is read.
  void SendAndEndThenReset(std::string bytes, Duration delay) {
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket_));
    boost::asio::async_write(
        *socket, boost::asio::buffer(*kept),
        [kept, socket, delay](const boost::system::error_code&, std::size_t) {
          socket->shutdown(boost::asio::ip::tcp::socket::shutdown_send);
          const auto timer = std::make_shared<boost::asio::steady_timer>(socket->get_executor());
          timer->expires_after(delay);
          timer->async_wait([socket, timer](const boost::system::error_code&) {
            socket->set_option(boost::asio::socket_base::linger(true, 0));
            socket->close();
          });
        });
  }

  // Sends the bytes, ends its side of the connection and reads until the peer closes, in pieces of
  // at most 64 KB with `pause` after each.
  void SendAndShutDown(std::string bytes, Duration pause = {}) {
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket_));
    boost::asio::async_write(*socket, boost::asio::buffer(*kept),
                             [kept, socket, pause](const boost::system::error_code&, std::size_t) {
                               socket->shutdown(boost::asio::ip::tcp::socket::shutdown_send);
                               ReadToEnd(socket, pause);
                             });
  }

  // Has the kernel hold few bytes that have not been read, on connections that come later.
  void LimitReceiveBuffer() {
    constexpr int kBytes = 16 * 1024;
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(kBytes));
  }

  // Accepts no further connections, as if the process had ended.
  void StopAccepting() { acceptor_.close(); }

  // Keeps the connections accepted so far open when further ones come.
  void KeepConnections() { keeps_connections_ = true; }

  // Closes the connections that were kept.
  void CloseKept() { kept_.clear(); }

  // Resets the connection at once.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

  // Sends the bytes again and again until the peer closes.
  void SendForever(const std::string& bytes) {
    const auto kept = std::make_shared<std::string>(bytes);
    boost::asio::async_write(
        socket_, boost::asio::buffer(*kept),
        [this, kept](const boost::system::error_code& error, std::size_t count) {
          sent_ += count;
          closed_ = static_cast<bool>(error);
          if (!error) {
            SendForever(*kept);
          }
        });
  }

  bool closed() const { return closed_; }
  std::size_t sent() const { return sent_; }
  int connections() const { return connections_; }

 private:
  static void ReadToEnd(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
                        Duration pause) {
    const auto piece = std::make_shared<std::string>(64 * 1024, '\0');
    socket->async_read_some(
        boost::asio::buffer(*piece),
        [socket, pause, piece](const boost::system::error_code& error, std::size_t) {
          if (error) {
            return;
          }
          const auto timer =
              std::make_shared<boost::asio::steady_timer>(socket->get_executor(), pause);
          timer->async_wait([socket, pause, timer](const boost::system::error_code&) {
            ReadToEnd(socket, pause);
          });
        });
  }

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
          if (!error) {
            ++connections_;
            requests_ = 0;
            if (keeps_connections_) {
              kept_.push_back(std::move(socket_));
            }
            socket_ = std::move(socket);
            ReadRequest();
            Accept();
          }
        });
  }

  void ReadRequest() {
    // A test may destroy the server while it reads.
    boost::asio::async_read_until(
        socket_, *received_, "\r\n\r\n",
        [this, received = received_](const boost::system::error_code& error, std::size_t count) {
          if (error) {
            return;
          }
          received->consume(count);
          handler_(*this, ++requests_);
          ReadRequest();
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<boost::asio::streambuf> received_ = std::make_shared<boost::asio::streambuf>();
  Handler handler_;
  std::vector<boost::asio::ip::tcp::socket> kept_;
  bool keeps_connections_ = false;
  int requests_ = 0;
  int connections_ = 0;
  std::size_t sent_ = 0;
  bool closed_ = false;
};

// A complete response of the upstream to a request.
inline std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nAnswer-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string Get(const std::string& id) {
  return "GET /read/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
         "\r\nWorkspace-Key: key\r\nRequest-Deadline-Ms: 2000\r\n\r\n";
}

constexpr int kRawPort = RelayFixture::kPort + 20;

// A relay with one upstream that sends what the handler tells it to.
struct RawFixture : RelayFixture {
  explicit RawFixture(RawServer::Handler handler) : server(io, kRawPort, std::move(handler)) {
    Configure();
    relay.upstreams().Apply(EntryOf("raw-1", "127.0.0.1:" + std::to_string(kRawPort)),
                            BootTimeNow());
  }

  // Sends requests until the raw upstream has been asked: one of several idle upstreams is drawn.
  std::vector<CallerResponse> SendUntilAsked(const std::string& path) {
    constexpr int kMaxTries = 40;
    std::vector<CallerResponse> responses;
    for (int call = 0; call < kMaxTries && server.connections() == 0; ++call) {
      responses.push_back(SendAndWait(Request(path)));
    }
    return responses;
  }

  RawServer server;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_RAW_FIXTURE_H_
