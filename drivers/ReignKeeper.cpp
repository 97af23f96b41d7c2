#include "drivers/ReignKeeper.h"

#include "core/DecisionLog.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t MostAttempts = 1U << 30;
constexpr std::uint64_t FirstReign = 1;

std::string positionText(const TermPosition &Position) {
  return std::to_string(Position.WrittenIn.Value) + "." +
         std::to_string(Position.Position.Value);
}

} // namespace

/// A change of primary under way.
struct ReignKeeper::Change {
  PrimaryRecord Record;
  FailoverReason Reason = FailoverReason::None;
  /// Whether an earlier promoter may have ordered a promotion already.
  bool WasOrdered = false;
  /// What is known to have been acknowledged to callers.
  std::optional<TermPosition> Acknowledged;
  /// Members that refused the order.
  std::set<UpstreamId> Refused;
  /// The old primary goes on to lead.
  bool KeepsOld = false;
  /// The term of the new primary.
  Term Newest;
};

ReignKeeper::ReignKeeper(Executor On, ReignKeeperOptions Options,
                         StoreClient &Store, const InstanceRegistry &Instances,
                         StatementDispatcher &Dispatcher,
                         RegistrationLookup Registration, VersionHooks Versions)
    : On(On), Options(Options), Store(Store), Instances(Instances),
      Duties(Instances), Dispatcher(Dispatcher),
      Registration(std::move(Registration)), Versions(std::move(Versions)),
      Leases(Options.Rules.Leases),
      Peers(On, {.Self = Options.Self, .Listen = Options.Listen}, this->Leases,
            this->Grants, Instances, this->peerHooks()),
      Random(Options.Seed) {}

RightPeers::Hooks ReignKeeper::peerHooks() {
  return {
      .MayGrant = [this](const ServiceId &Id) { return this->mayGrant(Id); },
      .Retired = [this] { return this->retiredAs(); },
      .Contact = [this](const ServiceId &Id) { return this->contact(Id); },
      .Sample =
          [this](const ServiceId &Id, std::uint64_t Epoch) {
            return this->Dispatcher.newestSample(Id, Epoch);
          },
      .OnSample =
          [this](const ServiceId &Id, std::uint64_t Epoch,
                 const PrimarySample &Seen) {
            this->Dispatcher.onSample(Id, Epoch, Seen);
          },
      .Versions = [this] { return this->ownVersions(); },
      .OnVersions =
          [this](const KnownVersions &Other, TimePoint AskedAt) {
            this->onOtherVersions(Other, AskedAt);
          },
      .OnChanged = [this] { this->Dispatcher.onLeasesChanged(); },
      .OnComplete = [this](const LeaseRound &Round) { this->extendBy(Round); }};
}

KnownVersions ReignKeeper::ownVersions() const {
  KnownVersions Own = this->Versions.Own();
  Own.PromoterStep = this->PromoterRevision.Value;
  Own.PromoterStepAge =
      std::max(Duration{0}, this->Clock.now() - this->PromoterSeenAt);
  return Own;
}

void ReignKeeper::onOtherVersions(const KnownVersions &Other,
                                  TimePoint AskedAt) {
  if (Other.PromoterStep > this->PromoterRevision.Value) {
    this->PromoterRevision = {Other.PromoterStep};
    this->PromoterSeenAt = this->Clock.now() - Other.PromoterStepAge;
    // The name comes with the next own read; it wasn't this instance.
    this->Promoter.clear();
  }
  this->Versions.OnOther(Other, AskedAt);
}

bool ReignKeeper::mayGrant(const ServiceId &Id) const {
  // A process that has not read the store itself may not know what an earlier
  // life of it has ordered.
  return this->ReadAt && !this->UnderWay.contains(Id);
}

std::optional<Revision> ReignKeeper::retiredAs() const {
  auto Own = this->Registration();
  if (!this->Stopping || !this->UnderWay.empty() || !Own)
    return std::nullopt;
  return Own->Stored;
}

PrimaryObservation ReignKeeper::sighting(const PrimaryRecord &Record) const {
  PrimaryObservation Seen{.Listed = false};
  auto State = this->Dispatcher.services().find(Record.Service);
  if (State == this->Dispatcher.services().end())
    return Seen;
  auto Pool = State->second.Pools.find(Record.Primary);
  if (Pool == State->second.Pools.end())
    return Seen;
  Seen.Listed = true;
  Seen.Draining = Pool->second->member().Draining;
  Seen.SilentSince = Pool->second->silentSince();
  Seen.Refusing = Pool->second->refusesConnections();
  return Seen;
}

PrimaryReachability ReignKeeper::contact(const ServiceId &Id) const {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record)
    return PrimaryReachability::Unknown;
  PrimaryObservation Seen = this->sighting(*Record);
  if (!Seen.Listed)
    return PrimaryReachability::Silent;
  if (!Seen.SilentSince)
    return PrimaryReachability::Responding;
  Duration Silence = this->Clock.now() - *Seen.SilentSince;
  return Silence >= this->Options.Watch.SilenceTimeout / 2
             ? PrimaryReachability::Silent
             : PrimaryReachability::Responding;
}

