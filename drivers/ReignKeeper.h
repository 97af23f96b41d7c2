// Renews this instance's rights to primaries and replaces lost primaries.
#pragma once

#include "core/RandomSource.h"
#include "drivers/RightPeers.h"
#include "drivers/StatementDispatcher.h"
#include "drivers/StoreClient.h"
#include "failover/PrimaryMonitor.h"
#include "failover/PromotionRules.h"
#include "failover/ReplicaBacklogMonitor.h"
#include "limits/StoreBackoff.h"
#include "membership/IsolationDetector.h"
#include "membership/RegistryDuties.h"

#include <set>

namespace turmericpitch {

struct ReignKeeperOptions {
  InstanceId Self;
  ZoneId Zone;
  /// Where datagrams of other instances are taken.
  Endpoint Listen;
  std::uint64_t Seed = 1;
  PromotionRulesOptions Rules = {};
  PrimaryMonitorOptions Watch = {};
  ReplicaBacklogMonitorOptions Backlog = {};
  /// How often rights are renewed; less than a third of their validity, so
  /// that one lost answer costs nothing.
  Duration RenewInterval = std::chrono::milliseconds(250);
  /// One instance reads the store; one more relays what it read for so many
  /// others, and then answers about 80 questions a second.
  std::size_t InstancesPerRelay = 12;
  /// Instances that ask all others regularly, the first of the relays.
  std::size_t RollCallers = 2;
  /// How often relays ask the reader, and the others a relay.
  Duration AskInterval = std::chrono::milliseconds(150);
  /// Records older than this make an instance ask the store and everyone.
  /// What comes through a relay is up to 560 ms old.
  Duration LateAge = std::chrono::milliseconds(620);
  /// A reader whose word has become old without its being silent is passed
  /// over for so long: the store may turn it away alone.
  Duration PassOver = std::chrono::milliseconds(3000);
  /// How long the others are waited for when they are asked how a primary
  /// answers them.
  Duration ConsultLimit = std::chrono::milliseconds(80);
  /// An instance that leaves questions unanswered for so long may be on the
  /// other side of a partition.
  Duration PeerSilenceLimit = std::chrono::milliseconds(500);
  /// After a change of primary was not begun, as others reach the primary or
  /// the store can't be read.
  Duration ConsultPause = std::chrono::milliseconds(500);
  /// How often a roll caller asks all others, so that silence is noticed.
  Duration RollCallInterval = std::chrono::milliseconds(700);
  /// An instance that answers no question for so long is struck from the
  /// list; if it lives, it registers again.
  Duration StrikeAfter = std::chrono::milliseconds(2200);
  Duration LookInterval = std::chrono::milliseconds(100);
  /// How much later each rank writes the first record of a service; a write
  /// and the word of it take some ten milliseconds.
  Duration InstallRankDelay = std::chrono::milliseconds(250);
  /// A change of primary that stays unfinished is taken over after this; it
  /// exceeds the closing wait and the limits of the two calls that follow.
  Duration TakeOverAfter = std::chrono::milliseconds(3500);
  /// Between the steps of two different promoters, so that a call of the
  /// first that is under way can't arrive after one of the second.
  Duration PromoterDistance = std::chrono::milliseconds(2000);
  /// From the write that announces an order to the order itself; beyond it
  /// another promoter may have taken over.
  Duration OrderLimit = std::chrono::milliseconds(300);
  /// How often the opening of a new reign is tried again.
  int OpeningRetries = 3;
  Duration OrderCallLimit = std::chrono::milliseconds(1000);
  /// How long a member that was ordered to lead may take to do so; the users
  /// state 1 s.
  /// What it usually takes; half of the users' longest figure.
  Duration UsualTakeUp = std::chrono::milliseconds(600);
  Duration TakeUpLimit = std::chrono::milliseconds(3000);
  /// How long a promotion waits for a replica that lacks commits known to
  /// have been acknowledged.
  Duration CatchUpLimit = std::chrono::milliseconds(1000);
  /// How long successors are looked for before the change is left to others.
  Duration SearchLimit = std::chrono::milliseconds(8000);
  Duration PollInterval = std::chrono::milliseconds(40);
  /// How long the members are waited for when they are asked how far their
  /// logs reach; an answer takes a few milliseconds.
  Duration ReportLimit = std::chrono::milliseconds(150);
};

/// This instance's own entry among the instances, as it was acknowledged.
struct OwnRegistration {
  std::string Key;
  Revision Stored;
  /// When the acknowledgement came.
  TimePoint Since;
};

/// Belongs to one thread's executor.
class ReignKeeper {
public:
  /// Reading the store for others, relaying it, and replacing the primaries
  /// of all services: a second promoter has to wait for PromoterDistance, and
  /// who reads knows best when the last step was made.
  inline static const DutyKey ReadDuty{.Kind = Duty::Watch,
                                       .Subject = "records"};

