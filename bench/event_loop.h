#ifndef CHIVERAIL_BENCH_EVENT_LOOP_H_
#define CHIVERAIL_BENCH_EVENT_LOOP_H_

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "types.h"

namespace chiverail::bench {

// Event loop in virtual time. Runs scheduled functions in order of time, and functions scheduled
// for the same time in the order in which they were scheduled.
class EventLoop {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint time, std::function<void()> run) {
    heap_.push_back({std::max(time, now_), next_++, std::move(run)});
    std::push_heap(heap_.begin(), heap_.end(), Later);
  }

  void After(Duration delay, std::function<void()> run) { At(now_ + delay, std::move(run)); }

  // Runs all events with a time up to and including `end`.
  void RunUntil(TimePoint end) {
    while (!heap_.empty() && heap_.front().time <= end) {
      std::pop_heap(heap_.begin(), heap_.end(), Later);
      Event event = std::move(heap_.back());
      heap_.pop_back();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> run;
  };

  static bool Later(const Event& a, const Event& b) {
    return a.time != b.time ? a.time > b.time : a.order > b.order;
  }

  std::vector<Event> heap_;
  TimePoint now_;
  std::uint64_t next_ = 0;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_EVENT_LOOP_H_
