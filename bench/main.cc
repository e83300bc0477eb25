#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "hash.h"
#include "policies.h"
#include "product_policy.h"
#include "report.h"
#include "scenario.h"
#include "slopes.h"
#include "trace.h"
#include "world.h"

ABSL_FLAG(std::string, site, "", "run only this site; all if empty");
ABSL_FLAG(std::string, scenario, "", "run only this scenario; all if empty");
ABSL_FLAG(std::string, policy, "", "run only this policy; all if empty");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the generated traces");
ABSL_FLAG(std::string, json, "", "write the results to this file as JSON");
ABSL_FLAG(bool,
          signature,
          false,
          "run only the product policy and print the hash of its decisions");
ABSL_FLAG(bool,
          slopes,
          false,
          "measure how costs grow with the size of the fleet, instead of running the scenarios");

namespace chiverail::bench {
namespace {

// Simulates one policy on the turns of a plan.
template <typename Policy>
RunResult RunPolicy(const Plan& plan, const std::vector<TraceTurn>& turns, std::uint64_t seed) {
  World world(plan, turns);
  Policy policy(world, seed);
  world.Run([&](std::uint32_t turn) { policy.OnArrival(turn); },
            [&](const FleetChange& change) { policy.OnChange(change); });
  RunResult result = world.Finish();
  policy.Complete(result);
  return result;
}

// An empty filter selects all names.
bool Selected(const std::string& filter, std::string_view name) {
  return filter.empty() || filter == name;
}

// Simulates the selected policies on one plan.
void RunPlan(const Plan& plan, std::vector<RunResult>& results) {
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  const std::string policy_filter =
      absl::GetFlag(FLAGS_signature) ? "product" : absl::GetFlag(FLAGS_policy);
  const std::vector<TraceTurn> turns = BuildTrace(plan, seed);
  const auto run = [&](PolicyKind kind, auto runner) {
    if (Selected(policy_filter, NameOf(kPolicyNames, kind))) {
      results.push_back(runner(plan, turns, seed));
      results.back().policy = NameOf(kPolicyNames, kind);
    }
  };
  run(PolicyKind::kProduct, RunPolicy<ProductPolicy>);
  run(PolicyKind::kNaive, RunPolicy<NaivePolicy>);
  run(PolicyKind::kPerfect, RunPolicy<PerfectPolicy>);
}

// Combined hash of the product policy's decisions in all runs.
std::string Signature(const std::vector<RunResult>& results) {
  std::uint64_t hash = 0;
  for (const RunResult& result : results) {
    if (result.policy == NameOf(kPolicyNames, PolicyKind::kProduct)) {
      hash = CombineHashes(hash, result.decisions_hash);
    }
  }
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << hash;
  return text.str();
}

int Main() {
  if (absl::GetFlag(FLAGS_slopes)) {
    std::cout << MeasureSlopes();
    return 0;
  }
  std::vector<RunResult> results;
  for (const auto& site : kSiteNames) {
    for (const auto& scenario : kScenarioNames) {
      if (Selected(absl::GetFlag(FLAGS_site), site.name) &&
          Selected(absl::GetFlag(FLAGS_scenario), scenario.name)) {
        RunPlan(BuildPlan(site.value, scenario.value), results);
      }
    }
  }
  const std::string signature = Signature(results);
  if (absl::GetFlag(FLAGS_signature)) {
    std::cout << signature << "\n";
    return 0;
  }
  std::cout << FormatTable(results) << FormatTargets(results) << "signature " << signature << "\n";
  const std::string path = absl::GetFlag(FLAGS_json);
  if (!path.empty()) {
    std::ofstream(path) << FormatJson(signature, results);
  }
  return 0;
}

}  // namespace
}  // namespace chiverail::bench

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Simulates fleets and compares the product's routing with a naive and a perfect policy.");
  absl::ParseCommandLine(argc, argv);
  return chiverail::bench::Main();
}
