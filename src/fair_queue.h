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

// A request that waits for a slot.
struct QueuedAsk {
  SlotKey key;
  InstanceId holder;
  WorkspaceId workspace;
  RequestClass request_class = RequestClass::kInteractive;
  TimePoint deadline{};      // latest time at which a slot is of use
  TimePoint queued{};        // since when it waits
  bool last_resort = false;  // has nowhere else to go
};

// Queue of one engine. Classes are served in the order interactive, report, tagging, except that a
// lower class gets every 5th (report) or 17th (tagging) slot while it waits. Within a class, slots
// are shared between workspaces in proportion to their shares by start-time fair queueing, which
// gives the shares of deficit round robin at O(log n) for any ratio of shares.
class FairQueue {
 public:
  // Adds a request of a workspace with this share. Returns false, and adds nothing, when at the
  // recent rate of slots its turn would come after its deadline.
  bool Push(QueuedAsk ask, double share, TimePoint now);

  // Removes and returns the request whose turn it is. Call TakeExpired first.
  std::optional<QueuedAsk> Pop(TimePoint now);

  // Removes a request; returns it, or nothing when it does not wait here.
  std::optional<QueuedAsk> Remove(const SlotKey& key);

  // Removes the requests of a holder. Takes time in proportion to the queue.
  void RemoveHolder(const InstanceId& holder);

  // Removes and returns the requests whose deadline has passed.
  std::vector<QueuedAsk> TakeExpired(TimePoint now);

  // Removes and returns all requests.
  std::vector<QueuedAsk> TakeAll();

  bool Contains(const SlotKey& key) const { return index_.count(key) > 0; }
  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

  // Since when the oldest request waits that has nowhere else to go; nothing when there is none.
  std::optional<TimePoint> OldestLastResort() const {
    return last_resorts_.empty() ? std::nullopt : std::make_optional(last_resorts_.begin()->first);
  }

  // Average time between two slots while requests waited; zero when it isn't known.
  Duration SlotInterval() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slot_interval_s_));
  }

  // Earliest deadline, or TimePoint::max() when empty.
  TimePoint NextDeadline() const;

 private:
  struct Item {
    QueuedAsk ask;
    double share = 1.0;
  };
  // Requests of one workspace in one class.
  struct Flow {
    double finish = 0;                 // virtual time at which the first request is due
    std::size_t size = 0;              // without removed requests
    std::deque<std::uint64_t> orders;  // keys of items_; removed ones are skipped
  };
  struct ClassQueue {
    std::map<WorkspaceId, Flow> flows;
    std::set<std::pair<double, WorkspaceId>> due;
    double virtual_time = 0;
    std::size_t size = 0;
    int passed_over = 0;  // slots given to other classes while this one waited
  };

  QueuedAsk Take(std::uint64_t order);
  std::size_t PickClass() const;
  std::size_t Ahead(const QueuedAsk& ask) const;
  void DropRemoved(Flow& flow) const;

  std::array<ClassQueue, 3> classes_;
  std::unordered_map<std::uint64_t, Item> items_;
  std::unordered_map<SlotKey, std::uint64_t, SlotKeyHash> index_;
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
  std::uint64_t next_order_ = 1;
  std::set<std::pair<TimePoint, std::uint64_t>> last_resorts_;
  TimePoint last_pop_{};
  double slot_interval_s_ = 0;  // moving average of the time between two slots; 0 when unknown
};

}  // namespace chiverail

#endif  // CHIVERAIL_FAIR_QUEUE_H_
