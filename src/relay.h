#ifndef CHIVERAIL_RELAY_H_
#define CHIVERAIL_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cache_holders.h"
#include "caller_connection.h"
#include "config_guard/start_version.h"
#include "connect_check.h"
#include "decision_log.h"
#include "fleet_exchange.h"
#include "header_names.h"
#include "hedging/hedge_policy.h"
#include "metrics.h"
#include "prompt_quarantine.h"
#include "rollout/rollout_set.h"
#include "route_table.h"
#include "service_gate/service_gate.h"
#include "sliding_window_retry_budget.h"
#include "slot_queue.h"
#include "slot_shares.h"
#include "stop_plan.h"
#include "upstream_choice.h"
#include "upstream_connection.h"
#include "upstream_set.h"
#include "upstream_terms.h"

namespace chiverail {

class RelayCall;

// Limits of the relay, taken from the settings.
struct RelayLimits {
  Duration key_age{};  // keyed requests are refused if the configuration is older
  // All requests are refused if the configuration is known to be superseded and was the newest one
  // longer ago than this; zero for no limit.
  Duration superseded_age{};
  double retry_ratio = 0.1;         // retries per request
  double retry_slack = 10;          // additional retries, shared by all instances
  double cold_overage = 1.0;        // multiple of a service's cold rate that all instances may send
  double cold_slack = 0;            // additional requests per second beyond cold_overage
  Duration max_rest = seconds(60);  // for which one answer of an upstream may turn an instance away
  double hedge_share = 0;           // second attempts for each request that may be repeated
  double rollout_share = 0.1;       // of a service's requests that a faulty new version may get
};

// Where a configuration was read.
struct ConfigOrigin {
  std::string source;  // peer address of an instance; empty for the platform's store
  Duration age{};      // of the rows when they arrived
};

// State shared by all requests of one instance: the configuration in force, the upstreams, the
// other instances, the queues and the retry budgets. Used only by the io_context's single thread.
class Relay {
 public:
  // `self` is what this instance tells the others about itself, `period` the time between two
  // messages to one of them.
  Relay(boost::asio::io_context& io,
        InstanceInfo self,
        Duration period,
        HeaderNames names,
        RelayLimits limits,
        DecisionLog& log,
        Metrics& metrics);

  // Relays one request of a caller to an upstream.
  void Handle(const std::shared_ptr<CallerConnection>& caller, CallerRequest request);

  // Puts a configuration in force unless its version is lower than that of the current one.
  // `origin` goes to the log.
  void Apply(RoutingConfig config, const ConfigOrigin& origin = {});

  // Records that the configuration in force was still the newest one at `time`.
  void OnConfigConfirmed(TimePoint time);

  // True if a configuration was confirmed within the last `key_age`, as keyed requests require.
  bool HasFreshConfig(TimePoint now) const;

  // True if the relay can serve requests.
  bool Accepting(TimePoint now) const {
    return table_ != nullptr && HasFreshConfig(now) && !IsSuperseded(now);
  }

  // Updates the upstreams' loads by the requests of other instances. Called when their state or the
  // set of upstreams has changed.
  void UpdatePeerLoads(TimePoint now);

  // Puts changed limits in force.
  void SetLimits(const RelayLimits& limits);

  // Removes expired entries and updates gauges. Called periodically.
  void Expire(TimePoint now);

  // Fills in the fields of a query that are the same for all requests for a service. `config` may
  // be null.
  ChoiceQuery QueryFor(const std::string& service, const ServiceConfig* config);

  // Queue of requests that wait for a slot at this service's upstreams.
  SlotQueue& Queue(const std::string& service) { return service_queues_[service].queue; }

  // Slots of this service's upstreams held by this instance's requests.
  SlotShares& Shares(const std::string& service) { return service_queues_[service].shares; }

  // Enqueues a request for a slot. `call` is notified when a slot is free or the request has waited
  // for too long.
  EnqueueResult EnqueueCall(const std::string& service,
                            const PendingRequest& request,
                            const std::shared_ptr<RelayCall>& call,
                            TimePoint now);

  // Removes a request from the queue.
  void DequeueCall(const std::string& service, const SlotKey& key);

  // Assigns free slots to queued requests. Called when a slot may have become free.
  void ServeQueue(const std::string& service);

  // Returns whether a request for a service may be placed now. Those for a plain service with fewer
  // slots than instances are limited by its gate.
  bool PassesGate(const std::string& service);

  // Holds a request that arrives before the configuration is known, until OnConfigured or
  // kMaxStartHold. Returns false if it can't be held.
  bool HoldUntilConfigured(const std::shared_ptr<RelayCall>& call);

  // Called once the configuration and the upstreams are known: the requests that are held go on.
  void OnConfigured();

  // Longest time for which a request is held until the configuration is known: that of a fleet that
  // starts at once, with a configuration of 600 KB.
  static constexpr Duration kMaxStartHold = seconds(2);

  // Limits for the choice of an upstream of a service. `slot_share` is the share of an engine's
  // slots that the request may fill.
  ChoiceLimits LimitsFor(const ServiceConfig* service, double slot_share) const;

