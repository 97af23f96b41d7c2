#include "main/Daemon.h"

#include "core/DecisionLog.h"
#include "drivers/CallerApi.h"
#include "drivers/ChangeSignal.h"
#include "drivers/ConfigurationSync.h"
#include "drivers/HttpFailoverCoordinator.h"
#include "drivers/MembershipExchange.h"
#include "drivers/OperatorApi.h"
#include "drivers/PeerTransport.h"
#include "drivers/ShareExchange.h"
#include "main/DaemonDrain.h"
#include "membership/DutyLookup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <random>
#include <set>
#include <thread>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t ControlConnectionLimit = 16;

std::string makeStartId() {
  std::random_device Device;
  return std::to_string(Device());
}

/// Options for control connections, which members count separately. Requests
/// wait in order until their deadline and are not shed early.
MemberPoolOptions controlPoolOptions() {
  MemberPoolOptions Options;
  Options.DefaultLimit = ControlConnectionLimit;
  Options.Queue.ShedEarly = false;
  return Options;
}

ShareExchangeOptions shareOptions(const DaemonSettings &Settings,
                                  const std::string &StartId) {
  ShareExchangeOptions Options;
  Options.Self = Settings.Self;
  for (const PeerSettings &Peer : Settings.Peers)
    Options.Peers.emplace(Peer.Id, Peer.PeerEndpoint);
  Options.Incarnation = std::stoull(StartId);
  return Options;
}

RoutingOptions routingOptions(const DaemonSettings &Settings) {
  RoutingOptions Options;
  Options.Zone = Settings.Zone;
  Options.MaxReplicaWait = Settings.MaxReplicaWait;
  return Options;
}

MembershipOptions membershipOptions(const DaemonSettings &Settings) {
  using std::chrono::milliseconds;
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  auto Now = std::chrono::duration_cast<milliseconds>(SinceEpoch).count();
  MembershipOptions Options;
  Options.Self = {.Id = Settings.Self,
                  .Zone = Settings.Zone,
                  .PeerEndpoint = Settings.PeerEndpoint};
  Options.IncarnationNumber = Incarnation{static_cast<std::uint64_t>(Now)};
  for (const PeerSettings &Peer : Settings.Peers)
    Options.Seeds.push_back(
        {.Id = Peer.Id, .Zone = Peer.Zone, .PeerEndpoint = Peer.PeerEndpoint});
  return Options;
}

HttpFailoverCoordinatorOptions
failoverOptions(const DaemonSettings &Settings, const std::string &StartId,
                std::shared_ptr<DutyLookup> Duties) {
  HttpFailoverCoordinatorOptions Options;
  Options.Self = Settings.Self;
  Options.Detector.SilenceTimeout = Settings.PrimarySilenceTimeout;
  Options.Detector.RankDelay = Settings.PromoterRankDelay;
  Options.Probes.ActiveInterval = Settings.ProbeInterval;
  Options.ProbeTimeout = Settings.ProbeTimeout;
  Options.StartId = StartId;
  Options.RankOf = [Duties](const DatabaseId &Id) {
    return Duties->rank({.Kind = Duty::Promote, .Subject = Id.Value},
                        HttpFailoverCoordinator::PromoterCount);
  };
  return Options;
}

ConfigurationSyncOptions syncOptions(const DaemonSettings &Settings,
                                     const std::string &StartId) {
  ConfigurationSyncOptions Options;
  Options.Dissemination.Self = Settings.Self;
  Options.Dissemination.Zone = Settings.Zone;
  Options.Dissemination.Seed = std::hash<std::string>{}(StartId);
  Options.PeerKeys = Settings.PeerKeys;
  return Options;
}

std::vector<ConfigurationPeer>
configurationPeers(const DaemonSettings &Settings) {
  std::vector<ConfigurationPeer> Peers;
  for (const PeerSettings &Peer : Settings.Peers)
    Peers.push_back(
        {.Id = Peer.Id, .Zone = Peer.Zone, .Where = Peer.PeerEndpoint});
  return Peers;
}

HttpServerOptions serverOptions(const Endpoint &Listen,
                                const std::shared_ptr<TlsKeys> &Keys) {
  HttpServerOptions Options;
  Options.Listen = Listen;
  if (Keys)
    Options.CurrentTls = [Keys] { return Keys->current(); };
  return Options;
}

/// Makes a server with one handler for all connections.
template <typename Api>
std::unique_ptr<HttpServer> makeServer(Executor Exec, const Endpoint &Listen,
                                       std::shared_ptr<Api> Shared,
                                       std::shared_ptr<TlsKeys> Keys) {
  HttpServerOptions Options = serverOptions(Listen, Keys);
  return std::make_unique<HttpServer>(Exec, Options, [Shared]() -> HttpHandler {
    return [Shared](HttpRequest Request) -> Awaitable<HttpReply> {
      return Shared->handle(std::move(Request));
    };
  });
}

