#include <array>
#include <limits>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "engine_orders.h"
#include "fake_platform.h"

using namespace chiverail;

namespace {

constexpr std::uint64_t kSeeds = 1000;

// Counterexample to EngineOrders: sends each order immediately and resends it after a timeout while
// its own view lists it as the owner, without fencing numbers, waits or confirmed ownership.
class NaiveOrders {
 public:
  explicit NaiveOrders(const OrderLimits& limits) : limits_(limits) {}

  OrderActions OnOwner(const UpstreamId&, const OwnerTerm&, TimePoint) {
    owner_ = true;
    return {};
  }
  OrderActions OnNotOwner(const UpstreamId&, TimePoint) {
    owner_ = false;
    return {};
  }
  OrderActions OnOwnershipConfirmed(TimePoint, TimePoint) { return {}; }
  OrderActions Submit(EngineOrder order, TimePoint now) {
    open_ = std::move(order);
    return Send(now);
  }
  OrderActions OnAnswer(const UpstreamId&, const std::string& id, OrderAnswer answer, TimePoint) {
    if (open_ && open_->order_id == id && answer == OrderAnswer::kApplied) {
      open_.reset();
    }
    return {};
  }
  OrderActions Tick(TimePoint now) { return open_ && now >= retry_ ? Send(now) : OrderActions{}; }
  std::optional<TimePoint> NextDeadline() const {
    return open_ && owner_ ? std::optional(retry_) : std::nullopt;
  }

 private:
  OrderActions Send(TimePoint now) {
    retry_ = now + limits_.retry_after;
    if (!owner_ || !open_) {
      return {};
    }
    return {SendOrder{*open_, std::numeric_limits<std::uint64_t>::max(), TimePoint::max()}};
  }

  OrderLimits limits_;
  bool owner_ = false;
  std::optional<EngineOrder> open_;
  TimePoint retry_{};
};

// Simulates instances that own one engine alternately, read ownership changes late and are paused.
// Their orders and answers are delayed or lost.
template <typename Orders>
class OrderSim {
 public:
  OrderSim(std::uint64_t seed, bool checks_fence) : random_(seed), checks_fence_(checks_fence) {
    for (auto& instance : instances_) {
      instance = std::make_unique<Instance>();
    }
    ChangeOwner();
    for (int i = 0; i < kInstances; ++i) {
      Poll(i);
      SubmitOrders(i);
      Pause(i);
    }
  }

  void Run() { events_.RunUntil(TimePoint{} + kEnd); }

  // Number of orders of an older owner that took effect after one of a newer owner.
  int Overrides() const { return overrides_; }
  int Applied() const { return applied_; }

 private:
  static constexpr int kInstances = 3;
  static constexpr Duration kEnd = seconds(600);

  struct Instance {
    Orders orders{OrderLimits{}};
    TimePoint paused_until{};
  };

  bool Chance(int percent) { return static_cast<int>(random_.Below(100)) < percent; }

  // Changes the members row or the manifest and makes a random instance the owner.
  void ChangeOwner() {
    (Chance(70) ? term_.epoch : term_.revision) += 1;
    term_.checks_fence = checks_fence_;
    owner_ = static_cast<int>(random_.Below(kInstances));
    events_.After(seconds(5) + random_.UpTo(seconds(120)), [this] { ChangeOwner(); });
  }

  template <typename Event>
  void RunEvent(int number, Event event) {
    Instance& instance = *instances_[number];
    if (instance.paused_until > events_.now()) {
      events_.At(instance.paused_until, [=] { RunEvent(number, event); });
      return;
    }
    for (const OrderAction& action : event(instance.orders)) {
      if (const auto* send = std::get_if<SendOrder>(&action)) {
        Send(number, *send);
      }
    }
    ArmTimer(number);
  }

  void ArmTimer(int number) {
    const auto next = instances_[number]->orders.NextDeadline();
    if (next && *next > events_.now()) {
      events_.At(*next, [=] {
        if (instances_[number]->orders.NextDeadline() == next) {
          RunEvent(number, [=](Orders& orders) { return orders.Tick(events_.now()); });
        }
      });
    }
  }

