#include "graceful_shutdown.h"

#include <algorithm>

namespace chiverail {

ShutdownActions GracefulShutdown::OnSignal(TimePoint now) {
  ShutdownActions out;
  if (step_ == ShutdownStep::kServing) {
    signalled_ = now;
    Enter(ShutdownStep::kMarking, now);
    out.push_back(MarkLeaving{});
  } else if (step_ != ShutdownStep::kExited) {
    CutOpenStreams(now, out);
  }
  return out;
}

// The accept time starts when the mark is written: until then `locate` at other instances still
// names this one.
ShutdownActions GracefulShutdown::OnMarkedLeaving(TimePoint now) {
  ShutdownActions out;
  if (step_ == ShutdownStep::kMarking) {
    Enter(ShutdownStep::kAccepting, now);
    Advance(now, out);
  }
  return out;
}

ShutdownActions GracefulShutdown::OnOpenStreams(std::uint32_t open, TimePoint now) {
  ShutdownActions out;
  open_ = open;
  Advance(now, out);
  return out;
}

ShutdownActions GracefulShutdown::OnHandedOver(TimePoint now) {
  ShutdownActions out;
  handed_over_ = true;
  Advance(now, out);
  return out;
}

ShutdownActions GracefulShutdown::OnReleased(TimePoint now) {
  ShutdownActions out;
  released_ = true;
  Advance(now, out);
  return out;
}

ShutdownActions GracefulShutdown::Tick(TimePoint now) {
  ShutdownActions out;
  const bool late = settings_.deadline > Duration(0) && step_ != ShutdownStep::kServing &&
                    now >= signalled_ + settings_.deadline;
  if (late && step_ < ShutdownStep::kHandingOver) {
    CutOpenStreams(now, out);
  }
  Advance(now, out);
  return out;
}

// Enters each step whose predecessor is complete.
void GracefulShutdown::Advance(TimePoint now, ShutdownActions& out) {
  if (step_ == ShutdownStep::kAccepting && now >= entered_ + settings_.accept_time) {
    Enter(ShutdownStep::kFinishing, now);
    out.push_back(StopAccepting{});
  }
  if (step_ == ShutdownStep::kFinishing && open_ == 0) {
    Enter(ShutdownStep::kHandingOver, now);
    out.push_back(HandOverEngines{});
  }
  if (step_ == ShutdownStep::kHandingOver && (handed_over_ || now >= entered_ + kHandoverTimeout)) {
    Enter(ShutdownStep::kReleasing, now);
    out.push_back(ReleaseLease{});
  }
  if (step_ == ShutdownStep::kReleasing && (released_ || now >= entered_ + kReleaseTimeout)) {
    Enter(ShutdownStep::kExited, now);
    out.push_back(ExitProcess{0});
  }
}

// Stops accepting and cuts the open streams. The lease is still released, so that other instances
// take over at once.
void GracefulShutdown::CutOpenStreams(TimePoint now, ShutdownActions& out) {
  if (step_ < ShutdownStep::kFinishing) {
    out.push_back(StopAccepting{});
  }
  if (step_ < ShutdownStep::kHandingOver) {
    if (open_ > 0) {
      out.push_back(CutStreams{open_});
    }
    cut_streams_ += open_;
    open_ = 0;
    Enter(ShutdownStep::kFinishing, now);
    Advance(now, out);
  }
}

TimePoint GracefulShutdown::NextWake() const {
  TimePoint wake = TimePoint::max();
  switch (step_) {
    case ShutdownStep::kAccepting:
      wake = entered_ + settings_.accept_time;
      break;
    case ShutdownStep::kHandingOver:
      wake = entered_ + kHandoverTimeout;
      break;
    case ShutdownStep::kReleasing:
      wake = entered_ + kReleaseTimeout;
      break;
    default:
      break;
  }
  if (settings_.deadline > Duration(0) && step_ != ShutdownStep::kServing &&
      step_ < ShutdownStep::kHandingOver) {
    wake = std::min(wake, signalled_ + settings_.deadline);
  }
  return wake;
}

}  // namespace chiverail
