#ifndef CHIVERAIL_CTL_PLATFORM_H_
#define CHIVERAIL_CTL_PLATFORM_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ctl_command.h"
#include "ledger_row.h"
#include "manifest.h"
#include "rows.h"

namespace chiverail {

// The configuration in force, as read from the platform.
struct InForce {
  HeadRow head;  // revision 0 when nothing has been applied yet
  Manifest manifest;
  std::vector<std::string> objects;  // names of the index and of its chunks
};

// The functions below read from the platform. They throw CtlError(kStoreUnavailable) when it does
// not answer, and CtlError(kFailed) for a malformed row.

HeadRow ReadHead(const CtlContext& context);

// Reads the manifest whose index object has the name `hash`.
Manifest ReadManifest(const CtlContext& context, const std::string& hash);

InForce ReadInForce(const CtlContext& context);

// Reads the audit entries from revision `since` on, oldest first.
std::vector<AuditRow> ReadAudit(const CtlContext& context, Revision since);

// Reads the members of all data centres.
std::vector<Member> ReadMembers(const CtlContext& context);

// Reads the lease rows, by instance.
std::map<InstanceId, LeaseRow> ReadLeases(const CtlContext& context);

// Queries an instance for the revision that it has in force; returns 0 when it does not answer.
// Needed because a lease row shows a new revision only after its next renewal.
Revision QueryRevision(const CtlContext& context, const std::string& address);

// Reads the call rows, by "workspace/key".
std::map<std::string, CallRow> ReadCalls(const CtlContext& context);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_PLATFORM_H_