  // Reads the rows; some reads fail or are late, so that the view becomes stale.
  void Poll(int number) {
    const TimePoint start = events_.now();
    const OwnerTerm term = term_;
    const bool owns = owner_ == number;
    if (!Chance(25)) {
      events_.After(random_.UpTo(milliseconds(300)), [=] {
        RunEvent(number,
                 [=](Orders& orders) { return UpdateView(orders, number, term, owns, start); });
      });
    }
    events_.After(seconds(1) + random_.UpTo(seconds(Chance(20) ? 14 : 2)), [=] { Poll(number); });
  }

  OrderActions UpdateView(Orders& orders,
                          int number,
                          const OwnerTerm& term,
                          bool owns,
                          TimePoint start) {
    known_fences_[number] = FencingNumber(term);
    OrderActions actions =
        owns ? orders.OnOwner("e", term, events_.now()) : orders.OnNotOwner("e", events_.now());
    OrderActions more = orders.OnOwnershipConfirmed(start + OrderLimits{}.lease, events_.now());
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
  }

  void SubmitOrders(int number) {
    RunEvent(number, [=](Orders& orders) {
      const std::string id = "o" + std::to_string(++last_order_);
      return orders.Submit({id, "e", "load_version", id, "version"}, events_.now());
    });
    events_.After(seconds(1) + random_.UpTo(seconds(30)), [=] { SubmitOrders(number); });
  }

  void Pause(int number) {
    events_.After(random_.UpTo(seconds(120)), [=] {
      instances_[number]->paused_until = events_.now() + random_.UpTo(seconds(40));
      Pause(number);
    });
  }

  void Send(int number, const SendOrder& send) {
    terms_.emplace(send.order.order_id, known_fences_[number]);
    const Duration connect = random_.UpTo(Chance(10) ? seconds(20) : milliseconds(5));
    events_.After(connect, [=] {
      RunEvent(number, [=](Orders& orders) {
        if (events_.now() >= send.send_before) {
          return orders.OnAnswer("e", send.order.order_id, OrderAnswer::kNotSent, events_.now());
        }
        const Duration flight =
            random_.UpTo(Chance(30) ? OrderLimits{}.longest_flight : milliseconds(20));
        events_.After(flight, [=] { ArriveAtEngine(number, send); });
        return OrderActions{};
      });
    });
  }

  // The engine ignores order ids that it has received before and, if `checks_fence_`, refuses lower
  // fencing numbers.
  void ArriveAtEngine(int number, const SendOrder& send) {
    OrderAnswer answer = OrderAnswer::kApplied;
    if (checks_fence_ && send.fence < highest_fence_) {
      answer = OrderAnswer::kStaleFence;
    } else if (seen_.insert(send.order.order_id).second) {
      Apply(send);
    }
    if (!Chance(20)) {
      events_.After(random_.UpTo(milliseconds(20)), [=] {
        RunEvent(number, [=](Orders& orders) {
          return orders.OnAnswer("e", send.order.order_id, answer, events_.now());
        });
      });
    }
  }

  // An order belongs to the term that its sender had last read when it first sent the order.
  void Apply(const SendOrder& send) {
    ++applied_;
    highest_fence_ = std::max(highest_fence_, send.fence);
    const std::uint64_t term = terms_[send.order.order_id];
    overrides_ += term < highest_term_ ? 1 : 0;
    highest_term_ = std::max(highest_term_, term);
  }

  SimEventQueue events_;
  Jitter random_;
  bool checks_fence_;
  std::array<std::unique_ptr<Instance>, kInstances> instances_;
  std::array<std::uint64_t, kInstances> known_fences_{};  // fencing number of the term last read
  OwnerTerm term_;
  int owner_ = 0;
  int last_order_ = 0;
  std::set<std::string> seen_;
  std::map<std::string, std::uint64_t> terms_;
  std::uint64_t highest_fence_ = 0;
  std::uint64_t highest_term_ = 0;
  int overrides_ = 0;
  int applied_ = 0;
};

}  // namespace

TEST_CASE("An order of an old owner never takes effect after one of a newer owner") {
  const bool checks_fence = GENERATE(true, false);
  int applied = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    OrderSim<EngineOrders> sim(seed, checks_fence);
    sim.Run();
    INFO("seed " << seed);
    CHECK(sim.Overrides() == 0);
    applied += sim.Applied();
  }
  CHECK(applied > 10 * static_cast<int>(kSeeds));
}

TEST_CASE("Without fencing, waits and confirmed ownership, an old order wins (seed 0)") {
  OrderSim<NaiveOrders> sim(0, true);
  sim.Run();
  CHECK(sim.Overrides() > 0);
}
