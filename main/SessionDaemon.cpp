#include "main/SessionDaemon.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "drivers/FailoverCoordinator.h"
#include "drivers/HttpServer.h"
#include "drivers/LogPipe.h"
#include "drivers/SessionServer.h"
#include "drivers/StoreClient.h"
#include "limits/StoreBackoff.h"
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
#include <random>
#include <unistd.h>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr unsigned ServiceUnavailable = 503;
/// How long a watch waits while other instances tell of new versions: the
/// longest that the store takes.
constexpr std::chrono::milliseconds WatchWait(30'000);
/// The same while they don't: a watch that has gone silent, its slack and the
/// question to the reader must fit the time within which a configuration has
/// to be in force.
constexpr int WatchesInApplyLimit = 3;
constexpr Duration ListingInterval = std::chrono::milliseconds(1000);
/// Each third listing is current, so that leaving members are known within
/// four seconds; those between may be old and cost a tenth.
constexpr std::uint32_t ListingsForCurrent = 3;
/// The same while others tell when the list has changed.
constexpr std::uint32_t QuietListingsForCurrent = 30;
constexpr Duration SummaryInterval = std::chrono::seconds(10);
constexpr Duration MaintainInterval = std::chrono::milliseconds(100);
/// An instance that ends without saying so is counted for as long.
constexpr std::chrono::milliseconds InstanceLease(15000);
constexpr Duration RegistrationInterval = std::chrono::milliseconds(3000);
/// Readers list the instances so often; the others hear of it from them, or
/// list them once what they know is older than the limit.
constexpr Duration RosterInterval = std::chrono::milliseconds(1000);
constexpr Duration StartListingPause = std::chrono::milliseconds(500);
constexpr Duration RosterAgeLimit = std::chrono::milliseconds(2500);
constexpr Duration RetryInterval = std::chrono::milliseconds(200);
/// The balancer asks once a second and needs two misses.
constexpr Duration BalancerNotice = std::chrono::milliseconds(2300);
constexpr Duration DrainLook = std::chrono::milliseconds(100);
/// Kept free before the process would be killed.
constexpr Duration StopMargin = std::chrono::milliseconds(500);

} // namespace

