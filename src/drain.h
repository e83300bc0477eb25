#ifndef CHIVERAIL_DRAIN_H_
#define CHIVERAIL_DRAIN_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "lease.h"
#include "types.h"

namespace chiverail {

// Steps of a graceful shutdown.
enum class DrainStep : std::uint8_t {
  kServing,
  kMarking,      // writing the leaving mark; still accepts, but `locate` no longer names it
  kAccepting,    // marked as leaving; still accepts callers that have its address cached
  kFinishing,    // listener closed; open streams run to their end
  kHandingOver,  // returning slots and handing over owned engines
  kReleasing,    // releasing the lease and the entry in the members row
  kExited,
};
inline constexpr std::array<EnumName<DrainStep>, 7> kDrainStepNames{{
    {DrainStep::kServing, "serving"},
    {DrainStep::kMarking, "marking"},
    {DrainStep::kAccepting, "accepting"},
    {DrainStep::kFinishing, "finishing"},
    {DrainStep::kHandingOver, "handing over"},
    {DrainStep::kReleasing, "releasing"},
    {DrainStep::kExited, "exited"},
}};

// Timeout of the release; after it the process exits, as observers treat the lease as lapsed by
// then.
inline constexpr Duration kReleaseTimeout = kLeaseObserverTimeout;
// Timeout of the handover to peers; a new owner that gets no handover waits by its own rule.
inline constexpr Duration kHandoverTimeout = seconds(5);

struct DrainSettings {
  Duration accept_time = seconds(60);  // `drain_accept_ms`: longest time a caller caches an address
  Duration deadline{0};                // `drain_deadline_ms`: 0 means none
};

// Write the leaving mark (Membership::Leave).
struct MarkLeaving {};

// Stop accepting new connections and requests.
struct StopAccepting {};

// Return remote slots and hand over what is still owned.
struct HandOverAll {};

// Release the lease (Membership::Release).
struct ReleaseLease {};

// Cut the streams that are still open; each must be logged.
struct CutStreams {
  std::uint32_t open = 0;
};

// End the process.
struct ExitProcess {
  int code = 0;
};

using DrainAction =
    std::variant<MarkLeaving, StopAccepting, HandOverAll, ReleaseLease, CutStreams, ExitProcess>;
using DrainActions = std::vector<DrainAction>;

// State machine of a graceful shutdown, with what the instance may do in each step. Only a second
// signal or the deadline cuts streams.
class Drain {
 public:
  explicit Drain(DrainSettings settings) : settings_(settings) {}

  // SIGTERM: the first one starts the shutdown, the second one cuts the open streams.
  DrainActions OnSignal(TimePoint now);
  DrainActions OnMarkedLeaving(TimePoint now);
  // `open` is the number of requests that this instance still serves, including queued ones.
  DrainActions OnOpenStreams(std::uint32_t open, TimePoint now);
  DrainActions OnHandedOver(TimePoint now);
  DrainActions OnReleased(TimePoint now);
  DrainActions Tick(TimePoint now);
  TimePoint NextWake() const;

  // Whether `locate` may name this instance.
  bool IsLocatable() const { return step_ == DrainStep::kServing; }

  // Whether new requests are accepted: before the shutdown, and until the addresses cached by
  // callers have expired.
  bool AcceptsWork() const { return step_ <= DrainStep::kAccepting; }

  DrainStep step() const { return step_; }
  std::uint32_t cut_streams() const { return cut_streams_; }

 private:
  void Advance(TimePoint now, DrainActions& out);
  void Enter(DrainStep step, TimePoint now) {
    step_ = step;
    entered_ = now;
  }
  void CutOpenStreams(TimePoint now, DrainActions& out);

  DrainSettings settings_;
  DrainStep step_ = DrainStep::kServing;
  TimePoint entered_{};
  TimePoint signalled_{};
  std::uint32_t open_ = 0;
  std::uint32_t cut_streams_ = 0;
  bool handed_over_ = false;
  bool released_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_DRAIN_H_
