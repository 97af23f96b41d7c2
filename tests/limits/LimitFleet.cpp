#include "tests/limits/LimitFleet.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace turmericpitch {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t Zones = 3;
constexpr Duration InZone = microseconds(100);
constexpr Duration BetweenZones = microseconds(1400);
constexpr double AgeFactorWithoutExpiry = 4;

} // namespace

LimitFleet::LimitFleet(LimitFleetOptions Options)
    : Options(Options), Random(Options.Seed), Peers(Options.Instances) {
  for (std::size_t Index = 0; Index < this->Peers.size(); ++Index) {
    this->Peers[Index].ClockOffset =
        std::chrono::seconds(this->Random.nextBelow(1000));
    this->start(Index);
  }
}

InstanceId LimitFleet::idOf(std::size_t Index) {
  return {std::to_string(Index)};
}

TimePoint LimitFleet::clockOf(const Peer &Of) const {
  return this->Queue.now() + Of.ClockOffset;
}

void LimitFleet::start(std::size_t Index) {
  Peer &Self = this->Peers[Index];
  AccountLimiterOptions Limiting{.Self = idOf(Index),
                                 .Incarnation =
                                     ++Self.Incarnation * 1000 + Index,
                                 .MinBurst = this->Options.MinBurst};
  if (this->Options.Fault == LimitFault::KeepsExpiredCredit)
    Limiting.MinBurst *= AgeFactorWithoutExpiry;
  Self.Limiter =
      std::make_unique<AccountLimiter>(Limiting, this->clockOf(Self));
  Self.Limiter->setLimits(this->Limits);
  std::vector<InstanceId> Keepers;
  for (std::size_t Zone = 0; Zone < std::min(Zones, this->Peers.size()); ++Zone)
    Keepers.push_back(idOf(Zone));
  Self.Limiter->setKeepers(Keepers);
  Self.Limiter->setShare(1.0 / static_cast<double>(this->Peers.size()),
                         this->clockOf(Self));
  Self.Waiting.clear();
  Self.TickAt =
      this->Queue.now() + microseconds(this->Random.nextBelow(200000));
  this->scheduleTick(Index);
}

void LimitFleet::restart(std::size_t Index) { this->start(Index); }

void LimitFleet::pause(std::size_t Index, Duration Length) {
  this->Peers[Index].PausedUntil = this->Queue.now() + Length;
}

void LimitFleet::holdMessages(Duration Length) {
  this->HeldUntil = this->Queue.now() + Length;
}

void LimitFleet::onInstance(std::size_t Index, EventQueue::Task Work) {
  TimePoint Wakes = this->Peers[Index].PausedUntil;
  if (Wakes <= this->Queue.now())
    return Work();
  this->Queue.scheduleAt(Wakes, [this, Index, Work = std::move(Work)] {
    this->onInstance(Index, Work);
  });
}

void LimitFleet::scheduleTick(std::size_t Index) {
  std::uint64_t Incarnation = this->Peers[Index].Incarnation;
  TimePoint At = this->Peers[Index].TickAt;
  this->Queue.scheduleAt(At, [this, Index, Incarnation, At] {
    this->onInstance(Index, [this, Index, Incarnation, At] {
      Peer &Self = this->Peers[Index];
      if (Self.Incarnation == Incarnation && Self.TickAt == At)
        this->tick(Index);
    });
  });
}

void LimitFleet::tick(std::size_t Index) {
  Peer &Self = this->Peers[Index];
  this->send(Index, Self.Limiter->onTick(this->clockOf(Self)));
  this->collectOutcomes(Index);
}

void LimitFleet::send(std::size_t From, std::vector<LimitSend> Sends) {
  for (LimitSend &Each : Sends) {
    std::size_t To = std::stoul(Each.To.Value);
    ++this->Messages;
    int Copies = this->Random.chance(this->Options.Repeat) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (this->Random.chance(this->Options.Loss) ||
          this->Peers[From].Side != this->Peers[To].Side)
        continue;
      Duration Delay = From % Zones == To % Zones ? InZone : BetweenZones;
      if (this->Random.chance(this->Options.LongDelay))
        Delay += microseconds(this->Random.nextBelow(
            static_cast<std::uint32_t>(this->Options.LongestDelay.count())));
      TimePoint SentAt = this->Queue.now();
      Delay += std::max(this->HeldUntil - SentAt, Duration(0));
      this->Queue.scheduleAfter(
          Delay, [this, From, To, SentAt, Copy, Message = Each.Message] {
            this->onInstance(To, [this, From, To, SentAt, Copy, Message] {
              this->deliver(From, To, Message, this->Queue.now() - SentAt,
                            Copy > 0);
            });
          });
    }
  }
}

