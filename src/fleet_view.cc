#include "fleet_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hash.h"

namespace chiverail {
namespace {

// An instance owns at most this multiple of the mean number of engines per instance of its data
// centre.
constexpr double kOwnedEnginesMultiple = 1.25;

std::string CandidatesKey(const ModelId& model, const RegionId& region) {
  return model + "|" + region;
}

const std::vector<std::uint32_t> kEmptyCandidates;
const RendezvousPool kEmptyRendezvousPool;

}  // namespace

FleetView::FleetView(FleetState state, std::uint64_t sequence)
    : state_(std::move(state)), sequence_(sequence) {
  if (!state_.manifest) {
    state_.manifest = std::make_shared<const Manifest>();
  }
  for (const auto& [data_centre, row] : state_.members) {
    members_.insert(members_.end(), row.members.begin(), row.members.end());
  }
  for (const Upstream& upstream : state_.manifest->upstreams) {
    if (upstream.kind != UpstreamKind::kEngine) {
      continue;
    }
    EngineEntry entry;
    entry.upstream = &upstream;
    entry.index = static_cast<std::uint32_t>(engines_.size());
    entry.hash = HashText(upstream.id);
    entry.region = RegionOf(upstream.data_centre);
    entry.pool = upstream.model + "/" + upstream.version;
    entry.accepting =
        !IsOutOfService(upstream.data_centre) && state_.draining_upstreams.count(upstream.id) == 0;
    engine_by_id_[upstream.id] = entry.index;
    engines_.push_back(std::move(entry));
  }
  IndexIds();
  AssignOwners();
  BuildCandidates();
}

void FleetView::IndexIds() {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    member_by_id_[members_[i].id] = static_cast<std::uint32_t>(i);
  }
  const auto& workspaces = state_.manifest->workspaces;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    workspace_by_id_[workspaces[i].id] = static_cast<std::uint32_t>(i);
  }
}

// Assigns each engine an admission owner among the live instances of its data centre: the first one
// in rendezvous order that is below the bound. Engines are visited in the order of their ids, so
// that every instance with the same rows computes the same owners.
void FleetView::AssignOwners() {
  std::map<DataCentreId, std::vector<int>> live_by_data_centre;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].state == MemberState::kLive) {
      live_by_data_centre[members_[i].data_centre].push_back(static_cast<int>(i));
    }
  }
  std::map<DataCentreId, int> engine_count;
  for (const EngineEntry& engine : engines_) {
    ++engine_count[engine.upstream->data_centre];
  }
  std::vector<std::uint64_t> member_hash(members_.size());
  for (std::size_t i = 0; i < members_.size(); ++i) {
    member_hash[i] = HashText(members_[i].id);
  }
  std::vector<int> owned(members_.size(), 0);
  for (const auto& [id, index] : engine_by_id_) {
    EngineEntry& engine = engines_[index];
    const auto& live = live_by_data_centre[engine.upstream->data_centre];
    if (live.empty()) {
      continue;
    }
    const int bound = static_cast<int>(std::ceil(
        kOwnedEnginesMultiple * engine_count[engine.upstream->data_centre] / live.size()));
    double best = -1;
    for (int candidate : live) {
      const double score = RendezvousScore(engine.hash, member_hash[candidate], 1.0);
      if (owned[candidate] < bound && score > best) {
        best = score;
        engine.owner = candidate;
      }
    }
    ++owned[engine.owner];
  }
}

void FleetView::BuildCandidates() {
  for (const Model& model : state_.manifest->models) {
    std::vector<std::uint32_t> all_regions;
    std::map<RegionId, std::vector<std::uint32_t>> by_region;
    for (const EngineEntry& engine : engines_) {
      const bool serves_model =
          engine.upstream->model == model.id && engine.upstream->version == model.version;
      if (serves_model && engine.accepting) {
        all_regions.push_back(engine.index);
        by_region[engine.region].push_back(engine.index);
      }
    }
    for (const DataCentre& data_centre : state_.manifest->data_centres) {
      const auto& in_region = by_region[data_centre.region];
      candidates_[CandidatesKey(model.id, data_centre.region)] =
          in_region.empty() ? all_regions : in_region;
    }
    candidates_[CandidatesKey(model.id, "")] = all_regions;
  }
  for (const auto& [key, candidates] : candidates_) {
    RendezvousPool& pool = rendezvous_[key];
    for (const std::uint32_t index : candidates) {
      const EngineEntry& engine = engines_[index];
      pool.nodes.push_back({engine.hash, engine.upstream->weight, index});
      pool.max_weight = std::max(pool.max_weight, engine.upstream->weight);
      pool.engines_by_tag.emplace_back(EngineTag(engine.hash), index);
    }
    std::sort(pool.engines_by_tag.begin(), pool.engines_by_tag.end());
  }
}

int RendezvousPool::FindTag(std::uint32_t tag) const {
  const auto found = std::lower_bound(engines_by_tag.begin(), engines_by_tag.end(),
                                      std::make_pair(tag, std::uint32_t{0}));
  return found == engines_by_tag.end() || found->first != tag ? -1
                                                              : static_cast<int>(found->second);
}

const RendezvousPool& FleetView::Rendezvous(const ModelId& model, const RegionId& region) const {
  auto found = rendezvous_.find(CandidatesKey(model, region));
  if (found == rendezvous_.end()) {
    found = rendezvous_.find(CandidatesKey(model, ""));
  }
  return found == rendezvous_.end() ? kEmptyRendezvousPool : found->second;
}

const std::vector<std::uint32_t>& FleetView::Candidates(const ModelId& model,
                                                        const RegionId& region) const {
  auto found = candidates_.find(CandidatesKey(model, region));
  if (found == candidates_.end()) {
    found = candidates_.find(CandidatesKey(model, ""));
  }
  return found == candidates_.end() ? kEmptyCandidates : found->second;
}

const EngineEntry* FleetView::FindEngine(const UpstreamId& id) const {
  const auto found = engine_by_id_.find(id);
  return found == engine_by_id_.end() ? nullptr : &engines_[found->second];
}

const Member* FleetView::AdmissionOwner(const EngineEntry& engine) const {
  return engine.owner < 0 ? nullptr : &members_[engine.owner];
}

const Member* FleetView::FindMember(const InstanceId& id) const {
  const auto found = member_by_id_.find(id);
  return found == member_by_id_.end() ? nullptr : &members_[found->second];
}

const Workspace* FleetView::FindWorkspace(const WorkspaceId& id) const {
  const auto found = workspace_by_id_.find(id);
  return found == workspace_by_id_.end() ? nullptr : &state_.manifest->workspaces[found->second];
}

std::uint64_t FleetView::Epoch(const DataCentreId& data_centre) const {
  const auto found = state_.members.find(data_centre);
  return found == state_.members.end() ? 0 : found->second.epoch;
}

RegionId FleetView::RegionOf(const DataCentreId& data_centre) const {
  for (const DataCentre& declared : state_.manifest->data_centres) {
    if (declared.id == data_centre) {
      return declared.region;
    }
  }
  return {};
}

}  // namespace chiverail
