#include "gateway.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "log.h"

namespace chiverail {
namespace {

// Interval at which expired entries are removed and gauges are updated.
constexpr Duration kExpiryInterval = milliseconds(250);

// Shortest time between two ticks of the exchange with other instances.
constexpr Duration kMinTick = milliseconds(5);

// Shortest time between two announcements of news. Without one the others are told with the
// next regular message.
constexpr Duration kMinAnnouncement = milliseconds(100);

// Interval at which a leaving process checks whether its requests have ended.
constexpr Duration kLeavingCheck = milliseconds(50);

// Time for the answers that end requests at the deadline of a stop to be sent, and for those that
// slow callers have not taken by then.
constexpr Duration kLastAnswersTime = milliseconds(300);
constexpr Duration kLastDeliveriesTime = milliseconds(600);

RelayLimits RelayLimitsOf(const GatewaySettings& settings) {
  RelayLimits limits;
  limits.key_age = settings.MaxKeyAge();
  limits.superseded_age = settings.MaxSupersededAge();
  limits.retry_ratio = settings.retry_ratio;
  limits.retry_slack = settings.retry_slack;
  limits.cold_overage = settings.cold_overage;
  limits.cold_slack = settings.cold_slack;
  limits.max_rest = settings.max_upstream_rest;
  limits.rollout_share = settings.rollout_share;
  limits.hedge_share = settings.hedge_share;
  return limits;
}

DecisionLog::Limits LogLimitsOf(const GatewaySettings& settings) {
  DecisionLog::Limits limits;
  limits.lines_per_second =
      settings.log_level == "off" ? 0 : static_cast<double>(settings.log_lines_per_second);
  return limits;
}

std::uint64_t UnixMilliseconds() {
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * 1000 +
         static_cast<std::uint64_t>(time.tv_nsec) / 1'000'000;
}

// What an instance with these settings tells the others when it starts.
InstanceInfo InfoOf(const GatewaySettings& settings) {
  InstanceInfo info;
  info.instance = settings.instance_id;
  info.start_id = UnixMilliseconds();
  info.peer_address = settings.peer_address;
  info.caller_address = settings.caller_address;
  info.data_centre = settings.data_centre;
  info.capacity = settings.MirrorCapacity();
  info.store_reachable = true;  // until a read fails
  return info;
}

std::string_view PathOf(const CallerRequest& request) {
  const std::string_view target = request.head.target;
  return target.substr(0, target.find('?'));
}

}  // namespace

Gateway::Gateway(GatewaySettings settings,
                 GatewayInterface interface,
                 std::function<GatewaySettings()> reload)
    : settings_(std::move(settings)),
      interface_(std::move(interface)),
      reload_(std::move(reload)),
      io_(1),
      log_(io_, settings_.instance_id, STDOUT_FILENO, LogLimitsOf(settings_)),
      relay_(io_,
             InfoOf(settings_),
             settings_.digest_period,
             interface_.names,
             RelayLimitsOf(settings_),
             log_,
             metrics_),
      caller_account_(std::make_shared<CallerAccount>(io_, &metrics_)),
      fleet_timer_(io_),
      leaving_timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP) {}

int Gateway::Run() {
  Listen();
  log_.Write(Decision::kStart, {{"address", settings_.caller_address},
                                {"data_centre", settings_.data_centre},
                                {"seeds", settings_.seeds}});
  for (const std::string& address : settings_.SeedAddresses()) {
    relay_.fleet().AddSeed(address);
  }
  relay_.SetAnnounce([this] { AnnounceNews(); });
  TickFleet();
  WaitForSignal();
  RunHandlers();
  log_.Write(Decision::kStop, {{"exit_code", exit_code_}});
  log_.Flush();
  return exit_code_;
}

// An unexpected exception ends the handler that threw it, not the process: other requests go on.
void Gateway::RunHandlers() {
  for (bool stopped = false; !stopped;) {
    stopped = Guard("handler", [this] { io_.run(); });
  }
}

bool Gateway::Guard(const char* part, const std::function<void()>& body) {
  try {
    body();
    return true;
  } catch (const std::exception& error) {
    metrics_.Add(Counter::kHandlerErrors, 1, part);
    log_.Write(Decision::kError, {{"part", part}, {"why", error.what()}});
    return false;
  }
}

