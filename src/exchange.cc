#include "exchange.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

// FNV-1a, because it can be computed incrementally with 8 bytes of state.
constexpr std::uint64_t kFnvStart = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t ContinueHash(std::uint64_t hash, std::string_view text) {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

void Append(ExchangeActions& actions, ExchangeActions more) {
  std::move(more.begin(), more.end(), std::back_inserter(actions));
}

}  // namespace

Exchange::Exchange(ExchangeRequest request, const ExchangeLimits& limits)
    : request_(std::move(request)),
      limits_(limits),
      delivered_hash_(kFnvStart),
      position_hash_(kFnvStart) {}

ExchangeActions Exchange::Start(TimePoint now) {
  if (!request_.resume) {
    attempt_count_ = 1;
    phase_ = Phase::kSelecting;
    return {SelectUpstream{attempt_, false, {}}};
  }
  if (request_.resume->request != request_.request) {
    error_ = {ErrorCode::kInvalidField, "the resume token belongs to another request", Ran::kNo};
    phase_ = Phase::kFinished;
    return {SendError{error_}};
  }
  // The token was sent after the stream's head, so an engine has started the request.
  ran_ = true;
  attempt_ = request_.resume->attempt;
  upstream_ = request_.resume->upstream;
  attempt_active_ = true;
  attempt_head_received_ = true;
  delivered_ = request_.resume_offset;
  position_ = request_.resume_offset;
  return Open(true, now);
}

ExchangeActions Exchange::OnUpstream(std::uint32_t attempt,
                                     const UpstreamId& upstream,
                                     TimePoint now) {
  if (phase_ != Phase::kSelecting || attempt != attempt_) {
    return {AttemptEnded{upstream, attempt, false, Duration(0)}};
  }
  upstream_ = upstream;
  attempt_active_ = true;
  attempt_head_received_ = false;
  attempt_text_received_ = false;
  first_text_ = Duration(0);
  return Open(false, now);
}

ExchangeActions Exchange::OnNoUpstream(std::uint32_t attempt,
                                       const RequestError& error,
                                       TimePoint now) {
  if (phase_ != Phase::kSelecting || attempt != attempt_) {
    return {};
  }
  return Fail(error, now);
}

// A stream resumed by token already exists at the engine, so the gap limit applies to its first
// line.
ExchangeActions Exchange::Open(bool resume, TimePoint now) {
  ++link_;
  link_open_ = true;
  link_head_received_ = false;
  phase_ = Phase::kStreaming;
  unreported_links_.push_back(link_);
  if (!resume) {
    opened_at_ = now;
  }
  progress_deadline_ =
      now +
      (attempt_text_received_ || (resume && request_.resume) ? limits_.gap : limits_.first_byte);
  return {OpenLink{link_, upstream_, request_.request, attempt_, resume, position_}};
}

// Returns whether the line belongs to the current link; counts it as dropped otherwise. Any line,
// even a dropped one, proves that bytes of the request reached an engine.
bool Exchange::AcceptLine(std::uint32_t link) {
  bytes_written_ = true;
  const bool current = phase_ == Phase::kStreaming && link_open_ && link == link_;
  if (!current) {
    ++dropped_;
  }
  return current;
}

ExchangeActions Exchange::OnHead(std::uint32_t link,
                                 const RequestId& request,
                                 std::uint32_t attempt,
                                 TimePoint now) {
  if (!AcceptLine(link)) {
    return {};
  }
  if (request != request_.request || attempt != attempt_ || link_head_received_) {
    ++dropped_;
    return HandleLinkFailure("the engine answered another request", true, now);
  }
  link_head_received_ = true;
  ran_ = true;
  attempt_head_received_ = true;
  if (announced_attempt_ == attempt_ || detached_) {
    return {};
  }
  announced_attempt_ = attempt_;
  return {SendStart{request_.request, attempt_,
                    SerializeResumeToken({upstream_, request_.request, attempt_})}};
}

// Text before the head cannot be attributed to a request. Text that the attempt already delivered
// is cut off; an offset beyond the next expected byte means that text in between is missing, which
// only a resume can recover.
ExchangeActions Exchange::OnText(std::uint32_t link,
                                 std::uint64_t offset,
                                 std::string_view text,
                                 TimePoint now) {
  if (!AcceptLine(link)) {
    return {};
  }
  if (!link_head_received_) {
    ++dropped_;
    return HandleLinkFailure("the engine sent text before the head", true, now);
  }
  if (now >= request_.deadline) {
    return Tick(now);  // a continuous stream may keep the owner from calling Tick
  }
  if (offset > position_) {
    return HandleLinkFailure("a part of the stream is missing", true, now);
  }
  const std::uint64_t overlap = position_ - offset;
  if (overlap >= text.size()) {
    return {};
  }
  return AppendText(text.substr(overlap), now);
}

