#ifndef CHIVERAIL_FLEET_EXCHANGE_H_
#define CHIVERAIL_FLEET_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet_messages.h"
#include "fleet_roster.h"
#include "notice_relay.h"
#include "types.h"

namespace chiverail {

// Periods and timeouts of the exchange. All follow from the size of the fleet here, so that no
// timeout becomes shorter than the period of what it waits for.
struct ExchangeTiming {
  bool direct = true;      // every instance is a hub: small fleets
  std::size_t hubs = 0;    // hubs of all data centres together
  Duration report{};       // between two reports of an instance to its hub
  Duration forward{};      // between two forwards of a hub to the others
  Duration hub_timeout{};  // a hub that does not answer for this long is passed over
  Duration silence{};      // an instance that gives no sign of life for this long is not live

  // Longest time until the load of an instance is known to all, without losses.
  Duration MaxAge() const { return (direct ? forward : report + forward + report) + kTotalsPeriod; }

  // Totals are computed at most this often.
  static constexpr Duration kTotalsPeriod = milliseconds(30);
};

// `instances` holds the number of live instances of each data centre; `period` is the time between
// two messages to one receiver.
ExchangeTiming TimingFor(const std::vector<std::size_t>& instances, Duration period);

// Number of hubs of a data centre with this many instances, in a fleet that is not direct.
std::size_t HubCount(std::size_t instances);

// What this instance contributes, and what it does with what it learns.
struct ExchangeHooks {
  // Requests of this instance in progress at each upstream.
  std::function<std::vector<UpstreamLoad>()> loads;
  // Requests and retries of this instance within the window of the retry budget.
  std::function<std::vector<ServiceUse>()> services;
  // Prompt segments that this instance has sent to engines since the last call.
  std::function<std::vector<CachedSegment>()> take_segments;
  // Records a segment of another instance. Returns whether it was worth passing on.
  std::function<bool(const CachedSegment&, TimePoint)> record_segment;
  // State of this instance's copies of the platform's tables, if it reads them itself.
  std::function<std::vector<TableNotice>()> notices;
  // Called with the state of the copy of a table at the instance with this peer address.
  std::function<void(const std::string& peer_address, const TableNotice&)> on_notice;
  // What this instance knows of prompt segments that end upstreams, and what others know.
  std::function<QuarantineNews(TimePoint)> quarantine;
  std::function<void(const QuarantineNews&, TimePoint)> on_quarantine;
  // What upstreams have asked of this instance, and of others.
  std::function<std::vector<UpstreamTermsEntry>(TimePoint)> terms;
  std::function<void(const std::vector<UpstreamTermsEntry>&, TimePoint)> on_terms;
};

// Exchange of state between the instances of a fleet. Does no I/O: it returns the messages to send.
//
// Each instance reports to the hub of its data centre a few times a second, and the hub answers
// with totals over the fleet. Hubs forward the reports that they receive to each other, so a hub
// knows the work of every instance by its id: an instance that changes its hub is never counted
// twice. Any instance answers the reports that it receives; which one is the hub follows from the
// roster, and an instance whose hub does not answer reports to the next one. In small fleets every
// instance is a hub, and nobody reports.
class FleetExchange {
 public:
  // A message for one receiver.
  struct Outgoing {
    std::string address;
    FleetMessage message;
    bool dense = false;  // the receiver knows the same upstreams, see EncodeFleetMessage
  };

  FleetExchange(InstanceInfo self, Duration period, ExchangeHooks hooks);

  // Adds an address at which there may be an instance: a seed from the settings, or one that the
  // platform lists.
  void AddSeed(const std::string& address);
  void AddAddress(const std::string& address);

  // Sets the upstreams that this instance knows, by tag.
  void SetUpstreams(std::vector<std::uint32_t> sorted_tags);
  const std::vector<std::uint32_t>& upstreams() const { return upstreams_; }

  // Returns the messages that are due. `self` is what this instance tells about itself.
  std::vector<Outgoing> Tick(InstanceInfo self, TimePoint now);

  // Time at which Tick should be called next.
  TimePoint NextTick() const { return next_tick_; }

  // Sends the state of this instance at once, because it starts to leave.
  std::vector<Outgoing> Announce(InstanceInfo self, TimePoint now);

  // Handles a message; `outgoing` receives the messages to send in response. Returns the reason if
  // the message was dropped.
  std::optional<DropReason> OnMessage(const FleetMessage& message,
                                      const std::string& from,
                                      TimePoint now,
                                      std::vector<Outgoing>& outgoing);

