#include "scenario.h"

#include <algorithm>
#include <utility>

namespace chiverail::bench {
namespace {

using Kind = FleetChange::Kind;

// Times after the start of a planned stop: removal from the members row, and the end of the stop.
constexpr int kRemoveMemberSeconds = 35;
constexpr int kDrainSeconds = 80;

std::string Numbered(const std::string& prefix, int number) {
  return prefix + (number < 10 ? "0" : "") + std::to_string(number);
}

Upstream BuildEngine(const std::string& id, int data_centre) {
  Upstream engine;
  engine.id = id;
  engine.data_centre = Numbered("dc", data_centre);
  engine.address = "10.0.0.1:9000";
  engine.model = "writer";
  engine.version = "1";
  engine.cold_limit = 6;
  return engine;
}

// Builds the changes of a plan, with increasing revisions and epochs.
class PlanBuilder {
 public:
  explicit PlanBuilder(Plan& plan) : plan_(plan), state_(plan.initial) {}

  FleetState& state() { return state_; }

  // Returns a copy of the manifest for editing, because earlier states share the current one.
  Manifest& EditManifest() {
    auto copy = std::make_shared<Manifest>(*state_.manifest);
    state_.manifest = copy;
    return *copy;
  }

  void Event(int second, Kind kind, const std::string& subject, std::uint64_t generation = 0) {
    plan_.changes.push_back({TimePoint(seconds(second)), kind, subject, generation, {}});
  }

  void Commit(int second) {
    ++state_.revision;
    plan_.changes.push_back({TimePoint(seconds(second)), Kind::kView, "", 0, state_});
  }

  Member& EditMember(const InstanceId& id) {
    for (auto& [data_centre, row] : state_.members) {
      for (Member& member : row.members) {
        if (member.id == id) {
          ++row.epoch;
          return member;
        }
      }
    }
    return state_.members.begin()->second.members.front();
  }

  void RemoveMember(const InstanceId& id) {
    for (auto& [data_centre, row] : state_.members) {
      const auto matches = [&](const Member& member) { return member.id == id; };
      const auto removed = std::remove_if(row.members.begin(), row.members.end(), matches);
      if (removed != row.members.end()) {
        row.members.erase(removed, row.members.end());
        ++row.epoch;
      }
    }
  }

  // Starts an instance under a new generation and adds it to the members row. Callers commit the
  // row one second later.
  void StartInstance(int second, Member member) {
    ++member.generation;
    member.state = MemberState::kLive;
    Event(second, Kind::kInstanceStarts, member.id, member.generation);
    MembersRow& row = state_.members[member.data_centre];
    ++row.epoch;
    row.members.push_back(std::move(member));
  }

  // Begins a planned stop: the member is marked as leaving at once, is removed from the members row
  // when the locate answers that name it have expired, and stops when the longest answers have
  // ended. Returns the member.
  Member StopInstance(int second, const InstanceId& id) {
    Member member = EditMember(id);
    EditMember(id).state = MemberState::kLeaving;
    Event(second + kDrainSeconds, Kind::kInstanceStops, id);
    return member;
  }