void LimitFleet::applyFault(std::size_t To, LimitMessage &Message,
                            Duration InTransit, bool Repeated) {
  auto *Request = std::get_if<LimitRequest>(&Message);
  auto *Reply = std::get_if<LimitReply>(&Message);
  switch (this->Options.Fault) {
  case LimitFault::CountsRepeatedDeposits:
    if (Request && Repeated)
      Request->Incarnation += 1'000'000'000 + this->Messages;
    return;
  case LimitFault::TrustsLateDeposits:
    if (!Request || !Request->Echo)
      return;
    Request->Echo->Time = this->clockOf(this->Peers[To]);
    Request->Span = Duration(0);
    return;
  case LimitFault::CountsForAllAccounts:
    if (Request)
      Request->Keepers = {idOf(To)};
    return;
  case LimitFault::CountsValidityFromReceipt:
    if (Reply)
      for (AccountGrant &Each : Reply->Grants)
        Each.Validity += InTransit;
    return;
  case LimitFault::None:
  case LimitFault::KeepsExpiredCredit:
    return;
  }
}

void LimitFleet::deliver(std::size_t From, std::size_t To, LimitMessage Message,
                         Duration InTransit, bool Repeated) {
  this->applyFault(To, Message, InTransit, Repeated);
  Peer &Self = this->Peers[To];
  this->send(To,
             Self.Limiter->onMessage(idOf(From), Message, this->clockOf(Self)));
  this->collectOutcomes(To);
}

void LimitFleet::setLimits(std::map<ClientAccountId, OperationLimit> Limits) {
  this->Limits = std::move(Limits);
  for (Peer &Each : this->Peers)
    Each.Limiter->setLimits(this->Limits);
}

void LimitFleet::setDemand(std::vector<LimitDemand> Demand) {
  this->Demand = std::move(Demand);
  ++this->DemandEpoch;
  for (std::size_t Index = 0; Index < this->Demand.size(); ++Index)
    this->scheduleArrival(Index, this->DemandEpoch);
}

void LimitFleet::scheduleArrival(std::size_t DemandIndex,
                                 std::uint64_t OfEpoch) {
  double PerSecond = this->Demand[DemandIndex].PerSecond;
  if (PerSecond <= 0)
    return;
  double Seconds = -std::log(1 - this->Random.fraction()) / PerSecond;
  auto Delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
  this->Queue.scheduleAfter(Delay, [this, DemandIndex, OfEpoch] {
    if (OfEpoch != this->DemandEpoch)
      return;
    const LimitDemand &Of = this->Demand[DemandIndex];
    std::size_t Index = Of.Instances[this->Random.nextBelow(
        static_cast<std::uint32_t>(Of.Instances.size()))];
    // A paused instance accepts nothing.
    if (this->Peers[Index].PausedUntil <= this->Queue.now())
      this->arrive(Index, Of.Account);
    this->scheduleArrival(DemandIndex, OfEpoch);
  });
}

void LimitFleet::arrive(std::size_t Index, const ClientAccountId &Account) {
  Peer &Self = this->Peers[Index];
  LimitTicket Ticket = ++this->LastTicket;
  auto Decision = Self.Limiter->admit(Account, Ticket, this->clockOf(Self));
  if (Decision) {
    this->AtOnce += Decision->Admitted ? 1 : 0;
    return this->settle(Index, *Decision, Account);
  }
  this->Tickets[Ticket] = Account;
  Self.Waiting[Ticket] = this->Queue.now();
  this->tick(Index);
}

