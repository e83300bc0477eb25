#include "upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <sys/socket.h>

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Bound of an answer's head; bodies are passed on and have none.
constexpr std::size_t kMaxAnswerHeadBytes = 64 * 1024;
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{1} << 40;

// Sent bytes that stay unacknowledged for this long mean that the connection has gone silent.
constexpr Duration kSilenceLimit = milliseconds(2500);

// Share of the time that a peer keeps idle connections after which one isn't used any more: its
// close may be on its way.
constexpr double kKeepAliveShare = 0.6;

// Where the peer doesn't say how long it keeps idle connections.
constexpr Duration kDefaultKeepAlive = seconds(2);

// Idle connections kept for one address.
constexpr std::size_t kMaxIdlePerAddress = 8;

// Seconds in a Keep-Alive field such as "timeout=5, max=100".
std::optional<Duration> KeepAliveOf(const MessageHead& head) {
  const std::string_view field = head.Field("Keep-Alive");
  const std::size_t position = field.find("timeout=");
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = field.substr(position + 8);
  int value = 0;
  const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  return seconds(value);
}

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& io, std::string address)
    : asio_(io), address_(std::move(address)), connect_timer_(io) {}

void UpstreamConnection::Start(std::string request,
                               bool head_request,
                               IsMine is_mine,
                               Handler handler) {
  request_ = std::move(request);
  head_request_ = head_request;
  is_mine_ = std::move(is_mine);
  handler_ = std::move(handler);
  active_ = true;
  sent_ = false;
  head_given_ = false;
  reusable_ = false;
  if (io_) {
    SendRequest();
  } else {
    Connect();
  }
}

void UpstreamConnection::Connect() {
  const auto [host, port] = SplitAddress(address_);
  io_ = std::make_shared<SocketIo>(tcp::socket(asio_));
  boost::system::error_code ignored;
  io_->socket().open(tcp::v4(), ignored);
  SetSilenceLimit(io_->socket(), kSilenceLimit);
  io_->socket().async_connect(tcp::endpoint(asio::ip::make_address(host), port),
                              [self = shared_from_this()](const boost::system::error_code& error) {
                                self->connect_timer_.cancel();
                                if (!self->active_) {
                                  return;
                                }
                                if (error) {
                                  self->Fail("cannot connect: " + error.message());
                                } else {
                                  self->OnConnected();
                                }
                              });
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](const auto& cancelled) {
    if (!cancelled && self->active_ && !self->sent_) {
      self->Fail("cannot connect within the time limit");
    }
  });
}

void UpstreamConnection::OnConnected() {
  io_->Start(
      shared_from_this(), [this](std::string_view bytes) { OnBytes(bytes); },
      [this](const std::string& reason) { Fail(reason); });
  SendRequest();
}

void UpstreamConnection::SendRequest() {
  sent_ = true;
  std::string request;
  request.swap(request_);
  io_->Send(request);
}

void UpstreamConnection::OnBytes(std::string_view bytes) {
  if (!active_) {
    // Bytes that no request asked for, or the peer's close: the connection ends.
    reusable_ = false;
    io_->Close();
    return;
  }
  if (!bytes.empty()) {
    inbox_.append(bytes);
    Parse();
    return;
  }
  if (parser_ && parser_->head_complete() && !skipping_) {
    parser_->PutEnd();
    if (parser_->complete()) {
      Parse();
      return;
    }
  }
  Fail("the upstream closed the connection");
}

