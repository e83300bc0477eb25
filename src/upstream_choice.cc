#include "upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include <xxhash.h>

namespace chiverail {
namespace {

// Window over which requests sent to a cold upstream are counted. It is longer than one second
// because requests sent in two adjacent windows can arrive within the same second.
constexpr Duration kColdWindow = milliseconds(1150);

// Longest time that TimeUntilAllowed returns.
constexpr Duration kMaxTimeUntilAllowed = seconds(60);

// Load added to upstreams in another data centre, because requests to them cause traffic between
// data centres. It is less than one request, so that a difference in load takes precedence.
constexpr double kRemoteDataCentreLoad = 0.5;

// At or above this failure rate, requests are no longer placed on an upstream by affinity.
constexpr double kAffinityFailureLimit = 0.25;

// Loads that differ by no more than this are treated as equal, since as many requests of other
// instances may have reached either engine since the last digests.
constexpr int kLoadUncertainty = 3;

// Multiple of the average load of another upstream from which on that is preferred.
constexpr double kClearlyMoreLoad = 1.5;

// Number of engines over which requests for a prompt segment are spread when all its cache holders
// are full.
constexpr std::size_t kOverflowEngines = 3;

std::uint64_t RendezvousRank(std::uint64_t affinity, const UpstreamState& upstream) {
  return XXH64(upstream.entry.id.data(), upstream.entry.id.size(), affinity);
}

int TotalLoad(const UpstreamState& upstream) {
  return upstream.own_load + upstream.peer_load;
}

// Returns the position of the first request that was sent within the window.
std::vector<TimePoint>::const_iterator FirstRecentSend(const UpstreamState& upstream,
                                                       Duration window,
                                                       TimePoint now) {
  return std::upper_bound(upstream.recent_sends.begin(), upstream.recent_sends.end(), now - window);
}

std::size_t RecentSends(const UpstreamState& upstream, Duration window, TimePoint now) {
  return static_cast<std::size_t>(upstream.recent_sends.end() -
                                  FirstRecentSend(upstream, window, now));
}

bool WithinColdLimit(const UpstreamState& upstream, const ChoiceQuery& query, TimePoint now) {
  if (upstream.cold_until <= now) {
    return true;
  }
  const double limit = query.cold_limit ? query.cold_limit(upstream) : 0;
  return static_cast<double>(RecentSends(upstream, kColdWindow, now)) + 1 <= limit;
}

bool IsLimited(const UpstreamState& upstream, const ChoiceQuery& query) {
  return query.allowance && query.allowance(upstream).has_value();
}

// Whether the limit that the upstream has named leaves room for a request of this instance.
bool WithinNamedLimit(const UpstreamState& upstream, const ChoiceQuery& query, TimePoint now) {
  const auto allowance = query.allowance ? query.allowance(upstream) : std::nullopt;
  return !allowance || RecentSends(upstream, allowance->window, now) < allowance->requests;
}

UpstreamTerms::Standing StandingOf(const UpstreamState& upstream, const ChoiceQuery& query) {
  return query.standing ? query.standing(upstream) : UpstreamTerms::Standing{};
}

bool IsEligible(const UpstreamState& upstream, const ChoiceQuery& query) {
  return (!query.eligible || query.eligible(upstream)) && !StandingOf(upstream, query).leaving;
}

bool IsBelowSlotLimit(const UpstreamState& upstream, const ChoiceLimits& limits) {
  if (limits.stale_loads) {
    return upstream.own_load < upstream.entry.slots;
  }
  return TotalLoad(upstream) + 1 <= std::max(1.0, limits.slot_share * upstream.entry.slots);
}

// Load as a share of slots, including the new request and divided by the squared success rate, so
// that an upstream with failures counts as fuller than it is.
double Weight(const UpstreamState& upstream, const ChoiceQuery& query, TimePoint now) {
  const double remote = upstream.entry.data_centre == query.data_centre ? 0 : kRemoteDataCentreLoad;
  const double success_rate = std::max(0.05, 1 - FailureRate(upstream, now));
  return (TotalLoad(upstream) + 1 + remote) / std::max(1, upstream.entry.slots) /
         (success_rate * success_rate);
}

UpstreamState* LeastLoaded(const std::vector<UpstreamState*>& candidates,
                           const ChoiceQuery& query,
                           TimePoint now) {
  UpstreamState* best = nullptr;
  double best_weight = 0;
  const std::size_t start = candidates.empty() ? 0 : query.random % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    UpstreamState* candidate = candidates[(start + i) % candidates.size()];
    const double weight = Weight(*candidate, query, now);
    if (best == nullptr || weight < best_weight) {
      best = candidate;
      best_weight = weight;
    }
  }
  return best;
}

bool IsCacheHolder(const ChoiceQuery& query, const UpstreamState& upstream) {
  return std::find(query.holders.begin(), query.holders.end(), upstream.tag) != query.holders.end();
}

// Returns the positions of two different candidates drawn at random; `count` must be at least 2.
std::pair<std::size_t, std::size_t> DrawTwo(std::size_t count, std::uint64_t random) {
  const std::size_t first = random % count;
  const std::size_t step = 1 + (random / count) % (count - 1);
  return {first, (first + step) % count};
}

// Returns the less loaded of two candidates drawn at random. The loads reported by other instances
// are some hundred milliseconds old, which is longer than a plain call takes: if all instances
// chose the least loaded upstream, together they would overload it.
UpstreamState* LessLoadedOfTwo(const std::vector<UpstreamState*>& candidates,
                               const ChoiceQuery& query,
                               TimePoint now) {
  if (candidates.size() <= 2) {
    return LeastLoaded(candidates, query, now);
  }
  const auto [first, second] = DrawTwo(candidates.size(), query.random);
  return LeastLoaded({candidates[first], candidates[second]}, query, now);
}

// Returns the first of two candidates drawn at random, or the second if its average load is clearly
// less: an upstream that is slower than the others gets fewer requests, and short differences make
// no difference.
UpstreamState* LessLoadedOnAverage(const std::vector<UpstreamState*>& candidates,
                                   const ChoiceQuery& query,
                                   TimePoint now) {
  if (candidates.size() < 2) {
    return candidates.empty() ? nullptr : candidates.front();
  }
  const auto [first, second] = DrawTwo(candidates.size(), query.random);
  const auto weight = [now](const UpstreamState& upstream) {
    const double success_rate = std::max(0.05, 1 - FailureRate(upstream, now));
    return (upstream.average_load + 1) / std::max(1, upstream.entry.slots) /
           (success_rate * success_rate);
  };
  return weight(*candidates[first]) > kClearlyMoreLoad * weight(*candidates[second])
             ? candidates[second]
             : candidates[first];
}

// Returns the first of two engines drawn at random, or the second if it is clearly less loaded.
UpstreamState* ClearlyLessLoadedOfTwo(const std::vector<UpstreamState*>& candidates,
                                      const ChoiceQuery& query) {
  if (candidates.size() < 2) {
    return candidates.empty() ? nullptr : candidates.front();
  }
  const auto [first, second] = DrawTwo(candidates.size(), query.random);
  return TotalLoad(*candidates[first]) > TotalLoad(*candidates[second]) + kLoadUncertainty
             ? candidates[second]
             : candidates[first];
}

// Returns an engine that has the shared prompt segments cached, or null if all of these are over
// the limit. Small segments are cached on most engines: if all instances chose the least loaded
// one, it would receive 20 requests between two digests.
UpstreamState* ChooseHolder(const std::vector<UpstreamState*>& candidates,
                            const ChoiceQuery& query,
                            double load_limit,
                            TimePoint now) {
  std::vector<UpstreamState*> holders;
  for (UpstreamState* candidate : candidates) {
    if (IsCacheHolder(query, *candidate) && TotalLoad(*candidate) + 1 <= load_limit &&
        FailureRate(*candidate, now) < kAffinityFailureLimit) {
      holders.push_back(candidate);
    }
  }
  return ClearlyLessLoadedOfTwo(holders, query);
}

// Returns one of the highest-ranked engines for the prompt segments, of those within the limit. If
// all instances chose the same engine, they would overload it before any of them sees its load; if
// they chose among all engines, every engine would have to process the segments.
UpstreamState* ChooseOverflow(const std::vector<UpstreamState*>& candidates,
                              const ChoiceQuery& query,
                              double load_limit,
                              TimePoint now) {
  std::vector<std::pair<std::uint64_t, UpstreamState*>> ranked;
  for (UpstreamState* candidate : candidates) {
    if (TotalLoad(*candidate) + 1 <= load_limit &&
        FailureRate(*candidate, now) < kAffinityFailureLimit) {
      ranked.emplace_back(RendezvousRank(query.affinity, *candidate), candidate);
    }
  }
  const std::size_t count = std::min(ranked.size(), kOverflowEngines);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<UpstreamState*> first;
  for (std::size_t i = 0; i < count; ++i) {
    first.push_back(ranked[i].second);
  }
  return ClearlyLessLoadedOfTwo(first, query);
}

// Returns the highest-ranked engine for the prompt segments, of those within the limit.
UpstreamState* ChooseByRank(const std::vector<UpstreamState*>& candidates,
                            const ChoiceQuery& query,
                            double load_limit,
                            TimePoint now) {
  UpstreamState* best = nullptr;
  std::uint64_t best_rank = 0;
  for (UpstreamState* candidate : candidates) {
    const bool fits = TotalLoad(*candidate) + 1 <= load_limit &&
                      FailureRate(*candidate, now) < kAffinityFailureLimit;
    const std::uint64_t rank = RendezvousRank(query.affinity, *candidate);
    if (fits && (best == nullptr || rank > best_rank)) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

// The upstreams that can take a request. Those that have named a limit are kept for requests whose
// prompt segments no other one has cached, since their limit leaves room for few.
struct Candidates {
  std::vector<UpstreamState*> unlimited;
  std::vector<UpstreamState*> limited;
};

// Chooses the upstream of a request with shared prompt segments; leaves `choice.upstream` null if
// all engines are over the limits.
void PlaceBySegments(const Candidates& candidates,
                     const ChoiceQuery& query,
                     const ChoiceLimits& limits,
                     double mean,
                     TimePoint now,
                     Choice& choice) {
  const double cached_limit = limits.load_multiple * mean + limits.load_floor;
  const double uncached_limit = limits.uncached_multiple * mean + limits.uncached_floor;
  const bool spread = mean >= limits.spread_mean && !query.holders.empty();
  choice.cause = PlacementCause::kHolder;
  for (const auto* group : {&candidates.unlimited, &candidates.limited}) {
    choice.upstream = ChooseHolder(*group, query, cached_limit, now);
    if (choice.upstream != nullptr) {
      return;
    }
  }
  choice.cause = spread ? PlacementCause::kOverflow : PlacementCause::kAffinity;
  for (const auto* group : {&candidates.unlimited, &candidates.limited}) {
    choice.upstream = spread ? ChooseOverflow(*group, query, uncached_limit, now)
                             : ChooseByRank(*group, query, uncached_limit, now);
    if (choice.upstream != nullptr) {
      return;
    }
  }
}

}  // namespace

std::uint64_t AffinityOf(const std::vector<PromptSegment>& segments) {
  if (segments.size() < 2) {
    return 0;
  }
  const std::string& id = segments[segments.size() - 2].id;
  const std::uint64_t hash = XXH64(id.data(), id.size(), 1);
  return hash == 0 ? 1 : hash;
}

Choice ChooseUpstream(UpstreamSet& upstreams,
                      const ChoiceQuery& query,
                      const ChoiceLimits& limits,
                      TimePoint now) {
  std::vector<UpstreamState*> usable = upstreams.Usable(query.service, now);
  usable.erase(
      std::remove_if(usable.begin(), usable.end(),
                     [&](const UpstreamState* upstream) { return !IsEligible(*upstream, query); }),
      usable.end());
  Choice choice;
  choice.usable = usable.size();
  std::vector<UpstreamState*> candidates;
  // Loads of the upstreams that take any number of requests, or of all if all have named limits:
  // those with limits have few requests, and would make the others look too full.
  double total = 0;
  double unlimited_total = 0;
  std::size_t unlimited_count = 0;
  bool over_cold_limit = false;
  bool all_limited = true;  // all upstreams that are left have named limits that leave no room
  bool all_resting = true;  // all that are left have turned this instance away
  for (UpstreamState* upstream : usable) {
    total += TotalLoad(*upstream);
    if (!IsLimited(*upstream, query)) {
      unlimited_total += TotalLoad(*upstream);
      ++unlimited_count;
    }
    if (query.tried != nullptr && query.tried->count(upstream->entry.id) > 0) {
      continue;
    }
    choice.outcome = ChoiceOutcome::kAllFull;
    if (StandingOf(*upstream, query).resting) {
      continue;
    }
    all_resting = false;
    if (!WithinNamedLimit(*upstream, query, now)) {
      continue;
    }
    all_limited = false;
    if (!WithinColdLimit(*upstream, query, now)) {
      over_cold_limit = true;
    } else if (IsBelowSlotLimit(*upstream, limits)) {
      candidates.push_back(upstream);
    }
  }
  if (candidates.empty()) {
    if (over_cold_limit) {
      choice.outcome = ChoiceOutcome::kAllCold;
    } else if (choice.outcome == ChoiceOutcome::kAllFull && all_limited) {
      choice.outcome = all_resting ? ChoiceOutcome::kAllResting : ChoiceOutcome::kAllLimited;
    }
    return choice;
  }
  const auto avoided = std::stable_partition(
      candidates.begin(), candidates.end(), [&](const UpstreamState* candidate) {
        return query.avoided_data_centre.empty() ||
               candidate->entry.data_centre != query.avoided_data_centre;
      });
  if (avoided != candidates.begin()) {
    candidates.erase(avoided, candidates.end());
  }
  // Unresponsive upstreams, and those that have turned other instances away, are excluded while any
  // other can take the request.
  const auto unresponsive = std::stable_partition(
      candidates.begin(), candidates.end(), [&](const UpstreamState* candidate) {
        return !IsUnresponsive(*candidate, now) && !StandingOf(*candidate, query).others_rest;
      });
  if (unresponsive != candidates.begin()) {
    candidates.erase(unresponsive, candidates.end());
  }
  Candidates groups;
  for (UpstreamState* candidate : candidates) {
    (IsLimited(*candidate, query) ? groups.limited : groups.unlimited).push_back(candidate);
  }
  const double mean = unlimited_count > 0 ? unlimited_total / static_cast<double>(unlimited_count)
                                          : total / static_cast<double>(usable.size());
  if (query.affinity != 0) {
    PlaceBySegments(groups, query, limits, mean, now, choice);
  }
  if (choice.upstream == nullptr) {
    choice.cause = PlacementCause::kLoad;
    const auto& group = groups.unlimited.empty() ? groups.limited : groups.unlimited;
    choice.upstream = limits.stale_loads ? LessLoadedOnAverage(group, query, now)
                                         : LessLoadedOfTwo(group, query, now);
  }
  choice.outcome = ChoiceOutcome::kChosen;
  return choice;
}

bool HasFreeSlot(UpstreamSet& upstreams,
                 const ChoiceQuery& query,
                 const ChoiceLimits& limits,
                 TimePoint now) {
  const auto usable = upstreams.Usable(query.service, now);
  return std::any_of(usable.begin(), usable.end(), [&](UpstreamState* upstream) {
    const UpstreamTerms::Standing standing = StandingOf(*upstream, query);
    return IsEligible(*upstream, query) && !standing.resting &&
           IsBelowSlotLimit(*upstream, limits) && WithinColdLimit(*upstream, query, now) &&
           WithinNamedLimit(*upstream, query, now);
  });
}

const UpstreamState* FindSegmentSource(UpstreamSet& upstreams,
                                       const std::vector<std::uint32_t>& holders,
                                       const UpstreamState& target,
                                       TimePoint now) {
  if (std::find(holders.begin(), holders.end(), target.tag) != holders.end()) {
    return nullptr;
  }
  const UpstreamState* best = nullptr;
  for (const std::uint32_t tag : holders) {
    const UpstreamState* holder = upstreams.FindByTag(tag);
    const bool reachable = holder != nullptr && !holder->removed && !holder->entry_lapsed &&
                           holder->backoff_until <= now &&
                           FailureRate(*holder, now) < kAffinityFailureLimit &&
                           holder->entry.service == target.entry.service;
    // Copies between data centres take twice as long.
    const bool nearer = best == nullptr ||
                        (best->entry.data_centre != target.entry.data_centre && holder != nullptr &&
                         holder->entry.data_centre == target.entry.data_centre);
    if (reachable && nearer) {
      best = holder;
    }
  }
  return best;
}

void RecordSend(UpstreamState& upstream, TimePoint now) {
  std::vector<TimePoint>& sends = upstream.recent_sends;
  sends.erase(sends.begin(), std::upper_bound(sends.begin(), sends.end(), now - kSendHistory));
  sends.push_back(now);
}

Duration TimeUntilAllowed(UpstreamSet& upstreams, const ChoiceQuery& query, TimePoint now) {
  Duration shortest = Duration::max();
  for (const UpstreamState* upstream : upstreams.Usable(query.service, now)) {
    const UpstreamTerms::Standing standing = StandingOf(*upstream, query);
    const auto allowance = query.allowance ? query.allowance(*upstream) : std::nullopt;
    if (!IsEligible(*upstream, query) || (allowance && allowance->requests == 0)) {
      continue;
    }
    Duration wait{};
    if (standing.resting) {
      wait = standing.resting_until - now;
    }
    const std::size_t sent = allowance ? RecentSends(*upstream, allowance->window, now) : 0;
    if (allowance && sent >= allowance->requests) {
      const auto leaves = FirstRecentSend(*upstream, allowance->window, now) +
                          static_cast<std::ptrdiff_t>(sent - allowance->requests);
      wait = std::max<Duration>(wait, *leaves + allowance->window - now);
    }
    shortest = std::min(shortest, wait);
  }
  return std::min<Duration>(shortest, kMaxTimeUntilAllowed);
}

}  // namespace chiverail
