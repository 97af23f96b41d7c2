#include "main/DaemonDrain.h"

#include "core/DecisionLog.h"
#include "drivers/ChangeSignal.h"

namespace turmericpitch {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(20);

} // namespace

DaemonDrain::DaemonDrain(DrainOptions Options, DaemonDrainParts Parts)
    : Parts(std::move(Parts)), Controller(Options) {}

void DaemonDrain::begin(DrainReason Reason) {
  {
    std::lock_guard Lock(this->Guard);
    if (!this->Controller.ready())
      return;
    this->Controller.beginDrain(Reason, this->Time.now());
  }
  writeDecision(DecisionLine("drain")
                    .field("step", toString(DrainStep::AwaitingBalancer))
                    .field("reason", toString(Reason)));
  this->Parts.Callers->beginDrain();
  this->Parts.CallerServer->drain();
  this->Parts.Exchange->beginLeaving();
}

void DaemonDrain::end() {
  std::lock_guard Lock(this->Guard);
  this->Controller.forceEnd(this->Time.now());
}

bool DaemonDrain::draining() const {
  std::lock_guard Lock(this->Guard);
  return !this->Controller.ready();
}

DrainStep DaemonDrain::look() {
  DrainWork Work{.Requests = this->Parts.CallerServer->requestsInFlight(),
                 .Transactions = this->Parts.CallerServer->connectionsHeld()};
  std::lock_guard Lock(this->Guard);
  return this->Controller.update(Work, this->Time.now());
}

void DaemonDrain::onStep(DrainStep Step) {
  HttpServer &Server = *this->Parts.CallerServer;
  writeDecision(DecisionLine("drain")
                    .field("step", toString(Step))
                    .field("requests", Server.requestsInFlight())
                    .field("transactions", Server.connectionsHeld()));
  if (Step == DrainStep::RejectingNewWork)
    Server.refuseNew();
  else if (Step == DrainStep::ForcedEnd)
    Server.endOpen();
  if (Step != DrainStep::Ended)
    return;
  this->Parts.Exchange->depart();
  this->Drained = true;
}

Awaitable<void> DaemonDrain::run() {
  DrainStep Last = DrainStep::Serving;
  while (!this->Stopping) {
    if (Last == DrainStep::Serving && this->Parts.Members->leaving())
      this->begin(DrainReason::MarkedLeaving);
    DrainStep Step = this->look();
    // The first step was carried out when the drain began.
    if (Step != Last && Step > DrainStep::AwaitingBalancer)
      this->onStep(Step);
    Last = Step;
    co_await sleepFor(StepInterval);
  }
}

} // namespace turmericpitch
