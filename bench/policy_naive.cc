#include "policies.h"

#include <algorithm>
#include <utility>

#include "hash.h"

namespace chiverail::bench {
namespace {

// A router retries a request that has no first token after this time.
constexpr Duration kNoTokenRetryAfter = seconds(3);
constexpr Duration kBusyRetryAfter = milliseconds(250);
constexpr int kMaxAttempts = 6;
constexpr Duration kReportInterval = seconds(1);
// Interval of the engines' load samples; a report carries the latest sample.
constexpr Duration kSampleInterval = milliseconds(1500);

}  // namespace

NaivePolicy::NaivePolicy(World& world, std::uint64_t seed)
    : world_(world),
      random_(CombineHashes(seed, HashText("naive"))),
      turns_(world.turns().size()),
      sampled_(world.engine_count()) {
  const auto view = std::make_shared<const FleetView>(world.plan().initial);
  for (const Member& member : view->members()) {
    instance_ids_.push_back(member.id);
    routers_.push_back({std::vector<std::uint32_t>(world.engine_count()), view});
  }
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    RefreshReports(i);
  }
}

// The call for router 0 also schedules the next load sample of all engines.
void NaivePolicy::RefreshReports(std::size_t router) {
  if (router == 0) {
    world_.loop().After(kSampleInterval, [this] {
      for (std::size_t i = 0; i < sampled_.size(); ++i) {
        sampled_[i] = world_.engine(i).running();
      }
    });
  }
  routers_[router].reported = sampled_;
  const Duration jitter = milliseconds(random_.Below(200));
  world_.loop().After(kReportInterval + jitter, [this, router] { RefreshReports(router); });
}

void NaivePolicy::OnChange(const FleetChange& change) {
  if (change.kind == FleetChange::Kind::kView) {
    const auto view = std::make_shared<const FleetView>(change.state, change.state.revision);
    for (Router& router : routers_) {
      const Duration lag = milliseconds(100 + random_.Below(2000));
      world_.loop().After(lag, [&router, view] {
        if (view->sequence() > router.view->sequence()) {
          router.view = view;
        }
      });
    }
    return;
  }
  for (std::size_t i = 0; i < instance_ids_.size(); ++i) {
    if (instance_ids_[i] == change.subject) {
      routers_[i].live = change.kind == FleetChange::Kind::kInstanceStarts;
    }
  }
}

void NaivePolicy::OnArrival(std::uint32_t turn) {
  std::size_t router = random_.Below(static_cast<std::uint32_t>(routers_.size()));
  while (!routers_[router].live) {
    router = (router + 1) % routers_.size();
  }
  Send(turn, router, kMaxAttempts);
}

std::size_t NaivePolicy::PickEngine(const Router& router) {
  std::size_t best = 0;
  std::uint32_t best_load = ~0U;
  std::uint32_t ties = 0;
  for (const EngineEntry& entry : router.view->engines()) {
    if (!entry.accepting) {
      continue;
    }
    const std::size_t engine = world_.EngineIndex(entry.upstream->id);
    const std::uint32_t load = router.reported[engine];
    ties = load < best_load ? 1 : ties + (load == best_load ? 1 : 0);
    if (load < best_load || (load == best_load && random_.Below(ties) == 0)) {
      best_load = load;
      best = engine;
    }
  }
  return best;
}

// An engine at its maximum concurrency rejects the request as busy. The request is retried after a
// rejection and after a missing first token.
void NaivePolicy::Send(std::uint32_t turn, std::size_t router, int attempts_left) {
  if (attempts_left == 0) {
    if (turns_[turn].starts == 0) {
      world_.Refuse(turn);
    }
    return;
  }
  const std::size_t engine = PickEngine(routers_[router]);
  const auto max_concurrency = static_cast<std::uint32_t>(Upstream{}.max_concurrency);
  const bool started = world_.engine(engine).running() < max_concurrency &&
                       world_.Start(turn, engine, [](const ServiceEnd&) {});
  if (!started) {
    world_.loop().After(kBusyRetryAfter, [this, turn, router, attempts_left] {
      Send(turn, router, attempts_left - 1);
    });
    return;
  }
  ++turns_[turn].starts;
  world_.loop().After(kNoTokenRetryAfter, [this, turn, router, attempts_left] {
    if (!world_.HasFirstToken(turn)) {
      Send(turn, router, attempts_left - 1);
    }
  });
}

}  // namespace chiverail::bench
