#ifndef CHIVERAIL_TESTS_RAW_CALLER_H_
#define CHIVERAIL_TESTS_RAW_CALLER_H_

#include <array>
#include <cstddef>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace chiverail {

// A caller that sends what the test tells it to and reads when the test tells it to.
class RawCaller {
 public:
  // With `receive_buffer`, the caller's kernel holds few bytes that the caller has not read.
  explicit RawCaller(int port, int receive_buffer = 0) : socket_(io_) {
    socket_.open(boost::asio::ip::tcp::v4());
    if (receive_buffer > 0) {
      socket_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer));
    }
    socket_.connect(
        {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
    socket_.non_blocking(true);
  }

  // Sends a few bytes, which the socket takes at once. False if the connection has ended.
  bool Write(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }

  void CloseOwnSide() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

  // Reads what has arrived, up to `max` bytes. Returns false once the connection has ended.
  bool Read(std::size_t max = 1 << 20) {
    boost::system::error_code error;
    std::array<char, 16 * 1024> buffer;
    for (std::size_t count = 0; !error && count < max && !ended_;) {
      const std::size_t part = socket_.read_some(boost::asio::buffer(buffer, max - count), error);
      received_.append(buffer.data(), part);
      count += part;
    }
    ended_ = ended_ || (error && error != boost::asio::error::would_block);
    reset_ = reset_ || (ended_ && error && error != boost::asio::error::eof);
    return !ended_;
  }

  const std::string& received() const { return received_; }
  bool Has(const std::string& text) const { return received_.find(text) != std::string::npos; }

  // True once the connection has ended, and if it has by a reset.
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_RAW_CALLER_H_
