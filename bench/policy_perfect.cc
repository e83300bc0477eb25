#include "policies.h"

#include <algorithm>
#include <cmath>

namespace chiverail::bench {

PerfectPolicy::PerfectPolicy(World& world, std::uint64_t) : world_(world) {}

void PerfectPolicy::OnArrival(std::uint32_t turn) {
  if (!queue_.empty() || !TryPlace(turn)) {
    queue_.push_back(turn);
  }
}

// The bound is rounded down, so that no placement raises an engine's load above the multiple of the
// mean. It is never below the mean rounded up, so that at least one engine is always below it.
bool PerfectPolicy::TryPlace(std::uint32_t turn) {
  std::uint64_t total = 0;
  std::size_t accepting = 0;
  for (std::size_t i = 0; i < world_.engine_count(); ++i) {
    if (world_.Accepting(i)) {
      total += world_.engine(i).running();
      ++accepting;
    }
  }
  const Manifest& manifest = *world_.plan().initial.manifest;
  const double mean = static_cast<double>(total + 1) / static_cast<double>(accepting);
  const auto bound = static_cast<std::uint32_t>(
      std::max(std::floor(manifest.load_multiple * mean), std::ceil(mean)));
  const Upstream& settings = manifest.upstreams.front();
  const std::uint64_t chat = world_.turn(turn).chat_hash;
  int best = -1;
  for (std::size_t i = 0; i < world_.engine_count(); ++i) {
    const SimEngine& engine = world_.engine(i);
    const std::uint32_t max_running =
        static_cast<std::uint32_t>(engine.cold() ? settings.cold_limit : settings.max_concurrency);
    if (!world_.Accepting(i) || engine.running() >= std::min(bound, max_running)) {
      continue;
    }
    if (best < 0) {
      best = static_cast<int>(i);
      continue;
    }
    const SimEngine& best_engine = world_.engine(static_cast<std::size_t>(best));
    const std::uint32_t cached = engine.CachedTokens(chat);
    const std::uint32_t best_cached = best_engine.CachedTokens(chat);
    if (cached > best_cached ||
        (cached == best_cached && engine.running() < best_engine.running())) {
      best = static_cast<int>(i);
    }
  }
  return best >= 0 && world_.Start(turn, static_cast<std::size_t>(best),
                                   [this](const ServiceEnd&) { ServeQueue(); });
}

void PerfectPolicy::ServeQueue() {
  while (!queue_.empty()) {
    const std::uint32_t turn = queue_.front();
    if (world_.loop().now() - world_.turn(turn).time > kRequestDeadline) {
      world_.Refuse(turn);
    } else if (!TryPlace(turn)) {
      return;
    }
    queue_.pop_front();
  }
}

}  // namespace chiverail::bench
