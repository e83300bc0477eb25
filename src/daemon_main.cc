// Main program of chiveraild, one instance of the router fleet.
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "engine_poller.h"
#include "http_front.h"
#include "json_fields.h"
#include "log.h"
#include "supervisor.h"

ABSL_FLAG(std::string, settings, "", "path of the settings file (JSON)");
ABSL_FLAG(bool, check, false, "check the settings, print every error and exit");

namespace chiverail {
namespace {

namespace asio = boost::asio;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 3;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

// Runs everything outside the actors: the I/O thread, the HTTP server, signals and the exit code.
class Daemon {
 public:
  Daemon(Settings settings, caf::actor_system& system)
      : runtime_(std::move(settings), system), front_(runtime_) {}

  int Run() {
    Listen();
    ComponentLogger("daemon")->info("Instance {} in {} listens on {}, for peers on {}.",
                                    runtime_.settings.instance_id, runtime_.settings.data_centre,
                                    runtime_.address, runtime_.peer_address);
    std::cout << "listening on " << runtime_.address << std::endl;
    StartActors();
    WaitForSignals();
    std::make_shared<EnginePoller>(runtime_)->Start();
    const auto work = asio::make_work_guard(runtime_.io);
    RunHandlers();
    ComponentLogger("daemon")->info("Stopped with exit code {}.", exit_code_);
    return exit_code_;
  }

 private:
  void Listen() {
    HttpServerLimits limits;
    limits.max_body_bytes = static_cast<std::size_t>(runtime_.settings.max_body_bytes);
    server_ = std::make_unique<HttpServer>(
        runtime_.io, runtime_.settings.listen_address, limits,
        [this](HttpServerExchange& exchange, asio::yield_context yield) {
          front_.Handle(exchange, yield);
        });
    link_ = std::make_unique<PeerLink>(
        runtime_.settings.peer_listen_address, [this](std::string bytes) {
          runtime_.actors.Send(Component::kPeers, PeerBytes{std::move(bytes)});
        });
    const Settings& settings = runtime_.settings;
    runtime_.address =
        settings.advertise_address.empty() ? server_->address() : settings.advertise_address;
    runtime_.peer_address = settings.peer_advertise_address.empty()
                                ? link_->address()
                                : settings.peer_advertise_address;
  }

  // An unexpected exception ends the handler that threw it, not the process.
  void RunHandlers() {
    for (bool stopped = false; !stopped;) {
      try {
        runtime_.io.run();
        stopped = true;
      } catch (const std::exception& error) {
        ComponentLogger("daemon")->error("A handler failed: {}.", error.what());
      }
    }
  }

  void StartActors() {
    SupervisorHooks hooks;
    hooks.stop_accepting = [this] {
      asio::post(runtime_.io, [this] { server_->StopAccepting(); });
    };
    hooks.exit = [this](int code) {
      asio::post(runtime_.io, [this, code] {
        exit_code_ = code;
        runtime_.io.stop();
      });
    };
    runtime_.system.spawn<Supervisor>(std::ref(runtime_), std::ref(*link_), std::move(hooks));
  }

  void WaitForSignals() {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        runtime_.actors.Send(Component::kFleet, ShutdownRequest{});
        WaitForSignals();
      }
    });
  }

  Runtime runtime_;
  HttpFront front_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<PeerLink> link_;
  asio::signal_set signals_{runtime_.io, SIGTERM, SIGINT};
  int exit_code_ = 0;
};

int Main() {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "chiveraild: --settings is required\n";
    return kExitUsage;
  }
  Settings settings;
  try {
    settings = ParseSettings(ParseJsonText(ReadFile(path)));
  } catch (const InvalidDocument& error) {
    std::cerr << path << " is invalid:\n" << error.what() << "\n";
    return kExitInvalidSettings;
  } catch (const std::exception& error) {
    std::cerr << "chiveraild: " << error.what() << "\n";
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << " is valid\n";
    return 0;
  }
  SetLogLevel(settings.log_level);
  caf::actor_system_config config;
  // Two scheduler threads are enough for the few, mostly idle actors, and instances share small
  // machines. The work-stealing policy polls for work and used 4% of a core on an idle instance;
  // with work sharing, idle threads sleep.
  config.set("scheduler.max-threads", std::size_t{2});
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  int code = kExitFailed;
  try {
    code = Daemon(std::move(settings), system).Run();
  } catch (const std::exception& error) {
    ComponentLogger("daemon")->critical("Cannot start: {}.", error.what());
  }
  // Skips destructors: actors and coroutines have ended or hold no state that must survive; all
  // persistent state is stored on the platform.
  std::cout.flush();
  std::_Exit(code);
}

}  // namespace
}  // namespace chiverail

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "One instance of the chiverail router fleet.\n"
      "  chiveraild --settings=FILE          run an instance\n"
      "  chiveraild --settings=FILE --check  check the settings and exit\n"
      "SIGTERM starts a graceful shutdown; a second one aborts the requests that are still open.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  return chiverail::Main();
}
