#include "caller_connection.h"

#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include "http_listener.h"
#include "log.h"

namespace chiverail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Bytes buffered for pipelined requests while one is being answered, from which on no more are
// read.
constexpr std::size_t kMaxPipelinedBytes = 16 * 1024;

// Received bytes beyond the limit for heads that may wait for the rest of an element: one read, in
// which the end of a head may be followed by anything.
constexpr std::size_t kMaxUnparsedSlack = 16 * 1024;

// A body in chunks may take this multiple of its size, and so much more. Chunks of one byte take
// six times their size.
constexpr std::size_t kMaxChunkOverhead = 16;
constexpr std::size_t kChunkOverheadSlack = 64 * 1024;

// A caller that has sent this much more has made progress.
constexpr std::size_t kProgressBytes = 16 * 1024;

// Memory of a connection without a request, and of a header field besides its text.
constexpr std::size_t kConnectionBytes = 2048;
constexpr std::size_t kFieldBytes = sizeof(HttpHeader) + 16;

// A request that is passed on is held twice: as received, and as sent to an upstream.
constexpr std::size_t kCopiesOfRequest = 2;

// Timeout for a body after its head: callers with slow links must not hold memory indefinitely.
constexpr Duration kBodyTimeout = seconds(20);

// A stopping process closes a connection that has been idle for this long. A caller that sends its
// next request at once is answered.
constexpr Duration kMinIdleTime = milliseconds(100);

// Frees the memory of a text, which an assignment of an empty one keeps.
void Release(std::string& text) {
  std::string().swap(text);
}

}  // namespace

CallerConnection::CallerConnection(HttpListener& listener, tcp::socket socket)
    : listener_(listener),
      account_(listener.account()),
      open_count_(listener.open_count()),
      io_(std::move(socket)),
      timer_(listener.io()) {
  ++*open_count_;
}

CallerConnection::~CallerConnection() {
  --*open_count_;
  account_->Remove(this);
}

std::size_t CallerConnection::HeldNow() const {
  std::size_t bytes =
      kConnectionBytes + read_buffer_.capacity() + body_.capacity() + request_cost_ + io_.unsent();
  if (parser_ && parser_->head_complete()) {
    bytes += parser_->head().fields.size() * kFieldBytes;
  }
  return bytes;
}

void CallerConnection::UpdateHeld(bool progress) {
  HolderState state = HolderState::kServing;
  if (!busy_) {
    state = HolderState::kReceiving;
  } else if (response_started_ && io_.unsent() > 0) {
    state = HolderState::kStalled;
  }
  account_->Update(shared_from_this(), HeldNow(), state, progress, BootTimeNow());
}

void CallerConnection::CloseForMemory() {
  if (!io_.open() || io_.lingering()) {
    return;
  }
  if (IsReceiving()) {
    Refuse(503);
  } else {
    if (busy_) {
      io_.Reset();
    }
    HandleDisconnect();
    Release(read_buffer_);
  }
  account_->Remove(this);
}

void CallerConnection::Start() {
  SetPeerTimeout(io_.socket(), listener_.limits().idle_timeout);
  io_.Start(
      shared_from_this(), [this](std::string_view bytes) { OnBytes(bytes); },
      [this](const std::string&) { HandleDisconnect(); });
  StartTimeout(TimeoutPhase::kIdle);
}

void CallerConnection::OnBytes(std::string_view bytes) {
  if (bytes.empty() && !busy_ && io_.unsent() > 0) {
    CloseWhenSent();  // a caller that has closed its side only may still read its answer
    return;
  }
  if (bytes.empty()) {
    HandleDisconnect();
    return;
  }
  if (ended_) {
    return;
  }
  read_buffer_.append(bytes);
  if (!busy_) {
    received_ += bytes.size();
    Parse();
  } else if (read_buffer_.size() > kMaxPipelinedBytes) {
    io_.PauseReading();
  }
  if (io_.open() && !io_.lingering()) {
    const bool progress = progress_mark_ + kProgressBytes <= received_;
    progress_mark_ = progress ? received_ : progress_mark_;
    UpdateHeld(progress);
  }
}

// What the parser has not taken is part of a head, of the line before a chunk or of the trailers.
// The parser does not limit the last two.
bool CallerConnection::IsMalformed() const {
  if (parser_->failed()) {
    return true;
  }
  if (parser_->complete()) {
    return false;
  }
  return read_buffer_.size() > listener_.limits().max_header_bytes + kMaxUnparsedSlack;
}

