#ifndef CHIVERAIL_LOG_H_
#define CHIVERAIL_LOG_H_

#include <memory>
#include <string>

#include <spdlog/logger.h>

namespace chiverail {

// Returns the logger of one component of the program. Its lines start with the time, the level and
// the component's name in brackets. All loggers share one sink on standard error; repeated calls
// for one component return the same logger.
std::shared_ptr<spdlog::logger> ComponentLogger(const std::string& component);

// Sets the level of all loggers. Throws std::invalid_argument for an unknown level name.
void SetLogLevel(const std::string& level);

}  // namespace chiverail

#endif  // CHIVERAIL_LOG_H_
