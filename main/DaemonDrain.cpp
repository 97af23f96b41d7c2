#include "main/DaemonDrain.h"

#include "core/DecisionLog.h"
#include "drivers/ChangeSignal.h"

namespace turmericpitch {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(20);

} // namespace

DaemonDrain::DaemonDrain(DrainOptions Options, DaemonDrainComponents Components)
    : Components(std::move(Components)), Controller(Options) {}

void DaemonDrain::begin(DrainReason Reason) {
  {
    std::lock_guard Lock(this->Mutex);
    if (!this->Controller.ready())
      return;
    this->Controller.beginDrain(Reason, this->Time.now());
  }
  writeDecision(DecisionLine("drain")
                    .field("step", toString(DrainStep::AwaitingBalancer))
                    .field("reason", toString(Reason)));
  this->Components.Callers->beginDrain();
  this->Components.CallerServer->drain();
  this->Components.Exchange->beginLeaving();
}

void DaemonDrain::end() {
  std::lock_guard Lock(this->Mutex);
  this->Controller.forceEnd(this->Time.now());
}

bool DaemonDrain::draining() const {
  std::lock_guard Lock(this->Mutex);
  return !this->Controller.ready();
}

DrainStep DaemonDrain::updateStep() {
  DrainWork Work{.Requests = this->Components.CallerServer->requestsInFlight(),
                 .Transactions =
                     this->Components.CallerServer->pinnedConnections()};
  std::lock_guard Lock(this->Mutex);
  return this->Controller.update(Work, this->Time.now());
}

void DaemonDrain::executeStep(DrainStep Step) {
  HttpServer &Server = *this->Components.CallerServer;
  writeDecision(DecisionLine("drain")
                    .field("step", toString(Step))
                    .field("requests", Server.requestsInFlight())
                    .field("transactions", Server.pinnedConnections()));
  if (Step == DrainStep::RejectingNewWork)
    Server.rejectNewRequests();
  else if (Step == DrainStep::ForcedEnd)
    Server.abortOpenRequests();
  if (Step != DrainStep::Ended)
    return;
  this->Components.Exchange->depart();
  this->Drained = true;
}

Awaitable<void> DaemonDrain::run() {
  DrainStep Previous = DrainStep::Serving;
  while (!this->Stopping) {
    if (Previous == DrainStep::Serving && this->Components.Members->leaving())
      this->begin(DrainReason::MarkedLeaving);
    DrainStep Step = this->updateStep();
    // begin() has already executed the first step.
    if (Step != Previous && Step > DrainStep::AwaitingBalancer)
      this->executeStep(Step);
    Previous = Step;
    co_await sleepFor(StepInterval);
  }
}

} // namespace turmericpitch
