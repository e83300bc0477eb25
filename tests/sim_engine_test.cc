#include "sim_engine.h"

#include <catch2/catch.hpp>

using namespace chiverail;
using namespace chiverail::bench;

// The bench measures cache reuse with this model; an error in it would distort the results.
TEST_CASE("A simulated engine has an LRU cache of limited size") {
  SimEngineSettings settings;
  settings.cache_tokens = 2500;
  SimEngine engine(settings);
  engine.SkipColdStart();
  const TimePoint now{seconds(10)};
  engine.Start(1, 1000, 10, now);
  engine.Finish(1, 1, 1010);
  engine.Start(2, 1000, 10, now);
  engine.Finish(2, 1, 1010);
  CHECK(engine.TakeEvents().size() == 2);

  SECTION("a cached chat reuses its history and gets its first token sooner") {
    const SimService cached = engine.Start(1, 1200, 10, now);
    const SimService uncached = SimEngine(settings).Start(1, 1200, 10, now);
    CHECK(cached.cached_tokens == 1010);
    CHECK(uncached.cached_tokens == 0);
    CHECK(cached.first_token < uncached.first_token);
  }

  SECTION("the least recently used chat is evicted") {
    engine.Start(1, 1000, 10, now);
    engine.Finish(1, 2, 1020);
    engine.Start(3, 900, 10, now);
    engine.Finish(3, 1, 910);
    CHECK(engine.CachedTokens(1) == 1020);
    CHECK(engine.CachedTokens(2) == 0);
    const auto events = engine.TakeEvents();
    REQUIRE(events.size() == 3);
    CHECK(events.back().chat == 2);
    CHECK_FALSE(events.back().stored);
  }

  SECTION("a restart empties the cache and makes the engine cold and slow") {
    const Duration warm = engine.Start(4, 100, 100, now).end - now;
    engine.Finish(4, 1, 200);
    engine.Restart();
    CHECK(engine.cold());
    CHECK(engine.CachedTokens(1) == 0);
    CHECK(engine.Start(4, 100, 100, now).end - now > warm);
  }
}
