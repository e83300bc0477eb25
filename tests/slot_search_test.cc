#include "slot_search.h"

#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

// Six engines in one data centre, owned by the instances a, b and c.
std::shared_ptr<const FleetView> MakeView() {
  auto manifest = std::make_shared<Manifest>();
  manifest->models = {{"writer", "1", {}}};
  manifest->data_centres = {{"dc1", "region"}};
  FleetState state;
  for (int i = 0; i < 6; ++i) {
    Upstream upstream;
    upstream.id = "engine" + std::to_string(i);
    upstream.data_centre = "dc1";
    upstream.model = "writer";
    upstream.version = "1";
    manifest->upstreams.push_back(upstream);
  }
  for (const char* id : {"a", "b", "c"}) {
    Member member;
    member.id = id;
    member.data_centre = "dc1";
    state.members["dc1"].members.push_back(member);
  }
  state.manifest = manifest;
  return std::make_shared<FleetView>(std::move(state));
}

SlotAnswer Answer(const SendSlotRequest& action, bool granted) {
  return {action.request.request, action.request.attempt, action.request.engine, granted,
          action.request.epoch};
}

}  // namespace

TEST_CASE("A slot search sends slot requests to the owners of the candidates") {
  const auto view = MakeView();
  const TimePoint start{seconds(100)};
  ChatRequest request;
  request.request = "r1";
  request.model = "writer";
  request.chat = "chat1";
  request.deadline = start + seconds(2);
  const CandidateList candidates = RendezvousOrder(*view, "writer", "", "region", "chat1");
  SlotSearch search("a", view, request, candidates, 1);

  SECTION("a request for a model that no engine serves is denied as not run") {
    SlotSearch none("a", view, request, {}, 1);
    const auto actions = none.Start(start);
    REQUIRE(std::holds_alternative<SlotDenied>(actions.at(0)));
    CHECK(std::get<SlotDenied>(actions[0]).error.ran == Ran::kNo);
  }

  SECTION("the slot request for the first candidate does not wait") {
    auto actions = search.Start(start);
    const auto first = std::get<SendSlotRequest>(actions.at(0));
    CHECK(first.request.wait_ms == 0);
    CHECK(first.request.engine == view->engines()[candidates[0].engine].upstream->id);

    SECTION("a grant ends the search") {
      actions = search.OnAnswer(Answer(first, true), start);
      CHECK(std::get<SlotFound>(actions.at(0)).engine == first.request.engine);
      CHECK(search.finished());
    }

    SECTION(
        "after a lost answer the next candidate is tried, and the slot is released in case it was "
        "granted") {
      actions = search.Tick(start + kSlotRequestTimeout);
      CHECK(std::get<ReleaseSlot>(actions.at(0)).release.attempt == first.request.attempt);
      const auto second = std::get<SendSlotRequest>(actions.at(1));
      CHECK(second.request.engine != first.request.engine);

      SECTION("and a slot that is granted late is released instead of being used") {
        actions = search.OnAnswer(Answer(first, true), start + kSlotRequestTimeout);
        CHECK(std::holds_alternative<ReleaseSlot>(actions.at(0)));
        CHECK_FALSE(search.finished());
      }
    }

    SECTION("an owner that did not answer is not asked to enqueue the request") {
      actions = search.Tick(start + kSlotRequestTimeout);
      SendSlotRequest current = std::get<SendSlotRequest>(actions.at(1));
      while (current.request.wait_ms == 0) {
        actions = search.OnAnswer(Answer(current, false), start + kSlotRequestTimeout);
        current = std::get<SendSlotRequest>(actions.at(0));
      }
      CHECK(current.request.engine != first.request.engine);
    }

    SECTION("when all refuse, it tries at most two remote owners and then enqueues the request") {
      int remote = 0;
      SendSlotRequest current = first;
      while (current.request.wait_ms == 0) {
        remote += current.owner != "a" ? 1 : 0;
        actions = search.OnAnswer(Answer(current, false), start);
        current = std::get<SendSlotRequest>(actions.at(0));
      }
      CHECK(remote <= kMaxRemoteRequests);
      CHECK(current.request.wait_ms == 1980);

      SECTION("and denies it as not run when three owners have refused to enqueue it") {
        for (int i = 1; i < kMaxEnqueueAttempts; ++i) {
          const UpstreamId before = current.request.engine;
          actions = search.OnAnswer(Answer(current, false), start + seconds(1));
          current = std::get<SendSlotRequest>(actions.at(0));
          CHECK(current.request.engine != before);
          CHECK(current.request.claim == SlotClaim::kLastResort);
        }
        actions = search.OnAnswer(Answer(current, false), start + seconds(1));
        CHECK(std::get<SlotDenied>(actions.at(0)).error.code == ErrorCode::kNoCapacity);
        CHECK(std::get<SlotDenied>(actions.at(0)).error.ran == Ran::kNo);
      }
    }
  }
}
