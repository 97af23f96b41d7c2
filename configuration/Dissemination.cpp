#include "configuration/Dissemination.h"

#include "configuration/StoredConfiguration.h"
#include "membership/PeerFrame.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// A change that is forwarded also contains the tickets applied within this
/// time before, so that a lost or reordered datagram leaves no gap.
constexpr Duration RecentTicketWindow = std::chrono::seconds(5);
/// How long after requestReports() replies are still recorded.
constexpr Duration ReportCollectionPeriod = std::chrono::seconds(30);
/// Number of rounds without a message from any peer after which an instance
/// without a configuration reads the platform itself.
constexpr int RoundsWithoutPeers = 5;

bool fitsDatagram(const ConfigurationMessage &Message) {
  return encodeMessage(Message).size() <= MaximumPeerPayload;
}

} // namespace

Dissemination::Dissemination(DisseminationOptions Given,
                             ConfigurationController &Controller)
    : Options(std::move(Given)), Controller(Controller),
      Random(this->Options.Seed), Peers(std::make_shared<const PeerDirectory>(
                                      std::vector<ConfigurationPeer>{})) {}

void Dissemination::onPeers(SharedPeerDirectory LivePeers) {
  this->Peers = std::move(LivePeers);
  this->ReaderRank =
      this->Peers->readerRank(this->Options.Self, this->Options.Zone);
}

TicketNumber Dissemination::newestTicket() const {
  SharedConfiguration Active = this->Controller.current();
  return Active ? Active->newestTicket() : TicketNumber{};
}

ConfigurationProblem Dissemination::problem() const {
  if (this->newestTicket() == TicketNumber{})
    return ConfigurationProblem::Empty;
  return this->Problem;
}

ConfigurationAnnouncement Dissemination::announcement(TimePoint Now) const {
  SharedConfiguration Active = this->Controller.current();
  ConfigurationAnnouncement Message;
  if (Active) {
    Message.Newest = Active->newestTicket();
    Message.Digest = Active->head().Digest;
  }
  Message.PlatformReplyAge = Now - this->LastPlatformReply;
  Message.Problem = this->problem();
  return Message;
}

DisseminationActions Dissemination::onTick(TimePoint Now) {
  DisseminationActions Actions;
  if (!this->StartedAt)
    this->start(Now);
  if (Now >= this->NextRound) {
    this->announceToRandomPeers(Now, Actions);
    Duration Interval = this->newestTicket() == TicketNumber{}
                            ? this->Options.EmptyRoundInterval
                            : this->Options.RoundInterval;
    this->NextRound = Now + Interval;
  }
  if (Now >= this->NextRead) {
    if (!this->ReadPending && this->mayReadPlatform(Now))
      this->readPlatform(Actions);
    this->NextRead = Now + this->Options.ReadInterval;
  }
  return Actions;
}

void Dissemination::start(TimePoint Now) {
  this->StartedAt = Now;
  this->LastPlatformReply = std::max(this->LastPlatformReply, Now);
  this->NextRound = Now;
  auto Bound = static_cast<std::uint32_t>(this->Options.ReadInterval.count());
  this->NextRead = Now + Duration(this->Random.nextBelow(Bound));
}

void Dissemination::readPlatform(DisseminationActions &Actions) {
  SharedConfiguration Active = this->Controller.current();
  this->ReadPending = true;
  Actions.emplace_back(ReadPlatform{
      RangeRequest{.Key = std::string(ConfigurationPrefix),
                   .Prefix = true,
                   .ModifiedSince = Active ? Active->revision() : Revision{}}});
}

TimePoint Dissemination::nextTick() const {
  return std::min(this->NextRound, this->NextRead);
}

bool Dissemination::mayReadPlatform(TimePoint Now) {
  if (this->ReaderRank < this->Options.ReadersPerZone)
    return true;
  Duration WaitForPeers = RoundsWithoutPeers * this->Options.EmptyRoundInterval;
  bool NoPeers = this->newestTicket() == TicketNumber{} &&
                 !this->ReceivedFromPeer &&
                 Now - *this->StartedAt >= WaitForPeers;
  if (NoPeers)
    return true;
  std::size_t StandbyRank = this->ReaderRank - this->Options.ReadersPerZone;
  if (StandbyRank >= this->Options.StandbyReaders)
    return false;
  Duration Timeout = this->Options.PlatformTimeout +
                     this->Options.ReadInterval * static_cast<int>(StandbyRank);
  // The reads of this standby reader renew LastPlatformReply. Without a minimum
  // duration it would stop after its first successful read.
  if (Now - this->LastPlatformReply > Timeout)
    this->StandbyUntil = Now + this->Options.StandbyDuration;
  return Now < this->StandbyUntil;
}

