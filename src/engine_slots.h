#ifndef CHIVERAIL_ENGINE_SLOTS_H_
#define CHIVERAIL_ENGINE_SLOTS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peer_messages.h"
#include "slot_key.h"
#include "types.h"

namespace chiverail {

// A holder may start its request only within this time after the slot request, plus the request's
// queue wait. It checks this right before sending, since a holder that was paused must not use a
// slot that the owner has taken back.
inline constexpr Duration kGrantWindow = seconds(1);

// An engine's report of its load.
struct LoadReport {
  std::string start_id;  // changes when the engine restarts
  std::uint32_t running = 0;
  bool cold = false;
  TimePoint sampled{};  // start of the request for the report, less the engine's sampled_ms_ago
};

// A slot in use: granted and not released.
struct Slot {
  HeldSlot held;
  TimePoint granted{};
  bool inherited = false;  // received with a handover
};

// Slots in use at one engine, and the load there that no slot accounts for (foreign load).
class EngineSlots {
 public:
  // Adds a slot; its key must not be in use.
  void Add(HeldSlot held, bool inherited, TimePoint now);

  // Frees a slot and returns it; returns nullopt when it is not in use.
  std::optional<Slot> Free(const SlotKey& key, TimePoint now);

  // Frees slots whose requests may still be running: those of a lost holder, and those granted up
  // to `granted`. They count as foreign load until a later report.
  void AbandonHolder(const InstanceId& holder, TimePoint now);
  void AbandonGrantedBy(TimePoint granted, TimePoint now);

  const Slot* Find(const SlotKey& key) const;

  // Time of the oldest grant, or TimePoint::max() when no slot is in use.
  TimePoint OldestGrant() const;

  // Handles a report: running requests in excess of the slots that were in use when it was sampled
  // are foreign. Ignores a report that was sampled before the last one. A slot whose release was
  // lost can hide one foreign request until the slot expires, so holders should resend releases.
  void OnReport(std::uint32_t running, TimePoint sampled);

  // Makes OnReport ignore reports sampled before `time`: the history of changes before it does not
  // include inherited slots.
  void IgnoreReportsBefore(TimePoint time) { ignore_reports_before_ = time; }

  std::uint32_t InUse() const { return static_cast<std::uint32_t>(slots_.size()); }
  // Upper bound of the requests that run in these slots: those running at the last report plus
  // those granted since. It is below InUse() when releases were lost or requests have not arrived
  // yet.
  std::uint32_t Running() const;
  std::uint32_t InheritedInUse() const { return inherited_in_use_; }
  std::uint32_t Foreign() const { return foreign_; }
  std::uint32_t Load() const { return InUse() + foreign_; }
  std::vector<HeldSlot> Held() const;

 private:
  using SlotIterator = std::list<Slot>::iterator;

  // State after a change of the slots in use.
  struct Change {
    TimePoint time;
    std::uint32_t in_use;
    std::uint64_t granted;  // total number of slots granted so far
  };

  Change StateAt(TimePoint time) const;
  void Erase(SlotIterator slot, TimePoint now);
  void Record(TimePoint now);
  void Abandon(const std::function<bool(const Slot&)>& matches, TimePoint now);

  std::list<Slot> slots_;  // by time of grant
  std::unordered_map<SlotKey, SlotIterator, SlotKeyHash> index_;
  std::deque<Change> changes_;  // by time; older ones than kChangeRetention are dropped
  std::uint32_t inherited_in_use_ = 0;
  std::uint32_t foreign_ = 0;
  std::uint64_t granted_ = 0;
  std::optional<std::uint64_t> running_base_;  // running at the last report less granted by then
  TimePoint ignore_reports_before_ = TimePoint::min();  // by the time of the sample
};

}  // namespace chiverail

#endif  // CHIVERAIL_ENGINE_SLOTS_H_
