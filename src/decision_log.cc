#include "decision_log.h"

#include <algorithm>
#include <chrono>

#include <poll.h>
#include <unistd.h>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "socket_io.h"

namespace chiverail {
namespace {

// Lines are buffered for this long, so that several are combined into one write.
constexpr Duration kFlushPeriod = milliseconds(250);

// Maximum size of one write: a pipe that poll reports as writable has room for this much, so that
// the write does not block on a slow reader.
constexpr std::size_t kMaxWriteBytes = 4096;

std::string WallTime() {
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  return fmt::format("{}.{:03}", time.tv_sec, time.tv_nsec / 1'000'000);
}

}  // namespace

DecisionLog::DecisionLog(boost::asio::io_context& io,
                         std::string instance,
                         int file_descriptor,
                         Limits limits)
    : timer_(io),
      instance_(std::move(instance)),
      file_descriptor_(file_descriptor),
      limits_(limits) {
  for (Bucket& bucket : buckets_) {
    bucket.tokens = limits_.lines_per_second;
  }
}

DecisionLog::~DecisionLog() {
  Flush();
}

bool DecisionLog::Admit(Decision decision) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(decision)];
  const TimePoint now = BootTimeNow();
  if (bucket.updated != TimePoint{}) {
    const double elapsed = std::chrono::duration<double>(now - bucket.updated).count();
    bucket.tokens =
        std::min(limits_.lines_per_second, bucket.tokens + elapsed * limits_.lines_per_second);
  }
  bucket.updated = now;
  if (bucket.tokens < 1 || pending_.size() > limits_.max_pending_bytes) {
    ++bucket.omitted;
    ++omitted_total_;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void DecisionLog::Write(Decision decision, const nlohmann::json& fields) {
  if (!Admit(decision)) {
    return;
  }
  Bucket& bucket = buckets_[static_cast<std::size_t>(decision)];
  if (bucket.omitted > 0) {
    Append(Decision::kOmitted,
           {{"of", NameOf(kDecisionNames, decision)}, {"lines", bucket.omitted}});
    bucket.omitted = 0;
  }
  Append(decision, fields);
  ScheduleFlush();
}

void DecisionLog::Append(Decision decision, const nlohmann::json& fields) {
  pending_.append(fmt::format(R"({{"t":{},"instance":"{}","event":"{}",)", WallTime(), instance_,
                              NameOf(kDecisionNames, decision)));
  const std::string text = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  pending_.append(text, 1, std::string::npos);
  pending_.push_back('\n');
}

void DecisionLog::ScheduleFlush() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  timer_.expires_after(kFlushPeriod);
  timer_.async_wait([this](const auto& cancelled) {
    if (cancelled) {
      return;
    }
    flush_scheduled_ = false;
    Flush();
    if (!pending_.empty()) {
      ScheduleFlush();
    }
  });
}

// Standard output may be shared with other programs and therefore stays in blocking mode; poll
// tells whether a small write would block.
void DecisionLog::Flush() {
  std::size_t written = 0;
  while (written < pending_.size()) {
    pollfd ready{file_descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kMaxWriteBytes, pending_.size() - written);
    const ssize_t count = write(file_descriptor_, pending_.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  pending_.erase(0, written);
  if (pending_.empty()) {
    pending_.shrink_to_fit();
  }
}

}  // namespace chiverail
