#ifndef CHIVERAIL_MEMBERSHIP_H_
#define CHIVERAIL_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet_view.h"
#include "jitter.h"
#include "lease.h"
#include "rows.h"
#include "table_reachability.h"
#include "table_types.h"
#include "types.h"

namespace chiverail {

// Poll interval of the own data centre's epoch; it bounds how long a joining instance waits for a
// handover.
inline constexpr Duration kOwnEpochInterval = seconds(2);
// Poll interval of the epochs of other data centres. Their rows only serve to look up addresses and
// the owners to send slot requests to, which the epoch in the request fences.
inline constexpr Duration kOtherEpochInterval = seconds(5);
// Interval at which the lease of a watched successor is read.
inline constexpr Duration kWatchInterval = seconds(4);
// A longer gap between two reads of a watched lease restarts the observation, so that after an
// outage of the table the holders have time to renew.
inline constexpr Duration kMaxWatchGap = seconds(10);
// First and longest retry delay of a failed change of the members row.
inline constexpr Duration kMembershipRetryDelay = milliseconds(500);
inline constexpr Duration kMaxMembershipRetryDelay = seconds(4);
inline constexpr std::size_t kWatchedSuccessors = 2;
// After each eviction the number of watched successors doubles up to this limit, because instances
// fail in groups (a rack, a data centre), and with two successors each further pair would take
// another 17 s to evict.
inline constexpr std::size_t kMaxWatchedSuccessors = 16;

// Identity of this instance and the data centres whose rows it follows.
struct MembershipSettings {
  Member self;  // `generation` must differ from that of any earlier run under the same id
  std::vector<DataCentreId> data_centres;  // all of the fleet, including the own one
  // Distinguishes runs; operation numbers start above it, so that the result of an operation that
  // an earlier run started is not taken for one of this run.
  std::uint64_t seed = 0;
  Duration operation_timeout = kDefaultTableOperationTimeout;
};

// A members row changed. `steps` holds the row of each epoch since the previous change, oldest
// first and ending with `row`; it is empty when the rows of epochs in between are unknown.
struct MembersChanged {
  DataCentreId data_centre;
  MembersRow row;
  std::vector<MembersRow> steps;
};

// The members row now lists this instance with `generation`.
struct Joined {
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
};

// This instance was evicted. It no longer grants slots and joins again with a new generation.
struct Evicted {
  std::uint64_t epoch = 0;
};

// The members row lists this instance as leaving.
struct MarkedLeaving {
  std::uint64_t epoch = 0;
};

// The lease is released and the members row no longer lists this instance.
struct Released {};

// An error to be logged, such as a malformed row.
struct MembershipError {
  std::string text;
};

using MembershipAction = std::variant<ReadRow,
                                      WriteRows,
                                      MembersChanged,
                                      Joined,
                                      Evicted,
                                      MarkedLeaving,
                                      Released,
                                      MembershipError>;
using MembershipActions = std::vector<MembershipAction>;

// Membership of this instance: its lease, the members rows of all data centres, joining, leaving,
// and the eviction of ring successors whose leases have lapsed (see kLeaseObserverTimeout).
//
// The caller answers every ReadRow and WriteRows at most once with its `op`. An operation without
// an answer after the operation timeout counts as failed: kUnavailable for a read, kUnknown for a
// write. A later answer is ignored.
class Membership {
 public:
  explicit Membership(MembershipSettings settings);

  // Starts the operations that are due at `now`.
  MembershipActions Tick(TimePoint now);

  // Time at which Tick should be called next if no answer arrives before.
  TimePoint NextWake(TimePoint now) const;

  MembershipActions OnRead(std::uint64_t op, const TableReadResult& result, TimePoint now);
  MembershipActions OnWrite(std::uint64_t op, const TableWriteResult& result, TimePoint now);

  // Result of a round of probes about the table; lets an owner keep granting while the table is
  // down for everyone.
  MembershipActions OnReachability(const ReachabilityVerdict& verdict, TimePoint now);

  // A peer reported the epoch of a data centre: polls the epoch at once if it is a higher one.
  MembershipActions OnEpochHint(const DataCentreId& data_centre,
                                std::uint64_t epoch,
                                TimePoint now);

  // Marks this instance as leaving; MarkedLeaving follows.
  MembershipActions Leave(TimePoint now);

  // Removes this instance from the row and releases the lease; Released follows.
  MembershipActions Release(TimePoint now);

  // Sets the data centres to follow, as declared by the manifest in force. The own one is always
  // followed.
  void SetDataCentres(const std::vector<DataCentreId>& data_centres);

  // Revision in force, carried in the lease row.
  void SetRevision(Revision revision) { revision_ = revision; }

  // Whether this instance may act as an owner at `now`; must be checked right before each such
  // action.
  bool MayGrant(TimePoint now) const;

  // Whether the lease is valid and the own members row was confirmed less than kLeaseValidity ago.
  bool HoldsLease(TimePoint now) const;

  // Whether MayGrant holds only by the frozen view, without a valid lease and a confirmed row.
  bool IsFrozen(TimePoint now) const { return !HoldsLease(now) && MayGrant(now); }

  // Whether this instance has seen `instance` leave the members row of its data centre.
  bool HasLeft(const InstanceId& instance) const { return departed_.count(instance) > 0; }

  bool IsMember() const { return state_ == State::kMember || state_ == State::kLeaving; }
  const Member& self() const { return self_; }
  const std::map<DataCentreId, MembersRow>& rows() const { return rows_; }