/// Makes the server for callers. Each connection has its own transaction state.
std::unique_ptr<HttpServer> makeCallerServer(Executor Exec,
                                             const Endpoint &Listen,
                                             std::shared_ptr<CallerApi> Api,
                                             std::shared_ptr<TlsKeys> Keys) {
  HttpServerOptions Options = serverOptions(Listen, Keys);
  return std::make_unique<HttpServer>(Exec, Options, [Api]() -> HttpHandler {
    auto Caller = std::make_shared<CallerTransaction>();
    return [Api, Caller](HttpRequest Request) -> Awaitable<HttpReply> {
      return Api->handle(std::move(Request), Caller);
    };
  });
}

} // namespace

struct Daemon::Components {
  explicit Components(DaemonSettings Settings);

  /// Passes the databases of the active configuration to the components.
  void onConfigurationApplied();
  /// Creates the servers and the drain. Errors: BadRequest if the TLS keys are
  /// invalid.
  Status openServers();

  DaemonSettings Settings;
  std::string StartId = makeStartId();
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  Executor Exec{Context.get_executor()};
  std::shared_ptr<MemberPool> Statements;
  std::shared_ptr<MemberPool> Control;
  std::shared_ptr<UpstreamController> Upstreams;
  std::shared_ptr<ConfigurationController> Configuration;
  std::shared_ptr<PlatformClient> Platform;
  std::shared_ptr<HttpFailoverCoordinator> Failover;
  std::shared_ptr<StatementRunner> Runner;
  std::shared_ptr<ConfigurationSync> Sync;
  std::shared_ptr<CallerApi> Callers;
  std::shared_ptr<OperatorApi> Operators;
  std::shared_ptr<PeerTransport> Peers;
  std::shared_ptr<MembershipController> Members;
  std::shared_ptr<MembershipExchange> Exchange;
  std::shared_ptr<ShareExchange> Shares;
  std::shared_ptr<TlsKeys> Keys;
  std::shared_ptr<HttpServer> CallerServer;
  std::shared_ptr<DaemonDrain> Drain;
  std::unique_ptr<HttpServer> OperatorServer;
  std::unique_ptr<HttpServer> ConfigurationCopyServer;
  std::vector<std::thread> Threads;
  std::set<DatabaseId> KnownDatabases;
};

Daemon::Components::Components(DaemonSettings Given)
    : Settings(std::move(Given)) {
  this->Statements =
      std::make_shared<MemberPool>(this->Exec, MemberPoolOptions{});
  this->Control =
      std::make_shared<MemberPool>(this->Exec, controlPoolOptions());
  this->Upstreams = std::make_shared<UpstreamController>();
  this->Configuration = std::make_shared<ConfigurationController>();
  PlatformClientOptions PlatformOptions;
  PlatformOptions.Platform = this->Settings.PlatformEndpoint;
  this->Platform =
      std::make_shared<PlatformClient>(this->Exec, PlatformOptions);
  this->Members = std::make_shared<MembershipController>(
      membershipOptions(this->Settings), std::random_device()());
  this->Failover = std::make_shared<HttpFailoverCoordinator>(
      this->Exec,
      failoverOptions(
          this->Settings, this->StartId,
          std::make_shared<DutyLookup>(this->Settings.Self, this->Members)),
      this->Control, this->Upstreams);
  this->Runner = std::make_shared<StatementRunner>(
      this->Statements, this->Control, this->Upstreams,
      routingOptions(this->Settings));
  this->Peers = std::make_shared<PeerTransport>(
      this->Exec, this->Settings.PeerEndpoint, this->Settings.Self,
      this->Settings.PeerKeys);
  this->Sync = std::make_shared<ConfigurationSync>(
      this->Exec, syncOptions(this->Settings, this->StartId), this->Platform,
      this->Configuration, this->Peers,
      [this] { this->onConfigurationApplied(); });
  this->Sync->attach();
  this->Sync->onPeers(configurationPeers(this->Settings));
  auto Codec =
      std::make_shared<const SessionTokenCodec>(this->Settings.TokenKeys);
  StatementChain Chain(AccountFilter{},
                       DeadlineFilter{this->Settings.MaxRequestTimeout},
                       TokenFilter{Codec});
  auto Transactions = std::make_shared<TransactionRunner>(
      this->Statements, this->Upstreams, this->Runner,
      routingOptions(this->Settings), TransactionLimits{});
  this->Callers = std::make_shared<CallerApi>(
      CallerApiOptions{.Self = this->Settings.Self,
                       .StartId = this->StartId,
                       .OnAdmitted =
                           [Failover = this->Failover](const DatabaseId &Id) {
                             Failover->onStatement(Id);
                           }},
      this->Configuration, this->Upstreams, this->Runner, Transactions, Chain,
      Codec);
  this->Operators = std::make_shared<OperatorApi>(
      OperatorApiOptions{
          .Self = this->Settings.Self,
          .CredentialDigest = this->Settings.OperatorCredentialDigest,
          .Membership = [this] { return this->Members->current(); }},
      this->Configuration, this->Upstreams, this->Platform, this->Sync);
  this->Exchange =
      std::make_shared<MembershipExchange>(this->Peers, this->Members);
  this->Exchange->attach();
  this->Shares = std::make_shared<ShareExchange>(
      shareOptions(this->Settings, this->StartId), this->Peers,
      this->Statements);
  this->Shares->attach();
}

