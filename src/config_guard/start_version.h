#ifndef CHIVERAIL_CONFIG_GUARD_START_VERSION_H_
#define CHIVERAIL_CONFIG_GUARD_START_VERSION_H_

#include <algorithm>
#include <cstdint>

#include "types.h"

namespace chiverail {

// What an instance that starts learns of the configuration that others have in force. A running
// instance never goes back to an older configuration, but one that starts takes what the platform's
// store has, and that may have come back from an older copy: until its own configuration is as new
// as the others', it must not serve by it.
class StartVersion {
 public:
  explicit StartVersion(TimePoint started_at) : started_at_(started_at) {}

  // Another instance tells the version that it has in force.
  void OnTold(std::uint64_t version, TimePoint now) {
    if (now < started_at_ + kStartTime) {
      newest_ = std::max(newest_, version);
    }
    if (version >= newest_) {
      told_at_ = now;
    }
  }

  // Returns whether a version is older than what others have in force. Those that run on know of a
  // new version at different times, so only what was told at the start of this instance counts.
  bool IsBehind(std::uint64_t version, TimePoint now) const {
    return version < newest_ && now < told_at_ + kToldLifetime;
  }

  // Time after the start of an instance in which all others that it can reach have told it.
  static constexpr Duration kStartTime = seconds(5);

  // Instances tell their version several times a second. Once nobody does any more, it counts as
  // lost with them.
  static constexpr Duration kToldLifetime = seconds(5);

 private:
  TimePoint started_at_;
  std::uint64_t newest_ = 0;
  TimePoint told_at_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_CONFIG_GUARD_START_VERSION_H_
