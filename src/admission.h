#ifndef CHIVERAIL_ADMISSION_H_
#define CHIVERAIL_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "cold_start.h"
#include "engine_slots.h"
#include "fair_queue.h"
#include "fleet_view.h"
#include "load_total.h"
#include "peer_messages.h"
#include "slot_key.h"
#include "types.h"

namespace chiverail {

// Tells the holder that it has a slot. A holder that does not want it any more, or gets it after
// kGrantWindow, must release it.
struct SlotGranted {
  InstanceId holder;
  SlotAnswer answer;
};

// Tells the holder that it gets no slot; the request has not run on account of this attempt.
struct SlotRefused {
  InstanceId holder;
  SlotAnswer answer;
  RequestError error;
};

// The request waits; a SlotGranted or SlotRefused follows.
struct SlotQueued {
  InstanceId holder;
  SlotKey key;
  UpstreamId engine;
};

// Sends an engine's slots to its new owner. Repeated a few times, since messages can be lost.
struct SendHandover {
  InstanceId to;
  OwnerHandover handover;
};

// Passes on a release that came to the engine's previous owner.
struct ForwardRelease {
  InstanceId to;
  SlotRelease release;
};

using AdmissionAction =
    std::variant<SlotGranted, SlotRefused, SlotQueued, SendHandover, ForwardRelease>;
using AdmissionActions = std::vector<AdmissionAction>;

// A request with nowhere else to go gets one more place for each such time that it waits.
inline constexpr Duration kLastResortStep = milliseconds(1000);

// Whether the owner of an engine may grant its slots.
enum class OwnerPhase : std::uint8_t { kActive, kAwaitingHandover, kAwaitingReport };
inline constexpr std::array<EnumName<OwnerPhase>, 3> kOwnerPhaseNames{{
    {OwnerPhase::kActive, "active"},
    {OwnerPhase::kAwaitingHandover, "awaiting_handover"},
    {OwnerPhase::kAwaitingReport, "awaiting_report"},
}};

// State of one owned engine, for metrics and tests.
struct EngineStatus {
  OwnerPhase phase = OwnerPhase::kActive;
  std::uint32_t slots = 0;
  std::uint32_t foreign = 0;  // running requests that no slot accounts for
  std::uint32_t limit = 0;    // greatest load at which a slot is granted is one below
  std::uint32_t queued = 0;
};

// Admission to all engines that this instance owns. A slot at an engine is granted only while
//   slots out + foreign load < min(load bound, cold start limit, the engine's concurrency)
// with the load bound ceil(multiple x (total + 1) / engines) of consistent hashing with bounded
// loads, where `total` is this instance's own count plus the lower bound for the others.
class Admission {
 public:
  // `generation` tells this run of the instance from earlier ones under the same id.
  Admission(InstanceId self, std::uint64_t generation, DataCentreId data_centre);

  // Takes a new view: engines gained, lost, taken out or changed.
  AdmissionActions OnView(std::shared_ptr<const FleetView> view, TimePoint now);

  // Takes an ask of this or another instance. A repeated ask gets the same answer again.
  AdmissionActions Ask(const SlotAsk& ask, TimePoint now);

  // Frees the slot, or cancels the wait, of a request. Holders release every attempt that they
  // asked for and did not see refused. Unknown and repeated releases do no harm.
  AdmissionActions Release(const SlotRelease& release, TimePoint now);

  AdmissionActions OnLoadReport(const UpstreamId& engine, const LoadReport& report, TimePoint now);
  AdmissionActions OnHandover(const OwnerHandover& handover, TimePoint now);

  // Frees the slots of an instance whose lease has lapsed.
  AdmissionActions OnHolderLost(const InstanceId& holder, TimePoint now);

  // Sets the lower bounds of the requests that the *other* instances have at the engines of a pool
  // (LoadTotal::LowerBound). Must be repeated every second: see kPauseGap.
  AdmissionActions SetPoolTotal(std::uint64_t pool, TotalBound others, TimePoint now);

  // Slots are granted only before this time: the end of the own lease, or later while the view is
  // frozen by rule. An instance must read the members rows whenever it renews its lease.
  AdmissionActions SetGrantsUntil(TimePoint until, TimePoint now);

  // Handles what is due: deadlines, slots past the longest request, repeated handovers.
  AdmissionActions Tick(TimePoint now);

  // Time at which Tick is next needed; TimePoint::max() when never.
  TimePoint NextDeadline() const;

  // Requests at owned engines by pool, for this instance's load digest. Empty for kBufferedTime
  // after a pause, when releases may still wait to be handled.
  std::vector<PoolLoad> PoolLoads(TimePoint now);

  // State of an engine, or nothing when this instance does not own it.
  std::optional<EngineStatus> Status(const UpstreamId& engine) const;

 private:
  struct Engine {
    Engine(UpstreamId engine_id, std::uint32_t cold_limit, std::uint32_t concurrency)
        : id(std::move(engine_id)), max_concurrency(concurrency), cold(cold_limit, concurrency) {}

