#ifndef CHIVERAIL_RELAY_H_
#define CHIVERAIL_RELAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller_connection.h"
#include "decision_log.h"
#include "header_names.h"
#include "instance_table.h"
#include "metrics.h"
#include "part_holders.h"
#include "place_queue.h"
#include "place_shares.h"
#include "route_table.h"
#include "send_budget.h"
#include "upstream_choice.h"
#include "upstream_connection.h"
#include "upstream_set.h"

namespace chiverail {

class RelayCall;

// Bounds that the relay keeps; the settings give them.
struct RelayLimits {
  Duration key_age{};         // keyed requests are refused when the configuration is older
  double retry_ratio = 0.1;   // further sends for each request
  double retry_slack = 10;    // further sends beyond that, of all instances together
  double cold_overage = 1.0;  // multiple of a service's cold rate that all instances may send
  double cold_slack = 0;      // and requests a second beyond it
};

// What all requests of one instance share: the configuration in force, the upstreams, the other
// instances and the budgets. Used by the io_context's single thread.
class Relay {
 public:
  Relay(boost::asio::io_context& io,
        InstanceId instance,
        DataCentreId data_centre,
        HeaderNames names,
        RelayLimits limits,
        DecisionLog& log,
        Metrics& metrics);

  // Serves one request of a caller.
  void Handle(const std::shared_ptr<CallerConnection>& caller, CallerRequest request);

  // Puts a configuration in force. One with a lower version than the one in force is ignored.
  void Apply(RoutingConfig config);

  // The configuration in force was still the newest one at `time`.
  void OnConfigConfirmed(TimePoint time);

  // True when a configuration is in force and young enough for keyed requests.
  bool InTouch(TimePoint now) const;

  // True when the relay can serve requests.
  bool Accepting(TimePoint now) const { return table_ != nullptr && InTouch(now); }

  // Takes the loads that other instances told; called after digests have come.
  void UpdatePeerLoads(TimePoint now);

  // Puts changed limits in force.
  void SetLimits(const RelayLimits& limits) { limits_ = limits; }

  // Regular upkeep: drops what has expired.
  void Expire(TimePoint now);

  // This instance's requests at each upstream.
  std::vector<UpstreamLoad> OwnLoads() const;

  // What the choice of an upstream needs to know of any request for a service. The configuration of
  // the service may be null.
  ChoiceQuery QueryFor(const std::string& service, const ServiceConfig* config, TimePoint now);

  // Requests that wait for a place at this service's upstreams.
  PlaceQueue& Queue(const std::string& service) { return places_[service].queue; }

  // What this instance's requests hold of this service's places.
  PlaceShares& Shares(const std::string& service) { return places_[service].shares; }

  // Lets a request wait for a place; its call is told when one is free or it has waited for too
  // long.
  JoinOutcome Wait(const std::string& service,
                   const PlaceAsk& ask,
                   const std::shared_ptr<RelayCall>& call,
                   TimePoint now);

  // The request waits no longer.
  void StopWaiting(const std::string& service, const SlotKey& key);

  // A place may have come free: hands places to those that wait.
  void ServeWaiting(const std::string& service);

  // Limits of the choice for a service. `slot_share` is the share of an engine's slots that the
  // request may fill.
  ChoiceLimits LimitsFor(const ServiceConfig* service, double slot_share) const;

  // Requests that this instance may send in a second to a cold upstream.
  double ColdLimit(const ServiceConfig& service, const UpstreamId& upstream, TimePoint now) const;

  boost::asio::io_context& io() { return io_; }
  const InstanceId& instance() const { return instance_; }
  const DataCentreId& data_centre() const { return data_centre_; }
  const HeaderNames& names() const { return names_; }
  const RelayLimits& limits() const { return limits_; }
  std::shared_ptr<const RouteTable> table() const { return table_; }
  UpstreamSet& upstreams() { return upstreams_; }
  InstanceTable& instances() { return instances_; }
  const InstanceTable& instances() const { return instances_; }
  PartHolders& part_holders() { return part_holders_; }
  UpstreamPool& pool() { return pool_; }
  SendBudget& BudgetFor(const std::string& service);
  // The route's name as a label of metrics; "other" beyond the first kMaxRouteLabels routes.
  std::string RouteLabel(const std::string& route);

  DecisionLog& log() { return log_; }
  Metrics& metrics() { return metrics_; }
  std::uint64_t Random() { return random_(); }
  std::uint32_t NextTicket() { return ++last_ticket_; }
  TimePoint config_confirmed_at() const { return config_confirmed_at_; }

 private:
  // Series of metrics by route; operators have added 120 routes in a day.
  static constexpr std::size_t kMaxRouteLabels = 64;

  // The places at one service's upstreams: who waits for them, and who holds them.
  struct ServicePlaces {
    PlaceQueue queue;
    PlaceShares shares;
    std::unordered_map<SlotKey, std::weak_ptr<RelayCall>, SlotKeyHash> calls;
    bool being_served = false;  // ServeWaiting is not entered again by a call that it serves
  };

  // Forgets a request that waits and returns its call; null when the call has ended.
  std::shared_ptr<RelayCall> TakeWaiting(ServicePlaces& places, const SlotKey& key);

  // Looks for places again after a while, as long as requests wait.
  void ScheduleLook();

  boost::asio::io_context& io_;
  InstanceId instance_;
  DataCentreId data_centre_;
  HeaderNames names_;
  RelayLimits limits_;
  DecisionLog& log_;
  Metrics& metrics_;
  std::shared_ptr<const RouteTable> table_;
  TimePoint config_confirmed_at_{};
  UpstreamSet upstreams_;
  InstanceTable instances_;
  PartHolders part_holders_;
  UpstreamPool pool_;
  std::map<std::string, SendBudget> budgets_;
  std::map<std::string, ServicePlaces> places_;
  boost::asio::steady_timer look_timer_;
  bool look_scheduled_ = false;
  std::uint32_t last_ticket_ = 0;
  std::set<std::string> route_labels_;
  std::mt19937_64 random_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_RELAY_H_
