#include "digest_hub.h"

#include <algorithm>

#include "hash.h"

namespace chiverail {
namespace {

// A hub receives and answers one report from each instance of its group per period, about 240 bytes
// in all; 60 ms per instance keeps its traffic below 4 KB/s.
constexpr Duration kPeriodPerMember = milliseconds(60);
constexpr Duration kMinPeriod = milliseconds(500);

// A report or answer is valid for this many periods: long enough to cover the change to another
// hub, which takes up to two periods to be detected and two more until the new hub has received the
// report of every instance.
constexpr int kLifetimePeriods = 5;

// A new hub starts to answer this many periods after the first report to it, when all instances
// have reported: an answer that lacks most of the fleet would lower the load bound everywhere.
constexpr int kGatherPeriods = 2;

// A hub that has not answered the last report is excluded for this long.
constexpr Duration kSilentHubExclusion = seconds(20);

// Prefix of the instance name in a hub's answer, which distinguishes it from a report.
constexpr const char* kAnswerPrefix = "sum/";

bool IsAnswer(const LoadDigest& digest) {
  return digest.instance.rfind(kAnswerPrefix, 0) == 0;
}

std::size_t GroupIndex(const Member& member, std::size_t groups) {
  return HashText(member.id) % groups;
}

}  // namespace

std::size_t DigestHub::GroupCount(const FleetView& view) const {
  const std::size_t members = view.members().size();
  return members <= 2 * kHubGroupMembers ? 1 : (members + kHubGroupMembers - 1) / kHubGroupMembers;
}

Duration DigestHub::Period(const FleetView& view) const {
  const std::size_t group = view.members().size() / GroupCount(view);
  return std::max<Duration>(kMinPeriod, kPeriodPerMember * group);
}

bool DigestHub::IsSilent(const InstanceId& hub, TimePoint now) const {
  const auto found = silent_.find(hub);
  return found != silent_.end() && now < found->second;
}

// The hub of a group is its live member with the highest hash, and the top hub is the hub of the
// first group that has one. Returns nullopt for the top hub itself.
std::optional<InstanceId> DigestHub::ChooseHub(const FleetView& view, TimePoint now) {
  const Member* self = view.FindMember(self_);
  if (self == nullptr) {
    return std::nullopt;
  }
  const std::size_t groups = GroupCount(view);
  std::vector<const Member*> hubs(groups);
  for (const Member& member : view.members()) {
    const bool usable = member.state == MemberState::kLive && !IsSilent(member.id, now);
    const Member*& hub = hubs[GroupIndex(member, groups)];
    if (usable && (hub == nullptr || HashText(member.id) > HashText(hub->id))) {
      hub = &member;
    }
  }
  const Member* group_hub = hubs[GroupIndex(*self, groups)];
  if (group_hub != nullptr && group_hub != self) {
    return group_hub->id;
  }
  const auto top =
      std::find_if(hubs.begin(), hubs.end(), [](const Member* hub) { return hub != nullptr; });
  return top == hubs.end() || *top == self ? std::nullopt : std::make_optional((*top)->id);
}

void DigestHub::AddUnexpired(const Received& received, TimePoint now, PoolSums& sums) const {
  if (now - received.at > lifetime_) {
    return;
  }
  for (const PoolLoad& load : received.digest.pools) {
    sums[load.pool] += load.outstanding;
  }
}

// Sums all reports and the last answer except those that came from `excluded`, whose own load must
// not be sent back to it. Nothing is left out when `excluded` is empty.
DigestHub::PoolSums DigestHub::SumExcept(const InstanceId& excluded, TimePoint now) const {
  PoolSums sums;
  for (const auto& [id, report] : reports_) {
    if (id != excluded) {
      AddUnexpired(report, now, sums);
    }
  }
  if (answer_ && (excluded.empty() || excluded != hub_)) {
    AddUnexpired(*answer_, now, sums);
  }
  return sums;
}

LoadDigest DigestHub::BuildDigest(const InstanceId& name, const PoolSums& sums) {
  LoadDigest digest{name, generation_, ++sequence_, revision_, epoch_, {}};
  for (const auto& [pool, outstanding] : sums) {
    digest.pools.push_back({pool, outstanding});
  }
  return digest;
}

std::vector<OutgoingDigest> DigestHub::Tick(const FleetView& view,
                                            std::vector<PoolLoad> own,
                                            TimePoint now) {
  own_ = std::move(own);
  revision_ = view.revision();
  const Member* self = view.FindMember(self_);
  epoch_ = self == nullptr ? 0 : view.Epoch(self->data_centre);
  lifetime_ = Period(view) * kLifetimePeriods;
  gather_time_ = Period(view) * kGatherPeriods;
  for (auto report = reports_.begin(); report != reports_.end();) {
    report = now - report->second.at > lifetime_ ? reports_.erase(report) : std::next(report);
  }
  changed_ = true;
  if (awaiting_answer_ && now >= answer_due_) {
    silent_[hub_] = now + kSilentHubExclusion;
  }
  const std::optional<InstanceId> hub = ChooseHub(view, now);
  if (!hub || *hub != hub_) {
    awaiting_answer_ = false;
    hub_ = hub.value_or("");
  }
  if (!hub) {
    answer_.reset();  // as the top hub, this instance sums the reports itself
  }
  if (!hub) {
    return {};
  }
  PoolSums sums = SumExcept(hub_, now);
  for (const PoolLoad& load : own_) {
    sums[load.pool] += load.outstanding;
  }
  if (!awaiting_answer_) {
    awaiting_answer_ = true;
    answer_due_ = now + (kGatherPeriods + 1) * Period(view);
  }
  return {{hub_, {{BuildDigest(self_, sums)}}}};
}

std::vector<OutgoingDigest> DigestHub::OnBatch(const DigestBatch& batch, TimePoint now) {
  std::vector<OutgoingDigest> sends;
  for (const LoadDigest& digest : batch.digests) {
    if (IsAnswer(digest)) {
      if (digest.instance == kAnswerPrefix + hub_) {
        answer_ = {digest, now};
        awaiting_answer_ = false;
        changed_ = true;
      }
      continue;
    }
    // A report from this instance's own hub includes this instance's load, which would be counted
    // twice.
    if (digest.instance == self_ || digest.instance == hub_) {
      continue;
    }
    if (reports_.empty()) {
      first_report_at_ = now;
    }
    reports_[digest.instance] = {digest, now};
    changed_ = true;
    if (now - first_report_at_ < gather_time_) {
      continue;
    }
    PoolSums sums = SumExcept(digest.instance, now);
    for (const PoolLoad& load : own_) {
      sums[load.pool] += load.outstanding;
    }
    sends.push_back({digest.instance, {{BuildDigest(kAnswerPrefix + self_, sums)}}});
  }
  return sends;
}

std::optional<LoadDigest> DigestHub::TakeOthersLoad(TimePoint now) {
  if (!std::exchange(changed_, false)) {
    return std::nullopt;
  }
  return BuildDigest("others", SumExcept("", now));
}

}  // namespace chiverail
