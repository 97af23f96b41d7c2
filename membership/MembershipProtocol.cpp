#include "membership/MembershipProtocol.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericpitch {

namespace {

using Kind = MembershipMessageKind;

constexpr std::size_t AnnouncedTo = 8;
constexpr unsigned TellFactor = 3;
constexpr unsigned JoinAttempts = 10;
constexpr double EvidenceIntervals = 8;

} // namespace

MembershipProtocol::MembershipProtocol(MembershipOptions Given,
                                       std::uint64_t Seed)
    : Options(std::move(Given)), Self{.Id = this->Options.Self.Id,
                                      .Zone = this->Options.Self.Zone,
                                      .Peers = this->Options.Self.Peers,
                                      .Life = this->Options.Life},
      Random(Seed),
      Targets(this->Self.Id, this->Self.Zone, this->Options.CrossZoneShare) {
  this->updateSelf();
}

void MembershipProtocol::updateSelf() {
  this->Table.merge(this->Self);
  this->News.push(this->Self.Id);
}

MembershipSends MembershipProtocol::onTick(TimePoint Now) {
  MembershipSends Out;
  this->noticePause(Now);
  this->LastTick = Now;
  this->expire(Now);
  this->widenProbe(Now, Out);
  if (Now >= this->NextPeriod)
    this->beginPeriod(Now, Out);
  this->continueJoin(Now, Out);
  std::set<ZoneId> Silent = this->unreachableZones(Now);
  if (Silent != this->Unreachable) {
    this->Unreachable = std::move(Silent);
    ++this->OwnVersion;
  }
  return Out;
}

TimePoint MembershipProtocol::nextTick() const {
  TimePoint Next = this->NextPeriod;
  if (this->Current && !this->Current->Widened)
    Next = std::min(Next, this->Current->SentAt + this->Options.AckLimit);
  if (!this->Deadlines.empty())
    Next = std::min(Next, this->Deadlines.begin()->first);
  if (!this->Joining.Done)
    Next = std::min(Next, this->Joining.NextAt);
  return Next;
}

void MembershipProtocol::noticePause(TimePoint Now) {
  if (!this->LastTick)
    return;
  Duration Gap = Now - *this->LastTick;
  if (Gap <= this->Options.PauseLimit)
    return;
  // Nobody's silence counts for the time in which nothing was listened to.
  ++this->Counters.Pauses;
  this->Current.reset();
  this->Reach.onPaused(Gap);
  std::set<std::pair<TimePoint, InstanceId>> Later;
  for (const auto &[At, Id] : this->Deadlines) {
    KnownInstance *Known = this->Table.find(Id);
    if (!Known || Known->Until != At)
      continue;
    Known->Until = At + Gap;
    Later.emplace(Known->Until, Id);
  }
  this->Deadlines = std::move(Later);
}

void MembershipProtocol::expire(TimePoint Now) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    auto [At, Id] = *this->Deadlines.begin();
    this->Deadlines.erase(this->Deadlines.begin());
    KnownInstance *Known = this->Table.find(Id);
    if (!Known || Known->Until != At)
      continue;
    InstanceRecord Record = Known->Record;
    if (Record.Health == InstanceHealth::Dead) {
      this->Table.erase(Id);
      this->News.erase(Id);
      this->Dead.erase(Id);
    } else if (Record.Health == InstanceHealth::Suspect) {
      ++this->Counters.Deaths;
      Record.Health = InstanceHealth::Dead;
      this->learn(Record, Now);
    }
  }
}

void MembershipProtocol::widenProbe(TimePoint Now, MembershipSends &Out) {
  bool Due = this->Current && !this->Current->Widened &&
             Now >= this->Current->SentAt + this->Options.AckLimit;
  if (!Due)
    return;
  this->Current->Widened = true;
  InstanceId Target = this->Current->Target;
  const KnownInstance *Known = this->Table.find(Target);
  if (!Known)
    return;
  Out.push_back(this->ping(Target, Known->Record.Peers, Now));
  this->Current->Sequences.push_back(this->LastSequence);
  auto Helpers = this->Targets.helpers(
      this->Table, Target, this->Options.IndirectProbes, this->Random);
  for (const InstanceId &Helper : Helpers) {
    MembershipMessage Request = this->make(Kind::PingRequest, Helper, Now);
    Request.Subject = Target;
    this->Current->Sequences.push_back(Request.Sequence);
    Out.push_back({.To = this->Table.find(Helper)->Record.Peers,
                   .Message = std::move(Request)});
  }
}

