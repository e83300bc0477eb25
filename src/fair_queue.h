#ifndef CHIVERAIL_FAIR_QUEUE_H_
#define CHIVERAIL_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "slot_key.h"
#include "types.h"

namespace chiverail {

// A request queued for a slot.
struct QueuedRequest {
  SlotKey key;
  InstanceId holder;
  WorkspaceId workspace;
  RequestClass request_class = RequestClass::kInteractive;
  TimePoint deadline{};      // a slot granted later is of no use
  TimePoint queued_at{};     // when the request was queued
  bool last_resort = false;  // no other engine can take the request
};

// Queue of requests for slots, by class and workspace. Classes are served in the order interactive,
// report, tagging, except that a lower class gets every 5th (report) or 17th (tagging) slot while
// it has queued requests. Within a class, slots are divided between workspaces in proportion to
// their shares by start-time fair queueing, which gives the same shares as deficit round robin in
// O(log n) time for any ratio of shares.
class FairQueue {
 public:
  // Adds a request of a workspace with the given share. Returns false, and adds nothing, if at the
  // recent rate of slots it would be served after its deadline.
  bool Push(QueuedRequest request, double share, TimePoint now);

  // Removes and returns the next request to serve. Call TakeExpired first.
  std::optional<QueuedRequest> Pop(TimePoint now);

  // Removes and returns a request, or returns nothing if it is not queued.
  std::optional<QueuedRequest> Remove(const SlotKey& key);

  // Removes all requests of a holder in time linear in the length of the queue.
  void RemoveHolder(const InstanceId& holder);

  // Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);

  // Removes and returns all requests.
  std::vector<QueuedRequest> TakeAll();

  bool Contains(const SlotKey& key) const { return index_.count(key) > 0; }
  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

  // When the oldest last-resort request was queued; nothing if there is none.
  std::optional<TimePoint> OldestLastResort() const {
    return last_resorts_.empty() ? std::nullopt : std::make_optional(last_resorts_.begin()->first);
  }

  // Average interval between slots while requests were queued; zero if unknown.
  Duration SlotInterval() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slot_interval_s_));
  }

  // Earliest deadline, or TimePoint::max() when empty.
  TimePoint NextDeadline() const;

 private:
  struct Item {
    QueuedRequest request;
    double share = 1.0;
  };
  // Requests of one workspace in one class.
  struct Flow {
    double finish = 0;                    // virtual time at which the first request is due
    std::size_t size = 0;                 // number of requests, excluding removed ones
    std::deque<std::uint64_t> sequences;  // keys of items_; removed ones are skipped
  };
  struct ClassQueue {
    std::map<WorkspaceId, Flow> flows;
    std::set<std::pair<double, WorkspaceId>> due;
    double virtual_time = 0;
    std::size_t size = 0;
    int passed_over = 0;  // slots in a row given to other classes while this one had requests
  };

  QueuedRequest Take(std::uint64_t sequence);
  std::size_t PickClass() const;
  std::size_t CountAhead(const QueuedRequest& request) const;
  void DropRemoved(Flow& flow) const;

  std::array<ClassQueue, 3> classes_;
  std::unordered_map<std::uint64_t, Item> items_;
  std::unordered_map<SlotKey, std::uint64_t, SlotKeyHash> index_;
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
  std::uint64_t next_sequence_ = 1;
  std::set<std::pair<TimePoint, std::uint64_t>> last_resorts_;
  TimePoint last_pop_{};
  double slot_interval_s_ = 0;  // moving average of the interval between slots; 0 if unknown
};

}  // namespace chiverail

#endif  // CHIVERAIL_FAIR_QUEUE_H_
