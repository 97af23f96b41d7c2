#include "drivers/FailoverCoordinator.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "failover/FirstRecordWait.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t AttemptIdBound = 1U << 30;

std::string positionText(const TermPosition &Position) {
  return std::to_string(Position.WrittenIn.Value) + "." +
         std::to_string(Position.Position.Value);
}

std::string positionText(const std::optional<TermPosition> &Position) {
  return Position ? positionText(*Position) : "unknown";
}

/// The members of a search as ID:STANDING, separated by commas.
std::string standingsText(const SearchAssessment &Assessment) {
  std::string Text;
  for (const MemberAssessment &Each : Assessment.Members) {
    Text += Text.empty() ? "" : ",";
    Text += Each.Id.Value.empty() ? "unknown" : Each.Id.Value;
    Text += ":" + std::string(toString(Each.Standing));
  }
  return Text;
}

std::string_view outcomeOf(const SuccessorSearch &Search,
                           const SuccessorDecision &Decision) {
  if (Decision.Action == SuccessorAction::Wait)
    return "waits";
  if (Decision.Action == SuccessorAction::KeepPrimary)
    return "keeps_primary";
  bool Incomplete = !Decision.Missing.empty() &&
                    Decision.Missing.size() >= Search.SynchronousReplicas;
  return Incomplete ? "given_up" : "promotes";
}

/// Marks that an order is given. Orders of one instance are given one after the
/// other, over all services, as each must arrive before those with higher
/// tokens.
class OrderInProgress {
public:
  explicit OrderInProgress(bool &Ordering) : Ordering(Ordering) {
    this->Ordering = true;
  }
  ~OrderInProgress() { this->Ordering = false; }
  OrderInProgress(const OrderInProgress &) = delete;
  OrderInProgress &operator=(const OrderInProgress &) = delete;

private:
  bool &Ordering;
};

} // namespace

/// A failover in progress.
struct FailoverCoordinator::Failover {
  PrimaryRecord Record;
  FailoverReason Reason = FailoverReason::None;
  /// The orders since the record was closed, those of earlier promoters
  /// included.
  PromotionOrders Orders;
  /// The newest sample of the primary's position when the failover began.
  std::optional<TermPosition> Sampled;
  /// The members' replies since the record was closed.
  std::shared_ptr<MemberReplies> Replies = std::make_shared<MemberReplies>();
  /// What the log has shown of the search.
  std::map<UpstreamId, TermPosition> LoggedPositions;
  std::string LoggedSearch;
  /// Members that refused the promotion order.
  std::set<UpstreamId> Refused;
  /// Whether the old primary remains primary.
  bool KeepsOldPrimary = false;
  /// The new primary and the term that it leads; empty until its promotion is
  /// in effect.
  UpstreamId Successor;
  Term NewTerm;
  /// The end of its log before the first write of that term.
  LogPosition StartedAfter;
};

FailoverCoordinator::FailoverCoordinator(Executor Exec,
                                         FailoverCoordinatorOptions Options,
                                         StoreClient &Store,
                                         const InstanceRegistry &Instances,
                                         StatementDispatcher &Dispatcher,
                                         VersionHooks Versions)
    : Exec(Exec), Options(Options), Store(Store), Instances(Instances),
      Duties(Instances), Dispatcher(Dispatcher), Versions(std::move(Versions)),
      Leases(Options.Rules.Leases),
      Grants({.MaxUse = Options.Rules.Leases.maxUse()}),
      Exchange(Exec, {.Self = Options.Self, .Listen = Options.Listen},
               this->Leases, this->Grants, Instances, this->peerHooks()),
      Repair(Options.Repair), GrantorUpkeep(Options.GrantorSelection),
      Random(Options.Seed) {}

LeaseExchange::Hooks FailoverCoordinator::peerHooks() {
  return {
      .MayGrant = [this](const ServiceId &Id) { return this->mayGrant(Id); },
      .RemembersGrants = [this] { return this->ReadAt.has_value(); },
      .Stopping = [this] { return this->Stopping; },
      .Reachability =
          [this](const ServiceId &Id) { return this->reachability(Id); },
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
          [this](const InstanceId &From, const KnownVersions &Other,
                 TimePoint QuerySentAt) {
            this->onOtherVersions(From, Other, QuerySentAt);
          },
      .OnChanged = [this] { this->Dispatcher.onLeasesChanged(); },
      .OnGranted =
          [this](const GrantedEpoch &Granted, const GrantRound &Round) {
            this->onGranted(Granted, Round);
          }};
}

KnownVersions FailoverCoordinator::ownVersions() const {
  KnownVersions Own = this->Versions.Own();
  Own.PromoterStep = this->PromoterRevision.Value;
  Own.PromoterStepAge =
      std::max(Duration{0}, this->Clock.now() - this->PromoterSeenAt);
  return Own;
}

void FailoverCoordinator::onOtherVersions(const InstanceId &From,
                                          const KnownVersions &Other,
                                          TimePoint QuerySentAt) {
  if (Other.PromoterStep > this->PromoterRevision.Value) {
    this->PromoterRevision = {Other.PromoterStep};
    this->PromoterSeenAt = this->Clock.now() - Other.PromoterStepAge;
    // Another instance made the step; this instance's next read of the store
    // returns its name.
    this->Promoter.clear();
  }
  this->Versions.OnOther(From, Other, QuerySentAt);
}

bool FailoverCoordinator::mayGrant(const ServiceId &Id) const {
  // A process that has not read the store itself may not know what an earlier
  // process of the same instance has ordered.
  return this->ReadAt && this->Activities.mayGrant(Id);
}

PrimaryObservation
FailoverCoordinator::observation(const PrimaryRecord &Record) const {
  PrimaryObservation Seen{.Registered = false};
  auto State = this->Dispatcher.services().find(Record.Service);
  if (State == this->Dispatcher.services().end())
    return Seen;
  auto Pool = State->second.Pools.find(Record.Primary);
  if (Pool == State->second.Pools.end())
    return Seen;
  Seen.Registered = true;
  Seen.Draining = Pool->second->member().Draining;
  Seen.SilentSince = Pool->second->silentSince();
  Seen.Refusing = Pool->second->refusesConnections();
  return Seen;
}

PrimaryReachability
FailoverCoordinator::reachability(const ServiceId &Id) const {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record)
    return PrimaryReachability::Unknown;
  return PrimaryMonitor(this->Options.Monitor)
      .reachability(this->observation(*Record), this->Clock.now());
}

std::optional<Duration>
FailoverCoordinator::expectedRecovery(const ServiceId &Id) const {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record)
    return std::nullopt;
  TimePoint Now = this->Clock.now();
  auto Known = this->UnfinishedRecords.find(Id);
  bool PhaseKnown = Known != this->UnfinishedRecords.end() &&
                    Known->second.Stored == Record->Stored;
  return turmericpitch::expectedRecovery(
      {.Detection = this->Options.Monitor.SilenceTimeout,
       .Consultation = this->Options.ConsultTimeout,
       .ClosingWait = this->Options.Rules.Leases.maxUse(),
       .Promotion = this->Options.TypicalPromotionTime},
      {.Phase = Record->Phase,
       .PhaseSeenAt = PhaseKnown ? Known->second.SeenAt : Now,
       .SilentSince = this->observation(*Record).SilentSince,
       .StoreAvailable = !this->recordsAreStale(Now)},
      Now);
}

void FailoverCoordinator::onGranted(const GrantedEpoch &Granted,
                                    const GrantRound &Round) {
  auto Evidence = this->Leases.evidence(Granted.Service);
  bool Extends =
      Evidence && mayExtendLease(this->Options.Rules, *Evidence, Round);
  processMetrics().count("lease_grants_total", Extends ? "used" : "unused");
  if (!Extends)
    return;
  this->Leases.onGranted(Granted.Service, Granted.Epoch, Round.sentAt());
  this->Dispatcher.onLeasesChanged();
}

void FailoverCoordinator::stop() {
  this->Stopping = true;
  this->Exchange.notifyChange();
}

std::size_t FailoverCoordinator::relays() const {
  return 1 + this->Instances.count() / this->Options.InstancesPerRelay;
}

bool FailoverCoordinator::cannotRead(const InstanceId &Id) const {
  auto Found = this->ExcludedReaders.find(Id);
  bool Excluded =
      Found != this->ExcludedReaders.end() && this->Clock.now() < Found->second;
  return Excluded || this->isSilent(Id);
}

void FailoverCoordinator::excludeReader(TimePoint Now) {
  for (const InstanceId &Id : this->Duties.holders(ReadDuty, this->relays())) {
    if (Id == this->Options.Self)
      return;
    if (this->cannotRead(Id))
      continue;
    this->ExcludedReaders[Id] = Now + this->Options.ReaderExclusion;
    return;
  }
}

std::size_t FailoverCoordinator::readerRank() const {
  return this->Duties.rank(
      ReadDuty, [this](const InstanceId &Id) { return this->cannotRead(Id); });
}