void Daemon::Components::onConfigurationApplied() {
  SharedConfiguration Current = this->Configuration->current();
  std::vector<Database> Databases;
  std::set<DatabaseId> ConfiguredIds;
  for (const auto &[Id, Configured] : Current->databases()) {
    Databases.push_back(Configured);
    ConfiguredIds.insert(Id);
    this->Upstreams->onConfigured(Configured);
  }
  for (const DatabaseId &Id : this->KnownDatabases)
    if (!ConfiguredIds.contains(Id))
      this->Upstreams->onRemoved(Id);
  this->KnownDatabases = std::move(ConfiguredIds);
  this->Failover->onConfigured(Databases);
  this->Shares->onConfigured(Databases);
}

Status Daemon::Components::openServers() {
  if (this->Settings.Tls) {
    auto Loaded = TlsKeys::load(*this->Settings.Tls);
    if (!Loaded)
      return Loaded.error();
    this->Keys = Loaded.value();
  }
  this->CallerServer = makeCallerServer(
      this->Exec, this->Settings.CallerEndpoint, this->Callers, this->Keys);
  this->OperatorServer = makeServer(this->Exec, this->Settings.OperatorEndpoint,
                                    this->Operators, this->Keys);
  this->ConfigurationCopyServer = makeServer(
      this->Exec, this->Settings.PeerEndpoint, this->Sync->copies(), nullptr);
  this->Drain = std::make_shared<DaemonDrain>(
      this->Settings.Drain,
      DaemonDrainComponents{.Callers = this->Callers,
                            .CallerServer = this->CallerServer,
                            .Members = this->Members,
                            .Exchange = this->Exchange});
  return std::monostate{};
}

Daemon::Daemon(DaemonSettings Settings)
    : Impl(std::make_unique<Components>(std::move(Settings))) {}

Daemon::~Daemon() { this->stop(); }

Status Daemon::start() {
  Components &P = *this->Impl;
  Status Opened = P.openServers();
  if (!Opened)
    return Opened;
  for (HttpServer *Server : {P.CallerServer.get(), P.OperatorServer.get(),
                             P.ConfigurationCopyServer.get()}) {
    Status Started = Server->start();
    if (!Started)
      return Started;
  }
  Status PeersStarted = P.Peers->start();
  if (!PeersStarted)
    return PeersStarted;
  auto Exchange = P.Exchange;
  asio::co_spawn(
      asio::make_strand(P.Exec),
      [Exchange]() -> Awaitable<void> { co_await Exchange->run(); },
      asio::detached);
  auto Drain = P.Drain;
  asio::co_spawn(
      asio::make_strand(P.Exec),
      [Drain]() -> Awaitable<void> { co_await Drain->run(); }, asio::detached);
  P.Sync->start();
  auto Shares = P.Shares;
  asio::co_spawn(
      asio::make_strand(P.Exec),
      [Shares]() -> Awaitable<void> { co_await Shares->run(); },
      asio::detached);
  for (std::uint32_t Index = 0; Index < P.Settings.Threads; ++Index)
    P.Threads.emplace_back([&P] { P.Context.run(); });
  return std::monostate{};
}

void Daemon::beginDrain() { this->Impl->Drain->begin(DrainReason::Signal); }

void Daemon::endDrain() { this->Impl->Drain->end(); }

bool Daemon::draining() const { return this->Impl->Drain->draining(); }

bool Daemon::drained() const { return this->Impl->Drain->drained(); }

Status Daemon::reloadKeys() {
  if (!this->Impl->Keys)
    return std::monostate{};
  return this->Impl->Keys->reload();
}

void Daemon::stop() {
  Components &P = *this->Impl;
  if (P.Drain)
    P.Drain->stop();
  P.Sync->stop();
  P.Failover->stop();
  P.Shares->stop();
  for (HttpServer *Server : {P.CallerServer.get(), P.OperatorServer.get(),
                             P.ConfigurationCopyServer.get()})
    if (Server)
      Server->close();
  P.Exchange->stop();
  P.Peers->close();
  P.Context.stop();
  for (std::thread &Each : P.Threads)
    Each.join();
  P.Threads.clear();
}

} // namespace turmericpitch
