#ifndef CHIVERAIL_GATEWAY_H_
#define CHIVERAIL_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller_connection.h"
#include "decision_log.h"
#include "gateway_settings.h"
#include "header_names.h"
#include "metrics.h"
#include "peer_datagrams.h"
#include "relay.h"

namespace chiverail {

// What an adapter tells the gateway about the interfaces of its platform.
struct GatewayInterface {
  HeaderNames names;
  std::string ready_path = "/readyz";
  std::string directory_path = "/v1/instances";
  // Body of a directory answer with these addresses, to be kept for `ttl_s` seconds.
  std::function<std::string(const std::vector<std::string>& addresses, std::int64_t ttl_s)>
      directory_body;
};

// One process of the router fleet in front of plain HTTP services and engines: listeners, digests
// to the other instances, upkeep and the graceful shutdown.
class Gateway {
 public:
  // `reload` reads the settings again; it throws when they are invalid.
  Gateway(GatewaySettings settings,
          GatewayInterface interface,
          std::function<GatewaySettings()> reload);

  // Serves until a signal has ended it; returns the exit code.
  int Run();

  Relay& relay() { return relay_; }
  boost::asio::io_context& io() { return io_; }
  DecisionLog& log() { return log_; }
  Metrics& metrics() { return metrics_; }
  const GatewaySettings& settings() const { return settings_; }

  // The adapter has read everything that serving needs.
  void SetReady() { ready_ = true; }

  // Message address of the instance that reads the platform's store for this one; empty for none.
  std::string Reader() { return relay_.instances().ReaderFor(OwnDigest(false), BootTimeNow()); }

  // Tells whether this instance's way to the platform's store is sound.
  void SetReadsStore(std::function<bool()> reads_store) { reads_store_ = std::move(reads_store); }

  // Called when the process starts to leave.
  void OnLeaving(std::function<void()> callback) { on_leaving_ = std::move(callback); }

 private:
  void Listen();
  void AnswerReady(const std::shared_ptr<CallerConnection>& caller, const CallerRequest& request);
  void AnswerDirectory(const std::shared_ptr<CallerConnection>& caller,
                       const CallerRequest& request);
  void AnswerMetrics(const std::shared_ptr<CallerConnection>& caller);
  void OnDigest(const InstanceDigest& digest, const std::string& from);
  InstanceDigest OwnDigest(bool with_addresses);
  void SendDigest();
  void ScheduleDigest();
  void WaitForSignal();
  void StartLeaving();
  void CheckLeaving();
  void Reload();
  Duration DigestPeriod() const;

  GatewaySettings settings_;
  GatewayInterface interface_;
  std::function<GatewaySettings()> reload_;
  boost::asio::io_context io_;
  Metrics metrics_;
  DecisionLog log_;
  Relay relay_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<HttpListener> ready_listener_;
  std::unique_ptr<HttpListener> directory_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::unique_ptr<PeerDatagrams> peers_;
  boost::asio::steady_timer digest_timer_;
  boost::asio::steady_timer leaving_timer_;
  boost::asio::signal_set signals_;
  std::function<void()> on_leaving_;
  std::function<bool()> reads_store_;
  std::uint64_t start_id_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t addresses_told_ = 0;  // number of addresses in the last digest that had them
  TimePoint leaving_since_{};
  bool ready_ = false;
  bool leaving_ = false;
  int exit_code_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_GATEWAY_H_
