#include "membership/DrainController.h"

namespace turmericpitch {

std::string_view toString(DrainReason Reason) {
  return Reason == DrainReason::Signal ? "signal" : "marked_leaving";
}

std::string_view toString(DrainStep Step) {
  switch (Step) {
  case DrainStep::Serving:
    return "serving";
  case DrainStep::AwaitingBalancer:
    return "noticing";
  case DrainStep::RejectingNewWork:
    return "refusing";
  case DrainStep::ForcedEnd:
    return "ending";
  case DrainStep::Ended:
    break;
  }
  return "ended";
}

void DrainController::beginDrain(DrainReason NewReason, TimePoint Now) {
  if (this->Step != DrainStep::Serving)
    return;
  this->Reason = NewReason;
  this->DrainStartedAt = Now;
  this->Step = DrainStep::AwaitingBalancer;
}

void DrainController::forceEnd(TimePoint Now) {
  this->beginDrain(DrainReason::Signal, Now);
  if (this->Step < DrainStep::ForcedEnd)
    this->moveTo(DrainStep::ForcedEnd, Now);
}

void DrainController::moveTo(DrainStep Next, TimePoint Now) {
  this->Step = Next;
  if (Next == DrainStep::ForcedEnd)
    this->ForcedEndStartedAt = Now;
}

DrainStep DrainController::update(const DrainWork &Work, TimePoint Now) {
  bool Idle = Work.Requests == 0 && Work.Transactions == 0;
  if (this->Step == DrainStep::AwaitingBalancer &&
      Now >= this->DrainStartedAt + this->Options.BalancerNotice)
    this->moveTo(DrainStep::RejectingNewWork, Now);
  else if (this->Step == DrainStep::RejectingNewWork && Idle)
    this->moveTo(DrainStep::Ended, Now);
  bool Draining = this->Step == DrainStep::AwaitingBalancer ||
                  this->Step == DrainStep::RejectingNewWork;
  if (Draining && Now >= this->DrainStartedAt + this->Options.Timeout)
    this->moveTo(DrainStep::ForcedEnd, Now);
  if (this->Step == DrainStep::ForcedEnd) {
    // Open transactions roll back when their connections close.
    this->Interrupted = this->Interrupted || !Idle;
    bool TimedOut =
        Now >= this->ForcedEndStartedAt + this->Options.ForcedEndTimeout;
    if (Work.Requests == 0 || TimedOut)
      this->moveTo(DrainStep::Ended, Now);
  }
  return this->Step;
}

} // namespace turmericpitch
