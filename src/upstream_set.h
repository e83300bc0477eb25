#ifndef CHIVERAIL_UPSTREAM_SET_H_
#define CHIVERAIL_UPSTREAM_SET_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "types.h"
#include "upstream_runs/run_history.h"
#include "upstream_runs/upstream_entry.h"

namespace chiverail {

// State of one upstream as seen by this instance.
struct UpstreamState {
  UpstreamEntry entry;
  std::uint32_t tag = 0;      // short id in messages between instances
  TimePoint cold_until{};     // until then it can serve only few requests
  TimePoint backoff_until{};  // not used until then, after a failed connection
  int connect_failures = 0;   // in a row
  bool draining = false;      // drains or has lost its address; reset only by a restart
  bool removed = false;       // entry removed; kept only until its requests have ended
  bool entry_lapsed = false;  // entry missing after an outage of the platform's list
  int own_load = 0;           // requests in progress from this instance
  int peer_load = 0;          // requests in progress from the other instances, as last reported
  double average_load = 0;    // moving average of both
  TimePoint average_load_at{};
  double failure_rate = 0;  // moving average of the share of failed requests
  TimePoint failure_rate_at{};
  // When the first request was sent since the upstream last sent any bytes; zero if it has no
  // unanswered requests.
  TimePoint unanswered_since{};
  std::vector<TimePoint> recent_sends;  // times of the requests sent, see RecordSend
};

// All upstreams known to this instance. Follows the platform's list, which lags behind, loses
// entries during an outage and may contain entries of earlier runs.
class UpstreamSet {
 public:
  // Applies an entry that was added or changed, if it is current.
  EntryStanding Apply(const UpstreamEntry& entry, TimePoint now);

  // Applies the removal of an entry. During the grace period after an outage of the list
  // (kReregistrationGrace), the upstream is kept, because live upstreams first have to write their
  // entries again. `silence` is the time since the entry had been written, if known from another
  // instance.
  void Remove(const UpstreamId& id, TimePoint now, std::optional<Duration> silence = {});

  // Records an entry that another instance has seen before its removal.
  void OnLastEntry(const UpstreamEntry& entry) { runs_.OnLastEntry(entry); }

  // Applies a complete listing; upstreams that are not in it are removed.
  void Replace(const std::vector<UpstreamEntry>& entries, TimePoint now);

  // Records a successful read of the list, from the store or from another instance, with its
  // contents at `as_of`. A gap of more than kListOutageThreshold between two reads, those of other
  // instances included, is treated as an outage in which entries may have lapsed.
  void OnListRead(TimePoint as_of, TimePoint now);

  // Records that the list has come back from an older copy, before its entries are applied. They
  // don't undo what is known: the grace period holds for those that are missing, and RunHistory
  // judges the others.
  void OnListRestored(TimePoint now) {
    list_recovered_at_ = now;
    runs_.OnListRestored(now);
  }

  // Records that another instance has read the list with its contents at `as_of`: the list itself
  // was not out then, whatever this instance has read.
  void OnListSeen(TimePoint as_of) { list_seen_as_of_ = std::max(list_seen_as_of_, as_of); }

  // Sets the data centres that operators have taken out of service.
  void SetDataCentresOutOfService(std::set<DataCentreId> excluded) {
    excluded_data_centres_ = std::move(excluded);
  }

  // Time at which the last list read was current; zero before the first read.
  TimePoint list_as_of() const { return list_as_of_; }

  // Removes upstreams whose entries are still missing after the grace period, and removed ones
  // whose requests have ended.
  void Expire(TimePoint now);

  // Returns the upstreams of a service that may receive new requests now.
  std::vector<UpstreamState*> Usable(const std::string& service, TimePoint now);

  // Returns an upstream, or null if it is not or no longer known.
  UpstreamState* Find(const UpstreamId& id);

  // Returns the upstream with the given tag, or null.
  UpstreamState* FindByTag(std::uint32_t tag);

  std::map<UpstreamId, UpstreamState>& all() { return upstreams_; }
  const std::map<UpstreamId, UpstreamState>& all() const { return upstreams_; }

  // Handles a connection that could not be opened: the upstream is not used for a back-off time
  // that doubles with each failure in a row, and is treated as cold afterwards.
  void OnConnectFailed(UpstreamState& upstream, Duration cold_start, TimePoint now);

  // Records that a request was sent to the upstream or that bytes were received from it.
  void OnSent(UpstreamState& upstream, TimePoint now);
  void OnBytesReceived(UpstreamState& upstream);

  // Records the end of a response; `failed` tells whether it was a failure of the upstream.
  void OnAnswer(UpstreamState& upstream, bool failed, TimePoint now);

  // Records that another upstream answered at the address of this one.
  void OnAddressTaken(UpstreamState& upstream);

 private:
  bool InReregistrationGrace(TimePoint now) const;
  // Returns true if the list has been read without a gap for long enough that an upstream that is
  // not known yet must be new.
  bool IsSettled(TimePoint now) const;
  EntryStanding Judge(const UpstreamEntry& entry, RunHistory::Source source, TimePoint now);
  void Retire(UpstreamState& upstream, std::optional<Duration> silence, TimePoint now);

  std::map<UpstreamId, UpstreamState> upstreams_;
  std::map<std::uint32_t, UpstreamId> tags_;
  std::set<DataCentreId> excluded_data_centres_;
  TimePoint list_as_of_{};
  TimePoint list_seen_as_of_{};  // of the newest read that another instance has told about
  TimePoint list_recovered_at_{};
  TimePoint read_since_{};  // since when the list has been read without a gap
  RunHistory runs_;
};

// Minimum gap between two reads of the list that counts as an outage. Entries lapse after three
// missed heartbeats of about 1.2 s, so a shorter outage loses none.
inline constexpr Duration kListOutageThreshold = milliseconds(2500);

// Time after an outage of the platform's list within which live upstreams are listed again; the
// platform states about two seconds.
inline constexpr Duration kReregistrationGrace = milliseconds(2200);

// Returns the short id of an upstream in messages between instances.
std::uint32_t UpstreamTag(const UpstreamId& id);

// Returns the short id of a run of an upstream, likewise.
std::uint32_t RunTag(const UpstreamEntry& entry);

// Returns true if a request to the upstream has been unanswered for kUnresponsiveAfter without any
// bytes received: the upstream may be down, which its list entry shows only seconds later. Returns
// false again after kUnresponsiveRetryAfter, so that one further request is sent to it.
bool IsUnresponsive(const UpstreamState& upstream, TimePoint now);

// Twice the longest usual time to the first byte of a response.
inline constexpr Duration kUnresponsiveAfter = milliseconds(900);

// An unresponsive upstream gets another request this long after the first unanswered one.
inline constexpr Duration kUnresponsiveRetryAfter = seconds(3);

// Takes up a change of the requests in progress in their moving average.
void UpdateAverageLoad(UpstreamState& upstream, TimePoint now);

// Returns the current failure rate. It decays in the absence of responses, so that a recovered
// upstream is tried again.
double FailureRate(const UpstreamState& upstream, TimePoint now);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_SET_H_
