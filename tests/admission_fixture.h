#ifndef CHIVERAIL_TESTS_ADMISSION_FIXTURE_H_
#define CHIVERAIL_TESTS_ADMISSION_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "admission.h"

namespace chiverail {

// Builds fleet views of one data centre "dc", whose engines e0, e1, ... form one pool.
class OneDataCentre {
 public:
  OneDataCentre(int engines, int cold_limit, int max_concurrency) {
    auto manifest = std::make_shared<Manifest>();
    manifest->models = {{"writer", "1", {}}};
    // Low enough not to hide the load bound; tests of the floor set their own.
    manifest->load_floor = 1;
    manifest->data_centres = {{"dc", "region"}};
    for (int i = 0; i < engines; ++i) {
      Upstream upstream;
      upstream.id = "e" + std::to_string(i);
      upstream.data_centre = "dc";
      upstream.model = "writer";
      upstream.version = "1";
      upstream.cold_limit = cold_limit;
      upstream.max_concurrency = max_concurrency;
      manifest->upstreams.push_back(upstream);
    }
    state_.manifest = manifest;
  }

  // Each change increments the epoch of the members row.
  void Add(const InstanceId& id, std::uint64_t generation) {
    Erase(id);
    row().members.push_back({id, generation, "dc", "", "", MemberState::kLive});
    ++row().epoch;
  }
  void SetLeaving(const InstanceId& id) {
    for (Member& member : row().members) {
      if (member.id == id) {
        member.state = MemberState::kLeaving;
      }
    }
    ++row().epoch;
  }
  void Evict(const InstanceId& id) {
    Erase(id);
    ++row().epoch;
  }

  std::shared_ptr<const FleetView> View() {
    return std::make_shared<const FleetView>(state_, ++sequence_);
  }
  FleetState& state() { return state_; }

 private:
  MembersRow& row() { return state_.members["dc"]; }
  void Erase(const InstanceId& id) {
    auto& members = row().members;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].id == id) {
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(i));
        return;
      }
    }
  }

  FleetState state_;
  std::uint64_t sequence_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_ADMISSION_FIXTURE_H_
