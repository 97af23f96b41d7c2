#include "drivers/LeaseExchange.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// The platform's settings contain no secret, so frames are checked for damage
/// and version but not authenticated.
const PeerKey FrameKey{.Id = "frame", .Secret = "turmericpitch"};

} // namespace

LeaseExchange::LeaseExchange(Executor Exec, LeaseExchangeOptions Options,
                             PrimaryLeases &Leases, LeaseGrants &Grants,
                             const InstanceRegistry &Instances, Hooks Callbacks)
    : Options(Options), Leases(Leases), Grants(Grants), Instances(Instances),
      Callbacks(std::move(Callbacks)),
      Transport(std::move(Exec), Options.Listen, Options.Self, {FrameKey}) {}

Status LeaseExchange::start() {
  this->Transport.onTopic(
      PeerTopic::Failover,
      [this](const PeerArrival &Arrival) { this->onArrival(Arrival); });
  return this->Transport.start();
}

void LeaseExchange::send(const Endpoint &To, const LeaseMessage &Message) {
  this->Transport.send(To, PeerTopic::Failover, encodeLeaseMessage(Message));
}

void LeaseExchange::query(const RegisteredInstance &Peer) {
  if (Peer.Id == this->Options.Self)
    return;
  SentQuery Sent{.Serial = this->NextSerial++, .SentAt = this->Clock.now()};
  processMetrics().count("peer_questions_total", "one");
  this->trackQuery(Peer, Sent);
  this->send(Peer.PeerEndpoint, LeaseQuery{.Serial = Sent.Serial});
}

void LeaseExchange::queryAll(bool WantsGrants) {
  SentQuery Sent{.Serial = this->NextSerial++, .SentAt = this->Clock.now()};
  std::set<InstanceId> Queried;
  for (const RegisteredInstance &Peer : this->Instances.all())
    if (Peer.Id != this->Options.Self && !this->isRetired(Peer))
      Queried.insert(Peer.Id);
  this->Round = LeaseRound(Sent.Serial, Sent.SentAt, Queried);
  for (const RegisteredInstance &Peer : this->Instances.all()) {
    if (Peer.Id == this->Options.Self)
      continue;
    processMetrics().count("peer_questions_total", "all");
    this->trackQuery(Peer, Sent);
    this->send(Peer.PeerEndpoint,
               LeaseQuery{.Serial = Sent.Serial, .WantsGrants = WantsGrants});
  }
  if (Queried.empty())
    this->Callbacks.OnComplete(this->Round);
}

bool LeaseExchange::isRetired(const RegisteredInstance &Peer) const {
  auto Found = this->RetiredRegistrations.find(Peer.Id);
  return Found != this->RetiredRegistrations.end() &&
         Found->second == Peer.Stored;
}

void LeaseExchange::trackQuery(const RegisteredInstance &Peer,
                               const SentQuery &Sent) {
  this->LastQueries[Peer.Id] = Sent;
  Silence Begins{.Registered = Peer.Stored, .Since = Sent.SentAt};
  Silence &Known = this->Silences.try_emplace(Peer.Id, Begins).first->second;
  if (Known.Registered != Peer.Stored)
    Known = Begins;
}

std::optional<TimePoint>
LeaseExchange::silentSince(const InstanceId &Id) const {
  auto Found = this->Silences.find(Id);
  if (Found == this->Silences.end())
    return std::nullopt;
  return Found->second.Since;
}

std::optional<TimePoint>
LeaseExchange::lastReplyOutside(const ZoneId &Zone) const {
  std::optional<TimePoint> Newest;
  for (const RegisteredInstance &Peer : this->Instances.all()) {
    auto Found = this->LastReplyAt.find(Peer.Id);
    if (Peer.Zone == Zone || Found == this->LastReplyAt.end())
      continue;
    Newest = std::max(Newest, std::optional(Found->second));
  }
  return Newest;
}

std::optional<TimePoint>
LeaseExchange::silentOutsideSince(const ZoneId &Zone, Duration Limit) const {
  TimePoint Now = this->Clock.now();
  std::optional<TimePoint> First;
  for (const RegisteredInstance &Peer : this->Instances.all()) {
    auto Since = this->silentSince(Peer.Id);
    if (Peer.Zone == Zone || this->isRetired(Peer) || !Since ||
        Now - *Since <= Limit)
      continue;
    First = std::min(First.value_or(*Since), *Since);
  }
  return First;
}

