#include "main/SessionDaemon.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "core/SkippedEntries.h"
#include "drivers/FailoverCoordinator.h"
#include "drivers/HttpServer.h"
#include "drivers/LimitExchange.h"
#include "drivers/LogPipe.h"
#include "drivers/SessionServer.h"
#include "drivers/StoreClient.h"
#include "drivers/StoreCopies.h"
#include "limits/StoreBackoff.h"
#include "membership/CopyFollower.h"
#include "membership/InstanceRegistry.h"
#include "platform/StoredObjects.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <limits>
#include <random>
#include <sys/resource.h>
#include <unistd.h>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr unsigned ServiceUnavailable = 503;
/// The longest wait that the store accepts. A watch only makes a new version
/// known sooner: the copy is checked without it.
constexpr std::chrono::milliseconds MaxWatchWait(30'000);
/// A watch that has not shown a version for this long that came by another way
/// is silent, and another one is started beside it.
constexpr Duration MaxWatchLag = std::chrono::milliseconds(1000);
constexpr Duration WatchRestartInterval = std::chrono::seconds(5);
/// Number of instances whose versions are queried at a time.
constexpr std::size_t VersionQueries = 3;
/// The source of a configuration that another instance has handed over.
constexpr std::string_view InstanceSource = "instance";
constexpr Duration ListingInterval = std::chrono::milliseconds(1000);
/// The same while other instances report changes of the member list. Also
/// bounds the time for which a leaving member is used if no report arrives.
constexpr Duration NotifiedListingInterval = std::chrono::milliseconds(2000);
/// Every third member listing is a current read, so that leaving members are
/// known within four seconds. The others may be stale and cost the store a
/// tenth of a current one. While other instances confirm the list, all may be
/// stale. Where acknowledgements rest on replicas, the reader makes current
/// reads alone, so that no member comes and goes unseen.
constexpr std::uint32_t CurrentListingPeriod = 3;
/// Age of the newest confirmation from which the list is read again. The reader
/// makes a current read every three seconds.
constexpr Duration MaxUnconfirmedMembers = std::chrono::milliseconds(4500);
constexpr Duration SummaryInterval = std::chrono::seconds(10);
constexpr Duration MaintenanceInterval = std::chrono::milliseconds(100);
/// An instance that ends without revoking its lease stays registered for this
/// time.
constexpr std::chrono::milliseconds InstanceLeaseDuration(15000);
constexpr Duration RegistrationInterval = std::chrono::milliseconds(3000);
/// Interval at which readers list the instances. Other instances receive the
/// digest of the list from them, and read the list themselves once their copy
/// is older than MaxInstanceListingAge.
constexpr Duration InstanceListingInterval = std::chrono::milliseconds(1000);
constexpr Duration StartupListingDelay = std::chrono::milliseconds(500);
constexpr Duration StartupPollInterval = std::chrono::milliseconds(5);
constexpr Duration MaxInstanceListingAge = std::chrono::milliseconds(2500);
constexpr Duration RetryInterval = std::chrono::milliseconds(200);
/// Time until the load balancer stops sending new sessions: it checks once a
/// second and needs two failed checks.
constexpr Duration BalancerNotice = std::chrono::milliseconds(2300);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(100);
/// Readiness checks and metrics need few connections and short requests.
constexpr HttpLimits ReadinessLimits{.Header = 4096, .Body = 4096};
constexpr Duration ReadinessIdleTimeout = std::chrono::seconds(10);
constexpr std::size_t MaxReadinessConnections = 256;
/// Datagrams on account limits use the second of the ports between instances.
constexpr std::uint16_t LimitPortOffset = 1;

/// An unconfirmed configuration is checked early enough that a call that the
/// store doesn't answer, a query to other instances and the transfer of a copy
/// fit into the rest of the time to apply it.
CopyFollowerOptions configurationFollowing(Duration ApplyTimeout) {
  constexpr int ReadsPerApplyTimeout = 3;
  return {.MaxUnconfirmed = ApplyTimeout * 3 / 5,
          .ReaderInterval = ApplyTimeout / ReadsPerApplyTimeout};
}

CopyFollowerOptions memberFollowing() {
  return {.MaxUnconfirmed = MaxUnconfirmedMembers,
          .ReaderInterval = MaxUnconfirmedMembers};
}

/// Entries end after three heartbeats without a write.
ReplicaHistoryOptions replicaHistory(ReplicaHistoryOptions Options,
                                     Duration Heartbeat) {
  Options.EntryLifetime = 4 * Heartbeat;
  return Options;
}

/// Number of files that the system lets this process open.
std::size_t openFileLimit() {
  rlimit Limit{};
  bool Known = getrlimit(RLIMIT_NOFILE, &Limit) == 0;
  return Known ? static_cast<std::size_t>(Limit.rlim_cur)
               : std::numeric_limits<std::size_t>::max();
}

/// Distinguishes the starts of this process.
std::uint64_t randomIncarnation() {
  std::random_device Source;
  constexpr unsigned WordBits = 32;
  return (static_cast<std::uint64_t>(Source()) << WordBits) | Source();
}

/// The limits of the accounts that have one.
std::map<ClientAccountId, OperationLimit>
limitsOf(const AccountDirectory &Directory) {
  std::map<ClientAccountId, OperationLimit> Limits;
  for (const AccountRule &Each : Directory.accounts())
    if (Each.Limit)
      Limits.emplace(Each.Id, *Each.Limit);
  return Limits;
}

} // namespace