std::optional<Duration> ReignKeeper::expectedReturn(const ServiceId &Id) const {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record || Record->Phase == PrimaryPhase::Open)
    return std::nullopt;
  auto Known = this->UnfinishedRecords.find(Id);
  Duration Since{0};
  if (Known != this->UnfinishedRecords.end() &&
      Known->second.Stored == Record->Stored)
    Since = this->Clock.now() - Known->second.SeenAt;
  Duration Whole = this->Options.UsualTakeUp;
  if (Record->Phase == PrimaryPhase::Closing)
    Whole += this->Options.Rules.Leases.maxUse();
  // Later than usual: nothing is known.
  if (Since > 2 * Whole)
    return std::nullopt;
  return std::max(this->Options.PollInterval, Whole - Since);
}

void ReignKeeper::extendBy(const LeaseRound &Round) {
  auto ExtendOne = [&](const ServiceId &Id, std::uint64_t Epoch) {
    auto Read = this->Leases.askedAt(Id);
    if (!Read || !this->mayGrant(Id))
      return;
    auto ListedAt = this->Instances.readSentBefore(*Read);
    if (!ListedAt)
      return;
    auto Until =
        leaseExtensionEnd(this->Options.Rules, {.ListedAt = *ListedAt,
                                                .RecordReadAt = *Read,
                                                .AskedAt = Round.sentAt()});
    if (!Until)
      return;
    this->Grants.grant(Id, this->Options.Rules.Leases.maxUse(),
                       this->Clock.now());
    this->Leases.extend(Id, Epoch, *Until);
  };
  if (this->Instances.count() == 1)
    for (const PrimaryRecord &Record : this->Leases.all())
      ExtendOne(Record.Service, Record.Epoch);
  for (const GrantedEpoch &Each : Round.granted())
    ExtendOne(Each.Service, Each.Epoch);
  this->Dispatcher.onLeasesChanged();
}

void ReignKeeper::stop() {
  this->Stopping = true;
  this->Peers.tellNews();
}

std::size_t ReignKeeper::relays() const {
  return 1 + this->Instances.count() / this->Options.InstancesPerRelay;
}

bool ReignKeeper::cannotRead(const InstanceId &Id) const {
  auto Found = this->PassedOver.find(Id);
  bool Over =
      Found != this->PassedOver.end() && this->Clock.now() < Found->second;
  return Over || this->isSilent(Id);
}

void ReignKeeper::passOverReader(TimePoint Now) {
  for (const InstanceId &Id : this->Duties.holders(ReadDuty, this->relays())) {
    if (Id == this->Options.Self)
      return;
    if (this->cannotRead(Id))
      continue;
    this->PassedOver[Id] = Now + this->Options.PassOver;
    return;
  }
}

std::size_t ReignKeeper::readerRank() const {
  return this->Duties.rank(
      ReadDuty, [this](const InstanceId &Id) { return this->cannotRead(Id); });
}

Awaitable<void> ReignKeeper::askPeers() {
  std::size_t Turn = 0;
  while (true) {
    co_await this->pause(this->Options.AskInterval);
    ++Turn;
    this->lookOutside(this->Clock.now());
    if (this->recordsAreLate(this->Clock.now())) {
      this->Peers.askAll(true);
      continue;
    }
    // The others leave further losses to the promoter that is at work.
    if (this->isActivePromoter(this->Clock.now()))
      this->Peers.askAll(false);
    if (const RegisteredInstance *Source = this->sourceToAsk(Turn))
      this->Peers.ask(*Source);
  }
}

bool ReignKeeper::isSilent(const InstanceId &Id) const {
  auto Since = this->Peers.silentSince(Id);
  return Since && this->Clock.now() - *Since > this->Options.PeerSilenceLimit;
}

bool ReignKeeper::isActivePromoter(TimePoint Now) const {
  return this->Promoter == this->Options.Self.Value &&
         Now - this->PromoterSeenAt < this->Options.PromoterDistance;
}

bool ReignKeeper::othersFindSilent(const ServiceId &Id, TimePoint Now) const {
  const LeaseRound &Round = this->Peers.round();
  ReachabilityCounts Tally = Round.reachability(Id);
  return Now - Round.sentAt() < 2 * this->Options.AskInterval &&
         Tally.Silent > Tally.Responding + 1;
}

std::size_t ReignKeeper::promoterRank() const {
  if (this->isActivePromoter(this->Clock.now()))
    return 0;
  Duration Probation =
      this->Options.Rules.ListingValidity + this->Options.Rules.ListingMargin;
  TimePoint Now = this->Clock.now();
  return this->Duties.rank(ReadDuty, [&](const InstanceId &Id) {
    return this->isSilent(Id) || this->Instances.isNew(Id, Probation, Now);
  });
}

