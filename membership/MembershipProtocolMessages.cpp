// MembershipProtocol: building and processing messages.
#include "membership/MembershipProtocol.h"
#include "membership/PeerFrame.h"

#include <algorithm>

namespace turmericpitch {

namespace {

using Kind = MembershipMessageKind;

/// Pings sent for other instances whose Acks are still awaited.
constexpr std::size_t MaxRelays = 64;
constexpr std::uint8_t DigestsPerProbe = 8;

/// Payload bytes left for further records.
std::size_t bytesLeft(const MembershipMessage &Message) {
  constexpr std::size_t SectionHeaderBytes = 5;
  std::size_t Used = encodedSize(Message) + SectionHeaderBytes;
  return Used < MaximumPeerPayload ? MaximumPeerPayload - Used : 0;
}

} // namespace

MembershipMessage MembershipProtocol::makeMessage(Kind Kind,
                                                  const InstanceId &To,
                                                  TimePoint Now) {
  MembershipMessage Message;
  Message.Kind = Kind;
  Message.To = To;
  Message.Sender = this->Self;
  Message.Sequence = ++this->LastSequence;
  const KnownInstance *Known = this->Table.find(To);
  if (Known && Known->Record.Zone == this->Self.Zone)
    Message.Zones = this->ZoneContacts.ages(Now);
  return Message;
}

void MembershipProtocol::addUpdates(MembershipMessage &Message,
                                    std::size_t Budget) {
  const KnownInstance *To = this->Table.find(Message.To);
  // A target that is suspect, dead or marked as leaving receives its own
  // record, so that it can refute it or begin to drain.
  bool TargetMarked =
      To && (To->Record.Health != InstanceHealth::Live || To->Record.Leaving);
  if (TargetMarked)
    Message.Updates.push_back(To->Record);
  std::size_t MaxBytes = std::min(Budget, bytesLeft(Message));
  std::size_t Used = 0;
  this->PendingUpdates.transmit(
      this->retransmitLimit(), [&](const InstanceId &Id) {
        const InstanceRecord &Record = this->Table.find(Id)->Record;
        Used += encodedSize(Record);
        if (Used > MaxBytes)
          return false;
        Message.Updates.push_back(Record);
        return true;
      });
}

void MembershipProtocol::addBucketDigests(MembershipMessage &Message) {
  constexpr std::uint32_t Groups = InstanceTable::BucketCount / DigestsPerProbe;
  auto First = static_cast<std::uint8_t>(this->Random.nextBelow(Groups) *
                                         DigestsPerProbe);
  Message.Buckets.First = First;
  for (std::size_t Index = 0; Index < DigestsPerProbe; ++Index)
    Message.Buckets.Digests.push_back(this->Table.digest(First + Index));
}

void MembershipProtocol::addBucketDifferences(MembershipMessage &Message,
                                              const BucketDigests &Remote) {
  std::size_t MaxBytes = bytesLeft(Message);
  std::size_t Used = 0;
  for (std::size_t Index = 0; Index < Remote.Digests.size(); ++Index) {
    std::size_t Bucket = Remote.First + Index;
    if (Bucket >= InstanceTable::BucketCount ||
        this->Table.digest(Bucket) == Remote.Digests[Index])
      continue;
    for (const InstanceId &Id : this->Table.inBucket(Bucket)) {
      const InstanceRecord &Record = this->Table.find(Id)->Record;
      Used += encodedSize(Record);
      if (Used > MaxBytes)
        return;
      Message.Updates.push_back(Record);
    }
  }
}

OutgoingMembershipMessage MembershipProtocol::ping(const InstanceId &To,
                                                   const Endpoint &Where,
                                                   TimePoint Now) {
  MembershipMessage Message = this->makeMessage(Kind::Ping, To, Now);
  this->addUpdates(Message, this->Options.UpdateBytes);
  this->addBucketDigests(Message);
  return {.To = Where, .Message = std::move(Message)};
}

bool MembershipProtocol::admit(const InstanceId &From,
                               const MembershipMessage &Message,
                               TimePoint Now) {
  const InstanceRecord &Sender = Message.Sender;
  bool Addressed =
      Message.To == this->Self.Id && Sender.Id == From && From != this->Self.Id;
  if (!Addressed) {
    ++this->Counters.Misaddressed;
    return false;
  }
  KnownInstance *Known = this->Table.find(From);
  if (!Known) {
    this->applyUpdate(Sender, Now);
    Known = this->Table.find(From);
  }
  // An unknown sender that departs is not added to the table.
  bool Fresh = Known &&
               Sender.IncarnationNumber >= Known->Record.IncarnationNumber &&
               Known->Replays.admit(Sender.IncarnationNumber, Message.Sequence);
  if (!Fresh)
    ++this->Counters.Replayed;
  return Fresh;
}

OutgoingMembershipMessages
MembershipProtocol::onMessage(const InstanceId &From,
                              const MembershipMessage &Message, TimePoint Now) {
  if (!this->admit(From, Message, Now)) {
    // An instance whose clock moved backwards between two starts has to learn
    // which incarnation it must exceed.
    const KnownInstance *Known = this->Table.find(From);
    bool Behind =
        Message.To == this->Self.Id && Message.Sender.Id == From &&
        Message.Kind == Kind::Ping && Known &&
        Message.Sender.IncarnationNumber < Known->Record.IncarnationNumber;
    if (!Behind)
      return {};
    MembershipMessage Reply = this->makeMessage(Kind::Ack, From, Now);
    Reply.Updates.push_back(Known->Record);
    return {{.To = Message.Sender.PeerEndpoint, .Message = std::move(Reply)}};
  }
  this->LastReceivedAt = Now;
  this->applyUpdate(Message.Sender, Now);
  this->ZoneContacts.onContact(Message.Sender.Zone, Now);
  if (Message.Sender.Zone == this->Self.Zone)
    this->ZoneContacts.onReportedAges(Message.Zones, Now);
  for (const InstanceRecord &Update : Message.Updates)
    this->applyUpdate(Update, Now);
  switch (Message.Kind) {
  case Kind::Ping:
    return this->onPing(Message, Now);
  case Kind::Ack:
    return this->onAck(Message, Now);
  case Kind::PingRequest:
    return this->onPingRequest(Message, Now);
  case Kind::PageRequest:
    return this->onPageRequest(Message, Now);
  case Kind::Page:
    this->onPage(Message, Now);
    break;
  }
  return {};
}

void MembershipProtocol::applyUpdate(const InstanceRecord &Received,
                                     TimePoint Now) {
  if (Received.Id == this->Self.Id) {
    this->applyUpdateAboutSelf(Received);
    return;
  }
  bool Known = this->Table.find(Received.Id) != nullptr;
  // Dead instances that were unknown here would otherwise be passed on
  // forever.
  if (!Known && Received.Health == InstanceHealth::Dead)
    return;
  if (!this->Table.merge(Received))
    return;
  this->applyPlatformMark(Received.Id);
  this->PendingUpdates.push(Received.Id);
  this->ZoneContacts.onZoneDiscovered(Received.Zone, Now);
  KnownInstance &Entry = *this->Table.find(Received.Id);
  Entry.ExpiresAt = TimePoint{};
  this->DeadInstances.erase(Received.Id);
  if (Entry.Record.Health == InstanceHealth::Live)
    return;
  bool IsDead = Entry.Record.Health == InstanceHealth::Dead;
  if (IsDead)
    this->DeadInstances.insert(Received.Id);
  Entry.ExpiresAt =
      Now + (IsDead ? this->Options.DeadRetention : this->suspicionTimeout());
  this->Deadlines.emplace(Entry.ExpiresAt, Received.Id);
}

void MembershipProtocol::preload(const std::vector<InstanceRecord> &Records,
                                 TimePoint Now) {
  for (const InstanceRecord &Record : Records) {
    this->applyUpdate(Record, Now);
    this->PendingUpdates.erase(Record.Id);
  }
  this->JoinProgress.Done = true;
}

void MembershipProtocol::applyPlatformMark(const InstanceId &Id) {
  auto Found = this->PlatformInstances.find(Id);
  if (Found == this->PlatformInstances.end() || !Found->second.Leaving)
    return;
  InstanceRecord Record = this->Table.find(Id)->Record;
  // A mark set before the instance started applies to an earlier incarnation.
  if (Found->second.SinceMilliseconds < Record.IncarnationNumber.Value)
    return;
  Record.Leaving = true;
  this->Table.merge(Record);
}

void MembershipProtocol::applyUpdateAboutSelf(const InstanceRecord &Received) {
  bool Departed = this->Self.Health == InstanceHealth::Dead;
  if (Received.IncarnationNumber < this->Self.IncarnationNumber || Departed)
    return;
  bool Newer = Received.IncarnationNumber > this->Self.IncarnationNumber;
  bool RunsElsewhere = Newer &&
                       Received.PeerEndpoint != this->Self.PeerEndpoint &&
                       Received.Health == InstanceHealth::Live;
  if (RunsElsewhere != this->SelfReplaced) {
    this->SelfReplaced = RunsElsewhere;
    ++this->LocalVersion;
  }
  if (RunsElsewhere)
    return;
  bool Marked = !Newer && Received.Leaving && !this->Self.Leaving;
  bool MustRefute = Newer || Received.Health != InstanceHealth::Live;
  if (Marked)
    this->Self.Leaving = true;
  if (MustRefute) {
    ++this->Counters.Refutations;
    this->Self.IncarnationNumber =
        Incarnation{Received.IncarnationNumber.Value + 1};
  }
  if (Marked || MustRefute)
    this->updateSelf();
}

OutgoingMembershipMessages
MembershipProtocol::onPing(const MembershipMessage &Message, TimePoint Now) {
  MembershipMessage Reply =
      this->makeMessage(Kind::Ack, Message.Sender.Id, Now);
  Reply.InReplyTo = Message.Sequence;
  Reply.Subject = this->Self.Id;
  this->addUpdates(Reply, this->Options.UpdateBytes);
  this->addBucketDifferences(Reply, Message.Buckets);
  return {{.To = Message.Sender.PeerEndpoint, .Message = std::move(Reply)}};
}

OutgoingMembershipMessages
MembershipProtocol::onAck(const MembershipMessage &Message, TimePoint Now) {
  if (this->CurrentProbe && this->CurrentProbe->Target == Message.Subject) {
    const auto &Sent = this->CurrentProbe->Sequences;
    if (std::find(Sent.begin(), Sent.end(), Message.InReplyTo) != Sent.end())
      this->CurrentProbe.reset();
  }
  auto Relayed = this->Relays.find(Message.InReplyTo);
  if (Relayed == this->Relays.end())
    return {};
  Relay Pending = Relayed->second;
  this->Relays.erase(Relayed);
  const KnownInstance *Known = this->Table.find(Pending.Origin);
  if (!Known)
    return {};
  MembershipMessage Reply = this->makeMessage(Kind::Ack, Pending.Origin, Now);
  Reply.InReplyTo = Pending.Sequence;
  Reply.Subject = Message.Sender.Id;
  return {{.To = Known->Record.PeerEndpoint, .Message = std::move(Reply)}};
}

OutgoingMembershipMessages
MembershipProtocol::onPingRequest(const MembershipMessage &Message,
                                  TimePoint Now) {
  const KnownInstance *Target = this->Table.find(Message.Subject);
  if (!Target || Message.Subject == this->Self.Id)
    return {};
  // Acknowledges the request itself, so that a prober whose probes all fail can
  // tell that its own network works.
  MembershipMessage Confirmation =
      this->makeMessage(Kind::Ack, Message.Sender.Id, Now);
  Confirmation.InReplyTo = Message.Sequence;
  Confirmation.Subject = this->Self.Id;
  OutgoingMembershipMessage Ping =
      this->ping(Message.Subject, Target->Record.PeerEndpoint, Now);
  if (this->Relays.size() >= MaxRelays)
    this->Relays.erase(this->Relays.begin());
  this->Relays.emplace(
      Ping.Message.Sequence,
      Relay{.Origin = Message.Sender.Id, .Sequence = Message.Sequence});
  return {
      std::move(Ping),
      {.To = Message.Sender.PeerEndpoint, .Message = std::move(Confirmation)}};
}

OutgoingMembershipMessages
MembershipProtocol::onPageRequest(const MembershipMessage &Message,
                                  TimePoint Now) {
  MembershipMessage Reply =
      this->makeMessage(Kind::Page, Message.Sender.Id, Now);
  Reply.InReplyTo = Message.Sequence;
  const auto &All = this->Table.all();
  // The cursor is at most as long as an instance name.
  constexpr std::size_t CursorBytes = 64;
  std::size_t MaxBytes = bytesLeft(Reply) - CursorBytes;
  std::size_t Used = 0;
  auto At = All.upper_bound(Message.Cursor);
  for (; At != All.end(); ++At) {
    const InstanceRecord &Record = At->second.Record;
    if (Record.Health == InstanceHealth::Dead)
      continue;
    Used += encodedSize(Record);
    if (Used > MaxBytes)
      break;
    Reply.Updates.push_back(Record);
  }
  bool More = At != All.end() && !Reply.Updates.empty();
  if (More)
    Reply.Cursor = Reply.Updates.back().Id;
  return {{.To = Message.Sender.PeerEndpoint, .Message = std::move(Reply)}};
}

void MembershipProtocol::onPage(const MembershipMessage &Message,
                                TimePoint Now) {
  JoinState &J = this->JoinProgress;
  if (J.Done || !J.Waiting || Message.InReplyTo != J.Sequence)
    return;
  J.Waiting = false;
  J.Failures = 0;
  J.Cursor = Message.Cursor;
  J.NextAt = Now + this->Options.PageInterval;
  J.Done = J.Cursor.Value.empty();
  if (J.Done)
    ++this->LocalVersion;
}

} // namespace turmericpitch
