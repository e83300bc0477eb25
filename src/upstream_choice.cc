#include "upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include <xxhash.h>

namespace chiverail {
namespace {

// Margin of the window in which sends to a cold upstream count: those of two adjacent windows can
// arrive within the same second.
constexpr Duration kColdWindow = milliseconds(1150);

// A request in another data centre costs traffic between data centres; a same-sized difference in
// load still goes first.
constexpr double kOtherDataCentreLoad = 0.5;

// From this failure rate on, affinity no longer holds a request at an upstream.
constexpr double kFailingRate = 0.25;

// Loads that differ by no more than this count as equal: so many requests of other instances may
// have reached either engine since the last digests.
constexpr int kUnseenRequests = 3;

// Engines among which requests for a part are spread when those that have read it are full.
constexpr std::size_t kOverflowEngines = 3;

std::uint64_t Rank(std::uint64_t affinity, const KnownUpstream& upstream) {
  return XXH64(upstream.entry.id.data(), upstream.entry.id.size(), affinity);
}

int TotalLoad(const KnownUpstream& upstream) {
  return upstream.own_load + upstream.peer_load;
}

// Sends within the window; forgets older ones.
std::size_t RecentColdSends(KnownUpstream& upstream, TimePoint now) {
  while (!upstream.cold_sends.empty() && upstream.cold_sends.front() + kColdWindow <= now) {
    upstream.cold_sends.pop_front();
  }
  return upstream.cold_sends.size();
}

bool MayTake(KnownUpstream& upstream, const ChoiceQuery& query, TimePoint now) {
  if (upstream.cold_until <= now) {
    return true;
  }
  const double limit = query.cold_limit ? query.cold_limit(upstream) : 0;
  return static_cast<double>(RecentColdSends(upstream, now)) + 1 <= limit;
}

bool HasRoom(const KnownUpstream& upstream, const ChoiceLimits& limits) {
  return TotalLoad(upstream) + 1 <= std::max(1.0, limits.slot_share * upstream.entry.slots);
}

// Load as a share of slots, raised by failures, so that an upstream that fails half of its answers
// weighs twice as full.
double Weight(const KnownUpstream& upstream, const ChoiceQuery& query, TimePoint now) {
  const double other = upstream.entry.data_centre == query.data_centre ? 0 : kOtherDataCentreLoad;
  const double sound = std::max(0.05, 1 - FailureRate(upstream, now));
  return (TotalLoad(upstream) + 1 + other) / std::max(1, upstream.entry.slots) / (sound * sound);
}

KnownUpstream* LeastLoaded(const std::vector<KnownUpstream*>& candidates,
                           const ChoiceQuery& query,
                           TimePoint now) {
  KnownUpstream* best = nullptr;
  double best_weight = 0;
  const std::size_t start = candidates.empty() ? 0 : query.random % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    KnownUpstream* candidate = candidates[(start + i) % candidates.size()];
    const double weight = Weight(*candidate, query, now);
    if (best == nullptr || weight < best_weight) {
      best = candidate;
      best_weight = weight;
    }
  }
  return best;
}

bool Holds(const ChoiceQuery& query, const KnownUpstream& upstream) {
  return std::find(query.holders.begin(), query.holders.end(), upstream.tag) != query.holders.end();
}

// Positions of two different candidates drawn at random. There must be two at least.
std::pair<std::size_t, std::size_t> DrawTwo(std::size_t count, std::uint64_t random) {
  const std::size_t first = random % count;
  const std::size_t step = 1 + (random / count) % (count - 1);
  return {first, (first + step) % count};
}

// The less loaded of two candidates drawn at random. Loads of other instances are some hundred
// milliseconds old, which is longer than a plain call takes: if all instances took the least loaded
// one, they would fill it together.
KnownUpstream* LessLoadedOfTwo(const std::vector<KnownUpstream*>& candidates,
                               const ChoiceQuery& query,
                               TimePoint now) {
  if (candidates.size() <= 2) {
    return LeastLoaded(candidates, query, now);
  }
  const auto [first, second] = DrawTwo(candidates.size(), query.random);
  return LeastLoaded({candidates[first], candidates[second]}, query, now);
}

// One of two engines drawn at random, the less loaded one if that is certain.
KnownUpstream* OneOfTwo(const std::vector<KnownUpstream*>& candidates, const ChoiceQuery& query) {
  if (candidates.size() < 2) {
    return candidates.empty() ? nullptr : candidates.front();
  }
  const auto [first, second] = DrawTwo(candidates.size(), query.random);
  return TotalLoad(*candidates[first]) > TotalLoad(*candidates[second]) + kUnseenRequests
             ? candidates[second]
             : candidates[first];
}

// An engine that has read the shared parts, unless all are over the limit. Small parts are on most
// engines: if all instances took the least loaded one, it would get 20 requests between two
// digests.
KnownUpstream* AmongHolders(const std::vector<KnownUpstream*>& candidates,
                            const ChoiceQuery& query,
                            double load_limit,
                            TimePoint now) {
  std::vector<KnownUpstream*> holders;
  for (KnownUpstream* candidate : candidates) {
    if (Holds(query, *candidate) && TotalLoad(*candidate) + 1 <= load_limit &&
        FailureRate(*candidate, now) < kFailingRate) {
      holders.push_back(candidate);
    }
  }
  return OneOfTwo(holders, query);
}

// One of the engines that rank first for the parts, of those within the limit. An engine on which
// all instances agree would be filled by all of them before any of them sees it; engines drawn from
// all would read the parts everywhere.
KnownUpstream* Elsewhere(const std::vector<KnownUpstream*>& candidates,
                         const ChoiceQuery& query,
                         double load_limit,
                         TimePoint now) {
  std::vector<std::pair<std::uint64_t, KnownUpstream*>> others;
  for (KnownUpstream* candidate : candidates) {
    if (TotalLoad(*candidate) + 1 <= load_limit && FailureRate(*candidate, now) < kFailingRate) {
      others.emplace_back(Rank(query.affinity, *candidate), candidate);
    }
  }
  const std::size_t count = std::min(others.size(), kOverflowEngines);
  std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count),
                    others.end(), std::greater<>());
  std::vector<KnownUpstream*> first;
  for (std::size_t i = 0; i < count; ++i) {
    first.push_back(others[i].second);
  }
  return OneOfTwo(first, query);
}