const RegisteredInstance *ReignKeeper::sourceToAsk(std::size_t Turn) const {
  if (this->isReader())
    return nullptr;
  std::vector<InstanceId> Relays =
      this->Duties.holders(ReadDuty, this->relays());
  bool Relay = this->Duties.holds(ReadDuty, Relays.size());
  std::vector<const RegisteredInstance *> Usable;
  const RegisteredInstance *Near = nullptr;
  for (const InstanceId &Id : Relays) {
    const RegisteredInstance *Entry = this->Instances.find(Id);
    if (!Entry || Id == this->Options.Self ||
        (Relay ? this->cannotRead(Id) : this->isSilent(Id)))
      continue;
    // The first of them is the reader.
    if (Relay)
      return Entry;
    Usable.push_back(Entry);
    // A near one that owes an answer is passed over for one turn.
    if (Entry->Zone == this->Options.Zone && !this->Peers.silentSince(Id))
      Near = Entry;
  }
  if (Near || Usable.empty())
    return Near;
  return Usable[Turn % Usable.size()];
}

ConnectivityView ReignKeeper::outside(TimePoint Now) {
  bool AnyRight = false;
  for (const PrimaryRecord &Record : this->Leases.all()) {
    auto Right = this->Leases.lease(Record.Service);
    // A record under change is no sign of a partition.
    AnyRight = AnyRight || !Right || Right->Ending || Right->ExpiresAt > Now;
  }
  if (AnyRight)
    this->LeasesLostAt.reset();
  else if (!this->LeasesLostAt)
    this->LeasesLostAt = Now;
  const ZoneId &Zone = this->Options.Zone;
  // What a reader of the own zone tells was read from the store, too.
  auto StoreContactAt =
      std::max(this->StoreAnsweredAt, this->Leases.oldestAskedAt());
  return {.LastContactAt =
              std::max(StoreContactAt, this->Peers.answeredOutside(Zone)),
          .OtherZonesListed = this->Instances.hasOtherZone(Zone),
          .OtherZonesSilentSince = this->Peers.silentOutsideSince(
              Zone, this->Options.PeerSilenceLimit),
          .StoreContactAt = StoreContactAt,
          .LeasesLostAt = this->LeasesLostAt};
}

void ReignKeeper::lookOutside(TimePoint Now) {
  ConnectivityView Seen = this->outside(Now);
  if (this->Isolation.shouldQueryPeers(Seen, Now))
    this->Peers.askAll(this->recordsAreLate(Now));
  if (this->Isolation.update(Seen, Now))
    writeDecision(
        DecisionLine(this->Isolation.isolated() ? "cut_off" : "cut_healed")
            .field("zone", this->Options.Zone.Value)
            .field("others_silent", Seen.OtherZonesSilentSince ? 1 : 0)
            .field("rights_lost", Seen.LeasesLostAt ? 1 : 0));
}

bool ReignKeeper::recordsAreLate(TimePoint Now) const {
  auto Oldest = this->Leases.oldestAskedAt();
  return !Oldest || Now - *Oldest > this->Options.LateAge;
}

Awaitable<void> ReignKeeper::callRoll() {
  while (true) {
    co_await this->pause(this->Options.RollCallInterval);
    if (this->Stopping || this->StoreLost ||
        !this->Duties.holds(ReadDuty, this->Options.RollCallers))
      continue;
    this->Peers.askAll(false);
    TimePoint Now = this->Clock.now();
    // A copy: the list may change while an entry is removed.
    std::vector<RegisteredInstance> All = this->Instances.all();
    std::vector<RegisteredInstance> Silent;
    for (const RegisteredInstance &Entry : All) {
      auto Since = this->Peers.silentSince(Entry.Id);
      if (Since && Now - *Since > this->Options.StrikeAfter)
        Silent.push_back(Entry);
    }
    // Where most are silent, this instance is the one cut off.
    if (Silent.size() * 2 > All.size())
      continue;
    for (const RegisteredInstance &Entry : Silent)
      co_await this->strike(Entry);
  }
}

Awaitable<void> ReignKeeper::strike(RegisteredInstance Entry) {
  std::string Key = std::string(InstancesPrefix) + Entry.Id.Value;
  TransactionRequest Request;
  Request.Compares = {{.Key = Key, .Modified = Entry.Stored}};
  Request.Writes = {DeleteOperation{.Key = Key}};
  auto Struck = co_await this->Store.commit(std::move(Request));
  bool Done = Struck && Struck.value().Result == CommitReply::Verdict::Written;
  writeDecision(DecisionLine("strike_instance")
                    .field("instance", Entry.Id.Value)
                    .field("outcome", Done ? "removed" : "kept"));
}

