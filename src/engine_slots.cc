#include "engine_slots.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

// Changes are kept this long, which exceeds the age of any load report that is still used.
constexpr Duration kChangeRetention = seconds(10);

}  // namespace

void EngineSlots::Record(TimePoint now) {
  while (changes_.size() > 1 && changes_[1].time <= now - kChangeRetention) {
    changes_.pop_front();
  }
  changes_.push_back({now, InUse(), granted_});
}

void EngineSlots::Add(HeldSlot held, bool inherited, TimePoint now) {
  const SlotKey key{held.request, held.attempt};
  slots_.push_back({std::move(held), now, inherited});
  index_[key] = std::prev(slots_.end());
  inherited_in_use_ += inherited ? 1 : 0;
  ++granted_;
  Record(now);
}

void EngineSlots::Erase(SlotIterator slot, TimePoint now) {
  inherited_in_use_ -= slot->inherited ? 1 : 0;
  index_.erase({slot->held.request, slot->held.attempt});
  slots_.erase(slot);
  Record(now);
}

std::optional<Slot> EngineSlots::Free(const SlotKey& key, TimePoint now) {
  const auto found = index_.find(key);
  if (found == index_.end()) {
    return std::nullopt;
  }
  Slot slot = *found->second;
  Erase(found->second, now);
  return slot;
}

// The engine may still run these requests, for example those of a paused holder whose connections
// are open, so they count as foreign load until a report that was sampled later.
void EngineSlots::Abandon(const std::function<bool(const Slot&)>& matches, TimePoint now) {
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    const auto next = std::next(slot);
    if (matches(*slot)) {
      Erase(slot, now);
      ++foreign_;
      ignore_reports_before_ = now;
    }
    slot = next;
  }
}

void EngineSlots::AbandonHolder(const InstanceId& holder, TimePoint now) {
  Abandon([&](const Slot& slot) { return slot.held.holder == holder; }, now);
}

void EngineSlots::AbandonGrantedBy(TimePoint granted, TimePoint now) {
  if (OldestGrant() <= granted) {
    Abandon([&](const Slot& slot) { return slot.granted <= granted; }, now);
  }
}

const Slot* EngineSlots::Find(const SlotKey& key) const {
  const auto found = index_.find(key);
  return found == index_.end() ? nullptr : &*found->second;
}

TimePoint EngineSlots::OldestGrant() const {
  return slots_.empty() ? TimePoint::max() : slots_.front().granted;
}

EngineSlots::Change EngineSlots::StateAt(TimePoint time) const {
  const auto after =
      std::upper_bound(changes_.begin(), changes_.end(), time,
                       [](TimePoint sought, const Change& change) { return sought < change.time; });
  return after == changes_.begin() ? Change{time, 0, 0} : *std::prev(after);
}

// A request runs only while its slot is in use, so the slots in use at the time of the sample
// account for at most that many running requests.
void EngineSlots::OnReport(std::uint32_t running, TimePoint sampled) {
  if (sampled < ignore_reports_before_) {
    return;
  }
  ignore_reports_before_ = sampled;
  const Change at_sample = StateAt(sampled);
  // Requests whose slots were granted just before the sample may not have reached the engine by
  // then, and those whose slots were released since may have ended before it. They must not account
  // for known foreign load; new foreign load is rare enough to be found by a later report.
  const std::uint64_t possibly_not_started = granted_ - StateAt(sampled - kGrantWindow).granted;
  const std::uint64_t certainly_running =
      InUse() > possibly_not_started ? InUse() - possibly_not_started : 0;
  const std::uint32_t unexplained = running > at_sample.in_use ? running - at_sample.in_use : 0;
  const auto max_foreign =
      static_cast<std::uint32_t>(running > certainly_running ? running - certainly_running : 0);
  foreign_ = std::max(unexplained, std::min(foreign_, max_foreign));
  // An unsigned wrap-around is reversed when Running adds the current number of grants.
  running_base_ = std::uint64_t{std::min(running, at_sample.in_use)} - at_sample.granted;
}

std::uint32_t EngineSlots::Running() const {
  if (!running_base_) {
    return InUse();
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(InUse(), *running_base_ + granted_));
}

std::vector<HeldSlot> EngineSlots::Held() const {
  std::vector<HeldSlot> held;
  held.reserve(slots_.size());
  for (const Slot& slot : slots_) {
    held.push_back(slot.held);
  }
  return held;
}

}  // namespace chiverail