struct SessionDaemon::Components {
  explicit Components(InstanceSettings Settings, SessionDaemonOptions Options)
      : Settings(std::move(Settings)),
        ReadSettings(std::move(Options.ReadSettings)), Log(Options.Log),
        Store(this->Loop.get_executor(),
              {.Store = this->Settings.Store,
               .Promotions = this->Settings.Promotions}),
        Copies(this->Loop.get_executor(), {.Listen = this->peerAddress()}),
        ConfigurationCopy(
            configurationFollowing(this->Settings.ConfigurationApplyTimeout),
            randomIncarnation()),
        MembersCopy(memberFollowing(), randomIncarnation()),
        Dispatcher(
            this->Loop.get_executor(),
            {.Self = this->Settings.Self, .Zone = this->Settings.Zone},
            [this](const ServiceId &Id) { return this->Failover.lease(Id); },
            [this](const ServiceId &Id) {
              return this->Failover.expectedRecovery(Id);
            }),
        Instances(this->Settings.Self),
        Failover(this->Loop.get_executor(),
                 {.Self = this->Settings.Self,
                  .Zone = this->Settings.Zone,
                  .Listen = this->peerAddress(),
                  .Seed = std::random_device{}(),
                  .Rules = Options.Rules,
                  .GrantorSelection = Options.Grantors,
                  .Replicas = replicaHistory(Options.Replicas,
                                             this->Settings.MemberHeartbeat)},
                 this->Store, this->Instances, this->Dispatcher,
                 {.Own = [this] { return this->ownVersions(); },
                  .OnOther =
                      [this](const InstanceId &From, const KnownVersions &Other,
                             TimePoint QuerySentAt) {
                        this->onOtherVersions(From, Other, QuerySentAt);
                      },
                  .MembersConfirmedAt =
                      [this] { return this->MembersCopy.confirmedAt(); },
                  .ListMembers = [this] { this->listMembersOnce(); }}),
        Limits(this->Loop.get_executor(),
               {.Self = this->Settings.Self,
                .Listen = this->limitAddress(),
                .Incarnation = randomIncarnation(),
                .Right = Options.LimitShares},
               this->Store, this->Instances,
               {.WritesTable = [this] { return this->Failover.isReader(); }}),
        Sessions(this->Loop.get_executor(), this->sessionOptions(),
                 this->Routes, this->Dispatcher),
        Readiness(this->Loop.get_executor(),
                  {.Listen = this->Settings.Readiness,
                   .Limits = ReadinessLimits,
                   .IdleTimeout = ReadinessIdleTimeout,
                   .MaximumConnections = MaxReadinessConnections},
                  [this] {
                    return [this](HttpRequest Request) -> Awaitable<HttpReply> {
                      co_return this->handleHttpRequest(Request);
                    };
                  }),
        Signals(this->Loop, SIGTERM, SIGINT, SIGHUP) {}

  [[nodiscard]] Endpoint peerAddress() const {
    return {.Address = this->Settings.Address,
            .Port = this->Settings.FirstPeerPort};
  }
  [[nodiscard]] Endpoint limitAddress() const {
    return {.Address = this->Settings.Address,
            .Port = static_cast<std::uint16_t>(this->Settings.FirstPeerPort +
                                               LimitPortOffset)};
  }
  [[nodiscard]] SessionServerOptions sessionOptions() {
    SessionCapacity Capacity = sessionCapacity(
        this->Settings.MemoryLimit,
        std::min(this->Settings.DescriptorLimit, openFileLimit()));
    return {.Listen = this->Settings.Sessions,
            .MaximumSessions = Capacity.MaximumSessions,
            .Memory = Capacity.Memory,
            .Gate = this->Limits.gate()};
  }
  HttpReply handleHttpRequest(const HttpRequest &Request);
  /// Sets the gauges of the tables that callers, members and other instances
  /// can make grow.
  void setTableGauges() const;
  void awaitSignal();
  /// Reads the settings again. The times among them apply at once; what else
  /// has changed applies at the next start. Keeps them if they can't be read.
  void reloadSettings();
  Awaitable<void> pause(Duration Length);
  /// Like pause(), but returns early once the process is stopping.
  Awaitable<void> pauseUnlessStopping(Duration Length);
  /// Waits after a failed store call until the next attempt is due. Returns
  /// early if no instance could reach the store and one of them now can.
  Awaitable<void> pauseAfterFailure(StoreBackoff &Backoff);
  /// Reads and watches the configuration, until a newer generation of watches
  /// is started.
  Awaitable<void> followConfiguration(std::uint32_t Generation);
  /// Reads the configuration. Returns false if the store was not read.
  Awaitable<bool> readConfiguration();
  /// Asks the store for a newer configuration.
  Awaitable<void> checkConfiguration();
  /// Gets the configuration of another instance.
  Awaitable<void> copyConfiguration(InstanceId From);
  /// Takes what is due for the copies of the configuration and the members.
  void followCopies();
  /// Whether a call to the store has a chance to be answered. While no instance
  /// reads the store, the reads of the records show when it is back.
  [[nodiscard]] bool storeMayAnswer() const;
  void onStoreFailed(CopyFollower &Copy, TimePoint NextAt);
  /// Fetches a copy of another instance; logs failures.
  Awaitable<std::optional<StoreCopy>> fetchCopy(CopySubject Subject,
                                                InstanceId From);
  /// Applies a stored configuration if it is newer than the one in force.
  /// Source is where it came from, for the log.
  void applyConfiguration(const KeyValueEntry &Entry, std::string_view Source);
  /// Keeps the configuration in force for other instances, without credentials.
  void keepConfiguration(KeyValueEntry Entry, bool HoldsDigests);
  /// Applies what a watch or a check has shown.
  void onConfigurationChanges(const WatchReply &Changes,
                              std::string_view Source);
  /// Milliseconds since the configuration was certainly the newest; -1 if it
  /// never was.
  [[nodiscard]] std::int64_t configurationAge() const;
  [[nodiscard]] KnownVersions ownVersions() const;
  /// Whether other instances read the store for this one and report changes.
  [[nodiscard]] bool receivesChangeNotifications() const {
    return !this->Failover.isReader() && !this->Failover.hasStaleRecords();
  }
  void onOtherVersions(const InstanceId &From, const KnownVersions &Other,
                       TimePoint QuerySentAt);
  /// Starts a current listing of the members unless one is in progress.
  void listMembersOnce();
  /// Lists the members. Returns false if the list could not be read.
  Awaitable<bool> listMembers(ReadConsistency Consistency);
  void onMemberListing(std::vector<KeyValueEntry> Entries,
                       Revision StoreRevision, TimePoint ReadSentAt);
  Awaitable<void> copyMembers(InstanceId From);
  /// Lists the members until a change at this revision of the store is known.
  Awaitable<void> listMembersChangedAt(Revision Change);
  Awaitable<void> followMembers();
  Awaitable<void> keepRegistered();
  Awaitable<std::optional<LeaseId>> registerSelf();
  Awaitable<void> listInstances();
  void onInstanceListing(const std::vector<KeyValueEntry> &Entries,
                         TimePoint ReadSentAt);
  Awaitable<void> followInstances();
  Awaitable<void> maintain();
  /// Logs counters of the process at SummaryInterval.
  Awaitable<void> summarize();
  Awaitable<void> stop();