  /// Nothing while this instance is not registered.
  using RegistrationLookup = std::function<std::optional<OwnRegistration>()>;
  /// How instances keep one another recent.
  struct VersionHooks {
    std::function<KnownVersions()> Own;
    /// AskedAt: when the question was sent that brought them.
    std::function<void(const KnownVersions &, TimePoint AskedAt)> OnOther;
  };

  ReignKeeper(Executor On, ReignKeeperOptions Options, StoreClient &Store,
              const InstanceRegistry &Instances,
              StatementDispatcher &Dispatcher, RegistrationLookup Registration,
              VersionHooks Versions);

  /// Begins to renew and to watch. Errors: Unavailable if the address for
  /// other instances can't be bound.
  Status start();
  /// In how long a service is expected to have a primary; nothing if that
  /// isn't known.
  [[nodiscard]] std::optional<Duration>
  expectedReturn(const ServiceId &Id) const;
  /// Begins no further change of primary, and tells the others.
  void stop();
  /// Whether no change of primary is under way.
  [[nodiscard]] bool atRest() const { return this->UnderWay.empty(); }
  [[nodiscard]] std::optional<PrimaryLease> right(const ServiceId &Id) const {
    return this->Leases.lease(Id);
  }
  /// Whether and for how long this instance has been cut off.
  [[nodiscard]] const IsolationDetector &isolation() const {
    return this->Isolation;
  }
  /// Whether what is known of primaries comes in no longer.
  [[nodiscard]] bool late() const {
    return this->recordsAreLate(this->Clock.now());
  }
  /// Whether this instance reads the store for all others.
  [[nodiscard]] bool isReader() const { return this->readerRank() == 0; }
  [[nodiscard]] const PrimaryLeases &rights() const { return this->Leases; }

private:
  /// A record, since when it is known as it is.
  struct Unfinished {
    Revision Stored;
    TimePoint SeenAt;
  };
  struct Change;
  /// A member's report to a promoter.
  struct MemberAnswered {
    UpstreamId Id;
    MemberReport Report;
  };

