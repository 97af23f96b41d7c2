#include "tools/ConfigurationNetwork.h"

#include "configuration/TicketAcceptance.h"

namespace turmericpitch {

namespace {

/// Frame, signature, UDP and IP headers of a datagram, in bytes.
constexpr std::size_t FrameOverhead = 32 + 40 + 28;
/// Fetching a snapshot takes a TCP handshake and then a request and its reply.
constexpr int CopySetupRoundTrips = 2;
constexpr double CopyBytesPerMicrosecond = 100;

} // namespace

ConfigurationNetwork::ConfigurationNetwork(
    ConfigurationNetworkOptions InitialOptions)
    : Options(std::move(InitialOptions)), Random(this->Options.Seed),
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
  Started.PendingWork.clear();
  Started.Controller = std::make_unique<ConfigurationController>();
  DisseminationOptions OwnOptions = this->Options.InstanceOptions;
  OwnOptions.Self = this->peer(Index).Id;
  OwnOptions.Zone = this->peer(Index).Zone;
  OwnOptions.Seed =
      this->Options.Seed * 1'000'003 + Index * 31 + Started.Generation;
  Started.Protocol =
      std::make_unique<Dissemination>(OwnOptions, *Started.Controller);
  Started.Protocol->onPeers(this->Peers);
  // Processes start at random offsets, so that their ticks don't coincide.
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
  Ended.Protocol.reset();
  Ended.Controller.reset();
}

void ConfigurationNetwork::pause(std::size_t Index) {
  this->Nodes[Index].Paused = true;
}

void ConfigurationNetwork::resume(std::size_t Index) {
  Node &Resumed = this->Nodes[Index];
  Resumed.Paused = false;
  auto PendingWork = std::move(Resumed.PendingWork);
  Resumed.PendingWork.clear();
  for (const auto &Work : PendingWork)
    Work();
}

void ConfigurationNetwork::scheduleTick(std::size_t Index) {
  Dissemination &Protocol = *this->Nodes[Index].Protocol;
  this->executeAll(Index, Protocol.onTick(this->Queue.now()));
  Duration Wait = Protocol.nextTick() - this->Queue.now();
  this->deliver(Index, std::max(Wait, Duration(1)),
                [this, Index] { this->scheduleTick(Index); });
}

void ConfigurationNetwork::deliver(std::size_t Index, Duration Delay,
                                   std::function<void()> Work) {
  std::uint64_t Generation = this->Nodes[Index].Generation;
  this->Queue.scheduleAfter(
      Delay, [this, Index, Generation, Work = std::move(Work)] {
        Node &Target = this->Nodes[Index];
        if (Target.Generation != Generation || !Target.Protocol)
          return;
        if (Target.Paused)
          Target.PendingWork.push_back(Work);
        else
          Work();
      });
}

bool ConfigurationNetwork::connected(std::size_t Left,
                                     std::size_t Right) const {
  std::size_t From = this->zoneOf(Left);
  std::size_t To = this->zoneOf(Right);
  return From == To || (!this->IsolatedZones.contains(From) &&
                        !this->IsolatedZones.contains(To));
}

Duration ConfigurationNetwork::delayBetween(std::size_t Left,
                                            std::size_t Right) const {
  std::size_t PerRegion = this->Options.ZonesPerRegion;
  bool SameRegion =
      this->zoneOf(Left) / PerRegion == this->zoneOf(Right) / PerRegion;
  return SameRegion ? this->Options.IntraRegionDelay
                    : this->Options.InterRegionDelay;
}

void ConfigurationNetwork::executeAll(std::size_t Index,
                                      DisseminationActions Actions) {
  for (const DisseminationAction &Action : Actions)
    std::visit([&](const auto &Each) { this->execute(Index, Each); }, Action);
}

void ConfigurationNetwork::execute(std::size_t Index, const SendToPeer &Send) {
  std::size_t To = Send.To.Port - 1U;
  std::string Payload = encodeMessage(Send.Message);
  ++this->Traffic.Datagrams;
  this->Traffic.DatagramBytes += Payload.size() + FrameOverhead;
  if (this->Random.chance(this->Options.Loss) || !this->connected(Index, To))
    return;
  ConfigurationPeer From = this->peer(Index);
  this->deliver(To, this->delayBetween(Index, To),
                [this, To, From, Payload = std::move(Payload)] {
                  auto Message =
                      toOutcome([&] { return decodeMessage(Payload); });
                  this->executeAll(To, this->Nodes[To].Protocol->onMessage(
                                           From.Id, From.Where, Message.value(),
                                           this->Queue.now()));
                });
}