Awaitable<bool> ReignKeeper::othersReach(ServiceId Id) {
  this->Peers.askAll(false);
  TimePoint GiveUpAt = this->Clock.now() + this->Options.ConsultLimit;
  while (!this->Peers.round().complete() && this->Clock.now() < GiveUpAt)
    co_await this->pause(this->Options.ConsultLimit / 8);
  ReachabilityCounts Tally = this->Peers.round().reachability(Id);
  PrimaryReachability Own = this->contact(Id);
  Tally.Responding += Own == PrimaryReachability::Responding ? 1 : 0;
  Tally.Silent += Own == PrimaryReachability::Silent ? 1 : 0;
  bool Reach = Tally.Responding > Tally.Silent;
  writeDecision(DecisionLine("consult_instances")
                    .field("service", Id.Value)
                    .field("answers", Tally.Responding)
                    .field("silent", Tally.Silent)
                    .field("outcome", Reach ? "keep" : "replace"));
  co_return Reach;
}

void ReignKeeper::spawn(Awaitable<void> Work) {
  asio::co_spawn(this->On, std::move(Work), [](std::exception_ptr Failure) {
    if (Failure)
      std::rethrow_exception(Failure);
  });
}

Awaitable<void> ReignKeeper::pause(Duration Length) {
  asio::steady_timer Timer(this->On, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

Status ReignKeeper::start() {
  Status Started = this->Peers.start();
  if (!Started)
    return Started;
  this->spawn(this->renew());
  this->spawn(this->askPeers());
  this->spawn(this->callRoll());
  this->spawn(this->look());
  return std::monostate{};
}

Awaitable<void> ReignKeeper::renew() {
  StoreBackoff Backoff;
  while (true) {
    TimePoint Began = this->Clock.now();
    bool AnyRecord = this->Leases.oldestAskedAt().has_value();
    if (!this->isReader() && !this->recordsAreLate(Began)) {
      co_await this->pause(this->Options.LookInterval / 2);
      continue;
    }
    if (AnyRecord && !this->isReader())
      this->passOverReader(Began);
    bool Read = co_await this->readRecords();
    if (Read == this->StoreLost) {
      this->StoreLost = !Read;
      writeDecision(DecisionLine(Read ? "store_regained" : "store_lost"));
    }
    if (Read && AnyRecord)
      Backoff.onAnswered();
    // Where nothing is renewed, the readers try often and the others seldom;
    // they hear of success.
    bool Renewed = Read && AnyRecord;
    Duration Interval = Renewed || this->isReader()
                            ? this->Options.RenewInterval
                            : Backoff.onFailed(this->Random);
    Duration Took = this->Clock.now() - Began;
    co_await this->pause(std::max(Duration{0}, Interval - Took));
  }
}

Awaitable<bool> ReignKeeper::readRecords() {
  TimePoint AskedAt = this->Clock.now();
  auto Read =
      co_await this->Store.readAllQuickly(std::string(PrimaryRecordPrefix));
  if (!Read)
    co_return false;
  this->StoreAnsweredAt = this->Clock.now();
  std::vector<PrimaryRecord> Records;
  Revision Promoter;
  for (const KeyValueEntry &Entry : Read.value().Entries) {
    if (Entry.Key == PromoterKey) {
      Promoter = Entry.Modified;
      this->Promoter = Entry.Value;
      continue;
    }
    auto Record = toOutcome([&] { return decodePrimaryRecord(Entry); });
    if (Record)
      Records.push_back(std::move(Record.value()));
    else
      writeWarning("event=reign_record_skipped reason=\"" +
                   Record.error().Message + "\"");
  }
  if (Promoter != this->PromoterRevision)
    this->PromoterSeenAt = this->Clock.now();
  this->PromoterRevision = Promoter;
  this->ReadAt = std::max(this->ReadAt.value_or(AskedAt), AskedAt);
  bool Changed = this->Leases.onListing(Records, AskedAt);
  if (Changed)
    for (const PrimaryRecord &Record : Records)
      writeDecision(DecisionLine("reign_known")
                        .field("service", Record.Service.Value)
                        .field("reign", Record.Epoch)
                        .field("primary", Record.Primary.Value)
                        .field("phase", toString(Record.Phase))
                        .field("revision", Record.Stored.Value));
  this->Dispatcher.onLeasesChanged();
  co_return true;
}

Awaitable<void> ReignKeeper::look() {
  while (true) {
    co_await this->pause(this->Options.LookInterval);
    if (this->Stopping || !this->ReadAt)
      continue;
    TimePoint Now = this->Clock.now();
    for (const auto &[Id, State] : this->Dispatcher.services()) {
      this->noteUnfinished(Id, Now);
      if (!State.Pools.empty() && !this->UnderWay.contains(Id))
        this->lookAt(Id, Now);
    }
  }
}

bool ReignKeeper::mayBegin(TimePoint Now) const {
  auto Own = this->Registration();
  if (!mayCloseRecord(this->Options.Rules,
                      Own ? std::optional(Own->Since) : std::nullopt, Now))
    return false;
  bool Before = this->Promoter == this->Options.Self.Value;
  return Before || this->PromoterRevision.Value == 0 ||
         Now - this->PromoterSeenAt > this->Options.PromoterDistance;
}

void ReignKeeper::lookAt(const ServiceId &Id, TimePoint Now) {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record) {
    this->UnderWay.insert(Id);
    return this->spawn(this->install(Id));
  }
  if (Record->Phase != PrimaryPhase::Open)
    return this->lookAtUnfinished(*Record, Now);
  PrimaryObservation Seen = this->sighting(*Record);
  PrimaryMonitor &Watch =
      this->Watches.try_emplace(Id, this->Options.Watch).first->second;
  if (Seen.Listed && Watch.needsProbe(Seen, Now))
    this->Dispatcher.services()
        .at(Id)
        .Pools.at(Record->Primary)
        ->queryStatus([](const auto &, TimePoint) {});
  FailoverReason Reason = Watch.evaluate(Seen, this->promoterRank(), Now);
  if (Reason == FailoverReason::None && this->isActivePromoter(Now) &&
      this->othersFindSilent(Id, Now))
    Reason = FailoverReason::Lost;
  if (Reason == FailoverReason::None)
    return this->lookAtBacklog(*Record, Now);
  if (Now < this->ConsultAfter[Id] || !this->mayBegin(Now))
    return;
  this->UnderWay.insert(Id);
  this->spawn(this->replace(*Record, Reason));
}

void ReignKeeper::noteUnfinished(const ServiceId &Id, TimePoint Now) {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record || Record->Phase == PrimaryPhase::Open) {
    this->UnfinishedRecords.erase(Id);
    return;
  }
  Unfinished &Known =
      this->UnfinishedRecords
          .try_emplace(Id, Unfinished{.Stored = Record->Stored, .SeenAt = Now})
          .first->second;
  if (Known.Stored != Record->Stored)
    Known = {.Stored = Record->Stored, .SeenAt = Now};
}

