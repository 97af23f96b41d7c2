#include "membership/MembershipProtocol.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericpitch {

namespace {

using Kind = MembershipMessageKind;

/// Peers notified at once when this instance begins to leave or departs.
constexpr std::size_t AnnounceFanout = 8;
constexpr unsigned RetransmitFactor = 3;
/// Consecutive page requests without a reply after which the join ends.
constexpr unsigned MaxJoinAttempts = 10;
/// Expected contact intervals added to the silence time-out of a zone.
constexpr double SilentContactIntervals = 8;

} // namespace

MembershipProtocol::MembershipProtocol(MembershipOptions InitialOptions,
                                       std::uint64_t Seed)
    : Options(std::move(InitialOptions)),
      Self{.Id = this->Options.Self.Id,
           .Zone = this->Options.Self.Zone,
           .PeerEndpoint = this->Options.Self.PeerEndpoint,
           .IncarnationNumber = this->Options.IncarnationNumber},
      Random(Seed),
      Targets(this->Self.Id, this->Self.Zone, this->Options.CrossZoneShare) {
  this->updateSelf();
}

void MembershipProtocol::updateSelf() {
  this->Table.merge(this->Self);
  this->PendingUpdates.push(this->Self.Id);
}

OutgoingMembershipMessages MembershipProtocol::onTick(TimePoint Now) {
  OutgoingMembershipMessages Out;
  this->detectPause(Now);
  this->LastTickAt = Now;
  this->processDeadlines(Now);
  this->sendIndirectProbes(Now, Out);
  if (Now >= this->NextPeriodAt)
    this->beginPeriod(Now, Out);
  this->continueJoin(Now, Out);
  std::set<ZoneId> Silent = this->unreachableZones(Now);
  if (Silent != this->UnreachableZones) {
    this->UnreachableZones = std::move(Silent);
    ++this->LocalVersion;
  }
  return Out;
}

TimePoint MembershipProtocol::nextTick() const {
  TimePoint Next = this->NextPeriodAt;
  if (this->CurrentProbe && !this->CurrentProbe->IndirectProbesSent)
    Next =
        std::min(Next, this->CurrentProbe->SentAt + this->Options.AckTimeout);
  if (!this->Deadlines.empty())
    Next = std::min(Next, this->Deadlines.begin()->first);
  if (!this->JoinProgress.Done)
    Next = std::min(Next, this->JoinProgress.NextAt);
  return Next;
}

void MembershipProtocol::detectPause(TimePoint Now) {
  if (!this->LastTickAt)
    return;
  Duration Gap = Now - *this->LastTickAt;
  if (Gap <= this->Options.PauseThreshold)
    return;
  // This process could not receive messages during the pause, so the pause does
  // not count as silence of other instances.
  ++this->Counters.Pauses;
  this->CurrentProbe.reset();
  this->ZoneContacts.onPaused(Gap);
  std::set<std::pair<TimePoint, InstanceId>> ShiftedDeadlines;
  for (const auto &[At, Id] : this->Deadlines) {
    KnownInstance *Known = this->Table.find(Id);
    if (!Known || Known->ExpiresAt != At)
      continue;
    Known->ExpiresAt = At + Gap;
    ShiftedDeadlines.emplace(Known->ExpiresAt, Id);
  }
  this->Deadlines = std::move(ShiftedDeadlines);
}

void MembershipProtocol::processDeadlines(TimePoint Now) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    auto [At, Id] = *this->Deadlines.begin();
    this->Deadlines.erase(this->Deadlines.begin());
    KnownInstance *Known = this->Table.find(Id);
    if (!Known || Known->ExpiresAt != At)
      continue;
    InstanceRecord Record = Known->Record;
    if (Record.Health == InstanceHealth::Dead) {
      this->Table.erase(Id);
      this->PendingUpdates.erase(Id);
      this->DeadInstances.erase(Id);
    } else if (Record.Health == InstanceHealth::Suspect) {
      ++this->Counters.Deaths;
      Record.Health = InstanceHealth::Dead;
      this->applyUpdate(Record, Now);
    }
  }
}

