#ifndef CHIVERAIL_UPSTREAM_CHOICE_H_
#define CHIVERAIL_UPSTREAM_CHOICE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"
#include "upstream_set.h"

namespace chiverail {

// One part of a prompt. Requests share parts; an engine that has read a part after the same parts
// before it need not read it again.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

// What the choice of an upstream needs to know of a request.
struct ChoiceQuery {
  std::string service;
  DataCentreId data_centre;            // of this instance
  std::uint64_t affinity = 0;          // requests with equal values share cached parts; 0 for none
  std::vector<std::uint32_t> holders;  // tags of the engines that have read the shared parts
  std::uint64_t random = 0;            // breaks ties
  const std::set<UpstreamId>* tried = nullptr;  // upstreams that the request has been sent to
  // Requests that this instance may send in a second to a cold upstream; none where it is empty.
  std::function<double(const KnownUpstream&)> cold_limit;
};

// Limits of the choice.
struct ChoiceLimits {
  double load_multiple = 1.25;  // a part's engine is left when it holds this many times the mean
  double load_floor = 4;        // plus this many requests, as means are small on small fleets
  double new_multiple = 1.1;    // the same for an engine that would read a part anew
  double new_floor = 2;
  // From this mean on, more requests arrive between two digests than the limits leave room for, so
  // instances must not all pick the same engine. Spreading costs prompts that are read again.
  double herd_mean = 12;
  double slot_share = 0.85;  // share of an upstream's slots that new requests may take
};

// Why there is no upstream to send to.
enum class ChoiceOutcome : std::uint8_t { kChosen, kNoUpstream, kAllFull, kAllCold };
inline constexpr std::array<EnumName<ChoiceOutcome>, 4> kChoiceOutcomeNames{{
    {ChoiceOutcome::kChosen, "chosen"},
    {ChoiceOutcome::kNoUpstream, "no_upstream"},
    {ChoiceOutcome::kAllFull, "all_full"},
    {ChoiceOutcome::kAllCold, "all_cold"},
}};

// What decided between the upstreams that could take a request.
enum class PlacementCause : std::uint8_t { kHolder, kAffinity, kOverflow, kLoad };
inline constexpr std::array<EnumName<PlacementCause>, 4> kPlacementCauseNames{{
    {PlacementCause::kHolder, "holder"},      // it has read the shared parts
    {PlacementCause::kAffinity, "affinity"},  // it ranks first for them
    {PlacementCause::kOverflow, "overflow"},  // it ranks among the first, as the holders are full
    {PlacementCause::kLoad, "load"},
}};

struct Choice {
  ChoiceOutcome outcome = ChoiceOutcome::kNoUpstream;
  PlacementCause cause = PlacementCause::kLoad;
  KnownUpstream* upstream = nullptr;
  std::size_t usable = 0;  // upstreams that were weighed
};

// Identity of the shared part of a prompt by which its requests are placed: the last part that
// belongs to more than one request. The parts before it are short and on every engine. Returns 0
// for a prompt without shared parts.
std::uint64_t AffinityOf(const std::vector<PromptPart>& parts);

// Chooses the upstream of one request.
//
// Requests with an affinity go to an engine that has read their shared parts, the less loaded of
// two, unless all of these hold more than their share: that answers a part that suddenly draws much
// of the traffic. A part without an engine goes to the one that rendezvous hashing names, so that
// all instances agree without messages; under high load requests that leave a part's engines are
// spread over the few that rank first. Others go to the less loaded of two upstreams. Upstreams
// that fail part of their answers weigh as if they were fuller.
Choice ChooseUpstream(UpstreamSet& upstreams,
                      const ChoiceQuery& query,
                      const ChoiceLimits& limits,
                      TimePoint now);

// True if some upstream of the service can take a request now, whatever it has been sent to.
bool HasPlace(UpstreamSet& upstreams,
              const ChoiceQuery& query,
              const ChoiceLimits& limits,
              TimePoint now);

// Returns an engine from which `target` can copy the shared parts that it lacks, or null when it
// has read them itself or none that has can be reached. One that drains still answers copies.
const KnownUpstream* PartSource(UpstreamSet& upstreams,
                                const std::vector<std::uint32_t>& holders,
                                const KnownUpstream& target,
                                TimePoint now);

// Notes that a request is sent to an upstream now.
void NoteSend(KnownUpstream& upstream, TimePoint now);

// Requests that one instance may send in a second to one cold upstream so that all `instances`
// together stay under `fleet_limit`. Where a whole request for each is too many, the instances
// that rank first for the upstream get one and the others none.
double ColdShare(double fleet_limit,
                 const std::vector<InstanceId>& instances,
                 const InstanceId& self,
                 const UpstreamId& upstream);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_CHOICE_H_