void ReignKeeper::lookAtUnfinished(const PrimaryRecord &Record, TimePoint Now) {
  Duration Limit = this->Options.TakeOverAfter +
                   rankDelay(this->Options.Watch, this->promoterRank());
  if (Now - this->UnfinishedRecords.at(Record.Service).SeenAt < Limit ||
      !this->mayBegin(Now))
    return;
  this->UnderWay.insert(Record.Service);
  this->spawn(this->replace(Record, FailoverReason::Lost));
}

Awaitable<void> ReignKeeper::install(ServiceId Id) {
  co_await this->pause(this->Options.PollInterval +
                       this->Options.InstallRankDelay *
                           static_cast<Duration::rep>(this->readerRank()));
  std::vector<std::shared_ptr<MemberLinkPool>> Leading;
  auto State = this->Dispatcher.services().find(Id);
  for (const auto &[Member, Pool] : State->second.Pools)
    if (Pool->member().Role == MemberRole::Primary && !Pool->member().Draining)
      Leading.push_back(Pool);
  if (Leading.size() == 1 && !this->Leases.record(Id)) {
    auto Report = co_await this->queryStatus(Leading.front());
    if (Report && Report->Primary) {
      PrimaryRecord First{.Service = Id,
                          .Epoch = FirstReign,
                          .Primary = Leading.front()->member().Id};
      co_await this->write(First, Revision{});
    }
    co_await this->readRecords();
  }
  this->UnderWay.erase(Id);
}

Awaitable<std::optional<MemberReport>>
ReignKeeper::queryStatus(std::shared_ptr<MemberLinkPool> Pool) {
  auto Report = std::make_shared<std::optional<MemberReport>>();
  auto Answered = std::make_shared<bool>(false);
  auto Timer = std::make_shared<asio::steady_timer>(
      this->On, this->Options.OrderCallLimit);
  Pool->queryStatus([Report, Answered, Timer](
                        const std::optional<MemberReport> &Came, TimePoint) {
    *Report = Came;
    *Answered = true;
    Timer->cancel();
  });
  boost::system::error_code Ignored;
  if (!*Answered)
    co_await Timer->async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  co_return *Report;
}

Awaitable<std::optional<Revision>> ReignKeeper::write(PrimaryRecord Record,
                                                      Revision Expected) {
  while (this->Writing)
    co_await this->pause(this->Options.PollInterval / 10);
  this->Writing = true;
  auto Stored = co_await this->writeOnce(Record, Expected);
  // Another promoter's step for another service came between; the new primary
  // leads all the same.
  for (int Again = 0; !Stored && Record.Phase == PrimaryPhase::Open &&
                      Again < this->Options.OpeningRetries;
       ++Again) {
    bool Read = co_await this->readRecords();
    const PrimaryRecord *Now = this->Leases.record(Record.Service);
    if (!Read || (Now ? Now->Stored : Revision{}) != Expected)
      break;
    Stored = co_await this->writeOnce(Record, Expected);
  }
  this->Writing = false;
  if (Stored)
    this->Peers.tellNews();
  writeDecision(DecisionLine("reign_write")
                    .field("service", Record.Service.Value)
                    .field("reign", Record.Epoch)
                    .field("primary", Record.Primary.Value)
                    .field("phase", toString(Record.Phase))
                    .field("target", Record.Target.Value)
                    .field("outcome", Stored ? "written" : "not_written"));
  co_return Stored;
}

