#include "log.h"

#include <stdexcept>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace chiverail {

std::shared_ptr<spdlog::logger> ComponentLogger(const std::string& component) {
  static const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  if (auto existing = spdlog::get(component)) {
    return existing;
  }
  auto logger = std::make_shared<spdlog::logger>(component, sink);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L [%n] %v");
  spdlog::initialize_logger(logger);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L [%n] %v");
  return logger;
}

void SetLogLevel(const std::string& level) {
  const auto parsed = spdlog::level::from_str(level);
  if (parsed == spdlog::level::off && level != "off") {
    throw std::invalid_argument("unknown log level: " + level);
  }
  spdlog::set_level(parsed);
}

}  // namespace chiverail