  template <typename Work> void spawn(Work Run) {
    asio::co_spawn(this->Loop, std::move(Run), [](std::exception_ptr Failure) {
      if (Failure)
        std::rethrow_exception(Failure);
    });
  }

  InstanceSettings Settings;
  std::function<Outcome<InstanceSettings>()> ReadSettings;
  /// Null if log lines are written directly.
  BoundedLog *Log = nullptr;
  asio::io_context Loop{1};
  RouteController Routes;
  Revision ConfigurationRevision;
  MemberRegistry Registry;
  StoreClient Store;
  StoreCopies Copies;
  CopyFollower ConfigurationCopy;
  CopyFollower MembersCopy;
  StatementDispatcher Dispatcher;
  InstanceRegistry Instances;
  FailoverCoordinator Failover;
  LimitExchange Limits;
  SessionServer Sessions;
  HttpServer Readiness;
  asio::signal_set Signals;
  /// When this instance's registration was acknowledged; nothing while it isn't
  /// registered.
  std::optional<TimePoint> RegisteredAt;
  /// Store revisions at which the member list was last read and last changed.
  Revision MembersStoreRevision;
  Revision MembersChangeRevision;
  bool ListingMembers = false;
  SkippedEntries SkippedMembers{"member_entry_skipped"};
  SkippedEntries SkippedInstances{"instance_entry_skipped"};
  /// The newest version that another instance has reported.
  std::uint64_t ReportedConfiguration = 0;
  std::uint32_t WatchGeneration = 0;
  TimePoint WatchStartedAt;
  /// Since when a version is in force that the watch has not shown.
  std::optional<TimePoint> WatchLagsSince;
  bool Stopping = false;
  /// When a call for one of the copies last failed.
  std::optional<TimePoint> StoreFailedAt;
  /// The instance that serves copies and whose reply arrived last.
  std::optional<InstanceId> CopyHolder;
  TimePoint NextMemberListingAt;
  StoreBackoff ConfigurationReadBackoff;
  StoreBackoff MemberListingBackoff;
  RandomSource Random{std::random_device{}()};
};

HttpReply
SessionDaemon::Components::handleHttpRequest(const HttpRequest &Request) {
  HttpReply Reply;
  if (Request.Target == "/metrics") {
    this->setTableGauges();
    Reply.Body = processMetrics().scrape();
    Reply.ContentType = "text/plain";
    return Reply;
  }
  bool Ready = !this->Stopping && this->Routes.loaded() &&
               this->Registry.loaded() && this->Limits.ready() &&
               !this->Failover.isolation().isolated();
  if (!Ready)
    Reply.Status = ServiceUnavailable;
  Reply.Body = "{}";
  return Reply;
}

void SessionDaemon::Components::setTableGauges() const {
  Metrics &Gauges = processMetrics();
  auto Set = [&](std::string_view Family, std::string_view Kind,
                 std::size_t Value) {
    Gauges.set(Family, Kind, static_cast<double>(Value));
  };
  const MemoryBudget &Memory = this->Sessions.memory();
  for (std::size_t Kind = 0; Kind < SessionMemoryKinds; ++Kind) {
    auto Each = static_cast<SessionMemory>(Kind);
    Set("session_memory_bytes", toString(Each), Memory.held(Each));
  }
  Set("session_memory_shared_bytes", "in_use", Memory.sharedInUse());
  Set("session_memory_shared_bytes", "limit", Memory.options().Shared);
  Set("session_memory_reclaimed_sessions", "all", Memory.reclaimed());
  Set("table_entries", "sessions", this->Sessions.sessions());
  Set("table_entries", "sessions_limit", this->Sessions.maximumSessions());
  auto Links = this->Dispatcher.links();
  Set("table_entries", "member_links", Links.Open);
  Set("table_entries", "member_links_idle", Links.Idle);
  Set("table_entries", "instances", this->Instances.count());
  Set("table_entries", "accounts", this->Routes.accounts().accounts().size());
  Set("table_entries", "known_peers", this->Failover.knownPeers());
  Set("table_entries", "limit_senders", this->Limits.senders());
  Set("table_entries", "limit_owners", this->Limits.owners().Owners.size());
  Set("table_entries", "routes",
      this->Routes.table() ? this->Routes.table()->Routes.size() : 0);
}