void Gateway::Listen() {
  using Caller = std::shared_ptr<CallerConnection>;
  caller_listener_ = std::make_unique<HttpListener>(
      io_, settings_.caller_address, [this](const Caller& caller, CallerRequest request) {
        caller_listener_->SetLimits(relay_.table() ? relay_.table()->config().limits
                                                   : CallerLimits{});
        relay_.Handle(caller, std::move(request));
      });
  caller_listener_->SetEarlyRefusal(
      [this](const Caller& caller, const MessageHead& head, TimePoint received) {
        return relay_.RefuseEarly(caller, head, received);
      });
  ready_listener_ = std::make_unique<HttpListener>(
      io_, settings_.ready_address, [this](const Caller& caller, const CallerRequest& request) {
        RespondReady(caller, request);
      });
  directory_listener_ = std::make_unique<HttpListener>(
      io_, settings_.directory_address, [this](const Caller& caller, const CallerRequest& request) {
        RespondDirectory(caller, request);
      });
  if (!settings_.metrics_address.empty()) {
    metrics_listener_ = std::make_unique<HttpListener>(
        io_, settings_.metrics_address,
        [this](const Caller& caller, const CallerRequest&) { RespondMetrics(caller); });
  }
  caller_account_->SetLimit(settings_.MaxHeldBytes());
  caller_listener_->SetMaxConnections(settings_.MaxCallerConnections());
  for (HttpListener* listener : {caller_listener_.get(), ready_listener_.get(),
                                 directory_listener_.get(), metrics_listener_.get()}) {
    if (listener != nullptr) {
      listener->SetAccount(caller_account_);
    }
    if (listener != nullptr && listener != caller_listener_.get()) {
      listener->SetMaxConnections(settings_.MaxOtherConnections());
    }
  }
  peers_ = std::make_unique<PeerDatagrams>(io_, settings_.peer_address,
                                           [this](std::string_view bytes, const std::string& from) {
                                             Guard("datagram", [&] { OnDatagram(bytes, from); });
                                           });
}

void Gateway::RespondReady(const std::shared_ptr<CallerConnection>& caller,
                           const CallerRequest& request) {
  if (PathOf(request) != interface_.ready_path) {
    caller->Respond(404, {}, {}, {});
    return;
  }
  const bool ready = ready_ && !leaving_ && relay_.Accepting(BootTimeNow());
  caller->Respond(ready ? 200 : 503, {}, {}, {});
}

void Gateway::RespondDirectory(const std::shared_ptr<CallerConnection>& caller,
                               const CallerRequest& request) {
  if (PathOf(request) != interface_.directory_path) {
    caller->Respond(404, {}, {}, {});
    return;
  }
  const HttpTarget target = ParseTarget(request.head.target);
  const DirectoryQuery query{caller->peer_host(),
                             target.Parameter(interface_.directory_data_centre)};
  const auto addresses = ChooseAddresses(relay_.fleet().roster().CallerEntries(), query);
  if (addresses.empty()) {
    caller->Respond(503, {}, {}, {});
    return;
  }
  caller->Respond(200, {}, {{"Content-Type", "application/json"}},
                  interface_.directory_body(addresses, settings_.directory_ttl_s));
}

void Gateway::RespondMetrics(const std::shared_ptr<CallerConnection>& caller) {
  caller->Respond(200, {}, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.Render());
}

void Gateway::OnDatagram(std::string_view bytes, const std::string& from) {
  const TimePoint now = BootTimeNow();
  metrics_.Add(Counter::kPeerBytesReceived, bytes.size());
  FleetExchange& fleet = relay_.fleet();
  const auto decoded = DecodeFleetMessage(bytes, fleet.upstreams());
  const auto* message = std::get_if<FleetMessage>(&decoded);
  std::vector<FleetExchange::Outgoing> outgoing;
  const std::optional<DropReason> dropped = message == nullptr
                                                ? std::get<DropReason>(decoded)
                                                : fleet.OnMessage(*message, from, now, outgoing);
  if (dropped) {
    metrics_.Add(Counter::kPeerMessagesDropped, 1, std::string(NameOf(kDropReasonNames, *dropped)));
    return;
  }
  // A hub gets many messages; the totals that it computes from them change less often.
  const bool is_summary = std::holds_alternative<HubSummary>(*message);
  if (is_summary || (fleet.IsHub() && loads_updated_at_ + ExchangeTiming::kTotalsPeriod <= now)) {
    loads_updated_at_ = now;
    relay_.UpdatePeerLoads(now);
  }
  SendToPeers(outgoing);
  NoteRosterChange();
}

void Gateway::OnStoreFailed() {
  if (relay_.fleet().roster().self().store_reachable) {
    SendToPeers(relay_.fleet().Announce(OwnInfo(), BootTimeNow()));
    NoteRosterChange();
  }
}

void Gateway::AnnounceNews() {
  const TimePoint now = BootTimeNow();
  if (news_announced_at_ + kMinAnnouncement <= now) {
    news_announced_at_ = now;
    SendToPeers(relay_.fleet().Announce(OwnInfo(), now));
    NoteRosterChange();
  }
}

void Gateway::NoteRosterChange() {
  const std::uint64_t version = relay_.fleet().roster().version();
  if (on_roster_change_ && std::exchange(roster_version_, version) != version) {
    on_roster_change_();
  }
}

