// Renews this instance's leases on primaries and replaces lost primaries.
#pragma once

#include "core/RandomSource.h"
#include "core/SkippedEntries.h"
#include "drivers/LeaseExchange.h"
#include "drivers/ReplicaWatch.h"
#include "drivers/StatementDispatcher.h"
#include "drivers/StoreClient.h"
#include "failover/FailoverActivities.h"
#include "failover/FailoverTimeline.h"
#include "failover/FirstPrimary.h"
#include "failover/GrantorMaintenance.h"
#include "failover/PrimaryMonitor.h"
#include "failover/PromotionOrders.h"
#include "failover/PromotionRules.h"
#include "failover/RecordRepair.h"
#include "failover/ReplicaBacklogMonitor.h"
#include "failover/ReplicaHistory.h"
#include "failover/SuccessorRules.h"
#include "limits/StoreBackoff.h"
#include "membership/IsolationDetector.h"
#include "membership/RegistryDuties.h"
#include "membership/RelayChoice.h"

#include <set>

namespace turmericpitch {

struct FailoverCoordinatorOptions {
  InstanceId Self;
  ZoneId Zone;
  /// Receives datagrams from other instances.
  Endpoint Listen;
  std::uint64_t Seed = 1;
  PromotionRulesOptions Rules = {};
  PrimaryMonitorOptions Monitor = {};
  ReplicaBacklogMonitorOptions Backlog = {};
  /// How often leases are renewed; less than a third of their validity, so
  /// that one lost reply does not let a lease expire.
  Duration RenewInterval = std::chrono::milliseconds(250);
  /// One instance reads the store. For each group of this many instances, one
  /// more relays the records and then answers about 80 queries per second.
  std::size_t InstancesPerRelay = 12;
  /// Number of instances, the first of the relays, that regularly check
  /// whether all others respond.
  std::size_t LivenessCheckers = 2;
  /// How often relays query the reader, and the other instances a relay.
  Duration QueryInterval = std::chrono::milliseconds(150);
  RelayChoiceOptions Relays = {};
  /// If its records are older than this, an instance queries the store, and
  /// relays request grants. Records from a relay are up to 560 ms old.
  Duration MaxRecordAge = std::chrono::milliseconds(620);
  /// If its leases are counted from longer ago than this, the reader requests
  /// grants. It reads the store every 250 ms.
  Duration MaxLeaseAge = std::chrono::milliseconds(450);
  /// Number of instances that may request grants at a time beside the relays,
  /// on average: those whose relay is silent. Each reply takes about 3 KiB of
  /// the grantor's link.
  std::size_t OtherGrantRequests = 4;
  /// Number of grantors that an instance of a large fleet queries at a time
  /// while it has no contact with other availability zones.
  std::size_t ContactQueries = 2;
  /// Time within which an instance reads a changed grantor set, at random, so
  /// that not all read it at once.
  Duration GrantorReadSpread = std::chrono::milliseconds(1500);
  GrantorMaintenanceOptions GrantorSelection = {};
  /// How often the grantor set is checked.
  Duration GrantorCheckInterval = std::chrono::milliseconds(500);
  /// How often unanswered requests to grantors are repeated.
  Duration GrantorRetryInterval = std::chrono::milliseconds(60);
  RecordRepairOptions Repair = {};
  FirstPrimaryOptions FirstPrimary = {};
  /// How much later each rank verifies the records of a restored store.
  Duration VerificationRankDelay = std::chrono::milliseconds(1000);
  /// How often an instance looks for the first records.
  Duration FirstRecordInterval = std::chrono::milliseconds(4000);
  /// How long a reader is excluded that responds but provides only stale
  /// records: the store may reject only this reader.
  Duration ReaderExclusion = std::chrono::milliseconds(3000);
  /// Timeout for the other instances to report whether they reach a primary.
  Duration ConsultTimeout = std::chrono::milliseconds(80);
  /// An instance that has not answered queries for this long may be on the
  /// other side of a network partition.
  Duration PeerSilenceTimeout = std::chrono::milliseconds(500);
  /// Pause before the next attempt when a failover was not started because
  /// other instances reach the primary or the store can't be read.
  Duration FailoverRetryPause = std::chrono::milliseconds(500);
  /// How often the liveness checkers query all other instances.
  Duration LivenessCheckInterval = std::chrono::milliseconds(700);
  /// An instance that has not answered queries for this long is evicted from
  /// the registry; if it is still alive, it registers again.
  Duration EvictAfter = std::chrono::milliseconds(2200);
  /// How often the primaries of all services are checked.
  Duration CheckInterval = std::chrono::milliseconds(100);
  /// How much later each rank writes the first record of a service; a write
  /// and its notification take about ten milliseconds.
  Duration InstallRankDelay = std::chrono::milliseconds(250);
  /// A failover that stays unfinished is taken over after this time, which
  /// exceeds the closing wait and the timeouts of the two calls that follow.
  Duration TakeOverAfter = std::chrono::milliseconds(3500);
  /// Minimum time between the steps of two different promoters, so that a
  /// pending call of the first can't arrive after one of the second.
  Duration PromoterHandoverDelay = std::chrono::milliseconds(2000);
  /// Maximum time between the write that announces an order and the order
  /// itself; after it, another promoter may have taken over.
  Duration OrderValidity = std::chrono::milliseconds(300);
  /// How often the write that opens a new epoch is retried.
  int OpeningRetries = 3;
  Duration OrderCallTimeout = std::chrono::milliseconds(1000);
  /// Typical time that a member takes from the promotion order until it is
  /// primary; half of the longest time that the users state.
  Duration TypicalPromotionTime = std::chrono::milliseconds(600);
  /// How long a member may take from the promotion order until it is
  /// primary; the users state 1 s.
  Duration PromotionTimeout = std::chrono::milliseconds(3000);
  SuccessorOptions Successor = {};
  ReplicaHistoryOptions Replicas = {};
  /// Number of instances, the first to replace primaries, that keep connections
  /// to the replicas of services with synchronous replicas.
  std::size_t ReplicaWatchers = 4;
  /// How often they check these connections.
  Duration ReplicaPollInterval = std::chrono::milliseconds(1000);
  /// How long this instance searches for a successor before it leaves the
  /// failover to other instances.
  Duration SearchTimeout = std::chrono::milliseconds(8000);
  Duration PollInterval = std::chrono::milliseconds(40);
  /// Timeout for the members to report their log positions; a reply takes a
  /// few milliseconds.
  Duration ReportTimeout = std::chrono::milliseconds(150);
};

/// Renews leases on primaries, monitors the primaries and coordinates their
/// replacement. Not thread-safe: use only from the thread that runs Exec.
class FailoverCoordinator {
public:
  /// The duty to read the store for other instances, to relay the records and
  /// to replace the primaries of all services. They are one duty because a
  /// second promoter has to wait for PromoterHandoverDelay, and the reader
  /// knows best when the last step was made.
  inline static const DutyKey ReadDuty{.Kind = Duty::Watch,
                                       .Subject = "records"};