void FailoverCoordinator::trackReader() {
  std::optional<InstanceId> Reader;
  for (const InstanceId &Id : this->Duties.holders(ReadDuty, this->relays()))
    if (Id == this->Options.Self || !this->cannotRead(Id)) {
      Reader = Id;
      break;
    }
  if (Reader == this->LoggedReader)
    return;
  this->LoggedReader = Reader;
  writeDecision(DecisionLine("reader_known")
                    .field("reader", Reader ? Reader->Value : "none")
                    .field("own", Reader == this->Options.Self ? 1 : 0)
                    .field("relay", this->providesRecords() ? 1 : 0));
}

Awaitable<void> FailoverCoordinator::queryPeers() {
  std::size_t Turn = 0;
  while (true) {
    co_await this->pause(this->Options.QueryInterval);
    ++Turn;
    this->trackReader();
    this->updateIsolation(this->Clock.now());
    TimePoint Now = this->Clock.now();
    if (this->shouldRequestGrants(Now))
      this->Exchange.requestGrants(this->Grantors);
    // Other instances leave it to the active promoter to replace further lost
    // primaries.
    if (this->isActivePromoter(Now))
      this->Exchange.queryAll();
    RelayChoice Relay = this->relayToQuery(Turn);
    if (Relay.Source)
      this->Exchange.query(*Relay.Source);
    if (Relay.Silent)
      this->Exchange.query(*Relay.Silent);
  }
}

bool FailoverCoordinator::shouldRequestGrants(TimePoint Now) {
  auto LeasesFrom = this->Leases.oldestEvidenceAt();
  bool LeasesEnd = LeasesFrom && Now - *LeasesFrom > this->Options.MaxLeaseAge;
  if (!LeasesEnd)
    return false;
  if (this->isReader() ||
      (this->providesRecords() && this->recordsAreStale(Now)))
    return true;
  return this->recordsAreStale(Now) &&
         this->Random.nextBelow(this->Instances.count()) <
             this->Options.OtherGrantRequests;
}

bool FailoverCoordinator::isSilent(const InstanceId &Id) const {
  auto Since = this->Exchange.silentSince(Id);
  return Since && this->Clock.now() - *Since > this->Options.PeerSilenceTimeout;
}

bool FailoverCoordinator::isActivePromoter(TimePoint Now) const {
  return this->OwnStep != Revision{} &&
         this->OwnStep == this->PromoterRevision &&
         Now - this->PromoterSeenAt < this->Options.PromoterHandoverDelay;
}

bool FailoverCoordinator::othersFindPrimarySilent(const ServiceId &Id,
                                                  TimePoint Now) const {
  const LeaseRound &Round = this->Exchange.round();
  ReachabilityCounts Tally = Round.reachability(Id);
  return Now - Round.sentAt() < 2 * this->Options.QueryInterval &&
         Tally.Silent > Tally.Responding + 1;
}

std::size_t FailoverCoordinator::promoterRank() const {
  if (this->isActivePromoter(this->Clock.now()))
    return 0;
  return this->Duties.rank(
      ReadDuty, [this](const InstanceId &Id) { return this->isSilent(Id); });
}

std::size_t FailoverCoordinator::promoterRank(const ServiceId &Id) const {
  auto History = this->ReplicaHistories.find(Id);
  bool KnowsAll =
      History == this->ReplicaHistories.end() || History->second.knowsAll();
  return this->promoterRank() + (KnowsAll ? 0 : this->Instances.count());
}

RelayChoice FailoverCoordinator::relayToQuery(std::size_t Turn) const {
  std::vector<InstanceId> Holders =
      this->Duties.holders(ReadDuty, this->relays());
  bool IsRelay = this->Duties.holds(ReadDuty, Holders.size());
  std::vector<RelayView> Views;
  for (const InstanceId &Id : Holders) {
    const RegisteredInstance *Entry = this->Instances.find(Id);
    if (!Entry || Id == this->Options.Self)
      continue;
    Views.push_back(
        {.Entry = Entry,
         .Silent = IsRelay ? this->cannotRead(Id) : this->isSilent(Id),
         .MissedLast = this->Exchange.silentSince(Id).has_value()});
  }
  RelayChoice Choice =
      chooseRelay(this->Options.Relays, Views, this->Options.Zone, IsRelay,
                  this->Options.Seed, Turn);
  if (this->isReader())
    Choice.Source = nullptr;
  return Choice;
}

ConnectivityView FailoverCoordinator::connectivity(TimePoint Now) {
  bool AnyLease = false;
  for (const PrimaryRecord &Record : this->Leases.all()) {
    auto Lease = this->Leases.lease(Record.Service);
    // A record whose primary is being replaced does not indicate a partition.
    AnyLease = AnyLease || !Lease || Lease->Ending || Lease->ExpiresAt > Now;
  }
  if (AnyLease)
    this->LeasesLostAt.reset();
  else if (!this->LeasesLostAt)
    this->LeasesLostAt = Now;
  const ZoneId &Zone = this->Options.Zone;
  // Records from a reader in the own zone also prove contact with the store.
  auto StoreContactAt =
      std::max(this->StoreAnsweredAt, this->Leases.oldestReadSentAt());
  return {.LastContactAt =
              std::max(StoreContactAt, this->Exchange.lastReplyOutside(Zone)),
          .OtherZonesListed = this->Instances.hasOtherZone(Zone),
          .OtherZonesSilentSince = this->Exchange.silentOutsideSince(
              Zone, this->Options.PeerSilenceTimeout),
          .StoreContactAt = StoreContactAt,
          .LeasesLostAt = this->LeasesLostAt};
}

void FailoverCoordinator::updateIsolation(TimePoint Now) {
  ConnectivityView Seen = this->connectivity(Now);
  // The grantors spread over the availability zones, so they show a partition
  // as well as all instances do.
  if (this->Isolation.shouldQueryPeers(Seen, Now)) {
    bool Large = this->Instances.count() > this->Options.InstancesPerRelay;
    if (this->Grantors.Current.empty())
      this->Exchange.queryAll();
    else
      this->Exchange.pingGrantors(this->Grantors,
                                  Large ? this->Options.ContactQueries
                                        : this->Grantors.Current.size());
  }
  if (this->Isolation.update(Seen, Now))
    writeDecision(
        DecisionLine(this->Isolation.isolated() ? "cut_off" : "cut_healed")
            .field("zone", this->Options.Zone.Value)
            .field("others_silent", Seen.OtherZonesSilentSince ? 1 : 0)
            .field("rights_lost", Seen.LeasesLostAt ? 1 : 0));
}

bool FailoverCoordinator::recordsAreStale(TimePoint Now) const {
  auto Oldest = this->Leases.oldestReadSentAt();
  return !Oldest || Now - *Oldest > this->Options.MaxRecordAge;
}

Awaitable<void> FailoverCoordinator::checkLiveness() {
  while (true) {
    co_await this->pause(this->Options.LivenessCheckInterval);
    if (this->Stopping || this->StoreLost ||
        !this->Duties.holds(ReadDuty, this->Options.LivenessCheckers))
      continue;
    this->Exchange.pingAll();
    TimePoint Now = this->Clock.now();
    // Copied, as the registry may change while an entry is being deleted.
    std::vector<RegisteredInstance> All = this->Instances.all();
    std::vector<RegisteredInstance> Silent;
    for (const RegisteredInstance &Entry : All) {
      auto Since = this->Exchange.silentSince(Entry.Id);
      if (Since && Now - *Since > this->Options.EvictAfter)
        Silent.push_back(Entry);
    }
    // If most instances are silent, this instance is the isolated one.
    if (Silent.size() * 2 > All.size())
      continue;
    for (const RegisteredInstance &Entry : Silent)
      co_await this->evict(Entry);
  }
}

Awaitable<void> FailoverCoordinator::evict(RegisteredInstance Entry) {
  std::string Key = std::string(InstancesPrefix) + Entry.Id.Value;
  TransactionRequest Request;
  Request.Compares = {{.Key = Key, .Modified = Entry.Stored}};
  Request.Writes = {DeleteOperation{.Key = Key}};
  auto Evicted = co_await this->Store.commit(std::move(Request));
  bool Done =
      Evicted && Evicted.value().Result == CommitReply::CommitStatus::Written;
  writeDecision(DecisionLine("strike_instance")
                    .field("instance", Entry.Id.Value)
                    .field("outcome", Done ? "removed" : "kept"));
}

