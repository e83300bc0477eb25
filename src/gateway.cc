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

// Maximum number of digests sent per second. In a large fleet the digest period grows, so that the
// fleet's digest traffic is linear in the number of instances and not quadratic.
constexpr double kDigestsPerSecond = 120;

// Every kAddressesInterval-th digest carries the known addresses, through which instances discover
// each other; so does the first digest after these have changed.
constexpr std::uint64_t kAddressesInterval = 16;

// Interval at which a leaving process checks whether its requests have ended.
constexpr Duration kLeavingCheck = milliseconds(50);

RelayLimits RelayLimitsOf(const GatewaySettings& settings) {
  RelayLimits limits;
  limits.key_age = settings.MaxKeyAge();
  limits.retry_ratio = settings.retry_ratio;
  limits.retry_slack = settings.retry_slack;
  limits.cold_overage = settings.cold_overage;
  limits.cold_slack = settings.cold_slack;
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
             settings_.instance_id,
             settings_.data_centre,
             interface_.names,
             RelayLimitsOf(settings_),
             log_,
             metrics_),
      digest_timer_(io_),
      leaving_timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      start_id_(UnixMilliseconds()) {}

int Gateway::Run() {
  Listen();
  log_.Write(Decision::kStart, {{"address", settings_.caller_address},
                                {"data_centre", settings_.data_centre},
                                {"seeds", settings_.seeds}});
  for (const std::string& address : settings_.SeedAddresses()) {
    relay_.instances().AddAddress(address);
  }
  SendDigest();
  WaitForSignal();
  io_.run();
  log_.Write(Decision::kStop, {{"exit_code", exit_code_}});
  log_.Flush();
  return exit_code_;
}

void Gateway::Listen() {
  using Caller = std::shared_ptr<CallerConnection>;
  caller_listener_ = std::make_unique<HttpListener>(
      io_, settings_.caller_address, [this](const Caller& caller, CallerRequest request) {
        caller_listener_->SetLimits(relay_.table() ? relay_.table()->config().limits
                                                   : CallerLimits{});
        relay_.Handle(caller, std::move(request));
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
  peers_ = std::make_unique<PeerDatagrams>(
      io_, settings_.peer_address,
      [this](const InstanceDigest& digest, const std::string& from) { OnDigest(digest, from); });
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
  const auto addresses =
      ChooseAddresses(relay_.instances().CallerEntries(OwnDigest(false), BootTimeNow()), query);
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

void Gateway::OnDigest(const InstanceDigest& digest, const std::string& from) {
  if (digest.instance == settings_.instance_id) {
    return;
  }
  const TimePoint now = BootTimeNow();
  const std::size_t known = relay_.instances().addresses().size();
  if (relay_.instances().OnDigest(digest, from, now)) {
    for (const CachedSegment& segment : digest.cached_segments) {
      relay_.cache_holders().OnPeerRecord(segment, now);
    }
  }
  relay_.UpdatePeerLoads(now);
  if (relay_.instances().addresses().size() > known && !leaving_) {
    // A new instance receives the known addresses immediately.
    ++sequence_;
    peers_->Send(OwnDigest(true), {from});
  }
}

InstanceDigest Gateway::OwnDigest(bool with_addresses) {
  InstanceDigest digest;
  digest.instance = settings_.instance_id;
  digest.start_id = start_id_;
  digest.sequence = sequence_;
  digest.caller_address = settings_.caller_address;
  digest.capacity = settings_.MirrorCapacity();
  digest.data_centre = settings_.data_centre;
  digest.accepting = ready_ && relay_.Accepting(BootTimeNow());
  digest.leaving = leaving_;
  digest.store_reachable = store_check_ && store_check_();
  digest.loads = relay_.OwnLoads();
  if (with_addresses) {
    const auto& addresses = relay_.instances().addresses();
    digest.instances.assign(addresses.begin(), addresses.end());
  }
  return digest;
}

void Gateway::SendDigest() {
  const TimePoint now = BootTimeNow();
  relay_.Expire(now);
  const std::size_t known = relay_.instances().addresses().size();
  const bool with_addresses = sequence_++ % kAddressesInterval == 0 || known != sent_address_count_;
  sent_address_count_ = known;
  InstanceDigest digest = OwnDigest(with_addresses);
  digest.cached_segments = relay_.cache_holders().TakeUpdates();
  peers_->Send(digest, relay_.instances().addresses());
  ScheduleDigest();
}

Duration Gateway::DigestPeriod() const {
  const auto& addresses = relay_.instances().addresses();
  const Duration spread = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(addresses.size()) / kDigestsPerSecond));
  return std::max(settings_.digest_period, spread);
}

void Gateway::ScheduleDigest() {
  digest_timer_.expires_after(DigestPeriod());
  digest_timer_.async_wait([this](const auto& cancelled) {
    if (!cancelled) {
      SendDigest();
    }
  });
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
      relay_.instances().AddAddress(address);
    }
    relay_.SetLimits(RelayLimitsOf(settings));
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
  digest_timer_.cancel();
  SendDigest();
  if (on_leaving_) {
    on_leaving_();
  }
  CheckLeaving();
}

void Gateway::CheckLeaving() {
  const Duration passed = BootTimeNow() - leaving_since_;
  const bool accepting = passed < settings_.drain_accept;
  if (!accepting) {
    caller_listener_->Close();
    if (caller_listener_->busy() == 0 || passed >= settings_.DrainDeadline()) {
      log_.Write(Decision::kStop,
                 {{"outcome", "left"}, {"cut_requests", caller_listener_->busy()}});
      io_.stop();
      return;
    }
  }
  leaving_timer_.expires_after(kLeavingCheck);
  leaving_timer_.async_wait([this](const auto& cancelled) {
    if (!cancelled) {
      CheckLeaving();
    }
  });
}

}  // namespace chiverail
