#ifndef CHIVERAIL_METRICS_H_
#define CHIVERAIL_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "types.h"

namespace chiverail {

// Monotonic counters.
enum class Counter : std::uint8_t {
  kRequests,
  kRefused,
  kPromptTokens,
  kCachedPromptTokens,
  kStreamsCut,
  kStreamsResumed,
  kRetries,
  kRetriesRefused,
  kRemoteSlotRequests,
  kControlBytesSent,
  kControlBytesDropped,
  kTableReads,
  kTableWrites,
  kTableFailures,
  kEvictions,
  kCalls,
  kCallsInDoubt,
  kRestarts,
  kRouteRequests,
  kRouteFailures,
  kPlacements,
  kPeerBytesSent,
  kPeerBytesReceived,
  kPeerMessagesDropped,
  kStoreCalls,
  kHandlerErrors,
  kUpstreamResponses,
  kStreamsEndedInsideEvent,
  kBrokenUpstreams,
  kClosedAnswers,
  kMalformedTerms,
  kStopRequests,
  kRolloutAnswers,
  kCallersClosed,
  kHedges,
};

// Gauges; each shows the last value set.
enum class Gauge : std::uint8_t {
  kRevisionInForce,
  kDataCentreOut,
  kLeaseValid,
  kViewFrozen,
  kMembers,
  kSlotsHeld,
  kQueued,
  kOpenRequests,
  kEngineLoad,
  kEngineForeign,
  kEngineLimit,
  kEngineActive,
  kEngineCold,
  kIsolated,
  kConfigAge,
  kWaitingRequests,
  kQuarantinedSegments,
  kUpstreamTerms,
  kStoreEra,
  kRolloutShare,
  kGateShare,
  kHeldBytes,
};

// Distributions of times, in seconds.
enum class Summary : std::uint8_t {
  kRoutingSeconds,
  kQueueSeconds,
  kFirstTokenSeconds,
  kTokenGapSeconds,
  kRequestSeconds,
  kCallSeconds,
  kFleetStateAgeSeconds,
};

// Metrics of one process; thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Adds to a counter; `label` is the value of its label, for example the error code of a refusal.
  void Add(Counter counter, std::uint64_t amount = 1, const std::string& label = "");

  // Sets a gauge; `label` is the value of its label, for example the engine.
  void Set(Gauge gauge, double value, const std::string& label = "");

  // Removes all values of a gauge, so that engines that this instance no longer owns disappear.
  void Clear(Gauge gauge);

  // Adds a sample to a distribution.
  void Observe(Summary summary, Duration value);

  // Current value of a counter.
  std::uint64_t Value(Counter counter, const std::string& label = "") const;

  // Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  struct Distribution;

  mutable std::mutex mutex_;
  std::map<std::pair<Counter, std::string>, std::uint64_t> counters_;
  std::map<std::pair<Gauge, std::string>, double> gauges_;
  std::map<Summary, std::unique_ptr<Distribution>> summaries_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_METRICS_H_
