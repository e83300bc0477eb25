#ifndef CHIVERAIL_PUBLISHED_STATE_H_
#define CHIVERAIL_PUBLISHED_STATE_H_

#include <memory>
#include <mutex>
#include <string>

#include "config_follower.h"
#include "fleet_view.h"

namespace chiverail {

// Whether this instance accepts new work; read by the HTTP front for each request.
struct ServingState {
  IsolationState isolation = IsolationState::kStarting;
  TimePoint accepting_until{};  // new work is accepted before this time
  bool leaving = false;
  bool member = false;  // listed in the members row
};

// State that the actors publish to the HTTP threads: the current view and the serving state.
// Thread-safe.
class PublishedState {
 public:
  std::shared_ptr<const FleetView> view() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return view_;
  }
  void SetView(std::shared_ptr<const FleetView> view) {
    const std::lock_guard<std::mutex> lock(mutex_);
    view_ = std::move(view);
  }
  ServingState serving() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return serving_;
  }
  void SetServing(const ServingState& serving) {
    const std::lock_guard<std::mutex> lock(mutex_);
    serving_ = serving;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const FleetView> view_ = std::make_shared<FleetView>(FleetState{});
  ServingState serving_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PUBLISHED_STATE_H_