  // Number of requests per second that this instance may send to a cold upstream.
  double ColdLimit(const ServiceConfig& service, const UpstreamState& upstream);

  // Requests that this instance may send to an upstream that has named a limit; nothing if it has
  // named none.
  std::optional<UpstreamTerms::Allowance> AllowanceOf(const UpstreamState& upstream, TimePoint now);

  // Takes up what an answer of an upstream says about the requests that it wants. `turned_away` is
  // true if it has refused the request.
  void OnUpstreamHead(const UpstreamState& upstream,
                      const MessageHead& head,
                      bool turned_away,
                      TimePoint now);

  // Time after which a request may be sent again that all upstreams of the service have no room for
  // by what they have asked.
  Duration TermsRetryDelay(const std::string& service, TimePoint now);

  // Records an answer of an upstream of this version, if the service is being moved to another one.
  void OnRolloutAnswer(const std::string& service,
                       const std::string& version,
                       const std::string& route,
                       const AnswerSample& sample);

  // Sets the function that returns whether another instance has a newer configuration.
  void SetSupersededCheck(std::function<bool()> check) { superseded_check_ = std::move(check); }

  // Another instance tells the version of the configuration that it has in force.
  void OnConfigInForce(std::uint64_t version);

  // True if another instance has had a newer configuration for so long that the one in force must
  // not be used any more, or had one in force when this instance started.
  bool IsSuperseded(TimePoint now) const;

  // Sets the function that tells the other instances at once what has changed.
  void SetAnnounce(std::function<void()> announce) { announce_ = std::move(announce); }

  // Second attempts for requests of a service.
  HedgePolicy& Hedges(const std::string& service);

  // Requests at the upstreams of a service for each of their slots, on average.
  double LoadOf(const std::string& service) const;

  // Returns whether the retry budget of a service has room for one more retry, and whether it had
  // and the retry is recorded.
  bool MayRetry(const std::string& service, TimePoint now);
  bool TrySpendRetry(const std::string& service, TimePoint now);

  // Returns the hashes of a prompt's segments that other requests may share: all but the last one.
  static std::vector<SegmentHash> SharedSegments(const std::vector<PromptSegment>& segments,
                                                 const std::string& service);

  // Returns whether a request with these segments may be sent now.
  PromptQuarantine::Verdict CheckQuarantine(const std::vector<SegmentHash>& segments,
                                            TimePoint now);

  // Checks whether an upstream has ended, since its connection broke before it had shown that it
  // can answer a request with these prompt segments. One check is made for all requests that an end
  // cuts.
  void CheckEnded(const UpstreamState& upstream, const std::vector<PromptSegment>& segments);

  // Begins the stop of this instance, see StopPlan. Requests that wait and won't end in time are
  // refused.
  void BeginStop(TimePoint accept_until, TimePoint deadline, TimePoint now);

  // Refuses the waiting requests that won't end in time. Called several times a second during a
  // stop.
  void RefuseWaiting(TimePoint now);

  // Refuses a request whose body is still arriving if this instance stops too soon for it. Returns
  // whether it has.
  bool RefuseEarly(const std::shared_ptr<CallerConnection>& caller,
                   const MessageHead& head,
                   TimePoint received);

  // Returns whether `bytes` of an answer may be held for a slow caller beyond the usual limit: a
  // stopping instance reads answers to their ends, so that they are not cut with its upstreams'
  // connections. Holds up to kMaxReadAheadBytes so over the whole stop.
  bool TryReadAhead(std::size_t bytes);

  // Ends all requests, because the process ends. Returns their number.
  std::size_t EndCalls();

  // Addresses of other instances that accept requests, separated by commas; may be empty.
  std::string OtherInstances() const;

  StopPlan& stop_plan() { return stop_plan_; }

  // Time of SIGTERM; zero if the instance is not stopping.
  TimePoint stop_began_at() const { return stop_began_at_; }

  // Keeps track of the requests that are being served.
  void AddCall(const std::shared_ptr<RelayCall>& call);
  void RemoveCall(const RelayCall* call);

  // Records a request of a caller for a service.
  void CountRequest(const std::string& service, TimePoint now);

  // Sets the function that returns the state of this instance's copies of the platform's tables.
  void SetTableNotices(std::function<std::vector<TableNotice>()> notices) {
    table_notices_ = std::move(notices);
  }

  // Sets the function that is called with the state of another instance's copy of a table.
  void OnTableNotice(std::function<void(const std::string&, const TableNotice&)> on_notice) {
    on_table_notice_ = std::move(on_notice);
  }

  boost::asio::io_context& io() { return io_; }
  const HeaderNames& names() const { return names_; }
  const RelayLimits& limits() const { return limits_; }
  std::shared_ptr<const RouteTable> table() const { return table_; }
  UpstreamSet& upstreams() { return upstreams_; }
  FleetExchange& fleet() { return fleet_; }
  CacheHolders& cache_holders() { return cache_holders_; }
  PromptQuarantine& quarantine() { return quarantine_; }
  UpstreamPool& pool() { return pool_; }
  RolloutSet& rollouts() { return rollouts_; }
  // Metrics label of a route: its name, or "other" beyond the first kMaxRouteLabels routes.
  std::string RouteLabel(const std::string& route);

