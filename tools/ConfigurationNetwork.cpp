#include "tools/ConfigurationNetwork.h"

#include "configuration/TicketAcceptance.h"

namespace turmericpitch {

namespace {

/// Frame, signature, UDP and IP headers around a payload, bytes.
constexpr std::size_t FrameOverhead = 32 + 40 + 28;
/// A copy comes after a TCP handshake, a request and its reply.
constexpr int CopyRoundTrips = 2;
constexpr double CopyBytesPerMicrosecond = 100;

} // namespace

ConfigurationNetwork::ConfigurationNetwork(ConfigurationNetworkOptions Given)
    : Options(std::move(Given)), Random(this->Options.Seed),
      Nodes(this->Options.Instances),
      Accepted(std::make_shared<const ConfigurationSnapshot>()) {
  std::vector<ConfigurationPeer> All;
  for (std::size_t Index = 0; Index < this->Options.Instances; ++Index)
    All.push_back(this->peer(Index));
  this->Peers = std::make_shared<const PeerDirectory>(std::move(All));
}

ConfigurationPeer ConfigurationNetwork::peer(std::size_t Index) const {
  return {.Id = InstanceId{"entry-" + std::to_string(Index)},
          .Zone = ZoneId{"zone-" + std::to_string(this->zoneOf(Index))},
          .Where = {.Address = "127.0.0.1",
                    .Port = static_cast<std::uint16_t>(Index + 1)}};
}

void ConfigurationNetwork::start(std::size_t Index) {
  Node &Started = this->Nodes[Index];
  ++Started.Generation;
  Started.Paused = false;
  Started.Held.clear();
  Started.Controller = std::make_unique<ConfigurationController>();
  DisseminationOptions Mine = this->Options.Each;
  Mine.Self = this->peer(Index).Id;
  Mine.Zone = this->peer(Index).Zone;
  Mine.Seed = this->Options.Seed * 1'000'003 + Index * 31 + Started.Generation;
  Started.Logic = std::make_unique<Dissemination>(Mine, *Started.Controller);
  Started.Logic->onPeers(this->Peers);
  // Processes do not start in step.
  Duration Offset(this->Random.nextBelow(1'000'000));
  this->deliver(Index, Offset, [this, Index] { this->scheduleTick(Index); });
}

void ConfigurationNetwork::startAll() {
  for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index)
    this->start(Index);
}

void ConfigurationNetwork::kill(std::size_t Index) {
  Node &Ended = this->Nodes[Index];
  ++Ended.Generation;
  Ended.Logic.reset();
  Ended.Controller.reset();
}

void ConfigurationNetwork::pause(std::size_t Index) {
  this->Nodes[Index].Paused = true;
}

void ConfigurationNetwork::resume(std::size_t Index) {
  Node &Resumed = this->Nodes[Index];
  Resumed.Paused = false;
  auto Held = std::move(Resumed.Held);
  Resumed.Held.clear();
  for (const auto &Work : Held)
    Work();
}

void ConfigurationNetwork::scheduleTick(std::size_t Index) {
  Dissemination &Logic = *this->Nodes[Index].Logic;
  this->perform(Index, Logic.onTick(this->Queue.now()));
  Duration Wait = Logic.nextTick() - this->Queue.now();
  this->deliver(Index, std::max(Wait, Duration(1)),
                [this, Index] { this->scheduleTick(Index); });
}

void ConfigurationNetwork::deliver(std::size_t Index, Duration Delay,
                                   std::function<void()> Work) {
  std::uint64_t Generation = this->Nodes[Index].Generation;
  this->Queue.scheduleAfter(
      Delay, [this, Index, Generation, Work = std::move(Work)] {
        Node &Target = this->Nodes[Index];
        if (Target.Generation != Generation || !Target.Logic)
          return;
        if (Target.Paused)
          Target.Held.push_back(Work);
        else
          Work();
      });
}

bool ConfigurationNetwork::linked(std::size_t Left, std::size_t Right) const {
  std::size_t From = this->zoneOf(Left);
  std::size_t To = this->zoneOf(Right);
  return From == To ||
         (!this->CutZones.contains(From) && !this->CutZones.contains(To));
}

Duration ConfigurationNetwork::delayBetween(std::size_t Left,
                                            std::size_t Right) const {
  std::size_t PerRegion = this->Options.ZonesPerRegion;
  bool SameRegion =
      this->zoneOf(Left) / PerRegion == this->zoneOf(Right) / PerRegion;
  return SameRegion ? this->Options.NearDelay : this->Options.FarDelay;
}

void ConfigurationNetwork::perform(std::size_t Index,
                                   DisseminationActions Actions) {
  for (const DisseminationAction &Action : Actions)
    std::visit([&](const auto &Each) { this->carryOut(Index, Each); }, Action);
}

