#include <nlohmann/json.hpp>

#include "router_actor.h"

namespace chiverail {

void RouterActor::PublishMetrics() {
  Metrics& metrics = runtime_.metrics;
  for (const Gauge gauge :
       {Gauge::kSlotsHeld, Gauge::kQueued, Gauge::kEngineForeign, Gauge::kEngineLimit,
        Gauge::kEngineActive, Gauge::kEngineLoad, Gauge::kEngineCold}) {
    metrics.Clear(gauge);
  }
  for (const EngineEntry& engine : view_->engines()) {
    if (const auto status = admission_.Status(engine.upstream->id)) {
      PublishEngine(engine.upstream->id, *status);
    }
  }
}

void RouterActor::PublishEngine(const UpstreamId& engine, const OwnedEngineStatus& status) {
  Metrics& metrics = runtime_.metrics;
  metrics.Set(Gauge::kSlotsHeld, status.slots, engine);
  metrics.Set(Gauge::kQueued, status.queued, engine);
  metrics.Set(Gauge::kEngineForeign, status.foreign, engine);
  metrics.Set(Gauge::kEngineLimit, status.limit, engine);
  metrics.Set(Gauge::kEngineActive, status.phase == AdmissionPhase::kActive ? 1 : 0, engine);
  const auto report = load_reports_.find(engine);
  if (report != load_reports_.end()) {
    metrics.Set(Gauge::kEngineLoad, report->second.running, engine);
    metrics.Set(Gauge::kEngineCold, report->second.cold ? 1 : 0, engine);
  }
}

std::string RouterActor::StatusJson() const {
  nlohmann::json engines = nlohmann::json::array();
  for (const EngineEntry& engine : view_->engines()) {
    const Member* owner = view_->AdmissionOwner(engine);
    nlohmann::json entry = {{"id", engine.upstream->id},
                            {"data_centre", engine.upstream->data_centre},
                            {"accepting", engine.accepting},
                            {"owner", owner == nullptr ? "" : owner->id}};
    if (const auto status = admission_.Status(engine.upstream->id)) {
      entry["phase"] = NameOf(kAdmissionPhaseNames, status->phase);
      entry["slots"] = status->slots;
      entry["foreign"] = status->foreign;
      entry["limit"] = status->limit;
      entry["queued"] = status->queued;
    }
    const auto report = load_reports_.find(engine.upstream->id);
    if (report != load_reports_.end()) {
      entry["reported_load"] = report->second.running;
      entry["cold"] = report->second.cold;
    }
    engines.push_back(std::move(entry));
  }
  return nlohmann::json{{"instance", self_}, {"upstreams", engines}}.dump();
}

}  // namespace chiverail
