#ifndef CHIVERAIL_CTL_CALLS_H_
#define CHIVERAIL_CTL_CALLS_H_

#include <string>
#include <vector>

#include "ctl_command.h"
#include "rows.h"

namespace chiverail {

// Sub-commands for calls and for the audit log; the table in ctl_command.cc describes them.
void ShowCalls(const CtlContext& context, const std::vector<std::string>& arguments);
void SettleCall(const CtlContext& context, const std::vector<std::string>& arguments);
void ShowAudit(const CtlContext& context, const std::vector<std::string>& arguments);

// Converts an audit entry to JSON.
nlohmann::json AuditToJson(const AuditRow& entry);

// Formats a Unix time in UTC, such as "2026-11-03 14:05:09Z".
std::string FormatTime(std::uint64_t unix_ms);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_CALLS_H_
