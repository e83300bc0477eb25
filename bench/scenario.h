#ifndef CHIVERAIL_BENCH_SCENARIO_H_
#define CHIVERAIL_BENCH_SCENARIO_H_

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "fleet_view.h"
#include "types.h"

namespace chiverail::bench {

enum class Site : std::uint8_t { kEmmental, kCaledonian };
inline constexpr std::array<EnumName<Site>, 2> kSiteNames{{
    {Site::kEmmental, "emmental"},
    {Site::kCaledonian, "caledonian"},
}};

enum class Scenario : std::uint8_t {
  kSteady,
  kEngineChurn,
  kDataCentreLeaveReturn,
  kWorkspaceSurge,
  kStoreOutage,
};
inline constexpr std::array<EnumName<Scenario>, 5> kScenarioNames{{
    {Scenario::kSteady, "steady"},
    {Scenario::kEngineChurn, "engine_churn"},
    {Scenario::kDataCentreLeaveReturn, "data_centre_leave_return"},
    {Scenario::kWorkspaceSurge, "workspace_surge"},
    {Scenario::kStoreOutage, "store_outage"},
}};

enum class PolicyKind : std::uint8_t { kProduct, kNaive, kPerfect };
inline constexpr std::array<EnumName<PolicyKind>, 3> kPolicyNames{{
    {PolicyKind::kProduct, "product"},
    {PolicyKind::kNaive, "naive"},
    {PolicyKind::kPerfect, "perfect"},
}};

// Measurement window. The caches fill before it starts.
inline constexpr TimePoint kMeasureFrom{seconds(180)};
inline constexpr TimePoint kMeasureTo{seconds(660)};
// End of the simulation; requests still running at kMeasureTo can finish until then.
inline constexpr TimePoint kRunEnd{seconds(780)};

// Start and end of the store outage; the table accepts no writes in between.
inline constexpr TimePoint kOutageFrom{seconds(240)};
inline constexpr TimePoint kOutageTo{seconds(480)};

// Size and load of a site.
struct SiteSize {
  int engines = 0;
  int instances = 0;
  int data_centres = 3;
  int chats = 0;
  int workspaces = 10;
  double requests_per_s = 0;
};

// A change of the fleet at a given time.
struct FleetChange {
  enum class Kind : std::uint8_t {
    kView,             // `state` is committed; instances receive it with their next poll
    kEngineCold,       // `subject` restarts with an empty cache; its requests continue
    kEngineStops,      // `subject` stops; requests still running there are cut
    kInstanceStops,    // `subject` completes its planned stop; its open requests are cut
    kInstanceCrashes,  // `subject` stops at once; callers resume their streams elsewhere
    kInstanceStarts,   // `subject` starts again without any state
    kTableDown,        // the table is unavailable until kOutageTo
  };
  TimePoint time;
  Kind kind = Kind::kView;
  std::string subject;
  std::uint64_t generation = 0;  // kInstanceStarts: generation of the new run
  FleetState state;
};

// One simulated run: a site and the changes of its fleet.
struct Plan {
  Site site = Site::kEmmental;
  Scenario scenario = Scenario::kSteady;
  SiteSize size;
  FleetState initial;
  std::vector<FleetChange> changes;  // in order of time
};

// Returns the size and load of a site.
SiteSize SizeOf(Site site);

// Builds the state of a fleet whose engines and instances are spread evenly over the data centres.
FleetState BuildFleet(const std::string& name, const SiteSize& size);

// Builds the plan of a scenario at a site.
Plan BuildPlan(Site site, Scenario scenario);

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_SCENARIO_H_