 private:
  enum class State : std::uint8_t { kJoining, kMember, kLeaving, kReleased };
  enum class Purpose : std::uint8_t { kMembers, kEpoch, kOwnLease, kWatch, kChange, kRenew };
  static constexpr std::array<EnumName<Purpose>, 6> kPurposeNames{{
      {Purpose::kMembers, "the members read"},
      {Purpose::kEpoch, "the epoch read"},
      {Purpose::kOwnLease, "the own lease read"},
      {Purpose::kWatch, "the watched lease read"},
      {Purpose::kChange, "the members change"},
      {Purpose::kRenew, "the lease renewal"},
  }};

  // A table operation that has not been answered yet.
  struct Operation {
    Purpose purpose = Purpose::kMembers;
    std::string subject;  // data centre or instance
    TimePoint started{};
    std::uint64_t lease_sequence = 0;  // of the lease row in the write; 0 without one
    std::vector<InstanceId> evicted;   // instances that the write evicts
  };

  // A lease under observation.
  struct Watch {
    std::uint64_t version = 0;
    TimePoint first_seen{};
    TimePoint last_seen{};
    TimePoint next_read{};
    bool seen = false;
    bool lapsed = false;
  };

  bool InFlight(Purpose purpose, const std::string& subject) const;
  std::uint64_t Start(Purpose purpose, const std::string& subject, TimePoint now);
  void Read(Purpose purpose, const std::string& subject, TimePoint now, MembershipActions& out);
  void EndOverdueOperations(TimePoint now, MembershipActions& out);
  void ScheduleChangeRetry(TimePoint now);
  bool ObserveEra(TableEra era, TimePoint now, MembershipActions& out);
  bool IsRowOfEarlierEra() const;
  std::uint64_t NextEpoch() const;
  void PollEpochs(TimePoint now, MembershipActions& out);
  void TickJoining(TimePoint now, MembershipActions& out);
  void TickMember(TimePoint now, MembershipActions& out);
  void TickWatches(TimePoint now, MembershipActions& out);
  void Renew(TimePoint now, MembershipActions& out);
  bool CanChangeRow(TimePoint now) const;
  void WriteChange(MembersValue value,
                   TableTransaction transaction,
                   Operation operation,
                   TimePoint now,
                   MembershipActions& out);
  void OnChangeWritten(const Operation& operation,
                       const TableWriteResult& result,
                       TimePoint now,
                       MembershipActions& out);
  void OnRenewWritten(const Operation& operation,
                      const TableWriteResult& result,
                      TimePoint now,
                      MembershipActions& out);
  void WriteJoin(TimePoint now, MembershipActions& out);
  void WriteAgain(TimePoint now, MembershipActions& out);
  void WriteLeaving(TimePoint now, MembershipActions& out);
  void WriteRelease(TimePoint now, MembershipActions& out);
  void WriteEviction(TimePoint now, MembershipActions& out);
  void OnMembersRow(const DataCentreId& data_centre,
                    const TableRow& row,
                    TimePoint started,
                    TimePoint now,
                    MembershipActions& out);
  void ApplyOwnRow(TimePoint now, MembershipActions& out);
  void OnEpochRow(const DataCentreId& data_centre,
                  const TableRow& row,
                  TimePoint started,
                  TimePoint now,
                  MembershipActions& out);
  void OnOwnLease(const TableRow& row, TimePoint now, MembershipActions& out);
  void OnWatchedLease(const InstanceId& instance,
                      const TableRow& row,
                      TimePoint started,
                      TimePoint now);
  void UpdateWatches();
  void EndFrozenView(TimePoint now);
  void Rejoin(MembershipActions& out);
  void RecordDepartures(const MembersRow& before, const MembersRow& after);
  LeaseRow LeaseValue(std::uint64_t sequence) const;
  const MembersRow& OwnRow() const;

  Member self_;
  std::vector<DataCentreId> data_centres_;
  Jitter jitter_;
  Lease lease_;
  State state_ = State::kJoining;
  bool leave_requested_ = false;
  bool release_requested_ = false;
  Revision revision_ = 0;

  Duration operation_timeout_;
  std::uint64_t last_op_;
  std::map<std::uint64_t, Operation> operations_;
  std::map<DataCentreId, MembersRow> rows_;
  std::optional<TableEra> era_;  // highest era of the table seen
  MembersValue own_value_;
  MembersValue pending_value_;     // value written by the change in flight
  std::uint64_t own_version_ = 0;  // of the own members row
  bool own_row_known_ = false;     // own_value_ and own_version_ are up to date
  std::map<DataCentreId, TimePoint> next_epoch_poll_;
  std::map<DataCentreId, std::uint64_t> target_epoch_;  // highest known epoch; row is read up to it
  TimePoint row_confirmed_{};         // start of the last read that confirmed the known own row
  bool lease_version_known_ = false;  // lease_version_ is up to date
  std::uint64_t lease_version_ = 0;
  std::map<InstanceId, Watch> watches_;  // while joining, only that of an earlier run's lease
  std::size_t watch_count_ = kWatchedSuccessors;
  std::map<InstanceId, std::uint64_t> departed_;  // instances seen leaving a row, and the epoch
  TimePoint next_change_{};
  Duration change_backoff_ = kMembershipRetryDelay;
  ReachabilityVerdict reachability_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_MEMBERSHIP_H_