// A new attempt repeats the text that the caller already has. Its further text is sent only if the
// repeated text is identical to the byte.
ExchangeActions Exchange::AppendText(std::string_view text, TimePoint now) {
  if (!attempt_text_received_) {
    attempt_text_received_ = true;
    first_text_ = now - opened_at_;
  }
  stalled_resumes_ = 0;
  progress_deadline_ = now + limits_.gap;
  if (position_ < delivered_) {
    const std::string_view repeated = text.substr(0, delivered_ - position_);
    position_hash_ = ContinueHash(position_hash_, repeated);
    position_ += repeated.size();
    text.remove_prefix(repeated.size());
    if (position_ == delivered_ && position_hash_ != delivered_hash_) {
      return Fail({ErrorCode::kUpstreamFailed, "a new run gave a different answer", Ran::kYes},
                  now);
    }
  }
  if (text.empty()) {
    return {};
  }
  const std::uint64_t offset = delivered_;
  delivered_hash_ = ContinueHash(delivered_hash_, text);
  delivered_ += text.size();
  position_ = delivered_;
  if (detached_) {
    return {};
  }
  return {SendText{offset, std::string(text)}};
}

ExchangeActions Exchange::OnEnd(std::uint32_t link, const EndMark& end, TimePoint now) {
  if (!AcceptLine(link)) {
    return {};
  }
  if (!link_head_received_) {
    ++dropped_;
    return HandleLinkFailure("the engine sent the end before the head", true, now);
  }
  if (end.length && *end.length > position_) {
    return HandleLinkFailure("a part of the stream is missing", true, now);
  }
  if (position_ < delivered_ || (end.length && *end.length < position_)) {
    return Fail({ErrorCode::kUpstreamFailed, "a new run gave a shorter answer", Ran::kYes}, now);
  }
  ExchangeActions actions;
  if (!detached_) {
    actions.push_back(SendEnd{end.tokens});
  }
  actions.push_back(AttemptEnded{upstream_, attempt_, true, first_text_});
  attempt_active_ = false;
  link_open_ = false;
  phase_ = Phase::kFinished;
  return actions;
}

// An engine that refuses a resume no longer has the stream, so the attempt is abandoned.
ExchangeActions Exchange::OnRefused(std::uint32_t link,
                                    const RequestError& error,
                                    bool retryable,
                                    TimePoint now) {
  if (!AcceptLine(link)) {
    return {};
  }
  if (!retryable && !attempt_head_received_) {
    return Fail(error, now);
  }
  return HandleLinkFailure(error.message, false, now);
}

ExchangeActions Exchange::OnLinkClosed(std::uint32_t link, bool bytes_written, TimePoint now) {
  const auto found = std::find(unreported_links_.begin(), unreported_links_.end(), link);
  if (found == unreported_links_.end()) {
    return {};
  }
  unreported_links_.erase(found);
  bytes_written_ = bytes_written_ || bytes_written;
  if (phase_ == Phase::kAwaitingCloseReports) {
    return unreported_links_.empty() || bytes_written_ ? FinishWithError() : ExchangeActions{};
  }
  if (phase_ != Phase::kStreaming || link != link_ || !link_open_) {
    return {};
  }
  link_open_ = false;
  return HandleLinkFailure("the connection to the engine broke", true, now);
}

// Resumes the attempt if its head was received, because the engine then has the stream. Abandons
// the attempt otherwise, or after too many resumes without progress.
ExchangeActions Exchange::HandleLinkFailure(const std::string& reason,
                                            bool resumable,
                                            TimePoint now) {
  ExchangeActions actions;
  if (link_open_) {
    link_open_ = false;
    actions.push_back(CloseLink{link_});
  }
  if (detached_) {
    Append(actions, EndAttempt(false));
    phase_ = Phase::kFinished;
    return actions;
  }
  if (!resumable || !attempt_head_received_ || stalled_resumes_ >= limits_.max_stalled_resumes) {
    Append(actions, AbandonAttempt(reason, now));
    return actions;
  }
  ++stalled_resumes_;
  if (stalled_resumes_ == 1) {
    Append(actions, Open(true, now));
    return actions;
  }
  phase_ = Phase::kBackingOff;
  resume_time_ = now + kResumeBackoff * (1 << (stalled_resumes_ - 2));
  return actions;
}

