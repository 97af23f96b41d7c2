#include "tools/MembershipFleet.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr Duration MinTickInterval = std::chrono::milliseconds(10);
constexpr Duration MaxTickInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t FirstWallClock = 1'700'000'000'000;
// Signature, archive header, two lengths and the topic, then UDP and IP
// headers.
constexpr std::size_t FrameOverheadBytes = 32 + 2 + 8 + 1 + 8 + 28;
constexpr std::size_t SocketBufferDatagrams = 64;

} // namespace

MembershipFleet::MembershipFleet(EventQueue &Queue,
                                 MembershipFleetOptions Options)
    : Queue(Queue), Options(std::move(Options)), Random(this->Options.Seed) {}

Endpoint MembershipFleet::endpointOf(const std::string &Name) {
  return {.Address = "10.0.0.1",
          .Port = static_cast<std::uint16_t>(
              std::hash<std::string>{}(Name)&0xFFFF)};
}

std::uint64_t MembershipFleet::wallClock(TimePoint At) {
  auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      At.time_since_epoch());
  return FirstWallClock + static_cast<std::uint64_t>(Passed.count());
}

void MembershipFleet::start(const std::string &Name, const std::string &Zone,
                            const std::vector<std::string> &Seeds) {
  MembershipOptions Own = this->Options.Protocol;
  Own.Self = {.Id = InstanceId{Name},
              .Zone = ZoneId{Zone},
              .PeerEndpoint = endpointOf(Name)};
  Own.IncarnationNumber = Incarnation{wallClock(this->Queue.now())};
  for (const std::string &Seed : Seeds)
    Own.Seeds.push_back(
        {.Id = InstanceId{Seed}, .Zone = {}, .PeerEndpoint = endpointOf(Seed)});
  Node &StartedNode = this->Nodes[Name];
  StartedNode = {};
  StartedNode.Zone = Zone;
  StartedNode.Generation = ++this->LastGeneration;
  StartedNode.Running = true;
  StartedNode.Protocol = std::make_unique<MembershipProtocol>(
      Own, this->Random.nextBelow(UINT32_MAX));
  // Processes tick at random offsets, also if they start at the same time.
  Duration Offset(this->Random.nextBelow(1'000'000));
  this->Queue.scheduleAfter(Offset,
                            [this, Name, Generation = StartedNode.Generation] {
                              this->tick(Name, Generation);
                            });
}

void MembershipFleet::preload(const std::vector<InstanceRecord> &Records) {
  for (auto &[Name, Each] : this->Nodes)
    Each.Protocol->preload(Records, this->Queue.now());
}

void MembershipFleet::kill(const std::string &Name) {
  this->Nodes.at(Name).Running = false;
}

void MembershipFleet::pause(const std::string &Name) {
  this->Nodes.at(Name).Paused = true;
}

void MembershipFleet::resume(const std::string &Name) {
  Node &Resumed = this->Nodes.at(Name);
  Resumed.Paused = false;
  std::vector<Datagram> BufferedDatagrams =
      std::move(Resumed.BufferedDatagrams);
  Resumed.BufferedDatagrams.clear();
  for (const Datagram &Each : BufferedDatagrams)
    this->deliver(Name, Each);
  this->tick(Name, Resumed.Generation);
}

void MembershipFleet::beginLeaving(const std::string &Name) {
  this->send(Name,
             this->Nodes.at(Name).Protocol->beginLeaving(this->Queue.now()));
}

void MembershipFleet::depart(const std::string &Name) {
  this->send(Name, this->Nodes.at(Name).Protocol->depart(this->Queue.now()));
  this->kill(Name);
}

void MembershipFleet::deliverPlatformList(
    const std::string &Name, const std::vector<PlatformInstance> &List) {
  this->Nodes.at(Name).Protocol->onPlatformList(List, this->Queue.now());
}

PlatformInstance MembershipFleet::platformEntry(const std::string &Name,
                                                bool Leaving,
                                                std::uint64_t Since) const {
  auto Found = this->Nodes.find(Name);
  std::string Zone = Found == this->Nodes.end() ? "" : Found->second.Zone;
  return {.Instance = {.Id = InstanceId{Name},
                       .Zone = ZoneId{Zone},
                       .PeerEndpoint = endpointOf(Name)},
          .Leaving = Leaving,
          .SinceMilliseconds = Since};
}

