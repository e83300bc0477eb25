#ifndef CHIVERAIL_CONFIG_PUBLISHER_H_
#define CHIVERAIL_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jitter.h"
#include "rows.h"
#include "table_types.h"
#include "types.h"

namespace chiverail {

inline constexpr Duration kPublishRetryDelay = milliseconds(200);
inline constexpr Duration kMaxPublishRetryDelay = seconds(2);

// Puts a new manifest in force. Its objects are written before the head.
struct SetManifest {
  std::string hash;
};

// Takes a data centre out of service.
struct TakeOutDataCentre {
  DataCentreId data_centre;
};

// Takes a data centre back into service.
struct RestoreDataCentre {
  DataCentreId data_centre;
};

using ConfigChange = std::variant<SetManifest, TakeOutDataCentre, RestoreDataCentre>;

// A configuration change requested by an operator.
struct ChangeRequest {
  ConfigChange change;
  std::string author;
  std::uint64_t at_unix_ms = 0;  // for the audit entry
  std::string summary;           // for the audit entry: short text on the differences; may be empty
  std::string nonce;             // unique to this request
  std::optional<Revision> base;  // revision the change is based on; the first head read if unset
  Duration deadline = seconds(30);
  std::uint64_t seed = 0;
};

// Requests that the objects of the manifest be written; answered by OnObjects.
struct WriteManifestObjects {
  std::string hash;
};

// The change is accepted as `revision`. `unchanged` is set when the head already contained the
// change and nothing was written.
struct ChangePublished {
  Revision revision = 0;
  bool unchanged = false;
};

// Another change of the same subject (the manifest or the same data centre) was accepted first.
struct ChangeConflict {
  Revision revision = 0;  // of the accepted change
  std::string author;     // of the accepted change
};

// Neither the head nor an audit entry was written, and neither will be.
struct ChangeNotApplied {
  std::string reason;
};

// The deadline passed while the outcome of a write was unknown. The nonce in the audit entry of
// `revision` shows whether the change was accepted.
struct ChangeOutcomeUnknown {
  Revision revision = 0;
  std::string nonce;
};

using PublishAction = std::variant<WriteManifestObjects,
                                   ReadRow,
                                   WriteRows,
                                   ChangePublished,
                                   ChangeConflict,
                                   ChangeNotApplied,
                                   ChangeOutcomeUnknown>;
using PublishActions = std::vector<PublishAction>;

// State machine of one configuration change: writes the objects, then the head and the audit entry
// in one transaction. Changes of different subjects (the manifest, each data centre) are reapplied
// on top of each other; a second change of the same subject is a conflict.
//
// Each action but the last is answered once. The caller applies a timeout and reports an operation
// without an answer as kUnavailable (read) or kUnknown (write).
class ConfigPublisher {
 public:
  ConfigPublisher(ChangeRequest request, TimePoint now);

  PublishActions Tick(TimePoint now);
  TimePoint NextWake(TimePoint now) const;
  PublishActions OnObjects(bool written, TimePoint now);
  PublishActions OnRead(std::uint64_t op, const TableReadResult& result, TimePoint now);
  PublishActions OnWrite(std::uint64_t op, const TableWriteResult& result, TimePoint now);

  // Whether the final result has been returned.
  bool IsDone() const { return step_ == Step::kDone; }

 private:
  enum class Step : std::uint8_t {
    kObjects,  // writing the objects
    kHead,     // reading the head
    kAudit,    // reading the audit entries of revisions accepted since the base
    kWrite,    // transaction in flight
    kDone,
  };

  void Finish(PublishAction action, PublishActions& out);
  void FinishWithFailure(PublishActions& out);
  void RetryLater(TimePoint now);
  void StartRead(const std::string& key, PublishActions& out);
  void OnHeadRead(const TableRow& row, PublishActions& out);
  void OnAuditRead(const TableRow& row, PublishActions& out);
  void CheckNextRevision(PublishActions& out);
  void Write(PublishActions& out);
  bool HeadContainsChange() const;
  HeadRow HeadWithChange() const;

  ChangeRequest request_;
  Jitter jitter_;
  TimePoint deadline_;
  Step step_ = Step::kObjects;
  bool op_in_flight_ = false;
  TimePoint next_try_{};
  Duration backoff_ = kPublishRetryDelay;
  std::uint64_t last_op_ = 0;

  HeadRow head_;  // latest head read
  std::uint64_t head_version_ = 0;
  TableEra head_era_ = 0;                     // of the table when the head was read
  Revision audit_revision_ = 0;               // whose audit entry is read
  std::optional<Revision> checked_revision_;  // no change of the same subject up to this revision
  Revision in_doubt_revision_ = 0;            // of a write whose outcome is unknown, or 0
  std::string failure_reason_ = "the table or the object store is unavailable";
};

}  // namespace chiverail

#endif  // CHIVERAIL_CONFIG_PUBLISHER_H_
