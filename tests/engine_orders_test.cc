#include "engine_orders.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

const TimePoint kStart{};

EngineOrder Load(const std::string& id, const std::string& version) {
  return {id, "e1", "load_version", version, "version"};
}

std::vector<SendOrder> Sent(const OrderActions& actions) {
  std::vector<SendOrder> sent;
  for (const OrderAction& action : actions) {
    if (const auto* send = std::get_if<SendOrder>(&action)) {
      sent.push_back(*send);
    }
  }
  return sent;
}

std::vector<OrderEnded> Ended(const OrderActions& actions) {
  std::vector<OrderEnded> ended;
  for (const OrderAction& action : actions) {
    if (const auto* end = std::get_if<OrderEnded>(&action)) {
      ended.push_back(*end);
    }
  }
  return ended;
}

}  // namespace

TEST_CASE("The owner of an engine sends fenced orders") {
  const OrderLimits limits;
  EngineOrders orders(limits);
  orders.OnOwnershipConfirmed(kStart + seconds(1000), kStart);

  SECTION("an instance that does not own the engine sends no orders") {
    const auto ended = Ended(orders.Submit(Load("o1", "2"), kStart));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == OrderOutcome::kLostOwnership);
  }
  SECTION("an engine that checks fencing numbers is sent the order immediately") {
    orders.OnOwner("e1", {5, 7, true}, kStart);
    const auto sent = Sent(orders.Submit(Load("o1", "2"), kStart));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].fence == FencingNumber({5, 7, true}));
    CHECK(sent[0].fence > FencingNumber({4, 9, true}));
    CHECK(sent[0].send_before == kStart + limits.send_window);

    SECTION("an order without an answer is resent with the same id and fencing number") {
      orders.OnOwner("e1", {6, 7, true}, kStart + seconds(1));
      const auto again = Sent(orders.Tick(kStart + limits.retry_after));
      REQUIRE(again.size() == 1);
      CHECK(again[0].order.order_id == "o1");
      CHECK(again[0].fence == sent[0].fence);

      SECTION("the next order waits until the unanswered copy cannot take effect") {
        orders.OnAnswer("e1", "o1", OrderAnswer::kApplied, kStart + seconds(6));
        CHECK(Sent(orders.Submit(Load("o2", "3"), kStart + seconds(6))).empty());
        const TimePoint over =
            kStart + limits.retry_after + limits.send_window + limits.longest_flight;
        REQUIRE(orders.NextDeadline() == over);
        CHECK(Sent(orders.Tick(over)).size() == 1);
      }
    }
    SECTION("an order is not resent after the confirmed ownership has expired") {
      orders.OnOwnershipConfirmed(kStart + limits.retry_after, kStart);
      CHECK(orders.Tick(kStart + limits.retry_after).empty());
    }
    SECTION("a break in ownership ends the order") {
      // Epoch 6 was missed and may have had another owner.
      const auto ended = Ended(orders.OnOwner("e1", {7, 7, true}, kStart + seconds(1)));
      REQUIRE(ended.size() == 1);
      CHECK(ended[0].outcome == OrderOutcome::kLostOwnership);
      CHECK(ended[0].may_take_effect);
    }
    SECTION("a later order waits until the superseded one has ended") {
      CHECK(Sent(orders.Submit(Load("o2", "3"), kStart + seconds(1))).empty());
      CHECK(Sent(orders.Tick(kStart + limits.retry_after)).empty());
      SECTION("with an answer") {
        const auto actions =
            orders.OnAnswer("e1", "o1", OrderAnswer::kApplied, kStart + seconds(2));
        REQUIRE(Sent(actions).size() == 1);
        CHECK(Sent(actions)[0].order.order_id == "o2");
      }
      SECTION("by timeout") {
        const auto actions = orders.Tick(kStart + limits.send_window + limits.longest_flight);
        REQUIRE(Ended(actions).size() == 1);
        CHECK(Ended(actions)[0].outcome == OrderOutcome::kSuperseded);
        CHECK(Sent(actions).size() == 1);
      }
      SECTION("a third order replaces the second one in the queue") {
        const auto ended = Ended(orders.Submit(Load("o3", "4"), kStart + seconds(2)));
        REQUIRE(ended.size() == 1);
        CHECK(ended[0].order_id == "o2");
        CHECK(orders.open() == 2);
      }
    }
  }
  SECTION("at an engine without fencing checks, a new owner waits before its first order") {
    orders.OnOwner("e1", {5, 7, false}, kStart);
    CHECK(Sent(orders.Submit(Load("o1", "2"), kStart)).empty());
    const TimePoint free = kStart + limits.lease + limits.lease_margin + limits.longest_flight;
    REQUIRE(orders.NextDeadline() == free);
    CHECK(Sent(orders.Tick(free - milliseconds(1))).empty());

    SECTION("an owner that remains the owner in the next epoch does not wait again") {
      orders.OnOwner("e1", {6, 7, false}, kStart + seconds(20));
      CHECK(Sent(orders.Tick(free)).size() == 1);
    }
  }
}
