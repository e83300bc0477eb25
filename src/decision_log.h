#ifndef CHIVERAIL_DECISION_LOG_H_
#define CHIVERAIL_DECISION_LOG_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace chiverail {

// Kinds of lines in the decision log.
enum class Decision : std::uint8_t {
  kStart,
  kStop,
  kReload,
  kRequest,     // a request ended; includes the reasons for its placement and outcome
  kRetry,       // a request is retried at another upstream
  kUpstream,    // an upstream was added, is draining, was removed or is unreachable
  kConfig,      // a configuration took effect
  kDependency,  // the platform or another instance became unreachable or reachable again
  kQuarantine,  // a prompt segment is held, tried or free again
  kRollout,     // a roll-out has changed its phase or its share, or its state was recorded
  kError,       // an unexpected error ended a request or a message
  kOmitted,     // number of lines that were dropped
};
inline constexpr std::array<EnumName<Decision>, 12> kDecisionNames{{
    {Decision::kStart, "start"},
    {Decision::kStop, "stop"},
    {Decision::kReload, "reload"},
    {Decision::kRequest, "request"},
    {Decision::kRetry, "send_again"},
    {Decision::kUpstream, "upstream"},
    {Decision::kConfig, "config"},
    {Decision::kDependency, "dependency"},
    {Decision::kQuarantine, "quarantine"},
    {Decision::kRollout, "rollout"},
    {Decision::kError, "error"},
    {Decision::kOmitted, "omitted"},
}};

// Writes a JSON line to standard output for each decision. Lines are buffered and written in
// batches a few times a second, never blocking on the reader: lines beyond the limits are dropped
// and counted by kind, and the count is written once there is room again.
class DecisionLog {
 public:
  // Lines per second of each kind, and buffered bytes, above which lines are dropped.
  struct Limits {
    double lines_per_second = 200;
    std::size_t max_pending_bytes = 128 * 1024;
  };

  DecisionLog(boost::asio::io_context& io,
              std::string instance,
              int file_descriptor,
              Limits limits);
  ~DecisionLog();

  // Logs a line with the kind, the time, the id of this instance and `fields`.
  void Write(Decision decision, const nlohmann::json& fields);

  // Writes as many of the buffered bytes as possible without blocking.
  void Flush();

  // Number of lines dropped so far.
  std::uint64_t omitted() const { return omitted_total_; }

 private:
  // Token bucket of one kind of line.
  struct Bucket {
    double tokens = 0;
    TimePoint updated{};
    std::uint64_t omitted = 0;
  };

  bool Admit(Decision decision);
  void Append(Decision decision, const nlohmann::json& fields);
  void ScheduleFlush();

  boost::asio::steady_timer timer_;
  std::string instance_;
  int file_descriptor_;
  Limits limits_;
  std::array<Bucket, kDecisionNames.size()> buckets_;
  std::string pending_;
  bool flush_scheduled_ = false;
  std::uint64_t omitted_total_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_DECISION_LOG_H_
