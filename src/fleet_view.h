#ifndef CHIVERAIL_FLEET_VIEW_H_
#define CHIVERAIL_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "manifest.h"
#include "types.h"

namespace chiverail {

// State of an instance in the members row of its data centre.
enum class MemberState : std::uint8_t { kLive, kLeaving };
inline constexpr std::array<EnumName<MemberState>, 2> kMemberStateNames{{
    {MemberState::kLive, "live"},
    {MemberState::kLeaving, "leaving"},
}};

// One instance as the members row lists it.
struct Member {
  InstanceId id;
  std::uint64_t generation = 0;  // differs between two runs under the same id
  DataCentreId data_centre;
  std::string address;       // "ip:port" for callers
  std::string peer_address;  // "tcp://ip:port" for peers
  MemberState state = MemberState::kLive;
};

// The members row of one data centre.
struct MembersRow {
  // Increases with each change; the fencing token of the admission owners in this data centre.
  std::uint64_t epoch = 0;
  std::vector<Member> members;
};

// Inputs from which a FleetView is built.
struct FleetState {
  Revision revision = 0;
  std::shared_ptr<const Manifest> manifest;
  std::set<DataCentreId> data_centres_out;
  // Draining upstreams from the platform's list; an older listing never clears a mark.
  std::set<UpstreamId> draining_upstreams;
  // Leaving instances from the platform's list; a hint for Locate only.
  std::set<InstanceId> leaving_instances;
  std::map<DataCentreId, MembersRow> members;
};

// An engine with the data that routing decisions use, computed once per view.
struct EngineEntry {
  const Upstream* upstream = nullptr;
  std::uint32_t index = 0;  // position in FleetView::engines()
  std::uint64_t hash = 0;
  RegionId region;
  std::string pool;        // "model/version"
  bool accepting = false;  // false when its data centre is out of service or it is draining
  int owner = -1;          // admission owner, as a position in FleetView::members(); -1 if none
};

// A candidate of rendezvous hashing.
struct RendezvousNode {
  std::uint64_t hash = 0;
  double weight = 1.0;
  std::uint32_t engine = 0;  // position in FleetView::engines()
};

// The candidates of a model and region, packed so that 810 of them fit into the L1 cache.
struct RendezvousPool {
  std::vector<RendezvousNode> nodes;
  double max_weight = 0;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> engines_by_tag;  // tag and engine, sorted

  // Returns the position in FleetView::engines() of the candidate with a tag, or -1.
  int FindTag(std::uint32_t tag) const;
};

// Short identifier of an engine in tables: 32 bits of the hash of its id.
inline std::uint32_t EngineTag(std::uint64_t engine_hash) {
  return static_cast<std::uint32_t>(engine_hash >> 32);
}

// An immutable snapshot of configuration and membership, shared by all components of an instance.
// Views are ordered by `sequence`, which the fleet actor increments for each view that it
// publishes.
class FleetView {
 public:
  explicit FleetView(FleetState state, std::uint64_t sequence = 0);

  std::uint64_t sequence() const { return sequence_; }
  Revision revision() const { return state_.revision; }
  const Manifest& manifest() const { return *state_.manifest; }
  const FleetState& state() const { return state_; }
  const std::vector<EngineEntry>& engines() const { return engines_; }
  const std::vector<Member>& members() const { return members_; }

  // Positions in engines() of the engines that serve a model in a region and accept new work; the
  // engines of all regions when the region has none.
  const std::vector<std::uint32_t>& Candidates(const ModelId& model, const RegionId& region) const;

  // The same candidates with their hashes and weights.
  const RendezvousPool& Rendezvous(const ModelId& model, const RegionId& region) const;

  // Returns the engine with this id, or null.
  const EngineEntry* FindEngine(const UpstreamId& id) const;

  // Returns the admission owner of an engine: the member that grants its slots; null if none.
  const Member* AdmissionOwner(const EngineEntry& engine) const;

  // Returns the member with this id, or null.
  const Member* FindMember(const InstanceId& id) const;

  // Returns the workspace with this id, or null.
  const Workspace* FindWorkspace(const WorkspaceId& id) const;

  // Epoch of the members row of a data centre; 0 when there is none.
  std::uint64_t Epoch(const DataCentreId& data_centre) const;

  // Region of a data centre; empty when the manifest does not declare it.
  RegionId RegionOf(const DataCentreId& data_centre) const;

  // Whether a data centre has been taken out of service.
  bool IsOutOfService(const DataCentreId& data_centre) const {
    return state_.data_centres_out.count(data_centre) > 0;
  }

 private:
  void IndexIds();
  void AssignOwners();
  void BuildCandidates();

  FleetState state_;
  std::uint64_t sequence_;
  std::vector<Member> members_;
  std::vector<EngineEntry> engines_;
  std::map<UpstreamId, std::uint32_t> engine_by_id_;
  std::unordered_map<InstanceId, std::uint32_t> member_by_id_;
  std::unordered_map<WorkspaceId, std::uint32_t> workspace_by_id_;
  std::map<std::string, std::vector<std::uint32_t>> candidates_;
  std::map<std::string, RendezvousPool> rendezvous_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_FLEET_VIEW_H_
