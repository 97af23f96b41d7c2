// MembershipProtocol: taking in and making messages.
#include "membership/MembershipProtocol.h"
#include "membership/PeerFrame.h"

#include <algorithm>

namespace turmericpitch {

namespace {

using Kind = MembershipMessageKind;

constexpr std::size_t MostRelays = 64;
constexpr std::uint8_t DigestsPerProbe = 8;
/// Bytes left for further records.
std::size_t bytesLeft(const MembershipMessage &Message) {
  constexpr std::size_t SectionHead = 5;
  std::size_t Used = encodedSize(Message) + SectionHead;
  return Used < MaximumPeerPayload ? MaximumPeerPayload - Used : 0;
}

} // namespace

MembershipMessage MembershipProtocol::make(Kind Kind, const InstanceId &To,
                                           TimePoint Now) {
  MembershipMessage Message;
  Message.Kind = Kind;
  Message.To = To;
  Message.Sender = this->Self;
  Message.Sequence = ++this->LastSequence;
  const KnownInstance *Known = this->Table.find(To);
  if (Known && Known->Record.Zone == this->Self.Zone)
    Message.Zones = this->Reach.ages(Now);
  return Message;
}

void MembershipProtocol::addUpdates(MembershipMessage &Message,
                                    std::size_t Budget) {
  const KnownInstance *To = this->Table.find(Message.To);
  // Whoever is doubted or marked learns it here, so that it can answer.
  bool Doubted =
      To && (To->Record.Health != InstanceHealth::Live || To->Record.Leaving);
  if (Doubted)
    Message.Updates.push_back(To->Record);
  std::size_t Most = std::min(Budget, bytesLeft(Message));
  std::size_t Used = 0;
  this->News.tell(this->tellLimit(), [&](const InstanceId &Id) {
    const InstanceRecord &Record = this->Table.find(Id)->Record;
    Used += encodedSize(Record);
    if (Used > Most)
      return false;
    Message.Updates.push_back(Record);
    return true;
  });
}

void MembershipProtocol::addBuckets(MembershipMessage &Message) {
  constexpr std::uint32_t Groups = InstanceTable::BucketCount / DigestsPerProbe;
  auto First = static_cast<std::uint8_t>(this->Random.nextBelow(Groups) *
                                         DigestsPerProbe);
  Message.Buckets.First = First;
  for (std::size_t Index = 0; Index < DigestsPerProbe; ++Index)
    Message.Buckets.Digests.push_back(this->Table.digest(First + Index));
}

void MembershipProtocol::addDifferences(MembershipMessage &Message,
                                        const BucketDigests &Theirs) {
  std::size_t Most = bytesLeft(Message);
  std::size_t Used = 0;
  for (std::size_t Index = 0; Index < Theirs.Digests.size(); ++Index) {
    std::size_t Bucket = Theirs.First + Index;
    if (Bucket >= InstanceTable::BucketCount ||
        this->Table.digest(Bucket) == Theirs.Digests[Index])
      continue;
    for (const InstanceId &Id : this->Table.inBucket(Bucket)) {
      const InstanceRecord &Record = this->Table.find(Id)->Record;
      Used += encodedSize(Record);
      if (Used > Most)
        return;
      Message.Updates.push_back(Record);
    }
  }
}

MembershipSend MembershipProtocol::ping(const InstanceId &To,
                                        const Endpoint &Where, TimePoint Now) {
  MembershipMessage Message = this->make(Kind::Ping, To, Now);
  this->addUpdates(Message, this->Options.UpdateBytes);
  this->addBuckets(Message);
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
    this->learn(Sender, Now);
    Known = this->Table.find(From);
  }
  // One that only says goodbye is not remembered.
  bool Fresh = Known && Sender.Life >= Known->Record.Life &&
               Known->Received.admit(Sender.Life, Message.Sequence);
  if (!Fresh)
    ++this->Counters.Replayed;
  return Fresh;
}

