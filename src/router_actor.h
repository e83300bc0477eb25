#ifndef CHIVERAIL_ROUTER_ACTOR_H_
#define CHIVERAIL_ROUTER_ACTOR_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include <caf/event_based_actor.hpp>

#include "actor_messages.h"
#include "admission.h"
#include "decaying_retry_budget.h"
#include "digest_hub.h"
#include "load_total.h"
#include "placement.h"
#include "runtime.h"
#include "slot_search.h"

namespace chiverail {

// Routes chat requests. Holds the placement state, the admission state of the engines that this
// instance owns, the slot searches in progress and the load digests.
class RouterActor : public caf::event_based_actor {
 public:
  RouterActor(caf::actor_config& config, Runtime& runtime);

 protected:
  caf::behavior make_behavior() override;

 private:
  // Identifies a search in progress by its request and the exchange's attempt number.
  using SearchKey = std::pair<RequestId, std::uint32_t>;
  struct OpenSearch {
    std::unique_ptr<SlotSearch> search;
    Reply<RouteReply> reply;
    TimePoint start{};
  };
  // A requested or granted slot and the owner of its engine.
  struct HeldSlotEntry {
    UpstreamId engine;
    InstanceId owner;
  };

  TimePoint Now() { return clock().now(); }
  void OnView(std::shared_ptr<const FleetView> view);
  void ReportLostHolders(const FleetView& before);
  void OnGeneration(std::uint64_t generation);
  void SendEpochHint(const UpstreamId& engine, std::uint64_t epoch);
  void OnRouteRequest(RouteRequest route);
  void OnRouteRelease(const RouteRelease& end);
  void OnPeerMessage(const PeerMessage& message);
  void OnSlotAnswer(const SlotAnswer& answer);
  void OnDigests(const DigestBatch& batch);
  void OnLoadReport(const LoadReportMessage& report);
  void OnTick();

  void Handle(const AdmissionActions& actions);
  void Handle(const SearchKey& key, const SlotSearchActions& actions);
  void Execute(const SlotGranted& action);
  void Execute(const SlotRefused& action);
  void Execute(const SlotQueued& action);
  void Execute(const SendHandover& action);
  void Execute(const ForwardRelease& action);
  void AnswerHolder(const InstanceId& holder, const SlotAnswer& answer);
  void Finish(const SearchKey& key, RouteReply reply);
  void Release(const SlotRelease& release, const InstanceId& owner);
  void SendPeer(const InstanceId& to, PeerMessage message);
  void SendDigests(const std::vector<OutgoingDigest>& sends);
  void ExchangeLoadDigests();
  void UpdatePoolTotals();
  void PublishMetrics();
  void PublishEngine(const UpstreamId& engine, const OwnedEngineStatus& status);
  std::string StatusJson() const;

  Runtime& runtime_;
  InstanceId self_;
  std::shared_ptr<const FleetView> view_;
  Placement placement_;
  std::uint64_t generation_;
  AdmissionController admission_;
  LoadTotal load_total_;
  DigestHub digest_hub_;
  TimePoint next_digest_{};
  DecayingRetryBudget retry_budget_;
  std::map<SearchKey, OpenSearch> searches_;
  std::map<SearchKey, HeldSlotEntry> held_;  // keyed by request and slot attempt
  std::map<UpstreamId, LoadReportMessage> load_reports_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ROUTER_ACTOR_H_