void MembershipFleet::setLinkBlocked(const std::string &From,
                                     const std::string &To, bool Blocked) {
  if (Blocked)
    this->BlockedLinks.emplace(From, To);
  else
    this->BlockedLinks.erase({From, To});
}

void MembershipFleet::replay(const std::string &Name, std::size_t Count) {
  Node &Target = this->Nodes.at(Name);
  std::vector<Datagram> Kept = Target.Received;
  std::size_t First = Kept.size() - std::min(Count, Kept.size());
  for (std::size_t Index = First; Index < Kept.size(); ++Index)
    this->send(Name,
               Target.Protocol->onMessage(Kept[Index].From, Kept[Index].Message,
                                          this->Queue.now()));
}

bool MembershipFleet::isRunning(const std::string &Name) const {
  auto Found = this->Nodes.find(Name);
  return Found != this->Nodes.end() && Found->second.Running;
}

const MembershipProtocol &
MembershipFleet::protocolOf(const std::string &Name) const {
  return *this->Nodes.at(Name).Protocol;
}

MembershipSnapshot MembershipFleet::snapshotOf(const std::string &Name) const {
  return this->protocolOf(Name).snapshot(this->Queue.now());
}

std::vector<std::string> MembershipFleet::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : this->Nodes)
    Names.push_back(Name);
  return Names;
}

void MembershipFleet::tick(const std::string &Name, std::uint64_t Generation) {
  Node &Ticked = this->Nodes.at(Name);
  if (!Ticked.Running || Ticked.Paused || Ticked.Generation != Generation)
    return;
  this->send(Name, Ticked.Protocol->onTick(this->Queue.now()));
  Duration TickDelay = Ticked.Protocol->nextTick() - this->Queue.now();
  this->Queue.scheduleAfter(
      std::clamp(TickDelay, MinTickInterval, MaxTickInterval),
      [this, Name, Generation] { this->tick(Name, Generation); });
}

bool MembershipFleet::canReach(const std::string &From, const Node &Sender,
                               const std::string &To,
                               const Node &Receiver) const {
  if (this->BlockedLinks.empty())
    return true;
  for (const std::string &Left : {From, Sender.Zone})
    for (const std::string &Right : {To, Receiver.Zone})
      if (this->BlockedLinks.contains({Left, Right}))
        return false;
  return true;
}

void MembershipFleet::send(const std::string &From,
                           OutgoingMembershipMessages Sends) {
  const Node &Sender = this->Nodes.at(From);
  for (OutgoingMembershipMessage &Each : Sends) {
    ++this->Traffic.Messages;
    this->Traffic.Bytes +=
        FrameOverheadBytes + From.size() + encodedSize(Each.Message);
    std::string To = Each.Message.To.Value;
    auto Found = this->Nodes.find(To);
    bool Lost = Found == this->Nodes.end() ||
                !this->canReach(From, Sender, To, Found->second) ||
                this->Random.chance(this->Options.Loss);
    if (Lost)
      continue;
    Duration Delay = Found->second.Zone == Sender.Zone
                         ? this->Options.DelayWithinZone
                         : this->Options.DelayAcrossZones;
    Datagram Sent{.From = InstanceId{From}, .Message = std::move(Each.Message)};
    if (this->Options.Encode) {
      std::string Bytes = encodeMembership(Sent.Message);
      auto Read = toOutcome([&] { return decodeMembership(Bytes); });
      if (!Read)
        continue;
      Sent.Message = std::move(Read.value().Message);
    }
    this->Queue.scheduleAfter(
        Delay, [this, To, Sent = std::move(Sent)] { this->deliver(To, Sent); });
  }
}

void MembershipFleet::deliver(const std::string &Name,
                              const Datagram &Arrived) {
  Node &Target = this->Nodes.at(Name);
  if (!Target.Running)
    return;
  if (Target.Paused) {
    if (Target.BufferedDatagrams.size() < SocketBufferDatagrams)
      Target.BufferedDatagrams.push_back(Arrived);
    return;
  }
  if (this->Options.Encode)
    Target.Received.push_back(Arrived);
  this->send(Name, Target.Protocol->onMessage(Arrived.From, Arrived.Message,
                                              this->Queue.now()));
}

} // namespace turmericpitch
