#ifndef CHIVERAIL_UPSTREAM_CHOICE_H_
#define CHIVERAIL_UPSTREAM_CHOICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"
#include "upstream_set.h"
#include "upstream_terms.h"

namespace chiverail {

// A segment of a prompt. Requests share segments; an engine that has a segment cached, with the
// same segments before it, does not have to process it again.
struct PromptSegment {
  std::string id;
  std::uint32_t tokens = 0;
};

// Properties of a request on which the choice of its upstream depends.
struct ChoiceQuery {
  std::string service;
  DataCentreId data_centre;            // of this instance
  std::uint64_t affinity = 0;          // equal for requests that share cached segments; 0 for none
  std::vector<std::uint32_t> holders;  // tags of the engines that have the shared segments cached
  std::uint64_t random = 0;            // breaks ties
  const std::set<UpstreamId>* tried = nullptr;  // upstreams to which the request has been sent
  // Data centre of an upstream that turned out to be gone or another one: those beside it may be as
  // well, so others are preferred. Empty for none.
  DataCentreId avoided_data_centre;
  // Requests per second that this instance may send to a cold upstream; if empty, none are sent.
  std::function<double(const UpstreamState&)> cold_limit;
  // Requests that this instance may send to an upstream that has named a limit; empty for none.
  std::function<std::optional<UpstreamTerms::Allowance>(const UpstreamState&)> allowance;
  // Whether an upstream may take the request at all; empty if all may.
  std::function<bool(const UpstreamState&)> eligible;
  // What upstreams have asked of this instance; empty for nothing.
  std::function<UpstreamTerms::Standing(const UpstreamState&)> standing;
};

struct ChoiceLimits {
  // Maximum load of a cache holder: this multiple of the mean load plus a constant, because means
  // are small on small fleets.
  double load_multiple = 1.25;
  double load_floor = 4;
  // The same for an engine that does not have the segments cached.
  double uncached_multiple = 1.1;
  double uncached_floor = 2;
  // At or above this mean load, more requests arrive between two digests than the limits leave room
  // for, so the instances must not all choose the same engine. The cost of spreading is that
  // further engines process the same segments.
  double spread_mean = 12;
  // The loads at several upstreams are older than a call lasts: only this instance's own part of
  // them counts against the slots, and their averages in the comparison of two upstreams.
  bool stale_loads = false;
  double slot_share = 0.85;  // share of an upstream's slots up to which requests may fill it
};

// Result of the choice; all values but kChosen say why there is no upstream.
enum class ChoiceOutcome : std::uint8_t {
  kChosen,
  kNoUpstream,
  kAllFull,
  kAllCold,
  kAllLimited,
  kAllResting
};
inline constexpr std::array<EnumName<ChoiceOutcome>, 6> kChoiceOutcomeNames{{
    {ChoiceOutcome::kChosen, "chosen"},
    {ChoiceOutcome::kNoUpstream, "no_upstream"},
    {ChoiceOutcome::kAllFull, "all_full"},
    {ChoiceOutcome::kAllCold, "all_cold"},
    {ChoiceOutcome::kAllLimited, "all_limited"},  // by the limits that they have named
    {ChoiceOutcome::kAllResting, "all_resting"},  // all have turned this instance away for a while
}};

// Criterion by which an upstream was chosen among those that could take the request.
enum class PlacementCause : std::uint8_t { kHolder, kAffinity, kOverflow, kLoad };
inline constexpr std::array<EnumName<PlacementCause>, 4> kPlacementCauseNames{{
    {PlacementCause::kHolder, "holder"},      // has the shared segments cached
    {PlacementCause::kAffinity, "affinity"},  // highest-ranked for the segments
    {PlacementCause::kOverflow, "overflow"},  // among the highest-ranked; the holders are full
    {PlacementCause::kLoad, "load"},
}};

struct Choice {
  ChoiceOutcome outcome = ChoiceOutcome::kNoUpstream;
  PlacementCause cause = PlacementCause::kLoad;
  UpstreamState* upstream = nullptr;
  std::size_t usable = 0;  // number of upstreams considered
};

// Returns a hash of the prompt segment by which a request is placed: the last one that is shared
// with other requests. The segments before it are short and cached on every engine. Returns 0 for a
// prompt without shared segments.
std::uint64_t AffinityOf(const std::vector<PromptSegment>& segments);

// Chooses the upstream of one request.
//
// A request with an affinity is sent to an engine that has its shared prompt segments cached, the
// less loaded of two drawn at random, unless all these engines are over their load limit; the limit
// handles a segment that suddenly receives much of the traffic. A segment without a cache holder is
// placed by rendezvous hashing, so that all instances agree without exchanging messages. Under high
// load, requests for which all cache holders are over the limit are spread over the few engines
// that rank highest. Other requests go to the less loaded of two upstreams drawn at random.
// Upstreams that fail some of their requests are treated as if they were fuller.
Choice ChooseUpstream(UpstreamSet& upstreams,
                      const ChoiceQuery& query,
                      const ChoiceLimits& limits,
                      TimePoint now);

// Returns true if any upstream of the service can take a request now, regardless of `query.tried`.
bool HasFreeSlot(UpstreamSet& upstreams,
                 const ChoiceQuery& query,
                 const ChoiceLimits& limits,
                 TimePoint now);

// Returns an engine from which `target` can copy the shared prompt segments, or null if `target`
// has them cached itself or no cache holder is reachable. A draining engine still serves copies.
const UpstreamState* FindSegmentSource(UpstreamSet& upstreams,
                                       const std::vector<std::uint32_t>& holders,
                                       const UpstreamState& target,
                                       TimePoint now);

// Records that a request is sent to an upstream now. Requests are kept for kSendHistory, so that
// they count against a limit that is named later.
void RecordSend(UpstreamState& upstream, TimePoint now);

// Returns the time until this instance may send an upstream of the service another request, of
// those that have named a limit or have turned it away.
Duration TimeUntilAllowed(UpstreamSet& upstreams, const ChoiceQuery& query, TimePoint now);

// Longest window in which requests to an upstream are counted.
inline constexpr Duration kSendHistory = seconds(10);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_CHOICE_H_
