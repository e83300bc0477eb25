#ifndef CHIVERAIL_ROLLOUT_ROLLOUT_ORDER_H_
#define CHIVERAIL_ROLLOUT_ROLLOUT_ORDER_H_

#include <array>
#include <cstdint>
#include <string>

#include "types.h"

namespace chiverail {

// An operator's order to move the requests of a service to another version of its software.
struct RolloutOrder {
  std::string service;
  std::string version;         // to which the requests are to move
  Duration duration{};         // time within which the roll-out is to end
  std::uint64_t revision = 0;  // of the order's row; identifies the order
};

// State of a roll-out as operators see it.
enum class RolloutState : std::uint8_t { kRunning, kCompleted, kRolledBack };
inline constexpr std::array<EnumName<RolloutState>, 3> kRolloutStateNames{{
    {RolloutState::kRunning, "running"},
    {RolloutState::kCompleted, "completed"},
    {RolloutState::kRolledBack, "rolled_back"},
}};

// The recorded state of the roll-out of a service, which outlives all instances.
struct RolloutRecord {
  RolloutState state = RolloutState::kRunning;
  std::string version;
  std::uint64_t revision = 0;   // of the record's row
  std::int64_t started_ms = 0;  // on the store's clock
};

// Versions of a service, seen from its roll-out.
enum class RolloutSide : std::uint8_t { kOld, kNew };
inline constexpr std::array<EnumName<RolloutSide>, 2> kRolloutSideNames{{
    {RolloutSide::kOld, "old"},
    {RolloutSide::kNew, "new"},
}};

}  // namespace chiverail

#endif  // CHIVERAIL_ROLLOUT_ROLLOUT_ORDER_H_
