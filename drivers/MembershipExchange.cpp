#include "drivers/MembershipExchange.h"

#include "core/DecisionLog.h"
#include "drivers/ChangeSignal.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr Duration MinPause = std::chrono::milliseconds(10);
constexpr Duration MaxPause = std::chrono::milliseconds(100);

void logState(const InstanceView &Instance, std::string_view State) {
  writeDecision(DecisionLine("member")
                    .field("instance", Instance.Id.Value)
                    .field("zone", Instance.Zone.Value)
                    .field("state", State)
                    .field("incarnation", Instance.IncarnationNumber.Value));
}

} // namespace

MembershipExchange::MembershipExchange(
    std::shared_ptr<PeerTransport> Transport,
    std::shared_ptr<MembershipController> Controller)
    : Transport(std::move(Transport)), Controller(std::move(Controller)) {}

void MembershipExchange::attach() {
  std::weak_ptr<MembershipExchange> Weak = this->weak_from_this();
  this->Transport->onTopic(
      PeerTopic::Membership, [Weak](const PeerArrival &Arrival) {
        auto Self = Weak.lock();
        if (!Self || Self->Stopped)
          return;
        Self->send(Self->Controller->onPayload(
            Arrival.Frame.From, Arrival.Frame.Payload, Self->Time.now()));
      });
}

Awaitable<void> MembershipExchange::run() {
  auto Self = this->shared_from_this();
  while (!this->Stopped) {
    SharedMembership Before = this->Controller->current();
    this->send(this->Controller->onTick(this->Time.now()));
    this->logChanges(Before, this->Controller->current());
    Duration Pause = this->Controller->nextTick() - this->Time.now();
    co_await sleepFor(std::clamp(Pause, MinPause, MaxPause));
  }
}

void MembershipExchange::beginLeaving() {
  this->send(this->Controller->beginLeaving(this->Time.now()));
}

void MembershipExchange::depart() {
  if (!this->Stopped.exchange(true))
    this->send(this->Controller->depart(this->Time.now()));
}

void MembershipExchange::send(const OutgoingMembershipMessages &Sends) {
  for (const OutgoingMembershipMessage &Each : Sends)
    this->Transport->send(Each.To, PeerTopic::Membership,
                          encodeMembership(Each.Message));
}

void MembershipExchange::logChanges(const SharedMembership &Before,
                                    const SharedMembership &After) const {
  if (Before == After)
    return;
  if (After->selfReplaced() && !Before->selfReplaced())
    writeWarning("another process runs under the name " + After->self().Value +
                 "; give each instance its own name");
  for (const InstanceView &Now : After->instances()) {
    const InstanceView *Was = Before->find(Now.Id);
    if (!Was || Was->State != Now.State)
      logState(Now, toString(Now.State));
  }
  for (const InstanceView &Was : Before->instances())
    if (!After->find(Was.Id))
      logState(Was, "forgotten");
}

} // namespace turmericpitch
