#include "rollout/rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chiverail {
namespace {

// Share of the allowed exposure that is used: requests that are counted late may exceed it else.
constexpr double kUsedShare = 0.8;

// Part of that which the new version gets before it has given this many answers.
constexpr double kFirstPart = 0.5;
constexpr std::uint32_t kFirstAnswers = 30;

// Parts of the order's duration: the verdict comes after the first if there are enough answers, and
// at the second in any case. The rest is for the requests at the old version to end.
constexpr double kTrialPart = 0.45;
constexpr double kLongTrialPart = 0.7;
constexpr std::uint32_t kEnoughAnswers = 30;
constexpr std::uint32_t kFewAnswers = 10;

// The old version is no longer needed once no request has been seen there for this long, which is
// longer than the counts of the other instances are on their way.
constexpr Duration kOldIdleTime = milliseconds(1200);

Duration PartOf(Duration duration, double part) {
  return std::chrono::duration_cast<Duration>(duration * part);
}

}  // namespace

Rollout::Rollout(RolloutOrder order, double max_share, bool known, TimePoint now)
    : order_(std::move(order)),
      max_share_(max_share),
      phase_(known ? RolloutPhase::kTrial : RolloutPhase::kUnknown),
      started_at_(now) {}

void Rollout::Enter(RolloutPhase phase, const char* reason, TimePoint now) {
  phase_ = phase;
  reason_ = reason;
  if (phase == RolloutPhase::kPromoting) {
    promoted_at_ = now;
    old_idle_since_ = {};
  }
}

void Rollout::OnRecord(const RolloutRecord& record, Duration age, TimePoint now) {
  const bool decided = phase_ == RolloutPhase::kCompleted || phase_ == RolloutPhase::kRolledBack;
  if (decided) {
    return;
  }
  switch (record.state) {
    case RolloutState::kRunning:
      started_at_ = std::min(started_at_, now - age);
      if (phase_ == RolloutPhase::kUnknown) {
        Enter(RolloutPhase::kTrial, "recorded as running", now);
      }
      return;
    case RolloutState::kCompleted:
      Enter(RolloutPhase::kCompleted, "recorded as completed", now);
      return;
    case RolloutState::kRolledBack:
      Enter(RolloutPhase::kRolledBack, "recorded as rolled back", now);
      return;
  }
}

void Rollout::Withdraw() {
  if (phase_ != RolloutPhase::kCompleted) {
    Enter(RolloutPhase::kRolledBack, "withdrawn", started_at_);
  }
}

RolloutState Rollout::state() const {
  switch (phase_) {
    case RolloutPhase::kCompleted:
      return RolloutState::kCompleted;
    case RolloutPhase::kRolledBack:
      return RolloutState::kRolledBack;
    default:
      return RolloutState::kRunning;
  }
}

bool Rollout::Excludes(const std::string& version) const {
  switch (phase_) {
    case RolloutPhase::kCompleted:
      return old_versions_.count(version) > 0;
    case RolloutPhase::kRolledBack:
      return version == order_.version;
    default:
      return false;
  }
}

bool Rollout::Update(const RolloutView& view, TimePoint now) {
  const auto before = std::make_pair(phase_, share_);
  const bool decided = phase_ == RolloutPhase::kCompleted || phase_ == RolloutPhase::kRolledBack;
  if (!decided) {
    old_versions_.insert(view.old_versions.begin(), view.old_versions.end());
    fault_ = FindFault(view.counts);
    if (fault_ != VersionFault::kNone) {
      Enter(RolloutPhase::kRolledBack, "faulty version", now);
    } else if (view.others_rolled_back) {
      Enter(RolloutPhase::kRolledBack, "told by another instance", now);
    } else if (view.others_promote && phase_ != RolloutPhase::kPromoting) {
      Enter(RolloutPhase::kPromoting, "told by another instance", now);
    }
  }
  if (phase_ == RolloutPhase::kTrial) {
    UpdateTrial(view, now);
  }
  if (phase_ == RolloutPhase::kPromoting) {
    UpdatePromotion(view, now);
  }
  SetShare(view);
  return before != std::make_pair(phase_, share_);
}

void Rollout::UpdateTrial(const RolloutView& view, TimePoint now) {
  if (view.new_upstreams > 0 && view.old_upstreams == 0 && old_versions_.empty()) {
    Enter(RolloutPhase::kCompleted, "no other version", now);
    return;
  }
  const Duration passed = now - started_at_;
  const std::uint32_t answers = TotalOf(view.counts, RolloutSide::kNew).answers;
  if (passed < PartOf(order_.duration, kTrialPart) || !view.in_contact) {
    return;
  }
  if (answers >= kEnoughAnswers && view.new_upstreams > 0) {
    Enter(RolloutPhase::kPromoting, "sound version", now);
  } else if (passed >= PartOf(order_.duration, kLongTrialPart)) {
    const bool enough = answers >= kFewAnswers && view.new_upstreams > 0;
    Enter(enough ? RolloutPhase::kPromoting : RolloutPhase::kRolledBack,
          enough ? "sound version, few answers" : "no evidence", now);
  }
}

// Requests that run at the old version end there, however long the order's duration is: its
// upstreams stop at once when the roll-out is completed.
void Rollout::UpdatePromotion(const RolloutView& view, TimePoint now) {
  if (view.requests_at_old > 0 || !view.in_contact) {
    old_idle_since_ = {};
  } else if (old_idle_since_ == TimePoint{}) {
    old_idle_since_ = now;
  }
  const bool idle = old_idle_since_ != TimePoint{} && old_idle_since_ + kOldIdleTime <= now;
  const bool all_over = promoted_at_ + view.longest_timeout + kOldIdleTime <= now;
  if (view.new_upstreams > 0 && (idle || (all_over && view.in_contact))) {
    Enter(RolloutPhase::kCompleted, idle ? "old version idle" : "longest request over", now);
  }
}

void Rollout::SetShare(const RolloutView& view) {
  upstreams_in_trial_ = view.new_upstreams;
  switch (phase_) {
    case RolloutPhase::kUnknown:
    case RolloutPhase::kRolledBack:
      share_ = 0;
      return;
    case RolloutPhase::kPromoting:
    case RolloutPhase::kCompleted:
      share_ = 1;
      return;
    case RolloutPhase::kTrial:
      break;
  }
  const std::uint32_t answers = TotalOf(view.counts, RolloutSide::kNew).answers;
  const double part = answers < kFirstAnswers ? kFirstPart : 1.0;
  share_ = view.in_contact && view.new_upstreams > 0 ? max_share_ * kUsedShare * part : 0;
  upstreams_in_trial_ = std::min<std::size_t>(
      view.new_upstreams,
      static_cast<std::size_t>(std::ceil(share_ * static_cast<double>(view.old_upstreams))));
}

}  // namespace chiverail
