#include "orders_actor.h"

#include <algorithm>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "log.h"

namespace chiverail {
namespace {

using boost::asio::yield_context;

constexpr Duration kTickInterval = milliseconds(500);
constexpr int kOk = 200;
constexpr int kStaleFence = 409;

OrderAnswer OrderAnswerOf(int status) {
  if (status == kOk) {
    return OrderAnswer::kApplied;
  }
  return status == kStaleFence ? OrderAnswer::kStaleFence : OrderAnswer::kRejected;
}

// Sends one order. The deadline is checked after the connection is open, as the last step before
// the first byte is written.
OrderAnswer Send(Runtime& runtime,
                 const std::string& address,
                 const SendOrder& action,
                 yield_context yield) {
  const nlohmann::json body = {{"order_id", action.order.order_id},
                               {"fence", action.fence},
                               {"kind", action.order.kind},
                               {"target", action.order.target}};
  try {
    const auto call = runtime.upstream_http.Prepare(address, yield);
    if (runtime.Now() >= action.send_before) {
      return OrderAnswer::kNotSent;
    }
    return OrderAnswerOf(call->Send(address, {"POST", "/orders", {}, body.dump()}, yield).status);
  } catch (const HttpError& error) {
    return error.bytes_written() ? OrderAnswer::kNoAnswer : OrderAnswer::kNotSent;
  }
}

}  // namespace

std::vector<EngineOrder> MissingOrders(const Upstream& declared, const EngineReport& reported) {
  std::vector<EngineOrder> orders;
  if (reported.model != declared.model) {
    orders.push_back({"", declared.id, "load_model", declared.model, "model"});
  }
  if (reported.version != declared.version) {
    orders.push_back({"", declared.id, "load_version", declared.version, "version"});
  }
  for (const std::string& adapter : declared.adapters) {
    const auto& loaded = reported.adapters;
    if (std::find(loaded.begin(), loaded.end(), adapter) == loaded.end()) {
      orders.push_back({"", declared.id, "load_adapter", adapter, "adapter " + adapter});
    }
  }
  return orders;
}

OrdersActor::OrdersActor(caf::actor_config& config, Runtime& runtime)
    : caf::event_based_actor(config), runtime_(runtime), orders_(OrderLimits{}) {}

caf::behavior OrdersActor::make_behavior() {
  OnView(*runtime_.shared.view());
  return {
      [this](const TickMessage&) {
        delayed_send(this, kTickInterval, TickMessage{});
        Handle(orders_.Tick(Now()));
      },
      [this](const ViewMessage& message) { OnView(*message.view); },
      [this](const GrantsMessage& message) {
        Handle(orders_.OnOwnershipConfirmed(message.lease_until, Now()));
      },
      [this](const EngineReportMessage& message) { OnReport(message); },
      [this](const OrderAnswered& answered) {
        Handle(orders_.OnAnswer(answered.engine, answered.order_id, answered.answer, Now()));
      },
  };
}

void OrdersActor::OnView(const FleetView& view) {
  for (const EngineEntry& engine : view.engines()) {
    const Member* owner = view.AdmissionOwner(engine);
    const UpstreamId& id = engine.upstream->id;
    if (owner == nullptr || owner->id != runtime_.settings.instance_id) {
      Handle(orders_.OnNotOwner(id, Now()));
      continue;
    }
    const OwnerTerm term{view.Epoch(engine.upstream->data_centre), view.revision(),
                         engine.upstream->checks_fence};
    Handle(orders_.OnOwner(id, term, Now()));
  }
}

// Sends no orders to engines that do not report what they have loaded.
void OrdersActor::OnReport(const EngineReportMessage& message) {
  const auto view = runtime_.shared.view();
  const EngineEntry* engine = view->FindEngine(message.engine);
  if (engine == nullptr || message.report.model.empty()) {
    return;
  }
  for (EngineOrder& order : MissingOrders(*engine->upstream, message.report)) {
    const OrderPurpose purpose{order.kind, order.target};
    auto& open = open_orders_[message.engine];
    const bool already_open = std::any_of(open.begin(), open.end(), [&purpose](const auto& entry) {
      return entry.second == purpose;
    });
    if (already_open) {
      continue;
    }
    order.order_id = runtime_.settings.instance_id + "-" + std::to_string(runtime_.generation) +
                     "-" + std::to_string(++last_order_);
    open[order.order_id] = purpose;
    Handle(orders_.Submit(std::move(order), Now()));
  }
}

void OrdersActor::Handle(const OrderActions& actions) {
  for (const OrderAction& action : actions) {
    std::visit([this](const auto& typed) { Do(typed); }, action);
  }
}

void OrdersActor::Do(const SendOrder& action) {
  const auto view = runtime_.shared.view();
  const EngineEntry* engine = view->FindEngine(action.order.engine);
  const std::string address = engine == nullptr ? "" : engine->upstream->address;
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, action, address](yield_context yield) {
        const OrderAnswer answer =
            address.empty() ? OrderAnswer::kNotSent : Send(runtime, address, action, yield);
        runtime.actors.Send(Component::kOrders,
                            OrderAnswered{action.order.engine, action.order.order_id, answer});
      },
      boost::asio::detached);
}

void OrdersActor::Do(const OrderEnded& action) {
  const auto engine = open_orders_.find(action.engine);
  if (engine != open_orders_.end()) {
    engine->second.erase(action.order_id);
  }
  ComponentLogger("orders")->info("Order {} to engine {} ended: {}.", action.order_id,
                                  action.engine, NameOf(kOrderOutcomeNames, action.outcome));
}

}  // namespace chiverail