void MembershipProtocol::sendIndirectProbes(TimePoint Now,
                                            OutgoingMembershipMessages &Out) {
  bool Due = this->CurrentProbe && !this->CurrentProbe->IndirectProbesSent &&
             Now >= this->CurrentProbe->SentAt + this->Options.AckTimeout;
  if (!Due)
    return;
  this->CurrentProbe->IndirectProbesSent = true;
  InstanceId Target = this->CurrentProbe->Target;
  const KnownInstance *Known = this->Table.find(Target);
  if (!Known)
    return;
  Out.push_back(this->ping(Target, Known->Record.PeerEndpoint, Now));
  this->CurrentProbe->Sequences.push_back(this->LastSequence);
  auto Helpers = this->Targets.pickPeers(
      this->Table, Target, this->Options.IndirectProbes, this->Random);
  for (const InstanceId &Helper : Helpers) {
    MembershipMessage Request =
        this->makeMessage(Kind::PingRequest, Helper, Now);
    Request.Subject = Target;
    this->CurrentProbe->Sequences.push_back(Request.Sequence);
    Out.push_back({.To = this->Table.find(Helper)->Record.PeerEndpoint,
                   .Message = std::move(Request)});
  }
}

void MembershipProtocol::beginPeriod(TimePoint Now,
                                     OutgoingMembershipMessages &Out) {
  // The start of each period is random within a quarter of the period, so that
  // instances started together spread out.
  std::int64_t Quarter = this->Options.Period.count() / 4;
  Duration Jitter(
      this->Random.nextBelow(static_cast<std::uint32_t>(Quarter + 1)));
  this->NextPeriodAt =
      Now + this->Options.Period - Duration(Quarter / 2) + Jitter;
  ++this->Periods;
  this->finishProbe(Now);
  if (this->Periods % this->Options.ReconnectPeriods == 0)
    this->reconnect(Now, Out);
  if (!this->CurrentProbe) {
    auto Target = this->Targets.next(this->Table, this->Random);
    if (!Target)
      return;
    this->CurrentProbe =
        Probe{.Target = *Target, .SentAt = Now, .Sequences = {}, .Failures = 0};
  }
  const KnownInstance *Known = this->Table.find(this->CurrentProbe->Target);
  ++this->Counters.Probes;
  this->CurrentProbe->SentAt = Now;
  this->CurrentProbe->IndirectProbesSent = false;
  Out.push_back(
      this->ping(this->CurrentProbe->Target, Known->Record.PeerEndpoint, Now));
  this->CurrentProbe->Sequences = {this->LastSequence};
}

void MembershipProtocol::finishProbe(TimePoint Now) {
  if (!this->CurrentProbe)
    return;
  ++this->Counters.ProbesFailed;
  ++this->CurrentProbe->Failures;
  const KnownInstance *Known = this->Table.find(this->CurrentProbe->Target);
  bool NotLive = !Known || Known->Record.Health != InstanceHealth::Live;
  if (NotLive || !this->maySuspect(Known->Record)) {
    this->CurrentProbe.reset();
    return;
  }
  bool HasOthers = this->Table.notDeadCount() > 2;
  bool Isolated =
      HasOthers && Now > this->LastReceivedAt + 2 * this->Options.Period;
  unsigned Needed = Isolated ? this->Options.FailedProbesToSuspectIsolated
                             : this->Options.FailedProbesToSuspect;
  if (this->CurrentProbe->Failures < Needed)
    return;
  ++this->Counters.Suspicions;
  InstanceRecord Record = Known->Record;
  Record.Health = InstanceHealth::Suspect;
  this->CurrentProbe.reset();
  this->applyUpdate(Record, Now);
}