KnownUpstream* ByAffinity(const std::vector<KnownUpstream*>& candidates,
                          const ChoiceQuery& query,
                          double load_limit,
                          TimePoint now) {
  KnownUpstream* best = nullptr;
  std::uint64_t best_rank = 0;
  for (KnownUpstream* candidate : candidates) {
    const bool fits =
        TotalLoad(*candidate) + 1 <= load_limit && FailureRate(*candidate, now) < kFailingRate;
    const std::uint64_t rank = Rank(query.affinity, *candidate);
    if (fits && (best == nullptr || rank > best_rank)) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

// Places a request with shared parts; leaves the choice empty when all engines are over the limits.
void PlaceByParts(const std::vector<KnownUpstream*>& candidates,
                  const ChoiceQuery& query,
                  const ChoiceLimits& limits,
                  double mean,
                  TimePoint now,
                  Choice& choice) {
  choice.cause = PlacementCause::kHolder;
  choice.upstream =
      AmongHolders(candidates, query, limits.load_multiple * mean + limits.load_floor, now);
  if (choice.upstream != nullptr) {
    return;
  }
  const double new_limit = limits.new_multiple * mean + limits.new_floor;
  const bool spread = mean >= limits.herd_mean && !query.holders.empty();
  choice.cause = spread ? PlacementCause::kOverflow : PlacementCause::kAffinity;
  choice.upstream = spread ? Elsewhere(candidates, query, new_limit, now)
                           : ByAffinity(candidates, query, new_limit, now);
}

}  // namespace

std::uint64_t AffinityOf(const std::vector<PromptPart>& parts) {
  if (parts.size() < 2) {
    return 0;
  }
  const std::string& id = parts[parts.size() - 2].id;
  const std::uint64_t hash = XXH64(id.data(), id.size(), 1);
  return hash == 0 ? 1 : hash;
}

Choice ChooseUpstream(UpstreamSet& upstreams,
                      const ChoiceQuery& query,
                      const ChoiceLimits& limits,
                      TimePoint now) {
  const std::vector<KnownUpstream*> usable = upstreams.Usable(query.service, now);
  Choice choice;
  choice.usable = usable.size();
  std::vector<KnownUpstream*> candidates;
  double total = 0;
  bool cold_only = false;
  for (KnownUpstream* upstream : usable) {
    total += TotalLoad(*upstream);
    if (query.tried != nullptr && query.tried->count(upstream->entry.id) > 0) {
      continue;
    }
    choice.outcome = ChoiceOutcome::kAllFull;
    if (!MayTake(*upstream, query, now)) {
      cold_only = true;
    } else if (HasRoom(*upstream, limits)) {
      candidates.push_back(upstream);
    }
  }
  if (candidates.empty()) {
    if (cold_only) {
      choice.outcome = ChoiceOutcome::kAllCold;
    }
    return choice;
  }
  // Silent ones are left out while any other can take the request.
  const auto silent = std::stable_partition(
      candidates.begin(), candidates.end(),
      [now](const KnownUpstream* candidate) { return !IsSilent(*candidate, now); });
  if (silent != candidates.begin()) {
    candidates.erase(silent, candidates.end());
  }
  if (query.affinity != 0) {
    PlaceByParts(candidates, query, limits, total / static_cast<double>(usable.size()), now,
                 choice);
  }
  if (choice.upstream == nullptr) {
    choice.cause = PlacementCause::kLoad;
    choice.upstream = LessLoadedOfTwo(candidates, query, now);
  }
  choice.outcome = ChoiceOutcome::kChosen;
  return choice;
}

bool HasPlace(UpstreamSet& upstreams,
              const ChoiceQuery& query,
              const ChoiceLimits& limits,
              TimePoint now) {
  const auto usable = upstreams.Usable(query.service, now);
  return std::any_of(usable.begin(), usable.end(), [&](KnownUpstream* upstream) {
    return HasRoom(*upstream, limits) && MayTake(*upstream, query, now);
  });
}

const KnownUpstream* PartSource(UpstreamSet& upstreams,
                                const std::vector<std::uint32_t>& holders,
                                const KnownUpstream& target,
                                TimePoint now) {
  if (std::find(holders.begin(), holders.end(), target.tag) != holders.end()) {
    return nullptr;
  }
  const KnownUpstream* best = nullptr;
  for (const std::uint32_t tag : holders) {
    const KnownUpstream* holder = upstreams.FindByTag(tag);
    const bool reachable = holder != nullptr && !holder->removed && !holder->lapsed &&
                           holder->avoid_until <= now && FailureRate(*holder, now) < kFailingRate &&
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

void NoteSend(KnownUpstream& upstream, TimePoint now) {
  if (now < upstream.cold_until) {
    upstream.cold_sends.push_back(now);
  }
}

double ColdShare(double fleet_limit,
                 const std::vector<InstanceId>& instances,
                 const InstanceId& self,
                 const UpstreamId& upstream) {
  const double share = std::floor(fleet_limit / std::max<std::size_t>(1, instances.size()));
  if (share >= 1) {
    return share;
  }
  const auto rank = [&upstream](const InstanceId& instance) {
    return XXH64(instance.data(), instance.size(), UpstreamTag(upstream));
  };
  const auto before = std::count_if(
      instances.begin(), instances.end(),
      [&](const InstanceId& other) { return other != self && rank(other) > rank(self); });
  return static_cast<double>(before) < std::floor(fleet_limit) ? 1 : 0;
}

}  // namespace chiverail