void LimitFleet::settle(std::size_t Index, const LimitDecision &Decision,
                        const ClientAccountId &Account) {
  if (!Decision.Admitted) {
    ++this->Refused[Account];
    return;
  }
  if (!this->Random.chance(this->Options.Refund)) {
    this->Ran[Account].push_back(this->Queue.now());
    return;
  }
  std::uint64_t Incarnation = this->Peers[Index].Incarnation;
  this->Queue.scheduleAfter(milliseconds(this->Random.nextBelow(300)),
                            [this, Index, Incarnation, Grant = Decision.Grant] {
                              Peer &Self = this->Peers[Index];
                              if (Self.Incarnation != Incarnation ||
                                  Self.PausedUntil > this->Queue.now())
                                return;
                              Self.Limiter->refund(Grant, this->clockOf(Self));
                              this->collectOutcomes(Index);
                            });
}

void LimitFleet::collectOutcomes(std::size_t Index) {
  Peer &Self = this->Peers[Index];
  for (const LimitOutcome &Each : Self.Limiter->takeOutcomes()) {
    auto Waited = Self.Waiting.extract(Each.Ticket);
    this->LongestWait =
        std::max(this->LongestWait, this->Queue.now() - Waited.mapped());
    ClientAccountId Account = this->Tickets.extract(Each.Ticket).mapped();
    this->settle(Index, Each.Decision, Account);
  }
  TimePoint Next = Self.Limiter->nextTickAt() - Self.ClockOffset;
  if (Self.TickAt > this->Queue.now() && Self.TickAt <= Next)
    return;
  Self.TickAt = std::max(Next, this->Queue.now() + microseconds(1));
  this->scheduleTick(Index);
}

void LimitFleet::run(Duration Length) {
  this->Queue.runUntil(this->Queue.now() + Length);
}

void LimitFleet::disturb(Disturbance What,
                         const std::vector<LimitDemand> &Demand) {
  constexpr std::uint32_t LongestPause = 3000;
  constexpr std::uint32_t LongestHold = 400;
  std::size_t Index =
      this->Random.nextBelow(static_cast<std::uint32_t>(this->Peers.size()));
  Duration Pause = milliseconds(this->Random.nextBelow(LongestPause));
  switch (What) {
  case Disturbance::Pause:
    return this->pause(Index, Pause);
  case Disturbance::PauseHalf:
    for (std::size_t Each = 0; Each < this->Peers.size(); ++Each)
      if (this->Random.chance(0.5))
        this->pause(Each, Pause);
    return;
  case Disturbance::Restart:
    return this->restart(Index);
  case Disturbance::Cut:
    for (std::size_t Each = 0; Each < this->Peers.size(); ++Each)
      this->setSide(Each, static_cast<int>(this->Random.nextBelow(2)));
    return;
  case Disturbance::Heal:
    for (std::size_t Each = 0; Each < this->Peers.size(); ++Each)
      this->setSide(Each, 0);
    return;
  case Disturbance::Hold:
    return this->holdMessages(
        milliseconds(this->Random.nextBelow(LongestHold)));
  case Disturbance::Demand:
    return this->setDemand(Demand);
  case Disturbance::Idle:
    return this->setDemand({});
  }
}

std::size_t LimitFleet::ran(const ClientAccountId &Account) const {
  auto Found = this->Ran.find(Account);
  return Found == this->Ran.end() ? 0 : Found->second.size();
}

std::size_t LimitFleet::refused(const ClientAccountId &Account) const {
  auto Found = this->Refused.find(Account);
  return Found == this->Refused.end() ? 0 : Found->second;
}

double LimitFleet::largestBurst(const ClientAccountId &Account,
                                double PerSecond) const {
  auto Found = this->Ran.find(Account);
  if (Found == this->Ran.end())
    return 0;
  double Largest = 0;
  // A window is worst from one operation to another: the number from the first
  // to the last, less what its length allows.
  double LeastBefore = std::numeric_limits<double>::max();
  double Count = 0;
  for (TimePoint Each : Found->second) {
    double Allowed =
        PerSecond *
        std::chrono::duration<double>(Each.time_since_epoch()).count();
    LeastBefore = std::min(LeastBefore, Count - Allowed);
    Count += 1;
    Largest = std::max(Largest, Count - Allowed - LeastBefore);
  }
  return Largest;
}

} // namespace turmericpitch