Awaitable<std::optional<Revision>> ReignKeeper::writeOnce(PrimaryRecord Record,
                                                          Revision Expected) {
  Record.Writer = this->Options.Self;
  Record.Attempt = this->Random.nextBelow(MostAttempts);
  std::string Key = primaryRecordKey(Record.Service);
  auto Own = this->Registration();
  TransactionRequest Request;
  Request.Compares = {
      {.Key = Key, .Modified = Expected},
      {.Key = std::string(PromoterKey), .Modified = this->PromoterRevision}};
  Request.Writes = {PutOperation{.Key = Key,
                                 .Value = encodePrimaryRecord(Record),
                                 .Lease = {}},
                    PutOperation{.Key = std::string(PromoterKey),
                                 .Value = this->Options.Self.Value,
                                 .Lease = {}}};
  // Who is not registered was not asked to promise anything.
  if (Record.Phase != PrimaryPhase::Open && Own)
    Request.Compares.push_back({.Key = Own->Key, .Modified = Own->Stored});
  TimePoint SentAt = this->Clock.now();
  auto Written = co_await this->Store.commit(std::move(Request));
  std::optional<Revision> Stored;
  if (Written && Written.value().Result == CommitReply::Verdict::Written) {
    Stored = Written.value().Written;
    this->PromoterRevision = *Stored;
    this->Promoter = this->Options.Self.Value;
    this->PromoterSeenAt = this->Clock.now();
    Record.Stored = *Stored;
    this->Leases.onRecord(Record, SentAt);
    this->Dispatcher.onLeasesChanged();
  } else if (!Written && co_await this->readRecords()) {
    // The answer was lost; what is stored tells whether the write was made.
    const PrimaryRecord *Now = this->Leases.record(Record.Service);
    if (Now && Now->Writer == Record.Writer && Now->Attempt == Record.Attempt)
      Stored = Now->Stored;
  }
  co_return Stored;
}

Awaitable<void> ReignKeeper::replace(PrimaryRecord From,
                                     FailoverReason Reason) {
  Change C;
  C.Record = From;
  C.Reason = Reason;
  C.WasOrdered = From.Phase == PrimaryPhase::Ordered;
  if (auto Newest =
          this->Dispatcher.services().at(From.Service).Freshness.newest())
    C.Acknowledged = Newest->Reached;
  bool Wanted = co_await this->isStillWanted(From, Reason);
  writeDecision(DecisionLine("replace_primary")
                    .field("service", From.Service.Value)
                    .field("reign", From.Epoch)
                    .field("primary", From.Primary.Value)
                    .field("reason", toString(Reason))
                    .field("phase", toString(From.Phase))
                    .field("outcome", Wanted ? "begun" : "not_begun"));
  bool Closed = Wanted && co_await this->close(C);
  bool Led = false;
  TimePoint GiveUpAt = this->Clock.now() + this->Options.SearchLimit;
  while (Closed && !Led && !C.KeepsOld && this->Clock.now() < GiveUpAt) {
    auto Target = co_await this->findSuccessor(C);
    if (!Target)
      break;
    if (!co_await this->order(C, *Target))
      break;
    Led = co_await this->awaitLead(C);
  }
  if (Led || C.KeepsOld) {
    PrimaryRecord Next{.Service = C.Record.Service,
                       .Epoch = C.Record.Epoch + (Led ? 1 : 0),
                       .Primary = Led ? C.Record.Target : C.Record.Primary};
    if (Led)
      this->stepDownFormer(C);
    co_await this->write(Next, C.Record.Stored);
  }
  this->UnderWay.erase(From.Service);
}

Awaitable<bool> ReignKeeper::isStillWanted(PrimaryRecord From,
                                           FailoverReason Reason) {
  ServiceId Id = From.Service;
  bool Read = co_await this->readRecords();
  const PrimaryRecord *Now = this->Leases.record(Id);
  if (!Read || !Now || Now->Stored != From.Stored ||
      !this->mayBegin(this->Clock.now())) {
    this->ConsultAfter[Id] = this->Clock.now() + this->Options.ConsultPause;
    co_return false;
  }
  bool Open = From.Phase == PrimaryPhase::Open;
  if (Open && Reason == FailoverReason::Lost &&
      co_await this->othersReach(Id)) {
    this->ConsultAfter[Id] = this->Clock.now() + this->Options.ConsultPause;
    co_return false;
  }
  co_return true;
}