void ConfigurationNetwork::carryOut(std::size_t Index, const SendToPeer &Send) {
  std::size_t To = Send.To.Port - 1U;
  std::string Payload = encodeMessage(Send.Message);
  ++this->Traffic.Datagrams;
  this->Traffic.DatagramBytes += Payload.size() + FrameOverhead;
  if (this->Random.chance(this->Options.Loss) || !this->linked(Index, To))
    return;
  ConfigurationPeer From = this->peer(Index);
  this->deliver(To, this->delayBetween(Index, To),
                [this, To, From, Payload = std::move(Payload)] {
                  auto Message =
                      toOutcome([&] { return decodeMessage(Payload); });
                  this->perform(To, this->Nodes[To].Logic->onMessage(
                                        From.Id, From.Where, Message.value(),
                                        this->Queue.now()));
                });
}

void ConfigurationNetwork::carryOut(std::size_t Index,
                                    const ReadPlatform &Read) {
  bool Reachable = !this->NoPlatform.contains(this->zoneOf(Index));
  Outcome<KeyValueAnswer> Answer(Error{.Kind = ErrorKind::Unavailable,
                                       .Message = "platform not reachable",
                                       .Remedy = "try again later"});
  if (Reachable)
    Answer = this->Store.call(Read.Request, this->Queue.now());
  Duration Delay =
      2 * this->Options.PlatformDelay + this->Store.faults().Slowness;
  this->deliver(Index, Delay, [this, Index, Answer] {
    this->perform(
        Index, this->Nodes[Index].Logic->onPlatform(Answer, this->Queue.now()));
  });
}

void ConfigurationNetwork::carryOut(std::size_t Index, const FetchCopy &Fetch) {
  std::size_t From = Fetch.From.Port - 1U;
  Outcome<ConfigurationChange> Copy;
  SharedConfiguration Theirs = this->configuration(From);
  Duration Delay = 2 * CopyRoundTrips * this->delayBetween(Index, From);
  if (Theirs && this->linked(Index, From) && !this->Nodes[From].Paused) {
    Copy = Theirs->changesAfter(Fetch.After);
    std::size_t Size = encodeMessage(Copy.value()).size();
    ++this->Traffic.Copies;
    this->Traffic.CopyBytes += Size;
    Delay += Duration(static_cast<std::int64_t>(static_cast<double>(Size) /
                                                CopyBytesPerMicrosecond));
  }
  this->deliver(Index, Delay, [this, Index, Copy] {
    this->perform(Index,
                  this->Nodes[Index].Logic->onCopy(Copy, this->Queue.now()));
  });
}

void ConfigurationNetwork::carryOut(std::size_t Index,
                                    const TicketApplied &Applied) {
  if (this->OnApplied)
    this->OnApplied(Index, Applied.Newest);
}

void ConfigurationNetwork::carryOut(std::size_t /*Index*/,
                                    const DisseminationWarning &Warning) {
  this->Warnings.push_back(Warning.Details);
}

ConfigurationChange ConfigurationNetwork::accept(const Ticket &Change) {
  TicketAcceptance Acceptance({.Change = Change, .Base = this->Accepted});
  AcceptanceAction Action = Acceptance.begin();
  while (auto *Call = std::get_if<CallPlatform>(&Action))
    Action =
        Acceptance.onAnswer(this->Store.call(Call->Request, this->Queue.now()));
  ConfigurationChange Made =
      std::get<AcceptanceDone>(Action).Accepted.value().Change;
  this->Accepted = std::make_shared<const ConfigurationSnapshot>(
      toOutcome([&] { return this->Accepted->withChange(Made); }).value());
  return Made;
}

void ConfigurationNetwork::tellAccepted(std::size_t Index,
                                        const ConfigurationChange &Change) {
  this->perform(
      Index, this->Nodes[Index].Logic->onAccepted(Change, this->Queue.now()));
}

void ConfigurationNetwork::askAll(std::size_t Index) {
  this->perform(Index, this->Nodes[Index].Logic->requestReports(
                           0, this->Nodes.size(), this->Queue.now()));
}

bool ConfigurationNetwork::readsPlatform(std::size_t Index) const {
  ConfigurationPeer Asked = this->peer(Index);
  return this->Peers->readerRank(Asked.Id, Asked.Zone) <
         this->Options.Each.ReadersPerZone;
}

SharedConfiguration
ConfigurationNetwork::configuration(std::size_t Index) const {
  const Node &Asked = this->Nodes[Index];
  return Asked.Controller ? Asked.Controller->current() : nullptr;
}

TicketNumber ConfigurationNetwork::inForce(std::size_t Index) const {
  SharedConfiguration Present = this->configuration(Index);
  return Present ? Present->newestTicket() : TicketNumber{};
}

} // namespace turmericpitch
