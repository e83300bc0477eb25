// Relay: ends of upstreams, and the prompt segments that are held because of them.

#include <algorithm>

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "relay.h"

namespace chiverail {
namespace {

// Prompt segments kept for one end of an upstream while it is checked, of one request and of all
// that it cut.
constexpr std::size_t kMaxSegmentsOfRequest = 64;
constexpr std::size_t kMaxSegmentsOfEnd = 4096;

// Prompt segments listed in the log line of an end.
constexpr std::size_t kMaxSegmentsLogged = 32;

}  // namespace

std::vector<SegmentHash> Relay::SharedSegments(const std::vector<PromptSegment>& segments,
                                               const std::string& service) {
  std::vector<SegmentHash> hashes;
  for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
    hashes.push_back(SegmentHashOf(segments[i].id, service));
  }
  return hashes;
}

PromptQuarantine::Verdict Relay::CheckQuarantine(const std::vector<SegmentHash>& segments,
                                                 TimePoint now) {
  const auto owns_trial = [this](SegmentHash segment) {
    const std::vector<InstanceId> live = fleet_.roster().LiveInstances();
    const auto rank = [segment](const InstanceId& id) {
      return XXH64(id.data(), id.size(), segment);
    };
    const auto owner = std::max_element(
        live.begin(), live.end(),
        [&](const InstanceId& a, const InstanceId& b) { return rank(a) < rank(b); });
    return owner == live.end() || *owner == fleet_.roster().self().instance;
  };
  return quarantine_.Check(segments, owns_trial, now);
}

void Relay::LogQuarantineChanges() {
  for (const QuarantineChange& change : quarantine_.TakeChanges()) {
    nlohmann::json line{{"part", fmt::format("{:016x}", change.segment)},
                        {"outcome", NameOf(kQuarantineEventNames, change.event)},
                        {"reports", quarantine_.reports()}};
    if (change.remaining > Duration::zero()) {
      line["for_ms"] = std::chrono::duration_cast<milliseconds>(change.remaining).count();
    }
    for (const std::uint32_t tag : change.upstreams) {
      const UpstreamState* upstream = upstreams_.FindByTag(tag);
      line["upstreams"].push_back(upstream == nullptr ? std::to_string(tag) : upstream->entry.id);
    }
    log_.Write(Decision::kQuarantine, line);
  }
  metrics_.Set(Gauge::kQuarantinedSegments, static_cast<double>(quarantine_.held()));
}

void Relay::CheckEnded(const UpstreamState& upstream, const std::vector<PromptSegment>& segments) {
  const auto [end, added] = suspected_ends_.try_emplace(upstream.entry.id);
  std::vector<std::string>& ids = end->second.segments;
  for (std::size_t i = 0; i + 1 < segments.size() && ids.size() < kMaxSegmentsLogged; ++i) {
    if (std::count(ids.begin(), ids.end(), segments[i].id) == 0) {
      ids.push_back(segments[i].id);
    }
  }
  for (const SegmentHash hash : quarantine_.MostSuspect(
           SharedSegments(segments, upstream.entry.service), kMaxSegmentsOfRequest)) {
    if (end->second.hashes.size() < kMaxSegmentsOfEnd) {
      end->second.hashes.push_back(hash);
    }
  }
  if (!added) {
    return;
  }
  end->second.at = BootTimeNow();
  CheckConnect(io_, upstream.entry.address, {}, UpstreamConnection::kConnectTimeout,
               [this, id = upstream.entry.id](ConnectResult result) { OnEndChecked(id, result); });
}

void Relay::OnEndChecked(const UpstreamId& id, ConnectResult result) {
  const auto node = suspected_ends_.extract(id);
  const SuspectedEnd& end = node.mapped();
  const std::string outcome(NameOf(kConnectResultNames, result));
  metrics_.Add(Counter::kBrokenUpstreams, 1, outcome);
  log_.Write(Decision::kUpstream, {{"upstream", id},
                                   {"outcome", "broke"},
                                   {"new_connection", outcome},
                                   {"unanswered_parts", end.segments}});
  if (result == ConnectResult::kRefused) {
    quarantine_.OnUpstreamEnded(UpstreamTag(id), end.hashes, end.at, BootTimeNow());
  }
}

}  // namespace chiverail
