#ifndef CHIVERAIL_ORDERS_ACTOR_H_
#define CHIVERAIL_ORDERS_ACTOR_H_

#include <map>
#include <set>
#include <string>

#include <caf/event_based_actor.hpp>

#include "actor_messages.h"
#include "engine_orders.h"
#include "runtime.h"

namespace chiverail {

// Returns the orders that bring an engine from its reported state to the state that the manifest
// declares: model, version and missing adapters. Order ids are left empty.
std::vector<EngineOrder> MissingOrders(const Upstream& declared, const EngineReport& reported);

// Compares the reports of the engines that this instance owns with the manifest and sends fenced
// orders to load what is missing.
class OrdersActor : public caf::event_based_actor {
 public:
  OrdersActor(caf::actor_config& config, Runtime& runtime);

 protected:
  caf::behavior make_behavior() override;

 private:
  // Purpose of an order; at most one order per engine and purpose is open.
  using OrderPurpose = std::pair<std::string, std::string>;  // kind and target

  TimePoint Now() { return clock().now(); }
  void OnView(const FleetView& view);
  void OnReport(const EngineReportMessage& message);
  void Handle(const OrderActions& actions);
  void Do(const SendOrder& action);
  void Do(const OrderEnded& action);

  Runtime& runtime_;
  EngineOrders orders_;
  std::map<UpstreamId, std::map<std::string, OrderPurpose>> open_orders_;  // by engine and order id
  std::uint64_t last_order_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ORDERS_ACTOR_H_