Awaitable<bool> ReignKeeper::close(Change &C) {
  // Another promoter may have begun while the others were consulted.
  if (!this->mayBegin(this->Clock.now()))
    co_return false;
  PrimaryRecord Next = C.Record;
  if (Next.Phase == PrimaryPhase::Open)
    Next.Phase = PrimaryPhase::Closing;
  auto Stored = co_await this->write(Next, C.Record.Stored);
  if (!Stored)
    co_return false;
  Next.Stored = *Stored;
  C.Record = Next;
  // Nothing further is promised while a change is under way.
  TimePoint Ends = earliestPromotion(this->Options.Rules, this->Clock.now(),
                                     this->Grants.grantedUntil(Next.Service));
  while (this->Clock.now() < Ends)
    co_await this->pause(std::max(Duration(1000), Ends - this->Clock.now()));
  co_return true;
}

Awaitable<std::vector<ReignKeeper::MemberAnswered>>
ReignKeeper::askMembers(ServiceId Service, std::set<UpstreamId> Skipped,
                        std::set<UpstreamId> NotAwaited) {
  auto Answers = std::make_shared<std::vector<MemberAnswered>>();
  auto Missing = std::make_shared<std::size_t>(0);
  for (const auto &[Id, Pool] : this->Dispatcher.services().at(Service).Pools) {
    if (Skipped.contains(Id))
      continue;
    bool Awaited = !NotAwaited.contains(Id);
    *Missing += Awaited ? 1 : 0;
    Pool->queryStatus(
        [Answers, Missing, Awaited,
         Id = Id](const std::optional<MemberReport> &Report, TimePoint) {
          *Missing -= Awaited ? 1 : 0;
          if (Report)
            Answers->push_back({.Id = Id, .Report = *Report});
        });
  }
  TimePoint GiveUpAt = this->Clock.now() + this->Options.ReportLimit;
  while (*Missing > 0 && this->Clock.now() < GiveUpAt)
    co_await this->pause(this->Options.PollInterval / 8);
  co_return *Answers;
}

Awaitable<std::vector<ReignKeeper::MemberAnswered>>
ReignKeeper::askCandidates(Change &C) {
  std::set<UpstreamId> Skipped = C.Refused;
  std::set<UpstreamId> NotAwaited;
  for (const auto &[Id, Pool] :
       this->Dispatcher.services().at(C.Record.Service).Pools)
    if (Pool->member().Draining && Id != C.Record.Primary)
      Skipped.insert(Id);
  if (C.WasOrdered)
    Skipped.insert(C.Record.Primary);
  // A lost primary is not waited for.
  if (!isPlanned(C.Reason))
    NotAwaited.insert(C.Record.Primary);
  co_return co_await this->askMembers(C.Record.Service, Skipped, NotAwaited);
}

Awaitable<std::optional<UpstreamId>> ReignKeeper::findSuccessor(Change &C) {
  TimePoint GiveUpAt = this->Clock.now() + this->Options.SearchLimit;
  TimePoint CatchUpUntil = this->Clock.now() + this->Options.CatchUpLimit;
  while (this->Clock.now() < GiveUpAt) {
    auto Answers = co_await this->askCandidates(C);
    std::vector<SuccessorCandidate> Candidates;
    for (const MemberAnswered &Each : Answers) {
      bool Old = Each.Id == C.Record.Primary;
      if (Old && isPlanned(C.Reason)) {
        // What it acknowledged last must not be lost.
        C.Acknowledged =
            std::max(C.Acknowledged, std::optional(Each.Report.Received));
        continue;
      }
      if (Old && Each.Report.Primary) {
        C.KeepsOld = true;
        co_return std::nullopt;
      }
      if (C.WasOrdered && Each.Id == C.Record.Target)
        co_return Each.Id;
      Candidates.push_back({.Id = Each.Id,
                            .Received = Each.Report.Received,
                            .ApplyDelay = Each.Report.ApplyDelay});
      writeDecision(DecisionLine("successor_candidate")
                        .field("service", C.Record.Service.Value)
                        .field("member", Each.Id.Value)
                        .field("received", positionText(Each.Report.Received))
                        .field("acknowledged",
                               C.Acknowledged ? positionText(*C.Acknowledged)
                                              : "unknown"));
    }
    auto Best = chooseSuccessor(Candidates);
    bool Enough = false;
    for (const SuccessorCandidate &Each : Candidates)
      Enough = Enough || !C.Acknowledged || Each.Received >= *C.Acknowledged;
    if (Best && Enough)
      co_return Best;
    bool Late = this->Clock.now() >= CatchUpUntil;
    if (Late && C.Reason == FailoverReason::Backlog) {
      C.KeepsOld = true;
      co_return std::nullopt;
    }
    if (Best && Late)
      co_return Best;
    co_await this->pause(this->Options.PollInterval);
  }
  co_return std::nullopt;
}