void ConfigurationNetwork::execute(std::size_t Index,
                                   const ReadPlatform &Read) {
  bool Reachable = !this->ZonesWithoutPlatform.contains(this->zoneOf(Index));
  Outcome<KeyValueAnswer> Answer(Error{.Kind = ErrorKind::Unavailable,
                                       .Message = "platform unreachable",
                                       .Remedy = "try again later"});
  if (Reachable)
    Answer = this->Store.call(Read.Request, this->Queue.now());
  Duration Delay =
      2 * this->Options.PlatformDelay + this->Store.faults().AddedLatency;
  this->deliver(Index, Delay, [this, Index, Answer] {
    this->executeAll(Index, this->Nodes[Index].Protocol->onPlatform(
                                Answer, this->Queue.now()));
  });
}

void ConfigurationNetwork::execute(std::size_t Index, const FetchCopy &Fetch) {
  std::size_t From = Fetch.From.Port - 1U;
  Outcome<ConfigurationChange> Copy;
  SharedConfiguration Theirs = this->configuration(From);
  Duration Delay = 2 * CopySetupRoundTrips * this->delayBetween(Index, From);
  if (Theirs && this->connected(Index, From) && !this->Nodes[From].Paused) {
    Copy = Theirs->changesAfter(Fetch.After);
    std::size_t Size = encodeMessage(Copy.value()).size();
    ++this->Traffic.Copies;
    this->Traffic.CopyBytes += Size;
    Delay += Duration(static_cast<std::int64_t>(static_cast<double>(Size) /
                                                CopyBytesPerMicrosecond));
  }
  this->deliver(Index, Delay, [this, Index, Copy] {
    this->executeAll(
        Index, this->Nodes[Index].Protocol->onCopy(Copy, this->Queue.now()));
  });
}

void ConfigurationNetwork::execute(std::size_t Index,
                                   const TicketApplied &Applied) {
  if (this->OnApplied)
    this->OnApplied(Index, Applied.Newest);
}

void ConfigurationNetwork::execute(std::size_t /*Index*/,
                                   const DisseminationWarning &Warning) {
  this->Warnings.push_back(Warning.Details);
}

ConfigurationChange ConfigurationNetwork::accept(const Ticket &Change) {
  TicketAcceptance Acceptance({.Change = Change, .Base = this->Accepted});
  AcceptanceAction Action = Acceptance.begin();
  while (auto *Call = std::get_if<CallPlatform>(&Action))
    Action =
        Acceptance.onAnswer(this->Store.call(Call->Request, this->Queue.now()));
  ConfigurationChange Created =
      std::get<AcceptanceDone>(Action).Accepted.value().Change;
  this->Accepted = std::make_shared<const ConfigurationSnapshot>(
      toOutcome([&] { return this->Accepted->withChange(Created); }).value());
  return Created;
}

void ConfigurationNetwork::notifyAccepted(std::size_t Index,
                                          const ConfigurationChange &Change) {
  this->executeAll(Index, this->Nodes[Index].Protocol->onAccepted(
                              Change, this->Queue.now()));
}

void ConfigurationNetwork::requestAllReports(std::size_t Index) {
  this->executeAll(Index, this->Nodes[Index].Protocol->requestReports(
                              0, this->Nodes.size(), this->Queue.now()));
}

bool ConfigurationNetwork::readsPlatform(std::size_t Index) const {
  ConfigurationPeer Queried = this->peer(Index);
  return this->Peers->readerRank(Queried.Id, Queried.Zone) <
         this->Options.InstanceOptions.ReadersPerZone;
}

SharedConfiguration
ConfigurationNetwork::configuration(std::size_t Index) const {
  const Node &Queried = this->Nodes[Index];
  return Queried.Controller ? Queried.Controller->current() : nullptr;
}

TicketNumber ConfigurationNetwork::activeTicket(std::size_t Index) const {
  SharedConfiguration Current = this->configuration(Index);
  return Current ? Current->newestTicket() : TicketNumber{};
}

} // namespace turmericpitch
