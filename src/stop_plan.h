#ifndef CHIVERAIL_STOP_PLAN_H_
#define CHIVERAIL_STOP_PLAN_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "types.h"

namespace chiverail {

// Decides which requests a stopping instance still passes on. It has to end at a deadline, and what
// an upstream is working on then is cut, so a request is passed on only if it will have ended by
// that time: because its own deadline is earlier, or, for a short time after the stop has begun,
// because the answers of its route have been short enough. All others are refused at once; they
// have not run, and other instances take them. Does no I/O.
class StopPlan {
 public:
  // Records how long a request of a route took, from its arrival to the end of its answer.
  void OnAnswered(const std::string& route, Duration took, TimePoint now);

  // Begins the stop. Until `accept_until`, when all callers have heard of it, repeatable requests
  // are taken by the times of their routes.
  void Begin(TimePoint accept_until, TimePoint deadline);

  bool stopping() const { return deadline_ != TimePoint{}; }

  // Time at which all requests must have ended; zero if the instance is not stopping.
  TimePoint deadline() const { return deadline_; }

  // Returns whether a request may be passed on to an upstream now. `request_deadline` is the time
  // at which it ends at the latest; `repeatable` tells that it may be cut and sent again.
  bool MayPassOn(const std::string& route,
                 bool repeatable,
                 TimePoint request_deadline,
                 TimePoint now) const;

  // Returns whether a response that its caller has received in part may go on at another upstream.
  // It is lost otherwise, so it may at any time of the stop if the answers of its route are short
  // enough.
  bool MayGoOn(const std::string& route, TimePoint request_deadline, TimePoint now) const;

  // Longest answer of a route within the last kMemory to 2 x kMemory; nothing if there was none.
  std::optional<Duration> Longest(const std::string& route) const;

  static constexpr Duration kMemory = seconds(60);

 private:
  using Longests = std::unordered_map<std::string, Duration>;

  // Returns whether a request that is sent now will have ended by the deadline, by the longest
  // answer of its route.
  bool EndsInTime(const std::string& route, TimePoint now) const;

  // Factor for answers that take longer than any before.
  static constexpr double kMargin = 1.25;

  // Operators have added 120 routes in a day.
  static constexpr std::size_t kMaxRoutes = 1024;

  TimePoint accept_until_{};
  TimePoint deadline_{};
  Longests longest_;  // since `since_`
  Longests before_;   // in the period before that
  TimePoint since_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_STOP_PLAN_H_
