#include "configuration/Dissemination.h"

#include "configuration/StoredConfiguration.h"
#include "membership/PeerFrame.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// A change sent at once also holds the tickets of this long before, so that
/// one lost or overtaken on the way leaves no gap.
constexpr Duration RecentTickets = std::chrono::seconds(5);
/// How long answers to askPeers() are kept.
constexpr Duration ReportLife = std::chrono::seconds(30);
/// Rounds without hearing any peer before an empty instance reads the
/// platform by itself.
constexpr int LonelyRounds = 5;

bool fits(const ConfigurationMessage &Message) {
  return encodeMessage(Message).size() <= MaximumPeerPayload;
}

} // namespace

Dissemination::Dissemination(DisseminationOptions Given,
                             ConfigurationController &Controller)
    : Options(std::move(Given)), Controller(Controller),
      Random(this->Options.Seed), Peers(std::make_shared<const PeerDirectory>(
                                      std::vector<ConfigurationPeer>{})) {}

void Dissemination::onPeers(SharedPeers Believed) {
  this->Peers = std::move(Believed);
  this->ReaderRank =
      this->Peers->readerRank(this->Options.Self, this->Options.Zone);
}

TicketNumber Dissemination::newest() const {
  SharedConfiguration Present = this->Controller.current();
  return Present ? Present->newestTicket() : TicketNumber{};
}

ConfigurationProblem Dissemination::problem() const {
  if (this->newest() == TicketNumber{})
    return ConfigurationProblem::Empty;
  return this->Problem;
}

ConfigurationAnnouncement Dissemination::announcement(TimePoint Now) const {
  SharedConfiguration Present = this->Controller.current();
  ConfigurationAnnouncement Message;
  if (Present) {
    Message.Newest = Present->newestTicket();
    Message.Digest = Present->head().Digest;
  }
  Message.PlatformAge = Now - this->LastPlatform;
  Message.Problem = this->problem();
  return Message;
}

DisseminationActions Dissemination::onTick(TimePoint Now) {
  DisseminationActions Actions;
  if (!this->StartedAt)
    this->begin(Now);
  if (Now >= this->NextRound) {
    this->announceToRandomPeers(Now, Actions);
    Duration Interval = this->newest() == TicketNumber{}
                            ? this->Options.EmptyRoundInterval
                            : this->Options.RoundInterval;
    this->NextRound = Now + Interval;
  }
  if (Now >= this->NextRead) {
    if (!this->Reading && this->mayReadPlatform(Now))
      this->readPlatform(Actions);
    this->NextRead = Now + this->Options.ReadInterval;
  }
  return Actions;
}

void Dissemination::begin(TimePoint Now) {
  this->StartedAt = Now;
  this->LastPlatform = std::max(this->LastPlatform, Now);
  this->NextRound = Now;
  auto Bound = static_cast<std::uint32_t>(this->Options.ReadInterval.count());
  this->NextRead = Now + Duration(this->Random.nextBelow(Bound));
}

void Dissemination::readPlatform(DisseminationActions &Actions) {
  SharedConfiguration Present = this->Controller.current();
  this->Reading = true;
  Actions.emplace_back(ReadPlatform{RangeRequest{
      .Key = std::string(ConfigurationPrefix),
      .Prefix = true,
      .ModifiedSince = Present ? Present->revision() : Revision{}}});
}

TimePoint Dissemination::nextTick() const {
  return std::min(this->NextRound, this->NextRead);
}

bool Dissemination::mayReadPlatform(TimePoint Now) {
  if (this->ReaderRank < this->Options.ReadersPerZone)
    return true;
  Duration Alone = LonelyRounds * this->Options.EmptyRoundInterval;
  bool Lonely = this->newest() == TicketNumber{} && !this->HeardPeer &&
                Now - *this->StartedAt >= Alone;
  if (Lonely)
    return true;
  std::size_t Standby = this->ReaderRank - this->Options.ReadersPerZone;
  if (Standby >= this->Options.StandbyReaders)
    return false;
  Duration Patience = this->Options.PlatformSilence +
                      this->Options.ReadInterval * static_cast<int>(Standby);
  // Its own reads end the silence, so the duty is kept for a while.
  if (Now - this->LastPlatform > Patience)
    this->StandbyUntil = Now + this->Options.StandbyTerm;
  return Now < this->StandbyUntil;
}