void LeaseExchange::notifyChange() {
  for (const RegisteredInstance &Peer : this->Instances.all())
    if (Peer.Id != this->Options.Self)
      this->send(Peer.PeerEndpoint, ChangeNotification{});
}

void LeaseExchange::onArrival(const PeerArrival &Arrival) {
  auto Message =
      toOutcome([&] { return decodeLeaseMessage(Arrival.Frame.Payload); });
  if (!Message) {
    writeWarning("event=peer_message_dropped reason=\"" +
                 Message.error().Message + "\"");
    return;
  }
  if (const auto *Query = std::get_if<LeaseQuery>(&Message.value()))
    return this->onQuery(Arrival, *Query);
  if (const auto *Reply = std::get_if<LeaseReply>(&Message.value()))
    return this->onReply(Arrival, *Reply);
  this->query(
      {.Id = Arrival.Frame.From, .PeerEndpoint = Arrival.Source, .Zone = {}});
}

ServiceReport LeaseExchange::report(const PrimaryRecord &Record,
                                    bool WantsGrants, TimePoint Now) {
  ServiceReport Report{.Record = Record};
  Report.Age =
      std::max(Duration{0}, Now - *this->Leases.readSentAt(Record.Service));
  Report.Reachability = this->Callbacks.Reachability(Record.Service);
  if (auto Sample = this->Callbacks.Sample(Record.Service, Record.Epoch)) {
    Report.Sample = Sample->Reached;
    Report.SampleAge = std::max(Duration{0}, Now - Sample->AskedAt);
  }
  Report.Granted = WantsGrants && Record.Phase == PrimaryPhase::Open &&
                   this->Callbacks.MayGrant(Record.Service);
  if (Report.Granted)
    this->Grants.grant(Record.Service, this->Leases.options().maxUse(), Now);
  return Report;
}

void LeaseExchange::onQuery(const PeerArrival &From, const LeaseQuery &Query) {
  TimePoint Now = this->Clock.now();
  std::vector<PrimaryRecord> All = this->Leases.all();
  std::size_t Parts = std::max<std::size_t>(
      1, (All.size() + MaxServicesPerPart - 1) / MaxServicesPerPart);
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    LeaseReply Reply{.Serial = Query.Serial,
                     .Part = static_cast<std::uint8_t>(Part),
                     .Parts = static_cast<std::uint8_t>(Parts),
                     .Versions = this->Callbacks.Versions(),
                     .RetiredRegistration =
                         this->Callbacks.Retired().value_or(Revision{}),
                     .Services = {}};
    std::size_t End = std::min(All.size(), (Part + 1) * MaxServicesPerPart);
    for (std::size_t Index = Part * MaxServicesPerPart; Index < End; ++Index)
      Reply.Services.push_back(
          this->report(All[Index], Query.WantsGrants, Now));
    this->send(From.Source, Reply);
  }
}

void LeaseExchange::onReply(const PeerArrival &From, const LeaseReply &Reply) {
  const InstanceId &Peer = From.Frame.From;
  this->Silences.erase(Peer);
  this->LastReplyAt[Peer] = this->Clock.now();
  if (Reply.RetiredRegistration.Value != 0)
    this->RetiredRegistrations[Peer] = Reply.RetiredRegistration;
  auto LastQuery = this->LastQueries.find(Peer);
  if (LastQuery == this->LastQueries.end() ||
      LastQuery->second.Serial != Reply.Serial)
    return;
  this->Callbacks.OnVersions(Reply.Versions, LastQuery->second.SentAt);
  bool Changed = false;
  // The age in the reply is that at the peer's receipt of the query. The query
  // was sent earlier, so its send time minus the age is no later than the read.
  for (const ServiceReport &Each : Reply.Services) {
    Changed = this->Leases.onRecord(Each.Record,
                                    LastQuery->second.SentAt - Each.Age) ||
              Changed;
    if (Each.Sample)
      this->Callbacks.OnSample(
          Each.Record.Service, Each.Record.Epoch,
          {.AskedAt = LastQuery->second.SentAt - Each.SampleAge,
           .Reached = *Each.Sample});
  }
  bool WasComplete = this->Round.complete();
  this->Round.onReply(Peer, Reply);
  if (!WasComplete && this->Round.complete())
    this->Callbacks.OnComplete(this->Round);
  if (Changed)
    this->Callbacks.OnChanged();
}

} // namespace turmericpitch
