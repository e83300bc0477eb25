#include "placement.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "hash.h"

using namespace chiverail;

namespace {

FleetState Engines(int count) {
  auto manifest = std::make_shared<Manifest>();
  manifest->models = {{"writer", "1", {"legal"}}};
  manifest->data_centres = {{"dc1", "region"}, {"dc2", "region"}};
  for (int i = 0; i < count; ++i) {
    Upstream upstream;
    upstream.id = "engine" + std::to_string(i);
    upstream.data_centre = i % 2 == 0 ? "dc1" : "dc2";
    upstream.model = "writer";
    upstream.version = "1";
    upstream.weight = i == 0 ? 3.0 : 1.0;
    if (i % 3 == 0) {
      upstream.adapters = {"legal"};
    }
    manifest->upstreams.push_back(upstream);
  }
  FleetState state;
  state.manifest = manifest;
  return state;
}

ChatRequest Turn(const ChatId& chat, std::uint32_t turn = 1) {
  ChatRequest request;
  request.model = "writer";
  request.region = "region";
  request.chat = chat;
  request.turn = turn;
  return request;
}

UpstreamId Name(const FleetView& view, const Candidate& candidate) {
  return view.engines()[candidate.engine].upstream->id;
}

TimePoint At(int second) {
  return TimePoint(seconds(second));
}

}  // namespace

TEST_CASE("Placement orders the engines of a chat") {
  const FleetView view(Engines(40));
  Placement placement;

  SECTION("an unknown chat gets the exact weighted rendezvous order") {
    // Guards against a wrong order from MaxSkippableHash, which avoids most of the logarithms.
    for (int i = 0; i < 300; ++i) {
      const ChatId chat = "chat" + std::to_string(i);
      std::map<double, std::uint32_t, std::greater<>> expected;
      for (const EngineEntry& engine : view.engines()) {
        expected[RendezvousScore(HashText(chat), engine.hash, engine.upstream->weight)] =
            engine.index;
      }
      const CandidateList list = placement.Rank(view, Turn(chat), At(0));
      REQUIRE(list.size() == 6);
      auto next = expected.begin();
      for (const Candidate& candidate : list) {
        CHECK(candidate.engine == next->second);
        CHECK(candidate.cached_turn == 0);
        ++next;
      }
    }
  }

  SECTION("an engine of weight 3 is the home engine of three times as many chats") {
    std::map<UpstreamId, int> home;
    for (int i = 0; i < 42000; ++i) {
      ++home[Name(view, placement.Rank(view, Turn("c" + std::to_string(i)), At(0))[0])];
    }
    CHECK(home["engine0"] == Approx(3000).epsilon(0.1));
    CHECK(home["engine1"] == Approx(1000).epsilon(0.15));
  }

  SECTION("engines without the adapter are not candidates, even if they are cache holders") {
    ChatRequest request = Turn("chat");
    request.adapter = "legal";
    placement.OnServed("chat", "engine1", 4, At(0));
    for (const Candidate& candidate : placement.Rank(view, request, At(1))) {
      CHECK(candidate.engine % 3 == 0);
    }
  }

  SECTION("cache holders come first, in descending order of their turns") {
    const CandidateList plain = placement.Rank(view, Turn("chat"), At(0));
    placement.OnServed("chat", "engine7", 5, At(1));
    placement.OnServed("chat", "engine9", 6, At(2));
    const CandidateList list = placement.Rank(view, Turn("chat", 7), At(3));
    CHECK(Name(view, list[0]) == "engine9");
    CHECK(list[0].cached_turn == 6);
    CHECK(Name(view, list[1]) == "engine7");
    CHECK(list[2].engine == plain[0].engine);

    SECTION("the slot wait is proportional to the tokens that would be recomputed") {
      ChatRequest request = Turn("chat", 7);
      request.prompt_tokens = 3000;
      const CandidateList order = placement.Rank(view, request, At(3));
      CHECK(order[0].max_slot_wait == milliseconds(150));  // the next holder recomputes a sixth
      CHECK(order[1].max_slot_wait == milliseconds(900));  // the one after recomputes everything
      CHECK(order[2].max_slot_wait == milliseconds(0));
      request.prompt_tokens = 100'000;
      CHECK(placement.Rank(view, request, At(3))[1].max_slot_wait == milliseconds(1000));
    }
    SECTION("a late eviction of an older turn does not remove a newer copy") {
      placement.OnCacheEvent({"engine9", "chat", CacheEventKind::kEvicted, 5});
      CHECK(Name(view, placement.Rank(view, Turn("chat", 7), At(5))[0]) == "engine9");
    }
    SECTION("an eviction removes the copy") {
      placement.OnCacheEvent({"engine9", "chat", CacheEventKind::kEvicted, 6});
      CHECK(Name(view, placement.Rank(view, Turn("chat", 7), At(5))[0]) == "engine7");
    }
    SECTION("a late stored event does not lower the turn of a copy") {
      placement.OnCacheEvent({"engine9", "chat", CacheEventKind::kStored, 2});
      CHECK(placement.Rank(view, Turn("chat", 7), At(5))[0].cached_turn == 6);
    }
    SECTION("a restart removes the copies of that engine only") {
      placement.OnEngineRestarted("engine9");
      CHECK(Name(view, placement.Rank(view, Turn("chat", 7), At(5))[0]) == "engine7");
    }
    SECTION("a holder in a data centre out of service is skipped until the data centre returns") {
      FleetState state = Engines(40);
      state.data_centres_out = {"dc2"};
      const FleetView out(state);
      for (const Candidate& candidate : placement.Rank(out, Turn("chat", 7), At(5))) {
        CHECK(out.engines()[candidate.engine].upstream->data_centre == "dc1");
      }
      CHECK(Name(view, placement.Rank(view, Turn("chat", 8), At(60))[0]) == "engine9");
    }
    SECTION("a fifth holder replaces the one with the lowest turn") {
      for (int i = 0; i < 3; ++i) {
        placement.OnServed("chat", "engine" + std::to_string(20 + i), 7 + i, At(6));
      }
      const CandidateList five = placement.Rank(view, Turn("chat", 10), At(7));
      CHECK(Name(view, five[0]) == "engine22");
      CHECK(Name(view, five[3]) == "engine9");
      CHECK(five[4].cached_turn == 0);
    }
  }
}

TEST_CASE("The chat table is bounded") {
  const FleetView view(Engines(12));
  Placement placement(1024);
  const std::size_t bytes = placement.MemoryBytes();

  SECTION("chats with several turns are not evicted by many chats with a single turn") {
    for (int i = 0; i < 200; ++i) {
      placement.OnServed("old" + std::to_string(i), "engine5", 1, At(0));
      placement.OnServed("old" + std::to_string(i), "engine5", 2, At(60));
    }
    for (int i = 0; i < 20000; ++i) {
      placement.OnServed("flood" + std::to_string(i), "engine3", 1, At(100 + i / 20));
    }
    CHECK(placement.ChatCount() <= 1024);
    CHECK(placement.MemoryBytes() == bytes);
    int kept = 0;
    for (int i = 0; i < 200; ++i) {
      kept +=
          placement.Rank(view, Turn("old" + std::to_string(i), 3), At(1200))[0].cached_turn == 2;
    }
    CHECK(kept >= 195);
  }

  SECTION("events of unknown chats are not recorded") {
    placement.OnCacheEvent({"engine1", "stranger", CacheEventKind::kStored, 3});
    CHECK(placement.ChatCount() == 0);
  }
}
