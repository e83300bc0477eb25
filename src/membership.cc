#include "membership.h"

#include <algorithm>
#include <utility>

#include "manifest.h"

namespace chiverail {
namespace {

// Departed instances kept at most; enough for a failed data centre.
constexpr std::size_t kMaxDeparted = 512;

const Member* Find(const MembersRow& row, const InstanceId& id) {
  for (const Member& member : row.members) {
    if (member.id == id) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace

Membership::Membership(MembershipSettings settings)
    : self_(std::move(settings.self)),
      data_centres_(std::move(settings.data_centres)),
      jitter_(settings.seed),
      lease_(settings.seed + 1),
      operation_timeout_(settings.operation_timeout),
      last_op_(settings.seed) {
  for (const DataCentreId& data_centre : data_centres_) {
    rows_[data_centre];
    target_epoch_[data_centre] = 1;
  }
}

const MembersRow& Membership::OwnRow() const {
  return rows_.at(self_.data_centre);
}

bool Membership::HoldsLease(TimePoint now) const {
  return IsMember() && lease_.IsValid(now) && now < row_confirmed_ + kLeaseValidity;
}

// The frozen view is available only to members: an instance that never joined owns no engine.
bool Membership::MayGrant(TimePoint now) const {
  return HoldsLease(now) || (IsMember() && now < reachability_.owner_frozen_until);
}

bool Membership::InFlight(Purpose purpose, const std::string& subject) const {
  for (const auto& [op, operation] : operations_) {
    if (operation.purpose == purpose && operation.subject == subject) {
      return true;
    }
  }
  return false;
}

std::uint64_t Membership::Start(Purpose purpose, const std::string& subject, TimePoint now) {
  Operation operation;
  operation.purpose = purpose;
  operation.subject = subject;
  operation.started = now;
  operations_[++last_op_] = std::move(operation);
  return last_op_;
}

void Membership::Read(Purpose purpose,
                      const std::string& subject,
                      TimePoint now,
                      MembershipActions& out) {
  std::string key = LeaseKey(subject);
  if (purpose == Purpose::kMembers) {
    key = MembersKey(subject);
  } else if (purpose == Purpose::kEpoch) {
    key = EpochKey(subject);
  }
  out.push_back(ReadRow{Start(purpose, subject, now), std::move(key)});
}

MembershipActions Membership::Tick(TimePoint now) {
  MembershipActions out;
  if (state_ == State::kReleased) {
    return out;
  }
  EndOverdueOperations(now, out);
  PollEpochs(now, out);
  if (IsMember()) {
    TickMember(now, out);
  } else {
    TickJoining(now, out);
  }
  return out;
}

// Operations of one purpose exclude each other, so one that is never answered would stop polls,
// renewals and changes for good.
void Membership::EndOverdueOperations(TimePoint now, MembershipActions& out) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [op, operation] : operations_) {
    if (now >= operation.started + operation_timeout_) {
      overdue.push_back(op);
    }
  }
  for (const std::uint64_t op : overdue) {
    const Operation operation = std::move(operations_.at(op));
    operations_.erase(op);
    out.push_back(MembershipError{"no result of " +
                                  std::string(NameOf(kPurposeNames, operation.purpose)) + " for " +
                                  operation.subject});
    if (operation.purpose == Purpose::kRenew) {
      OnRenewWritten(operation, {TableStatus::kUnknown, {}}, now, out);
    } else if (operation.purpose == Purpose::kChange) {
      OnChangeWritten(operation, {TableStatus::kUnknown, {}}, now, out);
    }
  }
}

// Reads the small epoch rows, and a whole members row only when its epoch has changed.
void Membership::PollEpochs(TimePoint now, MembershipActions& out) {
  for (const DataCentreId& data_centre : data_centres_) {
    const bool busy =
        InFlight(Purpose::kMembers, data_centre) || InFlight(Purpose::kEpoch, data_centre);
    if (busy || now < next_epoch_poll_[data_centre]) {
      continue;
    }
    const bool own = data_centre == self_.data_centre;
    const bool stale = target_epoch_[data_centre] > rows_[data_centre].epoch;
    Read(stale || (own && !own_row_known_) ? Purpose::kMembers : Purpose::kEpoch, data_centre, now,
         out);
    next_epoch_poll_[data_centre] =
        now + jitter_.Around(own ? kOwnEpochInterval : kOtherEpochInterval);
  }
}

// A new run under the same id waits until the lease of the earlier run has been released, deleted
// by an eviction, or unchanged for kLeaseObserverTimeout: the earlier run may be paused and still
// hold a valid lease by its own clock.
void Membership::TickJoining(TimePoint now, MembershipActions& out) {
  if (release_requested_ && !InFlight(Purpose::kChange, self_.data_centre)) {
    state_ = State::kReleased;
    out.push_back(Released{});
    return;
  }
  if (InFlight(Purpose::kChange, self_.data_centre) || now < next_change_) {
    return;
  }
  Watch& earlier = watches_[self_.id];
  if (now >= earlier.next_read && !InFlight(Purpose::kOwnLease, self_.id)) {
    earlier.next_read = now + kOwnEpochInterval;
    Read(Purpose::kOwnLease, self_.id, now, out);
  }
  if (lease_version_known_ && earlier.lapsed && CanChangeRow(now)) {
    WriteJoin(now, out);
  }
}

void Membership::TickMember(TimePoint now, MembershipActions& out) {
  if (CanChangeRow(now)) {
    if (release_requested_) {
      WriteRelease(now, out);
    } else if (IsRowOfEarlierEra()) {
      WriteAgain(now, out);
    } else if (leave_requested_ && state_ == State::kMember) {
      WriteLeaving(now, out);
    }
  }
  Renew(now, out);
  TickWatches(now, out);
}

// The own lease row is read only to determine the unknown outcome of a write. While the read is in
// flight, neither another renewal nor a release may start.
void Membership::Renew(TimePoint now, MembershipActions& out) {
  const bool busy = InFlight(Purpose::kOwnLease, self_.id) || InFlight(Purpose::kRenew, self_.id) ||
                    ((release_requested_ || !lease_version_known_) &&
                     InFlight(Purpose::kChange, self_.data_centre));
  if (busy) {
    return;
  }
  if (!lease_version_known_) {
    Watch& own = watches_[self_.id];
    if (now >= own.next_read) {
      own.next_read = now + jitter_.Around(kMembershipRetryDelay);
      Read(Purpose::kOwnLease, self_.id, now, out);
    }
    return;
  }
  if (own_row_known_ && IsRowOfEarlierEra()) {
    return;  // WriteAgain renews the lease together with the row
  }
  const LeaseAction action = lease_.NextAction(now);
  const auto* renew = std::get_if<LeaseRenew>(&action);
  if (renew == nullptr) {
    return;
  }
  const std::uint64_t op = Start(Purpose::kRenew, self_.id, now);
  operations_[op].lease_sequence = renew->sequence;
  TableTransaction transaction;
  transaction.conditions = {{LeaseKey(self_.id), lease_version_}};
  transaction.puts = {{LeaseKey(self_.id), SerializeRow(LeaseValue(renew->sequence))}};
  out.push_back(WriteRows{op, std::move(transaction)});
}

LeaseRow Membership::LeaseValue(std::uint64_t sequence) const {
  return {self_.generation, sequence, revision_};
}

TimePoint Membership::NextWake(TimePoint now) const {
  if (state_ == State::kReleased) {
    return TimePoint::max();
  }
  // The retry delay is the shortest period after which an operation becomes due; more frequent
  // wake-ups would advance an operation by less than the jitter.
  return now + kMembershipRetryDelay / 2;
}

MembershipActions Membership::OnRead(std::uint64_t op,
                                     const TableReadResult& result,
                                     TimePoint now) {
  MembershipActions out;
  const auto found = operations_.find(op);
  if (found == operations_.end()) {
    return out;
  }
  const Operation operation = std::move(found->second);
  operations_.erase(found);
  if (result.status != TableStatus::kOk || state_ == State::kReleased) {
    return out;
  }
  if (!ObserveEra(result.row.era, now, out)) {
    return out;
  }
  EndFrozenView(now);
  try {
    switch (operation.purpose) {
      case Purpose::kMembers:
        OnMembersRow(operation.subject, result.row, operation.started, now, out);
        break;
      case Purpose::kEpoch:
        OnEpochRow(operation.subject, result.row, operation.started, now, out);
        break;
      case Purpose::kOwnLease:
        OnOwnLease(result.row, now, out);
        OnWatchedLease(self_.id, result.row, operation.started, now);
        break;
      case Purpose::kWatch:
        OnWatchedLease(operation.subject, result.row, operation.started, now);
        WriteEviction(now, out);
        break;
      default:
        break;
    }
  } catch (const InvalidDocument& error) {
    out.push_back(MembershipError{"malformed row " + result.row.key + ": " + error.what()});
  }
  const MembershipActions more = Tick(now);
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

// A row older than the known one is ignored: its read was overtaken by a later one. Only a row that
// nobody has changed since a restore of the table may be older; it is to be written again and
// confirms nothing.
void Membership::OnMembersRow(const DataCentreId& data_centre,
                              const TableRow& row,
                              TimePoint started,
                              TimePoint now,
                              MembershipActions& out) {
  MembersValue value;
  if (row.version != 0) {
    value = ParseMembers(row.value, data_centre);
  }
  MembersRow& known = rows_[data_centre];
  const std::uint64_t first_of_era = FirstNumberOf(era_.value_or(0));
  const bool restored = std::max(value.row.epoch, known.epoch) < first_of_era;
  if (row.era < era_.value_or(0) || (value.row.epoch < known.epoch && !restored)) {
    return;
  }
  target_epoch_[data_centre] = value.row.epoch;
  const bool own = data_centre == self_.data_centre;
  if (own) {
    own_value_ = value;
    own_version_ = row.version;
    own_row_known_ = true;
    row_confirmed_ = restored ? row_confirmed_ : std::max(row_confirmed_, started);
  }
  if (value.row.epoch > known.epoch) {
    RecordDepartures(known, value.row);
    const std::uint64_t before = known.epoch;
    known = value.row;
    out.push_back(MembersChanged{data_centre, known, RowsSince(value, before)});
  }
  if (own) {
    ApplyOwnRow(now, out);
  }
}

void Membership::RecordDepartures(const MembersRow& before, const MembersRow& after) {
  for (const Member& member : before.members) {
    if (Find(after, member.id) == nullptr) {
      departed_[member.id] = after.epoch;
    }
  }
  for (const Member& member : after.members) {
    departed_.erase(member.id);
  }
  while (departed_.size() > kMaxDeparted) {
    departed_.erase(departed_.begin());
  }
}

// Updates the state of this instance from its entry in the own members row, which is
// authoritative.
void Membership::ApplyOwnRow(TimePoint now, MembershipActions& out) {
  const Member* listed = Find(OwnRow(), self_.id);
  const bool present = listed != nullptr && listed->generation == self_.generation;
  if (!present && release_requested_ && IsMember()) {
    state_ = State::kReleased;
    lease_.Reset();
    out.push_back(Released{});
    return;
  }
  if (!present && IsMember()) {
    Rejoin(out);
    return;
  }
  if (present && state_ == State::kJoining) {
    state_ = State::kMember;
    self_.state = MemberState::kLive;
    change_backoff_ = kMembershipRetryDelay;
    out.push_back(Joined{self_.generation, OwnRow().epoch});
  }
  if (present && listed->state == MemberState::kLeaving && state_ == State::kMember) {
    state_ = State::kLeaving;
    self_.state = MemberState::kLeaving;
    out.push_back(MarkedLeaving{OwnRow().epoch});
  }
  if (IsMember()) {
    UpdateWatches();
    next_change_ = std::min(next_change_, now + kMaxMembershipRetryDelay);
  }
}

// The next generation starts without a lease, so this instance may not grant slots until it has
// joined.
void Membership::Rejoin(MembershipActions& out) {
  out.push_back(Evicted{OwnRow().epoch});
  ++self_.generation;
  self_.state = MemberState::kLive;
  state_ = State::kJoining;
  lease_.Reset();
  lease_version_known_ = false;
  reachability_ = ReachabilityVerdict{};
  watches_.clear();
}

void Membership::OnEpochRow(const DataCentreId& data_centre,
                            const TableRow& row,
                            TimePoint started,
                            TimePoint now,
                            MembershipActions& out) {
  const std::uint64_t epoch = row.version == 0 ? 0 : ParseEpoch(row.value).epoch;
  const MembersRow& known = rows_[data_centre];
  const bool own = data_centre == self_.data_centre;
  const bool restored = own && known.epoch < FirstNumberOf(era_.value_or(0));
  if (epoch > known.epoch || restored) {
    target_epoch_[data_centre] = std::max(target_epoch_[data_centre], epoch);
    if (!InFlight(Purpose::kMembers, data_centre)) {
      Read(Purpose::kMembers, data_centre, now, out);
    }
  } else if (epoch == known.epoch && own) {
    row_confirmed_ = std::max(row_confirmed_, started);
  }
}

MembershipActions Membership::OnEpochHint(const DataCentreId& data_centre,
                                          std::uint64_t epoch,
                                          TimePoint now) {
  MembershipActions out;
  const auto known = rows_.find(data_centre);
  if (known != rows_.end() && epoch > known->second.epoch && state_ != State::kReleased &&
      !InFlight(Purpose::kMembers, data_centre) && !InFlight(Purpose::kEpoch, data_centre)) {
    Read(Purpose::kEpoch, data_centre, now, out);
  }
  return out;
}

// Recovers from a lost answer: the sequence in the row tells which write took effect. A row of
// another generation means that a newer run has taken over.
void Membership::OnOwnLease(const TableRow& row, TimePoint now, MembershipActions& out) {
  if (InFlight(Purpose::kRenew, self_.id) || InFlight(Purpose::kChange, self_.data_centre)) {
    return;
  }
  const LeaseRow lease = row.version == 0 ? LeaseRow{} : ParseLease(row.value);
  lease_version_ = row.version;
  if (!IsMember()) {
    lease_version_known_ = true;
    return;
  }
  if (row.version != 0 && lease.generation == self_.generation) {
    lease_version_known_ = true;
    lease_.OnRenewed(lease.sequence, now);
  } else if (row.version != 0) {
    Rejoin(out);
  } else if (own_row_known_ && IsRowOfEarlierEra()) {
    lease_version_known_ = true;  // lost by the restore: an eviction would have changed the row
  } else if (!InFlight(Purpose::kMembers, self_.data_centre)) {
    // Deleted by an eviction; the members row must then show it.
    own_row_known_ = false;
    Read(Purpose::kMembers, self_.data_centre, now, out);
  }
}

// Once the table is reachable, only the lease and a confirmed row count: other instances may have
// changed the row while this one could not read it.
void Membership::EndFrozenView(TimePoint now) {
  if (reachability_.owner_frozen_until != TimePoint{}) {
    reachability_ = ReachabilityVerdict{};
    next_epoch_poll_[self_.data_centre] = std::min(next_epoch_poll_[self_.data_centre], now);
  }
  lease_.RenewNowIfLapsed(now);
}

MembershipActions Membership::OnReachability(const ReachabilityVerdict& verdict, TimePoint now) {
  MembershipActions out;
  if (verdict.evicted && IsMember() && !HoldsLease(now)) {
    Rejoin(out);
  } else {
    reachability_ = verdict;
  }
  return out;
}

MembershipActions Membership::Leave(TimePoint now) {
  leave_requested_ = true;
  next_change_ = now;
  return Tick(now);
}

MembershipActions Membership::Release(TimePoint now) {
  release_requested_ = true;
  next_change_ = now;
  return Tick(now);
}

}  // namespace chiverail
