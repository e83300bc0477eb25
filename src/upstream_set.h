#ifndef CHIVERAIL_UPSTREAM_SET_H_
#define CHIVERAIL_UPSTREAM_SET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "types.h"

namespace chiverail {

// What the platform's list says of one upstream.
struct UpstreamEntry {
  UpstreamId id;
  std::string service;
  std::string address;  // "ip:port"
  DataCentreId data_centre;
  int slots = 1;
  bool draining = false;
  Duration cold_left{};         // how long it stays cold, from when the entry was written
  std::int64_t started_ms = 0;  // Unix time of its start; tells two runs under one id apart
};

// One upstream with what this instance knows of it.
struct KnownUpstream {
  UpstreamEntry entry;
  std::uint32_t tag = 0;     // short name in messages between instances
  TimePoint cold_until{};    // until then it bears few requests
  TimePoint avoid_until{};   // after a failed connection
  int connect_failures = 0;  // in a row
  bool leaving = false;      // it drains, or another one has its address; holds for this run of it
  bool removed = false;      // its entry is gone; kept only while it holds requests
  bool lapsed = false;       // its entry went while the platform's list can't be trusted
  int own_load = 0;          // requests of this instance that it holds
  int peer_load = 0;         // requests of the other instances, by their last messages
  double failure_rate = 0;   // moving share of failed requests
  TimePoint failure_rate_at{};
  TimePoint unanswered_since{};  // first send since it was last heard; zero when it owes nothing
  std::deque<TimePoint> cold_sends;  // of the last second, while cold
};

// All upstreams that this instance knows. Follows the platform's list, which lags, lapses entries
// while it is away and may hold entries of earlier runs.
class UpstreamSet {
 public:
  // Takes an entry that was added or changed.
  void Apply(const UpstreamEntry& entry, TimePoint now);

  // Takes the removal of an entry. Within kLapseGrace after an outage of the list the upstream is
  // kept for that long, because live upstreams first have to write their entries again.
  void Remove(const UpstreamId& id, TimePoint now);

  // Takes a complete listing; upstreams that it lacks are removed.
  void Replace(const std::vector<UpstreamEntry>& entries, TimePoint now);

  // Tells that the list has answered, by whatever way, with what it held at `as_of`. A gap of more
  // than kLapseAfter between two answers is an outage in which entries may have lapsed.
  void OnListAnswered(TimePoint as_of, TimePoint now);

  // Operators have taken a data centre out, or put it back.
  void SetDataCentresOut(std::set<DataCentreId> out) { out_ = std::move(out); }

  // When the list was last known to be the platform's; zero before it was read.
  TimePoint list_as_of() const { return list_as_of_; }

  // Drops upstreams whose grace has passed and that hold no request.
  void Expire(TimePoint now);

  // Returns the upstreams of a service that may get new requests now.
  std::vector<KnownUpstream*> Usable(const std::string& service, TimePoint now);

  // Returns an upstream, or null when it isn't known any more.
  KnownUpstream* Find(const UpstreamId& id);

  // Returns the upstream of a tag, or null.
  KnownUpstream* FindByTag(std::uint32_t tag);

  std::map<UpstreamId, KnownUpstream>& all() { return upstreams_; }
  const std::map<UpstreamId, KnownUpstream>& all() const { return upstreams_; }

  // A connection to the upstream could not be opened: it is avoided for a while that doubles with
  // each failure in a row, and taken for cold when it comes back.
  void OnConnectFailed(KnownUpstream& upstream, Duration cold_start, TimePoint now);

  // A request was sent to the upstream; bytes came from it.
  void OnSent(KnownUpstream& upstream, TimePoint now);
  void OnHeard(KnownUpstream& upstream);

  // An answer of the upstream ended; `failed` tells whether it was a failure of the upstream.
  void OnAnswer(KnownUpstream& upstream, bool failed, TimePoint now);

  // Another upstream answered at this one's address.
  void OnReplaced(KnownUpstream& upstream);

 private:
  bool Unsettled(TimePoint now) const;
  void Forget(KnownUpstream& upstream);

  std::map<UpstreamId, KnownUpstream> upstreams_;
  std::map<std::uint32_t, UpstreamId> tags_;
  std::set<DataCentreId> out_;
  TimePoint list_as_of_{};
  TimePoint list_back_at_{};
};

// Entries lapse after three heartbeats of about 1.2 s; a list that was away for less has lost none.
inline constexpr Duration kLapseAfter = milliseconds(2500);

// Live upstreams are listed again this long after the platform's list is back; the platform states
// about two seconds.
inline constexpr Duration kLapseGrace = milliseconds(2200);

// Short name of an upstream in messages between instances.
std::uint32_t UpstreamTag(const UpstreamId& id);

// True for an upstream that has said nothing for kSilenceDoubt though a request waits for its
// answer: it may have gone dark, which its list entry shows only seconds later.
bool IsSilent(const KnownUpstream& upstream, TimePoint now);

// Longest usual time to the first byte of an answer, twice over.
inline constexpr Duration kSilenceDoubt = milliseconds(900);

// A silent upstream is tried again with one request this long after the send that wasn't answered.
inline constexpr Duration kSilenceRetry = seconds(3);

// Failure rate now: it decays while no answers come, so that a recovered upstream is tried again.
double FailureRate(const KnownUpstream& upstream, TimePoint now);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_SET_H_
