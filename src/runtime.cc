#include "runtime.h"

#include <random>

namespace chiverail {
namespace {

HttpTimeouts PlatformTimeouts(const Settings& settings) {
  HttpTimeouts timeouts;
  timeouts.connect = settings.connect_timeout;
  timeouts.first_byte = settings.platform_timeout;
  timeouts.gap = settings.platform_timeout;
  timeouts.max_pooled_age = settings.pooled_connection_max_age;
  return timeouts;
}

HttpTimeouts UpstreamTimeouts(const Settings& settings) {
  HttpTimeouts timeouts;
  timeouts.connect = settings.connect_timeout;
  timeouts.first_byte = settings.first_byte_timeout;
  timeouts.gap = settings.token_gap_timeout;
  timeouts.max_pooled_age = settings.pooled_connection_max_age;
  return timeouts;
}

constexpr Duration kSchedulingMargin = seconds(1);

}  // namespace

Duration TableOperationTimeout(const Settings& settings) {
  return LongestExchange(PlatformTimeouts(settings)) + kSchedulingMargin;
}

Runtime::Runtime(Settings daemon_settings, caf::actor_system& actor_system)
    : settings(std::move(daemon_settings)),
      system(actor_system),
      io(1),
      platform_http(io, PlatformTimeouts(settings)),
      upstream_http(io, UpstreamTimeouts(settings)),
      platform(platform_http, settings.platform_address) {
  std::random_device device;
  generation = (static_cast<std::uint64_t>(device()) << 32) | device();
}

void Runtime::CountTableResult(TableStatus status) {
  if (status != TableStatus::kOk) {
    metrics.Add(Counter::kTableFailures, 1, std::string(NameOf(kTableStatusNames, status)));
  }
}

}  // namespace chiverail