  // Requests of the other instances in progress at each upstream.
  std::unordered_map<std::uint32_t, std::uint32_t> OthersLoads(TimePoint now) const;

  // Requests and retries of the other instances for a service.
  ServiceUse OthersUse(std::uint32_t service, TimePoint now) const;

  // The same for all services, by tag.
  std::unordered_map<std::uint32_t, ServiceUse> OthersUses(TimePoint now) const;

  // Age of the state behind OthersLoads and OthersUse at the 99th percentile of the instances;
  // nothing if there is none.
  std::optional<Duration> StateAge(TimePoint now) const;

  // True if this instance has recently received a message of another one.
  bool InContact(TimePoint now) const;

  // True if this instance currently acts as a hub.
  bool IsHub() const { return is_hub_; }

  const FleetRoster& roster() const { return roster_; }
  const ExchangeTiming& timing() const { return timing_; }

 private:
  // A hub that did not answer is passed over for this long.
  static constexpr Duration kSuspicionTime = seconds(3);

  // Time after the start in which the seeds are asked again, because instances that start together
  // know few others at first.
  static constexpr Duration kSeedTime = seconds(5);

  // Work of another instance, kept by hubs.
  struct PeerWork {
    InstanceWork work;
    TimePoint as_of{};
    std::uint64_t stamp = 0;  // order of arrival, for forwards; 0 if received through a hub
  };

  // An instance that reports to this one.
  struct Reporter {
    TimePoint reported_at{};
    std::uint32_t key = 0;
    std::uint64_t sequence = 0;  // of its last report
    std::uint64_t segment_cursor = 0;
  };

  // Another hub.
  struct HubLink {
    TimePoint heard_at{};
    TimePoint unanswered_since{};  // first forward since it was last heard; zero if none
    std::uint64_t sequence = 0;    // of its last forward
    std::uint64_t start_id = 0;
    std::uint64_t acked = 0;  // version of this instance's roster that it has
    std::uint64_t work_stamp = 0;
    std::uint64_t segment_cursor = 0;
  };

  // The last message of another instance.
  struct Heard {
    std::uint64_t sent_ms = 0;  // on its clock
    TimePoint read_at{};
  };

  // Totals over all live instances.
  struct Totals {
    std::unordered_map<std::uint32_t, std::uint32_t> loads;
    std::unordered_map<std::uint32_t, ServiceUse> services;
    Duration age{};

    void Subtract(const std::vector<UpstreamLoad>& own_loads,
                  const std::vector<ServiceUse>& own_services);
  };

  // Segments in the order of their arrival, numbered, for the receivers to catch up with.
  struct SegmentLog {
    std::deque<CachedSegment> segments;
    std::uint64_t end = 0;  // number of the next one

    void Add(const CachedSegment& segment);
    // Returns segments from the cursor on and advances it.
    std::vector<CachedSegment> Take(std::uint64_t& cursor) const;
  };

  void UpdateTiming();
  void ForgetGone(TimePoint now);
  void NoteContact(TimePoint now);
  bool IsSettled(TimePoint now) const;
  void ChooseHub(TimePoint now);
  void StartAsHub(TimePoint now);
  InstanceId HubCandidate(TimePoint now) const;
  bool IsSuspected(const InstanceId& instance, TimePoint now) const;
  std::set<InstanceId> ForwardTargets(TimePoint now) const;
  void CollectOwnSegments();

  MessageTiming StampFor(std::uint32_t receiver, TimePoint now) const;
  // Returns the earliest time at which a message can have been sent, or nothing if it is not known.
  std::optional<TimePoint> EarliestSent(const MessageTiming& timing, TimePoint now) const;
  void NoteTiming(std::uint32_t sender, const MessageTiming& timing, TimePoint now);

  InstanceWork OwnWork();
  void SendReport(const std::string& address,
                  std::uint32_t receiver,
                  RosterAck ack,
                  TimePoint now,
                  std::vector<Outgoing>& out);
  void ReportToHub(TimePoint now, std::vector<Outgoing>& out);
  void SendForwards(TimePoint now, std::vector<Outgoing>& out);
  void SendForward(const FleetRoster::Member& hub, TimePoint now, std::vector<Outgoing>& out);
  void ProbeAddresses(TimePoint now, std::vector<Outgoing>& out);
  void ReplyTo(const InstanceReport& report,
               const std::string& address,
               TimePoint now,
               std::vector<Outgoing>& out);

