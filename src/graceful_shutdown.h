#ifndef CHIVERAIL_GRACEFUL_SHUTDOWN_H_
#define CHIVERAIL_GRACEFUL_SHUTDOWN_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "lease.h"
#include "types.h"

namespace chiverail {

// Steps of a graceful shutdown.
enum class ShutdownStep : std::uint8_t {
  kServing,
  kMarking,      // writing the leaving mark; still accepts, but `locate` no longer names it
  kAccepting,    // marked as leaving; still accepts callers that have its address cached
  kFinishing,    // listener closed; open streams run to their end
  kHandingOver,  // returning slots and handing over owned engines
  kReleasing,    // releasing the lease and the entry in the members row
  kExited,
};
inline constexpr std::array<EnumName<ShutdownStep>, 7> kShutdownStepNames{{
    {ShutdownStep::kServing, "serving"},
    {ShutdownStep::kMarking, "marking"},
    {ShutdownStep::kAccepting, "accepting"},
    {ShutdownStep::kFinishing, "finishing"},
    {ShutdownStep::kHandingOver, "handing over"},
    {ShutdownStep::kReleasing, "releasing"},
    {ShutdownStep::kExited, "exited"},
}};

// Timeout of the release; after it the process exits, as observers treat the lease as lapsed by
// then.
inline constexpr Duration kReleaseTimeout = kLeaseObserverTimeout;
// Timeout of the handover to peers; a new owner that gets no handover waits by its own rule.
inline constexpr Duration kHandoverTimeout = seconds(5);

struct ShutdownSettings {
  Duration accept_time = seconds(60);  // `drain_accept_ms`: longest time a caller caches an address
  Duration deadline{0};                // `drain_deadline_ms`: 0 means none
};

// Write the leaving mark (Membership::Leave).
struct MarkLeaving {};

// Stop accepting new connections and requests.
struct StopAccepting {};

// Return remote slots and hand over what is still owned.
struct HandOverEngines {};

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

using ShutdownAction = std::
    variant<MarkLeaving, StopAccepting, HandOverEngines, ReleaseLease, CutStreams, ExitProcess>;
using ShutdownActions = std::vector<ShutdownAction>;

// State machine of a graceful shutdown, with what the instance may do in each step. Only a second
// signal or the deadline cuts streams.
class GracefulShutdown {
 public:
  explicit GracefulShutdown(ShutdownSettings settings) : settings_(settings) {}

  // SIGTERM: the first one starts the shutdown, the second one cuts the open streams.
  ShutdownActions OnSignal(TimePoint now);
  ShutdownActions OnMarkedLeaving(TimePoint now);
  // `open` is the number of requests that this instance still serves, including queued ones.
  ShutdownActions OnOpenStreams(std::uint32_t open, TimePoint now);
  ShutdownActions OnHandedOver(TimePoint now);
  ShutdownActions OnReleased(TimePoint now);
  ShutdownActions Tick(TimePoint now);
  TimePoint NextWake() const;

  // Whether `locate` may name this instance.
  bool IsLocatable() const { return step_ == ShutdownStep::kServing; }

  // Whether new requests are accepted: before the shutdown, and until the addresses cached by
  // callers have expired.
  bool AcceptsWork() const { return step_ <= ShutdownStep::kAccepting; }

  ShutdownStep step() const { return step_; }
  std::uint32_t cut_streams() const { return cut_streams_; }

 private:
  void Advance(TimePoint now, ShutdownActions& out);
  void Enter(ShutdownStep step, TimePoint now) {
    step_ = step;
    entered_ = now;
  }
  void CutOpenStreams(TimePoint now, ShutdownActions& out);

  ShutdownSettings settings_;
  ShutdownStep step_ = ShutdownStep::kServing;
  TimePoint entered_{};
  TimePoint signalled_{};
  std::uint32_t open_ = 0;
  std::uint32_t cut_streams_ = 0;
  bool handed_over_ = false;
  bool released_ = false;
};

}  // namespace chiverail

#endif  // CHIVERAIL_GRACEFUL_SHUTDOWN_H_
