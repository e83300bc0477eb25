#include "http_listener.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include "log.h"

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Delay after a failed accept: without free file descriptors accept would fail again immediately.
constexpr Duration kAcceptRetry = milliseconds(50);

}  // namespace

HttpListener::HttpListener(asio::io_context& io, const std::string& address, Handler handler)
    : io_(io),
      acceptor_(io),
      accept_retry_timer_(io),
      handler_(std::move(handler)),
      account_(std::make_shared<CallerAccount>(io, nullptr)) {
  const auto [host, port] = SplitAddress(address);
  const tcp::endpoint endpoint(asio::ip::make_address(host), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(1024);
  Accept();
}

void HttpListener::AcceptAfter(Duration time) {
  accept_retry_timer_.expires_after(time);
  accept_retry_timer_.async_wait([this](const auto& cancelled) {
    if (!cancelled) {
      Accept();
    }
  });
}

// The oldest idle connection is closed first, then the one whose request has been arriving for
// longest, then one that is held up by its caller.
bool HttpListener::MakeRoom(const CallerConnection* accepted) {
  if (*open_count_ < max_connections_) {
    return true;
  }
  std::array<std::shared_ptr<CallerConnection>, 3> oldest;
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    const auto connection = entry->second.lock();
    if (!connection) {
      entry = connections_.erase(entry);
      continue;
    }
    ++entry;
    if (connection.get() == accepted) {
      continue;
    }
    const std::array<bool, 3> closable{connection->IsIdle(), connection->IsReceiving(),
                                       connection->IsHeldUp()};
    for (std::size_t i = 0; i < closable.size(); ++i) {
      if (closable[i] && (!oldest[i] || connection->idle_since() < oldest[i]->idle_since())) {
        oldest[i] = connection;
      }
    }
  }
  for (const auto& connection : oldest) {
    if (connection) {
      connection->CloseForMemory();
      return true;
    }
  }
  return false;
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      ComponentLogger("http")->warn("Cannot accept a connection: {}.", error.message());
      AcceptAfter(kAcceptRetry);
      return;
    }
    const auto accepted = AddConnection(std::move(socket));
    if (!MakeRoom(accepted.get())) {
      AcceptAfter(kAcceptRetry);
      return;
    }
    if (connections_.size() > 64 && connections_.size() % 32 == 0) {
      for (auto entry = connections_.begin(); entry != connections_.end();) {
        entry = entry->second.expired() ? connections_.erase(entry) : ++entry;
      }
    }
    Accept();
  });
}

std::shared_ptr<CallerConnection> HttpListener::AddConnection(tcp::socket socket) {
  const auto connection = std::make_shared<CallerConnection>(*this, std::move(socket));
  connections_[connection.get()] = connection;
  connection->Start();
  return connection;
}

// Closing the acceptor resets the connections in its queue, with the requests on them.
void HttpListener::AcceptQueued() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
}

void HttpListener::Close() {
  if (acceptor_.is_open()) {
    AcceptQueued();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }
  CloseIdle();
}

void HttpListener::CloseIdle() {
  for (const auto& [key, weak] : connections_) {
    if (const auto connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

void HttpListener::RefuseUnread(const std::vector<HttpHeader>& fields) {
  for (const auto& [key, weak] : connections_) {
    if (const auto connection = weak.lock()) {
      connection->RefuseUnread(fields);
    }
  }
}

void HttpListener::RefuseEarly() {
  for (const auto& [key, weak] : connections_) {
    if (const auto connection = weak.lock()) {
      connection->RefuseEarly();
    }
  }
}

bool HttpListener::HasUnsent() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
    const auto connection = entry.second.lock();
    return connection && connection->unsent() > 0;
  });
}

std::size_t HttpListener::unfinished() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : connections_) {
    const auto connection = weak.lock();
    count += connection && connection->has_unfinished_request() ? 1 : 0;
  }
  return count;
}

std::size_t HttpListener::in_use() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : connections_) {
    const auto connection = weak.lock();
    count += connection && connection->in_use() ? 1 : 0;
  }
  return count;
}

std::size_t HttpListener::busy() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : connections_) {
    const auto connection = weak.lock();
    count += connection && connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace chiverail