bool MembershipProtocol::maySuspect(const InstanceRecord &Target) const {
  return Target.Zone == this->Self.Zone ||
         this->Table.notDeadInZone(Target.Zone) < this->Options.SmallZoneSize;
}

void MembershipProtocol::reconnect(TimePoint Now,
                                   OutgoingMembershipMessages &Out) {
  std::vector<MembershipSeed> Absent;
  for (const MembershipSeed &Seed : this->Options.Seeds)
    if (!this->Table.find(Seed.Id))
      Absent.push_back(Seed);
  for (const auto &[Id, Entry] : this->PlatformInstances)
    if (!this->Table.find(Id))
      Absent.push_back(Entry.Instance);
  for (const InstanceId &Id : this->DeadInstances)
    Absent.push_back(
        {.Id = Id,
         .Zone = {},
         .PeerEndpoint = this->Table.find(Id)->Record.PeerEndpoint});
  if (Absent.empty())
    return;
  auto Count = static_cast<std::uint32_t>(Absent.size());
  const MembershipSeed &Chosen = Absent[this->Random.nextBelow(Count)];
  Out.push_back(this->ping(Chosen.Id, Chosen.PeerEndpoint, Now));
}

std::vector<MembershipSeed> MembershipProtocol::joinCandidates() const {
  std::vector<MembershipSeed> Candidates;
  std::vector<MembershipSeed> SameZone;
  for (const auto &[Id, Known] : this->Table.all()) {
    const InstanceRecord &Record = Known.Record;
    if (Id == this->Self.Id || Record.Health != InstanceHealth::Live)
      continue;
    MembershipSeed Seed{
        .Id = Id, .Zone = Record.Zone, .PeerEndpoint = Record.PeerEndpoint};
    (Record.Zone == this->Self.Zone ? SameZone : Candidates).push_back(Seed);
  }
  if (!SameZone.empty())
    return SameZone;
  for (const MembershipSeed &Seed : this->Options.Seeds)
    Candidates.push_back(Seed);
  for (const auto &[Id, Entry] : this->PlatformInstances)
    Candidates.push_back(Entry.Instance);
  return Candidates;
}

void MembershipProtocol::continueJoin(TimePoint Now,
                                      OutgoingMembershipMessages &Out) {
  JoinState &J = this->JoinProgress;
  if (J.Done || Now < J.NextAt)
    return;
  if (J.Waiting)
    ++J.Failures;
  std::vector<MembershipSeed> Candidates = this->joinCandidates();
  if (Candidates.empty() || J.Failures >= MaxJoinAttempts) {
    // No instance answers. Probes and digests fill the table later.
    J.Done = true;
    ++this->LocalVersion;
    return;
  }
  auto Count = static_cast<std::uint32_t>(Candidates.size());
  const MembershipSeed &Chosen = Candidates[this->Random.nextBelow(Count)];
  MembershipMessage Request =
      this->makeMessage(Kind::PageRequest, Chosen.Id, Now);
  Request.Cursor = J.Cursor;
  J.Sequence = Request.Sequence;
  J.Waiting = true;
  J.NextAt = Now + this->Options.PageTimeout;
  Out.push_back({.To = Chosen.PeerEndpoint, .Message = std::move(Request)});
}

void MembershipProtocol::onPlatformList(
    const std::vector<PlatformInstance> &List, TimePoint Now) {
  this->PlatformInstances.clear();
  for (const PlatformInstance &Each : List) {
    const InstanceId &Id = Each.Instance.Id;
    if (Id != this->Self.Id)
      this->PlatformInstances.emplace(Id, Each);
    const KnownInstance *Known = this->Table.find(Id);
    bool Applies =
        Known && Each.Leaving &&
        Each.SinceMilliseconds >= Known->Record.IncarnationNumber.Value;
    if (!Applies)
      continue;
    InstanceRecord Record = Known->Record;
    Record.Leaving = true;
    this->applyUpdate(Record, Now);
  }
}