void Dissemination::scheduleRead(TimePoint Now) {
  if (this->ReadFailures == 0) {
    this->NextRead = Now + this->Options.ReadInterval;
    return;
  }
  constexpr std::uint32_t MaximumDoublings = 10;
  std::uint32_t Doublings = std::min(this->ReadFailures, MaximumDoublings);
  Duration Longest =
      std::min<Duration>(this->Options.ReadInterval * (1 << Doublings),
                         this->Options.MaximumReadInterval);
  auto Half = static_cast<std::uint32_t>(Longest.count() / 2);
  this->NextRead = Now + Longest / 2 + Duration(this->Random.nextBelow(Half));
}

DisseminationActions
Dissemination::onPlatform(const Outcome<KeyValueAnswer> &Answer,
                          TimePoint Now) {
  DisseminationActions Actions;
  this->Reading = false;
  this->ReadFailures = Answer ? 0 : this->ReadFailures + 1;
  this->scheduleRead(Now);
  if (!Answer)
    return Actions;
  this->LastPlatform = Now;
  auto Stored =
      toOutcome([&] { return readStoredConfiguration(Answer.value()); });
  if (!Stored) {
    this->onRefused(Stored.error(), true, Actions);
    return Actions;
  }
  const ConfigurationChange &Change = Stored.value().Change;
  if (Change.HeadModified > Revision{} || this->newest() > TicketNumber{})
    this->apply(Change, true, Now, Actions);
  return Actions;
}

DisseminationActions
Dissemination::onAccepted(const ConfigurationChange &Change, TimePoint Now) {
  DisseminationActions Actions;
  this->LastPlatform = Now;
  this->apply(Change, false, Now, Actions);
  return Actions;
}

DisseminationActions
Dissemination::onCopy(const Outcome<ConfigurationChange> &Copy, TimePoint Now) {
  DisseminationActions Actions;
  this->Fetching = false;
  if (Copy)
    this->apply(Copy.value(), false, Now, Actions);
  return Actions;
}

void Dissemination::apply(const ConfigurationChange &Change, bool FromPlatform,
                          TimePoint Now, DisseminationActions &Actions) {
  TicketNumber Before = this->newest();
  ConfigurationChange Offered = Change;
  // The platform was asked for all that came after a configuration which the
  // one in force includes.
  if (FromPlatform)
    Offered.After = std::min(Before, Change.Head.Newest);
  auto Later = toOutcome([&] { return this->Controller.apply(Offered); });
  if (!Later) {
    if (Later.error().Kind == ErrorKind::BadRequest)
      this->Problem = Change.Head.Newest == Before
                          ? ConfigurationProblem::Diverged
                          : ConfigurationProblem::Unreadable;
    this->onRefused(Later.error(), FromPlatform, Actions);
    return;
  }
  if (!Later.value())
    return;
  this->Problem = ConfigurationProblem::None;
  this->LastWarning.reset();
  this->Recent.push_back({.Before = Before, .At = Now});
  while (this->Recent.front().At + RecentTickets < Now)
    this->Recent.pop_front();
  Actions.emplace_back(TicketApplied{this->newest()});
  this->spread(Now, Actions);
}

void Dissemination::onRefused(const Error &Failure, bool FromPlatform,
                              DisseminationActions &Actions) {
  // From a peer, a gap closes by itself and an older ticket is old news.
  bool Harmless = Failure.Kind == ErrorKind::Unavailable ||
                  Failure.Kind == ErrorKind::Superseded;
  if (Harmless && !FromPlatform)
    return;
  if (this->LastWarning == Failure)
    return;
  this->LastWarning = Failure;
  Actions.emplace_back(DisseminationWarning{Failure});
}

void Dissemination::spread(TimePoint Now, DisseminationActions &Actions) {
  std::optional<ConfigurationMessage> Message;
  for (const Applied &Each : this->Recent) {
    Message = this->updateFor(Each.Before, Now);
    if (std::holds_alternative<ConfigurationChange>(*Message))
      break;
  }
  auto Chosen = this->choose(this->Peers->inZone(this->Options.Zone),
                             this->Options.NearFanout);
  std::size_t Missing = this->Options.NearFanout - Chosen.size();
  for (const auto *Peer :
       this->chooseAnywhere(this->Options.FarFanout + Missing))
    Chosen.push_back(Peer);
  for (const auto *Peer : Chosen)
    Actions.emplace_back(SendToPeer{.To = Peer->Where, .Message = *Message});
}

ConfigurationMessage Dissemination::updateFor(TicketNumber After,
                                              TimePoint Now) const {
  ConfigurationMessage Change = this->Controller.current()->changesAfter(After);
  if (fits(Change))
    return Change;
  ConfigurationAnnouncement Offer = this->announcement(Now);
  Offer.OffersCopy = true;
  return Offer;
}

