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

// Answer to the slot holder: a slot has been granted. A holder that no longer needs the slot, or
// receives the answer after kGrantWindow, must release it.
struct SlotGranted {
  InstanceId holder;
  SlotAnswer answer;
};

// Answer to the slot holder: the slot has been refused. This attempt has not caused the request to
// run.
struct SlotRefused {
  InstanceId holder;
  SlotAnswer answer;
  RequestError error;
};

// The request has been enqueued; a SlotGranted or SlotRefused follows.
struct SlotQueued {
  InstanceId holder;
  SlotKey key;
  UpstreamId engine;
};

// Sends an engine's slots to its new admission owner. Resent a few times, since messages can be
// lost.
struct SendHandover {
  InstanceId to;
  AdmissionHandover handover;
};

// Forwards a release that arrived at the engine's previous admission owner to the new one.
struct ForwardRelease {
  InstanceId to;
  SlotRelease release;
};

using AdmissionAction =
    std::variant<SlotGranted, SlotRefused, SlotQueued, SendHandover, ForwardRelease>;
using AdmissionActions = std::vector<AdmissionAction>;

// The load bound for a last-resort request (SlotClaim::kLastResort) rises by one slot each time it
// has waited for this long.
inline constexpr Duration kLastResortStep = milliseconds(1000);

// Whether the admission owner of an engine may grant its slots: it may when active; before that it
// waits for the previous owner's handover or for a load report of the engine.
enum class AdmissionPhase : std::uint8_t { kActive, kAwaitingHandover, kAwaitingReport };
inline constexpr std::array<EnumName<AdmissionPhase>, 3> kAdmissionPhaseNames{{
    {AdmissionPhase::kActive, "active"},
    {AdmissionPhase::kAwaitingHandover, "awaiting_handover"},
    {AdmissionPhase::kAwaitingReport, "awaiting_report"},
}};

// State of one owned engine, for metrics and tests.
struct OwnedEngineStatus {
  AdmissionPhase phase = AdmissionPhase::kActive;
  std::uint32_t slots = 0;
  std::uint32_t foreign = 0;  // running requests that no slot accounts for
  std::uint32_t limit = 0;    // a slot is granted only while the load is below this
  std::uint32_t queued = 0;
};

// Admission control for all engines that this instance owns. A slot at an engine is granted only
// while
//   slots in use + foreign load < min(load bound, cold start limit, the engine's concurrency)
// with the load bound ceil(multiple x (total + 1) / engines) of consistent hashing with bounded
// loads, where `total` is this instance's own count plus the lower bound for the other instances.
//
// When an engine changes its admission owner, the old owner hands over its slots and its limit. The
// new owner grants no slot until it knows the engine's load, see AdmissionPhase.
class AdmissionController {
 public:
  // `generation` distinguishes this run of the instance from earlier runs under the same id.
  AdmissionController(InstanceId self, std::uint64_t generation, DataCentreId data_centre);

  // Applies a new view: adds engines that this instance now owns, gives up those it no longer owns,
  // and updates the limits and the accepting state of the others.
  AdmissionActions OnView(std::shared_ptr<const FleetView> view, TimePoint now);

  // Handles a slot request from this or another instance. A repeated request gets the same answer.
  AdmissionActions RequestSlot(const SlotRequest& request, TimePoint now);

  // Frees the slot of a request or removes it from the queue. Holders release every attempt for
  // which they requested a slot and received no refusal. Unknown and repeated releases have no
  // effect.
  AdmissionActions Release(const SlotRelease& release, TimePoint now);

  AdmissionActions OnLoadReport(const UpstreamId& engine, const LoadReport& report, TimePoint now);
  AdmissionActions OnHandover(const AdmissionHandover& handover, TimePoint now);

  // Frees the slots of an instance whose lease has expired.
  AdmissionActions OnHolderLost(const InstanceId& holder, TimePoint now);

  // Sets the lower bounds of the requests that the *other* instances have at the engines of a pool
  // (LoadTotal::LowerBound). Must be repeated every second: see kPauseGap.
  AdmissionActions SetPoolTotal(std::uint64_t pool, TotalBound others, TimePoint now);

  // Slots are granted only before this time: the end of this instance's lease, or later while the
  // view is frozen. An instance must read the members rows whenever it renews its lease.
  AdmissionActions SetGrantsUntil(TimePoint until, TimePoint now);

  // Runs the expired timers: refuses queued requests past their deadline, frees slots older than
  // the longest request and resends handovers.
  AdmissionActions Tick(TimePoint now);

  // Time at which Tick must be called next; TimePoint::max() when no timer is set.
  TimePoint NextDeadline() const;

  // Requests at owned engines by pool, for this instance's load digest. Empty for kBufferedTime
  // after a pause, since buffered releases may not have been handled yet.
  std::vector<PoolLoad> PoolLoads(TimePoint now);

  // State of an engine, or nullopt when this instance does not own it.
  std::optional<OwnedEngineStatus> Status(const UpstreamId& engine) const;

 private:
  struct Engine {
    Engine(UpstreamId engine_id, std::uint32_t cold_limit, std::uint32_t concurrency)
        : id(std::move(engine_id)), max_concurrency(concurrency), cold(cold_limit, concurrency) {}

