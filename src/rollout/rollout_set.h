#ifndef CHIVERAIL_ROLLOUT_ROLLOUT_SET_H_
#define CHIVERAIL_ROLLOUT_ROLLOUT_SET_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/rollout.h"
#include "rollout/version_evidence.h"
#include "types.h"

namespace chiverail {

// An upstream of a service, as far as roll-outs need it.
struct RolloutUpstream {
  UpstreamId id;
  std::string version;
  bool usable = false;  // it may get new requests
  int requests = 0;     // in progress, of all instances
};

// What a relay knows that its roll-outs need.
struct RolloutSources {
  std::function<std::vector<RolloutUpstream>(const std::string& service)> upstreams;
  // Longest timeout of the routes to a service.
  std::function<Duration(const std::string& service)> longest_timeout;
  TallyLookup others;      // counters of the other instances
  bool in_contact = true;  // these are recent, and so is the configuration
};

// The roll-outs of an instance, one for each service at most, and their effect on the choice of
// upstreams. Without orders it does nothing.
class RolloutSet {
 public:
  // Sets the share of a service's requests that a faulty version may get.
  void SetMaxShare(double max_share) { max_share_ = max_share; }

  // Takes up an order. One that repeats the contents of an unfinished order, or comes back with a
  // restored store, changes nothing; one for another version replaces it, and the version before
  // gets no more requests unless it was found to be sound. `known` is false if the order may be
  // older than this instance. Returns true if a roll-out has begun.
  bool Apply(const RolloutOrder& order, bool known, bool restored, TimePoint now);

  // Ends the roll-out of a service whose order an operator has withdrawn.
  void Withdraw(const std::string& service);

  // Takes up what was recorded for a service; `age` is the time since the start.
  void OnRecord(const std::string& service,
                const RolloutRecord& record,
                Duration age,
                TimePoint now);

  // Records an answer of an upstream with this version.
  void OnAnswer(const std::string& service,
                const std::string& version,
                const std::string& route,
                const AnswerSample& sample);

  // Counters for the messages to the other instances.
  std::vector<Tally> Tallies() const;

  // Decides anew. Returns the services whose roll-outs have changed their phase or share.
  std::vector<std::string> Update(const RolloutSources& sources, TimePoint now);

  // Side for a request; `draw` is uniformly distributed from 0 to 1.
  RolloutSide SideFor(const std::string& service, double draw) const;

  // True if an upstream may take a request for this side.
  bool MayTake(const std::string& service,
               const UpstreamId& upstream,
               const std::string& version,
               RolloutSide side) const;

  // The same for a request that may go to either side, such as one that waits for a slot.
  bool MayTakeAny(const std::string& service,
                  const UpstreamId& upstream,
                  const std::string& version) const;

  bool empty() const { return entries_.empty(); }

  // The roll-out of a service and its counts of all instances; null if there is none.
  const Rollout* Find(const std::string& service) const;
  const RolloutCounts* CountsOf(const std::string& service) const;

  // All services with a roll-out.
  std::vector<std::string> Services() const;

 private:
  struct Entry {
    Rollout rollout;
    VersionEvidence evidence;
    RolloutCounts counts{};                   // of all instances at the last update
    std::set<UpstreamId> trial_upstreams;     // of the new version that get requests
    std::set<std::string> rejected_versions;  // of earlier orders that were replaced
    bool has_old = true;                      // there is an upstream of another version
  };

  const Entry* EntryOf(const std::string& service) const;
  RolloutView ViewOf(const Entry& entry, const RolloutSources& sources) const;
  void ChooseTrialUpstreams(Entry& entry, const RolloutSources& sources) const;

  std::map<std::string, Entry> entries_;  // by service
  double max_share_ = 0.1;
};

}  // namespace chiverail

#endif  // CHIVERAIL_ROLLOUT_ROLLOUT_SET_H_