void MembershipProtocol::beginPeriod(TimePoint Now, MembershipSends &Out) {
  // Periods start at random within a quarter, so that instances started
  // together spread out.
  std::int64_t Quarter = this->Options.Period.count() / 4;
  Duration Jitter(
      this->Random.nextBelow(static_cast<std::uint32_t>(Quarter + 1)));
  this->NextPeriod =
      Now + this->Options.Period - Duration(Quarter / 2) + Jitter;
  ++this->Periods;
  this->finishProbe(Now);
  if (this->Periods % this->Options.ReconnectPeriods == 0)
    this->reconnect(Now, Out);
  if (!this->Current) {
    auto Target = this->Targets.next(this->Table, this->Random);
    if (!Target)
      return;
    this->Current =
        Probe{.Target = *Target, .SentAt = Now, .Sequences = {}, .Failures = 0};
  }
  const KnownInstance *Known = this->Table.find(this->Current->Target);
  ++this->Counters.Probes;
  this->Current->SentAt = Now;
  this->Current->Widened = false;
  Out.push_back(this->ping(this->Current->Target, Known->Record.Peers, Now));
  this->Current->Sequences = {this->LastSequence};
}

void MembershipProtocol::finishProbe(TimePoint Now) {
  if (!this->Current)
    return;
  ++this->Counters.ProbesFailed;
  ++this->Current->Failures;
  const KnownInstance *Known = this->Table.find(this->Current->Target);
  bool Gone = !Known || Known->Record.Health != InstanceHealth::Live;
  if (Gone || !this->maySuspect(Known->Record)) {
    this->Current.reset();
    return;
  }
  bool HasOthers = this->Table.present() > 2;
  bool Isolated = HasOthers && Now > this->LastHeard + 2 * this->Options.Period;
  unsigned Needed = Isolated ? this->Options.FailedProbesIsolated
                             : this->Options.FailedProbes;
  if (this->Current->Failures < Needed)
    return;
  ++this->Counters.Suspicions;
  InstanceRecord Record = Known->Record;
  Record.Health = InstanceHealth::Suspect;
  this->Current.reset();
  this->learn(Record, Now);
}

bool MembershipProtocol::maySuspect(const InstanceRecord &Target) const {
  return Target.Zone == this->Self.Zone ||
         this->Table.presentIn(Target.Zone) < this->Options.SmallZone;
}

void MembershipProtocol::reconnect(TimePoint Now, MembershipSends &Out) {
  std::vector<MembershipSeed> Absent;
  for (const MembershipSeed &Seed : this->Options.Seeds)
    if (!this->Table.find(Seed.Id))
      Absent.push_back(Seed);
  for (const auto &[Id, Entry] : this->Listed)
    if (!this->Table.find(Id))
      Absent.push_back(Entry.Instance);
  for (const InstanceId &Id : this->Dead)
    Absent.push_back(
        {.Id = Id, .Zone = {}, .Peers = this->Table.find(Id)->Record.Peers});
  if (Absent.empty())
    return;
  auto Count = static_cast<std::uint32_t>(Absent.size());
  const MembershipSeed &Chosen = Absent[this->Random.nextBelow(Count)];
  Out.push_back(this->ping(Chosen.Id, Chosen.Peers, Now));
}

std::vector<MembershipSeed> MembershipProtocol::joinCandidates() const {
  std::vector<MembershipSeed> Candidates;
  std::vector<MembershipSeed> Near;
  for (const auto &[Id, Known] : this->Table.all()) {
    const InstanceRecord &Record = Known.Record;
    if (Id == this->Self.Id || Record.Health != InstanceHealth::Live)
      continue;
    MembershipSeed Seed{.Id = Id, .Zone = Record.Zone, .Peers = Record.Peers};
    (Record.Zone == this->Self.Zone ? Near : Candidates).push_back(Seed);
  }
  if (!Near.empty())
    return Near;
  for (const MembershipSeed &Seed : this->Options.Seeds)
    Candidates.push_back(Seed);
  for (const auto &[Id, Entry] : this->Listed)
    Candidates.push_back(Entry.Instance);
  return Candidates;
}

