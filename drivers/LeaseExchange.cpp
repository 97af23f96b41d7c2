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
      Callbacks(std::move(Callbacks)), Queries(Instances),
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
  SentQuery Sent = this->nextQuery();
  processMetrics().count("peer_questions_total", "one");
  this->Queries.onSent(Peer.Id, Sent.Serial, Sent.SentAt);
  this->send(Peer.PeerEndpoint, LeaseQuery{.Serial = Sent.Serial});
}

void LeaseExchange::queryAll() {
  SentQuery Sent = this->nextQuery();
  std::set<InstanceId> Queried;
  for (const RegisteredInstance &Peer : this->Instances.all()) {
    if (Peer.Id == this->Options.Self)
      continue;
    if (!this->Queries.isStopping(Peer))
      Queried.insert(Peer.Id);
    processMetrics().count("peer_questions_total", "all");
    this->Queries.onSent(Peer.Id, Sent.Serial, Sent.SentAt);
    this->send(Peer.PeerEndpoint, LeaseQuery{.Serial = Sent.Serial});
  }
  this->Round = LeaseRound(Sent.Serial, Sent.SentAt, std::move(Queried));
}

void LeaseExchange::pingAll() {
  SentQuery Sent = this->nextQuery();
  for (const RegisteredInstance &Peer : this->Instances.all()) {
    if (Peer.Id == this->Options.Self)
      continue;
    processMetrics().count("peer_questions_total", "brief");
    this->Queries.onSent(Peer.Id, Sent.Serial, Sent.SentAt);
    this->send(Peer.PeerEndpoint,
               LeaseQuery{.Serial = Sent.Serial, .Brief = true});
  }
}

void LeaseExchange::pingSome(std::size_t Count, RandomSource &Random) {
  const std::vector<RegisteredInstance> &All = this->Instances.all();
  if (All.empty())
    return;
  SentQuery Sent = this->nextQuery();
  std::size_t First = Random.nextBelow(static_cast<std::uint32_t>(All.size()));
  // Neighbours in the list run in the same zone, so the choice is spread out.
  std::size_t Step = std::max<std::size_t>(1, All.size() / Count);
  for (std::size_t Index = 0; Index < std::min(Count, All.size()); ++Index) {
    const RegisteredInstance &Peer = All[(First + Index * Step) % All.size()];
    if (Peer.Id == this->Options.Self)
      continue;
    processMetrics().count("peer_questions_total", "brief");
    this->Queries.onSent(Peer.Id, Sent.Serial, Sent.SentAt);
    this->send(Peer.PeerEndpoint,
               LeaseQuery{.Serial = Sent.Serial, .Brief = true});
  }
}

void LeaseExchange::pingGrantors(const GrantorSet &Set, std::size_t Count) {
  SentQuery Sent = this->nextQuery();
  std::size_t Size = Set.Current.size();
  for (std::size_t Pinged = 0; Pinged < std::min(Count, Size); ++Pinged) {
    const Grantor &Each = Set.Current[this->NextPinged++ % Size];
    if (Each == this->self())
      continue;
    processMetrics().count("peer_questions_total", "brief");
    this->Queries.onSent(Each.Id, Sent.Serial, Sent.SentAt);
    this->send(Each.PeerEndpoint,
               LeaseQuery{.Serial = Sent.Serial, .Brief = true});
  }
}

void LeaseExchange::requestGrants(const GrantorSet &Set) {
  SentQuery Sent = this->nextQuery();
  LeaseQuery Query{.Serial = Sent.Serial, .WantsGrants = true};
  this->NewestGrants = GrantRound(Sent.Serial, Sent.SentAt, Set);
  for (const Grantor &Each : Set.Current) {
    if (Each == this->self())
      continue;
    processMetrics().count("peer_questions_total", "grantors");
    this->Queries.onSent(Each.Id, Sent.Serial, Sent.SentAt);
    this->send(Each.PeerEndpoint, Query);
  }
  if (std::find(Set.Current.begin(), Set.Current.end(), this->self()) ==
      Set.Current.end())
    return;
  for (const LeaseReply &Own : this->replies(Query))
    this->onGrants(this->self(), Own);
}

const ConsentRound &LeaseExchange::requestConsent(const GrantorSet &Set,
                                                  const ServiceId &Service,
                                                  Revision Closed) {
  ConsentRound &Round = this->ConsentRounds[Service];
  if (Round.request().Closed != Closed)
    Round = ConsentRound(
        {.Serial = this->NextSerial++, .Service = Service, .Closed = Closed},
        Set);
  for (const Grantor &Each : Round.grantors().all()) {
    if (Round.hasAnswered(Each))
      continue;
    if (Each != this->self()) {
      this->send(Each.PeerEndpoint, Round.request());
      continue;
    }
    this->Grants.consent(Service, Closed);
    Round.onConsent(Each, Round.request().Serial, this->Clock.now());
  }
  return Round;
}

void LeaseExchange::queryForVerification(RecordVerification &Verification) {
  this->Verification = &Verification;
  SentQuery Sent = this->nextQuery();
  LeaseQuery Query{.Serial = Sent.Serial};
  this->VerificationSerials.insert(Sent.Serial);
  for (const Grantor &Each : Verification.grantors().all()) {
    if (Each == this->self()) {
      for (const LeaseReply &Own : this->replies(Query))
        Verification.onReply(Each, Own);
      continue;
    }
    this->Queries.onSent(Each.Id, Sent.Serial, Sent.SentAt);
    this->send(Each.PeerEndpoint, Query);
  }
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
  if (const auto *Request = std::get_if<CloseRequest>(&Message.value()))
    return this->onCloseRequest(Arrival, *Request);
  if (const auto *Consent = std::get_if<CloseConsent>(&Message.value()))
    return this->onCloseConsent(
        {.Id = Arrival.Frame.From, .PeerEndpoint = Arrival.Source}, *Consent);
  this->query(
      {.Id = Arrival.Frame.From, .PeerEndpoint = Arrival.Source, .Zone = {}});
}