void Dissemination::scheduleRead(TimePoint Now) {
  if (this->ConsecutiveReadFailures == 0) {
    this->NextRead = Now + this->Options.ReadInterval;
    return;
  }
  constexpr std::uint32_t MaximumDoublings = 10;
  std::uint32_t Doublings =
      std::min(this->ConsecutiveReadFailures, MaximumDoublings);
  Duration MaximumPause =
      std::min<Duration>(this->Options.ReadInterval * (1 << Doublings),
                         this->Options.MaximumReadInterval);
  auto MaximumJitter = static_cast<std::uint32_t>(MaximumPause.count() / 2);
  this->NextRead =
      Now + MaximumPause / 2 + Duration(this->Random.nextBelow(MaximumJitter));
}

DisseminationActions
Dissemination::onPlatform(const Outcome<KeyValueAnswer> &Answer,
                          TimePoint Now) {
  DisseminationActions Actions;
  this->ReadPending = false;
  this->ConsecutiveReadFailures =
      Answer ? 0 : this->ConsecutiveReadFailures + 1;
  this->scheduleRead(Now);
  if (!Answer)
    return Actions;
  this->LastPlatformReply = Now;
  auto Stored =
      toOutcome([&] { return readStoredConfiguration(Answer.value()); });
  if (!Stored) {
    this->warn(Stored.error(), true, Actions);
    return Actions;
  }
  const ConfigurationChange &Change = Stored.value().Change;
  if (Change.HeadRevision > Revision{} || this->newestTicket() > TicketNumber{})
    this->apply(Change, true, Now, Actions);
  return Actions;
}

DisseminationActions
Dissemination::onAccepted(const ConfigurationChange &Change, TimePoint Now) {
  DisseminationActions Actions;
  this->LastPlatformReply = Now;
  this->apply(Change, false, Now, Actions);
  return Actions;
}

DisseminationActions
Dissemination::onCopy(const Outcome<ConfigurationChange> &Copy, TimePoint Now) {
  DisseminationActions Actions;
  this->FetchPending = false;
  if (Copy)
    this->apply(Copy.value(), false, Now, Actions);
  return Actions;
}

void Dissemination::apply(const ConfigurationChange &Change, bool FromPlatform,
                          TimePoint Now, DisseminationActions &Actions) {
  TicketNumber Before = this->newestTicket();
  ConfigurationChange Offered = Change;
  // The read requested all entries modified since a configuration that the
  // active one includes, so no change is missing.
  if (FromPlatform)
    Offered.After = std::min(Before, Change.Head.Newest);
  auto Applied = toOutcome([&] { return this->Controller.apply(Offered); });
  if (!Applied) {
    if (Applied.error().Kind == ErrorKind::BadRequest)
      this->Problem = Change.Head.Newest == Before
                          ? ConfigurationProblem::Diverged
                          : ConfigurationProblem::Unreadable;
    this->warn(Applied.error(), FromPlatform, Actions);
    return;
  }
  if (!Applied.value())
    return;
  this->Problem = ConfigurationProblem::None;
  this->LastWarning.reset();
  this->RecentlyApplied.push_back({.Before = Before, .At = Now});
  while (this->RecentlyApplied.front().At + RecentTicketWindow < Now)
    this->RecentlyApplied.pop_front();
  Actions.emplace_back(TicketApplied{this->newestTicket()});
  this->propagate(Now, Actions);
}

void Dissemination::warn(const Error &Failure, bool FromPlatform,
                         DisseminationActions &Actions) {
  // Gaps and superseded tickets from peers are expected: announcements deliver
  // the missing tickets, and older ones are ignored.
  bool Transient = Failure.Kind == ErrorKind::Unavailable ||
                   Failure.Kind == ErrorKind::Superseded;
  if (Transient && !FromPlatform)
    return;
  if (this->LastWarning == Failure)
    return;
  this->LastWarning = Failure;
  Actions.emplace_back(DisseminationWarning{Failure});
}

void Dissemination::propagate(TimePoint Now, DisseminationActions &Actions) {
  std::optional<ConfigurationMessage> Message;
  for (const AppliedTicket &Each : this->RecentlyApplied) {
    Message = this->updateFor(Each.Before, Now);
    if (std::holds_alternative<ConfigurationChange>(*Message))
      break;
  }
  auto Chosen = this->chooseFrom(this->Peers->inZone(this->Options.Zone),
                                 this->Options.SameZoneFanout);
  std::size_t Missing = this->Options.SameZoneFanout - Chosen.size();
  for (const auto *Peer :
       this->chooseAnywhere(this->Options.AnyZoneFanout + Missing))
    Chosen.push_back(Peer);
  for (const auto *Peer : Chosen)
    Actions.emplace_back(SendToPeer{.To = Peer->Where, .Message = *Message});
}

ConfigurationMessage Dissemination::updateFor(TicketNumber After,
                                              TimePoint Now) const {
  ConfigurationMessage Change = this->Controller.current()->changesAfter(After);
  if (fitsDatagram(Change))
    return Change;
  ConfigurationAnnouncement Announcement = this->announcement(Now);
  Announcement.OffersCopy = true;
  return Announcement;
}

