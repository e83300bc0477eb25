#ifndef CHIVERAIL_CONFIG_FOLLOWER_H_
#define CHIVERAIL_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jitter.h"
#include "peer_messages.h"
#include "rows.h"
#include "table_reachability.h"
#include "table_types.h"
#include "types.h"

namespace chiverail {

inline constexpr Duration kHeadPollInterval = seconds(2);
// Timeout that the caller should apply to a read of the head. Polls overlap while the table is
// slow, so that answers of up to 5 s still confirm the configuration in time.
inline constexpr Duration kHeadReadTimeout = seconds(5);
inline constexpr std::size_t kMaxPollsInFlight = 4;
// Time within which an accepted configuration must be in force on every instance. An instance
// refuses new work when the last confirmation that its configuration is the newest one is this old.
inline constexpr Duration kConfigurationDeadline = seconds(7);
inline constexpr Duration kFetchRetryInterval = seconds(1);
// Minimum interval between a poll and the next one that a hint triggers; digests carry three hints
// per second.
inline constexpr Duration kHintPollInterval = milliseconds(500);
// When the poll triggered by a hint has not returned the revision within this time, peers are
// probed for it: the table may have gone down right after the change.
inline constexpr Duration kHintProbeDelay = seconds(1);

// Requests the manifest `hash` from the object store or, if that fails, from these peers.
struct FetchManifest {
  std::string hash;
  std::vector<InstanceId> peers;  // peers that have it in force
};

// Reports that this configuration is in force from now on.
struct ConfigurationInForce {
  HeadRow head;
};

// Reports the data centres that are out of service from now on. Precedes ConfigurationInForce when
// the manifest still has to be fetched: taking a data centre out must not wait for the object
// store.
struct DataCentresOut {
  std::set<DataCentreId> data_centres;
};

// An error for the log, such as a malformed head or a head below the revision in force.
struct FollowerError {
  std::string text;
};

using FollowerAction = std::variant<ReadRow,
                                    FetchManifest,
                                    SendProbes,
                                    ReachabilityVerdict,
                                    ConfigurationInForce,
                                    DataCentresOut,
                                    FollowerError>;
using FollowerActions = std::vector<FollowerAction>;

// Whether the state of the configuration lets an instance accept new work.
enum class IsolationState : std::uint8_t {
  kStarting,   // no configuration yet: refuses new work
  kServing,    // the configuration in force is confirmed as the newest one
  kTableDown,  // the table is down for all instances; serves with the revision in force
  kIsolated,   // others may have a newer configuration: refuses new work
};
inline constexpr std::array<EnumName<IsolationState>, 4> kIsolationStateNames{{
    {IsolationState::kStarting, "starting"},
    {IsolationState::kServing, "serving"},
    {IsolationState::kTableDown, "table_down"},
    {IsolationState::kIsolated, "cut_off"},
}};

// Tracks the configuration head. A head is applied only if it was received from the table or a peer
// and its revision is higher than the known one.
//
// Every ReadRow is answered by OnHead, every FetchManifest by OnManifest. The caller applies a
// timeout and reports an operation without an answer as failed.
class ConfigFollower {
 public:
  // `start` is the time at which this instance started. `seed` distinguishes runs; operation
  // numbers start above it. A read of the head without an answer after `operation_timeout` counts
  // as failed.
  ConfigFollower(InstanceId self,
                 std::uint64_t seed,
                 TimePoint start,
                 Duration operation_timeout = kDefaultTableOperationTimeout);

  FollowerActions Tick(TimePoint now);
  TimePoint NextWake(TimePoint now) const;

  FollowerActions OnHead(std::uint64_t op, const TableReadResult& result, TimePoint now);
  FollowerActions OnManifest(const std::string& hash, bool fetched, TimePoint now);
  FollowerActions OnProbeAnswer(const TableProbeAnswer& answer, TimePoint now);

  // A peer has seen this revision. Brings the next poll of the head forward if the revision is
  // higher than the known one.
  FollowerActions OnHint(Revision revision, TimePoint now);

  // Returns the answer to a peer's probe. The caller sets `requester_evicted` from
  // Membership::HasLeft.
  TableProbeAnswer AnswerProbe(const TableProbe& probe, TimePoint now) const;

  // Peers to probe: from the members rows, or from the platform's list before any members row has
  // been read.
  void SetPeers(PeerSet peers) { reachability_.SetPeers(std::move(peers)); }

  // The configuration in force; revision 0 before the first one.
  const HeadRow& InForce() const { return in_force_; }

  // Highest revision seen.
  Revision HighestSeen() const { return head_.revision; }

  // Must be evaluated right before new work is accepted.
  IsolationState Isolation(TimePoint now) const;
  bool AcceptsWork(TimePoint now) const;

 private:
  void EndOverduePolls(TimePoint now);
  void Poll(TimePoint now, FollowerActions& out);
  void StartRoundIfDue(TimePoint now, FollowerActions& out);
  void AcceptHead(const HeadRow& head, FollowerActions& out);
  void Apply(const HeadRow& head, FollowerActions& out);
  void ApplyOrFetch(TimePoint now, FollowerActions& out);
  void Confirm(Revision newest, TimePoint at);
  void EvaluateRound(TimePoint now, FollowerActions& out);
  TimePoint ConfirmedOrStart() const { return confirmed_at_.value_or(start_); }
  bool IsLagging() const { return head_.revision > in_force_.revision; }

  InstanceId self_;
  TimePoint start_;
  Jitter jitter_;
  TableReachability reachability_;
  HeadRow head_;      // highest head seen
  HeadRow in_force_;  // highest head applied
  HeadRow fetching_;  // head whose manifest is being fetched
  bool fetch_in_flight_ = false;
  bool fetch_failed_ = false;  // a fetch of the manifest of head_ has failed
  TimePoint next_fetch_{};
  std::set<InstanceId> manifest_sources_;  // peers that have head_ in force

  Duration operation_timeout_;
  std::uint64_t last_op_;
  std::map<std::uint64_t, TimePoint> polls_;  // start of each read in flight, by operation
  TimePoint last_poll_;
  TimePoint next_poll_{};

  TimePoint last_contact_;              // start of the last successful read, or of this instance
  std::optional<TimePoint> last_read_;  // start of the last successful read
  std::optional<TimePoint> head_confirmed_at_;  // head_ was the newest head at this time
  std::optional<TimePoint> confirmed_at_;  // in_force_ was the newest configuration at this time
  Revision hinted_revision_ = 0;           // highest revision that peers hinted at
  TimePoint hinted_at_{};
  TimePoint next_round_{};
  bool first_round_done_ = false;  // the first round of probes has been evaluated
  TimePoint table_down_until_{};   // until then the revision in force may serve unconfirmed
};

}  // namespace chiverail

#endif  // CHIVERAIL_CONFIG_FOLLOWER_H_