  /// Exchanges the versions of the data that instances have, so that instances
  /// with stale data catch up.
  struct VersionHooks {
    std::function<KnownVersions()> Own;
    /// Called with the versions in an instance's reply; QuerySentAt is when the
    /// query was sent.
    std::function<void(const InstanceId &, const KnownVersions &,
                       TimePoint QuerySentAt)>
        OnOther;
    /// When the list of members was certainly the newest; nothing if it never
    /// was. Not set if the list can't change.
    std::function<std::optional<TimePoint>()> MembersConfirmedAt = {};
    /// Starts a read of the list of members unless one is in progress.
    std::function<void()> ListMembers = {};
  };

  FailoverCoordinator(Executor Exec, FailoverCoordinatorOptions Options,
                      StoreClient &Store, const InstanceRegistry &Instances,
                      StatementDispatcher &Dispatcher, VersionHooks Versions);

  /// Starts to renew leases and to monitor primaries. Errors: Unavailable if
  /// the address for other instances can't be bound.
  Status start();
  /// Expected time until a service has a primary again; nothing if that isn't
  /// known.
  [[nodiscard]] std::optional<Duration>
  expectedRecovery(const ServiceId &Id) const;
  /// Starts no further failover, and notifies the other instances.
  void stop();
  /// Whether no failover is in progress.
  [[nodiscard]] bool isIdle() const { return this->Activities.empty(); }
  [[nodiscard]] std::optional<PrimaryLease> lease(const ServiceId &Id) const {
    return this->Leases.lease(Id);
  }
  /// Whether and for how long this instance has been isolated.
  [[nodiscard]] const IsolationDetector &isolation() const {
    return this->Isolation;
  }
  /// Whether the primary records are no longer refreshed.
  [[nodiscard]] bool hasStaleRecords() const {
    return this->recordsAreStale(this->Clock.now());
  }
  /// When the store last answered a read of the records; nothing before the
  /// first answer.
  [[nodiscard]] const std::optional<TimePoint> &storeAnsweredAt() const {
    return this->StoreAnsweredAt;
  }
  /// Queries Count instances, chosen at random, for their versions.
  void queryVersions(std::size_t Count) {
    this->Exchange.pingSome(Count, this->Random);
  }
  /// Number of instances that something is remembered of.
  [[nodiscard]] std::size_t knownPeers() const {
    return this->Exchange.knownPeers();
  }
  /// Whether this instance reads the store for all other instances.
  [[nodiscard]] bool isReader() const { return this->readerRank() == 0; }
  /// Whether other instances query this one for records and samples.
  [[nodiscard]] bool providesRecords() const {
    return this->Duties.holds(ReadDuty, this->relays());
  }
  [[nodiscard]] const PrimaryLeases &leases() const { return this->Leases; }

private:
  /// The revision of an unfinished record, and when it was first seen.
  struct Unfinished {
    Revision Stored;
    TimePoint SeenAt;
  };
  /// When this instance first saw the closing of a record.
  struct SeenClosing {
    Revision ClosedFrom;
    TimePoint SeenAt;
  };
  struct Failover;
  /// A member's status reply to a promoter.
  struct MemberReply {
    MemberReport Report;
    TimePoint ReceivedAt;
    /// Since when the connection of a watched replica is open.
    std::optional<TimePoint> ConnectedAt = std::nullopt;
  };
  /// The newest reply of each member. Replies that arrive after a round of
  /// queries has ended are added, too.
  using MemberReplies = std::map<UpstreamId, MemberReply>;

