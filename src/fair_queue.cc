#include "fair_queue.h"

#include <algorithm>

namespace chiverail {
namespace {

// A class with queued requests is served after this many slots have gone to other classes. Not used
// for the interactive class, which always comes first.
constexpr std::array<int, 3> kMaxPassedOver{0, 4, 16};

// Weight of the latest interval between slots in the moving average.
constexpr double kIntervalWeight = 0.2;

// Minimum share of a workspace; smaller shares would delay its requests without bound.
constexpr double kMinShare = 0.01;

}  // namespace

// Estimates the number of requests served before a new one: all in higher classes, plus those in
// its own class, but at most as many as are served before its workspace has had a slot for each of
// its queued requests and the new one. Assumes equal shares of the workspaces.
std::size_t FairQueue::CountAhead(const QueuedRequest& request) const {
  const auto class_index = static_cast<std::size_t>(request.request_class);
  std::size_t above = 0;
  for (std::size_t i = 0; i < class_index; ++i) {
    above += classes_[i].size;
  }
  const ClassQueue& queue = classes_[class_index];
  const auto flow = queue.flows.find(request.workspace);
  const std::size_t own = flow == queue.flows.end() ? 0 : flow->second.size;
  const std::size_t competing = queue.flows.size() + (flow == queue.flows.end() ? 1 : 0);
  return above + std::min(queue.size, (own + 1) * competing - 1);
}

bool FairQueue::Push(QueuedRequest request, double share, TimePoint now) {
  const double wait_s = slot_interval_s_ * static_cast<double>(CountAhead(request) + 1);
  if (request.deadline <= now ||
      (!empty() && wait_s > std::chrono::duration<double>(request.deadline - now).count())) {
    return false;
  }
  share = std::max(share, kMinShare);
  const std::uint64_t sequence = next_sequence_++;
  ClassQueue& queue = classes_[static_cast<std::size_t>(request.request_class)];
  Flow& flow = queue.flows[request.workspace];
  if (flow.size == 0) {
    flow.finish = queue.virtual_time + 1.0 / share;
    queue.due.insert({flow.finish, request.workspace});
  }
  if (empty()) {
    last_pop_ = now;  // idle time does not count towards the interval between slots
  }
  flow.sequences.push_back(sequence);
  ++flow.size;
  ++queue.size;
  deadlines_.insert({request.deadline, sequence});
  if (request.last_resort) {
    last_resorts_.insert({request.queued_at, sequence});
  }
  index_[request.key] = sequence;
  items_[sequence] = {std::move(request), share};
  return true;
}

std::size_t FairQueue::PickClass() const {
  for (std::size_t i = classes_.size() - 1; i > 0; --i) {
    if (classes_[i].size > 0 && classes_[i].passed_over >= kMaxPassedOver[i]) {
      return i;
    }
  }
  std::size_t first = 0;
  while (classes_[first].size == 0) {
    ++first;
  }
  return first;
}

void FairQueue::DropRemoved(Flow& flow) const {
  while (!flow.sequences.empty() && items_.count(flow.sequences.front()) == 0) {
    flow.sequences.pop_front();
  }
}

std::optional<QueuedRequest> FairQueue::Pop(TimePoint now) {
  if (empty()) {
    return std::nullopt;
  }
  const std::size_t picked = PickClass();
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    ClassQueue& queue = classes_[i];
    queue.passed_over = i == picked || queue.size == 0 ? 0 : queue.passed_over + 1;
  }
  ClassQueue& queue = classes_[picked];
  Flow& flow = queue.flows[queue.due.begin()->second];
  DropRemoved(flow);
  const double interval = std::chrono::duration<double>(now - last_pop_).count();
  slot_interval_s_ = slot_interval_s_ == 0
                         ? interval
                         : slot_interval_s_ + kIntervalWeight * (interval - slot_interval_s_);
  last_pop_ = now;
  queue.virtual_time = flow.finish;
  const std::uint64_t sequence = flow.sequences.front();
  const double share = items_[sequence].share;
  // A flow with further requests is due again after 1/share of virtual time.
  if (flow.size > 1) {
    const WorkspaceId workspace = queue.due.begin()->second;
    queue.due.erase(queue.due.begin());
    flow.finish += 1.0 / share;
    queue.due.insert({flow.finish, workspace});
  }
  return Take(sequence);
}

// Removes an item from all indexes. Its sequence number in the flow is dropped when it reaches the
// front.
QueuedRequest FairQueue::Take(std::uint64_t sequence) {
  QueuedRequest request = std::move(items_[sequence].request);
  items_.erase(sequence);
  index_.erase(request.key);
  deadlines_.erase({request.deadline, sequence});
  last_resorts_.erase({request.queued_at, sequence});
  ClassQueue& queue = classes_[static_cast<std::size_t>(request.request_class)];
  --queue.size;
  const auto flow = queue.flows.find(request.workspace);
  if (--flow->second.size == 0) {
    queue.due.erase({flow->second.finish, request.workspace});
    queue.flows.erase(flow);
  } else {
    DropRemoved(flow->second);
  }
  return request;
}

std::optional<QueuedRequest> FairQueue::Remove(const SlotKey& key) {
  const auto found = index_.find(key);
  if (found == index_.end()) {
    return std::nullopt;
  }
  return Take(found->second);
}

void FairQueue::RemoveHolder(const InstanceId& holder) {
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, item] : items_) {
    if (item.request.holder == holder) {
      sequences.push_back(sequence);
    }
  }
  for (std::uint64_t sequence : sequences) {
    Take(sequence);
  }
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(Take(deadlines_.begin()->second));
  }
  return expired;
}

std::vector<QueuedRequest> FairQueue::TakeAll() {
  return TakeExpired(TimePoint::max());
}

TimePoint FairQueue::NextDeadline() const {
  return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
}

}  // namespace chiverail
