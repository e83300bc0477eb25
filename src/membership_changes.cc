#include <algorithm>
#include <utility>

#include "membership.h"

namespace chiverail {
namespace {

std::uint64_t VersionOf(const TableWriteResult& result, const std::string& key) {
  for (const TableCondition& written : result.versions) {
    if (written.key == key) {
      return written.version;
    }
  }
  return 0;
}

// Removes a member and appends the change to the recent ones.
void RemoveMember(MembersValue& value, const InstanceId& id) {
  auto& members = value.row.members;
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const Member& member) { return member.id == id; });
  if (found == members.end()) {
    return;
  }
  const bool live = found->state == MemberState::kLive;
  AppendChange(value, {value.row.epoch, id,
                       live ? MemberChangeKind::kRemovedLive : MemberChangeKind::kRemovedLeaving});
  members.erase(found);
}

}  // namespace

// Only one change of the own members row may be in flight, and it must start from the latest row.
bool Membership::CanChangeRow(TimePoint now) const {
  return own_row_known_ && now >= next_change_ && !InFlight(Purpose::kChange, self_.data_centre);
}

// Retries have jitter and an exponential back-off, because all instances of a data centre change
// the same row.
void Membership::ScheduleChangeRetry(TimePoint now) {
  next_change_ = now + jitter_.UpTo(change_backoff_);
  change_backoff_ = std::min(2 * change_backoff_, kMaxMembershipRetryDelay);
}

// Returns whether an answer of this era still counts. In a new era what was known of the rows to
// write no longer holds; the jitter keeps the members from writing the row again all at once.
bool Membership::ObserveEra(TableEra era, TimePoint now, MembershipActions& out) {
  if (era <= era_.value_or(0)) {
    const bool current = era == era_.value_or(0);
    era_ = era_.value_or(era);
    return current;
  }
  if (era_) {
    out.push_back(MembershipError{"the table came back from an older copy; its era is now " +
                                  std::to_string(era)});
    own_row_known_ = false;
    lease_version_known_ = false;
    next_change_ = now + jitter_.UpTo(kMembershipRetryDelay);
    next_epoch_poll_[self_.data_centre] = std::min(next_epoch_poll_[self_.data_centre], now);
  }
  era_ = era;
  return true;
}

// Whether nobody has changed the own members row since the table came back from an older copy.
bool Membership::IsRowOfEarlierEra() const {
  return own_value_.row.epoch < FirstNumberOf(era_.value_or(0));
}

std::uint64_t Membership::NextEpoch() const {
  return NextNumber(own_value_.row.epoch, era_.value_or(0));
}

// Adds the members row and its epoch row to a transaction, on condition of the members row's
// version, and starts it.
void Membership::WriteChange(MembersValue value,
                             TableTransaction transaction,
                             Operation operation,
                             TimePoint now,
                             MembershipActions& out) {
  const DataCentreId& data_centre = self_.data_centre;
  transaction.conditions.push_back({MembersKey(data_centre), own_version_});
  transaction.puts.push_back({MembersKey(data_centre), SerializeRow(value)});
  transaction.puts.push_back({EpochKey(data_centre), SerializeRow(EpochRow{value.row.epoch})});
  const std::uint64_t op = Start(Purpose::kChange, data_centre, now);
  operations_[op].lease_sequence = operation.lease_sequence;
  operations_[op].evicted = std::move(operation.evicted);
  pending_value_ = std::move(value);
  own_row_known_ = false;
  out.push_back(WriteRows{op, std::move(transaction)});
}

// Writes the lease and the members row in one transaction, so that no observer ever sees one
// without the other.
void Membership::WriteJoin(TimePoint now, MembershipActions& out) {
  MembersValue value = own_value_;
  value.row.epoch = NextEpoch();
  RemoveMember(value, self_.id);
  value.row.members.push_back(self_);
  AppendChange(value, {value.row.epoch, self_.id, MemberChangeKind::kJoined});
  Operation operation;
  operation.lease_sequence = lease_.StartWrite(now);
  TableTransaction transaction;
  transaction.conditions = {{LeaseKey(self_.id), lease_version_}};
  transaction.puts = {{LeaseKey(self_.id), SerializeRow(LeaseValue(operation.lease_sequence))}};
  lease_version_known_ = false;
  WriteChange(std::move(value), std::move(transaction), std::move(operation), now, out);
}

// Writes the own entry and lease into a row that the table has restored, so that its epoch is
// higher than every epoch before the restore.
void Membership::WriteAgain(TimePoint now, MembershipActions& out) {
  if (lease_version_known_ && !InFlight(Purpose::kRenew, self_.id) &&
      !InFlight(Purpose::kOwnLease, self_.id)) {
    WriteJoin(now, out);
  }
}

void Membership::WriteLeaving(TimePoint now, MembershipActions& out) {
  MembersValue value = own_value_;
  value.row.epoch = NextEpoch();
  for (Member& member : value.row.members) {
    if (member.id == self_.id) {
      member.state = MemberState::kLeaving;
    }
  }
  AppendChange(value, {value.row.epoch, self_.id, MemberChangeKind::kLeaving});
  WriteChange(std::move(value), {}, {}, now, out);
}