struct SessionDaemon::Parts {
  explicit Parts(InstanceSettings Settings, SessionDaemonOptions Options)
      : Settings(std::move(Settings)), Log(Options.Log),
        Store(this->Loop.get_executor(),
              {.Store = this->Settings.Store,
               .Promotions = this->Settings.Promotions}),
        Dispatcher(
            this->Loop.get_executor(), {.Zone = this->Settings.Zone},
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
                  .Rules = Options.Rules},
                 this->Store, this->Instances, this->Dispatcher,
                 [this] { return this->Registration; },
                 {.Own = [this] { return this->ownVersions(); },
                  .OnOther =
                      [this](const KnownVersions &Other, TimePoint AskedAt) {
                        this->onOtherVersions(Other, AskedAt);
                      }}),
        Sessions(this->Loop.get_executor(), {.Listen = this->Settings.Sessions},
                 this->Routes, this->Dispatcher),
        Readiness(this->Loop.get_executor(),
                  {.Listen = this->Settings.Readiness},
                  [this] {
                    return [this](HttpRequest Request) -> Awaitable<HttpReply> {
                      co_return this->answer(Request);
                    };
                  }),
        Signals(this->Loop, SIGTERM, SIGINT, SIGHUP) {}

  [[nodiscard]] Endpoint peerAddress() const {
    return {.Address = this->Settings.Address,
            .Port = this->Settings.FirstPeerPort};
  }
  HttpReply answer(const HttpRequest &Request);
  void awaitSignal();
  Awaitable<void> pause(Duration Length);
  /// The same, but ends once the process is about to stop.
  Awaitable<void> rest(Duration Length);
  /// Waits after a failed call of the store, until it is time for the next or
  /// others reach the store again that nobody reached.
  Awaitable<void> pauseAfterFailure(StoreBackoff &Backoff);
  Awaitable<void> followConfiguration();
  Awaitable<void> readConfiguration();
  [[nodiscard]] KnownVersions ownVersions() const;
  /// Whether others read the store for this instance and tell it of changes.
  [[nodiscard]] bool isToldOfChanges() const {
    return !this->Failover.isReader() && !this->Failover.hasStaleRecords();
  }
  void onOtherVersions(const KnownVersions &Other, TimePoint AskedAt);
  /// Returns whether the list could be read.
  Awaitable<bool> listMembers(ReadConsistency Age);
  Awaitable<void> listMembersNow();
  Awaitable<void> followMembers();
  Awaitable<void> keepRegistered();
  Awaitable<std::optional<LeaseId>> registerSelf();
  Awaitable<void> listInstances();
  Awaitable<void> followInstances();
  Awaitable<void> maintain();
  /// Logs figures of the process now and then.
  Awaitable<void> summarize();
  Awaitable<void> stop();

  template <typename Work> void spawn(Work Run) {
    asio::co_spawn(this->Loop, std::move(Run), [](std::exception_ptr Failure) {
      if (Failure)
        std::rethrow_exception(Failure);
    });
  }

  InstanceSettings Settings;
  /// Not set where lines are written as they come.
  BoundedLog *Log = nullptr;
  asio::io_context Loop{1};
  RouteController Routes;
  Revision ConfigurationRevision;
  MemberRegistry Registry;
  StoreClient Store;
  StatementDispatcher Dispatcher;
  InstanceRegistry Instances;
  FailoverCoordinator Failover;
  SessionServer Sessions;
  HttpServer Readiness;
  asio::signal_set Signals;
  std::optional<OwnRegistration> Registration;
  /// How far the members' list was read, and when it was found changed.
  Revision MembersAsOf;
  Revision MembersChangedAt;
  bool Listing = false;
  /// Whether the configuration is being read.
  bool Reading = false;
  bool Stopping = false;
  /// After a failure, what others tell is read no sooner.
  TimePoint ReadAgainAt;
  TimePoint ListAgainAt;
  StoreBackoff ReadBackoff;
  StoreBackoff ListBackoff;
  RandomSource Random{std::random_device{}()};
};

HttpReply SessionDaemon::Parts::answer(const HttpRequest &Request) {
  HttpReply Reply;
  if (Request.Target == "/metrics") {
    Reply.Body = processMetrics().scrape();
    Reply.ContentType = "text/plain";
    return Reply;
  }
  bool Ready = !this->Stopping && this->Routes.loaded() &&
               this->Registry.loaded() &&
               !this->Failover.isolation().isolated();
  if (!Ready)
    Reply.Status = ServiceUnavailable;
  Reply.Body = "{}";
  return Reply;
}