 private:
  Plan& plan_;
  FleetState state_;
};

// Replaces a tenth of the engines (rounded up) one after the other: the new engine joins cold, and
// the old one drains from 20 s later and stops when its last requests have ended. Meanwhile one
// instance has a planned restart, and another crashes, is evicted and starts again.
void PlanEngineChurn(PlanBuilder& build, const SiteSize& size) {
  const int replaced = (size.engines + 9) / 10;
  for (int i = 0; i < replaced; ++i) {
    const int second = 200 + 150 * i;
    const std::string old_id = Numbered("engine", i * 5 + 1);
    build.EditManifest().upstreams.push_back(
        BuildEngine(Numbered("engine", 50 + i), (i * 5 + 1) % size.data_centres));
    build.Commit(second);
    build.state().draining_upstreams.insert(old_id);
    build.Commit(second + 20);
    auto& upstreams = build.EditManifest().upstreams;
    upstreams.erase(std::remove_if(upstreams.begin(), upstreams.end(),
                                   [&](const Upstream& engine) { return engine.id == old_id; }),
                    upstreams.end());
    build.Event(second + 110, Kind::kEngineStops, old_id);
    build.Commit(second + 111);
  }
  const Member restarted = build.StopInstance(470, "instance03");
  build.Commit(470);
  build.RemoveMember(restarted.id);
  build.Commit(470 + kRemoveMemberSeconds);
  const Member crashed = build.EditMember("instance07");
  build.Event(550, Kind::kInstanceCrashes, crashed.id);
  build.StartInstance(555, restarted);
  build.Commit(556);
  build.RemoveMember(crashed.id);
  build.Commit(567);  // lease of 15 s and clock margin of 2 s
  build.StartInstance(600, crashed);
  build.Commit(601);
}

// Takes a data centre with its instances out of service for 180 s. Its engines keep their caches,
// because they keep running during planned power or network maintenance.
void PlanDataCentre(PlanBuilder& build) {
  build.state().data_centres_out.insert("dc01");
  build.Commit(240);
  std::vector<Member> stopped;
  for (const Member& member : std::vector<Member>(build.state().members["dc01"].members)) {
    stopped.push_back(build.StopInstance(250, member.id));
  }
  build.Commit(250);
  for (const Member& member : stopped) {
    build.RemoveMember(member.id);
  }
  build.Commit(250 + kRemoveMemberSeconds);
  for (const Member& member : stopped) {
    build.StartInstance(410, member);
  }
  build.Commit(411);
  build.state().data_centres_out.clear();
  build.Commit(420);
}

// During the store outage, an instance crashes, which cannot be evicted without the table, and an
// engine restarts cold.
void PlanStoreOutage(PlanBuilder& build) {
  build.Event(240, Kind::kTableDown, "");
  build.Event(300, Kind::kInstanceCrashes, "instance05");
  build.Event(360, Kind::kEngineCold, "engine02");
  const Member crashed = build.EditMember("instance05");
  build.RemoveMember(crashed.id);
  build.Commit(500);
  build.StartInstance(510, crashed);
  build.Commit(511);
}

}  // namespace

// The request rates give a mean load of about 20 requests per engine. The caches of all engines
// together hold 1.2 times the number of active chats.
SiteSize SizeOf(Site site) {
  if (site == Site::kEmmental) {
    return {12, 13, 3, 4000, 10, 35.0};
  }
  return {18, 18, 3, 6000, 10, 52.0};
}

FleetState BuildFleet(const std::string& name, const SiteSize& size) {
  auto manifest = std::make_shared<Manifest>();
  manifest->site = name;
  manifest->models = {{"writer", "1", {}}};
  for (int i = 0; i < size.workspaces; ++i) {
    manifest->workspaces.push_back({Numbered("workspace", i), 1.0});
  }
  for (int i = 0; i < size.data_centres; ++i) {
    manifest->data_centres.push_back({Numbered("dc", i), "region"});
  }
  for (int i = 0; i < size.engines; ++i) {
    manifest->upstreams.push_back(BuildEngine(Numbered("engine", i), i % size.data_centres));
  }
  FleetState state;
  state.revision = 1;
  for (int i = 0; i < size.instances; ++i) {
    Member member;
    member.id = Numbered("instance", i);
    member.generation = 1;
    member.data_centre = Numbered("dc", i % size.data_centres);
    member.address = "10.0.1.1:8000";
    member.peer_address = "tcp://10.0.1.1:8001";
    MembersRow& row = state.members[member.data_centre];
    row.epoch = 1;
    row.members.push_back(std::move(member));
  }
  state.manifest = std::move(manifest);
  return state;
}

Plan BuildPlan(Site site, Scenario scenario) {
  Plan plan;
  plan.site = site;
  plan.scenario = scenario;
  plan.size = SizeOf(site);
  plan.initial = BuildFleet(std::string(NameOf(kSiteNames, site)), plan.size);
  PlanBuilder build(plan);
  switch (scenario) {
    case Scenario::kSteady:
    case Scenario::kWorkspaceSurge:
      break;
    case Scenario::kEngineChurn:
      PlanEngineChurn(build, plan.size);
      break;
    case Scenario::kDataCentreLeaveReturn:
      PlanDataCentre(build);
      break;
    case Scenario::kStoreOutage:
      PlanStoreOutage(build);
      break;
  }
  std::stable_sort(plan.changes.begin(), plan.changes.end(),
                   [](const FleetChange& a, const FleetChange& b) { return a.time < b.time; });
  return plan;
}

}  // namespace chiverail::bench