void UpstreamConnection::Parse() {
  const auto self = shared_from_this();  // the handler may let go of this connection
  while (active_) {
    if (!parser_) {
      if (inbox_.empty()) {
        return;
      }
      parser_.emplace(MessageKind::kResponse, kMaxAnswerHeadBytes, kMaxAnswerBytes);
      skipping_ = false;
      if (head_request_) {
        parser_->SkipBody();
      }
    }
    const std::size_t used = parser_->Put(inbox_);
    inbox_.erase(0, used);
    if (parser_->failed()) {
      Fail("the upstream sent bytes that are no answer");
      return;
    }
    if (!parser_->head_complete()) {
      return;
    }
    if (!head_given_ && !skipping_) {
      const MessageHead& head = parser_->head();
      if (head.status >= 100 && head.status < 200) {
        parser_.reset();
        continue;
      }
      skipping_ = !is_mine_(head);
      if (!skipping_) {
        head_given_ = true;
        keep_alive_ = KeepAliveOf(head);
        Emit(AnswerHead{head});
      }
    }
    std::string body = parser_->TakeBody();
    if (active_ && !skipping_ && !body.empty()) {
      Emit(AnswerBody{std::move(body)});
    }
    if (!parser_ || !parser_->complete()) {
      return;
    }
    if (!skipping_) {
      Finish();
      return;
    }
    parser_.reset();
  }
}

void UpstreamConnection::Finish() {
  reusable_ = parser_->head().keep_alive && inbox_.empty() && io_->unsent() == 0 && io_->open();
  parser_.reset();
  inbox_.shrink_to_fit();
  idle_since_ = BootTimeNow();
  is_mine_ = nullptr;
  Last(AnswerEnd{});
}

// The handler may close this connection and must not be destroyed while it runs, so it lies outside
// the member meanwhile.
void UpstreamConnection::Emit(AnswerEvent event) {
  Handler handler = std::move(handler_);
  handler(std::move(event));
  if (active_) {
    handler_ = std::move(handler);
  }
}

void UpstreamConnection::Last(AnswerEvent event) {
  if (!std::exchange(active_, false)) {
    return;
  }
  const Handler handler = std::exchange(handler_, nullptr);
  handler(std::move(event));
}

void UpstreamConnection::Fail(const std::string& reason) {
  connect_timer_.cancel();
  reusable_ = false;
  if (io_) {
    io_->Close();
  }
  parser_.reset();
  Last(AnswerBroken{reason, sent_});
}

void UpstreamConnection::Close() {
  active_ = false;
  handler_ = nullptr;
  is_mine_ = nullptr;
  reusable_ = false;
  connect_timer_.cancel();
  if (io_) {
    io_->Reset();
  }
}

bool UpstreamConnection::Reusable() {
  if (!reusable_ || !io_ || !io_->open()) {
    return false;
  }
  char byte = 0;
  const auto count = recv(io_->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::shared_ptr<UpstreamConnection> UpstreamPool::Take(const std::string& address,
                                                       Duration max_idle) {
  auto& idle = idle_[address];
  const TimePoint now = BootTimeNow();
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    const Duration kept = connection->keep_alive().value_or(kDefaultKeepAlive);
    const auto usable = std::chrono::duration_cast<Duration>(kept * kKeepAliveShare);
    const bool fresh = now < connection->idle_since() + std::min(usable, max_idle);
    if (fresh && connection->Reusable()) {
      return connection;
    }
    connection->Close();
  }
  return std::make_shared<UpstreamConnection>(io_, address);
}

void UpstreamPool::GiveBack(std::shared_ptr<UpstreamConnection> connection) {
  auto& idle = idle_[connection->address()];
  if (connection->Reusable() && idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
  } else {
    connection->Close();
  }
}

void UpstreamPool::Drop(const std::string& address) {
  for (const auto& connection : idle_[address]) {
    connection->Close();
  }
  idle_.erase(address);
}

void UpstreamPool::Expire() {
  const TimePoint now = BootTimeNow();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& idle = entry->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const auto& connection) {
                                const Duration kept =
                                    connection->keep_alive().value_or(kDefaultKeepAlive);
                                const bool old = connection->idle_since() + kept < now;
                                if (old) {
                                  connection->Close();
                                }
                                return old;
                              }),
               idle.end());
    entry = idle.empty() ? idle_.erase(entry) : ++entry;
  }
}

}  // namespace chiverail
