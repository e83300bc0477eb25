#include "engine_orders.h"

#include <algorithm>
#include <utility>

namespace chiverail {
namespace {

constexpr int kRevisionBits = 32;

void Append(OrderActions& actions, OrderActions more) {
  std::move(more.begin(), more.end(), std::back_inserter(actions));
}

}  // namespace

std::uint64_t FencingNumber(const OwnerTerm& term) {
  return (term.epoch << kRevisionBits) | (term.revision & ((Revision{1} << kRevisionBits) - 1));
}

EngineOrders::EngineOrders(const OrderLimits& limits) : limits_(limits) {}

// Ownership is continuous only if no epoch or revision was skipped: under a skipped one the engine
// may have had another owner.
bool EngineOrders::IsUninterrupted(const OwnerTerm& before, const OwnerTerm& after) const {
  return after.epoch >= before.epoch && after.epoch - before.epoch <= 1 &&
         after.revision >= before.revision && after.revision - before.revision <= 1 &&
         (after.epoch == before.epoch || after.revision == before.revision);
}

// At an engine that does not check fencing numbers, a new owner waits before its first order. The
// wait covers the worst case: the old owner read the members row just before the change, acts on it
// until its confirmed ownership expires, and sends an order at the last moment.
OrderActions EngineOrders::OnOwner(const UpstreamId& id, const OwnerTerm& term, TimePoint now) {
  const auto [found, added] = engines_.try_emplace(id);
  Engine& engine = found->second;
  OrderActions actions;
  const bool continues = !added && IsUninterrupted(engine.term, term);
  if (!continues) {
    actions = EndAll(engine);
    if (!term.checks_fence) {
      engine.earliest_send =
          std::max(engine.earliest_send,
                   now + limits_.lease + limits_.lease_margin + limits_.longest_flight);
    }
  }
  engine.term = term;
  Append(actions, SendNext(engine, now));
  return actions;
}

OrderActions EngineOrders::OnNotOwner(const UpstreamId& id, TimePoint) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) {
    return {};
  }
  OrderActions actions = EndAll(found->second);
  engines_.erase(found);
  return actions;
}

OrderActions EngineOrders::OnOwnershipConfirmed(TimePoint valid_until, TimePoint now) {
  valid_until_ = valid_until;
  return Tick(now);
}

OrderActions EngineOrders::Submit(EngineOrder order, TimePoint now) {
  const auto found = engines_.find(order.engine);
  if (found == engines_.end()) {
    return {OrderEnded{order.engine, order.order_id, OrderOutcome::kLostOwnership, false}};
  }
  Engine& engine = found->second;
  OrderActions actions;
  Replace(engine, order, actions);
  engine.queue.push_back(std::move(order));
  Append(actions, SendNext(engine, now));
  return actions;
}

// Ends queued orders with the same subject. An order in flight is not resent, but it may still take
// effect, so SendNext sends the later order only after that is no longer possible.
void EngineOrders::Replace(Engine& engine, const EngineOrder& order, OrderActions& actions) {
  const auto same = [&](const EngineOrder& queued) { return queued.subject == order.subject; };
  for (const EngineOrder& queued : engine.queue) {
    if (same(queued)) {
      actions.push_back(
          OrderEnded{queued.engine, queued.order_id, OrderOutcome::kSuperseded, false});
    }
  }
  engine.queue.erase(std::remove_if(engine.queue.begin(), engine.queue.end(), same),
                     engine.queue.end());
  if (engine.in_flight && same(engine.in_flight->order)) {
    engine.in_flight->superseded = true;
  }
}

OrderActions EngineOrders::OnAnswer(const UpstreamId& id,
                                    const std::string& order_id,
                                    OrderAnswer answer,
                                    TimePoint now) {
  const auto found = engines_.find(id);
  if (found == engines_.end() || !found->second.in_flight ||
      found->second.in_flight->order.order_id != order_id) {
    return {};
  }
  Engine& engine = found->second;
  OrderActions actions;
  switch (answer) {
    case OrderAnswer::kApplied:
      actions = EndInFlight(engine, OrderOutcome::kApplied, true);
      break;
    case OrderAnswer::kRejected:
      actions = EndInFlight(engine, OrderOutcome::kRejected, true);
      break;
    case OrderAnswer::kStaleFence:
      actions = EndInFlight(engine, OrderOutcome::kStaleFence, true);
      break;
    case OrderAnswer::kNoAnswer:
      break;  // the retry timeout applies
    case OrderAnswer::kNotSent:
      --engine.send_count;
      break;
  }
  Append(actions, SendNext(engine, now));
  return actions;
}