DisseminationActions
Dissemination::onMessage(const InstanceId &From, const Endpoint &Where,
                         const ConfigurationMessage &Message, TimePoint Now) {
  DisseminationActions Actions;
  this->ReceivedFromPeer = true;
  if (const auto *Change = std::get_if<ConfigurationChange>(&Message)) {
    bool Gap = Change->After > this->newestTicket();
    if (Gap)
      Actions.emplace_back(
          SendToPeer{.To = Where, .Message = this->announcement(Now)});
    else
      this->apply(*Change, false, Now, Actions);
    return Actions;
  }
  const auto &Received = std::get<ConfigurationAnnouncement>(Message);
  if (Now < this->ReportsUntil)
    this->Reports[From] = {.Newest = Received.Newest,
                           .Problem = Received.Problem};
  this->onAnnouncement(Where, Received, Now, Actions);
  return Actions;
}

void Dissemination::onAnnouncement(const Endpoint &Where,
                                   const ConfigurationAnnouncement &Received,
                                   TimePoint Now,
                                   DisseminationActions &Actions) {
  this->LastPlatformReply =
      std::max(this->LastPlatformReply, Now - Received.PlatformReplyAge);
  ConfigurationAnnouncement Own = this->announcement(Now);
  if (Received.Newest == Own.Newest && Received.Digest != Own.Digest)
    this->onDiverged(Own.Newest, Actions);
  bool Behind = Received.Newest > Own.Newest;
  if (Behind && Received.OffersCopy && !this->FetchPending) {
    this->FetchPending = true;
    Actions.emplace_back(FetchCopy{.From = Where, .After = Own.Newest});
  }
  if (Received.Newest < Own.Newest)
    Actions.emplace_back(SendToPeer{
        .To = Where, .Message = this->updateFor(Received.Newest, Now)});
  if (Received.WantsReply || (Behind && !Received.OffersCopy))
    Actions.emplace_back(SendToPeer{.To = Where, .Message = Own});
}

void Dissemination::onDiverged(TicketNumber Number,
                               DisseminationActions &Actions) {
  this->Problem = ConfigurationProblem::Diverged;
  Error Warning{.Kind = ErrorKind::OutcomeUnknown,
                .Message = "a peer runs different content under ticket " +
                           std::to_string(Number.Value),
                .Remedy = "submit the intended state under a higher number"};
  this->warn(Warning, true, Actions);
}

void Dissemination::announceToRandomPeers(TimePoint Now,
                                          DisseminationActions &Actions) {
  ConfigurationAnnouncement Own = this->announcement(Now);
  auto Chosen = this->chooseFrom(this->Peers->inZone(this->Options.Zone), 1);
  for (const auto *Peer : this->chooseAnywhere(1))
    Chosen.push_back(Peer);
  for (const auto *Peer : Chosen)
    Actions.emplace_back(SendToPeer{.To = Peer->Where, .Message = Own});
}

std::vector<const ConfigurationPeer *>
Dissemination::chooseFrom(const std::vector<std::uint32_t> &From,
                          std::size_t Count) {
  return this->chooseBy(From.size(), Count,
                        [&](std::uint32_t Index) { return From[Index]; });
}

std::vector<const ConfigurationPeer *>
Dissemination::chooseAnywhere(std::size_t Count) {
  return this->chooseBy(this->Peers->all().size(), Count,
                        [](std::uint32_t Index) { return Index; });
}

template <typename ToIndex>
std::vector<const ConfigurationPeer *>
Dissemination::chooseBy(std::size_t Size, std::size_t Count,
                        ToIndex ToPeerIndex) {
  std::vector<const ConfigurationPeer *> Chosen;
  std::size_t AttemptsLeft = Size == 0 ? 0 : 2 * Count + 2;
  while (Chosen.size() < Count && AttemptsLeft-- > 0) {
    std::uint32_t Index =
        this->Random.nextBelow(static_cast<std::uint32_t>(Size));
    const ConfigurationPeer *Peer = &this->Peers->all()[ToPeerIndex(Index)];
    bool AlreadyChosen = std::ranges::find(Chosen, Peer) != Chosen.end();
    if (!AlreadyChosen && Peer->Id != this->Options.Self)
      Chosen.push_back(Peer);
  }
  return Chosen;
}

DisseminationActions Dissemination::requestReports(std::size_t First,
                                                   std::size_t Count,
                                                   TimePoint Now) {
  if (First == 0)
    this->Reports.clear();
  this->ReportsUntil = Now + ReportCollectionPeriod;
  DisseminationActions Actions;
  ConfigurationAnnouncement Request = this->announcement(Now);
  Request.WantsReply = true;
  const auto &All = this->Peers->all();
  std::size_t End = std::min(All.size(), First + Count);
  for (std::size_t Index = First; Index < End; ++Index)
    if (All[Index].Id != this->Options.Self)
      Actions.emplace_back(
          SendToPeer{.To = All[Index].Where, .Message = Request});
  return Actions;
}

} // namespace turmericpitch