Awaitable<bool> FailoverCoordinator::othersReachPrimary(ServiceId Id) {
  this->Exchange.queryAll();
  TimePoint GiveUpAt = this->Clock.now() + this->Options.ConsultTimeout;
  while (!this->Exchange.round().complete() && this->Clock.now() < GiveUpAt)
    co_await this->pause(this->Options.ConsultTimeout / 8);
  ReachabilityCounts Tally = this->Exchange.round().reachability(Id);
  PrimaryReachability Own = this->reachability(Id);
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

void FailoverCoordinator::spawn(Awaitable<void> Work) {
  asio::co_spawn(this->Exec, std::move(Work), [](std::exception_ptr Failure) {
    if (Failure)
      std::rethrow_exception(Failure);
  });
}

Awaitable<void> FailoverCoordinator::pause(Duration Length) {
  asio::steady_timer Timer(this->Exec, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

Status FailoverCoordinator::start() {
  Status Started = this->Exchange.start();
  if (!Started)
    return Started;
  this->spawn(this->renew());
  this->spawn(this->queryPeers());
  this->spawn(this->checkLiveness());
  this->spawn(this->checkServices());
  this->spawn(this->maintainGrantors());
  this->spawn(this->verifyRecords());
  return std::monostate{};
}

Awaitable<void> FailoverCoordinator::renew() {
  StoreBackoff Backoff;
  while (true) {
    TimePoint Began = this->Clock.now();
    bool AnyRecord = this->Leases.oldestReadSentAt().has_value();
    if (awaitsFirstRecord(
            {.AnyRecord = AnyRecord, .FoundNoneAt = this->FoundNoRecordsAt},
            this->Options.FirstRecordInterval, Began)) {
      co_await this->pause(this->Options.PollInterval);
      continue;
    }
    bool Stale = this->recordsAreStale(Began);
    if (!this->isReader() && !Stale) {
      bool Outdated = this->hasOutdatedGrantors();
      co_await this->pause(
          Outdated ? Duration(static_cast<Duration::rep>(this->Random.nextBelow(
                         this->Options.GrantorReadSpread.count())))
                   : this->Options.CheckInterval / 2);
      if (!Outdated || !this->hasOutdatedGrantors())
        continue;
    }
    if (AnyRecord && !this->isReader() && Stale)
      this->excludeReader(Began);
    bool Read = co_await this->readRecords();
    if (Read == this->StoreLost) {
      this->StoreLost = !Read;
      writeDecision(DecisionLine(Read ? "store_regained" : "store_lost"));
    }
    if (Read && AnyRecord)
      Backoff.onAnswered();
    // While leases can't be renewed, the reader retries at the normal interval
    // and the others back off; they are notified when the reader succeeds. The
    // first records, too, are told by the reader.
    Duration Interval = this->Options.RenewInterval;
    if (!this->isReader() && Read && !AnyRecord)
      Interval = this->Options.FirstRecordInterval;
    else if (!this->isReader() && !Read)
      Interval = Backoff.onFailed(this->Random);
    Duration Took = this->Clock.now() - Began;
    co_await this->pause(std::max(Duration{0}, Interval - Took));
  }
}

Awaitable<bool> FailoverCoordinator::readRecords() {
  TimePoint ReadSentAt = this->Clock.now();
  auto Read =
      co_await this->Store.readAllRecent(std::string(PrimaryRecordPrefix));
  if (!Read)
    co_return false;
  this->StoreAnsweredAt = this->Clock.now();
  this->onRecordListing(Read.value(), ReadSentAt);
  this->Dispatcher.onLeasesChanged();
  co_return true;
}

void FailoverCoordinator::onRecordListing(const StorePage &Listing,
                                          TimePoint ReadSentAt) {
  std::vector<PrimaryRecord> Records;
  std::vector<UnreadableRecord> UnreadableRecords;
  GrantorSet Set;
  Revision Unreadable;
  Revision Promoter;
  std::string PromoterName;
  for (const KeyValueEntry &Entry : Listing.Entries) {
    if (Entry.Key == PromoterKey) {
      Promoter = Entry.Modified;
      PromoterName = Entry.Value;
      continue;
    }
    if (Entry.Key == GrantorsKey) {
      auto Decoded = toOutcome([&] { return decodeGrantorSet(Entry); });
      if (Decoded) {
        Set = std::move(Decoded.value());
        continue;
      }
      // Leases may be held by grants of the set that was there before.
      this->SkippedRecords.report(Entry, Decoded.error());
      Set = this->Grantors;
      Unreadable = Entry.Modified;
      continue;
    }
    auto Record = toOutcome([&] { return decodePrimaryRecord(Entry); });
    if (Record) {
      Records.push_back(std::move(Record.value()));
      continue;
    }
    this->SkippedRecords.report(Entry, Record.error());
    if (auto Service = serviceOfRecordKey(Entry.Key))
      UnreadableRecords.push_back(
          {.Service = std::move(*Service), .Stored = Entry.Modified});
  }
  StoreEra Era = eraOf(Listing.StoreRevision);
  // Replies may arrive out of order across a restore.
  if (Era < eraOf(this->Grantors.Stored))
    return;
  bool Known = !Records.empty() || this->Grantors.Stored != Revision{};
  if (!Known)
    this->FoundNoRecordsAt = ReadSentAt;
  if (Known && Set.VerifiedEra != Era) {
    if (this->UnverifiedEra != Era) {
      this->UnverifiedSince = this->Clock.now();
      processMetrics().count("store_restores_total", "seen");
      writeDecision(
          DecisionLine("store_restored")
              .field("era", Era.Value)
              .field("verified_era", Set.VerifiedEra.Value)
              .field("revision", storeRevisionOf(Listing.StoreRevision)));
    }
    this->UnverifiedEra = Era;
    this->UnverifiedRecords = std::move(Records);
    this->UnverifiedUnreadable = std::move(UnreadableRecords);
    this->UnverifiedGrantors = std::move(Set);
    return;
  }
  this->UnverifiedEra.reset();
  this->ListedAtRevision =
      std::max(this->ListedAtRevision, Listing.StoreRevision);
  if (Promoter != this->PromoterRevision)
    this->PromoterSeenAt = this->Clock.now();
  this->PromoterRevision = Promoter;
  this->Promoter = std::move(PromoterName);
  this->Grantors = std::move(Set);
  this->UnreadableGrantors = Unreadable;
  this->ReadAt = std::max(this->ReadAt.value_or(ReadSentAt), ReadSentAt);
  this->Repair.onListing(UnreadableRecords, this->Leases.all(),
                         this->Clock.now());
  bool Changed = this->Leases.onListing(
      Records, {.ReadSentAt = ReadSentAt, .Grantors = this->Grantors.Stored});
  if (Changed)
    for (const PrimaryRecord &Record : Records)
      writeDecision(DecisionLine("reign_known")
                        .field("service", Record.Service.Value)
                        .field("reign", Record.Epoch)
                        .field("primary", Record.Primary.Value)
                        .field("phase", toString(Record.Phase))
                        .field("revision", Record.Stored.Value));
}

bool FailoverCoordinator::hasOutdatedGrantors() const {
  for (const PrimaryRecord &Record : this->Leases.all()) {
    auto Evidence = this->Leases.evidence(Record.Service);
    if (Evidence && Evidence->Grantors > this->Grantors.Stored)
      return true;
  }
  return false;
}

Awaitable<void> FailoverCoordinator::maintainGrantors() {
  while (true) {
    co_await this->pause(this->Options.GrantorCheckInterval);
    TimePoint Now = this->Clock.now();
    if (this->Stopping || this->UnverifiedEra || this->recordsAreStale(Now))
      continue;
    if (this->UnreadableGrantors != Revision{}) {
      GrantorSet Known = this->Grantors;
      bool MayRestore = Known.Stored != Revision{} && this->isReader();
      Known.Stored = this->UnreadableGrantors;
      if (MayRestore)
        co_await this->writeGrantors(std::move(Known));
      continue;
    }
    auto Next =
        this->GrantorUpkeep.update(this->Grantors, this->Instances.all(), Now);
    if (Next && this->isReader())
      co_await this->writeGrantors(std::move(*Next));
  }
}

Awaitable<void> FailoverCoordinator::writeGrantors(GrantorSet Next) {
  TransactionRequest Request;
  Request.Compares = {
      {.Key = std::string(GrantorsKey), .Modified = Next.Stored}};
  Request.Writes = {PutOperation{.Key = std::string(GrantorsKey),
                                 .Value = encodeGrantorSet(Next),
                                 .Lease = {}}};
  auto Written = co_await this->Store.commit(std::move(Request));
  bool Done =
      Written && Written.value().Result == CommitReply::CommitStatus::Written;
  std::string Names;
  for (const Grantor &Each : Next.Current)
    Names += (Names.empty() ? "" : ",") + Each.Id.Value;
  writeDecision(DecisionLine("grantors_write")
                    .field("grantors", Names)
                    .field("previous", Next.Previous.size())
                    .field("outcome", Done ? "written" : "not_written"));
}

Awaitable<void> FailoverCoordinator::verifyRecords() {
  while (true) {
    co_await this->pause(this->Options.GrantorRetryInterval);
    TimePoint Now = this->Clock.now();
    Duration Delay = this->Options.VerificationRankDelay *
                     static_cast<Duration::rep>(this->promoterRank());
    if (!this->UnverifiedEra || this->Stopping ||
        Now - this->UnverifiedSince < Delay)
      continue;
    StoreEra Era = *this->UnverifiedEra;
    const GrantorSet &Newest = this->Grantors.Stored != Revision{}
                                   ? this->Grantors
                                   : this->UnverifiedGrantors;
    RecordVerification Verification(Era, Newest, this->UnverifiedSince);
    while (this->UnverifiedEra == Era &&
           Verification.status(this->Clock.now()) ==
               VerificationStatus::Waiting) {
      this->Exchange.queryForVerification(Verification);
      co_await this->pause(this->Options.GrantorRetryInterval);
    }
    this->Exchange.endVerification();
    // Another instance may have completed it, or the store was restored again.
    if (this->UnverifiedEra == Era)
      co_await this->writeVerified(Verification, this->Clock.now());
    co_await this->readRecords();
  }
}

Awaitable<bool>
FailoverCoordinator::writeVerified(const RecordVerification &Verification,
                                   TimePoint Now) {
  // Conditions, writes and the grantor set of one transaction.
  constexpr std::size_t RecordsPerWrite = 10;
  std::vector<PrimaryRecord> Records =
      Verification.verified(this->UnverifiedRecords, Now);
  GrantorSet Copy = this->UnverifiedGrantors;
  std::map<ServiceId, Revision> Expected;
  for (const PrimaryRecord &Each : this->UnverifiedRecords)
    Expected[Each.Service] = Each.Stored;
  for (const UnreadableRecord &Each : this->UnverifiedUnreadable)
    Expected[Each.Service] = Each.Stored;
  GrantorSet Next = Verification.grantors();
  Next.VerifiedEra = Verification.era();
  bool Done = true;
  std::size_t Open = 0;
  for (std::size_t From = 0; Done && From <= Records.size();
       From += RecordsPerWrite) {
    TransactionRequest Request;
    Request.Compares = {
        {.Key = std::string(GrantorsKey), .Modified = Copy.Stored}};
    std::size_t End = std::min(Records.size(), From + RecordsPerWrite);
    for (std::size_t Index = From; Index < End; ++Index) {
      const PrimaryRecord &Each = Records[Index];
      Open += Each.Phase == PrimaryPhase::Open ? 1 : 0;
      std::string Key = primaryRecordKey(Each.Service);
      Request.Compares.push_back(
          {.Key = Key, .Modified = Expected[Each.Service]});
      Request.Writes.push_back(PutOperation{
          .Key = Key, .Value = encodePrimaryRecord(Each), .Lease = {}});
    }
    // The set is written last: with it, the records become valid.
    bool Last = From + RecordsPerWrite > Records.size();
    if (Last)
      Request.Writes.push_back(PutOperation{.Key = std::string(GrantorsKey),
                                            .Value = encodeGrantorSet(Next),
                                            .Lease = {}});
    auto Written = co_await this->Store.commit(std::move(Request));
    Done =
        Written && Written.value().Result == CommitReply::CommitStatus::Written;
  }
  writeDecision(DecisionLine("records_verified")
                    .field("era", Verification.era().Value)
                    .field("services", Records.size())
                    .field("open", Open)
                    .field("outcome", Done ? "written" : "not_written"));
  co_return Done;
}

Awaitable<void> FailoverCoordinator::checkServices() {
  while (true) {
    co_await this->pause(this->Options.CheckInterval);
    if (this->Stopping || !this->ReadAt)
      continue;
    TimePoint Now = this->Clock.now();
    for (const auto &[Id, State] : this->Dispatcher.services()) {
      this->trackUnfinished(Id, Now);
      this->trackReplicas(Id, State, Now);
      if (!State.Pools.empty() && !this->Activities.isActive(Id))
        this->checkService(Id, Now);
    }
  }
}

bool FailoverCoordinator::mayStartFailover(TimePoint Now) const {
  if (!this->ReadAt || this->UnverifiedEra)
    return false;
  // A step under this instance's name may be that of an earlier process, whose
  // calls may still be on their way.
  bool Before = this->OwnStep == this->PromoterRevision;
  return Before || this->PromoterRevision.Value == 0 ||
         Now - this->PromoterSeenAt > this->Options.PromoterHandoverDelay;
}

void FailoverCoordinator::checkService(const ServiceId &Id, TimePoint Now) {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record && this->Repair.isUnreadable(Id)) {
    auto Next = this->Repair.replacement(Id, this->promoterRank(), Now);
    if (!Next || !this->mayStartFailover(Now))
      return;
    this->Activities.begin(Id, FailoverStep::Changing);
    return this->spawn(this->replaceUnreadable(std::move(*Next)));
  }
  if (!Record) {
    this->Activities.begin(Id, FailoverStep::Changing);
    return this->spawn(this->writeFirstRecord(Id));
  }
  this->FirstPrimarySoughtAt.erase(Id);
  if (Record->Phase != PrimaryPhase::Open)
    return this->checkUnfinished(*Record, Now);
  PrimaryObservation Seen = this->observation(*Record);
  PrimaryMonitor &Monitor =
      this->Monitors.try_emplace(Id, this->Options.Monitor).first->second;
  if (Seen.Registered && Monitor.needsProbe(Seen, Now))
    this->Dispatcher.services()
        .at(Id)
        .Pools.at(Record->Primary)
        ->queryStatus([](const auto &, TimePoint) {});
  FailoverReason Reason = Monitor.evaluate(Seen, this->promoterRank(Id), Now);
  if (Reason == FailoverReason::None && this->isActivePromoter(Now) &&
      this->othersFindPrimarySilent(Id, Now))
    Reason = FailoverReason::Lost;
  if (Reason == FailoverReason::None)
    return this->checkBacklog(*Record, Now);
  if (Now < this->NextFailoverAt[Id] || !this->mayStartFailover(Now))
    return;
  this->Activities.begin(Id, FailoverStep::Checking);
  this->spawn(this->replace(*Record, Reason));
}

std::optional<TimePoint>
FailoverCoordinator::membersListedAt(TimePoint Now) const {
  return this->Versions.MembersConfirmedAt ? this->Versions.MembersConfirmedAt()
                                           : Now;
}

void FailoverCoordinator::trackReplicas(const ServiceId &Id,
                                        const ServiceState &State,
                                        TimePoint Now) {
  if (State.SynchronousReplicas == 0) {
    this->ReplicaHistories.erase(Id);
    this->ReplicaWatches.erase(Id);
    return;
  }
  std::vector<RegisteredMember> Registered;
  for (const auto &[Member, Pool] : State.Pools)
    Registered.push_back(Pool->member());
  auto ListedAt = this->membersListedAt(Now);
  if (!ListedAt)
    return;
  ReplicaHistory &History =
      this->ReplicaHistories.try_emplace(Id, this->Options.Replicas)
          .first->second;
  std::vector<Endpoint> OtherAddresses;
  if (!History.unlisted().empty())
    for (const auto &[Other, OtherState] : this->Dispatcher.services())
      for (const auto &[Member, Pool] : OtherState.Pools)
        if (Other != Id)
          OtherAddresses.push_back(Pool->member().Where);
  History.onMembers(Registered, *ListedAt, Now, OtherAddresses);
  if (auto Newest = State.Freshness.newest())
    History.onSample(*Newest);
  this->watchReplicas(Id, State);
  this->sampleForDepartures(Id, State, Now);
}

void FailoverCoordinator::watchReplicas(const ServiceId &Id,
                                        const ServiceState &State) {
  // A search may have begun to watch replicas here.
  if (!State.Configured ||
      this->promoterRank() >= this->Options.ReplicaWatchers) {
    if (!this->Activities.isActive(Id))
      this->ReplicaWatches.erase(Id);
    return;
  }
  const PrimaryRecord *Record = this->Leases.record(Id);
  std::vector<RegisteredMember> Replicas = this->unlistedReplicas(Id);
  for (const auto &[Member, Pool] : State.Pools)
    if (!Record || Record->Primary != Member)
      Replicas.push_back(Pool->member());
  std::erase_if(this->ReplicaWatches[Id], [&](const auto &Each) {
    return std::ranges::none_of(Replicas, [&](const RegisteredMember &Kept) {
      return Kept.Id == Each.first;
    });
  });
  for (const RegisteredMember &Each : Replicas)
    this->watch(Id, Each).poll(this->Options.ReplicaPollInterval);
}

ReplicaWatch &FailoverCoordinator::watch(const ServiceId &Id,
                                         const RegisteredMember &Member) {
  std::shared_ptr<ReplicaWatch> &Found = this->ReplicaWatches[Id][Member.Id];
  if (Found && Found->member().Where == Member.Where)
    return *Found;
  auto Notify = [this, Id](const auto &Event) {
    auto History = this->ReplicaHistories.find(Id);
    if (History != this->ReplicaHistories.end())
      Event(History->second);
  };
  Found = std::make_shared<ReplicaWatch>(
      this->Exec, Member,
      ReplicaWatch::Hooks{
          .OnConnected =
              [Notify, Replica = Member.Id](TimePoint ConnectedAt) {
                Notify([&](ReplicaHistory &History) {
                  History.onConnected(Replica, ConnectedAt);
                });
              },
          .OnAddressAnswered =
              [Notify, Replica = Member.Id](bool InUse, TimePoint AskedAt,
                                            TimePoint AnsweredAt) {
                Notify([&](ReplicaHistory &History) {
                  History.onAddressAnswered(Replica, InUse, AskedAt,
                                            AnsweredAt);
                });
              }});
  return *Found;
}

void FailoverCoordinator::sampleForDepartures(const ServiceId &Id,
                                              const ServiceState &State,
                                              TimePoint Now) {
  auto Lease = this->lease(Id);
  if (!this->ReplicaHistories.at(Id).needsSample(Now) || !Lease ||
      Lease->ExpiresAt <= Now)
    return;
  auto Primary = State.Pools.find(Lease->Primary);
  if (Primary == State.Pools.end())
    return;
  Primary->second->queryStatus(
      [this, Id, Epoch = Lease->Epoch](
          const std::optional<MemberReport> &Report, TimePoint SentAt) {
        // If the lease of this epoch is valid now, it was when this was sent.
        auto Current = this->lease(Id);
        bool Leads = Current && Current->Epoch == Epoch &&
                     Current->ExpiresAt > this->Clock.now();
        auto History = this->ReplicaHistories.find(Id);
        if (Report && Report->Primary && Leads &&
            History != this->ReplicaHistories.end())
          History->second.onSample(
              {.AskedAt = SentAt, .Reached = Report->Received});
      });
}

std::vector<RegisteredMember>
FailoverCoordinator::unlistedReplicas(const ServiceId &Id) const {
  std::vector<RegisteredMember> Replicas;
  auto History = this->ReplicaHistories.find(Id);
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (History == this->ReplicaHistories.end())
    return Replicas;
  for (RegisteredMember &Each : History->second.unlisted())
    if (!Record || Record->Primary != Each.Id)
      Replicas.push_back(std::move(Each));
  return Replicas;
}

void FailoverCoordinator::trackUnfinished(const ServiceId &Id, TimePoint Now) {
  const PrimaryRecord *Record = this->Leases.record(Id);
  if (!Record || Record->Phase == PrimaryPhase::Open) {
    this->UnfinishedRecords.erase(Id);
    this->SeenClosings.erase(Id);
    return;
  }
  this->closingSeenAt(*Record, Now);
  Unfinished &Known =
      this->UnfinishedRecords
          .try_emplace(Id, Unfinished{.Stored = Record->Stored, .SeenAt = Now})
          .first->second;
  if (Known.Stored != Record->Stored)
    Known = {.Stored = Record->Stored, .SeenAt = Now};
}

TimePoint FailoverCoordinator::closingSeenAt(const PrimaryRecord &Record,
                                             TimePoint Now) {
  SeenClosing &Seen =
      this->SeenClosings
          .try_emplace(Record.Service, SeenClosing{Record.ClosedFrom, Now})
          .first->second;
  if (Seen.ClosedFrom != Record.ClosedFrom)
    Seen = {.ClosedFrom = Record.ClosedFrom, .SeenAt = Now};
  return Seen.SeenAt;
}

void FailoverCoordinator::checkUnfinished(const PrimaryRecord &Record,
                                          TimePoint Now) {
  Duration Limit =
      this->Options.TakeOverAfter +
      rankDelay(this->Options.Monitor, this->promoterRank(Record.Service));
  if (Now - this->UnfinishedRecords.at(Record.Service).SeenAt < Limit ||
      !this->mayStartFailover(Now))
    return;
  this->Activities.begin(Record.Service, FailoverStep::Checking);
  this->spawn(this->replace(Record, FailoverReason::Lost));
}

Awaitable<void> FailoverCoordinator::writeFirstRecord(ServiceId Id) {
  // Ends as soon as the record is known: until then this instance grants no
  // lease on the service, and the last ranks of a large fleet wait for long.
  TimePoint Due =
      this->Clock.now() + this->Options.InstallRankDelay *
                              static_cast<Duration::rep>(this->readerRank());
  do
    co_await this->pause(this->Options.PollInterval);
  while (this->Clock.now() < Due && !this->Leases.record(Id));
  if (this->Leases.record(Id)) {
    this->Activities.end(Id);
    co_return;
  }
  TimePoint SoughtAt =
      this->FirstPrimarySoughtAt.try_emplace(Id, this->Clock.now())
          .first->second;
  auto Candidates = co_await this->queryFirstPrimary(Id);
  auto Primary = chooseFirstPrimary(this->Options.FirstPrimary, Candidates,
                                    this->Clock.now() - SoughtAt);
  if (Primary && !this->Leases.record(Id)) {
    PrimaryRecord First{.Service = Id,
                        .Epoch = firstEpoch(this->ListedAtRevision),
                        .Primary = *Primary};
    auto Chosen =
        std::ranges::find(Candidates, *Primary, &FirstPrimaryCandidate::Id);
    First.KnownTerm = Chosen->Newest;
    co_await this->write(First, Revision{});
  }
  if (!Candidates.empty())
    co_await this->readRecords();
  this->Activities.end(Id);
}

Awaitable<std::vector<FirstPrimaryCandidate>>
FailoverCoordinator::queryFirstPrimary(ServiceId Service) {
  std::vector<std::shared_ptr<MemberLinkPool>> Queried;
  std::vector<std::shared_ptr<MemberLinkPool>> Claimants;
  auto State = this->Dispatcher.services().find(Service);
  if (State == this->Dispatcher.services().end())
    co_return std::vector<FirstPrimaryCandidate>{};
  for (const auto &[Id, Pool] : State->second.Pools) {
    Queried.push_back(Pool);
    if (Pool->member().Role == MemberRole::Primary && !Pool->member().Draining)
      Claimants.push_back(Pool);
  }
  // The others are asked only to decide between claims.
  if (Claimants.size() < 2)
    Queried = Claimants;
  std::vector<FirstPrimaryCandidate> Candidates;
  for (const std::shared_ptr<MemberLinkPool> &Pool : Queried) {
    auto Report = co_await this->queryStatus(Pool);
    FirstPrimaryCandidate Each{.Id = Pool->member().Id};
    Each.Claims = std::ranges::find(Claimants, Pool) != Claimants.end();
    Each.Answered = Report.has_value();
    Each.Leads = Report && Report->Primary;
    Each.Newest = Report ? Report->Newest : Term{};
    Candidates.push_back(std::move(Each));
  }
  co_return Candidates;
}

Awaitable<void> FailoverCoordinator::replaceUnreadable(PrimaryRecord Next) {
  writeDecision(DecisionLine("unreadable_reign_replaced")
                    .field("service", Next.Service.Value)
                    .field("reign", Next.Epoch)
                    .field("primary", Next.Primary.Value)
                    .field("revision", Next.Stored.Value));
  auto Stored = co_await this->write(Next, Next.Stored);
  if (!Stored)
    co_return this->Activities.end(Next.Service);
  Next.Stored = *Stored;
  constexpr bool OrdersSettled = true;
  co_await this->replace(Next, FailoverReason::Lost, OrdersSettled);
}

Awaitable<std::optional<MemberReport>>
FailoverCoordinator::queryStatus(std::shared_ptr<MemberLinkPool> Pool) {
  auto Report = std::make_shared<std::optional<MemberReport>>();
  auto Answered = std::make_shared<bool>(false);
  auto Timer = std::make_shared<asio::steady_timer>(
      this->Exec, this->Options.OrderCallTimeout);
  Pool->queryStatus([Report, Answered, Timer](
                        const std::optional<MemberReport> &Reply, TimePoint) {
    *Report = Reply;
    *Answered = true;
    Timer->cancel();
  });
  boost::system::error_code Ignored;
  if (!*Answered)
    co_await Timer->async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  co_return *Report;
}

Awaitable<std::optional<Revision>>
FailoverCoordinator::write(PrimaryRecord Record, Revision Expected) {
  while (this->Writing)
    co_await this->pause(this->Options.PollInterval / 10);
  this->Writing = true;
  auto Stored = co_await this->writeOnce(Record, Expected);
  // The write also fails if another promoter made a step for another service
  // in between. The new primary is valid regardless, so retry.
  for (int Retry = 0; !Stored && Record.Phase == PrimaryPhase::Open &&
                      Retry < this->Options.OpeningRetries;
       ++Retry) {
    bool Read = co_await this->readRecords();
    const PrimaryRecord *Now = this->Leases.record(Record.Service);
    if (!Read || (Now ? Now->Stored : Revision{}) != Expected)
      break;
    Stored = co_await this->writeOnce(Record, Expected);
  }
  this->Writing = false;
  if (Stored)
    this->Exchange.notifyChange();
  writeDecision(DecisionLine("reign_write")
                    .field("service", Record.Service.Value)
                    .field("reign", Record.Epoch)
                    .field("primary", Record.Primary.Value)
                    .field("phase", toString(Record.Phase))
                    .field("target", Record.Target.Value)
                    .field("outcome", Stored ? "written" : "not_written"));
  co_return Stored;
}

Awaitable<std::optional<Revision>>
FailoverCoordinator::writeOnce(PrimaryRecord Record, Revision Expected) {
  Record.Writer = this->Options.Self;
  Record.Attempt = this->Random.nextBelow(AttemptIdBound);
  std::string Key = primaryRecordKey(Record.Service);
  GrantorSet Set = this->Grantors;
  TransactionRequest Request;
  Request.Compares = {
      {.Key = Key, .Modified = Expected},
      {.Key = std::string(PromoterKey), .Modified = this->PromoterRevision},
      {.Key = std::string(GrantorsKey), .Modified = Set.Stored}};
  Request.Writes = {PutOperation{.Key = Key,
                                 .Value = encodePrimaryRecord(Record),
                                 .Lease = {}},
                    PutOperation{.Key = std::string(PromoterKey),
                                 .Value = this->Options.Self.Value,
                                 .Lease = {}}};
  // The first record of the system is written with a set without grantors.
  if (Set.Stored == Revision{}) {
    Set.VerifiedEra = this->Store.era();
    Request.Writes.push_back(PutOperation{.Key = std::string(GrantorsKey),
                                          .Value = encodeGrantorSet(Set),
                                          .Lease = {}});
  }
  TimePoint SentAt = this->Clock.now();
  auto Written = co_await this->Store.commit(std::move(Request));
  std::optional<Revision> Stored;
  if (Written && Written.value().Result == CommitReply::CommitStatus::Written) {
    Stored = Written.value().Written;
    this->PromoterRevision = *Stored;
    this->OwnStep = *Stored;
    this->Promoter = this->Options.Self.Value;
    if (Set.Stored == Revision{}) {
      Set.Stored = *Stored;
      this->Grantors = Set;
    }
    this->PromoterSeenAt = this->Clock.now();
    Record.Stored = *Stored;
    this->Leases.onRecord(
        Record, {.ReadSentAt = SentAt, .Grantors = this->Grantors.Stored});
    this->Dispatcher.onLeasesChanged();
  } else if (!Written && co_await this->readRecords()) {
    // The reply was lost; the stored record shows whether the write was made.
    const PrimaryRecord *Now = this->Leases.record(Record.Service);
    if (Now && Now->Writer == Record.Writer && Now->Attempt == Record.Attempt) {
      Stored = Now->Stored;
      this->OwnStep = *Stored;
    }
  }
  co_return Stored;
}

Awaitable<void> FailoverCoordinator::replace(PrimaryRecord From,
                                             FailoverReason Reason,
                                             bool OrdersSettled) {
  Failover F;
  F.Record = From;
  F.Reason = Reason;
  if (auto Newest =
          this->Dispatcher.services().at(From.Service).Freshness.newest())
    F.Sampled = Newest->Reached;
  bool Needed = co_await this->isStillNeeded(From, Reason);
  writeDecision(DecisionLine("replace_primary")
                    .field("service", From.Service.Value)
                    .field("reign", From.Epoch)
                    .field("primary", From.Primary.Value)
                    .field("reason", toString(Reason))
                    .field("phase", toString(From.Phase))
                    .field("outcome", Needed ? "begun" : "not_begun"));
  if (Needed)
    this->takeOver(F, OrdersSettled);
  bool Closed = Needed && co_await this->closeRecord(F);
  TimePoint GiveUpAt = this->Clock.now() + this->Options.SearchTimeout;
  while (Closed && F.Successor.Value.empty() && !F.KeepsOldPrimary &&
         this->Clock.now() < GiveUpAt) {
    auto Target = co_await this->findSuccessor(F);
    if (!Target)
      break;
    if (!co_await this->orderPromotion(F, *Target))
      break;
    co_await this->awaitPromotion(F);
  }
  if (F.KeepsOldPrimary)
    this->NextFailoverAt[From.Service] =
        this->Clock.now() + this->Options.FailoverRetryPause;
  bool Promoted = !F.Successor.Value.empty();
  if (Promoted || F.KeepsOldPrimary) {
    PrimaryRecord Next{.Service = F.Record.Service,
                       .Epoch = F.Record.Epoch + (Promoted ? 1 : 0),
                       .Primary = Promoted ? F.Successor : F.Record.Primary,
                       .KnownTerm = Promoted ? F.NewTerm : F.Record.KnownTerm,
                       .TermStarts = F.Record.TermStarts};
    if (Promoted)
      Next.TermStarts = withTermStart(
          std::move(Next.TermStarts),
          {.NewTerm = F.NewTerm, .PrecedingPosition = F.StartedAfter});
    if (Promoted)
      this->stepDownFormerPrimary(F);
    co_await this->write(Next, F.Record.Stored);
  }
  this->Activities.end(From.Service);
}

void FailoverCoordinator::takeOver(Failover &F, bool OrdersSettled) const {
  // A copy from another instance lacks what the store has of the orders.
  F.Record = *this->Leases.record(F.Record.Service);
  F.Orders = PromotionOrders({.EffectTimeout = this->Options.PromotionTimeout});
  auto Seen = this->UnfinishedRecords.find(F.Record.Service);
  if (F.Record.Phase != PrimaryPhase::Ordered)
    return;
  TimePoint SeenAt = Seen == this->UnfinishedRecords.end()
                         ? this->Clock.now()
                         : Seen->second.SeenAt;
  GivenOrder Order{.Target = F.Record.Target};
  if (!OrdersSettled)
    Order.EndedAt =
        SeenAt + this->Options.OrderValidity + this->Options.OrderCallTimeout;
  if (F.Record.KnownTerm != Term{})
    Order.Before = F.Record.KnownTerm;
  F.Orders.add(std::move(Order));
}

Awaitable<bool> FailoverCoordinator::isStillNeeded(PrimaryRecord From,
                                                   FailoverReason Reason) {
  ServiceId Id = From.Service;
  bool Read = co_await this->readRecords();
  const PrimaryRecord *Now = this->Leases.record(Id);
  if (!Read || !Now || Now->Stored != From.Stored ||
      !this->mayStartFailover(this->Clock.now())) {
    this->NextFailoverAt[Id] =
        this->Clock.now() + this->Options.FailoverRetryPause;
    co_return false;
  }
  bool Open = From.Phase == PrimaryPhase::Open;
  if (Open && Reason == FailoverReason::Lost &&
      co_await this->othersReachPrimary(Id)) {
    this->NextFailoverAt[Id] =
        this->Clock.now() + this->Options.FailoverRetryPause;
    co_return false;
  }
  if (Open && isPlanned(Reason)) {
    bool HasSuccessor = co_await this->hasSuccessor(From);
    if (!HasSuccessor) {
      this->NextFailoverAt[Id] =
          this->Clock.now() + this->Options.FailoverRetryPause;
      co_return false;
    }
  }
  co_return true;
}

Awaitable<bool> FailoverCoordinator::hasSuccessor(PrimaryRecord Record) {
  if (this->Dispatcher.services().at(Record.Service).SynchronousReplicas == 0)
    co_return true;
  auto Replies = std::make_shared<MemberReplies>();
  TimePoint GiveUpAt =
      this->Clock.now() + this->Options.Successor.CatchUpTimeout;
  std::optional<TermPosition> Reached;
  while (this->Clock.now() < GiveUpAt) {
    co_await this->queryMembers(Record.Service, {}, Replies);
    const auto &Pools = this->Dispatcher.services().at(Record.Service).Pools;
    for (const auto &[Id, Reply] : *Replies) {
      auto Pool = Pools.find(Id);
      // A replica that has what the primary had a round ago can catch up.
      if (Reached && Id != Record.Primary && Pool != Pools.end() &&
          !Pool->second->member().Draining && Reply.Report.Received >= *Reached)
        co_return true;
    }
    auto Own = Replies->find(Record.Primary);
    if (Own != Replies->end() && !Reached)
      Reached = Own->second.Report.Received;
    co_await this->pause(this->Options.PollInterval);
  }
  writeDecision(DecisionLine("hand_over_postponed")
                    .field("service", Record.Service.Value)
                    .field("primary", Record.Primary.Value)
                    .field("position", positionText(Reached)));
  // Without a reply of the primary, the search has to do without it as well.
  co_return !Reached.has_value();
}

Awaitable<bool> FailoverCoordinator::closeRecord(Failover &F) {
  // Another promoter may have started while the other instances were queried.
  if (!this->mayStartFailover(this->Clock.now()))
    co_return false;
  PrimaryRecord Next = F.Record;
  if (Next.Phase == PrimaryPhase::Open) {
    Next.Phase = PrimaryPhase::Closing;
    Next.ClosedFrom = F.Record.Stored;
  }
  this->Activities.begin(Next.Service, FailoverStep::Changing);
  auto Stored = co_await this->write(Next, F.Record.Stored);
  if (!Stored)
    co_return false;
  Next.Stored = *Stored;
  F.Record = Next;
  TimePoint Now = this->Clock.now();
  ClosingProgress Progress{.ClosedAt = this->closingSeenAt(Next, Now)};
  GrantorSet Set = this->Grantors;
  // Without grantors no lease was extended.
  if (Set.all().empty())
    Progress.ConsentedAt = Now;
  while (true) {
    if (!Progress.ConsentedAt)
      Progress.ConsentedAt =
          this->Exchange.requestConsent(Set, Next.Service, Next.Stored)
              .completedAt();
    Now = this->Clock.now();
    TimePoint PromotionAllowedAt =
        std::max(earliestPromotion(this->Options.Rules, Progress),
                 this->Grants.grantedUntil(Next.Service));
    if (Now >= PromotionAllowedAt)
      break;
    Duration Left = std::max(Duration(1000), PromotionAllowedAt - Now);
    co_await this->pause(
        Progress.ConsentedAt
            ? Left
            : std::min(Left, this->Options.GrantorRetryInterval));
  }
  co_return true;
}

Awaitable<void>
FailoverCoordinator::queryMembers(ServiceId Service,
                                  std::set<UpstreamId> NotAwaited,
                                  std::shared_ptr<MemberReplies> Replies) {
  auto Missing = std::make_shared<std::size_t>(0);
  auto HandlerFor = [&](const UpstreamId &Id, bool Awaited) {
    *Missing += Awaited ? 1 : 0;
    return [Replies, Missing, Awaited, Id,
            Clock = this->Clock](const std::optional<MemberReport> &Report,
                                 std::optional<TimePoint> ConnectedAt) {
      *Missing -= Awaited ? 1 : 0;
      if (Report)
        Replies->insert_or_assign(Id, MemberReply{.Report = *Report,
                                                  .ReceivedAt = Clock.now(),
                                                  .ConnectedAt = ConnectedAt});
    };
  };
  auto QueryWatched = [&](const RegisteredMember &Member, auto Handler) {
    this->watch(Service, Member)
        .query([Handler](const std::optional<ReplicaWatch::Reply> &Reply) {
          if (Reply)
            return Handler(Reply->Report, Reply->ConnectedAt);
          Handler(std::nullopt, std::nullopt);
        });
  };
  const ServiceState &State = this->Dispatcher.services().at(Service);
  const PrimaryRecord *Record = this->Leases.record(Service);
  for (const auto &[Id, Pool] : State.Pools) {
    auto Handler = HandlerFor(Id, !NotAwaited.contains(Id));
    bool IsPrimary = Record && Record->Primary == Id;
    if (State.SynchronousReplicas > 0 && !IsPrimary)
      QueryWatched(Pool->member(), Handler);
    else
      Pool->queryStatus([Handler](const std::optional<MemberReport> &Report,
                                  TimePoint) { Handler(Report, {}); });
  }
  for (const RegisteredMember &Each : this->unlistedReplicas(Service))
    QueryWatched(Each, HandlerFor(Each.Id, false));
  TimePoint GiveUpAt = this->Clock.now() + this->Options.ReportTimeout;
  while (*Missing > 0 && this->Clock.now() < GiveUpAt)
    co_await this->pause(this->Options.PollInterval / 8);
}

Awaitable<void> FailoverCoordinator::queryCandidates(Failover &F) {
  const ServiceState &State = this->Dispatcher.services().at(F.Record.Service);
  std::set<UpstreamId> NotAwaited = F.Refused;
  bool HasOthers = false;
  for (const auto &[Id, Pool] : State.Pools) {
    if (Id == F.Record.Primary)
      continue;
    // Its log counts only where acknowledgements rest on replicas.
    if (Pool->member().Draining && State.SynchronousReplicas == 0)
      NotAwaited.insert(Id);
    HasOthers = HasOthers || !NotAwaited.contains(Id);
  }
  // Don't wait for a reply of a lost primary, unless it is the only member that
  // can reply.
  if (!isPlanned(F.Reason) && HasOthers)
    NotAwaited.insert(F.Record.Primary);
  co_await this->queryMembers(F.Record.Service, std::move(NotAwaited),
                              F.Replies);
}

std::vector<TermReport> FailoverCoordinator::termReports(const Failover &F) {
  std::vector<TermReport> Reports;
  for (const auto &[Id, Reply] : *F.Replies)
    Reports.push_back({.Member = Id,
                       .Leads = Reply.Report.Primary,
                       .Newest = Reply.Report.Newest,
                       .Received = Reply.Report.Received});
  return Reports;
}

Term FailoverCoordinator::newestTerm(const Failover &F) {
  Term Newest = F.Record.KnownTerm;
  if (F.Sampled)
    Newest = std::max(Newest, F.Sampled->WrittenIn);
  for (const TermReport &Each : termReports(F))
    Newest = std::max(Newest, Each.Newest);
  return Newest;
}

bool FailoverCoordinator::noteIfInEffect(Failover &F,
                                         const TermReport &Report) {
  if (!F.Orders.isInEffect(Report))
    return false;
  F.Successor = Report.Member;
  F.NewTerm = Report.Newest;
  F.StartedAfter = Report.Received.Position;
  writeDecision(DecisionLine("promotion_in_effect")
                    .field("service", F.Record.Service.Value)
                    .field("member", Report.Member.Value)
                    .field("term", Report.Newest.Value));
  return true;
}

SuccessorSearch FailoverCoordinator::successorSearch(const Failover &F,
                                                     TimePoint BeganAt) {
  const ServiceState &State = this->Dispatcher.services().at(F.Record.Service);
  // A member that has left the list since the last check counts as departed.
  this->trackReplicas(F.Record.Service, State, this->Clock.now());
  SuccessorSearch Search;
  Search.Reason = F.Reason;
  Search.SynchronousReplicas = State.SynchronousReplicas;
  Search.Sampled = F.Sampled;
  Search.BeganAt = BeganAt;
  Search.ClosedAt = this->closingSeenAt(F.Record, BeganAt);
  Search.ListedAt = this->membersListedAt(this->Clock.now());
  if (State.Acknowledged && State.Acknowledged->Epoch == F.Record.Epoch)
    Search.Acknowledged = State.Acknowledged->Entry;
  Search.Orders = F.Orders;
  Search.TermStarts = F.Record.TermStarts;
  Search.FormerPrimary = F.Record.Primary;
  Search.Terms = termReports(F);
  for (const auto &[Id, Pool] : State.Pools) {
    bool Former = Id == F.Record.Primary;
    auto Reply = F.Replies->find(Id);
    bool Replied = Reply != F.Replies->end();
    if (Former && Replied && isPlanned(F.Reason) &&
        Reply->second.Report.Primary)
      Search.PrimaryPosition = Reply->second.Report.Received;
    ReplicaState Replica{.Id = Id,
                         .Draining = Pool->member().Draining,
                         .Refused = F.Refused.contains(Id)};
    if (Replied) {
      Replica.Report = {.Received = Reply->second.Report.Received,
                        .ApplyDelay = Reply->second.Report.ApplyDelay,
                        .ReceivedAt = Reply->second.ReceivedAt};
      Replica.Leads = Reply->second.Report.Primary;
    }
    if (Former && Replied)
      Search.Former = Replica;
    // A lost primary that has become a replica may lead again.
    if (!Former || (Replied && !isPlanned(F.Reason)))
      Search.Replicas.push_back(std::move(Replica));
  }
  auto History = this->ReplicaHistories.find(F.Record.Service);
  if (History == this->ReplicaHistories.end())
    return Search;
  for (DepartedReplica &Each : History->second.departed()) {
    if (Each.Id == F.Record.Primary)
      continue;
    auto Reply = F.Replies->find(Each.Id);
    if (!Each.Ended && Reply != F.Replies->end())
      Each.Report = {.Received = Reply->second.Report.Received,
                     .ApplyDelay = Reply->second.Report.ApplyDelay,
                     .ReceivedAt = Reply->second.ReceivedAt};
    Search.Departed.push_back(std::move(Each));
  }
  return Search;
}

void FailoverCoordinator::logSearch(Failover &F, const SuccessorSearch &Search,
                                    const SuccessorDecision &Decision) const {
  auto Known = std::max(Search.PrimaryPosition, Search.Sampled);
  for (const ReplicaState &Each : Search.Replicas) {
    if (!Each.Report)
      continue;
    auto [Logged, Added] =
        F.LoggedPositions.try_emplace(Each.Id, Each.Report->Received);
    if (!Added && Logged->second == Each.Report->Received)
      continue;
    Logged->second = Each.Report->Received;
    writeDecision(DecisionLine("successor_candidate")
                      .field("service", F.Record.Service.Value)
                      .field("member", Each.Id.Value)
                      .field("received", positionText(Each.Report->Received))
                      .field("draining", Each.Draining ? 1 : 0)
                      .field("acknowledged", positionText(Known)));
  }
  std::string Missing;
  for (const UpstreamId &Each : Decision.Missing)
    Missing += (Missing.empty() ? "" : ",") +
               (Each.Value.empty() ? std::string("unknown") : Each.Value);
  SearchAssessment Assessment =
      assessSearch(this->Options.Successor, Search, this->Clock.now());
  std::string Standings = standingsText(Assessment);
  std::string_view Outcome = outcomeOf(Search, Decision);
  const GivenOrder *Ordered = Search.Orders.decisive();
  std::string Shown = Missing + " " + Standings + " " + std::string(Outcome);
  if (Shown == F.LoggedSearch)
    return;
  F.LoggedSearch = std::move(Shown);
  writeDecision(DecisionLine("successor_search")
                    .field("service", F.Record.Service.Value)
                    .field("sync_replicas", Search.SynchronousReplicas)
                    .field("required", positionText(Assessment.Required))
                    .field("sampled", positionText(Search.Sampled))
                    .field("acknowledged", positionText(Search.Acknowledged))
                    .field("missing", Missing)
                    .field("members", Standings)
                    .field("members_listed", needsMemberList(Search) ? 0 : 1)
                    .field("ordered", Ordered ? Ordered->Target.Value : "none")
                    .field("outcome", Outcome));
}

Awaitable<void> FailoverCoordinator::awaitMemberList() {
  TimePoint Since = this->Clock.now();
  TimePoint GiveUpAt = Since + this->Options.ReportTimeout;
  while (this->Clock.now() < GiveUpAt) {
    auto ListedAt = this->membersListedAt(this->Clock.now());
    if (ListedAt && *ListedAt >= Since)
      co_return;
    this->Versions.ListMembers();
    co_await this->pause(this->Options.PollInterval / 8);
  }
}

Awaitable<std::optional<UpstreamId>>
FailoverCoordinator::findSuccessor(Failover &F) {
  TimePoint BeganAt = this->Clock.now();
  while (this->Clock.now() < BeganAt + this->Options.SearchTimeout) {
    co_await this->queryCandidates(F);
    for (const TermReport &Each : termReports(F))
      if (noteIfInEffect(F, Each))
        co_return std::nullopt;
    SuccessorSearch Search = this->successorSearch(F, BeganAt);
    if (needsMemberList(Search) && this->Versions.ListMembers) {
      co_await this->awaitMemberList();
      Search = this->successorSearch(F, BeganAt);
    }
    SuccessorDecision Decision =
        decideSuccessor(this->Options.Successor, Search, this->Clock.now());
    logSearch(F, Search, Decision);
    if (Decision.Action == SuccessorAction::KeepPrimary) {
      F.KeepsOldPrimary = true;
      co_return std::nullopt;
    }
    bool Promotes = Decision.Action == SuccessorAction::Promote;
    if (Promotes && !this->Ordering)
      co_return Decision.Target;
    // An order for another service is on its way, with a lower token.
    co_await this->pause(Promotes ? this->Options.PollInterval / 8
                                  : this->Options.PollInterval);
  }
  co_return std::nullopt;
}

void FailoverCoordinator::checkBacklog(const PrimaryRecord &Record,
                                       TimePoint Now) {
  ReplicaBacklogMonitor &Monitor =
      this->BacklogMonitors.try_emplace(Record.Service, this->Options.Backlog)
          .first->second;
  bool Short = this->Dispatcher.allReplicasLag(Record.Service, Record.Primary);
  if (!Monitor.needsReports(Short, this->promoterRank(), Now) ||
      Now < this->NextFailoverAt[Record.Service] ||
      !this->mayStartFailover(Now))
    return;
  this->Activities.begin(Record.Service, FailoverStep::Checking);
  this->spawn(this->handOverIfBacklogged(Record));
}

Awaitable<void>
FailoverCoordinator::handOverIfBacklogged(PrimaryRecord Record) {
  auto Replies = std::make_shared<MemberReplies>();
  co_await this->queryMembers(Record.Service, {}, Replies);
  const auto &Pools = this->Dispatcher.services().at(Record.Service).Pools;
  std::vector<MemberBacklog> Reports;
  for (const auto &[Id, Each] : *Replies) {
    auto Pool = Pools.find(Id);
    if (Pool == Pools.end() || Pool->second->member().Draining)
      continue;
    Reports.push_back({.Id = Id,
                       .Primary = Id == Record.Primary,
                       .Received = Each.Report.Received,
                       .ApplyDelay = Each.Report.ApplyDelay,
                       .StatementCount = Each.Report.StatementCount,
                       .Slots = Pool->second->member().Slots});
    writeDecision(
        DecisionLine("replica_backlog")
            .field("service", Record.Service.Value)
            .field("member", Id.Value)
            .field("received", positionText(Each.Report.Received))
            .field("catch_up_ms", Each.Report.ApplyDelay / milliseconds(1))
            .field("busy", Each.Report.StatementCount));
  }
  const auto &Ages = this->Dispatcher.services().at(Record.Service).Ages;
  if (Ages && this->BacklogMonitors.at(Record.Service)
                  .shouldHandOver(Reports, Ages->Loosest))
    co_return co_await this->replace(Record, FailoverReason::Backlog);
  this->Activities.end(Record.Service);
}

void FailoverCoordinator::stepDownFormerPrimary(const Failover &F) {
  const auto &Pools = this->Dispatcher.services().at(F.Record.Service).Pools;
  auto Former = Pools.find(F.Record.Primary);
  if (!isPlanned(F.Reason) || Former == Pools.end() ||
      F.Successor == F.Record.Primary)
    return;
  Former->second->stepDown(
      F.NewTerm, [Id = F.Record.Primary](
                     const std::optional<MemberReport> &Report, TimePoint) {
        writeDecision(DecisionLine("step_down")
                          .field("member", Id.Value)
                          .field("outcome", !Report           ? "unanswered"
                                            : Report->Primary ? "still_leads"
                                                              : "follows"));
      });
}

Awaitable<bool> FailoverCoordinator::orderPromotion(Failover &F,
                                                    UpstreamId Target) {
  OrderInProgress InProgress(this->Ordering);
  PrimaryRecord Next = F.Record;
  Next.Phase = PrimaryPhase::Ordered;
  Next.Target = Target;
  Next.KnownTerm = newestTerm(F);
  TimePoint Began = this->Clock.now();
  auto Stored = co_await this->write(Next, F.Record.Stored);
  if (!Stored)
    co_return false;
  Next.Stored = *Stored;
  F.Record = Next;
  TimePoint Latest = Began + this->Options.OrderValidity;
  PromotionOrder Order{.Service = Next.Service,
                       .Target = Target,
                       .Requester = this->Options.Self,
                       .FencingToken = Stored->Value};
  std::function<bool()> InTime = [this, Latest, &F] {
    return this->Clock.now() < Latest && this->targetStillRuns(F);
  };
  GivenOrder Given{.Target = Target, .Before = Next.KnownTerm};
  auto Ordered = co_await this->Store.promote(
      Order, this->Options.OrderCallTimeout, InTime);
  if (Ordered)
    Given.Fate = Ordered.value() ? OrderFate::Taken : OrderFate::Refused;
  else if (Ordered.error().Kind != ErrorKind::OutcomeUnknown)
    Given.Fate = OrderFate::NotSent;
  Given.EndedAt = this->Clock.now();
  writeDecision(DecisionLine("promotion_ordered")
                    .field("service", Next.Service.Value)
                    .field("member", Target.Value)
                    .field("token", Stored->Value)
                    .field("outcome", toString(Given.Fate)));
  if (Given.Fate == OrderFate::Refused)
    F.Refused.insert(Target);
  F.Orders.add(std::move(Given));
  co_return true;
}

bool FailoverCoordinator::targetStillRuns(const Failover &F) const {
  auto Reply = F.Replies->find(F.Record.Target);
  if (Reply == F.Replies->end() || !Reply->second.ConnectedAt)
    return true;
  auto Watches = this->ReplicaWatches.find(F.Record.Service);
  if (Watches == this->ReplicaWatches.end())
    return false;
  auto Watch = Watches->second.find(F.Record.Target);
  return Watch != Watches->second.end() &&
         Watch->second->isConnectedSince(*Reply->second.ConnectedAt);
}

Awaitable<void> FailoverCoordinator::awaitPromotion(Failover &F) {
  const GivenOrder *Order = F.Orders.decisive();
  // A refused order changes nothing.
  if (!Order || Order->Target != F.Record.Target)
    co_return;
  UpstreamId Target = Order->Target;
  TimePoint GiveUpAt = this->Clock.now() + this->Options.PromotionTimeout;
  TimePoint AskedAt;
  do {
    const auto &Pools = this->Dispatcher.services().at(F.Record.Service).Pools;
    auto Pool = Pools.find(Target);
    if (Pool == Pools.end())
      co_return;
    AskedAt = this->Clock.now();
    auto Report = co_await this->queryStatus(Pool->second);
    if (Report && noteIfInEffect(F, {.Member = Target,
                                     .Leads = Report->Primary,
                                     .Newest = Report->Newest,
                                     .Received = Report->Received,
                                     .AskedAt = AskedAt}))
      co_return;
    co_await this->pause(this->Options.PollInterval);
  } while (AskedAt < GiveUpAt);
}

} // namespace turmericpitch