// Time after which no copy of an order can take effect any more.
TimePoint EngineOrders::NoEffectAfter(const InFlight& order) const {
  return order.sent_at + limits_.send_window + limits_.longest_flight;
}

// Other copies of the order may reach the engine after the answer to one of them, and engines need
// not remember order ids forever, so the next order waits until those copies cannot take effect.
OrderActions EngineOrders::EndInFlight(Engine& engine, OrderOutcome outcome, bool answered) {
  const InFlight& last = *engine.in_flight;
  if (engine.send_count > (answered ? 1U : 0U)) {
    engine.earliest_send = std::max(engine.earliest_send, NoEffectAfter(last));
  }
  OrderActions actions{OrderEnded{last.order.engine, last.order.order_id, outcome,
                                  !answered && engine.send_count > 0}};
  engine.in_flight.reset();
  engine.send_count = 0;
  return actions;
}

OrderActions EngineOrders::EndAll(Engine& engine) {
  OrderActions actions;
  if (engine.in_flight) {
    actions = EndInFlight(engine, OrderOutcome::kLostOwnership, false);
  }
  for (const EngineOrder& queued : engine.queue) {
    actions.push_back(
        OrderEnded{queued.engine, queued.order_id, OrderOutcome::kLostOwnership, false});
  }
  engine.queue.clear();
  return actions;
}

// Sends the next order or resends the one in flight. The fencing number of an order never changes:
// after an undetected break in ownership, a raised number would let an old order override a newer
// owner's.
OrderActions EngineOrders::SendNext(Engine& engine, TimePoint now) {
  OrderActions actions;
  if (engine.in_flight && engine.in_flight->superseded) {
    const bool cannot_take_effect =
        engine.send_count == 0 || now >= NoEffectAfter(*engine.in_flight);
    if (!cannot_take_effect) {
      return actions;
    }
    actions = EndInFlight(engine, OrderOutcome::kSuperseded, false);
  }
  const bool resend = engine.in_flight && now >= engine.in_flight->sent_at + limits_.retry_after;
  const bool send = !engine.in_flight && !engine.queue.empty() && now >= engine.earliest_send;
  if ((!resend && !send) || now >= valid_until_) {
    return actions;
  }
  if (send) {
    engine.in_flight =
        InFlight{std::move(engine.queue.front()), FencingNumber(engine.term), now, false};
    engine.queue.pop_front();
    engine.send_count = 0;
  }
  engine.in_flight->sent_at = now;
  ++engine.send_count;
  actions.push_back(SendOrder{engine.in_flight->order, engine.in_flight->fence,
                              std::min(valid_until_, now + limits_.send_window)});
  return actions;
}

OrderActions EngineOrders::Tick(TimePoint now) {
  OrderActions actions;
  for (auto& [id, engine] : engines_) {
    Append(actions, SendNext(engine, now));
  }
  return actions;
}

std::optional<TimePoint> EngineOrders::NextDeadline(const Engine& engine) const {
  if (engine.in_flight) {
    return engine.in_flight->superseded ? NoEffectAfter(*engine.in_flight)
                                        : engine.in_flight->sent_at + limits_.retry_after;
  }
  return engine.queue.empty() ? std::nullopt : std::optional(engine.earliest_send);
}

// Once the confirmed ownership has expired, nothing is sent until the next OnOwnershipConfirmed, so
// only the timeout of a superseded order remains a deadline.
std::optional<TimePoint> EngineOrders::NextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto& [id, engine] : engines_) {
    const auto own = NextDeadline(engine);
    const bool ends = engine.in_flight && engine.in_flight->superseded;
    if (own && (ends || *own < valid_until_) && (!next || *own < *next)) {
      next = own;
    }
  }
  return next;
}

std::size_t EngineOrders::open() const {
  std::size_t count = 0;
  for (const auto& [id, engine] : engines_) {
    count += engine.queue.size() + (engine.in_flight ? 1 : 0);
  }
  return count;
}

}  // namespace chiverail