    UpstreamId id;
    std::uint64_t pool = 0;  // LoadPool of the engine
    std::uint32_t max_concurrency;
    bool accepting = true;
    AdmissionPhase phase = AdmissionPhase::kActive;
    TimePoint report_from{};        // reports sampled before this do not end kAwaitingReport
    TimePoint handover_deadline{};  // end of kAwaitingHandover
    InstanceId previous_owner;      // empty when unknown
    std::uint64_t previous_owner_generation = 0;
    TimePoint earlier_owners_stopped{};    // no owner before `previous_owner` can grant after this
    std::uint64_t gained_after_epoch = 0;  // handovers up to this epoch belong to earlier changes
    // From this time on, inherited slots are included in `counted`.
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
    TimePoint others_until{};  // end of the validity of `others`
    std::uint32_t own = 0;
    std::uint32_t engines = 0;  // accepting engines; a decrease takes effect at shrink_at
    std::uint32_t next_engines = 0;
    TimePoint shrink_at = TimePoint::max();
    double held_mean = 0;  // mean load when the decrease became known; minimum until shrink_at
    std::uint32_t served_bound = 0;  // load bound at which `queued_engines` was last served
    std::map<UpstreamId, Engine*> queued_engines;  // engines with queued requests
  };
  // Owner of an engine in the last view and the time of the view that named it.
  struct LastOwner {
    InstanceId id;
    std::uint64_t generation = 0;
    TimePoint since{};
  };
  // A handover that this instance sends, and resends, as the previous owner.
  struct OutgoingHandover {
    InstanceId to;
    AdmissionHandover handover;
    TimePoint next;     // time of the next resend, or `expires` after the last
    Duration interval;  // time between resends; zero after the last
    TimePoint expires;  // no slot of the handover is in use after this
  };

  // admission.cc
  Engine* FindEngine(const UpstreamId& id) const;
  std::uint32_t LoadBound(const Pool& pool, SlotClaim claim, Duration waited) const;
  static double Mean(const Pool& pool, std::uint32_t others);
  std::uint32_t Limit(const Engine& engine, SlotClaim claim, TimePoint now) const;
  static SlotClaim QueueClaim(const Engine& engine);
  bool GrantsPermitted(TimePoint now) const;
  void DetectPause(TimePoint now);
  bool CanGrant(const Engine& engine, SlotClaim claim, TimePoint now) const;
  void Grant(Engine& engine, const QueuedRequest& queued, TimePoint now, AdmissionActions& actions);
  void Refuse(const Engine& engine,
              const QueuedRequest& queued,
              ErrorCode code,
              const char* message,
              AdmissionActions& actions) const;
  void RefuseQueue(Engine& engine, ErrorCode code, const char* message, AdmissionActions& actions);
  void Reconcile(Engine& engine, TimePoint now, AdmissionActions& actions);
  void ServeQueue(Engine& engine, TimePoint now, AdmissionActions& actions);
  void ServePool(Pool& pool, TimePoint now, AdmissionActions& actions);
  void UpdateOwnCount(Engine& engine, TimePoint now);
  void UpdateTimer(Engine& engine, TimePoint now);
  void MarkEnded(const SlotKey& key, TimePoint now);
  bool HasEnded(const SlotKey& key) const;

  // admission_handover.cc
  void UpdatePools(TimePoint now);
  void UpdateEngine(const EngineEntry& entry, TimePoint now, AdmissionActions& actions);
  void AddOwnedEngine(const EngineEntry& entry, TimePoint now, AdmissionActions& actions);
  void GiveUpEngine(Engine& engine, const Member* owner, TimePoint now, AdmissionActions& actions);
  void RemoveEngine(Engine& engine, AdmissionActions& actions);
  void SetPool(Engine& engine, std::uint64_t pool);
  void CheckPreviousOwner(Engine& engine, TimePoint now);
  void AwaitReport(Engine& engine, TimePoint report_from);
  void AcceptHandover(Engine& engine, const AdmissionHandover& handover, TimePoint now);
  void StartHandover(const Member* owner,
                     AdmissionHandover handover,
                     TimePoint now,
                     AdmissionActions& actions);
  void ForwardHandover(const AdmissionHandover& handover, TimePoint now, AdmissionActions& actions);
  void ResendHandovers(TimePoint now, AdmissionActions& actions);
  bool IsSelf(const Member* member) const;

  InstanceId self_;
  std::uint64_t generation_;
  DataCentreId data_centre_;
  std::shared_ptr<const FleetView> view_;
  std::uint64_t epoch_ = 0;         // highest members epoch of the own data centre in any view
  std::uint64_t epoch_before_ = 0;  // epoch_ before the current view
  bool first_view_ = true;          // no other view came before the current one
  std::unordered_map<WorkspaceId, double> shares_;  // shares other than 1
  TimePoint grants_until_ = TimePoint::max();
  TimePoint last_call_ = TimePoint::min();
  TimePoint grants_from_ = TimePoint::min();  // no grants before this, after a pause
  std::map<UpstreamId, std::unique_ptr<Engine>> engines_;
  std::map<std::uint64_t, Pool> pools_;
  std::map<std::pair<TimePoint, UpstreamId>, Engine*> timers_;
  std::unordered_map<UpstreamId, LastOwner> last_owners_;
  std::map<UpstreamId, OutgoingHandover> outgoing_handovers_;
  std::map<UpstreamId, AdmissionHandover>
      early_handovers_;  // received before the view of their epoch
  std::unordered_map<UpstreamId, std::uint64_t>
      last_handover_epoch_;  // of the last handover handled
  // Attempts that have ended, by hash, so that a late slot request or handover does not give them a
  // slot again.
  std::unordered_set<std::uint64_t> ended_;
  std::deque<std::pair<TimePoint, std::uint64_t>> ended_order_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ADMISSION_H_
