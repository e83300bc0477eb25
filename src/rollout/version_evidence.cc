#include "rollout/version_evidence.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace chiverail {
namespace {

// Times of the old version on a route that are kept, and needed before others are judged by them.
constexpr std::size_t kBaselineTimes = 40;
constexpr std::size_t kMinBaselineTimes = 8;

// The new version is worse if it has this many more bad answers than the old one would have had,
// this many standard deviations more, and this multiple of the old version's share. Faults of
// single upstreams of either version keep the share within that multiple.
constexpr double kMinExcess = 6;
constexpr double kMinDeviations = 4.5;
constexpr double kMinRatio = 1.8;

// An upstream that crashes breaks all answers that it is writing, which are not independent.
constexpr double kMinBrokenExcess = 30;

std::size_t GroupOf(const std::string& route) {
  return XXH32(route.data(), route.size(), 0) % kRouteGroups;
}

std::size_t IndexOf(RolloutSide side) {
  return static_cast<std::size_t>(side);
}

bool IsWorse(std::uint32_t new_bad,
             std::uint32_t new_all,
             std::uint32_t old_bad,
             std::uint32_t old_all,
             double min_excess) {
  // One bad answer in ten counts as known of the old version, so that few answers prove little.
  const double old_share = (old_bad + 1.0) / (old_all + 10.0);
  const double expected = old_share * new_all;
  const double spread = 1 + static_cast<double>(new_all) / std::max<double>(1, old_all);
  const double deviation = std::sqrt(expected * (1 - old_share) * spread + 1);
  const double excess = new_bad - expected;
  return excess >= min_excess && excess > kMinDeviations * deviation &&
         new_bad > kMinRatio * expected;
}

VersionFault FindFault(const VersionCounts& fresh, const VersionCounts& old) {
  if (IsWorse(fresh.failed, fresh.answers, old.failed, old.answers, kMinExcess)) {
    return VersionFault::kFailures;
  }
  if (IsWorse(fresh.broken, fresh.answers, old.broken, old.answers, kMinBrokenExcess)) {
    return VersionFault::kBroken;
  }
  return IsWorse(fresh.slow, fresh.timed, old.slow, old.timed, kMinExcess) ? VersionFault::kSlow
                                                                           : VersionFault::kNone;
}

// The counters of one side and group in a message.
std::string CounterName(const char* kind, std::size_t side, std::size_t group) {
  return std::string(kind) + ":" + std::to_string(side) + ":" + std::to_string(group);
}

}  // namespace

void VersionCounts::Add(const VersionCounts& other) {
  answers += other.answers;
  failed += other.failed;
  broken += other.broken;
  timed += other.timed;
  slow += other.slow;
}

VersionCounts TotalOf(const RolloutCounts& counts, RolloutSide side) {
  VersionCounts total;
  for (const VersionCounts& group : counts[IndexOf(side)]) {
    total.Add(group);
  }
  return total;
}

std::uint32_t TallyTag(const RolloutOrder& order, const std::string& counter) {
  const std::string name =
      order.service + "\n" + order.version + "\n" + std::to_string(order.revision) + "\n" + counter;
  return XXH32(name.data(), name.size(), 1);
}

void VersionEvidence::Baseline::Add(Duration time) {
  if (times.size() < kBaselineTimes) {
    times.push_back(time);
    return;
  }
  times[next] = time;
  next = (next + 1) % kBaselineTimes;
}

std::optional<Duration> VersionEvidence::Baseline::Ninth() const {
  if (times.size() < kMinBaselineTimes) {
    return std::nullopt;
  }
  std::vector<Duration> sorted = times;
  const auto place = static_cast<std::ptrdiff_t>(sorted.size() * 9 / 10);
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[static_cast<std::size_t>(place)];
}

void VersionEvidence::Record(RolloutSide side,
                             const std::string& route,
                             const AnswerSample& sample) {
  VersionCounts& counts = counts_[IndexOf(side)][GroupOf(route)];
  ++counts.answers;
  counts.failed += sample.failed ? 1 : 0;
  counts.broken += sample.broken ? 1 : 0;
  if (sample.failed || sample.broken) {
    return;
  }
  if (!sample.time) {
    ++counts.timed;
    counts.slow += sample.late ? 1 : 0;
    return;
  }
  if (baselines_.size() >= kMaxBaselines && baselines_.count(route) == 0) {
    return;
  }
  Baseline& baseline = baselines_[route];
  if (const auto limit = baseline.Ninth()) {
    ++counts.timed;
    counts.slow += *sample.time > *limit ? 1 : 0;
  }
  if (side == RolloutSide::kOld) {
    baseline.Add(*sample.time);
  }
}

std::vector<Tally> VersionEvidence::Tallies(const RolloutOrder& order) const {
  std::vector<Tally> tallies;
  const auto add = [&](const std::string& name, std::uint32_t first, std::uint32_t second) {
    if (first > 0 || second > 0) {
      tallies.push_back({TallyTag(order, name), first, second});
    }
  };
  for (std::size_t side = 0; side < counts_.size(); ++side) {
    for (std::size_t group = 0; group < kRouteGroups; ++group) {
      const VersionCounts& counts = counts_[side][group];
      add(CounterName("answers", side, group), counts.answers, counts.failed);
      add(CounterName("times", side, group), counts.timed, counts.slow);
      add(CounterName("broken", side, group), counts.broken, 0);
    }
  }
  return tallies;
}

RolloutCounts VersionEvidence::Sum(const RolloutOrder& order, const TallyLookup& others) const {
  RolloutCounts sum = counts_;
  for (std::size_t side = 0; side < sum.size(); ++side) {
    for (std::size_t group = 0; group < kRouteGroups; ++group) {
      const auto of = [&](const char* kind) {
        return others(TallyTag(order, CounterName(kind, side, group)));
      };
      const Tally answers = of("answers");
      const Tally times = of("times");
      sum[side][group].Add(
          {answers.first, answers.second, of("broken").first, times.first, times.second});
    }
  }
  return sum;
}

VersionFault FindFault(const RolloutCounts& counts) {
  const auto& fresh = counts[IndexOf(RolloutSide::kNew)];
  const auto& old = counts[IndexOf(RolloutSide::kOld)];
  for (std::size_t group = 0; group < kRouteGroups; ++group) {
    const VersionFault fault = FindFault(fresh[group], old[group]);
    if (fault != VersionFault::kNone) {
      return fault;
    }
  }
  return FindFault(TotalOf(counts, RolloutSide::kNew), TotalOf(counts, RolloutSide::kOld));
}

}  // namespace chiverail
