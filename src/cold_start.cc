#include "cold_start.h"

#include <algorithm>

namespace chiverail {
namespace {

// A first token that takes this many times the mean counts as a sign of a cold engine. Uncached
// long prompts stay below it: they take up to about 5 times as long as the average request.
constexpr double kColdFirstTokenFactor = 8.0;

// First tokens faster than this never count as a sign of a cold engine: the service level objective
// for warm engines is 1,600 ms.
constexpr std::uint32_t kColdFirstTokenMinMs = 2000;

// Weight of a new sample in the moving average of the time to first token.
constexpr double kFirstTokenWeight = 0.1;

// A restart aborts the engine's requests within this time.
constexpr Duration kAbortWindow = milliseconds(500);

}  // namespace

ColdStart::ColdStart(std::uint32_t cold_limit, std::uint32_t max_concurrency)
    : cold_limit_(cold_limit), max_concurrency_(max_concurrency), limit_(cold_limit) {
  SetLimits(cold_limit, max_concurrency);
}

void ColdStart::SetLimits(std::uint32_t cold_limit, std::uint32_t max_concurrency) {
  max_concurrency_ = max_concurrency;
  const bool at_cold_limit = limit_ == cold_limit_;
  cold_limit_ = std::min(cold_limit, max_concurrency);
  limit_ = at_cold_limit ? cold_limit_ : std::min(limit_, max_concurrency_);
}

void ColdStart::ResetToColdLimit(TimePoint now) {
  limit_ = cold_limit_;
  cold_since_ = now;
  aborted_ = 0;
}

// The first start id that a new owner receives is only recorded: the limit already reflects what
// was known about the engine.
void ColdStart::OnReport(const std::string& start_id, bool cold, TimePoint now) {
  const bool restarted = !start_id_.empty() && start_id != start_id_;
  start_id_ = start_id;
  reported_cold_ = cold;
  if (restarted) {
    mean_first_token_ms_ = 0;
  }
  if (cold || restarted) {
    ResetToColdLimit(now);
  }
}

// A request granted before the last sign of a cold engine does not show that the engine is warm
// now, and an engine that still declares itself cold may complete requests without being warm.
void ColdStart::OnCompleted(TimePoint granted, std::uint32_t first_token_ms, TimePoint now) {
  if (granted <= cold_since_ || reported_cold_) {
    return;
  }
  const bool slow = mean_first_token_ms_ > 0 && first_token_ms >= kColdFirstTokenMinMs &&
                    first_token_ms > kColdFirstTokenFactor * mean_first_token_ms_;
  if (slow) {
    ResetToColdLimit(now);
    return;
  }
  limit_ = std::min(limit_ + 1, max_concurrency_);
  if (first_token_ms > 0 && !IsLimited()) {
    mean_first_token_ms_ =
        mean_first_token_ms_ == 0
            ? first_token_ms
            : mean_first_token_ms_ + kFirstTokenWeight * (first_token_ms - mean_first_token_ms_);
  }
}

// Single cancelled requests are common on a busy engine, so the limit is reset only when at least
// half of the slots in use are aborted within the window.
void ColdStart::OnAborted(std::uint32_t slots_in_use, TimePoint now) {
  if (aborted_ == 0 || now - abort_window_start_ > kAbortWindow) {
    abort_window_start_ = now;
    aborted_ = 0;
    slots_at_window_start_ = slots_in_use;
  }
  ++aborted_;
  if (2 * aborted_ >= slots_at_window_start_ && slots_at_window_start_ > 1) {
    ResetToColdLimit(now);
  }
}

void ColdStart::OnHandover(std::uint32_t limit, TimePoint now) {
  if (limit > 0) {
    limit_ = std::min(limit, max_concurrency_);
    // The limit already includes the requests that the previous owner saw complete, so only
    // requests granted from now on may raise it.
    cold_since_ = now;
  }
}

}  // namespace chiverail