bool CallerConnection::HasExcessiveFraming() const {
  const bool chunked = !parser_->complete() && parser_->head_complete() &&
                       parser_->head().framing == BodyFraming::kChunked;
  return chunked && received_ > listener_.limits().max_header_bytes + kChunkOverheadSlack +
                                    kMaxChunkOverhead * (body_.size() + 1);
}

void CallerConnection::Parse() {
  if (read_buffer_.empty()) {
    return;
  }
  const CallerLimits& limits = listener_.limits();
  if (!parser_) {
    parser_.emplace(MessageKind::kRequest, limits.max_header_bytes, limits.max_body_bytes);
    first_byte_at_ = BootTimeNow();
    received_ = read_buffer_.size();
    progress_mark_ = 0;
    StartTimeout(TimeoutPhase::kReadingHead);
  }
  read_buffer_.erase(0, parser_->Put(read_buffer_));
  if (drops_body_) {
    parser_->TakeBody();
    if (IsMalformed() || parser_->complete()) {
      CloseWhenSent();
    }
    return;
  }
  if (!parser_->complete() && parser_->head_complete()) {
    body_.append(parser_->TakeBody());
  }
  if (IsMalformed() || HasExcessiveFraming()) {
    RefuseMalformed();
    return;
  }
  if (!parser_->head_complete()) {
    return;
  }
  if (timeout_phase_ == TimeoutPhase::kReadingHead) {
    StartTimeout(TimeoutPhase::kReadingBody);
    const bool waits = SameFieldName(parser_->head().Field("Expect"), "100-continue");
    if (OfferEarlyRefusal(!waits)) {
      return;
    }
    if (waits && !parser_->complete()) {
      io_.Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  body_.append(parser_->TakeBody());
  if (parser_->complete()) {
    DispatchRequest();
  }
}

void CallerConnection::BeginRequest(const MessageHead& head) {
  busy_ = true;
  response_started_ = false;
  keep_alive_ = head.keep_alive;
  head_request_ = head.method == "HEAD";
  http_1_0_ = head.http_1_0;
}

void CallerConnection::RefuseEarly() {
  OfferEarlyRefusal(true);
}

// The rest of the body is read and dropped, within the limits of its size and time, before the
// connection closes: the caller may read its answer only when it has sent all. `body_comes` is
// false if the caller waits with the body until it is told to send it.
bool CallerConnection::OfferEarlyRefusal(bool body_comes) {
  const auto& refuse = listener_.early_refusal();
  if (!refuse || busy_ || drops_body_ || ended_ || !io_.open() || !parser_ ||
      !parser_->head_complete() || parser_->complete()) {
    return false;
  }
  BeginRequest(parser_->head());
  keep_alive_ = false;
  drops_body_ = body_comes;
  if (refuse(shared_from_this(), parser_->head(), first_byte_at_)) {
    Release(body_);
    return true;
  }
  drops_body_ = false;
  busy_ = false;
  return false;
}

void CallerConnection::DispatchRequest() {
  CallerRequest request{parser_->head(), std::move(body_), first_byte_at_};
  Release(body_);
  parser_.reset();
  BeginRequest(request.head);
  UpdateHeld(true);  // the body no longer counts as one that arrives
  const std::size_t cost = kCopiesOfRequest * request.body.size();
  if (!account_->MakeRoomFor(cost, this, BootTimeNow())) {
    Refuse(503);
    return;
  }
  request_cost_ = cost + request.head.fields.size() * kFieldBytes;
  if (read_buffer_.empty()) {
    read_buffer_.shrink_to_fit();
  }
  StartTimeout(TimeoutPhase::kNone);
  try {
    listener_.handler_(shared_from_this(), std::move(request));
  } catch (const std::exception& error) {
    ComponentLogger("http")->error("A request failed: {}.", error.what());
    if (!busy_) {
      return;  // it was answered before
    }
    if (response_started_) {
      Abort();
    } else {
      keep_alive_ = false;
      Respond(500, {}, {}, {});
    }
  }
}

void CallerConnection::RefuseMalformed() {
  int status = 400;
  if (parser_->head_too_large() || !parser_->failed()) {
    status = 431;
  } else if (parser_->body_too_large()) {
    status = 413;
  }
  Refuse(status);
}

// Refuses a request that has not been passed on, and closes the connection.
void CallerConnection::Refuse(int status) {
  busy_ = true;
  keep_alive_ = false;
  Release(read_buffer_);
  Release(body_);
  StartTimeout(TimeoutPhase::kNone);
  std::vector<HttpHeader> fields;
  if (status == 503) {
    fields.emplace_back("Retry-After", "0.1");
  }
  Respond(status, {}, fields, {});
}

void CallerConnection::NextRequest() {
  StartTimeout(TimeoutPhase::kIdle);
  io_.ResumeReading();
  if (!read_buffer_.empty()) {
    asio::post(listener_.io(), [self = shared_from_this()] {
      if (!self->busy_ && self->io_.open()) {
        self->Parse();
      }
    });
  }
}

// A caller that does not read has the idle time to go on, see OnTimer().
void CallerConnection::CloseWhenSent() {
  ended_ = true;
  parser_.reset();
  Release(read_buffer_);
  StartTimeout(TimeoutPhase::kIdle);
  io_.ResumeReading();
  io_.CloseWhenSent();
}

void CallerConnection::RefuseUnread(const std::vector<HttpHeader>& fields) {
  if (drops_body_ && !ended_) {
    CloseWhenSent();
  } else if (!busy_ && parser_) {
    busy_ = true;
    keep_alive_ = false;
    StartTimeout(TimeoutPhase::kNone);
    Respond(503, {}, fields, {});
  }
}

std::string CallerConnection::peer_host() {
  boost::system::error_code error;
  const tcp::endpoint endpoint = io_.socket().remote_endpoint(error);
  return error ? "" : endpoint.address().to_string();
}

bool CallerConnection::has_unfinished_request() {
  return busy_ || parser_ || io_.unsent() > 0 || io_.HasUnread();
}

bool CallerConnection::in_use() {
  return io_.lingering() || has_unfinished_request() ||
         (io_.open() && BootTimeNow() < idle_since_ + kMinIdleTime);
}

// A request whose bytes have arrived is answered, also if none of them was read so far.
void CallerConnection::CloseIfIdle() {
  if (!io_.open() || io_.lingering() || has_unfinished_request()) {
    return;
  }
  const Duration left = idle_since_ + kMinIdleTime - BootTimeNow();
  if (left > Duration::zero()) {
    timeout_at_ = idle_since_ + kMinIdleTime;
    ArmTimer(left);
    return;
  }
  CloseWhenSent();
}

void CallerConnection::HandleDisconnect() {
  busy_ = false;
  timer_.cancel();
  io_.Close();
  if (on_disconnect_) {
    std::exchange(on_disconnect_, nullptr)();
  }
}

// A pending timer is not restarted: OnTimer() compares the time with timeout_at_ when it fires, so
// that requests cause no timer operations.
void CallerConnection::StartTimeout(TimeoutPhase phase) {
  timeout_phase_ = phase;
  if (phase == TimeoutPhase::kIdle) {
    idle_since_ = BootTimeNow();
    unsent_before_ = io_.unsent();
  }
  const CallerLimits& limits = listener_.limits();
  Duration timeout = limits.idle_timeout;
  if (phase == TimeoutPhase::kReadingHead) {
    timeout = limits.header_timeout;
  } else if (phase == TimeoutPhase::kReadingBody) {
    timeout = kBodyTimeout;
  }
  timeout_at_ = BootTimeNow() + timeout;
  if (!timer_pending_) {
    OnTimer();
  }
}

void CallerConnection::OnTimer() {
  timer_pending_ = false;
  if (!io_.open()) {
    return;
  }
  const TimePoint now = BootTimeNow();
  if (timeout_phase_ != TimeoutPhase::kNone && timeout_at_ <= now) {
    if (timeout_phase_ == TimeoutPhase::kIdle && !ended_ && io_.HasUnread()) {
      ArmTimer(kMinIdleTime);  // its next request has come in time
    } else if (timeout_phase_ == TimeoutPhase::kIdle && io_.unsent() > 0) {
      // A caller that reads nothing of its response has had the idle time for it.
      io_.unsent() < unsent_before_ ? StartTimeout(TimeoutPhase::kIdle) : io_.Reset();
    } else if (timeout_phase_ == TimeoutPhase::kIdle || drops_body_) {
      CloseWhenSent();
    } else {
      busy_ = true;
      keep_alive_ = false;
      Respond(408, {}, {}, {});
    }
    return;
  }
  constexpr Duration kBusyCheck = seconds(1);
  ArmTimer(timeout_phase_ == TimeoutPhase::kNone ? kBusyCheck : timeout_at_ - now);
}

void CallerConnection::ArmTimer(Duration time) {
  timer_pending_ = true;
  timer_.expires_after(time);
  timer_.async_wait([self = weak_from_this()](const auto& error) {
    const auto connection = self.lock();
    if (connection && !error) {
      connection->OnTimer();
    }
  });
}

}  // namespace chiverail
