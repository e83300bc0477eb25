#ifndef CHIVERAIL_TESTS_SIM_REPORT_H_
#define CHIVERAIL_TESTS_SIM_REPORT_H_

#include <array>
#include <cstdint>
#include <string>

#include "types.h"

namespace chiverail {

// Faults that a schedule can contain.
enum class Fault : std::uint8_t {
  kKill,
  kRestart,      // killed and started again under the same id
  kPause,        // for up to about twice the validity of a lease
  kCutTable,     // one instance cannot reach the table
  kCutPeers,     // one instance cannot reach its peers
  kCutBoth,      // one instance can reach neither the table nor its peers
  kTableDown,    // for everyone
  kTableSlow,    // some operations outlast the client's timeout and take effect later
  kLostAnswers,  // half of the answers to writes are lost
  kLostMessages,
  kObjectsDown,
  kJoin,
  kLeave,
  kTableFlaps,     // the table refuses operations in every other second
  kCutDataCentre,  // dc2 reaches neither the platform nor dc1
  kCount,          // number of faults that ScheduleFaults picks from
  kCutMajority,    // cuts three of the four instances of dc1; only scheduled to show the known gap
};

inline constexpr std::array<EnumName<Fault>, 16> kFaultNames{{
    {Fault::kKill, "kill"},
    {Fault::kRestart, "restart"},
    {Fault::kPause, "pause"},
    {Fault::kCutTable, "cut_table"},
    {Fault::kCutPeers, "cut_peers"},
    {Fault::kCutBoth, "cut_both"},
    {Fault::kTableDown, "table_down"},
    {Fault::kTableSlow, "table_slow"},
    {Fault::kLostAnswers, "lost_answers"},
    {Fault::kLostMessages, "lost_messages"},
    {Fault::kObjectsDown, "objects_down"},
    {Fault::kJoin, "join"},
    {Fault::kLeave, "leave"},
    {Fault::kTableFlaps, "table_flaps"},
    {Fault::kCutDataCentre, "cut_data_centre"},
    {Fault::kCutMajority, "cut_majority"},
}};

// Violations and other counts of a run. A grant or a configuration is in the known gap (section 4.6
// of the design) when it relies on the frozen view while more than half of the members could not
// reach the table. Violations in the gap are counted separately.
struct SimReport {
  int dual_grants = 0;
  int dual_grants_in_gap = 0;
  int stale = 0;
  int stale_in_gap = 0;
  int stale_unfetchable = 0;  // the object store failed before any instance fetched the manifest
  int reverts = 0;
  int reverts_in_gap = 0;  // the table went down before a second instance had read the revision
  int out_ignored = 0;
  int missing_audits = 0;
  int naive_dual_grants = 0;
  int naive_stale = 0;
  int naive_reverts = 0;
  std::uint64_t grant_checks = 0;
  std::uint64_t granted = 0;  // of grant_checks
  std::uint64_t frozen_grants = 0;
  Revision revisions = 0;
  std::string first_violation;  // description of the first violation, for failure messages
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_SIM_REPORT_H_