Awaitable<void> SessionDaemon::Components::pause(Duration Length) {
  asio::steady_timer Timer(this->Loop, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<void>
SessionDaemon::Components::pauseUnlessStopping(Duration Length) {
  TimePoint Until = BootClock().now() + Length;
  while (!this->Stopping && BootClock().now() < Until)
    co_await this->pause(DrainPollInterval);
}

Awaitable<void>
SessionDaemon::Components::pauseAfterFailure(StoreBackoff &Backoff) {
  TimePoint Until = BootClock().now() + Backoff.onFailed(this->Random);
  bool StoreWasUnreachable = this->Failover.hasStaleRecords();
  while (BootClock().now() < Until) {
    if (StoreWasUnreachable && !this->Failover.hasStaleRecords())
      break;
    co_await this->pause(std::min(RetryInterval, Until - BootClock().now()));
  }
}

bool SessionDaemon::Components::storeMayAnswer() const {
  if (!this->StoreFailedAt || this->Failover.isReader() ||
      !this->Failover.hasStaleRecords())
    return true;
  const auto &AnsweredAt = this->Failover.storeAnsweredAt();
  return AnsweredAt && *AnsweredAt > *this->StoreFailedAt;
}

void SessionDaemon::Components::onStoreFailed(CopyFollower &Copy,
                                              TimePoint NextAt) {
  Copy.onStoreFailed(NextAt);
  this->StoreFailedAt = BootClock().now();
}

void SessionDaemon::Components::followCopies() {
  TimePoint Now = BootClock().now();
  bool IsReader = this->Failover.isReader();
  bool MayAsk = this->storeMayAnswer();
  CopyActions Due = this->ConfigurationCopy.next(Now, IsReader, MayAsk);
  if (Due.AskStore) {
    this->ConfigurationCopy.onStoreAsked(Now);
    this->spawn(this->checkConfiguration());
  }
  if (Due.CopyFrom) {
    this->ConfigurationCopy.onCopyRequested();
    this->spawn(this->copyConfiguration(*Due.CopyFrom));
  }
  CopyActions MembersDue = this->MembersCopy.next(Now, IsReader, MayAsk);
  if (MembersDue.AskStore)
    this->listMembersOnce();
  if (MembersDue.CopyFrom) {
    this->MembersCopy.onCopyRequested();
    this->spawn(this->copyMembers(*MembersDue.CopyFrom));
  }
  if (Due.QueryInstances || MembersDue.QueryInstances)
    this->Failover.queryVersions(VersionQueries);
  if (this->WatchLagsSince && Now - *this->WatchLagsSince > MaxWatchLag &&
      Now - this->WatchStartedAt > WatchRestartInterval) {
    writeDecision(DecisionLine("configuration_watch_restarted")
                      .field("version", this->Routes.version()));
    this->spawn(this->followConfiguration(++this->WatchGeneration));
  }
}

Awaitable<std::optional<StoreCopy>>
SessionDaemon::Components::fetchCopy(CopySubject Subject, InstanceId From) {
  const RegisteredInstance *Entry = this->Instances.find(From);
  if (!Entry)
    co_return std::nullopt;
  auto Copy = co_await this->Copies.fetch(Subject, Entry->PeerEndpoint);
  DecisionLine Line("copy_fetched");
  Line.field("subject", toString(Subject)).field("from", From.Value);
  if (Copy)
    Line.field("revision", storeRevisionOf(Copy.value().StoreRevision))
        .field("outcome", "received");
  else
    Line.field("outcome", "failed").field("reason", Copy.error().Message);
  writeDecision(Line);
  if (!Copy)
    co_return std::nullopt;
  co_return std::move(Copy.value());
}

Awaitable<bool> SessionDaemon::Components::readConfiguration() {
  TimePoint ReadSentAt = BootClock().now();
  this->ConfigurationCopy.onStoreAsked(ReadSentAt);
  auto Read = co_await this->Store.readKey(std::string(ConfigurationKey));
  if (!Read)
    this->onStoreFailed(
        this->ConfigurationCopy,
        BootClock().now() +
            this->ConfigurationReadBackoff.onFailed(this->Random));
  if (!Read || !Read.value().Entry)
    writeWarning("event=configuration_read_failed reason=\"" +
                 (Read ? std::string("no such key") : Read.error().Message) +
                 "\"");
  if (!Read)
    co_return false;
  this->ConfigurationReadBackoff.onAnswered();
  // The store's revision, because the history may no longer reach back to the
  // entry's own revision.
  this->ConfigurationRevision =
      std::max(this->ConfigurationRevision, Read.value().StoreRevision);
  if (Read.value().Entry)
    this->applyConfiguration(*Read.value().Entry, "read");
  // Also if there is none yet, which the watch then waits for.
  this->ConfigurationCopy.onConfirmed(ReadSentAt);
  this->ConfigurationCopy.onStoreAnswered(BootClock().now(), true);
  co_return true;
}

Awaitable<void> SessionDaemon::Components::checkConfiguration() {
  TimePoint ReadSentAt = BootClock().now();
  if (this->Routes.loaded()) {
    auto Changes = co_await this->Store.changesSince(
        std::string(ConfigurationKey), this->ConfigurationRevision);
    if (!Changes) {
      writeWarning("event=configuration_check_failed reason=\"" +
                   Changes.error().Message + "\"");
      this->onStoreFailed(
          this->ConfigurationCopy,
          BootClock().now() +
              this->ConfigurationReadBackoff.onFailed(this->Random));
      co_return;
    }
    if (!Changes.value().HistoryCompacted) {
      this->ConfigurationReadBackoff.onAnswered();
      this->onConfigurationChanges(Changes.value(), "check");
      this->ConfigurationCopy.onConfirmed(ReadSentAt);
      this->ConfigurationCopy.onStoreAnswered(BootClock().now(), true);
      co_return;
    }
  }
  co_await this->readConfiguration();
}

void SessionDaemon::Components::onConfigurationChanges(
    const WatchReply &Changes, std::string_view Source) {
  this->ConfigurationRevision =
      std::max(this->ConfigurationRevision, Changes.StoreRevision);
  for (const WatchEvent &Each : Changes.Events)
    if (Each.Entry.Key == ConfigurationKey && !Each.Deleted)
      this->applyConfiguration(Each.Entry, Source);
}

Awaitable<void> SessionDaemon::Components::copyConfiguration(InstanceId From) {
  auto Copy = co_await this->fetchCopy(CopySubject::Configuration, From);
  bool Usable = Copy && Copy->Entries.size() == 1 &&
                Copy->Entries.front().Key == ConfigurationKey;
  if (Usable) {
    this->applyConfiguration(Copy->Entries.front(), InstanceSource);
    // The store then need not send again what is older.
    this->ConfigurationRevision =
        std::max(this->ConfigurationRevision,
                 std::min(Copy->StoreRevision, Copy->Entries.front().Modified));
  }
  // The instance may hold an older copy than it has reported, or one that can't
  // be decoded here.
  if (!Usable || this->ConfigurationCopy.isBehind())
    this->ConfigurationCopy.onCopyFailed(From, BootClock().now());
  else
    this->ConfigurationCopy.onCopyReceived();
}

std::int64_t SessionDaemon::Components::configurationAge() const {
  const auto &ConfirmedAt = this->ConfigurationCopy.confirmedAt();
  if (!ConfirmedAt)
    return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             BootClock().now() - *ConfirmedAt)
      .count();
}

void SessionDaemon::Components::applyConfiguration(const KeyValueEntry &Entry,
                                                   std::string_view Source) {
  bool OfInstance = Source == InstanceSource;
  auto Table = toOutcome([&] {
    return decodeRouteTable(Entry.Value, OfInstance ? CredentialEntries::Digests
                                                    : CredentialEntries::Plain);
  });
  if (!Table) {
    writeWarning("event=configuration_refused reason=\"" +
                 Table.error().Message + "\"");
    if (!OfInstance)
      this->ConfigurationCopy.onUnusable();
    return;
  }
  std::size_t Count = Table.value().Routes.size();
  std::size_t Accounts = Table.value().Accounts.accounts().size();
  std::uint64_t Version = Table.value().Version;
  if (!this->Routes.replaceIfNewer(std::move(Table.value()), BootClock().now()))
    return;
  this->ConfigurationCopy.onHeld(Version);
  this->keepConfiguration(Entry, OfInstance);
  if (Source != "watch" && !this->WatchLagsSince)
    this->WatchLagsSince = BootClock().now();
  writeDecision(DecisionLine("configuration_in_force")
                    .field("version", Version)
                    .field("routes", Count)
                    .field("accounts", Accounts)
                    .field("revision", Entry.Modified.Value)
                    .field("source", Source));
  this->Dispatcher.onRegistry({}, this->Routes, this->Instances.count());
  this->Limits.setLimits(limitsOf(this->Routes.accounts()));
  this->Sessions.onConfigurationApplied();
}

void SessionDaemon::Components::keepConfiguration(KeyValueEntry Entry,
                                                  bool HoldsDigests) {
  if (!HoldsDigests) {
    auto Copy = toOutcome([&] { return withCredentialDigests(Entry.Value); });
    if (!Copy)
      return writeWarning("event=configuration_not_kept reason=" +
                          logValue(Copy.error().Message));
    Entry.Value = std::move(Copy.value());
  }
  Revision Stored = Entry.Modified;
  this->Copies.keep(CopySubject::Configuration, {std::move(Entry)}, Stored,
                    BootClock().now());
}

KnownVersions SessionDaemon::Components::ownVersions() const {
  KnownVersions Own{.Configuration = this->Routes.version(),
                    .Members = this->MembersChangeRevision.Value};
  TimePoint Now = BootClock().now();
  Own.ConfigurationConfirmedAge =
      this->ConfigurationCopy.report(Now).ConfirmedAge;
  Own.MembersConfirmedAge = this->MembersCopy.report(Now).ConfirmedAge;
  if (!this->Instances.readSentAt())
    return Own;
  Own.Instances = this->Instances.digest();
  Own.InstancesAge = std::max(Duration{0}, Now - *this->Instances.readSentAt());
  return Own;
}

void SessionDaemon::Components::onOtherVersions(const InstanceId &From,
                                                const KnownVersions &Other,
                                                TimePoint QuerySentAt) {
  TimePoint Now = BootClock().now();
  // Builds that don't tell this don't serve copies either.
  if (Other.MembersConfirmedAge)
    this->CopyHolder = From;
  if (Other.Configuration > this->Routes.version() &&
      Other.Configuration > this->ReportedConfiguration) {
    this->ReportedConfiguration = Other.Configuration;
    writeDecision(DecisionLine("configuration_behind")
                      .field("version", this->Routes.version())
                      .field("newer", Other.Configuration)
                      .field("told_by", From.Value)
                      .field("confirmed_age_ms", this->configurationAge()));
  }
  this->ConfigurationCopy.onReport(
      From,
      {.Version = Other.Configuration,
       .ConfirmedAge = Other.ConfigurationConfirmedAge},
      QuerySentAt, Now);
  this->MembersCopy.onReport(
      From,
      {.Version = Other.Members, .ConfirmedAge = Other.MembersConfirmedAge},
      QuerySentAt, Now);
  if (Other.Members > this->MembersStoreRevision.Value &&
      !this->ListingMembers && Now >= this->NextMemberListingAt) {
    this->MembersCopy.onStoreAsked(Now);
    this->spawn(this->listMembersChangedAt(Revision{Other.Members}));
  }
  if (this->ConfigurationCopy.isBehind() || this->MembersCopy.isBehind())
    this->followCopies();
  if (Other.Instances == 0 || !this->Instances.readSentAt())
    return;
  TimePoint OtherReadSentAt = QuerySentAt - Other.InstancesAge;
  // A different digest does not trigger a read; the list is read once this
  // instance's copy is too old. In a rolling restart, each change would
  // otherwise make all instances read the list.
  if (Other.Instances == this->Instances.digest())
    this->Instances.onConfirmed(OtherReadSentAt);
}

Awaitable<void>
SessionDaemon::Components::followConfiguration(std::uint32_t Generation) {
  StoreBackoff Backoff;
  this->WatchLagsSince.reset();
  while (Generation == this->WatchGeneration) {
    // An absent configuration is watched, too: it comes into force as soon as
    // it is written.
    bool Following = co_await this->readConfiguration();
    if (!Following)
      co_await this->pauseAfterFailure(Backoff);
    while (Following && Generation == this->WatchGeneration) {
      this->WatchStartedAt = BootClock().now();
      this->WatchLagsSince.reset();
      auto Watched =
          co_await this->Store.watch(std::string(ConfigurationKey),
                                     this->ConfigurationRevision, MaxWatchWait);
      Following = Watched && !Watched.value().HistoryCompacted;
      if (Watched)
        Backoff.onAnswered();
      else
        writeWarning("event=configuration_watch_failed reason=\"" +
                     Watched.error().Message + "\"");
      if (Following)
        this->onConfigurationChanges(Watched.value(), "watch");
      else
        co_await this->pauseAfterFailure(Backoff);
    }
  }
}

void SessionDaemon::Components::listMembersOnce() {
  if (this->ListingMembers)
    return;
  this->ListingMembers = true;
  this->MembersCopy.onStoreAsked(BootClock().now());
  this->spawn([this]() -> Awaitable<void> {
    co_await this->listMembers(ReadConsistency::Current);
  });
}

Awaitable<bool>
SessionDaemon::Components::listMembers(ReadConsistency Consistency) {
  this->ListingMembers = true;
  TimePoint ReadSentAt = BootClock().now();
  this->MembersCopy.onStoreAsked(ReadSentAt);
  auto Listing =
      co_await this->Store.readAll(std::string(MembersPrefix), Consistency);
  this->ListingMembers = false;
  if (!Listing) {
    this->NextMemberListingAt =
        BootClock().now() + this->MemberListingBackoff.onFailed(this->Random);
    this->onStoreFailed(this->MembersCopy, this->NextMemberListingAt);
    writeWarning("event=members_read_failed reason=\"" +
                 Listing.error().Message + "\"");
    co_return false;
  }
  this->MemberListingBackoff.onAnswered();
  this->onMemberListing(std::move(Listing.value().Entries),
                        Listing.value().StoreRevision, ReadSentAt);
  bool IsCurrent = Consistency == ReadConsistency::Current;
  if (IsCurrent)
    this->MembersCopy.onConfirmed(ReadSentAt);
  this->MembersCopy.onStoreAnswered(BootClock().now(), IsCurrent);
  co_return true;
}

void SessionDaemon::Components::onMemberListing(
    std::vector<KeyValueEntry> Entries, Revision StoreRevision,
    TimePoint ReadSentAt) {
  // Listings can arrive out of order, and some are stale.
  if (StoreRevision < this->MembersStoreRevision)
    return;
  if (eraOf(this->MembersStoreRevision) < eraOf(StoreRevision) &&
      this->Registry.loaded())
    this->Registry.onRestored(ReadSentAt);
  this->MembersStoreRevision = StoreRevision;
  this->MembersCopy.onHeld(StoreRevision.Value);
  std::vector<RegisteredMember> Members;
  for (const KeyValueEntry &Entry : Entries) {
    auto Member = toOutcome([&] { return decodeMemberEntry(Entry); });
    if (Member)
      Members.push_back(std::move(Member.value()));
    else
      this->SkippedMembers.report(Entry, Member.error());
  }
  this->Copies.keep(CopySubject::Members, std::move(Entries), StoreRevision,
                    ReadSentAt);
  RegistryChange Change =
      this->Registry.onListing(std::move(Members), ReadSentAt);
  if (Change.empty())
    return;
  this->MembersChangeRevision = this->MembersStoreRevision;
  this->Dispatcher.onRegistry(Change, this->Routes, this->Instances.count());
}

Awaitable<void> SessionDaemon::Components::copyMembers(InstanceId From) {
  TimePoint RequestedAt = BootClock().now();
  auto Copy = co_await this->fetchCopy(CopySubject::Members, From);
  if (Copy)
    this->onMemberListing(std::move(Copy->Entries), Copy->StoreRevision,
                          RequestedAt - Copy->Age);
  if (!Copy || this->MembersCopy.isBehind())
    this->MembersCopy.onCopyFailed(From, BootClock().now());
  else
    this->MembersCopy.onCopyReceived();
}

Awaitable<void>
SessionDaemon::Components::listMembersChangedAt(Revision Change) {
  // All instances list at once when a change is reported. A listing that may be
  // stale costs a tenth and mostly shows the change, because another instance
  // has read it before.
  bool Read = co_await this->listMembers(ReadConsistency::MayBeStale);
  if (Read && this->MembersStoreRevision < Change)
    co_await this->listMembers(ReadConsistency::Current);
}

Awaitable<void> SessionDaemon::Components::followMembers() {
  // Limits and connections are shared with the other instances, so their number
  // must be known before the members are used.
  TimePoint GiveUpAt = BootClock().now() + StartupListingDelay;
  while (!this->Instances.readSentAt() && BootClock().now() < GiveUpAt)
    co_await this->pause(StartupPollInterval);
  std::uint32_t ListingCount = 0;
  StoreBackoff Backoff;
  while (true) {
    bool Current = this->receivesChangeNotifications()
                       ? this->MembersCopy.isUnconfirmed(BootClock().now())
                       : ListingCount % CurrentListingPeriod == 0 ||
                             this->Routes.hasSynchronousReplicas();
    ++ListingCount;
    bool Read = co_await this->listMembers(
        Current ? ReadConsistency::Current : ReadConsistency::MayBeStale);
    if (Read) {
      Backoff.onAnswered();
      co_await this->pause(this->receivesChangeNotifications()
                               ? NotifiedListingInterval
                               : ListingInterval);
    } else {
      ListingCount = 0;
      co_await this->pauseAfterFailure(Backoff);
    }
  }
}

Awaitable<std::optional<LeaseId>> SessionDaemon::Components::registerSelf() {
  auto Granted = co_await this->Store.grantLease(InstanceLeaseDuration);
  if (!Granted)
    co_return std::nullopt;
  RegisteredInstance Own{.Id = this->Settings.Self,
                         .PeerEndpoint = this->peerAddress(),
                         .Zone = this->Settings.Zone};
  LeaseId Lease = Granted.value().Lease;
  TransactionRequest Request;
  Request.Writes = {PutOperation{.Key = std::string(InstancesPrefix) +
                                        this->Settings.Self.Value,
                                 .Value = encodeRegisteredInstance(Own),
                                 .Lease = Lease}};
  auto Written = co_await this->Store.commit(std::move(Request));
  if (!Written || Written.value().Result != CommitReply::CommitStatus::Written)
    co_return std::nullopt;
  this->RegisteredAt = BootClock().now();
  writeDecision(DecisionLine("registered").field("lease", Lease.Value));
  co_return Lease;
}

Awaitable<void> SessionDaemon::Components::keepRegistered() {
  std::optional<LeaseId> Lease;
  StoreBackoff Backoff;
  while (!this->Stopping) {
    if (Lease) {
      auto Renewed = co_await this->Store.renewLease(*Lease);
      // A key can be deleted although its lease is still valid.
      bool Missing = this->RegisteredAt &&
                     this->Instances.readSentAt() > this->RegisteredAt &&
                     !this->Instances.listsSelf();
      if ((Renewed && !Renewed.value()) || Missing)
        Lease.reset();
      if (!Lease)
        this->RegisteredAt.reset();
    }
    if (!Lease)
      Lease = co_await this->registerSelf();
    if (Lease) {
      Backoff.onAnswered();
      co_await this->pauseUnlessStopping(RegistrationInterval);
    } else {
      co_await this->pauseAfterFailure(Backoff);
    }
  }
  // A failover in progress needs the registration.
  while (!this->Failover.isIdle())
    co_await this->pause(DrainPollInterval);
  if (Lease)
    co_await this->Store.endLease(*Lease);
}

Awaitable<void> SessionDaemon::Components::listInstances() {
  TimePoint ReadSentAt = BootClock().now();
  auto Listing = co_await this->Store.readAll(std::string(InstancesPrefix),
                                              ReadConsistency::Current);
  if (Listing) {
    this->Copies.keep(CopySubject::Instances, Listing.value().Entries,
                      Listing.value().StoreRevision, ReadSentAt);
    co_return this->onInstanceListing(Listing.value().Entries, ReadSentAt);
  }
  if (!this->CopyHolder)
    co_return;
  TimePoint RequestedAt = BootClock().now();
  auto Copy =
      co_await this->fetchCopy(CopySubject::Instances, *this->CopyHolder);
  if (Copy)
    this->onInstanceListing(Copy->Entries, RequestedAt - Copy->Age);
}

void SessionDaemon::Components::onInstanceListing(
    const std::vector<KeyValueEntry> &Listing, TimePoint ReadSentAt) {
  if (this->Instances.readSentAt() &&
      ReadSentAt < *this->Instances.readSentAt())
    return;
  std::vector<RegisteredInstance> Entries;
  for (const KeyValueEntry &Entry : Listing) {
    auto Decoded = toOutcome([&] { return decodeRegisteredInstance(Entry); });
    if (Decoded)
      Entries.push_back(std::move(Decoded.value()));
    else
      this->SkippedInstances.report(Entry, Decoded.error());
  }
  if (!this->Instances.onListing(std::move(Entries), ReadSentAt))
    return;
  writeDecision(DecisionLine("instances_known")
                    .field("count", this->Instances.count())
                    .field("reader", this->Failover.isReader() ? 1 : 0));
  this->Limits.onInstancesChanged();
  this->Dispatcher.onRegistry({}, this->Routes, this->Instances.count());
}

Awaitable<void> SessionDaemon::Components::followInstances() {
  co_await this->listInstances();
  // If the whole system is starting, the other instances register meanwhile.
  co_await this->pause(StartupListingDelay);
  co_await this->listInstances();
  while (true) {
    auto LastReadAt = this->Instances.readSentAt();
    bool Stale =
        !LastReadAt || BootClock().now() - *LastReadAt > MaxInstanceListingAge;
    if (Stale || this->Failover.isReader())
      co_await this->listInstances();
    co_await this->pause(InstanceListingInterval);
  }
}

Awaitable<void> SessionDaemon::Components::maintain() {
  while (true) {
    co_await this->pause(MaintenanceInterval);
    if (this->Log)
      writePending(*this->Log, STDOUT_FILENO);
    this->Dispatcher.maintain(this->Failover.providesRecords());
    this->followCopies();
    // Once the load balancer directs new sessions to other instances, idle
    // sessions are closed so that their clients reconnect there.
    if (!this->Stopping && this->Failover.isolation().isolatedFor(
                               BootClock().now()) > BalancerNotice)
      this->Sessions.closeIdle();
  }
}

Awaitable<void> SessionDaemon::Components::summarize() {
  constexpr std::array Calls{"listing", "old_listing", "read",   "check",
                             "watch",   "write",       "renewal"};
  while (true) {
    co_await this->pause(SummaryInterval);
    DecisionLine Line("summary");
    auto Links = this->Dispatcher.links();
    Line.field("sessions", this->Sessions.sessions())
        .field("links", Links.Open)
        .field("links_idle", Links.Idle)
        .field("links_opened", Links.Opened)
        .field("links_evicted", Links.Evicted)
        .field("links_reused",
               processMetrics().counterValue("member_links_total", "reused"))
        .field("links_refused", processMetrics().counterValue(
                                    "member_links_total", "refused_at_limit"))
        .field("configuration", this->Routes.version())
        .field("configuration_confirmed_age_ms", this->configurationAge())
        .field("accounts", this->Routes.accounts().accounts().size())
        .field("instances", this->Instances.count())
        .field("limit_owners", this->Limits.owners().Owners.size())
        .field("admitted", processMetrics().counterValue(
                               "limit_decisions_total", "admitted"))
        .field("limit_reached", processMetrics().counterValue(
                                    "limit_decisions_total", "limit_reached"))
        .field("no_share", processMetrics().counterValue(
                               "limit_decisions_total", "no_share"))
        .field("retries",
               processMetrics().counterValue("decisions_total", "retry"))
        .field("hedges",
               processMetrics().counterValue("decisions_total", "hedge"))
        .field("asked_one",
               processMetrics().counterValue("peer_questions_total", "one"))
        .field("asked_all",
               processMetrics().counterValue("peer_questions_total", "all"))
        .field("asked_grantors", processMetrics().counterValue(
                                     "peer_questions_total", "grantors"))
        .field("grant_replies",
               processMetrics().counterValue("lease_grants_total", "replies"))
        .field("grants_used",
               processMetrics().counterValue("lease_grants_total", "used"))
        .field("grants_unused",
               processMetrics().counterValue("lease_grants_total", "unused"));
    for (const char *Call : Calls)
      Line.field(Call,
                 processMetrics().counterValue("store_calls_total", Call));
    for (std::string Listed : {"members", "instances", "records"})
      Line.field("listed_" + Listed,
                 processMetrics().counterValue("store_listings_total", Listed));
    writeDecision(Line);
  }
}

void SessionDaemon::Components::reloadSettings() {
  if (!this->ReadSettings)
    return;
  auto Read = this->ReadSettings();
  if (!Read) {
    writeWarning("event=settings_refused reason=\"" + Read.error().Message +
                 "\"");
    processMetrics().count("settings_reloads_total", "refused");
    return;
  }
  InstanceSettings Next = this->Settings;
  Next.StopGracePeriod = Read.value().StopGracePeriod;
  Next.ConfigurationApplyTimeout = Read.value().ConfigurationApplyTimeout;
  bool Changed = Next != this->Settings;
  // Addresses, names and capacities are fixed once the process serves.
  bool AtNextStart = Next != Read.value();
  this->Settings = std::move(Next);
  this->ConfigurationCopy.setOptions(
      configurationFollowing(this->Settings.ConfigurationApplyTimeout));
  processMetrics().count("settings_reloads_total", "taken");
  writeDecision(DecisionLine("reload")
                    .field("outcome", Changed ? "changed" : "unchanged")
                    .field("grace_ms", this->Settings.StopGracePeriod /
                                           std::chrono::milliseconds(1))
                    .field("at_next_start", AtNextStart ? 1 : 0));
}

Awaitable<void> SessionDaemon::Components::stop() {
  // The file may have changed without a signal.
  this->reloadSettings();
  StopSchedule Schedule(BootClock().now(), this->Settings.StopGracePeriod);
  this->Stopping = true;
  this->Sessions.stopAt(Schedule);
  this->Failover.stop();
  writeDecision(
      DecisionLine("stop").field("sessions", this->Sessions.sessions()));
  co_await this->pause(BalancerNotice);
  while (this->Sessions.sessions() > 0 &&
         BootClock().now() < Schedule.endsAt()) {
    this->Sessions.closeIdle();
    if (BootClock().now() >= Schedule.endsTransactionsAt())
      this->Sessions.endIdleTransactions();
    co_await this->pause(DrainPollInterval);
  }
  this->Sessions.stopAccepting();
  writeDecision(
      DecisionLine("stopped").field("sessions_cut", this->Sessions.sessions()));
  this->Sessions.answerRunning();
  this->Loop.stop();
}

void SessionDaemon::Components::awaitSignal() {
  this->Signals.async_wait(
      [this](const boost::system::error_code &Failure, int Signal) {
        if (Failure)
          return;
        if (Signal == SIGHUP)
          this->reloadSettings();
        else if (!this->Stopping)
          this->spawn(this->stop());
        this->awaitSignal();
      });
}

SessionDaemon::SessionDaemon(InstanceSettings Settings,
                             SessionDaemonOptions Options)
    : Impl(std::make_unique<Components>(std::move(Settings), Options)) {}
SessionDaemon::~SessionDaemon() = default;

void SessionDaemon::abort() { this->Impl->Loop.stop(); }

Status SessionDaemon::run() {
  Components &P = *this->Impl;
  writeDecision(DecisionLine("start")
                    .field("instance", P.Settings.Self.Value)
                    .field("zone", P.Settings.Zone.Value));
  Status Started = P.Sessions.start();
  if (Started)
    Started = P.Readiness.start();
  if (Started)
    Started = P.Failover.start();
  if (Started)
    Started = P.Limits.start();
  if (Started)
    Started = P.Copies.start();
  if (!Started)
    return Started;
  P.awaitSignal();
  P.spawn(P.followConfiguration(P.WatchGeneration));
  P.spawn(P.followMembers());
  P.spawn(P.Limits.run());
  P.spawn(P.keepRegistered());
  P.spawn(P.followInstances());
  P.spawn(P.maintain());
  P.spawn(P.summarize());
  P.Loop.run();
  if (P.Log)
    writePending(*P.Log, STDOUT_FILENO);
  return std::monostate{};
}

} // namespace turmericpitch