  RightPeers::Hooks peerHooks();
  [[nodiscard]] KnownVersions ownVersions() const;
  void onOtherVersions(const KnownVersions &Other, TimePoint AskedAt);
  void extendBy(const LeaseRound &Round);
  [[nodiscard]] std::optional<Revision> retiredAs() const;
  [[nodiscard]] bool mayGrant(const ServiceId &Id) const;
  [[nodiscard]] PrimaryReachability contact(const ServiceId &Id) const;
  [[nodiscard]] PrimaryObservation sighting(const PrimaryRecord &Record) const;
  [[nodiscard]] std::size_t relays() const;
  /// How many instances come before this one to read the store.
  [[nodiscard]] std::size_t readerRank() const;
  [[nodiscard]] bool isSilent(const InstanceId &Id) const;
  /// Whether an instance can't read the store for others at present.
  [[nodiscard]] bool cannotRead(const InstanceId &Id) const;
  /// The records are late: passes over the reader that should have told.
  void passOverReader(TimePoint Now);
  /// Whether this instance made the newest step in a change of any primary,
  /// and others have to wait.
  [[nodiscard]] bool isActivePromoter(TimePoint Now) const;
  /// Whether most others that asked a primary find it silent.
  [[nodiscard]] bool othersFindSilent(const ServiceId &Id, TimePoint Now) const;
  /// How many instances come before this one to replace primaries.
  [[nodiscard]] std::size_t promoterRank() const;
  /// Whom to ask for what the store holds; nullptr for the reader itself.
  [[nodiscard]] const RegisteredInstance *sourceToAsk(std::size_t Turn) const;
  Awaitable<void> askPeers();
  [[nodiscard]] ConnectivityView outside(TimePoint Now);
  void lookOutside(TimePoint Now);
  [[nodiscard]] bool recordsAreLate(TimePoint Now) const;
  Awaitable<void> callRoll();
  Awaitable<void> strike(RegisteredInstance Entry);
  Awaitable<bool> othersReach(ServiceId Id);
  Awaitable<void> renew();
  Awaitable<bool> readRecords();
  Awaitable<void> look();
  void lookAt(const ServiceId &Id, TimePoint Now);
  void lookAtBacklog(const PrimaryRecord &Record, TimePoint Now);
  Awaitable<void> relieve(PrimaryRecord Record);
  void noteUnfinished(const ServiceId &Id, TimePoint Now);
  void lookAtUnfinished(const PrimaryRecord &Record, TimePoint Now);
  [[nodiscard]] bool mayBegin(TimePoint Now) const;
  Awaitable<void> install(ServiceId Id);
  Awaitable<void> replace(PrimaryRecord From, FailoverReason Reason);
  Awaitable<bool> isStillWanted(PrimaryRecord From, FailoverReason Reason);
  Awaitable<bool> close(Change &C);
  /// Asks the members of a service; answers when all but those in Skipped
  /// and Awaited have answered, or at the limit.
  Awaitable<std::vector<MemberAnswered>>
  askMembers(ServiceId Service, std::set<UpstreamId> Skipped,
             std::set<UpstreamId> NotAwaited);
  Awaitable<std::vector<MemberAnswered>> askCandidates(Change &C);
  void stepDownFormer(const Change &C);
  Awaitable<std::optional<UpstreamId>> findSuccessor(Change &C);
  Awaitable<bool> order(Change &C, UpstreamId Target);
  Awaitable<bool> awaitLead(Change &C);
  /// Writes a record in place of the one at Expected. Returns the revision.
  Awaitable<std::optional<Revision>> write(PrimaryRecord Record,
                                           Revision Expected);
  Awaitable<std::optional<Revision>> writeOnce(PrimaryRecord Record,
                                               Revision Expected);
  Awaitable<std::optional<MemberReport>>
  queryStatus(std::shared_ptr<MemberLinkPool> Pool);
  Awaitable<void> pause(Duration Length);
  void spawn(Awaitable<void> Work);

  Executor On;
  ReignKeeperOptions Options;
  StoreClient &Store;
  const InstanceRegistry &Instances;
  RegistryDuties Duties;
  StatementDispatcher &Dispatcher;
  RegistrationLookup Registration;
  VersionHooks Versions;
  PrimaryLeases Leases;
  LeaseGrants Grants;
  RightPeers Peers;
  /// When the newest own read of the store was sent; nothing before one.
  std::optional<TimePoint> ReadAt;
  /// When the store last answered; nothing before.
  std::optional<TimePoint> StoreAnsweredAt;
  IsolationDetector Isolation;
  std::optional<TimePoint> LeasesLostAt;
  std::map<ServiceId, TimePoint> ConsultAfter;
  /// Readers that are passed over, and until when.
  std::map<InstanceId, TimePoint> PassedOver;
  std::map<ServiceId, PrimaryMonitor> Watches;
  std::map<ServiceId, ReplicaBacklogMonitor> Backlogs;
  std::map<ServiceId, Unfinished> UnfinishedRecords;
  std::set<ServiceId> UnderWay;
  Revision PromoterRevision;
  std::string Promoter;
  TimePoint PromoterSeenAt;
  bool Writing = false;
  bool Stopping = false;
  bool StoreLost = false;
  RandomSource Random;
  BootClock Clock;
};

} // namespace turmericpitch