  DecisionLog& log() { return log_; }
  Metrics& metrics() { return metrics_; }
  std::uint64_t Random() { return random_(); }
  std::uint32_t NextTicket() { return ++last_ticket_; }
  TimePoint config_confirmed_at() const { return config_confirmed_at_; }

 private:
  // Maximum number of metric series by route. Operators have added 120 routes in a day.
  static constexpr std::size_t kMaxRouteLabels = 64;

  // An eighth of the memory that an instance may use.
  static constexpr std::size_t kMaxReadAheadBytes = 32 << 20;

  // Queued requests for the slots at one service's upstreams, and the slots in use.
  struct ServiceQueue {
    SlotQueue queue;
    SlotShares shares;
    std::unordered_map<SlotKey, std::weak_ptr<RelayCall>, SlotKeyHash> calls;
    bool serving = false;  // prevents recursion of ServeQueue through a call that it serves
  };

  // Admission to a plain service.
  struct GateState {
    ServiceGate gate;
    bool shared = false;   // it has fewer slots than the fleet has instances
    bool limited = false;  // as last logged
  };

  // Requests held at the start of the instance: a few seconds' worth of an instance's callers.
  static constexpr std::size_t kMaxHeldAtStart = 256;

  // Requests cut by what may be the end of an upstream.
  struct SuspectedEnd {
    TimePoint at{};
    std::vector<std::string> segments;  // ids, without the last one of each prompt; for the log
    std::vector<SegmentHash> hashes;    // the most suspect segments of each request
  };

  bool IsBehindAtStart(TimePoint now) const;
  void UpdateGates(TimePoint now);
  void ForEachCall(const std::function<void(RelayCall&)>& act);
  void RefreshShares(TimePoint now);
  void OnEndChecked(const UpstreamId& id, ConnectResult result);
  void LogQuarantineChanges();
  UpstreamTerms::Standing StandingOf(const UpstreamState& upstream, TimePoint now) const;
  ExchangeHooks FleetHooks();
  RolloutSources RolloutSourcesAt(TimePoint now);
  void UpdateRollouts(TimePoint now);
  std::vector<UpstreamLoad> OwnLoads() const;
  std::vector<ServiceUse> OwnUse();
  SlidingWindowRetryBudget& BudgetFor(const std::string& service);
  FleetUse OthersUse(const std::string& service, TimePoint now) const;

  // Removes the call of a queued request and returns it; null if the call has ended.
  std::shared_ptr<RelayCall> TakeQueued(ServiceQueue& service_queue, const SlotKey& key);

  // Scans the queues periodically for as long as requests are queued.
  void ScheduleQueueScan();

  boost::asio::io_context& io_;
  DataCentreId data_centre_;
  HeaderNames names_;
  RelayLimits limits_;
  DecisionLog& log_;
  Metrics& metrics_;
  std::shared_ptr<const RouteTable> table_;
  TimePoint config_confirmed_at_{};
  StartVersion start_version_{BootTimeNow()};
  UpstreamSet upstreams_;
  CacheHolders cache_holders_;
  PromptQuarantine quarantine_;
  FleetExchange fleet_;
  std::function<std::vector<TableNotice>()> table_notices_;
  std::function<void(const std::string&, const TableNotice&)> on_table_notice_;
  UpstreamTerms terms_;
  std::function<void()> announce_;
  std::function<bool()> superseded_check_;
  RolloutSet rollouts_;
  // This instance's shares by upstream tag, for the instances at `shares_at_`.
  std::unordered_map<std::uint32_t, double> cold_limits_;
  std::unordered_map<std::uint32_t, std::optional<UpstreamTerms::Allowance>> allowances_;
  std::vector<InstanceId> sharing_instances_;
  std::uint64_t shares_version_ = 0;  // of the roster
  TimePoint shares_at_{};
  UpstreamPool pool_;
  std::map<UpstreamId, SuspectedEnd> suspected_ends_;  // that are being checked
  StopPlan stop_plan_;
  TimePoint stop_began_at_{};
  std::size_t read_ahead_bytes_ = 0;
  std::unordered_map<const RelayCall*, std::weak_ptr<RelayCall>> calls_;
  std::map<std::string, SlidingWindowRetryBudget> budgets_;
  std::map<std::string, ServiceQueue> service_queues_;
  std::map<std::string, GateState> gates_;     // by service
  std::map<std::string, HedgePolicy> hedges_;  // by service
  std::vector<std::weak_ptr<RelayCall>> held_calls_;
  bool configured_ = false;
  boost::asio::steady_timer queue_scan_timer_;
  bool queue_scan_scheduled_ = false;
  std::uint32_t last_ticket_ = 0;
  std::set<std::string> route_labels_;
  std::mt19937_64 random_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_RELAY_H_
