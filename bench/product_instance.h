#ifndef CHIVERAIL_BENCH_PRODUCT_INSTANCE_H_
#define CHIVERAIL_BENCH_PRODUCT_INSTANCE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission.h"
#include "digest_hub.h"
#include "fleet_view.h"
#include "load_total.h"
#include "peer_messages.h"
#include "placement.h"
#include "slot_search.h"
#include "world.h"

namespace chiverail::bench {

class ProductPolicy;

// One run of a simulated instance: the decision classes, connected as the router actor connects
// them in the daemon.
class ProductInstance : public std::enable_shared_from_this<ProductInstance> {
 public:
  ProductInstance(ProductPolicy& policy,
                  InstanceId id,
                  std::uint64_t generation,
                  const DataCentreId& data_centre,
                  std::shared_ptr<const FleetView> view);

  // Starts the periodic work.
  void Run();

  // Stops at once. Returns the turns of the requests that are waiting for a slot; callers resume
  // running streams at other instances.
  std::vector<std::uint32_t> Stop();

  // Handles a request from a caller. `first_attempt` differs for each connection of the caller, so
  // that attempt numbers stay unique.
  void OnRequest(std::uint32_t turn, std::uint32_t first_attempt);

  void Receive(const PeerMessage& message);
  void SetView(const std::shared_ptr<const FleetView>& view);
  void OnCacheEvent(const CacheEvent& event) { placement_.OnCacheEvent(event); }

  const FleetView& view() const { return *view_; }
  bool stopped() const { return stopped_; }

  // Whether the instance's current view lists it as a member. An unlisted instance accepts no
  // callers.
  bool IsListed() const { return view_->FindMember(id_) != nullptr; }

  // Counts the requests with a running stream as cut.
  void CountCutSessions();

 private:
  // A request of a caller that is connected to this instance.
  struct Session {
    std::uint32_t turn = 0;
    std::optional<SlotSearch> search;
    std::uint32_t attempt = 0;
    UpstreamId engine;
  };

  // Runs `run` after `delay`, unless the instance has stopped by then.
  template <typename F>
  void After(Duration delay, F run);

  TimePoint now() const;
  void Search(Session& session, std::uint32_t first_attempt);
  void Perform(const AdmissionActions& actions);
  void OnSlotFound(const RequestId& request, const SlotFound& found);
  void SendAnswer(const InstanceId& holder, const SlotAnswer& answer);
  void OnSlotAnswer(const SlotAnswer& answer);
  void PerformSearch(const RequestId& request, const SlotSearchActions& actions);
  void StartAtEngine(const RequestId& request);
  void OnServiceEnd(const RequestId& request, const ServiceEnd& end);
  void Release(const SlotRelease& release, const InstanceId& owner);
  InstanceId OwnerOf(const UpstreamId& engine) const;
  void Tick();
  void PollReports();
  void SendDigests();
  void UpdateTotal();

  ProductPolicy& policy_;
  InstanceId id_;
  std::uint64_t generation_;
  std::shared_ptr<const FleetView> view_;
  Placement placement_;
  AdmissionController admission_;
  LoadTotal load_total_;
  DigestHub hub_;
  std::map<RequestId, Session> sessions_;
  std::set<RequestId> searching_;
  std::map<UpstreamId, std::uint64_t> last_start_ids_;
  bool stopped_ = false;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_PRODUCT_INSTANCE_H_
