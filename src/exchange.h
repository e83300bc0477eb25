#ifndef CHIVERAIL_EXCHANGE_H_
#define CHIVERAIL_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "resume_token.h"
#include "types.h"

namespace chiverail {

// Before a request is refused as "not run", the exchange waits up to this long for the report that
// its connections closed before a byte was written. Without the report the refusal says "unknown".
inline constexpr Duration kCloseReportTimeout = milliseconds(200);
// Delay before the second consecutive resume without progress; doubled for each further one.
inline constexpr Duration kResumeBackoff = milliseconds(100);
// New attempts of a request that was resumed on another instance are numbered from just above the
// next multiple of this, so that two instances never assign the same number to two attempts.
inline constexpr std::uint32_t kAttemptStride = 16;

// Limits of one exchange.
struct ExchangeLimits {
  Duration first_byte = milliseconds(10'000);  // from opening a connection to the first text
  Duration gap = milliseconds(5'000);          // between two text lines
  std::uint32_t max_attempts = 3;              // resumes not counted; below kAttemptStride
  std::uint32_t max_stalled_resumes = 3;       // consecutive resumes without new text
};

// Parameters of the request that an exchange executes.
struct ExchangeRequest {
  RequestId request;
  TimePoint deadline{};
  std::optional<ResumeToken> resume;  // set when the caller resumes a stream
  std::uint64_t resume_offset = 0;    // bytes of text that the caller has received
};

// Requests an engine and a slot from the router; answered by OnUpstream or OnNoUpstream. `retry` is
// set when an earlier attempt may have reached an engine: the router charges such an attempt to the
// retry budget and refuses it when the budget is exhausted.
struct SelectUpstream {
  std::uint32_t attempt = 0;
  bool retry = false;
  std::vector<UpstreamId> avoid;  // engines on which an attempt of this request failed
};

// Opens a new connection (link) to an engine and sends the request, or resumes the attempt's stream
// at `offset`. Each link ends with exactly one OnLinkClosed.
struct OpenLink {
  std::uint32_t link = 0;
  UpstreamId upstream;
  RequestId request;
  std::uint32_t attempt = 0;
  bool resume = false;
  std::uint64_t offset = 0;
};

// Closes a connection with a TCP reset, so that bytes still queued in the socket are not sent.
struct CloseLink {
  std::uint32_t link = 0;
};

// Cancels an abandoned attempt at its engine. The engine must not cancel other attempts of the
// request.
struct CancelAttempt {
  UpstreamId upstream;
  RequestId request;
  std::uint32_t attempt = 0;
};

// Ends an attempt; the router returns its slot.
struct AttemptEnded {
  UpstreamId upstream;
  std::uint32_t attempt = 0;
  bool completed = false;
  Duration first_text{0};  // from opening the connection; 0 if no text arrived
};

// Sends the caller the start line; sent again with a new token when a later attempt continues the
// answer.
struct SendStart {
  RequestId request;
  std::uint32_t attempt = 0;
  std::string resume_token;
};

// Sends the caller a piece of the answer. Offsets count bytes of UTF-8 text and are contiguous.
struct SendText {
  std::uint64_t offset = 0;
  std::string text;
};

// Sends the caller the end mark.
struct SendEnd {
  std::uint64_t tokens = 0;
};

// Sends the caller the typed error that ends the answer.
struct SendError {
  RequestError error;
};

using ExchangeAction = std::variant<SelectUpstream,
                                    OpenLink,
                                    CloseLink,
                                    CancelAttempt,
                                    AttemptEnded,
                                    SendStart,
                                    SendText,
                                    SendEnd,
                                    SendError>;
using ExchangeActions = std::vector<ExchangeAction>;

// The end mark of an engine's stream.
struct EndMark {
  std::uint64_t tokens = 0;
  std::optional<std::uint64_t> length;  // bytes of the complete text, if the engine reports it
};

// State machine for one chat request, from its first attempt to the end mark or the error that is
// sent to the caller. Performs no I/O.
//
// The owner executes the returned actions in order and reports the events of each link. Events of
// abandoned links are accepted and dropped.
class Exchange {
 public:
  Exchange(ExchangeRequest request, const ExchangeLimits& limits);

  ExchangeActions Start(TimePoint now);

  // Answers to SelectUpstream. A slot that arrives too late is returned by AttemptEnded.
  ExchangeActions OnUpstream(std::uint32_t attempt, const UpstreamId& upstream, TimePoint now);
  ExchangeActions OnNoUpstream(std::uint32_t attempt, const RequestError& error, TimePoint now);

  // Lines of a link, in order of arrival.
  ExchangeActions OnHead(std::uint32_t link,
                         const RequestId& request,
                         std::uint32_t attempt,
                         TimePoint now);
  ExchangeActions OnText(std::uint32_t link,
                         std::uint64_t offset,
                         std::string_view text,
                         TimePoint now);
  ExchangeActions OnEnd(std::uint32_t link, const EndMark& end, TimePoint now);

  // The engine answered with an error. `retryable` is set if another engine may succeed.
  ExchangeActions OnRefused(std::uint32_t link,
                            const RequestError& error,
                            bool retryable,
                            TimePoint now);

  // The connection was closed by CloseLink, by the engine or by a failure. `bytes_written` is set
  // if any byte of the request may have been written to it.
  ExchangeActions OnLinkClosed(std::uint32_t link, bool bytes_written, TimePoint now);

  // The caller disconnected. The stream is read to its end and discarded, so that the slot stays
  // held while the engine generates and another instance can resume the stream.
  ExchangeActions OnCallerDisconnected(TimePoint now);

  // The caller cancelled the request.
  ExchangeActions OnCallerCancelled(TimePoint now);

  ExchangeActions Tick(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;

  bool finished() const { return phase_ == Phase::kFinished; }
  std::uint64_t delivered() const { return delivered_; }
  // Lines dropped because they belonged to another request or to an abandoned link or attempt.
  std::uint64_t dropped() const { return dropped_; }

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    kSelecting,             // waiting for the answer to SelectUpstream
    kStreaming,             // a link is open
    kBackingOff,            // waiting to resume
    kAwaitingCloseReports,  // the error is set; waiting for OnLinkClosed
    kFinished,
  };

  bool AcceptLine(std::uint32_t link);
  ExchangeActions Open(bool resume, TimePoint now);
  ExchangeActions AppendText(std::string_view text, TimePoint now);
  ExchangeActions HandleLinkFailure(const std::string& reason, bool resumable, TimePoint now);
  ExchangeActions AbandonAttempt(const std::string& reason, TimePoint now);
  ExchangeActions EndAttempt(bool cancel);
  ExchangeActions Fail(const RequestError& error, TimePoint now);
  ExchangeActions FinishWithError();
  bool MayStartNewAttempt() const;
  Ran RanStatus() const;

  ExchangeRequest request_;
  ExchangeLimits limits_;
  Phase phase_ = Phase::kIdle;
  bool detached_ = false;  // the caller disconnected or cancelled
  std::uint64_t dropped_ = 0;

  // The current attempt.
  std::uint32_t attempt_ = 1;
  std::uint32_t attempt_count_ = 0;  // attempts started by this exchange, resumes not counted
  UpstreamId upstream_;
  bool attempt_active_ = false;
  bool attempt_head_received_ = false;   // by any link of the attempt
  bool attempt_text_received_ = false;   // by any link of the attempt
  std::uint32_t announced_attempt_ = 0;  // attempt of the last SendStart
  std::uint32_t stalled_resumes_ = 0;
  std::vector<UpstreamId> failed_upstreams_;
  TimePoint opened_at_{};
  Duration first_text_{0};

  // The current link.
  std::uint32_t link_ = 0;
  bool link_open_ = false;
  bool link_head_received_ = false;
  TimePoint progress_deadline_{};
  TimePoint resume_time_{};

  // Length and hash of the text sent to the caller, and of the text received in this attempt.
  std::uint64_t delivered_ = 0;
  std::uint64_t position_ = 0;
  std::uint64_t delivered_hash_;
  std::uint64_t position_hash_;

  // State from which a refusal derives "not run", "unknown" or "run".
  std::vector<std::uint32_t> unreported_links_;
  bool bytes_written_ = false;
  bool ran_ = false;
  RequestError error_;
  TimePoint close_report_deadline_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_EXCHANGE_H_
