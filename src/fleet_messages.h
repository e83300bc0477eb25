#ifndef CHIVERAIL_FLEET_MESSAGES_H_
#define CHIVERAIL_FLEET_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cache_holders.h"
#include "prompt_quarantine.h"
#include "types.h"
#include "upstream_terms.h"

namespace chiverail {

// What an instance tells the others about itself. Changes seldom.
struct InstanceInfo {
  InstanceId instance;
  std::uint64_t start_id = 0;  // differs between two runs of an instance
  std::uint64_t revision = 0;  // increases within a run with each change of the fields below
  std::string peer_address;    // "ip:port" for datagrams and for reading mirrored rows
  std::string caller_address;  // "ip:port" for callers
  DataCentreId data_centre;
  std::uint32_t capacity = 0;    // instances with more are preferred as hubs and mirror readers
  bool accepting = false;        // it can serve new requests
  bool leaving = false;          // it is shutting down
  bool store_reachable = false;  // its last reads of the platform's store succeeded
};

// Returns the short id of a run of an instance in messages.
std::uint32_t InstanceKey(const InstanceId& instance, std::uint64_t start_id);

// Number of requests in progress at one upstream.
struct UpstreamLoad {
  std::uint32_t tag = 0;  // UpstreamTag of the upstream
  std::uint32_t requests = 0;
};

// Requests and retries for one service within the window of the retry budget, or any two counters
// that are added up over all instances, such as those of a roll-out.
struct ServiceUse {
  std::uint32_t service = 0;  // ServiceTag of the service, or the tag of the counters
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
};

// Returns the short id of a service in messages.
std::uint32_t ServiceTag(const std::string& service);

// The state of an instance that changes with each request.
struct InstanceWork {
  std::uint32_t key = 0;       // InstanceKey of the instance
  std::uint64_t sequence = 0;  // increases within a run, because datagrams may be reordered
  Duration age{};              // time since the instance sent it; whole milliseconds in messages
  std::vector<UpstreamLoad> loads;
  std::vector<ServiceUse> services;
};

// One instance in a roster.
struct RosterEntry {
  InstanceInfo info;
  bool live = false;
};

// Entries of a roster in one message at most, so that it fits into a few packets.
inline constexpr std::size_t kMaxRosterEntries = 64;

// The entries of the sender's roster that changed after version `from`, up to `version`. Versions
// count within the sender's run.
struct RosterChanges {
  std::uint64_t from = 0;
  std::uint64_t version = 0;
  bool more = false;  // the sender has further changes
  std::vector<RosterEntry> entries;
};

// How much of another instance's roster the sender has.
struct RosterAck {
  std::uint32_t source = 0;  // InstanceKey of the other instance
  std::uint64_t version = 0;
};

// State of an instance's copy of one of the platform's tables. Only instances that read the store
// themselves send notices; hubs pass them on.
struct TableNotice {
  std::string table;
  std::uint64_t version = 0;  // of the last row that changed, see VersionIn
  Duration age{};             // of the copy; whole milliseconds in messages
  std::string source;         // peer address of the instance with the copy; empty for the sender
  // Receiver only: `age` includes the time since the message was sent. If not, it is a lower bound,
  // and the notice must not confirm any rows.
  bool dated = true;
  // False if it comes from an instance that does not state the era of the store; the version holds
  // the counter alone then.
  bool has_era = true;
};

// A notice with this name in place of a table has the version of the configuration that its sender
// has in force. It is not passed on.
inline constexpr const char* kConfigInForce = "in force";

// When a message was sent. The receiver finds a lower bound for that on its own clock from the echo
// of a message of its own, however long the message or its sender was held up and whatever the
// clocks of the two instances show. Times are whole milliseconds, rounded down.
struct MessageTiming {
  std::uint64_t sent_ms = 0;   // on the sender's clock
  std::uint32_t echo_key = 0;  // InstanceKey of the receiver; 0 if it was not heard yet
  std::uint64_t echo_ms = 0;   // `sent_ms` of the receiver's last message
  std::uint64_t held_ms = 0;   // from reading that message to sending this one
};

// From an instance to its hub, which answers with a HubSummary.
struct InstanceReport {
  InstanceInfo info;
  InstanceWork work;
  RosterAck ack;
  std::uint32_t upstream_set = 0;  // UpstreamSetHash of the upstreams that the sender knows
  std::vector<CachedSegment> segments;
  std::vector<TableNotice> notices;
  QuarantineNews quarantine;
  std::vector<UpstreamTermsEntry> terms;
  MessageTiming timing;
};

// From a hub to the other hubs: the state of the instances that report to it, and its own.
struct HubForward {
  InstanceInfo hub;
  bool acts_as_hub = false;  // the sender wants forwards in return
  std::uint64_t sequence =
      0;  // increases within the hub's run; a large forward has several messages
  std::vector<InstanceWork> work;
  RosterChanges roster;
  RosterAck ack;
  std::vector<CachedSegment> segments;
  std::vector<TableNotice> notices;
  QuarantineNews quarantine;
  std::vector<UpstreamTermsEntry> terms;
  MessageTiming timing;
};

// From a hub to an instance that has reported: the state of the fleet.
struct HubSummary {
  InstanceInfo hub;
  std::uint64_t sequence = 0;  // increases within the hub's run
  std::uint64_t answers = 0;   // sequence of the report that it answers; the totals include it
  Duration age{};              // 99th percentile of the ages of the state in the totals
  std::vector<UpstreamLoad>
      loads;  // totals of all live instances, the hub and the receiver included
  std::vector<ServiceUse> services;  // totals likewise
  RosterChanges roster;
  std::vector<CachedSegment> segments;
  std::vector<TableNotice> notices;
  QuarantineNews quarantine;
  std::vector<UpstreamTermsEntry> terms;
  MessageTiming timing;
};

using FleetMessage = std::variant<InstanceReport, HubForward, HubSummary>;

// Why a received datagram was dropped.
enum class DropReason : std::uint8_t {
  kMalformed,
  kOtherVersion,
  kReplayed,
  kEarlierRun,
  kUnasked
};
inline constexpr std::array<EnumName<DropReason>, 5> kDropReasonNames{{
    {DropReason::kMalformed, "malformed"},
    {DropReason::kOtherVersion, "other_version"},  // of the message format
    {DropReason::kReplayed, "replayed"},           // not newer than the last one
    {DropReason::kEarlierRun, "earlier_run"},      // of an instance that has restarted since
    {DropReason::kUnasked, "unasked"},             // a summary without a report
}};

// Returns a hash of a sorted list of upstream tags. Where both ends know the same upstreams, loads
// are encoded without tags.
std::uint32_t UpstreamSetHash(const std::vector<std::uint32_t>& sorted_tags);

// Encodes a message as MessagePack. The loads of a summary are encoded as one number for each of
// `dense_tags`, a sorted list that contains all tags, unless that is null.
std::string EncodeFleetMessage(const FleetMessage& message,
                               const std::vector<std::uint32_t>* dense_tags = nullptr);

// Decodes a message; returns the reason for bytes that are not one. `own_tags` is the sorted list
// of the upstreams that this instance knows.
std::variant<FleetMessage, DropReason> DecodeFleetMessage(
    std::string_view bytes,
    const std::vector<std::uint32_t>& own_tags);

}  // namespace chiverail

#endif  // CHIVERAIL_FLEET_MESSAGES_H_
