#ifndef CHIVERAIL_COLD_START_H_
#define CHIVERAIL_COLD_START_H_

#include <cstdint>
#include <string>

#include "types.h"

namespace chiverail {

// Cold-start concurrency limit of one engine. The limit starts at the engine's cold limit and rises
// by one with each request that was both admitted and completed since the last sign of a cold
// engine, provided that the last load report does not declare the engine cold. Each sign of a cold
// engine resets it to the cold limit.
class ColdStart {
 public:
  ColdStart(std::uint32_t cold_limit, std::uint32_t max_concurrency);

  // Requests that the engine may run at once.
  std::uint32_t Limit() const { return limit_; }

  // Whether the limit is still below the engine's full concurrency.
  bool IsLimited() const { return limit_ < max_concurrency_; }

  // Handles a load report: the engine's start id and whether the engine declares itself cold. A
  // report of a warm engine never raises the limit.
  void OnReport(const std::string& start_id, bool cold, TimePoint now);

  // Handles a completed request: the time at which its slot was granted and its time to first token
  // (0 when no token arrived).
  void OnCompleted(TimePoint granted, std::uint32_t first_token_ms, TimePoint now);

  // Handles a request that ended before its completion; `slots_in_use` includes its own slot. A
  // restart aborts most requests of an engine at once and is detected here before the next report.
  void OnAborted(std::uint32_t slots_in_use, TimePoint now);

  // Adopts the limit of the engine's previous owner. Zero is ignored.
  void OnHandover(std::uint32_t limit, TimePoint now);

  // Applies new limits of the manifest.
  void SetLimits(std::uint32_t cold_limit, std::uint32_t max_concurrency);

 private:
  void ResetToColdLimit(TimePoint now);

  std::uint32_t cold_limit_;
  std::uint32_t max_concurrency_;
  std::uint32_t limit_;
  TimePoint cold_since_ = TimePoint::min();
  std::string start_id_;
  bool reported_cold_ = true;       // by the last report; true before the first one
  double mean_first_token_ms_ = 0;  // moving average of warm requests; 0 when unknown
  TimePoint abort_window_start_{};
  std::uint32_t aborted_ = 0;                // requests aborted within the window
  std::uint32_t slots_at_window_start_ = 0;  // slots in use before the first of them
};

}  // namespace chiverail

#endif  // CHIVERAIL_COLD_START_H_
