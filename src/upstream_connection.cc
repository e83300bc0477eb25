#include "upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Limit for the head of a response; bodies are forwarded and effectively unlimited.
constexpr std::size_t kMaxResponseHeadBytes = 64 * 1024;
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{1} << 40;

// Limit for received bytes that the parser waits to have more of, such as an endless chunk size.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxResponseHeadBytes;

// A connection is considered dead if sent bytes stay unacknowledged for this long.
constexpr Duration kPeerTimeout = milliseconds(2500);

// Fraction of the peer's keep-alive time after which an idle connection is no longer used: the
// peer may already have sent its close.
constexpr double kKeepAliveShare = 0.6;

// Keep-alive time assumed if the peer announces none.
constexpr Duration kDefaultKeepAlive = seconds(2);

// Maximum number of idle connections per address.
constexpr std::size_t kMaxIdlePerAddress = 8;

// Parses the timeout of a Keep-Alive field such as "timeout=5, max=100".
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
                               MatchesRequest matches_request,
                               Handler handler,
                               const std::string& request_id) {
  mixed_answers_.Begin(request_id);
  request_ = std::move(request);
  head_request_ = head_request;
  matches_request_ = std::move(matches_request);
  handler_ = std::move(handler);
  active_ = true;
  sent_ = false;
  head_emitted_ = false;
  interim_responses_ = 0;
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
  SetPeerTimeout(io_->socket(), kPeerTimeout);
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
    // Unsolicited bytes or a close by the peer: the connection can't be reused.
    reusable_ = false;
    io_->Close();
    return;
  }
  if (!bytes.empty()) {
    read_buffer_.append(bytes);
    Parse();
    return;
  }
  if (parser_ && parser_->head_complete() && !skipping_response_) {
    parser_->PutEof();
    if (parser_->complete()) {
      Parse();
      return;
    }
  }
  Fail("the upstream closed the connection");
}

void UpstreamConnection::Parse() {
  const auto self = shared_from_this();  // the handler may drop its reference to this connection
  while (active_) {
    if (!parser_) {
      if (read_buffer_.empty()) {
        return;
      }
      parser_.emplace(MessageKind::kResponse, kMaxResponseHeadBytes, kMaxResponseBytes);
      skipping_response_ = false;
      if (head_request_) {
        parser_->SkipBody();
      }
    }
    const std::size_t used = parser_->Put(read_buffer_);
    read_buffer_.erase(0, used);
    if (parser_->failed()) {
      Fail("the upstream sent bytes that are no answer");
      return;
    }
    if (read_buffer_.size() > kMaxUnparsedBytes) {
      Fail("the upstream sent too much that is no answer");
      return;
    }
    if (!parser_->head_complete()) {
      return;
    }
    if (!head_emitted_ && !skipping_response_) {
      const MessageHead& head = parser_->head();
      if (IsInterimStatus(head.status)) {
        if (++interim_responses_ > kMaxInterimResponses) {
          Fail("the upstream sent too many interim responses");
          return;
        }
        parser_.reset();
        continue;
      }
      skipping_response_ = !matches_request_(head);
      if (!skipping_response_) {
        head_emitted_ = true;
        keep_alive_ = KeepAliveOf(head);
        Emit(ResponseHead{head});
      }
    }
    std::string body = parser_->TakeBody();
    if (active_ && !skipping_response_ && !body.empty()) {
      if (mixed_answers_.Add(body)) {
        Fail("the upstream sent an earlier answer within this one");
        return;
      }
      Emit(ResponseBody{std::move(body)});
    }
    if (!parser_ || !parser_->complete()) {
      return;
    }
    if (!skipping_response_) {
      if (mixed_answers_.EndsWith(read_buffer_)) {
        Fail("the upstream sent an earlier answer within this one");
        return;
      }
      Finish();
      return;
    }
    parser_.reset();
  }
}

void UpstreamConnection::Finish() {
  reusable_ =
      parser_->head().keep_alive && read_buffer_.empty() && io_->unsent() == 0 && io_->open();
  ++responses_;
  mixed_answers_.End();
  parser_.reset();
  read_buffer_.shrink_to_fit();
  idle_since_ = BootTimeNow();
  matches_request_ = nullptr;
  EmitLast(ResponseEnd{});
}

// The handler may call Close(), which clears handler_. It must not be destroyed while it runs, so
// it is moved out of the member during the call.
void UpstreamConnection::Emit(ResponseEvent event) {
  Handler handler = std::move(handler_);
  handler(std::move(event));
  if (active_) {
    handler_ = std::move(handler);
  }
}

void UpstreamConnection::EmitLast(ResponseEvent event) {
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
  EmitLast(ExchangeError{reason, sent_});
}

void UpstreamConnection::Close() {
  active_ = false;
  handler_ = nullptr;
  matches_request_ = nullptr;
  reusable_ = false;
  connect_timer_.cancel();
  if (io_) {
    io_->Reset();
  }
}

void UpstreamConnection::ResumeReading() {
  if (io_->reading_paused()) {
    io_->ResumeReading();
  }
}

bool UpstreamConnection::Reusable() {
  return reusable_ && io_ && io_->open() && IsQuiet(io_->socket());
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
  const auto connection = std::make_shared<UpstreamConnection>(io_, address);
  all_[address].push_back(connection);
  return connection;
}

bool UpstreamPool::HasOpen(const std::string& address) const {
  const auto found = all_.find(address);
  return found != all_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [](const auto& weak) {
           const auto connection = weak.lock();
           return connection && connection->IsOpen();
         });
}

void UpstreamPool::Return(std::shared_ptr<UpstreamConnection> connection) {
  auto& idle = idle_[connection->address()];
  if (connection->Reusable() && idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
  } else {
    connection->Close();
  }
}

void UpstreamPool::CloseIdle(const std::string& address) {
  for (const auto& connection : idle_[address]) {
    connection->Close();
  }
  idle_.erase(address);
}

void UpstreamPool::Expire() {
  for (auto entry = all_.begin(); entry != all_.end();) {
    auto& connections = entry->second;
    connections.erase(std::remove_if(connections.begin(), connections.end(),
                                     [](const auto& connection) { return connection.expired(); }),
                      connections.end());
    entry = connections.empty() ? all_.erase(entry) : std::next(entry);
  }
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
