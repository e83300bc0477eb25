#include "service_gate/service_gate.h"

#include <algorithm>
#include <cmath>

namespace chiverail {
namespace {

// Requests for each slot up to which all pass: three wait while two run, so that a request waits
// for one and a half times the time of a call. Objectives are three to five times that time.
constexpr double kTargetLoad = 2.5;

// Time over which loads are averaged: a snapshot varies by half at one request a slot.
constexpr double kAveragingSeconds = 0.3;

// Change of the share in a second, at twice the target load and without load. The share falls by
// the excess and rises slowly, since the loads are up to a second old.
constexpr double kFallPerSecond = 0.25;
constexpr double kRisePerSecond = 0.08;

// Some requests always pass, because their loads are the only sign that the upstreams have room.
constexpr double kMinShare = 0.1;

}  // namespace

bool HasSharedSlots(std::size_t slots, std::size_t instances) {
  return slots > 0 && slots < instances;
}

void ServiceGate::Update(double load_per_slot, TimePoint now) {
  if (updated_at_ == TimePoint{}) {
    updated_at_ = now;
    load_ = load_per_slot;
    return;
  }
  const double passed = std::chrono::duration<double>(now - updated_at_).count();
  updated_at_ = now;
  load_ += (1 - std::exp(-passed / kAveragingSeconds)) * (load_per_slot - load_);
  const double excess = load_ / kTargetLoad - 1;
  const double rate = excess > 0 ? -kFallPerSecond * excess : -kRisePerSecond * excess;
  share_ = std::clamp(share_ * (1 + rate * std::min(passed, 1.0)), kMinShare, 1.0);
}

}  // namespace chiverail
