#include "world.h"

#include <algorithm>
#include <utility>

namespace chiverail::bench {

// Engines that join during the run are created here as well, cold and not accepting work.
World::World(const Plan& plan, const std::vector<TraceTurn>& turns)
    : plan_(plan), turns_(turns), turn_progress_(turns.size()) {
  const auto add = [&](const FleetState& state, bool warm) {
    for (const Upstream& upstream : state.manifest->upstreams) {
      if (engine_by_id_.count(upstream.id) == 0) {
        SimEngineSettings settings;
        settings.cold_limit = upstream.cold_limit;
        engine_by_id_[upstream.id] = engines_.size();
        engines_.push_back({upstream.id, SimEngine(settings)});
        if (warm) {
          engines_.back().simulated.SkipColdStart();
        }
      }
    }
  };
  add(plan.initial, true);
  for (const FleetChange& change : plan.changes) {
    if (change.kind == FleetChange::Kind::kView) {
      add(change.state, false);
    }
  }
  SetAccepting(plan.initial);
}

void World::SetAccepting(const FleetState& state) {
  const FleetView view(state);
  bool changed = false;
  for (EngineState& engine : engines_) {
    const EngineEntry* entry = view.FindEngine(engine.id);
    const bool accepting = entry != nullptr && entry->accepting;
    changed = changed || accepting != engine.accepting;
    engine.accepting = accepting;
  }
  if (changed) {
    meter_.AddFleetChange(loop_.now());
  }
}

bool World::Measured(std::uint32_t turn) const {
  return turns_[turn].time >= kMeasureFrom;
}

void World::RecordLoads() {
  std::uint32_t highest = 0;
  std::uint64_t total = 0;
  std::size_t accepting = 0;
  for (const EngineState& engine : engines_) {
    if (engine.accepting) {
      highest = std::max(highest, engine.simulated.running());
      total += engine.simulated.running();
      ++accepting;
    }
  }
  meter_.AddLoads(highest, total, accepting, loop_.now());
}

bool World::Start(std::uint32_t turn, std::size_t engine, OnEnd on_end) {
  EngineState& state = engines_[engine];
  if (state.stopped) {
    return false;
  }
  const TraceTurn& request = turns_[turn];
  if (state.simulated.cold() &&
      state.simulated.running() >= static_cast<std::uint32_t>(SimEngineSettings{}.cold_limit) &&
      Measured(turn)) {
    meter_.AddColdOver();
  }
  const SimService service = state.simulated.Start(request.chat_hash, request.prompt_tokens,
                                                   request.output_tokens, loop_.now());
  TurnProgress& progress = turn_progress_[turn];
  if (Measured(turn)) {
    if (++progress.starts > 1) {
      meter_.AddDuplicate();
    } else {
      meter_.AddPrompt(request.prompt_tokens, service.cached_tokens);
    }
  }
  RecordLoads();
  loop_.At(service.first_token, [this, turn, engine] {
    TurnProgress& current = turn_progress_[turn];
    if (!engines_[engine].stopped && !current.had_first_token) {
      current.had_first_token = true;
      if (Measured(turn)) {
        meter_.AddFirstToken(loop_.now() - turns_[turn].time, Surging(turn));
      }
    }
  });
  loop_.At(service.end,
           [this, turn, engine, service, started = loop_.now(), on_end = std::move(on_end)] {
             End(turn, engine);
             on_end({!engines_[engine].stopped, service.first_token - started});
           });
  return true;
}

// A request counts as cut once if its engine stops during the request, even if the policy retries
// it.
void World::End(std::uint32_t turn, std::size_t engine) {
  EngineState& state = engines_[engine];
  const TraceTurn& request = turns_[turn];
  if (state.stopped) {
    state.simulated.Abandon();
    Cut(turn);
  } else {
    state.simulated.Finish(request.chat_hash, request.turn,
                           request.prompt_tokens + request.output_tokens);
  }
  RecordLoads();
}

void World::Cut(std::uint32_t turn) {
  if (Measured(turn) && !turn_progress_[turn].outcome_counted) {
    turn_progress_[turn].outcome_counted = true;
    meter_.AddCut();
  }
}

void World::Refuse(std::uint32_t turn) {
  if (Measured(turn) && !turn_progress_[turn].outcome_counted) {
    turn_progress_[turn].outcome_counted = true;
    meter_.AddRefused(Surging(turn));
  }
}

void World::AddControlBytes(std::uint64_t bytes) {
  if (loop_.now() >= kMeasureFrom && loop_.now() < kMeasureTo) {
    control_bytes_ += bytes;
  }
}

void World::Apply(const FleetChange& change) {
  switch (change.kind) {
    case FleetChange::Kind::kView:
      SetAccepting(change.state);
      break;
    case FleetChange::Kind::kEngineCold:
      engines_[EngineIndex(change.subject)].simulated.Restart();
      break;
    case FleetChange::Kind::kEngineStops:
      engines_[EngineIndex(change.subject)].stopped = true;
      break;
    case FleetChange::Kind::kInstanceStops:
    case FleetChange::Kind::kInstanceCrashes:
    case FleetChange::Kind::kInstanceStarts:
    case FleetChange::Kind::kTableDown:
      break;
  }
}

// Each arrival schedules the next one, so that the event heap contains only one arrival at a time.
void World::ScheduleArrival(std::uint32_t turn,
                            const std::function<void(std::uint32_t)>& on_arrival) {
  if (turn >= turns_.size()) {
    return;
  }
  loop_.At(turns_[turn].time, [this, turn, &on_arrival] {
    ScheduleArrival(turn + 1, on_arrival);
    if (Measured(turn)) {
      meter_.AddArrival(Surging(turn));
    }
    on_arrival(turn);
  });
}

void World::Run(const std::function<void(std::uint32_t)>& on_arrival,
                const std::function<void(const FleetChange&)>& on_change) {
  for (const FleetChange& change : plan_.changes) {
    loop_.At(change.time, [this, &change, &on_change] {
      Apply(change);
      on_change(change);
    });
  }
  ScheduleArrival(0, on_arrival);
  loop_.RunUntil(kRunEnd);
}

RunResult World::Finish() {
  RunResult result = meter_.Finish(control_bytes_, static_cast<std::size_t>(plan_.size.instances));
  result.site = NameOf(kSiteNames, plan_.site);
  result.scenario = NameOf(kScenarioNames, plan_.scenario);
  return result;
}

}  // namespace chiverail::bench
