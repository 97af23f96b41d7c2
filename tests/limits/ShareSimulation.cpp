#include "tests/limits/ShareSimulation.h"

#include <algorithm>

namespace turmericpitch {

ShareSimulation::ShareSimulation(ShareSimulationOptions InitialOptions)
    : Options(InitialOptions), Random(InitialOptions.Seed),
      Nodes(InitialOptions.Instances) {
  for (std::uint32_t Index = 0; Index < this->Options.Instances; ++Index) {
    this->Nodes[Index].ClockRate =
        1 + this->Options.ClockRateSpread * (2 * this->Random.fraction() - 1);
    this->restart(Index);
    this->Queue.scheduleAfter(Duration(this->Random.nextBelow(100'000)),
                              [this, Index] { this->tick(Index); });
  }
}

InstanceId ShareSimulation::nameOf(std::uint32_t Index) {
  return InstanceId{"entry-" + std::to_string(Index)};
}

TimePoint ShareSimulation::clockOf(const Node &Instance) const {
  auto TrueMicroseconds =
      static_cast<double>(this->Queue.now().time_since_epoch().count());
  return TimePoint(Duration(
      static_cast<std::int64_t>(TrueMicroseconds * Instance.ClockRate)));
}

void ShareSimulation::setNeed(std::uint32_t Index, std::uint32_t Count) {
  this->Nodes[Index].Need = Count;
}

void ShareSimulation::stop(std::uint32_t Index) {
  this->Nodes[Index].Shares.reset();
}

void ShareSimulation::restart(std::uint32_t Index) {
  Node &Instance = this->Nodes[Index];
  ConnectionSharesOptions Own;
  Own.Target = DatabaseId{"bookings"};
  Own.Self = nameOf(Index);
  for (std::uint32_t Each = 0; Each < this->Options.Instances; ++Each)
    Own.Instances.push_back(nameOf(Each));
  Own.Limit = this->Options.Limit;
  Own.Incarnation = this->NextIncarnation++;
  Instance.PausedUntil = {};
  Instance.Shares =
      std::make_unique<ConnectionShares>(Own, this->clockOf(Instance));
}

void ShareSimulation::pause(std::uint32_t Index, Duration Length) {
  this->Nodes[Index].PausedUntil = this->Queue.now() + Length;
}

void ShareSimulation::setIsolated(std::uint32_t Index, bool Isolated) {
  this->Nodes[Index].Isolated = Isolated;
}

void ShareSimulation::tick(std::uint32_t Index) {
  Node &Instance = this->Nodes[Index];
  if (Instance.Shares && Instance.PausedUntil <= this->Queue.now()) {
    TimePoint Now = this->clockOf(Instance);
    Instance.Shares->setNeed(Instance.Need);
    this->send(Index, Instance.Shares->onTick(Now));
  }
  this->check();
  this->Queue.scheduleAfter(this->Options.Tick,
                            [this, Index] { this->tick(Index); });
}

void ShareSimulation::send(std::uint32_t From,
                           const std::vector<ShareSend> &Sends) {
  auto Spread = static_cast<std::uint32_t>(
      (this->Options.MaxDelay - this->Options.MinDelay).count() + 1);
  for (const ShareSend &Each : Sends) {
    std::uint32_t To = 0;
    while (nameOf(To) != Each.To)
      ++To;
    ++this->Messages;
    int Copies = this->Random.chance(this->Options.Repeat) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (this->Random.chance(this->Options.Loss) || this->Nodes[From].Isolated)
        continue;
      Duration Delay =
          this->Options.MinDelay + Duration(this->Random.nextBelow(Spread));
      ShareMessage Message = Each.Message;
      this->Queue.scheduleAfter(Delay, [this, From, To, Message] {
        this->deliver(From, To, Message);
      });
    }
  }
}

void ShareSimulation::deliver(std::uint32_t From, std::uint32_t To,
                              ShareMessage Message) {
  Node &Instance = this->Nodes[To];
  if (!Instance.Shares || Instance.Isolated)
    return;
  if (Instance.PausedUntil > this->Queue.now()) {
    // The datagram stays in the socket buffer of the paused process.
    this->Queue.scheduleAt(Instance.PausedUntil, [this, From, To, Message] {
      this->deliver(From, To, Message);
    });
    return;
  }
  this->send(To, Instance.Shares->onMessage(nameOf(From), Message,
                                            this->clockOf(Instance)));
  this->check();
}

std::uint32_t ShareSimulation::usable(std::uint32_t Index) const {
  const Node &Instance = this->Nodes[Index];
  return Instance.Shares ? Instance.Shares->usable(this->clockOf(Instance)) : 0;
}

std::uint32_t ShareSimulation::total() const {
  std::uint32_t Sum = 0;
  for (std::uint32_t Index = 0; Index < this->Nodes.size(); ++Index)
    Sum += this->usable(Index);
  return Sum;
}

void ShareSimulation::check() {
  this->Largest = std::max(this->Largest, this->total());
}

void ShareSimulation::run(Duration Length) {
  this->Queue.runUntil(this->Queue.now() + Length);
  this->check();
}

} // namespace turmericpitch
