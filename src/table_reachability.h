#ifndef CHIVERAIL_TABLE_REACHABILITY_H_
#define CHIVERAIL_TABLE_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jitter.h"
#include "peer_messages.h"
#include "types.h"

namespace chiverail {

// An instance probes its peers once it has not read the head for this long.
inline constexpr Duration kProbeAfter = seconds(5);
// Interval between rounds of probes while the table stays unreachable.
inline constexpr Duration kProbeInterval = milliseconds(2500);
// Longest time that a round waits for answers before it is evaluated.
inline constexpr Duration kProbeTimeout = milliseconds(500);
// How long the verdict of a round holds, from the start of the round: two rounds.
inline constexpr Duration kVerdictValidity = seconds(5);
// A peer counts as having reached the table when its last contact is newer than that of the probing
// instance by more than this. Instances poll every 2 s, so at the start of an outage their last
// contacts differ by up to 2 s.
inline constexpr Duration kContactSlack = milliseconds(2500);
// Peers probed in one round. All 97 peers of a data centre would cost 19 KB/s during an outage; 6
// and 7 cost about 2 KB/s. Peers of other data centres make up more than half of the sample, so
// answers from the own data centre alone do not suffice.
inline constexpr std::size_t kOwnDataCentreSample = 6;
inline constexpr std::size_t kOtherSample = 7;

// Peers that can be probed.
struct PeerSet {
  std::vector<InstanceId> own_data_centre;
  std::vector<InstanceId> others;
};

// Send the probe to these peers.
struct SendProbes {
  std::vector<InstanceId> to;
  TableProbe probe;
};

// Result of one round. Each time tells until when the statement holds.
struct ReachabilityVerdict {
  // The table is down for everyone: at least half of the peers answered, and none has read the head
  // since this instance's configuration was last confirmed.
  TimePoint table_down_until{};
  // Owners may act on the frozen view: at least half of the peers in the own data centre answered,
  // and none has reached the table since this instance did.
  TimePoint owner_frozen_until{};
  bool evicted = false;  // a peer reported that this instance was evicted
};

// Determines whether the table is down for everyone or unreachable for this instance only, from the
// answers of a sample of peers.
class TableReachability {
 public:
  TableReachability(InstanceId self, std::uint64_t seed);

  void SetPeers(PeerSet peers) { peers_ = std::move(peers); }

  // Starts a round of probes at `now`.
  SendProbes StartRound(Revision revision, TimePoint now);

  // Records an answer. `contact` is the start of this instance's own last read of the table,
  // `confirmed` the time at which its configuration was last confirmed as the newest one by a peer
  // or by the table. Returns false for an answer that does not belong to the current round.
  bool OnAnswer(const TableProbeAnswer& answer,
                TimePoint contact,
                TimePoint confirmed,
                TimePoint now);

  // Evaluates the current round once all answers have arrived or kProbeTimeout has passed. Returns
  // whether the round was evaluated.
  bool EvaluateRound(TimePoint now);

  // This instance has reached the table: a frozen view ends. Returns whether one was in effect.
  bool OnTableReached();

  // Whether a round is waiting for answers.
  bool IsOpen() const { return open_; }

  TimePoint round_start() const { return round_start_; }
  const ReachabilityVerdict& verdict() const { return verdict_; }

  // Whether at least half of the peers probed in the current round have answered.
  bool HalfAnswered() const;

  // Highest revision in force among the answers of the current round.
  Revision HighestInForce() const;

 private:
  // Answer of one peer in the current round. The flags tell whether the peer reached the table
  // after this instance's last contact and after its configuration was last confirmed.
  struct PeerAnswer {
    bool reached_since_contact = false;
    bool reached_since_confirmed = false;
    Revision in_force = 0;
  };

  // Whether at least half of `probed` answered and none of them with `flag` set.
  bool HalfWithout(const std::vector<InstanceId>& probed, bool PeerAnswer::*flag) const;
  std::vector<InstanceId> Sample(std::vector<InstanceId> from, std::size_t count);

  InstanceId self_;
  Jitter jitter_;
  PeerSet peers_;
  std::vector<InstanceId> probed_;
  std::vector<InstanceId> probed_own_;
  std::map<InstanceId, PeerAnswer> answers_;
  std::uint64_t nonce_ = 0;
  TimePoint round_start_{};
  bool open_ = false;
  ReachabilityVerdict verdict_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TABLE_REACHABILITY_H_