OutgoingMembershipMessages MembershipProtocol::announce(TimePoint Now) {
  OutgoingMembershipMessages Out;
  auto Peers = this->Targets.pickPeers(this->Table, this->Self.Id,
                                       AnnounceFanout, this->Random);
  for (const InstanceId &Peer : Peers)
    Out.push_back(
        this->ping(Peer, this->Table.find(Peer)->Record.PeerEndpoint, Now));
  return Out;
}

OutgoingMembershipMessages MembershipProtocol::beginLeaving(TimePoint Now) {
  this->Self.Leaving = true;
  this->updateSelf();
  return this->announce(Now);
}

OutgoingMembershipMessages MembershipProtocol::depart(TimePoint Now) {
  this->Self.Leaving = true;
  this->Self.Health = InstanceHealth::Dead;
  this->updateSelf();
  return this->announce(Now);
}

Duration MembershipProtocol::suspicionTimeout() const {
  double Magnitude =
      std::log10(static_cast<double>(this->Table.notDeadCount()));
  double Factor = std::max(1.0, Magnitude);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(this->Options.SuspicionTimeoutStep.count()) *
      Factor));
}

Duration MembershipProtocol::zoneSilenceTimeout() const {
  // ContactIntervalPeriods is the number of periods in which the instances of
  // this zone together receive one message from each other zone, through their
  // own probes and those that reach them.
  double Own = static_cast<double>(
      std::max<std::size_t>(1, this->Table.notDeadInZone(this->Self.Zone)));
  double Zones = static_cast<double>(this->Table.zones().size());
  double Share = std::max(this->Targets.crossZoneProbeShare(this->Table), 0.1);
  double ContactIntervalPeriods = Zones / (Own * Share * 2);
  double SilentFor = SilentContactIntervals * ContactIntervalPeriods *
                     static_cast<double>(this->Options.Period.count());
  return this->Options.ZoneSilenceTimeout +
         Duration(static_cast<std::int64_t>(SilentFor));
}

std::set<ZoneId> MembershipProtocol::unreachableZones(TimePoint Now) const {
  std::set<ZoneId> Silent;
  Duration Timeout = this->zoneSilenceTimeout();
  for (const auto &[Zone, Members] : this->Table.zones()) {
    auto Silence = this->ZoneContacts.silence(Zone, Now);
    if (Zone != this->Self.Zone && Silence && *Silence > Timeout)
      Silent.insert(Zone);
  }
  return Silent;
}

std::uint64_t MembershipProtocol::version() const {
  return this->Table.version() + this->LocalVersion;
}

MembershipSnapshot MembershipProtocol::snapshot(TimePoint Now) const {
  std::set<ZoneId> Silent = this->unreachableZones(Now);
  std::vector<InstanceView> Views;
  Views.reserve(this->Table.size());
  for (const auto &[Id, Known] : this->Table.all()) {
    const InstanceRecord &Record = Known.Record;
    InstanceState State = InstanceState::Live;
    if (Record.Health == InstanceHealth::Dead)
      State = InstanceState::Dead;
    else if (Record.Leaving)
      State = InstanceState::Leaving;
    else if (Record.Health == InstanceHealth::Suspect)
      State = InstanceState::Suspect;
    else if (Silent.contains(Record.Zone))
      State = InstanceState::Unreachable;
    Views.push_back({.Id = Id,
                     .Zone = Record.Zone,
                     .PeerEndpoint = Record.PeerEndpoint,
                     .IncarnationNumber = Record.IncarnationNumber,
                     .State = State});
  }
  return {this->Self.Id, this->Self.Zone, this->JoinProgress.Done,
          this->SelfReplaced, std::move(Views)};
}

unsigned MembershipProtocol::retransmitLimit() const {
  return RetransmitFactor *
         static_cast<unsigned>(std::bit_width(this->Table.notDeadCount() + 1));
}

} // namespace turmericpitch