MembershipSends MembershipProtocol::onMessage(const InstanceId &From,
                                              const MembershipMessage &Message,
                                              TimePoint Now) {
  if (!this->admit(From, Message, Now)) {
    // An instance whose clock went back between starts has to learn which
    // incarnation it must exceed.
    const KnownInstance *Known = this->Table.find(From);
    bool Behind = Message.To == this->Self.Id && Message.Sender.Id == From &&
                  Message.Kind == Kind::Ping && Known &&
                  Message.Sender.Life < Known->Record.Life;
    if (!Behind)
      return {};
    MembershipMessage Reply = this->make(Kind::Ack, From, Now);
    Reply.Updates.push_back(Known->Record);
    return {{.To = Message.Sender.Peers, .Message = std::move(Reply)}};
  }
  this->LastHeard = Now;
  this->learn(Message.Sender, Now);
  this->Reach.onHeard(Message.Sender.Zone, Now);
  if (Message.Sender.Zone == this->Self.Zone)
    this->Reach.onAges(Message.Zones, Now);
  for (const InstanceRecord &Update : Message.Updates)
    this->learn(Update, Now);
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

void MembershipProtocol::learn(const InstanceRecord &Heard, TimePoint Now) {
  if (Heard.Id == this->Self.Id) {
    this->learnAboutSelf(Heard);
    return;
  }
  bool Known = this->Table.find(Heard.Id) != nullptr;
  // The unknown dead would otherwise go round for ever.
  if (!Known && Heard.Health == InstanceHealth::Dead)
    return;
  if (!this->Table.merge(Heard))
    return;
  this->applyListed(Heard.Id);
  this->News.push(Heard.Id);
  this->Reach.onKnown(Heard.Zone, Now);
  KnownInstance &Entry = *this->Table.find(Heard.Id);
  Entry.Until = TimePoint{};
  this->Dead.erase(Heard.Id);
  if (Entry.Record.Health == InstanceHealth::Live)
    return;
  bool IsDead = Entry.Record.Health == InstanceHealth::Dead;
  if (IsDead)
    this->Dead.insert(Heard.Id);
  Entry.Until =
      Now + (IsDead ? this->Options.DeadRetention : this->suspicionLimit());
  this->Deadlines.emplace(Entry.Until, Heard.Id);
}

void MembershipProtocol::preload(const std::vector<InstanceRecord> &Records,
                                 TimePoint Now) {
  for (const InstanceRecord &Record : Records) {
    this->learn(Record, Now);
    this->News.erase(Record.Id);
  }
  this->Joining.Done = true;
}

void MembershipProtocol::applyListed(const InstanceId &Id) {
  auto Found = this->Listed.find(Id);
  if (Found == this->Listed.end() || !Found->second.Leaving)
    return;
  InstanceRecord Record = this->Table.find(Id)->Record;
  // A mark from before the instance's start was meant for an earlier one.
  if (Found->second.SinceMilliseconds < Record.Life.Value)
    return;
  Record.Leaving = true;
  this->Table.merge(Record);
}

void MembershipProtocol::learnAboutSelf(const InstanceRecord &Heard) {
  bool Departed = this->Self.Health == InstanceHealth::Dead;
  if (Heard.Life < this->Self.Life || Departed)
    return;
  bool Newer = Heard.Life > this->Self.Life;
  bool Elsewhere = Newer && Heard.Peers != this->Self.Peers &&
                   Heard.Health == InstanceHealth::Live;
  if (Elsewhere != this->Replaced) {
    this->Replaced = Elsewhere;
    ++this->OwnVersion;
  }
  if (Elsewhere)
    return;
  bool Marked = !Newer && Heard.Leaving && !this->Self.Leaving;
  bool Doubted = Newer || Heard.Health != InstanceHealth::Live;
  if (Marked)
    this->Self.Leaving = true;
  if (Doubted) {
    ++this->Counters.Refutations;
    this->Self.Life = Incarnation{Heard.Life.Value + 1};
  }
  if (Marked || Doubted)
    this->updateSelf();
}

MembershipSends MembershipProtocol::onPing(const MembershipMessage &Message,
                                           TimePoint Now) {
  MembershipMessage Reply = this->make(Kind::Ack, Message.Sender.Id, Now);
  Reply.Answers = Message.Sequence;
  Reply.Subject = this->Self.Id;
  this->addUpdates(Reply, this->Options.UpdateBytes);
  this->addDifferences(Reply, Message.Buckets);
  return {{.To = Message.Sender.Peers, .Message = std::move(Reply)}};
}

MembershipSends MembershipProtocol::onAck(const MembershipMessage &Message,
                                          TimePoint Now) {
  if (this->Current && this->Current->Target == Message.Subject) {
    const auto &Sent = this->Current->Sequences;
    if (std::find(Sent.begin(), Sent.end(), Message.Answers) != Sent.end())
      this->Current.reset();
  }
  auto Relayed = this->Relays.find(Message.Answers);
  if (Relayed == this->Relays.end())
    return {};
  Relay Origin = Relayed->second;
  this->Relays.erase(Relayed);
  const KnownInstance *Known = this->Table.find(Origin.Origin);
  if (!Known)
    return {};
  MembershipMessage Reply = this->make(Kind::Ack, Origin.Origin, Now);
  Reply.Answers = Origin.Sequence;
  Reply.Subject = Message.Sender.Id;
  return {{.To = Known->Record.Peers, .Message = std::move(Reply)}};
}

MembershipSends
MembershipProtocol::onPingRequest(const MembershipMessage &Message,
                                  TimePoint Now) {
  const KnownInstance *Target = this->Table.find(Message.Subject);
  if (!Target || Message.Subject == this->Self.Id)
    return {};
  // Tells a prober that hears nothing else that the fault isn't its own.
  MembershipMessage Taken = this->make(Kind::Ack, Message.Sender.Id, Now);
  Taken.Answers = Message.Sequence;
  Taken.Subject = this->Self.Id;
  MembershipSend Asked = this->ping(Message.Subject, Target->Record.Peers, Now);
  if (this->Relays.size() >= MostRelays)
    this->Relays.erase(this->Relays.begin());
  this->Relays.emplace(
      Asked.Message.Sequence,
      Relay{.Origin = Message.Sender.Id, .Sequence = Message.Sequence});
  return {std::move(Asked),
          {.To = Message.Sender.Peers, .Message = std::move(Taken)}};
}

MembershipSends
MembershipProtocol::onPageRequest(const MembershipMessage &Message,
                                  TimePoint Now) {
  MembershipMessage Reply = this->make(Kind::Page, Message.Sender.Id, Now);
  Reply.Answers = Message.Sequence;
  const auto &All = this->Table.all();
  // The cursor takes a name's length at most.
  constexpr std::size_t CursorBytes = 64;
  std::size_t Most = bytesLeft(Reply) - CursorBytes;
  std::size_t Used = 0;
  auto At = All.upper_bound(Message.Cursor);
  for (; At != All.end(); ++At) {
    const InstanceRecord &Record = At->second.Record;
    if (Record.Health == InstanceHealth::Dead)
      continue;
    Used += encodedSize(Record);
    if (Used > Most)
      break;
    Reply.Updates.push_back(Record);
  }
  bool More = At != All.end() && !Reply.Updates.empty();
  if (More)
    Reply.Cursor = Reply.Updates.back().Id;
  return {{.To = Message.Sender.Peers, .Message = std::move(Reply)}};
}

void MembershipProtocol::onPage(const MembershipMessage &Message,
                                TimePoint Now) {
  Join &J = this->Joining;
  if (J.Done || !J.Waiting || Message.Answers != J.Sequence)
    return;
  J.Waiting = false;
  J.Failures = 0;
  J.Cursor = Message.Cursor;
  J.NextAt = Now + this->Options.PageInterval;
  J.Done = J.Cursor.Value.empty();
  if (J.Done)
    ++this->OwnVersion;
}

} // namespace turmericpitch