    UpstreamId id;
    std::uint64_t pool = 0;
    std::uint32_t max_concurrency;
    bool accepting = true;
    OwnerPhase phase = OwnerPhase::kActive;
    TimePoint since{};     // reports sampled before this do not end kAwaitingReport
    TimePoint patience{};  // end of kAwaitingHandover
    InstanceId awaited;    // previous owner; empty when unknown
    std::uint64_t awaited_generation = 0;
    TimePoint awaited_settled{};          // from here on, no owner before `awaited` can still grant
    std::uint64_t owned_after_epoch = 0;  // handovers up to this epoch belong to earlier changes
    TimePoint inherited_count_from = TimePoint::max();
    std::uint32_t counted = 0;  // slots included in Pool::own
    EngineSlots slots;
    ColdStart cold;
    FairQueue queue;
    TimePoint last_report = TimePoint::min();  // time of the newest sample
    TimePoint timer = TimePoint::max();
  };
  struct Pool {
    TotalBound others;
    TimePoint others_until{};  // `others` is out of date from here on
    std::uint32_t own = 0;
    std::uint32_t engines = 0;  // accepting engines; a fall takes effect at shrink_at
    std::uint32_t next_engines = 0;
    TimePoint shrink_at = TimePoint::max();
    double held_mean = 0;            // mean load when the fall became known; holds until shrink_at
    std::uint32_t pumped_bound = 0;  // load bound for which `waiting` was last served
    std::map<UpstreamId, Engine*> waiting;  // engines with queued requests
  };
  // Owner of an engine in the last view, and since when.
  struct KnownOwner {
    InstanceId id;
    std::uint64_t generation = 0;
    TimePoint since{};
  };
  // A handover that this instance sends as the previous owner.
  struct Outgoing {
    InstanceId to;
    OwnerHandover handover;
    TimePoint next;     // next repetition, or the end of this entry
    Duration interval;  // between repetitions; zero after the last
    TimePoint expires;  // no slot of the handover is out after this
  };

  // admission.cc
  Engine* FindEngine(const UpstreamId& id) const;
  std::uint32_t LoadBound(const Pool& pool, SlotClaim claim, Duration waited) const;
  static double Mean(const Pool& pool, std::uint32_t others);
  std::uint32_t Limit(const Engine& engine, SlotClaim claim, TimePoint now) const;
  static SlotClaim QueueClaim(const Engine& engine);
  bool MayGrant(TimePoint now) const;
  void NoticePause(TimePoint now);
  bool CanGrant(const Engine& engine, SlotClaim claim, TimePoint now) const;
  void Grant(Engine& engine, const QueuedRequest& ask, TimePoint now, AdmissionActions& actions);
  void Refuse(const Engine& engine,
              const QueuedRequest& ask,
              ErrorCode code,
              const char* message,
              AdmissionActions& actions) const;
  void RefuseQueue(Engine& engine, ErrorCode code, const char* message, AdmissionActions& actions);
  void Settle(Engine& engine, TimePoint now, AdmissionActions& actions);
  void ServeQueue(Engine& engine, TimePoint now, AdmissionActions& actions);
  void ServePool(Pool& pool, TimePoint now, AdmissionActions& actions);
  void Count(Engine& engine, TimePoint now);
  void UpdateTimer(Engine& engine, TimePoint now);
  void MarkEnded(const SlotKey& key, TimePoint now);
  bool HasEnded(const SlotKey& key) const;

  // admission_owner.cc
  void UpdatePools(TimePoint now);
  void UpdateEngine(const EngineEntry& entry, TimePoint now, AdmissionActions& actions);
  void Gain(const EngineEntry& entry, TimePoint now, AdmissionActions& actions);
  void Lose(Engine& engine, const Member* owner, TimePoint now, AdmissionActions& actions);
  void Remove(Engine& engine, AdmissionActions& actions);
  void SetPool(Engine& engine, std::uint64_t pool);
  void CheckAwaited(Engine& engine, TimePoint now);
  void AwaitReport(Engine& engine, TimePoint since);
  void AcceptHandover(Engine& engine, const OwnerHandover& handover, TimePoint now);
  void PassOn(const Member* owner,
              OwnerHandover handover,
              TimePoint now,
              AdmissionActions& actions);
  void Relay(const OwnerHandover& handover, TimePoint now, AdmissionActions& actions);
  void RepeatHandovers(TimePoint now, AdmissionActions& actions);
  bool IsSelf(const Member* member) const;

  InstanceId self_;
  std::uint64_t generation_;
  DataCentreId data_centre_;
  std::shared_ptr<const FleetView> view_;
  std::uint64_t epoch_ = 0;                         // members epoch of the own data centre in view_
  std::uint64_t epoch_before_ = 0;                  // the same in the view before
  bool first_view_ = true;                          // the present view is the first one
  std::unordered_map<WorkspaceId, double> shares_;  // shares other than 1
  TimePoint grants_until_ = TimePoint::max();
  TimePoint last_call_ = TimePoint::min();
  TimePoint grants_from_ = TimePoint::min();  // end of the time after a pause
  std::map<UpstreamId, std::unique_ptr<Engine>> engines_;
  std::map<std::uint64_t, Pool> pools_;
  std::map<std::pair<TimePoint, UpstreamId>, Engine*> timers_;
  std::unordered_map<UpstreamId, KnownOwner> owners_;
  std::map<UpstreamId, Outgoing> outgoing_;
  std::map<UpstreamId, OwnerHandover> early_;              // handovers that came before the view
  std::unordered_map<UpstreamId, std::uint64_t> handled_;  // epoch of the last handover taken
  // Attempts that have ended, by hash, so that a late ask or handover does not revive them.
  std::unordered_set<std::uint64_t> ended_;
  std::deque<std::pair<TimePoint, std::uint64_t>> ended_order_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ADMISSION_H_