// Removes the member and its lease in one transaction. The lease version is a condition, so that a
// renewal with unknown outcome cannot recreate the lease.
void Membership::WriteRelease(TimePoint now, MembershipActions& out) {
  if (!lease_version_known_ || InFlight(Purpose::kRenew, self_.id) ||
      InFlight(Purpose::kOwnLease, self_.id)) {
    return;
  }
  MembersValue value = own_value_;
  value.row.epoch = NextEpoch();
  RemoveMember(value, self_.id);
  TableTransaction transaction;
  transaction.conditions = {{LeaseKey(self_.id), lease_version_}};
  transaction.deletes = {LeaseKey(self_.id)};
  lease_.Reset();
  lease_version_known_ = false;
  WriteChange(std::move(value), std::move(transaction), {}, now, out);
}

// Evicts every watched member whose lease has lapsed. The lease versions are conditions: a renewal
// that took effect after the last read makes the eviction fail.
void Membership::WriteEviction(TimePoint now, MembershipActions& out) {
  if (!IsMember() || !CanChangeRow(now)) {
    return;
  }
  MembersValue value = own_value_;
  value.row.epoch = NextEpoch();
  TableTransaction transaction;
  Operation operation;
  for (auto& [instance, watch] : watches_) {
    if (instance == self_.id || !watch.lapsed) {
      continue;
    }
    RemoveMember(value, instance);
    transaction.conditions.push_back({LeaseKey(instance), watch.version});
    transaction.deletes.push_back(LeaseKey(instance));
    operation.evicted.push_back(instance);
    watch.lapsed = false;
  }
  if (!operation.evicted.empty()) {
    WriteChange(std::move(value), std::move(transaction), std::move(operation), now, out);
  }
}

MembershipActions Membership::OnWrite(std::uint64_t op,
                                      const TableWriteResult& result,
                                      TimePoint now) {
  MembershipActions out;
  const auto found = operations_.find(op);
  if (found == operations_.end()) {
    return out;
  }
  const Operation operation = std::move(found->second);
  operations_.erase(found);
  if (state_ == State::kReleased) {
    return out;
  }
  if (operation.purpose == Purpose::kRenew) {
    OnRenewWritten(operation, result, now, out);
  } else {
    OnChangeWritten(operation, result, now, out);
  }
  const MembershipActions more = Tick(now);
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

// After kConflict or kUnknown the version of the lease row is unknown, so the row is read back.
void Membership::OnRenewWritten(const Operation& operation,
                                const TableWriteResult& result,
                                TimePoint now,
                                MembershipActions& out) {
  if (!IsMember()) {
    return;
  }
  if (result.status == TableStatus::kOk) {
    lease_.OnRenewed(operation.lease_sequence, now);
    lease_version_ = VersionOf(result, LeaseKey(self_.id));
    lease_version_known_ = lease_version_ != 0;
    return;
  }
  lease_.OnRenewFailed(now);
  if (result.status != TableStatus::kUnavailable) {
    lease_version_known_ = false;
    Read(Purpose::kOwnLease, self_.id, now, out);
  }
}

// After a success the written row is the latest one. After any other result the row is read back to
// determine the outcome.
void Membership::OnChangeWritten(const Operation& operation,
                                 const TableWriteResult& result,
                                 TimePoint now,
                                 MembershipActions& out) {
  const DataCentreId& data_centre = self_.data_centre;
  if (result.status != TableStatus::kOk) {
    ScheduleChangeRetry(now);
    if (operation.lease_sequence != 0) {
      lease_.OnRenewFailed(now);
    }
    if (!InFlight(Purpose::kMembers, data_centre)) {
      next_epoch_poll_[data_centre] = now + jitter_.Around(kMembershipRetryDelay);
      Read(Purpose::kMembers, data_centre, now, out);
    }
    return;
  }
  change_backoff_ = kMembershipRetryDelay;
  if (!operation.evicted.empty()) {
    watch_count_ = std::min(2 * watch_count_, kMaxWatchedSuccessors);
  }
  TableRow row{MembersKey(data_centre), VersionOf(result, MembersKey(data_centre)),
               SerializeRow(pending_value_)};
  const bool version_known = row.version != 0;
  row.era = version_known ? EraOf(row.version) : era_.value_or(0);
  row.version = std::max<std::uint64_t>(row.version, 1);
  const bool current = ObserveEra(row.era, now, out);
  OnMembersRow(data_centre, row, operation.started, now, out);
  own_row_known_ = version_known && current;
  if (operation.lease_sequence != 0 && IsMember()) {
    lease_.OnRenewed(operation.lease_sequence, now);
    lease_version_ = VersionOf(result, LeaseKey(self_.id));
    lease_version_known_ = lease_version_ != 0;
  }
}

// The own data centre is always kept, since the lease and the own row do not depend on the
// manifest.
void Membership::SetDataCentres(const std::vector<DataCentreId>& data_centres) {
  std::vector<DataCentreId> followed = {self_.data_centre};
  for (const DataCentreId& data_centre : data_centres) {
    if (data_centre != self_.data_centre) {
      followed.push_back(data_centre);
    }
    target_epoch_.try_emplace(data_centre, 1);
    rows_[data_centre];
  }
  data_centres_ = std::move(followed);
  for (auto it = rows_.begin(); it != rows_.end();) {
    const bool kept =
        std::find(data_centres_.begin(), data_centres_.end(), it->first) != data_centres_.end();
    it = kept ? std::next(it) : rows_.erase(it);
  }
}

}  // namespace chiverail
