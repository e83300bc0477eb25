#ifndef CHIVERAIL_DIGEST_HUB_H_
#define CHIVERAIL_DIGEST_HUB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "fleet_view.h"
#include "peer_messages.h"
#include "types.h"

namespace chiverail {

// Average number of instances that report to one hub. A larger group makes the period longer; see
// DigestHub::Period.
inline constexpr std::size_t kHubGroupMembers = 20;

// A batch of digests for one peer.
struct OutgoingDigest {
  InstanceId to;
  DigestBatch batch;
};

// Aggregates the fleet's load with two short messages per instance and period. Each instance
// reports to the hub of its group, which answers with the sum of the load of all other instances;
// in large fleets the hubs report to a top hub in the same way. Hubs are ordinary instances, chosen
// by hash; a hub that does not answer is excluded for a while. While an instance reports to a
// different hub than the others, it receives a smaller sum and its load is missing from theirs, so
// the sum is never too high.
class DigestHub {
 public:
  DigestHub(InstanceId self, std::uint64_t generation)
      : self_(std::move(self)), generation_(generation) {}

  // Returns the report to send; `own` is this instance's outstanding load now. Must be called every
  // Period.
  std::vector<OutgoingDigest> Tick(const FleetView& view, std::vector<PoolLoad> own, TimePoint now);

  // Handles reports and answers, and returns the answers to the reports.
  std::vector<OutgoingDigest> OnBatch(const DigestBatch& batch, TimePoint now);

  // Sum of the other instances' outstanding load, as a digest of one peer for LoadTotal. Returns
  // nullopt when the sum has not been updated since the last call.
  std::optional<LoadDigest> TakeOthersLoad(TimePoint now);

  // Time between two reports. Grows with the size of the group, so that a hub's traffic stays below
  // 4 KB/s.
  Duration Period(const FleetView& view) const;

 private:
  using PoolSums = std::map<std::uint64_t, std::uint32_t>;

  // The newest digest of a reporting instance, or of the hub that answered.
  struct Received {
    LoadDigest digest;
    TimePoint at;
  };

  std::size_t GroupCount(const FleetView& view) const;
  std::optional<InstanceId> ChooseHub(const FleetView& view, TimePoint now);
  bool IsSilent(const InstanceId& hub, TimePoint now) const;
  PoolSums SumExcept(const InstanceId& excluded, TimePoint now) const;
  void AddUnexpired(const Received& received, TimePoint now, PoolSums& sums) const;
  LoadDigest BuildDigest(const InstanceId& name, const PoolSums& sums);

  InstanceId self_;
  std::uint64_t generation_;
  std::uint64_t sequence_ = 0;
  Revision revision_ = 0;
  std::uint64_t epoch_ = 0;
  Duration lifetime_{};  // of reports and answers
  std::vector<PoolLoad> own_;
  std::map<InstanceId, Received> reports_;
  std::optional<Received> answer_;
  InstanceId hub_;                // received the last report; empty at the top hub
  TimePoint answer_due_;          // hub_ counts as silent when it has not answered by then
  bool awaiting_answer_ = false;  // the last reports to hub_ have no answer yet
  TimePoint first_report_at_;     // arrival of the first of the reports to this instance
  Duration gather_time_{};        // reports are not answered for this long after first_report_at_
  std::map<InstanceId, TimePoint> silent_;  // hubs that did not answer; excluded until this time
  bool changed_ = false;  // the sum may have changed since the last TakeOthersLoad
};

}  // namespace chiverail

#endif  // CHIVERAIL_DIGEST_HUB_H_