DisseminationActions
Dissemination::onMessage(const InstanceId &From, const Endpoint &Where,
                         const ConfigurationMessage &Message, TimePoint Now) {
  DisseminationActions Actions;
  this->HeardPeer = true;
  if (const auto *Change = std::get_if<ConfigurationChange>(&Message)) {
    bool Gap = Change->After > this->newest();
    if (Gap)
      Actions.emplace_back(
          SendToPeer{.To = Where, .Message = this->announcement(Now)});
    else
      this->apply(*Change, false, Now, Actions);
    return Actions;
  }
  const auto &Heard = std::get<ConfigurationAnnouncement>(Message);
  if (Now < this->ReportsUntil)
    this->Reports[From] = {.Newest = Heard.Newest, .Problem = Heard.Problem};
  this->onAnnouncement(Where, Heard, Now, Actions);
  return Actions;
}

void Dissemination::onAnnouncement(const Endpoint &Where,
                                   const ConfigurationAnnouncement &Heard,
                                   TimePoint Now,
                                   DisseminationActions &Actions) {
  this->LastPlatform = std::max(this->LastPlatform, Now - Heard.PlatformAge);
  ConfigurationAnnouncement Own = this->announcement(Now);
  if (Heard.Newest == Own.Newest && Heard.Digest != Own.Digest)
    this->onDiverged(Own.Newest, Actions);
  bool Behind = Heard.Newest > Own.Newest;
  if (Behind && Heard.OffersCopy && !this->Fetching) {
    this->Fetching = true;
    Actions.emplace_back(FetchCopy{.From = Where, .After = Own.Newest});
  }
  if (Heard.Newest < Own.Newest)
    Actions.emplace_back(
        SendToPeer{.To = Where, .Message = this->updateFor(Heard.Newest, Now)});
  if (Heard.WantsReply || (Behind && !Heard.OffersCopy))
    Actions.emplace_back(SendToPeer{.To = Where, .Message = Own});
}

void Dissemination::onDiverged(TicketNumber Number,
                               DisseminationActions &Actions) {
  this->Problem = ConfigurationProblem::Diverged;
  Error Warning{.Kind = ErrorKind::OutcomeUnknown,
                .Message = "a peer runs other content under ticket " +
                           std::to_string(Number.Value),
                .Remedy = "submit the wanted state under a higher number"};
  this->onRefused(Warning, true, Actions);
}

void Dissemination::announceToRandomPeers(TimePoint Now,
                                          DisseminationActions &Actions) {
  ConfigurationAnnouncement Own = this->announcement(Now);
  auto Chosen = this->choose(this->Peers->inZone(this->Options.Zone), 1);
  for (const auto *Peer : this->chooseAnywhere(1))
    Chosen.push_back(Peer);
  for (const auto *Peer : Chosen)
    Actions.emplace_back(SendToPeer{.To = Peer->Where, .Message = Own});
}

std::vector<const ConfigurationPeer *>
Dissemination::choose(const std::vector<std::uint32_t> &From,
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
Dissemination::chooseBy(std::size_t Size, std::size_t Count, ToIndex Place) {
  std::vector<const ConfigurationPeer *> Chosen;
  std::size_t Tries = Size == 0 ? 0 : 2 * Count + 2;
  while (Chosen.size() < Count && Tries-- > 0) {
    std::uint32_t Drawn =
        this->Random.nextBelow(static_cast<std::uint32_t>(Size));
    const ConfigurationPeer *Peer = &this->Peers->all()[Place(Drawn)];
    bool Taken = std::ranges::find(Chosen, Peer) != Chosen.end();
    if (!Taken && Peer->Id != this->Options.Self)
      Chosen.push_back(Peer);
  }
  return Chosen;
}

DisseminationActions Dissemination::askPeers(std::size_t First,
                                             std::size_t Count, TimePoint Now) {
  if (First == 0)
    this->Reports.clear();
  this->ReportsUntil = Now + ReportLife;
  DisseminationActions Actions;
  ConfigurationAnnouncement Question = this->announcement(Now);
  Question.WantsReply = true;
  const auto &All = this->Peers->all();
  std::size_t End = std::min(All.size(), First + Count);
  for (std::size_t Index = First; Index < End; ++Index)
    if (All[Index].Id != this->Options.Self)
      Actions.emplace_back(
          SendToPeer{.To = All[Index].Where, .Message = Question});
  return Actions;
}

} // namespace turmericpitch