  LeaseExchange::Hooks peerHooks();
  [[nodiscard]] KnownVersions ownVersions() const;
  void onOtherVersions(const InstanceId &From, const KnownVersions &Other,
                       TimePoint QuerySentAt);
  void onGranted(const GrantedEpoch &Granted, const GrantRound &Round);
  [[nodiscard]] bool mayGrant(const ServiceId &Id) const;
  [[nodiscard]] PrimaryReachability reachability(const ServiceId &Id) const;
  [[nodiscard]] PrimaryObservation
  observation(const PrimaryRecord &Record) const;
  [[nodiscard]] std::size_t relays() const;
  /// Number of instances that rank before this one for reading the store.
  [[nodiscard]] std::size_t readerRank() const;
  [[nodiscard]] bool isSilent(const InstanceId &Id) const;
  /// Whether an instance currently can't read the store for others.
  [[nodiscard]] bool cannotRead(const InstanceId &Id) const;
  /// Excludes the current reader for a while because the records are stale.
  void excludeReader(TimePoint Now);
  /// Whether this instance made the newest step in a failover of any service,
  /// so that other promoters have to wait.
  [[nodiscard]] bool isActivePromoter(TimePoint Now) const;
  /// Whether most other instances that queried a primary got no reply.
  [[nodiscard]] bool othersFindPrimarySilent(const ServiceId &Id,
                                             TimePoint Now) const;
  /// Number of instances that rank before this one for replacing primaries.
  [[nodiscard]] std::size_t promoterRank() const;
  /// The same for one service: an instance that may not know all replicas of
  /// the service comes after those that do.
  [[nodiscard]] std::size_t promoterRank(const ServiceId &Id) const;
  /// The relays to query for the store's records.
  [[nodiscard]] RelayChoice relayToQuery(std::size_t Turn) const;
  /// Logs which instance reads the store for the others, when that changes.
  void trackReader();
  Awaitable<void> queryPeers();
  [[nodiscard]] ConnectivityView connectivity(TimePoint Now);
  void updateIsolation(TimePoint Now);
  [[nodiscard]] bool recordsAreStale(TimePoint Now) const;
  Awaitable<void> checkLiveness();
  Awaitable<void> evict(RegisteredInstance Entry);
  Awaitable<bool> othersReachPrimary(ServiceId Id);
  Awaitable<void> renew();
  Awaitable<bool> readRecords();
  /// Applies a listing of the records if it is of a verified era.
  void onRecordListing(const StorePage &Listing, TimePoint ReadSentAt);
  [[nodiscard]] bool hasOutdatedGrantors() const;
  /// Whether this instance requests grants now. Most instances get the leases
  /// of relays, so that an outage doesn't congest the grantors' links.
  [[nodiscard]] bool shouldRequestGrants(TimePoint Now);
  Awaitable<void> maintainGrantors();
  Awaitable<void> writeGrantors(GrantorSet Next);
  /// Verifies the records for the era that the store has entered.
  Awaitable<void> verifyRecords();
  Awaitable<bool> writeVerified(const RecordVerification &Verification,
                                TimePoint Now);
  Awaitable<void> checkServices();
  void checkService(const ServiceId &Id, TimePoint Now);
  void checkBacklog(const PrimaryRecord &Record, TimePoint Now);
  Awaitable<void> handOverIfBacklogged(PrimaryRecord Record);
  void trackUnfinished(const ServiceId &Id, TimePoint Now);
  void checkUnfinished(const PrimaryRecord &Record, TimePoint Now);
  [[nodiscard]] bool mayStartFailover(TimePoint Now) const;
  Awaitable<void> writeFirstRecord(ServiceId Id);
  /// Queries all members of a service, one after the other, for what
  /// chooseFirstPrimary() decides by.
  Awaitable<std::vector<FirstPrimaryCandidate>>
  queryFirstPrimary(ServiceId Service);
  /// Writes a record in place of one that can't be decoded, and finds the
  /// primary by a failover.
  Awaitable<void> replaceUnreadable(PrimaryRecord Next);
  /// OrdersSettled: whether each order that was given before has taken effect
  /// or can't any more.
  Awaitable<void> replace(PrimaryRecord From, FailoverReason Reason,
                          bool OrdersSettled = false);
  Awaitable<bool> isStillNeeded(PrimaryRecord From, FailoverReason Reason);
  Awaitable<bool> closeRecord(Failover &F);
  /// Queries the members of a service and its replicas that run without being
  /// registered. Returns when all members but those in NotAwaited have replied,
  /// or after ReportTimeout.
  Awaitable<void> queryMembers(ServiceId Service,
                               std::set<UpstreamId> NotAwaited,
                               std::shared_ptr<MemberReplies> Replies);
  Awaitable<void> queryCandidates(Failover &F);
  /// Whether a running primary of a service with synchronous replicas has a
  /// successor, so that the record need not be closed in vain.
  Awaitable<bool> hasSuccessor(PrimaryRecord Record);
  /// Takes over what the store has of the record and of earlier orders.
  void takeOver(Failover &F, bool OrdersSettled) const;
  /// What the members that have replied know of terms.
  [[nodiscard]] static std::vector<TermReport> termReports(const Failover &F);
  /// The newest term that is known to have begun.
  [[nodiscard]] static Term newestTerm(const Failover &F);
  /// Notes the new primary if a report shows it; returns whether it does.
  static bool noteIfInEffect(Failover &F, const TermReport &Report);
  [[nodiscard]] SuccessorSearch successorSearch(const Failover &F,
                                                TimePoint BeganAt);
  /// Logs candidates with new positions, and the decision when it or its
  /// grounds have changed.
  void logSearch(Failover &F, const SuccessorSearch &Search,
                 const SuccessorDecision &Decision) const;
  /// When the list of members was certainly the newest.
  [[nodiscard]] std::optional<TimePoint> membersListedAt(TimePoint Now) const;
  /// Tracks which replicas an acknowledged commit of a service may stand on.
  void trackReplicas(const ServiceId &Id, const ServiceState &State,
                     TimePoint Now);
  /// Keeps connections to the replicas of a service, unlisted ones included.
  void watchReplicas(const ServiceId &Id, const ServiceState &State);
  ReplicaWatch &watch(const ServiceId &Id, const RegisteredMember &Member);
  /// Samples the primary if that covers replicas that have departed.
  void sampleForDepartures(const ServiceId &Id, const ServiceState &State,
                           TimePoint Now);
  /// The replicas that a search asks although they are not registered.
  [[nodiscard]] std::vector<RegisteredMember>
  unlistedReplicas(const ServiceId &Id) const;
  /// Whether the process that reported its log to the failover's search still
  /// runs, as far as its connection shows.
  [[nodiscard]] bool targetStillRuns(const Failover &F) const;
  /// After a planned failover, demotes the former primary to a replica without
  /// waiting for its reply.
  void stepDownFormerPrimary(const Failover &F);
  /// Has the members listed. Returns once they are, or after ReportTimeout.
  Awaitable<void> awaitMemberList();
  Awaitable<std::optional<UpstreamId>> findSuccessor(Failover &F);
  Awaitable<bool> orderPromotion(Failover &F, UpstreamId Target);
  /// Returns once the ordered promotion is in effect or won't be any more.
  Awaitable<void> awaitPromotion(Failover &F);
  /// When the closing of a record was first seen here.
  TimePoint closingSeenAt(const PrimaryRecord &Record, TimePoint Now);
  /// Replaces the record that has the revision Expected. Returns the new
  /// revision, or nothing if the record was not written.
  Awaitable<std::optional<Revision>> write(PrimaryRecord Record,
                                           Revision Expected);
  Awaitable<std::optional<Revision>> writeOnce(PrimaryRecord Record,
                                               Revision Expected);
  Awaitable<std::optional<MemberReport>>
  queryStatus(std::shared_ptr<MemberLinkPool> Pool);
  Awaitable<void> pause(Duration Length);
  void spawn(Awaitable<void> Work);

