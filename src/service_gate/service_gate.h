#ifndef CHIVERAIL_SERVICE_GATE_SERVICE_GATE_H_
#define CHIVERAIL_SERVICE_GATE_SERVICE_GATE_H_

#include <cstddef>

#include "types.h"

namespace chiverail {

// Returns whether a plain service has too few slots for its instances to divide them: each instance
// then has less than one, and the loads that it hears of are older than a call lasts. Choices by
// such loads make all instances send to the same upstream, or nothing at all, at the same time.
bool HasSharedSlots(std::size_t slots, std::size_t instances);

// Decides which share of the requests for such a service an instance passes on. All instances hear
// the same loads, and change their shares alike. As long as the upstreams have room, all requests
// pass, and the upstreams' queues order them; the share falls while more requests wait there than
// run, because these would be answered late, and the upstreams would decline others.
class ServiceGate {
 public:
  // Takes up the requests in progress at all upstreams of the service for each of their slots.
  void Update(double load_per_slot, TimePoint now);

  // Returns whether a request passes; `draw` is uniformly distributed from 0 to 1.
  bool Admits(double draw) const { return draw < share_; }

  double share() const { return share_; }

 private:
  double share_ = 1;
  double load_ = 0;  // moving average
  TimePoint updated_at_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_SERVICE_GATE_SERVICE_GATE_H_
