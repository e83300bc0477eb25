#include "config_publisher.h"

#include <algorithm>
#include <utility>

#include "manifest.h"

namespace chiverail {
namespace {

std::string SubjectOf(const ConfigChange& change) {
  if (const auto* take_out = std::get_if<TakeOutDataCentre>(&change)) {
    return "data_centre/" + take_out->data_centre;
  }
  if (const auto* restore = std::get_if<RestoreDataCentre>(&change)) {
    return "data_centre/" + restore->data_centre;
  }
  return "manifest";
}

std::string Describe(const ConfigChange& change) {
  if (const auto* take_out = std::get_if<TakeOutDataCentre>(&change)) {
    return "take out data centre " + take_out->data_centre;
  }
  if (const auto* restore = std::get_if<RestoreDataCentre>(&change)) {
    return "restore data centre " + restore->data_centre;
  }
  return "set manifest " + std::get<SetManifest>(change).hash;
}

}  // namespace

ConfigPublisher::ConfigPublisher(ChangeRequest request, TimePoint now)
    : request_(std::move(request)),
      jitter_(request_.seed),
      deadline_(now + request_.deadline),
      next_try_(now),
      checked_revision_(request_.base) {
  if (!std::holds_alternative<SetManifest>(request_.change)) {
    step_ = Step::kHead;
  }
}

PublishActions ConfigPublisher::Tick(TimePoint now) {
  PublishActions out;
  if (IsDone() || op_in_flight_) {
    return out;
  }
  if (now >= deadline_) {
    FinishWithFailure(out);
    return out;
  }
  if (now < next_try_) {
    return out;
  }
  if (step_ == Step::kObjects) {
    op_in_flight_ = true;
    out.push_back(WriteManifestObjects{std::get<SetManifest>(request_.change).hash});
  } else {
    // After a failed read or write, the head is read again to find the revisions accepted since.
    step_ = Step::kHead;
    StartRead(kHeadKey, out);
  }
  return out;
}

TimePoint ConfigPublisher::NextWake(TimePoint now) const {
  return IsDone() || op_in_flight_ ? TimePoint::max()
                                   : std::max(now, std::min(next_try_, deadline_));
}

void ConfigPublisher::Finish(PublishAction action, PublishActions& out) {
  step_ = Step::kDone;
  out.push_back(std::move(action));
}

void ConfigPublisher::FinishWithFailure(PublishActions& out) {
  if (in_doubt_revision_ != 0) {
    Finish(ChangeOutcomeUnknown{in_doubt_revision_, request_.nonce}, out);
  } else {
    Finish(ChangeNotApplied{failure_reason_}, out);
  }
}

void ConfigPublisher::RetryLater(TimePoint now) {
  next_try_ = now + backoff_ / 2 + jitter_.UpTo(backoff_ / 2);
  backoff_ = std::min(2 * backoff_, kMaxPublishRetryDelay);
}

void ConfigPublisher::StartRead(const std::string& key, PublishActions& out) {
  op_in_flight_ = true;
  out.push_back(ReadRow{++last_op_, key});
}

// The head may name only a manifest whose objects exist, so the head is read and written only after
// the objects have been written.
PublishActions ConfigPublisher::OnObjects(bool written, TimePoint now) {
  PublishActions out;
  if (step_ != Step::kObjects || !op_in_flight_) {
    return out;
  }
  op_in_flight_ = false;
  if (written) {
    step_ = Step::kHead;
    backoff_ = kPublishRetryDelay;
  } else {
    RetryLater(now);
  }
  return Tick(now);
}

PublishActions ConfigPublisher::OnRead(std::uint64_t op,
                                       const TableReadResult& result,
                                       TimePoint now) {
  PublishActions out;
  if (op != last_op_ || !op_in_flight_ || IsDone()) {
    return out;
  }
  op_in_flight_ = false;
  if (result.status != TableStatus::kOk) {
    RetryLater(now);
    return Tick(now);
  }
  if (now >= deadline_) {
    FinishWithFailure(out);
    return out;
  }
  try {
    if (step_ == Step::kHead) {
      OnHeadRead(result.row, out);
    } else {
      OnAuditRead(result.row, out);
    }
  } catch (const InvalidDocument& error) {
    failure_reason_ = "malformed row " + result.row.key + ": " + error.what();
    FinishWithFailure(out);
  }
  return out;
}

void ConfigPublisher::OnHeadRead(const TableRow& row, PublishActions& out) {
  head_ = row.version == 0 ? HeadRow{} : ParseHead(row.value);
  head_version_ = row.version;
  head_era_ = row.era;
  if (!checked_revision_) {
    checked_revision_ = head_.revision;
  }
  if (head_.revision < *checked_revision_) {
    failure_reason_ = "the head has revision " + std::to_string(head_.revision) +
                      ", below revision " + std::to_string(*checked_revision_) +
                      " on which the change is based";
    FinishWithFailure(out);
    return;
  }
  CheckNextRevision(out);
}

// Checks each revision accepted since the base, oldest first. An audit entry with this request's
// nonce shows that a write whose answer was lost took effect. The first revision after a restore of
// the table follows the one that it names as its base. An entry with the same subject is a
// conflict unless the head already contains the change. Entries with other subjects are kept, and
// the change is applied on top of them.
void ConfigPublisher::CheckNextRevision(PublishActions& out) {
  if (*checked_revision_ < head_.revision) {
    step_ = Step::kAudit;
    audit_revision_ = *checked_revision_ + 1;
    StartRead(AuditKey(audit_revision_), out);
  } else if (in_doubt_revision_ == 0 && HeadContainsChange()) {
    Finish(ChangePublished{head_.revision, true}, out);
  } else {
    Write(out);
  }
}

void ConfigPublisher::OnAuditRead(const TableRow& row, PublishActions& out) {
  const Revision revision = audit_revision_;
  const Revision next_era = FirstNumberOf(EraOfNumber(revision) + 1);
  if (row.version == 0 && in_doubt_revision_ != revision && next_era <= head_.revision) {
    audit_revision_ = next_era;
    StartRead(AuditKey(audit_revision_), out);
    return;
  }
  if (row.version == 0) {
    // An entry can be missing only if it was removed by hand. Without it the outcome of a write of
    // this revision remains unknown; if there was none, a conflict is the safe result.
    if (in_doubt_revision_ == revision) {
      FinishWithFailure(out);
    } else {
      Finish(ChangeConflict{head_.revision, head_.author}, out);
    }
    return;
  }
  const AuditRow audit = ParseAudit(row.value);
  if (audit.nonce == request_.nonce) {
    Finish(ChangePublished{revision, false}, out);
    return;
  }
  if (audit.from != *checked_revision_) {
    // The restore has lost revisions that this change is based on.
    Finish(ChangeConflict{revision, audit.author}, out);
    return;
  }
  if (in_doubt_revision_ == revision) {
    // Another change has this revision, so the write can no longer succeed.
    in_doubt_revision_ = 0;
  }
  if (audit.subject == SubjectOf(request_.change)) {
    if (HeadContainsChange()) {
      Finish(ChangePublished{head_.revision, true}, out);
    } else {
      Finish(ChangeConflict{revision, audit.author}, out);
    }
    return;
  }
  checked_revision_ = revision;
  CheckNextRevision(out);
}

bool ConfigPublisher::HeadContainsChange() const {
  const HeadRow changed = HeadWithChange();
  return head_.revision != 0 && changed.manifest_hash == head_.manifest_hash &&
         changed.data_centres_out == head_.data_centres_out;
}

HeadRow ConfigPublisher::HeadWithChange() const {
  HeadRow changed = head_;
  changed.revision = NextNumber(head_.revision, head_era_);
  changed.author = request_.author;
  changed.nonce = request_.nonce;
  if (const auto* manifest = std::get_if<SetManifest>(&request_.change)) {
    changed.manifest_hash = manifest->hash;
  } else if (const auto* take_out = std::get_if<TakeOutDataCentre>(&request_.change)) {
    changed.data_centres_out.insert(take_out->data_centre);
  } else if (const auto* restore = std::get_if<RestoreDataCentre>(&request_.change)) {
    changed.data_centres_out.erase(restore->data_centre);
  }
  return changed;
}

// Writes the head and its audit entry in one transaction. A retry after a lost answer has the same
// conditions, so at most one of the writes takes effect.
void ConfigPublisher::Write(PublishActions& out) {
  step_ = Step::kWrite;
  op_in_flight_ = true;
  const HeadRow head = HeadWithChange();
  AuditRow audit;
  audit.author = request_.author;
  audit.at_unix_ms = request_.at_unix_ms;
  audit.from = head_.revision;
  audit.to = head.revision;
  audit.subject = SubjectOf(request_.change);
  audit.change =
      Describe(request_.change) + (request_.summary.empty() ? "" : ": " + request_.summary);
  audit.manifest_hash = head.manifest_hash;
  audit.nonce = request_.nonce;
  TableTransaction transaction;
  transaction.conditions = {{kHeadKey, head_version_}, {AuditKey(head.revision), 0}};
  transaction.puts = {{kHeadKey, SerializeRow(head)},
                      {AuditKey(head.revision), SerializeRow(audit)}};
  out.push_back(WriteRows{++last_op_, std::move(transaction)});
}

PublishActions ConfigPublisher::OnWrite(std::uint64_t op,
                                        const TableWriteResult& result,
                                        TimePoint now) {
  PublishActions out;
  if (op != last_op_ || !op_in_flight_ || step_ != Step::kWrite) {
    return out;
  }
  op_in_flight_ = false;
  if (result.status == TableStatus::kOk) {
    Finish(ChangePublished{NextNumber(head_.revision, head_era_), false}, out);
    return out;
  }
  if (result.status == TableStatus::kUnknown) {
    in_doubt_revision_ = NextNumber(head_.revision, head_era_);
  }
  step_ = Step::kHead;
  RetryLater(now);
  return Tick(now);
}

}  // namespace chiverail