  Executor Exec;
  FailoverCoordinatorOptions Options;
  StoreClient &Store;
  const InstanceRegistry &Instances;
  RegistryDuties Duties;
  StatementDispatcher &Dispatcher;
  VersionHooks Versions;
  PrimaryLeases Leases;
  LeaseGrants Grants;
  LeaseExchange Exchange;
  /// The grantor set as this instance last read it from the store.
  GrantorSet Grantors;
  /// The revision at which the store holds a grantor set that can't be decoded;
  /// 0 if it doesn't. Grantors then holds the set before it, and records can't
  /// be written until that is restored.
  Revision UnreadableGrantors;
  /// The store's revision at the newest listing of verified records.
  Revision ListedAtRevision;
  SkippedEntries SkippedRecords{"reign_record_skipped"};
  RecordRepair Repair;
  /// When this instance first looked for the primary of a service without a
  /// record.
  std::map<ServiceId, TimePoint> FirstPrimarySoughtAt;
  GrantorMaintenance GrantorUpkeep;
  /// An era of the store whose records are not verified, and since when it is
  /// known. The copy's entries are kept for the verification.
  std::optional<StoreEra> UnverifiedEra;
  TimePoint UnverifiedSince;
  std::vector<PrimaryRecord> UnverifiedRecords;
  std::vector<UnreadableRecord> UnverifiedUnreadable;
  GrantorSet UnverifiedGrantors;
  /// When this instance's newest read of verified records was sent; nothing
  /// before the first.
  std::optional<TimePoint> ReadAt;
  /// When this instance sent its newest read that found neither a record nor
  /// grantors; empty if no read did.
  std::optional<TimePoint> FoundNoRecordsAt;
  /// When the store last replied; nothing before the first reply.
  std::optional<TimePoint> StoreAnsweredAt;
  /// The reader as last logged.
  std::optional<InstanceId> LoggedReader;
  IsolationDetector Isolation;
  std::optional<TimePoint> LeasesLostAt;
  std::map<ServiceId, TimePoint> NextFailoverAt;
  /// Excluded readers, and until when.
  std::map<InstanceId, TimePoint> ExcludedReaders;
  std::map<ServiceId, PrimaryMonitor> Monitors;
  std::map<ServiceId, ReplicaBacklogMonitor> BacklogMonitors;
  /// Of services with synchronous replicas.
  std::map<ServiceId, ReplicaHistory> ReplicaHistories;
  std::map<ServiceId, std::map<UpstreamId, std::shared_ptr<ReplicaWatch>>>
      ReplicaWatches;
  std::map<ServiceId, Unfinished> UnfinishedRecords;
  std::map<ServiceId, SeenClosing> SeenClosings;
  /// Services for which a failover, a check that may start one, or the write
  /// of the first record is in progress.
  FailoverActivities Activities;
  Revision PromoterRevision;
  /// The newest step that this process made.
  Revision OwnStep;
  std::string Promoter;
  TimePoint PromoterSeenAt;
  bool Writing = false;
  /// Whether an order for a promotion is being given.
  bool Ordering = false;
  bool Stopping = false;
  bool StoreLost = false;
  RandomSource Random;
  BootClock Clock;
};

} // namespace turmericpitch