void MembershipProtocol::continueJoin(TimePoint Now, MembershipSends &Out) {
  Join &J = this->Joining;
  if (J.Done || Now < J.NextAt)
    return;
  if (J.Waiting)
    ++J.Failures;
  std::vector<MembershipSeed> Candidates = this->joinCandidates();
  if (Candidates.empty() || J.Failures >= JoinAttempts) {
    // Nobody to ask: probes and digests bring what there is later.
    J.Done = true;
    ++this->OwnVersion;
    return;
  }
  auto Count = static_cast<std::uint32_t>(Candidates.size());
  const MembershipSeed &Chosen = Candidates[this->Random.nextBelow(Count)];
  MembershipMessage Request = this->make(Kind::PageRequest, Chosen.Id, Now);
  Request.Cursor = J.Cursor;
  J.Sequence = Request.Sequence;
  J.Waiting = true;
  J.NextAt = Now + this->Options.PageLimit;
  Out.push_back({.To = Chosen.Peers, .Message = std::move(Request)});
}

void MembershipProtocol::onPlatformList(
    const std::vector<PlatformInstance> &List, TimePoint Now) {
  this->Listed.clear();
  for (const PlatformInstance &Each : List) {
    const InstanceId &Id = Each.Instance.Id;
    if (Id != this->Self.Id)
      this->Listed.emplace(Id, Each);
    const KnownInstance *Known = this->Table.find(Id);
    bool Current = Known && Each.Leaving &&
                   Each.SinceMilliseconds >= Known->Record.Life.Value;
    if (!Current)
      continue;
    InstanceRecord Record = Known->Record;
    Record.Leaving = true;
    this->learn(Record, Now);
  }
}

MembershipSends MembershipProtocol::announce(TimePoint Now) {
  MembershipSends Out;
  auto Peers = this->Targets.helpers(this->Table, this->Self.Id, AnnouncedTo,
                                     this->Random);
  for (const InstanceId &Peer : Peers)
    Out.push_back(this->ping(Peer, this->Table.find(Peer)->Record.Peers, Now));
  return Out;
}

MembershipSends MembershipProtocol::beginLeaving(TimePoint Now) {
  this->Self.Leaving = true;
  this->updateSelf();
  return this->announce(Now);
}

MembershipSends MembershipProtocol::depart(TimePoint Now) {
  this->Self.Leaving = true;
  this->Self.Health = InstanceHealth::Dead;
  this->updateSelf();
  return this->announce(Now);
}

Duration MembershipProtocol::suspicionLimit() const {
  double Tens = std::log10(static_cast<double>(this->Table.present()));
  double Factor = std::max(1.0, Tens);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(this->Options.SuspicionStep.count()) * Factor));
}

Duration MembershipProtocol::zoneSilenceLimit() const {
  // The own zone together hears from each other zone once in this many
  // periods, by its own probes and by those that reach it.
  double Own = static_cast<double>(
      std::max<std::size_t>(1, this->Table.presentIn(this->Self.Zone)));
  double Zones = static_cast<double>(this->Table.zones().size());
  double Share = std::max(this->Targets.crossShare(this->Table), 0.1);
  double Interval = Zones / (Own * Share * 2);
  double Waits = EvidenceIntervals * Interval *
                 static_cast<double>(this->Options.Period.count());
  return this->Options.ZoneSilenceLimit +
         Duration(static_cast<std::int64_t>(Waits));
}

std::set<ZoneId> MembershipProtocol::unreachableZones(TimePoint Now) const {
  std::set<ZoneId> Silent;
  Duration Limit = this->zoneSilenceLimit();
  for (const auto &[Zone, Members] : this->Table.zones()) {
    auto Silence = this->Reach.silence(Zone, Now);
    if (Zone != this->Self.Zone && Silence && *Silence > Limit)
      Silent.insert(Zone);
  }
  return Silent;
}

std::uint64_t MembershipProtocol::version() const {
  return this->Table.version() + this->OwnVersion;
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
                     .Peers = Record.Peers,
                     .Life = Record.Life,
                     .State = State});
  }
  return {this->Self.Id, this->Self.Zone, this->Joining.Done, this->Replaced,
          std::move(Views)};
}

unsigned MembershipProtocol::tellLimit() const {
  return TellFactor *
         static_cast<unsigned>(std::bit_width(this->Table.present() + 1));
}

} // namespace turmericpitch