void ReignKeeper::lookAtBacklog(const PrimaryRecord &Record, TimePoint Now) {
  ReplicaBacklogMonitor &Watch =
      this->Backlogs.try_emplace(Record.Service, this->Options.Backlog)
          .first->second;
  bool Short = this->Dispatcher.allReplicasLag(Record.Service, Record.Primary);
  if (!Watch.needsReports(Short, this->promoterRank(), Now) ||
      Now < this->ConsultAfter[Record.Service] || !this->mayBegin(Now))
    return;
  this->UnderWay.insert(Record.Service);
  this->spawn(this->relieve(Record));
}

Awaitable<void> ReignKeeper::relieve(PrimaryRecord Record) {
  auto Answers = co_await this->askMembers(Record.Service, {}, {});
  const auto &Pools = this->Dispatcher.services().at(Record.Service).Pools;
  std::vector<MemberBacklog> Reports;
  for (const MemberAnswered &Each : Answers) {
    auto Pool = Pools.find(Each.Id);
    if (Pool == Pools.end() || Pool->second->member().Draining)
      continue;
    Reports.push_back({.Id = Each.Id,
                       .Primary = Each.Id == Record.Primary,
                       .Received = Each.Report.Received,
                       .ApplyDelay = Each.Report.ApplyDelay,
                       .StatementCount = Each.Report.StatementCount,
                       .Slots = Pool->second->member().Slots});
    writeDecision(
        DecisionLine("replica_backlog")
            .field("service", Record.Service.Value)
            .field("member", Each.Id.Value)
            .field("received", positionText(Each.Report.Received))
            .field("catch_up_ms", Each.Report.ApplyDelay / milliseconds(1))
            .field("busy", Each.Report.StatementCount));
  }
  if (this->Backlogs.at(Record.Service).shouldHandOver(Reports))
    co_return co_await this->replace(Record, FailoverReason::Backlog);
  this->UnderWay.erase(Record.Service);
}

void ReignKeeper::stepDownFormer(const Change &C) {
  const auto &Pools = this->Dispatcher.services().at(C.Record.Service).Pools;
  auto Former = Pools.find(C.Record.Primary);
  if (!isPlanned(C.Reason) || Former == Pools.end())
    return;
  Former->second->stepDown(
      C.Newest, [Id = C.Record.Primary](
                    const std::optional<MemberReport> &Report, TimePoint) {
        writeDecision(DecisionLine("step_down")
                          .field("member", Id.Value)
                          .field("outcome", !Report           ? "unanswered"
                                            : Report->Primary ? "still_leads"
                                                              : "follows"));
      });
}

Awaitable<bool> ReignKeeper::order(Change &C, UpstreamId Target) {
  PrimaryRecord Next = C.Record;
  Next.Phase = PrimaryPhase::Ordered;
  Next.Target = Target;
  TimePoint Began = this->Clock.now();
  auto Stored = co_await this->write(Next, C.Record.Stored);
  if (!Stored)
    co_return false;
  Next.Stored = *Stored;
  C.Record = Next;
  C.WasOrdered = true;
  TimePoint Latest = Began + this->Options.OrderLimit;
  PromotionOrder Order{.Service = Next.Service,
                       .Target = Target,
                       .Requester = this->Options.Self,
                       .FencingToken = Stored->Value};
  std::function<bool()> InTime = [this, Latest] {
    return this->Clock.now() < Latest;
  };
  auto Ordered =
      co_await this->Store.promote(Order, this->Options.OrderCallLimit, InTime);
  std::string Outcome = "lost";
  if (Ordered)
    Outcome = Ordered.value() ? "taken" : "member_not_running";
  else if (Ordered.error().Kind != ErrorKind::OutcomeUnknown)
    Outcome = "not_sent";
  writeDecision(DecisionLine("promotion_ordered")
                    .field("service", Next.Service.Value)
                    .field("member", Target.Value)
                    .field("token", Stored->Value)
                    .field("outcome", Outcome));
  if (Ordered && !Ordered.value())
    C.Refused.insert(Target);
  co_return true;
}

Awaitable<bool> ReignKeeper::awaitLead(Change &C) {
  if (C.Refused.contains(C.Record.Target)) {
    C.WasOrdered = false;
    co_return false;
  }
  TimePoint GiveUpAt = this->Clock.now() + this->Options.TakeUpLimit;
  while (this->Clock.now() < GiveUpAt) {
    const auto &Pools = this->Dispatcher.services().at(C.Record.Service).Pools;
    auto Pool = Pools.find(C.Record.Target);
    if (Pool == Pools.end())
      break;
    auto Report = co_await this->queryStatus(Pool->second);
    if (Report && Report->Primary) {
      C.Newest = Report->Newest;
      co_return true;
    }
    co_await this->pause(this->Options.PollInterval);
  }
  co_return false;
}

} // namespace turmericpitch