// A new attempt can be compared with the caller's text only if all of that text passed through this
// exchange.
bool Exchange::MayStartNewAttempt() const {
  return attempt_count_ < limits_.max_attempts && request_.resume_offset == 0;
}

ExchangeActions Exchange::AbandonAttempt(const std::string& reason, TimePoint now) {
  const bool may_have_run = bytes_written_ || !unreported_links_.empty();
  ExchangeActions actions = EndAttempt(may_have_run);
  failed_upstreams_.push_back(upstream_);
  if (!MayStartNewAttempt()) {
    const ErrorCode code = request_.resume ? ErrorCode::kResumeFailed : ErrorCode::kUpstreamFailed;
    Append(actions, Fail({code, reason, Ran::kUnknown}, now));
    return actions;
  }
  attempt_ = request_.resume && attempt_count_ == 0
                 ? (attempt_ / kAttemptStride + 1) * kAttemptStride + 1
                 : attempt_ + 1;
  ++attempt_count_;
  position_ = 0;
  position_hash_ = kFnvStart;
  stalled_resumes_ = 0;
  phase_ = Phase::kSelecting;
  actions.push_back(SelectUpstream{attempt_, may_have_run, failed_upstreams_});
  return actions;
}

ExchangeActions Exchange::EndAttempt(bool cancel) {
  if (!attempt_active_) {
    return {};
  }
  attempt_active_ = false;
  ExchangeActions actions;
  if (cancel) {
    actions.push_back(CancelAttempt{upstream_, request_.request, attempt_});
  }
  actions.push_back(AttemptEnded{upstream_, attempt_, false, first_text_});
  return actions;
}

Ran Exchange::RanStatus() const {
  if (ran_) {
    return Ran::kYes;
  }
  return bytes_written_ || !unreported_links_.empty() ? Ran::kUnknown : Ran::kNo;
}

// If the error could say "not run", first waits for the closed links to report whether any byte of
// the request was written.
ExchangeActions Exchange::Fail(const RequestError& error, TimePoint now) {
  error_ = error;
  ExchangeActions actions;
  if (link_open_) {
    link_open_ = false;
    actions.push_back(CloseLink{link_});
  }
  Append(actions, EndAttempt(bytes_written_ || !unreported_links_.empty()));
  if (!detached_ && !ran_ && !bytes_written_ && !unreported_links_.empty()) {
    phase_ = Phase::kAwaitingCloseReports;
    close_report_deadline_ = now + kCloseReportTimeout;
    return actions;
  }
  Append(actions, FinishWithError());
  return actions;
}

ExchangeActions Exchange::FinishWithError() {
  phase_ = Phase::kFinished;
  if (detached_) {
    return {};
  }
  error_.ran = RanStatus();
  return {SendError{error_}};
}

ExchangeActions Exchange::OnCallerDisconnected(TimePoint) {
  detached_ = true;
  switch (phase_) {
    case Phase::kStreaming:
    case Phase::kFinished:
      return {};
    default:
      phase_ = Phase::kFinished;
      return EndAttempt(false);
  }
}

ExchangeActions Exchange::OnCallerCancelled(TimePoint now) {
  detached_ = true;
  if (phase_ == Phase::kFinished) {
    return {};
  }
  return Fail({ErrorCode::kUpstreamFailed, "cancelled", Ran::kUnknown}, now);
}

ExchangeActions Exchange::Tick(TimePoint now) {
  if (phase_ == Phase::kIdle || phase_ == Phase::kFinished) {
    return {};
  }
  if (phase_ == Phase::kAwaitingCloseReports) {
    return now >= close_report_deadline_ ? FinishWithError() : ExchangeActions{};
  }
  if (now >= request_.deadline) {
    return Fail({ErrorCode::kDeadlineExpired, "the deadline of the request passed", Ran::kUnknown},
                now);
  }
  if (phase_ == Phase::kStreaming && now >= progress_deadline_) {
    return HandleLinkFailure("the engine has gone silent", true, now);
  }
  if (phase_ == Phase::kBackingOff && now >= resume_time_) {
    return Open(true, now);
  }
  return {};
}

std::optional<TimePoint> Exchange::NextDeadline() const {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kFinished:
      return std::nullopt;
    case Phase::kSelecting:
      return request_.deadline;
    case Phase::kStreaming:
      return std::min(request_.deadline, progress_deadline_);
    case Phase::kBackingOff:
      return std::min(request_.deadline, resume_time_);
    case Phase::kAwaitingCloseReports:
      return close_report_deadline_;
  }
  return std::nullopt;
}

}  // namespace chiverail
