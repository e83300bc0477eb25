#ifndef CHIVERAIL_ROLLOUT_VERSION_EVIDENCE_H_
#define CHIVERAIL_ROLLOUT_VERSION_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/rollout_order.h"
#include "types.h"

namespace chiverail {

// One answer of an upstream, as far as it tells about the version of the upstream.
struct AnswerSample {
  bool failed = false;  // it reports a failure, or did not come within the time limit
  bool broken = false;  // the connection was lost within it
  // Time that grows with the work alone: of a plain answer the whole time, of a stream the mean
  // time between two events. Absent if it can't be told, or if the upstream is cold.
  std::optional<Duration> time;
  bool late = false;  // it began after the objective of its route
};

// Answers of one version.
struct VersionCounts {
  std::uint32_t answers = 0;
  std::uint32_t failed = 0;
  std::uint32_t broken = 0;
  std::uint32_t timed = 0;  // answers whose time could be judged
  std::uint32_t slow = 0;   // of these, slower than nine in ten answers of the old version

  void Add(const VersionCounts& other);
};

// Routes are counted in groups, so that the size of the counts does not depend on the number of
// routes, and a fault of a single route still shows.
inline constexpr std::size_t kRouteGroups = 16;

// Answers of both versions by group of routes; the sides are indexed by RolloutSide.
using RolloutCounts = std::array<std::array<VersionCounts, kRouteGroups>, 2>;

// Sum of all groups of one side.
VersionCounts TotalOf(const RolloutCounts& counts, RolloutSide side);

// Two counters in the messages between instances. The receivers add up the counters with the same
// tag of all instances.
struct Tally {
  std::uint32_t tag = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

// Returns the sum of the other instances' counters with a tag.
using TallyLookup = std::function<Tally(std::uint32_t tag)>;

// Returns the tag of a counter of an order.
std::uint32_t TallyTag(const RolloutOrder& order, const std::string& counter);

// Collects this instance's evidence on one roll-out. Handles a load in which failures are frequent,
// upstreams are slow and routes differ: the new version is only compared with the old one on the
// same routes in the same time.
class VersionEvidence {
 public:
  void Record(RolloutSide side, const std::string& route, const AnswerSample& sample);

  // Counters that are not zero, for the messages to the other instances.
  std::vector<Tally> Tallies(const RolloutOrder& order) const;

  // Own counts together with those of the other instances.
  RolloutCounts Sum(const RolloutOrder& order, const TallyLookup& others) const;

 private:
  // Recent times of the old version on one route, in the order of their arrival.
  struct Baseline {
    std::vector<Duration> times;
    std::size_t next = 0;

    void Add(Duration time);
    // Time that nine in ten answers do not exceed; absent without enough answers.
    std::optional<Duration> Ninth() const;
  };

  static constexpr std::size_t kMaxBaselines = 256;

  RolloutCounts counts_{};
  std::map<std::string, Baseline> baselines_;  // by route
};

// What is wrong with the new version.
enum class VersionFault : std::uint8_t { kNone, kFailures, kBroken, kSlow };
inline constexpr std::array<EnumName<VersionFault>, 4> kVersionFaultNames{{
    {VersionFault::kNone, "none"},
    {VersionFault::kFailures, "failures"},
    {VersionFault::kBroken, "broken_answers"},
    {VersionFault::kSlow, "slow_answers"},
}};

// Returns a fault of the new version that the counts show over all routes or in one group of them;
// kNone if the difference to the old version may be chance.
VersionFault FindFault(const RolloutCounts& counts);

}  // namespace chiverail

#endif  // CHIVERAIL_ROLLOUT_VERSION_EVIDENCE_H_
