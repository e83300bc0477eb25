#include "meter.h"

#include <algorithm>

#include "scenario.h"

namespace chiverail::bench {
namespace {

constexpr double kLoadMultiple = 1.25;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Meter::AddArrival(bool surging_workspace) {
  ++result_.requests;
  result_.others_requests += surging_workspace ? 0 : 1;
}

void Meter::AddRefused(bool surging_workspace) {
  ++result_.refused;
  result_.others_refused += surging_workspace ? 0 : 1;
}

void Meter::AddPrompt(std::uint32_t prompt_tokens, std::uint32_t cached_tokens) {
  prompt_tokens_ += prompt_tokens;
  cached_tokens_ += cached_tokens;
}

void Meter::AddFirstToken(Duration since_arrival, bool surging_workspace) {
  first_token_ms_.push_back(static_cast<std::uint32_t>(since_arrival / milliseconds(1)));
  if (since_arrival > kFirstTokenGoal) {
    ++result_.late;
    result_.others_late += surging_workspace ? 0 : 1;
  }
}

void Meter::AddLoads(std::uint32_t highest,
                     std::uint64_t total,
                     std::size_t engines,
                     TimePoint now) {
  if (over_bound_ && now >= kMeasureFrom) {
    time_over_bound_ += now - std::max(last_load_change_, kMeasureFrom);
  }
  last_load_change_ = now;
  over_bound_ = false;
  const double mean = engines == 0 ? 0 : static_cast<double>(total) / static_cast<double>(engines);
  if (mean < kMinMeanLoad || now < kMeasureFrom || now > kMeasureTo) {
    return;
  }
  const double ratio = highest / mean;
  over_bound_ = ratio > kLoadMultiple;
  result_.max_over_mean = std::max(result_.max_over_mean, ratio);
  if (now - last_fleet_change_ >= kSettleTime) {
    result_.max_over_mean_settled = std::max(result_.max_over_mean_settled, ratio);
  }
}

RunResult Meter::Finish(std::uint64_t control_bytes, std::size_t instances) {
  const double span = Seconds(kMeasureTo - kMeasureFrom);
  result_.cache_reuse = prompt_tokens_ == 0 ? 0
                                            : static_cast<double>(cached_tokens_) /
                                                  static_cast<double>(prompt_tokens_);
  result_.over_bound_share = Seconds(time_over_bound_) / span;
  result_.control_bytes_per_node_second =
      static_cast<double>(control_bytes) / span / static_cast<double>(instances);
  if (!first_token_ms_.empty()) {
    const auto p95 =
        first_token_ms_.begin() + static_cast<std::ptrdiff_t>(first_token_ms_.size() * 95 / 100);
    std::nth_element(first_token_ms_.begin(), p95, first_token_ms_.end());
    result_.p95_first_token_ms = *p95;
  }
  return result_;
}

}  // namespace chiverail::bench
