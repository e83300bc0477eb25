#ifndef CHIVERAIL_GATEWAY_H_
#define CHIVERAIL_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "decision_log.h"
#include "gateway_settings.h"
#include "header_names.h"
#include "http_listener.h"
#include "metrics.h"
#include "peer_datagrams.h"
#include "relay.h"

namespace chiverail {

// Platform-specific header names, paths and encodings, supplied by an adapter.
struct GatewayInterface {
  HeaderNames names;
  std::string ready_path = "/readyz";
  std::string directory_path = "/v1/instances";
  // Query parameter of the directory with the caller's data centre.
  std::string directory_data_centre = "data_centre";
  // Encodes the body of a directory response: the addresses and the time in seconds for which the
  // client may cache them.
  std::function<std::string(const std::vector<std::string>& addresses, std::int64_t ttl_s)>
      directory_body;
};

// One process of the router fleet in front of plain HTTP services and engines. Owns the listeners,
// exchanges state with the other instances, runs periodic expiry and performs the graceful
// shutdown.
class Gateway {
 public:
  // `reload` reads the settings again and throws if they are invalid.
  Gateway(GatewaySettings settings,
          GatewayInterface interface,
          std::function<GatewaySettings()> reload);

  // Serves until a signal stops the process. Returns the exit code.
  int Run();

  Relay& relay() { return relay_; }
  boost::asio::io_context& io() { return io_; }
  DecisionLog& log() { return log_; }
  Metrics& metrics() { return metrics_; }
  const GatewaySettings& settings() const { return settings_; }
  const std::shared_ptr<CallerAccount>& caller_account() const { return caller_account_; }

  // Called by the adapter when the configuration and the upstreams have been read.
  void SetReady() {
    ready_ = true;
    relay_.OnConfigured();
  }

  // Sets the function that returns whether this instance can read the platform's store.
  void SetStoreCheck(std::function<bool()> store_check) { store_check_ = std::move(store_check); }

  // Called by the adapter when the store refused a call or did not answer: the others are told at
  // once, so that they read from another instance.
  void OnStoreFailed();

  // Tells the others at once of new rows from the platform's store or of new terms of an upstream.
  void AnnounceNews();

  // Sets a callback that is called when instances have come, gone or changed.
  void OnRosterChange(std::function<void()> callback) { on_roster_change_ = std::move(callback); }

  // Sets a callback that is called when the graceful shutdown starts.
  void OnLeaving(std::function<void()> callback) { on_leaving_ = std::move(callback); }

 private:
  void Listen();
  void RespondReady(const std::shared_ptr<CallerConnection>& caller, const CallerRequest& request);
  void RespondDirectory(const std::shared_ptr<CallerConnection>& caller,
                        const CallerRequest& request);
  void RespondMetrics(const std::shared_ptr<CallerConnection>& caller);
  void OnDatagram(std::string_view bytes, const std::string& from);
  void SendToPeers(const std::vector<FleetExchange::Outgoing>& messages);
  InstanceInfo OwnInfo();
  void TickFleet();
  void NoteRosterChange();
  void RunHandlers();
  // Runs a part of the gateway; logs and counts an exception. Returns whether there was none.
  bool Guard(const char* part, const std::function<void()>& body);
  void LogFleetChanges();
  void WaitForSignal();
  void StartLeaving();
  void CheckLeaving();
  void Reload();

  GatewaySettings settings_;
  GatewayInterface interface_;
  std::function<GatewaySettings()> reload_;
  boost::asio::io_context io_;
  Metrics metrics_;
  DecisionLog log_;
  Relay relay_;
  std::shared_ptr<CallerAccount> caller_account_;
  std::unique_ptr<HttpListener> caller_listener_;
  std::unique_ptr<HttpListener> ready_listener_;
  std::unique_ptr<HttpListener> directory_listener_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::unique_ptr<PeerDatagrams> peers_;
  boost::asio::steady_timer fleet_timer_;
  boost::asio::steady_timer leaving_timer_;
  boost::asio::signal_set signals_;
  std::function<void()> on_leaving_;
  std::function<bool()> store_check_;
  std::function<void()> on_roster_change_;
  TimePoint news_announced_at_{};
  std::uint64_t roster_version_ = 0;  // at the last call of on_roster_change_
  TimePoint next_expiry_{};
  TimePoint loads_updated_at_{};
  bool logged_hub_ = false;
  TimePoint leaving_since_{};
  bool ready_ = false;
  bool calls_ended_ = false;  // at the deadline of the stop
  std::size_t cut_requests_ = 0;
  bool leaving_ = false;
  int exit_code_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_GATEWAY_H_