Awaitable<void> SessionDaemon::Parts::pause(Duration Length) {
  asio::steady_timer Timer(this->Loop, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<void> SessionDaemon::Parts::rest(Duration Length) {
  TimePoint Until = BootClock().now() + Length;
  while (!this->Stopping && BootClock().now() < Until)
    co_await this->pause(DrainLook);
}

Awaitable<void> SessionDaemon::Parts::pauseAfterFailure(StoreBackoff &Backoff) {
  TimePoint Until = BootClock().now() + Backoff.onFailed(this->Random);
  bool NobodyReached = this->Failover.hasStaleRecords();
  while (BootClock().now() < Until) {
    if (NobodyReached && !this->Failover.hasStaleRecords())
      break;
    co_await this->pause(std::min(RetryInterval, Until - BootClock().now()));
  }
}

Awaitable<void> SessionDaemon::Parts::readConfiguration() {
  this->Reading = true;
  auto Read = co_await this->Store.readKey(std::string(ConfigurationKey));
  this->Reading = false;
  if (Read)
    this->ReadBackoff.onAnswered();
  else
    this->ReadAgainAt =
        BootClock().now() + this->ReadBackoff.onFailed(this->Random);
  if (!Read || !Read.value().Entry) {
    writeWarning("event=configuration_read_failed reason=\"" +
                 (Read ? std::string("no such key") : Read.error().Message) +
                 "\"");
    co_return;
  }
  const KeyValueEntry &Entry = *Read.value().Entry;
  // Not the entry's own revision: the history may no longer reach back to it.
  this->ConfigurationRevision =
      std::max(this->ConfigurationRevision, Read.value().StoreRevision);
  auto Table = toOutcome([&] { return decodeRouteTable(Entry.Value); });
  if (!Table) {
    writeWarning("event=configuration_refused reason=\"" +
                 Table.error().Message + "\"");
    co_return;
  }
  std::size_t Count = Table.value().Routes.size();
  std::uint64_t Version = Table.value().Version;
  if (!this->Routes.replaceIfNewer(std::move(Table.value())))
    co_return;
  writeDecision(DecisionLine("configuration_in_force")
                    .field("version", Version)
                    .field("routes", Count)
                    .field("revision", Entry.Modified.Value));
  this->Dispatcher.onRegistry({}, this->Routes, this->Instances.count());
}

KnownVersions SessionDaemon::Parts::ownVersions() const {
  KnownVersions Own{.Configuration = this->Routes.version(),
                    .Members = this->MembersChangedAt.Value};
  if (!this->Instances.readSentAt())
    return Own;
  Own.Instances = this->Instances.digest();
  Own.InstancesAge =
      std::max(Duration{0}, BootClock().now() - *this->Instances.readSentAt());
  return Own;
}

void SessionDaemon::Parts::onOtherVersions(const KnownVersions &Other,
                                           TimePoint AskedAt) {
  TimePoint Now = BootClock().now();
  if (Other.Configuration > this->Routes.version() && !this->Reading &&
      Now >= this->ReadAgainAt)
    this->spawn(this->readConfiguration());
  if (Other.Members > this->MembersAsOf.Value && !this->Listing &&
      Now >= this->ListAgainAt)
    this->spawn(this->listMembersNow());
  if (Other.Instances == 0 || !this->Instances.readSentAt())
    return;
  TimePoint ReadAt = AskedAt - Other.InstancesAge;
  // Another list is read once the own one is old: where instances restart
  // one after the other, each change would make all of them read.
  if (Other.Instances == this->Instances.digest())
    this->Instances.onConfirmed(ReadAt);
}

Awaitable<void> SessionDaemon::Parts::followConfiguration() {
  StoreBackoff Backoff;
  while (true) {
    co_await this->readConfiguration();
    if (!this->Routes.loaded()) {
      co_await this->pauseAfterFailure(Backoff);
      continue;
    }
    bool Quiet = true;
    while (Quiet) {
      auto Seen = co_await this->Store.watch(
          std::string(ConfigurationKey), this->ConfigurationRevision,
          this->isToldOfChanges()
              ? WatchWait
              : std::chrono::duration_cast<std::chrono::milliseconds>(
                    this->Settings.ConfigurationApplyTimeout /
                    WatchesInApplyLimit));
      Quiet =
          Seen && !Seen.value().HistoryCompacted && Seen.value().Events.empty();
      if (Seen)
        Backoff.onAnswered();
      if (Quiet)
        this->ConfigurationRevision = Seen.value().StoreRevision;
      if (!Seen || Seen.value().HistoryCompacted)
        co_await this->pauseAfterFailure(Backoff);
    }
  }
}

Awaitable<bool> SessionDaemon::Parts::listMembers(ReadConsistency Age) {
  this->Listing = true;
  TimePoint AskedAt = BootClock().now();
  auto Listed = co_await this->Store.readAll(std::string(MembersPrefix), Age);
  this->Listing = false;
  if (Listed)
    this->ListBackoff.onAnswered();
  else
    this->ListAgainAt =
        BootClock().now() + this->ListBackoff.onFailed(this->Random);
  if (!Listed) {
    writeWarning("event=members_read_failed reason=\"" +
                 Listed.error().Message + "\"");
    co_return false;
  }
  // Listings can overtake one another, and some are old.
  if (Listed.value().StoreRevision < this->MembersAsOf)
    co_return true;
  this->MembersAsOf = Listed.value().StoreRevision;
  std::vector<RegisteredMember> Members;
  for (const KeyValueEntry &Entry : Listed.value().Entries) {
    auto Member = toOutcome([&] { return decodeMemberEntry(Entry); });
    if (Member)
      Members.push_back(std::move(Member.value()));
    else
      writeWarning("event=member_entry_skipped key=" + Entry.Key +
                   " reason=\"" + Member.error().Message + "\"");
  }
  RegistryChange Change = this->Registry.onListing(std::move(Members), AskedAt);
  if (!Change.empty()) {
    this->MembersChangedAt = this->MembersAsOf;
    this->Dispatcher.onRegistry(Change, this->Routes, this->Instances.count());
  }
  co_return true;
}

Awaitable<void> SessionDaemon::Parts::listMembersNow() {
  co_await this->listMembers(ReadConsistency::Current);
}

Awaitable<void> SessionDaemon::Parts::followMembers() {
  std::uint32_t Turn = 0;
  StoreBackoff Backoff;
  while (true) {
    std::uint32_t Between =
        this->isToldOfChanges() ? QuietListingsForCurrent : ListingsForCurrent;
    bool Current = Turn++ % Between == 0;
    bool Read = co_await this->listMembers(
        Current ? ReadConsistency::Current : ReadConsistency::MayBeStale);
    if (Read) {
      Backoff.onAnswered();
      co_await this->pause(ListingInterval);
    } else {
      Turn = 0;
      co_await this->pauseAfterFailure(Backoff);
    }
  }
}

Awaitable<std::optional<LeaseId>> SessionDaemon::Parts::registerSelf() {
  auto Granted = co_await this->Store.grantLease(InstanceLease);
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
  if (!Written || Written.value().Result != CommitReply::Verdict::Written)
    co_return std::nullopt;
  this->Registration = OwnRegistration{.Key = std::string(InstancesPrefix) +
                                              this->Settings.Self.Value,
                                       .Stored = Written.value().Written,
                                       .Since = BootClock().now()};
  writeDecision(DecisionLine("registered").field("lease", Lease.Value));
  co_return Lease;
}

Awaitable<void> SessionDaemon::Parts::keepRegistered() {
  std::optional<LeaseId> Lease;
  StoreBackoff Backoff;
  while (!this->Stopping) {
    if (Lease) {
      auto Stands = co_await this->Store.renewLease(*Lease);
      // Keys can be taken away while their lease stands.
      bool Missing = this->Registration &&
                     this->Instances.readSentAt() > this->Registration->Since &&
                     !this->Instances.listsSelf();
      if ((Stands && !Stands.value()) || Missing)
        Lease.reset();
      if (!Lease)
        this->Registration.reset();
    }
    if (!Lease)
      Lease = co_await this->registerSelf();
    if (Lease) {
      Backoff.onAnswered();
      co_await this->rest(RegistrationInterval);
    } else {
      co_await this->pauseAfterFailure(Backoff);
    }
  }
  // A change under way needs the registration.
  while (!this->Failover.isIdle())
    co_await this->pause(DrainLook);
  if (Lease)
    co_await this->Store.endLease(*Lease);
}

Awaitable<void> SessionDaemon::Parts::listInstances() {
  TimePoint AskedAt = BootClock().now();
  auto Listed = co_await this->Store.readAll(std::string(InstancesPrefix),
                                             ReadConsistency::Current);
  if (!Listed ||
      (this->Instances.readSentAt() && AskedAt < *this->Instances.readSentAt()))
    co_return;
  std::vector<RegisteredInstance> Entries;
  for (const KeyValueEntry &Entry : Listed.value().Entries) {
    auto Decoded = toOutcome([&] { return decodeRegisteredInstance(Entry); });
    if (Decoded)
      Entries.push_back(std::move(Decoded.value()));
    else
      writeWarning("event=instance_entry_skipped reason=\"" +
                   Decoded.error().Message + "\"");
  }
  if (!this->Instances.onListing(std::move(Entries), AskedAt))
    co_return;
  writeDecision(DecisionLine("instances_known")
                    .field("count", this->Instances.count())
                    .field("reader", this->Failover.isReader() ? 1 : 0));
  this->Dispatcher.onRegistry({}, this->Routes, this->Instances.count());
}

Awaitable<void> SessionDaemon::Parts::followInstances() {
  co_await this->listInstances();
  // The others of a whole system that starts register meanwhile.
  co_await this->pause(StartListingPause);
  co_await this->listInstances();
  while (true) {
    auto Known = this->Instances.readSentAt();
    bool Old = !Known || BootClock().now() - *Known > RosterAgeLimit;
    if (Old || this->Failover.isReader())
      co_await this->listInstances();
    co_await this->pause(RosterInterval);
  }
}

Awaitable<void> SessionDaemon::Parts::maintain() {
  while (true) {
    co_await this->pause(MaintainInterval);
    if (this->Log)
      writePending(*this->Log, STDOUT_FILENO);
    this->Dispatcher.maintain();
    // Once the balancer leads new sessions elsewhere, the open ones follow.
    if (!this->Stopping && this->Failover.isolation().isolatedFor(
                               BootClock().now()) > BalancerNotice)
      this->Sessions.closeIdle();
  }
}

Awaitable<void> SessionDaemon::Parts::summarize() {
  constexpr std::array Calls{"listing", "old_listing", "read",
                             "watch",   "write",       "renewal"};
  while (true) {
    co_await this->pause(SummaryInterval);
    DecisionLine Line("summary");
    auto Links = this->Dispatcher.links();
    Line.field("sessions", this->Sessions.sessions())
        .field("links", Links.Held)
        .field("links_idle", Links.Idle)
        .field("links_opened", Links.Opened)
        .field("configuration", this->Routes.version())
        .field("instances", this->Instances.count())
        .field("retries",
               processMetrics().counterValue("decisions_total", "retry"))
        .field("hedges",
               processMetrics().counterValue("decisions_total", "hedge"))
        .field("asked_one",
               processMetrics().counterValue("peer_questions_total", "one"))
        .field("asked_all",
               processMetrics().counterValue("peer_questions_total", "all"));
    for (const char *Call : Calls)
      Line.field(Call,
                 processMetrics().counterValue("store_calls_total", Call));
    writeDecision(Line);
  }
}

Awaitable<void> SessionDaemon::Parts::stop() {
  TimePoint AskedAt = BootClock().now();
  this->Stopping = true;
  this->Failover.stop();
  writeDecision(
      DecisionLine("stop").field("sessions", this->Sessions.sessions()));
  co_await this->pause(BalancerNotice);
  TimePoint HalfTime = AskedAt + this->Settings.StopGracePeriod / 2;
  TimePoint Last = AskedAt + this->Settings.StopGracePeriod - StopMargin;
  while (this->Sessions.sessions() > 0 && BootClock().now() < Last) {
    this->Sessions.closeIdle();
    if (BootClock().now() >= HalfTime)
      this->Sessions.endIdleTransactions();
    co_await this->pause(DrainLook);
  }
  this->Sessions.stopAccepting();
  writeDecision(
      DecisionLine("stopped").field("sessions_cut", this->Sessions.sessions()));
  this->Loop.stop();
}

void SessionDaemon::Parts::awaitSignal() {
  this->Signals.async_wait(
      [this](const boost::system::error_code &Failure, int Signal) {
        if (Failure)
          return;
        if (Signal == SIGHUP)
          writeDecision(DecisionLine("reload").field("outcome", "unchanged"));
        else if (!this->Stopping)
          this->spawn(this->stop());
        this->awaitSignal();
      });
}

SessionDaemon::SessionDaemon(InstanceSettings Settings,
                             SessionDaemonOptions Options)
    : Own(std::make_unique<Parts>(std::move(Settings), Options)) {}
SessionDaemon::~SessionDaemon() = default;

void SessionDaemon::abort() { this->Own->Loop.stop(); }

Status SessionDaemon::run() {
  Parts &P = *this->Own;
  writeDecision(DecisionLine("start")
                    .field("instance", P.Settings.Self.Value)
                    .field("zone", P.Settings.Zone.Value));
  Status Started = P.Sessions.start();
  if (Started)
    Started = P.Readiness.start();
  if (Started)
    Started = P.Failover.start();
  if (!Started)
    return Started;
  P.awaitSignal();
  P.spawn(P.followConfiguration());
  P.spawn(P.followMembers());
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