  std::optional<DropReason> Dispatch(const FleetMessage& message,
                                     const std::string& from,
                                     TimePoint now,
                                     std::vector<Outgoing>& outgoing);
  std::optional<DropReason> OnReport(const InstanceReport& report,
                                     const std::string& from,
                                     TimePoint now,
                                     std::vector<Outgoing>& out);
  std::optional<DropReason> OnForward(const HubForward& forward,
                                      const std::string& from,
                                      TimePoint now);
  std::optional<DropReason> OnSummary(const HubSummary& summary,
                                      const std::string& from,
                                      TimePoint now,
                                      std::vector<Outgoing>& out);
  bool AcceptWork(const InstanceWork& work, TimePoint now, bool reported);
  void ApplyRoster(std::uint32_t source, const RosterChanges& changes, bool trusted, TimePoint now);
  void ApplyHubRoster(std::uint32_t hub, const RosterChanges& changes, TimePoint now);
  void RecordNotices(const std::vector<TableNotice>& notices,
                     const std::string& from,
                     bool reported,
                     const std::optional<TimePoint>& sent_at,
                     TimePoint now);
  void RecordQuarantine(const QuarantineNews& news, TimePoint sent_at, TimePoint now);
  void RecordSegments(const std::vector<CachedSegment>& segments, TimePoint now, bool reported);
  RosterAck AckFor(std::uint32_t source) const;
  bool HasReporters(TimePoint now) const;
  bool ActsAsHub(TimePoint now) const;
  // Returns the live instance with a peer address, or null.
  const FleetRoster::Member* FindByAddress(const std::string& address) const;
  std::size_t Draw(std::size_t count);
  std::vector<std::string> TakeSome(std::vector<std::string> addresses, std::size_t count);
  const Totals& CurrentTotals(TimePoint now) const;
  Totals OthersTotals(TimePoint now) const;
  void KeepTotals(const HubSummary& summary, TimePoint sent_at, TimePoint now);
  bool HasSummary(TimePoint now) const;

  Duration period_;
  ExchangeHooks hooks_;
  FleetRoster roster_;
  ExchangeTiming timing_;
  std::vector<std::uint32_t> upstreams_;
  std::uint32_t upstream_set_ = 0;

  InstanceId hub_;                // the instance that this one reports to; itself if it is a hub
  bool is_hub_ = false;           // chosen by itself; it also answers others that report to it
  TimePoint unanswered_since_{};  // first report since the hub's last answer; zero if none
  std::map<InstanceId, TimePoint> suspected_until_;  // hubs that did not answer
  std::map<std::string, TimePoint> asked_;           // addresses to which a report was sent
  std::map<std::string, int> probes_left_;           // addresses at which no instance is known yet
  std::vector<std::string> seeds_;
  TimePoint started_at_{};

  std::uint64_t sequence_ = 0;  // of this instance's reports and forwards
  // Own loads and service use in the last reports, since the totals of a summary include them.
  struct OwnReport {
    std::uint64_t sequence;
    std::vector<UpstreamLoad> loads;
    std::vector<ServiceUse> services;
  };
  std::deque<OwnReport> own_reports_;
  Totals others_;           // of the hub's last summary, without this instance
  TimePoint summary_at_{};  // when that arrived
  std::map<std::uint32_t, std::uint64_t> last_summary_;  // sequence, by the hub's key

  std::unordered_map<std::uint32_t, PeerWork> work_;  // by InstanceKey
  std::unordered_map<std::uint32_t, Heard> heard_;    // by InstanceKey
  std::uint64_t last_stamp_ = 0;
  std::map<InstanceId, Reporter> reporters_;
  std::map<InstanceId, HubLink> hubs_;
  std::map<std::uint32_t, std::uint64_t> roster_versions_;  // of other rosters, by InstanceKey
  std::uint32_t full_roster_source_ = 0;     // the hub whose whole roster is being received
  std::set<InstanceId> full_roster_listed_;  // the instances received of it so far
  SegmentLog reported_segments_;  // of this instance and those that report to it, for forwards
  SegmentLog all_segments_;       // for summaries
  NoticeRelay notice_relay_;

  mutable Totals totals_;
  mutable TimePoint totals_at_{};

  TimePoint last_tick_{};
  TimePoint heard_at_{};             // last message of another instance
  TimePoint contact_since_{};        // when this instance last found others after it was alone
  std::uint64_t timed_version_ = 0;  // version of the roster that timing_ was derived from
  TimePoint next_report_{};
  TimePoint next_forward_{};
  TimePoint next_probe_{};
  TimePoint next_tick_{};
  std::uint64_t random_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_FLEET_EXCHANGE_H_
