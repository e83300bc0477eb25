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

// What a line of the decision log is about.
enum class Decision : std::uint8_t {
  kStart,
  kStop,
  kReload,
  kRequest,     // the end of a request, with what decided it
  kSendAgain,   // a request goes to a further upstream
  kUpstream,    // an upstream was added, drains, is gone, or was avoided
  kConfig,      // a configuration came into force
  kDependency,  // the platform or another instance was lost or is back
  kOmitted,     // lines that were left out
};
inline constexpr std::array<EnumName<Decision>, 9> kDecisionNames{{
    {Decision::kStart, "start"},
    {Decision::kStop, "stop"},
    {Decision::kReload, "reload"},
    {Decision::kRequest, "request"},
    {Decision::kSendAgain, "send_again"},
    {Decision::kUpstream, "upstream"},
    {Decision::kConfig, "config"},
    {Decision::kDependency, "dependency"},
    {Decision::kOmitted, "omitted"},
}};

// One JSON line on standard output for each decision. Lines are collected and written together a
// few times a second, without ever waiting for the reader: what doesn't fit is left out, counted
// by kind, and the count is written when there is room again.
class DecisionLog {
 public:
  // Lines a second of each kind, and bytes that wait to be written, before lines are left out.
  struct Limits {
    double lines_per_second = 200;
    std::size_t max_pending_bytes = 128 * 1024;
  };

  DecisionLog(boost::asio::io_context& io,
              std::string instance,
              int file_descriptor,
              Limits limits);
  ~DecisionLog();

  // Writes a line with the kind, the time, this instance and `fields`.
  void Write(Decision decision, const nlohmann::json& fields);

  // Hands what is pending to the reader, as far as it takes it at once.
  void Flush();

  // Lines left out so far.
  std::uint64_t omitted() const { return omitted_total_; }

 private:
  // Tokens of one kind of line.
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
