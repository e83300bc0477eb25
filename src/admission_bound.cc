#include <algorithm>
#include <cmath>

#include "admission.h"

namespace chiverail {
namespace {

// Fraction of the load multiple's excess over 1 that admission uses. The rest is the margin for a
// decrease of the mean while an admitted request runs. In the bench (steady, 4 seeds, mean 20), the
// worst ratio of load to mean was 1.29 with 0.6 and 1.26 with this value, which caused 2% more late
// first tokens.
constexpr double kBoundShare = 0.45;

// The same for last-resort requests. In the bench (steady), engines exceeded the bound for 0.6% of
// the time with 0.6 and for 0.1% with this value, which caused 0.5% more late first tokens.
constexpr double kLastResortShare = 0.5;

// Slots below the bound that are reserved for requests with a cached prefix, as a multiple of the
// square root of the bound, which is about how much the load varies.
constexpr double kCachedReserveFactor = 0.35;

// With a load bound below this, no slots are reserved.
constexpr std::uint32_t kMinReservingBound = 8;

}  // namespace

// The bound uses only a fraction of the multiple's excess over 1. Last-resort requests get a higher
// bound: a larger fraction, applied to the recent total, at least one slot above the mean, and one
// more slot for each kLastResortStep that they have waited, up to the full multiple. Otherwise the
// margin would permanently keep a pool that is small, unevenly loaded or partly blocked below its
// demand.
std::uint32_t AdmissionController::LoadBound(const Pool& pool,
                                             SlotClaim claim,
                                             Duration waited) const {
  if (pool.engines == 0 || !view_) {
    return 0;
  }
  const double above = view_->manifest().load_multiple - 1.0;
  const double present = std::max(pool.held_mean, Mean(pool, pool.others.present));
  const auto bound = static_cast<std::uint32_t>(std::ceil((1.0 + above * kBoundShare) * present));
  if (claim == SlotClaim::kLastResort) {
    const double recent = std::max(pool.held_mean, Mean(pool, pool.others.recent));
    const double steps_waited = std::floor(std::chrono::duration<double>(waited) / kLastResortStep);
    const double raised_bound = std::max(std::ceil(recent) + 1.0 + steps_waited,
                                         std::ceil((1.0 + above * kLastResortShare) * recent));
    const double full_bound = std::ceil((1.0 + above) * recent);
    return std::max(bound, static_cast<std::uint32_t>(std::min(raised_bound, full_bound)));
  }
  if (claim == SlotClaim::kUncached && bound >= kMinReservingBound) {
    return bound - static_cast<std::uint32_t>(std::ceil(kCachedReserveFactor * std::sqrt(bound)));
  }
  return bound;
}

double AdmissionController::Mean(const Pool& pool, std::uint32_t others) {
  return static_cast<double>(others + pool.own + 1) / pool.engines;
}

// The load bound applies only above the manifest's load floor. Below the floor the mean is too
// small for a ratio to be meaningful, and a total that is too low would limit idle engines to one
// request each: at a mean of 2 on 12 engines, the median time to first token was 206 ms with a
// floor of 1 and 26 ms with a floor of 4.
std::uint32_t AdmissionController::Limit(const Engine& engine,
                                         SlotClaim claim,
                                         TimePoint now) const {
  const auto pool = pools_.find(engine.pool);
  const auto oldest = engine.queue.OldestLastResort();
  const Duration waited = oldest ? now - *oldest : Duration::zero();
  const std::uint32_t bound = pool == pools_.end() ? 0 : LoadBound(pool->second, claim, waited);
  const auto floor = static_cast<std::uint32_t>(view_ ? view_->manifest().load_floor : 1);
  return std::min({std::max(bound, floor), engine.cold.Limit(), engine.max_concurrency});
}

}  // namespace chiverail