void Gateway::SendToPeers(const std::vector<FleetExchange::Outgoing>& messages) {
  const FleetExchange& fleet = relay_.fleet();
  for (const FleetExchange::Outgoing& outgoing : messages) {
    const std::string bytes =
        EncodeFleetMessage(outgoing.message, outgoing.dense ? &fleet.upstreams() : nullptr);
    metrics_.Add(Counter::kPeerBytesSent, bytes.size());
    peers_->Send(bytes, outgoing.address);
  }
}

InstanceInfo Gateway::OwnInfo() {
  InstanceInfo info = relay_.fleet().roster().self();
  info.accepting = ready_ && relay_.Accepting(BootTimeNow());
  info.leaving = leaving_;
  info.store_reachable = !store_check_ || store_check_();
  return info;
}

void Gateway::TickFleet() {
  const TimePoint now = BootTimeNow();
  FleetExchange& fleet = relay_.fleet();
  Guard("fleet", [&] {
    if (next_expiry_ <= now) {
      next_expiry_ = now + kExpiryInterval;
      relay_.Expire(now);
      metrics_.Set(Gauge::kHeldBytes, static_cast<double>(caller_account_->total()));
      LogFleetChanges();
    }
    SendToPeers(fleet.Tick(OwnInfo(), now));
    if (fleet.IsHub()) {
      relay_.UpdatePeerLoads(now);
    }
    NoteRosterChange();
  });
  fleet_timer_.expires_after(std::max<Duration>(kMinTick, fleet.NextTick() - now));
  fleet_timer_.async_wait([this](const auto& cancelled) {
    if (!cancelled) {
      TickFleet();
    }
  });
}

// One line when this instance becomes a hub or stops being one.
void Gateway::LogFleetChanges() {
  const FleetExchange& fleet = relay_.fleet();
  if (fleet.IsHub() == logged_hub_) {
    return;
  }
  logged_hub_ = fleet.IsHub();
  log_.Write(Decision::kDependency,
             {{"dependency", "fleet"},
              {"outcome", logged_hub_ ? "acts as a hub" : "reports to a hub"},
              {"instances", fleet.roster().live_count()},
              {"hubs", fleet.timing().hubs}});
}

void Gateway::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      Reload();
    } else {
      StartLeaving();
    }
    WaitForSignal();
  });
}

// Limits and seeds apply immediately. Listen addresses apply at the next start only, since callers
// have open connections.
void Gateway::Reload() {
  try {
    const GatewaySettings settings = reload_();
    for (const std::string& address : settings.SeedAddresses()) {
      relay_.fleet().AddSeed(address);
    }
    relay_.SetLimits(RelayLimitsOf(settings));
    caller_account_->SetLimit(settings.MaxHeldBytes());
    log_.Write(Decision::kReload, {{"outcome", "applied"}});
  } catch (const std::exception& error) {
    log_.Write(Decision::kReload, {{"outcome", "kept the former settings"}, {"why", error.what()}});
  }
}

void Gateway::StartLeaving() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  leaving_since_ = BootTimeNow();
  log_.Write(Decision::kStop,
             {{"outcome", "leaving"}, {"open_requests", caller_listener_->busy()}});
  caller_listener_->StartClosing();
  relay_.BeginStop(leaving_since_ + settings_.drain_accept,
                   leaving_since_ + settings_.DrainDeadline(), leaving_since_);
  SendToPeers(relay_.fleet().Announce(OwnInfo(), leaving_since_));
  if (on_leaving_) {
    on_leaving_();
  }
  CheckLeaving();
}

// Requests are refused, passed on or ended by the StopPlan. Connections are accepted for a while,
// since callers use the addresses that the directory gave them, and the last answers get some time
// to reach their callers.
void Gateway::CheckLeaving() {
  const TimePoint now = BootTimeNow();
  const Duration passed = now - leaving_since_;
  relay_.RefuseWaiting(now);
  caller_listener_->RefuseEarly();
  if (passed >= settings_.drain_accept) {
    caller_listener_->Close();
  }
  const bool over = passed >= settings_.DrainDeadline();
  if (over && !std::exchange(calls_ended_, true)) {
    cut_requests_ = relay_.EndCalls();
    caller_listener_->RefuseUnread({{relay_.names().retry_after, "0.050"}});
  }
  const bool accepting = passed < settings_.drain_accept;
  const Duration last = caller_listener_->HasUnsent() ? kLastDeliveriesTime : kLastAnswersTime;
  if (!accepting &&
      (caller_listener_->in_use() == 0 || passed >= settings_.DrainDeadline() + last)) {
    log_.Write(Decision::kStop, {{"outcome", "left"}, {"cut_requests", cut_requests_}});
    io_.stop();
    return;
  }
  leaving_timer_.expires_after(kLeavingCheck);
  leaving_timer_.async_wait([this](const auto& cancelled) {
    if (!cancelled) {
      CheckLeaving();
    }
  });
}

}  // namespace chiverail
