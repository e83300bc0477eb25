#ifndef CHIVERAIL_ROLLOUT_ROLLOUT_H_
#define CHIVERAIL_ROLLOUT_ROLLOUT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "rollout/rollout_order.h"
#include "rollout/version_evidence.h"
#include "types.h"

namespace chiverail {

// What an instance does for a roll-out.
enum class RolloutPhase : std::uint8_t {
  kUnknown,     // the order is older than this instance, which does not know its state
  kTrial,       // a small share of the requests goes to the new version
  kPromoting,   // all requests go to the new version, those at the old one end
  kCompleted,   // the old version is no longer needed
  kRolledBack,  // no request goes to the new version
};
inline constexpr std::array<EnumName<RolloutPhase>, 5> kRolloutPhaseNames{{
    {RolloutPhase::kUnknown, "unknown"},
    {RolloutPhase::kTrial, "trial"},
    {RolloutPhase::kPromoting, "promoting"},
    {RolloutPhase::kCompleted, "completed"},
    {RolloutPhase::kRolledBack, "rolled_back"},
}};

// What is known about a roll-out at one time.
struct RolloutView {
  RolloutCounts counts{};              // of all instances
  bool others_promote = false;         // another instance has found the new version to be sound
  bool others_rolled_back = false;     // another instance has found it to be faulty
  bool in_contact = true;              // the other instances' part is recent
  std::size_t new_upstreams = 0;       // usable ones of the new version
  std::size_t old_upstreams = 0;       // usable ones of other versions
  int requests_at_old = 0;             // in progress at those, of all instances
  std::set<std::string> old_versions;  // of those
  Duration longest_timeout{};          // of the service's routes
};

// One roll-out as decided by an instance. All instances decide by the same counts and adopt what
// another one has decided, so no instance is in charge: one that ends or is paused holds up
// nothing. A new version that is found to be faulty once is never promoted.
//
// The share of requests for the new version rises in steps as answers arrive. It stays below the
// allowed share until the verdict, which is due after a part of the time, since a version may turn
// bad late. An instance that can't hear the others sends the new version nothing.
class Rollout {
 public:
  // `max_share` is the share of the service's requests that a faulty version may get. `known` tells
  // whether the order was given just now; if not, the state is learned from a record or from the
  // other instances.
  Rollout(RolloutOrder order, double max_share, bool known, TimePoint now);

  // Takes up what was recorded; `age` is the time since the start.
  void OnRecord(const RolloutRecord& record, Duration age, TimePoint now);

  // Ends the roll-out because an operator has withdrawn the order.
  void Withdraw();

  // The same order has been written again.
  void Renumber(std::uint64_t revision) { order_.revision = revision; }

  // Decides anew. Returns true if the phase or the share has changed.
  bool Update(const RolloutView& view, TimePoint now);

  // Share of the requests that goes to the new version.
  double share() const { return share_; }

  // Number of the new version's upstreams among which that share is divided, so that these get as
  // many requests as under the load to come. All from the promotion on.
  std::size_t upstreams_in_trial() const { return upstreams_in_trial_; }

  // True if upstreams of this version must get no requests.
  bool Excludes(const std::string& version) const;

  // State to be recorded for operators.
  RolloutState state() const;

  RolloutPhase phase() const { return phase_; }
  VersionFault fault() const { return fault_; }
  const char* reason() const { return reason_; }
  const RolloutOrder& order() const { return order_; }
  TimePoint started_at() const { return started_at_; }

 private:
  void Enter(RolloutPhase phase, const char* reason, TimePoint now);
  void UpdateTrial(const RolloutView& view, TimePoint now);
  void UpdatePromotion(const RolloutView& view, TimePoint now);
  void SetShare(const RolloutView& view);

  RolloutOrder order_;
  double max_share_;
  RolloutPhase phase_;
  VersionFault fault_ = VersionFault::kNone;
  const char* reason_ = "ordered";
  double share_ = 0;
  std::size_t upstreams_in_trial_ = 0;
  TimePoint started_at_;
  TimePoint promoted_at_{};
  TimePoint old_idle_since_{};
  std::set<std::string> old_versions_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ROLLOUT_ROLLOUT_H_