void LeaseExchange::onCloseRequest(const PeerArrival &From,
                                   const CloseRequest &Request) {
  this->Grants.consent(Request.Service, Request.Closed);
  writeDecision(DecisionLine("close_consent")
                    .field("service", Request.Service.Value)
                    .field("revision", Request.Closed.Value)
                    .field("promoter", From.Frame.From.Value));
  this->send(From.Source, CloseConsent{.Serial = Request.Serial});
}

void LeaseExchange::onCloseConsent(const Grantor &From,
                                   const CloseConsent &Consent) {
  for (auto &[Service, Round] : this->ConsentRounds)
    Round.onConsent(From, Consent.Serial, this->Clock.now());
}

ServiceReport LeaseExchange::report(const PrimaryRecord &Record,
                                    bool WantsGrants, TimePoint Now) {
  ServiceReport Report{.Record = Record};
  RecordEvidence Evidence = *this->Leases.evidence(Record.Service);
  TimePoint LeaseFrom = std::max(Evidence.ReadSentAt, Evidence.GrantedAt);
  Report.Age = std::max(Duration{0}, Now - Evidence.ReadSentAt);
  Report.LeaseAge = std::max(Duration{0}, Now - LeaseFrom);
  Report.Grantors = Evidence.Grantors;
  Report.ConsentedTo = this->Grants.consentedTo(Record.Service);
  Report.Reachability = this->Callbacks.Reachability(Record.Service);
  if (auto Sample = this->Callbacks.Sample(Record.Service, Record.Epoch)) {
    Report.Sample = Sample->Reached;
    Report.SampleAge = std::max(Duration{0}, Now - Sample->AskedAt);
  }
  Report.Granted = WantsGrants && this->Callbacks.MayGrant(Record.Service) &&
                   this->Grants.grant(Record, Now);
  return Report;
}

std::vector<LeaseReply> LeaseExchange::replies(const LeaseQuery &Query) {
  TimePoint Now = this->Clock.now();
  std::vector<PrimaryRecord> All;
  if (!Query.Brief)
    All = this->Leases.all();
  std::size_t Parts = std::max<std::size_t>(
      1, (All.size() + MaxServicesPerPart - 1) / MaxServicesPerPart);
  std::vector<LeaseReply> Replies;
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    LeaseReply Reply{.Serial = Query.Serial,
                     .Part = static_cast<std::uint8_t>(Part),
                     .Parts = static_cast<std::uint8_t>(Parts),
                     .Versions = this->Callbacks.Versions(),
                     .RemembersGrants = this->Callbacks.RemembersGrants(),
                     .Stopping = this->Callbacks.Stopping(),
                     .Services = {}};
    std::size_t End = std::min(All.size(), (Part + 1) * MaxServicesPerPart);
    for (std::size_t Index = Part * MaxServicesPerPart; Index < End; ++Index)
      Reply.Services.push_back(
          this->report(All[Index], Query.WantsGrants, Now));
    Replies.push_back(std::move(Reply));
  }
  return Replies;
}

void LeaseExchange::onQuery(const PeerArrival &From, const LeaseQuery &Query) {
  for (const LeaseReply &Reply : this->replies(Query))
    this->send(From.Source, Reply);
}

void LeaseExchange::onGrants(const Grantor &From, const LeaseReply &Reply) {
  if (Reply.Serial == this->NewestGrants.serial())
    processMetrics().count("lease_grants_total", "replies");
  for (const GrantedEpoch &Each : this->NewestGrants.onReply(From, Reply))
    this->Callbacks.OnGranted(Each, this->NewestGrants);
}

void LeaseExchange::onReply(const PeerArrival &From, const LeaseReply &Reply) {
  const InstanceId &Peer = From.Frame.From;
  this->Queries.onReply(Peer, Reply.Stopping, this->Clock.now());
  auto SentAt = this->Queries.sentAt(Peer, Reply.Serial);
  if (!SentAt)
    return;
  this->Callbacks.OnVersions(Peer, Reply.Versions, *SentAt);
  bool Changed = false;
  // An age in the reply is that at the peer's receipt of the query. The query
  // was sent earlier, so its send time minus the age is no later than the read.
  for (const ServiceReport &Each : Reply.Services) {
    RecordEvidence Evidence{.ReadSentAt = *SentAt - Each.Age,
                            .GrantedAt = *SentAt - Each.LeaseAge,
                            .Grantors = Each.Grantors};
    Changed = this->Leases.onRecord(Each.Record, Evidence) || Changed;
    if (Each.Sample)
      this->Callbacks.OnSample(
          Each.Record.Service, Each.Record.Epoch,
          {.AskedAt = *SentAt - Each.SampleAge, .Reached = *Each.Sample});
  }
  Grantor Sender{.Id = Peer, .PeerEndpoint = From.Source};
  this->Round.onReply(Peer, Reply);
  this->onGrants(Sender, Reply);
  if (this->Verification && this->VerificationSerials.contains(Reply.Serial))
    this->Verification->onReply(Sender, Reply);
  if (Changed)
    this->Callbacks.OnChanged();
}

} // namespace turmericpitch
