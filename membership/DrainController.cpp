#include "membership/DrainController.h"

namespace turmericpitch {

std::string_view toString(DrainReason Reason) {
  return Reason == DrainReason::Signal ? "signal" : "marked_leaving";
}

std::string_view toString(DrainStep Step) {
  switch (Step) {
  case DrainStep::Serving:
    return "serving";
  case DrainStep::Noticing:
    return "noticing";
  case DrainStep::Refusing:
    return "refusing";
  case DrainStep::Ending:
    return "ending";
  case DrainStep::Ended:
    break;
  }
  return "ended";
}

void DrainController::onLeave(DrainReason Given, TimePoint Now) {
  if (this->Step != DrainStep::Serving)
    return;
  this->Reason = Given;
  this->LeftAt = Now;
  this->Step = DrainStep::Noticing;
}

void DrainController::onEnd(TimePoint Now) {
  this->onLeave(DrainReason::Signal, Now);
  if (this->Step < DrainStep::Ending)
    this->moveTo(DrainStep::Ending, Now);
}

void DrainController::moveTo(DrainStep Next, TimePoint Now) {
  this->Step = Next;
  if (Next == DrainStep::Ending)
    this->EndingAt = Now;
}

DrainStep DrainController::look(const DrainWork &Work, TimePoint Now) {
  bool Idle = Work.Requests == 0 && Work.Transactions == 0;
  if (this->Step == DrainStep::Noticing &&
      Now >= this->LeftAt + this->Options.BalancerNotice)
    this->moveTo(DrainStep::Refusing, Now);
  else if (this->Step == DrainStep::Refusing && Idle)
    this->moveTo(DrainStep::Ended, Now);
  bool Draining =
      this->Step == DrainStep::Noticing || this->Step == DrainStep::Refusing;
  if (Draining && Now >= this->LeftAt + this->Options.Limit)
    this->moveTo(DrainStep::Ending, Now);
  if (this->Step == DrainStep::Ending) {
    // Open transactions end with their connections: they roll back.
    this->CutShort = this->CutShort || !Idle;
    bool Over = Now >= this->EndingAt + this->Options.EndingLimit;
    if (Work.Requests == 0 || Over)
      this->moveTo(DrainStep::Ended, Now);
  }
  return this->Step;
}

} // namespace turmericpitch
