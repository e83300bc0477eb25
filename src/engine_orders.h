#ifndef CHIVERAIL_ENGINE_ORDERS_H_
#define CHIVERAIL_ENGINE_ORDERS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "types.h"

namespace chiverail {

// Time bounds that fencing relies on.
struct OrderLimits {
  Duration retry_after = milliseconds(5'000);  // an order without an answer is resent
  // The first byte of an order must be written within this time of its SendOrder action, because
  // the waits below are counted from that action and the sender may be paused in between.
  Duration send_window = milliseconds(2'000);
  // Longest time from the first byte of an order until it takes effect, if it ever does.
  Duration longest_flight = milliseconds(30'000);
  // Longest time for which an instance acts on a members row after reading it, and the margin for
  // clocks that run at different rates.
  Duration lease = milliseconds(15'000);
  Duration lease_margin = milliseconds(2'000);
};

// An order to an engine: a command that changes what it has loaded or its role.
struct EngineOrder {
  std::string order_id;  // unique in the fleet
  UpstreamId engine;
  std::string kind;     // "load_model", "load_adapter", "load_version" or "change_role"
  std::string target;   // model, adapter, version or role
  std::string subject;  // orders with the same subject replace each other
};

// The membership and the configuration under which an instance owns an engine. The owner is
// computed from both, so both go into its fencing number.
struct OwnerTerm {
  std::uint64_t epoch = 0;  // of the members row
  Revision revision = 0;
  bool checks_fence = true;  // the engine refuses orders with a lower fencing number
};

// Fencing number of an owner: the members epoch, then the revision. With the epoch alone, two
// owners under the same epoch and different revisions would carry the same number.
std::uint64_t FencingNumber(const OwnerTerm& term);

// Sends an order. The check against `send_before` must be the last step before the first byte is
// written; when it fails, nothing is sent and OnAnswer reports kNotSent.
struct SendOrder {
  EngineOrder order;
  std::uint64_t fence = 0;
  TimePoint send_before;
};

// How an order ended.
enum class OrderOutcome : std::uint8_t {
  kApplied,
  kRejected,       // the engine cannot execute it
  kStaleFence,     // the engine has received an order of a newer owner
  kSuperseded,     // a later order of this instance replaced it
  kLostOwnership,  // this instance does not own the engine any more
};
inline constexpr std::array<EnumName<OrderOutcome>, 5> kOrderOutcomeNames{{
    {OrderOutcome::kApplied, "applied"},
    {OrderOutcome::kRejected, "rejected"},
    {OrderOutcome::kStaleFence, "stale_fence"},
    {OrderOutcome::kSuperseded, "superseded"},
    {OrderOutcome::kLostOwnership, "lost_ownership"},
}};

// Reports the end of an order.
struct OrderEnded {
  UpstreamId engine;
  std::string order_id;
  OrderOutcome outcome = OrderOutcome::kApplied;
  bool may_take_effect = false;  // it was sent and the engine has not answered
};

using OrderAction = std::variant<SendOrder, OrderEnded>;
using OrderActions = std::vector<OrderAction>;

// Result of one send of an order.
enum class OrderAnswer : std::uint8_t {
  kApplied,
  kRejected,
  kStaleFence,
  kNoAnswer,  // the connection failed; the engine may have received the order
  kNotSent,   // no byte was written and none will be
};

// Sends orders to the engines that this instance owns, one at a time for each engine.
//
// An engine that checks fencing numbers refuses the orders of an old owner. At an engine that does
// not, a new owner waits until the old owner has stopped and its last order has taken effect. A
// retry always resends the same order with the same id and fencing number, and only while this
// instance has owned the engine without interruption.
class EngineOrders {
 public:
  explicit EngineOrders(const OrderLimits& limits);

  // Called for each engine of a new view.
  OrderActions OnOwner(const UpstreamId& engine, const OwnerTerm& term, TimePoint now);
  OrderActions OnNotOwner(const UpstreamId& engine, TimePoint now);

  // Confirms ownership: orders may be sent before `valid_until`, which is OrderLimits::lease after
  // the start of the oldest of the last successful lease renewal, members row read and head read.
  OrderActions OnOwnershipConfirmed(TimePoint valid_until, TimePoint now);

  OrderActions Submit(EngineOrder order, TimePoint now);
  OrderActions OnAnswer(const UpstreamId& engine,
                        const std::string& order_id,
                        OrderAnswer answer,
                        TimePoint now);
  OrderActions Tick(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;

  // Orders that have not ended.
  std::size_t open() const;

 private:
  // The order that was sent last and has not ended.
  struct InFlight {
    EngineOrder order;
    std::uint64_t fence = 0;
    TimePoint sent_at{};
    bool superseded = false;
  };

  struct Engine {
    OwnerTerm term;
    TimePoint earliest_send{};  // earliest send; no earlier order can take effect after it
    std::deque<EngineOrder> queue;
    std::optional<InFlight> in_flight;
    std::uint32_t send_count = 0;  // sends of the order in flight that may have reached the engine
  };

  TimePoint NoEffectAfter(const InFlight& order) const;
  OrderActions SendNext(Engine& engine, TimePoint now);
  OrderActions EndInFlight(Engine& engine, OrderOutcome outcome, bool answered);
  OrderActions EndAll(Engine& engine);
  void Replace(Engine& engine, const EngineOrder& order, OrderActions& actions);
  bool IsUninterrupted(const OwnerTerm& before, const OwnerTerm& after) const;
  std::optional<TimePoint> NextDeadline(const Engine& engine) const;

  OrderLimits limits_;
  TimePoint valid_until_{};
  std::map<UpstreamId, Engine> engines_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ENGINE_ORDERS_H_
