// Relay and RelayCall: the part of a service's requests that goes to a new version.

#include <algorithm>

#include <nlohmann/json.hpp>

#include "relay_call.h"

namespace chiverail {
namespace {

// The counters of the other instances are used up to this age.
constexpr Duration kMaxTallyAge = milliseconds(2500);

// Repeated requests go to the old version during a trial, and to the new one once it is promoted.
constexpr double kRetryDraw = 0.999;

// Deliveries of a stream's events from which on the time between two of them is meaningful.
constexpr std::uint32_t kMinDeliveries = 4;

nlohmann::json CountsLine(const VersionCounts& counts) {
  return {{"answers", counts.answers},
          {"failed", counts.failed},
          {"broken", counts.broken},
          {"timed", counts.timed},
          {"slow", counts.slow}};
}

std::string AnswerLabel(RolloutSide side, const AnswerSample& sample) {
  const char* quality = sample.failed ? "_failed" : sample.broken ? "_broken" : "_answered";
  return std::string(NameOf(kRolloutSideNames, side)) + quality;
}

}  // namespace

RolloutSources Relay::RolloutSourcesAt(TimePoint now) {
  RolloutSources sources;
  sources.upstreams = [this, now](const std::string& service) {
    std::vector<RolloutUpstream> upstreams;
    for (const auto& [id, upstream] : upstreams_.all()) {
      if (upstream.entry.service == service) {
        const bool usable = !upstream.draining && !upstream.removed && !upstream.entry_lapsed &&
                            upstream.backoff_until <= now;
        upstreams.push_back(
            {id, upstream.entry.version, usable, upstream.own_load + upstream.peer_load});
      }
    }
    return upstreams;
  };
  sources.longest_timeout = [this](const std::string& service) {
    return table_ ? table_->LongestTimeout(service) : Duration::zero();
  };
  sources.others = [uses = fleet_.OthersUses(now)](std::uint32_t tag) {
    const auto found = uses.find(tag);
    return found == uses.end() ? Tally{tag, 0, 0}
                               : Tally{tag, found->second.requests, found->second.retries};
  };
  const auto age = fleet_.StateAge(now);
  sources.in_contact =
      HasFreshConfig(now) && (fleet_.roster().live_count() == 1 || (age && *age < kMaxTallyAge));
  return sources;
}

void Relay::UpdateRollouts(TimePoint now) {
  if (rollouts_.empty()) {
    return;
  }
  for (const std::string& service : rollouts_.Update(RolloutSourcesAt(now), now)) {
    const Rollout& rollout = *rollouts_.Find(service);
    const RolloutCounts& counts = *rollouts_.CountsOf(service);
    metrics_.Set(Gauge::kRolloutShare, rollout.share(), service);
    log_.Write(Decision::kRollout, {{"service", service},
                                    {"to", rollout.order().version},
                                    {"phase", NameOf(kRolloutPhaseNames, rollout.phase())},
                                    {"share", rollout.share()},
                                    {"why", rollout.reason()},
                                    {"fault", NameOf(kVersionFaultNames, rollout.fault())},
                                    {"new", CountsLine(TotalOf(counts, RolloutSide::kNew))},
                                    {"old", CountsLine(TotalOf(counts, RolloutSide::kOld))}});
    ServeQueue(service);
  }
}

void Relay::OnRolloutAnswer(const std::string& service,
                            const std::string& version,
                            const std::string& route,
                            const AnswerSample& sample) {
  const Rollout* rollout = rollouts_.Find(service);
  if (rollout == nullptr) {
    return;
  }
  const RolloutSide side =
      version == rollout->order().version ? RolloutSide::kNew : RolloutSide::kOld;
  metrics_.Add(Counter::kRolloutAnswers, 1, AnswerLabel(side, sample));
  rollouts_.OnAnswer(service, version, route, sample);
}

// A request for the new version that finds no room there goes to the old one, not the other way
// round: the share of the new version is a limit.
Choice RelayCall::ChooseByVersion(ChoiceQuery query, const ChoiceLimits& limits, TimePoint now) {
  const RolloutSet& rollouts = relay_.rollouts();
  const auto choose = [&](RolloutSide side) {
    query.eligible = [this, &rollouts, side](const UpstreamState& upstream) {
      return rollouts.MayTake(service_name_, upstream.entry.id, upstream.entry.version, side);
    };
    return ChooseUpstream(relay_.upstreams(), query, limits, now);
  };
  const bool repeated = attempts_made_ > 0 || runs_ > 0;
  const RolloutSide side = rollouts.SideFor(service_name_, repeated ? kRetryDraw : rollout_draw_);
  const Choice choice = choose(side);
  return choice.upstream != nullptr || side == RolloutSide::kOld ? choice
                                                                 : choose(RolloutSide::kOld);
}

void RelayCall::RecordForRollout(bool failed, bool broken, TimePoint now) {
  if (relay_.rollouts().empty()) {
    return;
  }
  AnswerSample sample;
  sample.failed = failed;
  sample.broken = broken;
  const bool stream = route_->kind == WorkKind::kStream;
  if (!stream && !upstream_cold_) {
    sample.time = now - sent_at_;
  } else if (stream && deliveries_ >= kMinDeliveries && !upstream_cold_) {
    sample.time = (heard_at_ - answer_begun_at_) / (deliveries_ - 1);
  }
  sample.late = !upstream_cold_ && answer_begun_at_ != TimePoint{} &&
                answer_begun_at_ - sent_at_ > route_->objective;
  relay_.OnRolloutAnswer(service_name_, upstream_version_, route_->name, sample);
}

}  // namespace chiverail
