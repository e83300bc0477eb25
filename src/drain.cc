#include "drain.h"

#include <algorithm>

namespace chiverail {

DrainActions Drain::OnSignal(TimePoint now) {
  DrainActions out;
  if (step_ == DrainStep::kServing) {
    signalled_ = now;
    Enter(DrainStep::kMarking, now);
    out.push_back(MarkLeaving{});
  } else if (step_ != DrainStep::kExited) {
    CutOpenStreams(now, out);
  }
  return out;
}

// The accept time starts when the mark is written: until then `locate` at other instances still
// names this one.
DrainActions Drain::OnMarkedLeaving(TimePoint now) {
  DrainActions out;
  if (step_ == DrainStep::kMarking) {
    Enter(DrainStep::kAccepting, now);
    Advance(now, out);
  }
  return out;
}

DrainActions Drain::OnOpenStreams(std::uint32_t open, TimePoint now) {
  DrainActions out;
  open_ = open;
  Advance(now, out);
  return out;
}

DrainActions Drain::OnHandedOver(TimePoint now) {
  DrainActions out;
  handed_over_ = true;
  Advance(now, out);
  return out;
}

DrainActions Drain::OnReleased(TimePoint now) {
  DrainActions out;
  released_ = true;
  Advance(now, out);
  return out;
}

DrainActions Drain::Tick(TimePoint now) {
  DrainActions out;
  const bool late = settings_.deadline > Duration(0) && step_ != DrainStep::kServing &&
                    now >= signalled_ + settings_.deadline;
  if (late && step_ < DrainStep::kHandingOver) {
    CutOpenStreams(now, out);
  }
  Advance(now, out);
  return out;
}

// Enters each step whose predecessor is complete.
void Drain::Advance(TimePoint now, DrainActions& out) {
  if (step_ == DrainStep::kAccepting && now >= entered_ + settings_.accept_time) {
    Enter(DrainStep::kFinishing, now);
    out.push_back(StopAccepting{});
  }
  if (step_ == DrainStep::kFinishing && open_ == 0) {
    Enter(DrainStep::kHandingOver, now);
    out.push_back(HandOverAll{});
  }
  if (step_ == DrainStep::kHandingOver && (handed_over_ || now >= entered_ + kHandoverTimeout)) {
    Enter(DrainStep::kReleasing, now);
    out.push_back(ReleaseLease{});
  }
  if (step_ == DrainStep::kReleasing && (released_ || now >= entered_ + kReleaseTimeout)) {
    Enter(DrainStep::kExited, now);
    out.push_back(ExitProcess{0});
  }
}

// Stops accepting and cuts the open streams. The lease is still released, so that other instances
// take over at once.
void Drain::CutOpenStreams(TimePoint now, DrainActions& out) {
  if (step_ < DrainStep::kFinishing) {
    out.push_back(StopAccepting{});
  }
  if (step_ < DrainStep::kHandingOver) {
    if (open_ > 0) {
      out.push_back(CutStreams{open_});
    }
    cut_streams_ += open_;
    open_ = 0;
    Enter(DrainStep::kFinishing, now);
    Advance(now, out);
  }
}

TimePoint Drain::NextWake() const {
  TimePoint wake = TimePoint::max();
  switch (step_) {
    case DrainStep::kAccepting:
      wake = entered_ + settings_.accept_time;
      break;
    case DrainStep::kHandingOver:
      wake = entered_ + kHandoverTimeout;
      break;
    case DrainStep::kReleasing:
      wake = entered_ + kReleaseTimeout;
      break;
    default:
      break;
  }
  if (settings_.deadline > Duration(0) && step_ != DrainStep::kServing &&
      step_ < DrainStep::kHandingOver) {
    wake = std::min(wake, signalled_ + settings_.deadline);
  }
  return wake;
}

}  // namespace chiverail
