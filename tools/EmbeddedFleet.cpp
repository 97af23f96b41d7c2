#include "tools/EmbeddedFleet.h"

#include "core/Digest.h"
#include "drivers/BlockingClient.h"
#include "drivers/Json.h"
#include "drivers/MemberCodec.h"

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;
constexpr std::size_t StandInThreads = 2;
constexpr std::size_t PortsPerInstance = 3;
constexpr Duration PollInterval = std::chrono::milliseconds(10);

void sleepPollInterval() { std::this_thread::sleep_for(PollInterval); }

/// Parses the canonical JSON of an object, so that it can be embedded in a
/// ticket.
template <typename Object> boost::json::value toJsonValue(const Object &From) {
  return boost::json::parse(toJson(From));
}

HttpRequest operatorRequest(const std::string &Method,
                            const std::string &Target) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Authorization =
      std::string("Bearer ") + EmbeddedFleet::OperatorCredential;
  return Request;
}

} // namespace

EmbeddedFleet::EmbeddedFleet(FleetOptions Options)
    : Options(std::move(Options)) {}

EmbeddedFleet::~EmbeddedFleet() {
  this->Daemons.clear();
  this->Members.clear();
  this->Platform.reset();
  this->Context.stop();
  for (std::thread &Thread : this->Threads)
    Thread.join();
}

Endpoint EmbeddedFleet::port(std::size_t Offset) const {
  return {.Address = "127.0.0.1",
          .Port = static_cast<std::uint16_t>(this->Options.BasePort + Offset)};
}

Endpoint EmbeddedFleet::callerEndpoint(std::size_t Instance) const {
  return this->port(1 + Instance * PortsPerInstance);
}

Endpoint EmbeddedFleet::operatorEndpoint(std::size_t Instance) const {
  return this->port(2 + Instance * PortsPerInstance);
}

Endpoint EmbeddedFleet::memberEndpoint(const MemberLocation &Location) const {
  std::size_t First = 1 + this->Options.Instances * PortsPerInstance;
  return this->port(First +
                    Location.Database * this->Options.MembersPerDatabase +
                    Location.Member);
}

DatabaseId EmbeddedFleet::databaseId(std::size_t Database) const {
  return DatabaseId{this->Options.DatabasePrefix + "-" +
                    std::to_string(Database + 1)};
}

UpstreamId EmbeddedFleet::memberId(const MemberLocation &Location) const {
  return UpstreamId{this->databaseId(Location.Database).Value + "-" +
                    std::string(1, static_cast<char>('a' + Location.Member))};
}

MemberServerOptions
EmbeddedFleet::memberOptions(const MemberLocation &Location) const {
  MemberServerOptions Created;
  Created.Member.Id = this->memberId(Location);
  Created.Member.Slots = this->Options.Slots;
  Created.Member.ConnectionLimit = this->Options.ConnectionLimit;
  Created.Member.ApplyLag = this->Options.ApplyLag;
  Created.Listen = this->memberEndpoint(Location);
  Created.FirstPrimary =
      this->memberId({.Database = Location.Database, .Member = 0});
  for (std::size_t Other = 0; Other < this->Options.MembersPerDatabase;
       ++Other) {
    MemberLocation OtherLocation{.Database = Location.Database,
                                 .Member = Other};
    if (Other != Location.Member)
      Created.Others.push_back(
          {.Id = this->memberId(OtherLocation),
           .Address = this->memberEndpoint(OtherLocation)});
  }
  return Created;
}

DaemonSettings EmbeddedFleet::daemonSettings(std::size_t Instance) const {
  const std::vector<std::string> &Zones = this->Options.Zones;
  DaemonSettings Settings;
  Settings.Self = InstanceId{"entry-" + std::to_string(Instance + 1)};
  Settings.Zone = ZoneId{Zones[Instance % Zones.size()]};
  Settings.CallerEndpoint = this->callerEndpoint(Instance);
  Settings.OperatorEndpoint = this->operatorEndpoint(Instance);
  Settings.PeerEndpoint = this->port(3 + Instance * PortsPerInstance);
  Settings.PlatformEndpoint = this->port(0);
  for (std::size_t Other = 0; Other < this->Options.Instances; ++Other)
    if (Other != Instance)
      Settings.Peers.push_back(
          {.Id = InstanceId{"entry-" + std::to_string(Other + 1)},
           .PeerEndpoint = this->port(3 + Other * PortsPerInstance),
           .Zone = ZoneId{Zones[Other % Zones.size()]}});
  Settings.TokenKeys.push_back(
      {.Id = "embedded", .Secret = "embedded-token-secret"});
  Settings.PeerKeys.push_back(
      {.Id = "embedded", .Secret = "embedded-peer-secret-1"});
  Settings.OperatorCredentialDigest = sha256Hex(OperatorCredential);
  return Settings;
}

Status EmbeddedFleet::start() {
  for (std::size_t Index = 0; Index < StandInThreads; ++Index)
    this->Threads.emplace_back([this] { this->Context.run(); });
  Executor Exec = this->Context.get_executor();
  this->Platform = std::make_unique<KeyValueServer>(Exec, this->port(0));
  Status Started = this->Platform->start();
  std::size_t Count =
      this->Options.Databases * this->Options.MembersPerDatabase;
  for (std::size_t Index = 0; Index < Count && Started; ++Index) {
    MemberLocation Location{.Database =
                                Index / this->Options.MembersPerDatabase,
                            .Member = Index % this->Options.MembersPerDatabase};
    this->Members.push_back(
        std::make_unique<MemberServer>(Exec, this->memberOptions(Location)));
    Started = this->Members.back()->start();
  }
  this->Daemons.resize(this->Options.Instances);
  for (std::size_t Index = 0; Index < this->Options.Instances && Started;
       ++Index)
    Started = this->startInstance(Index);
  return Started;
}

Status EmbeddedFleet::startInstance(std::size_t Instance) {
  auto Created = std::make_unique<Daemon>(this->daemonSettings(Instance));
  Status Started = Created->start();
  if (Started)
    this->Daemons[Instance] = std::move(Created);
  return Started;
}

void EmbeddedFleet::crashInstance(std::size_t Instance) {
  this->Daemons[Instance].reset();
}

void EmbeddedFleet::beginDrain(std::size_t Instance) {
  if (this->running(Instance))
    this->Daemons[Instance]->beginDrain();
}

bool EmbeddedFleet::drained(std::size_t Instance) const {
  return !this->running(Instance) || this->Daemons[Instance]->drained();
}

bool EmbeddedFleet::running(std::size_t Instance) const {
  return this->Daemons[Instance] != nullptr;
}

MemberServer &EmbeddedFleet::member(const MemberLocation &Location) {
  return *this->Members[Location.Database * this->Options.MembersPerDatabase +
                        Location.Member];
}

void EmbeddedFleet::crashMember(const MemberLocation &Location) {
  this->member(Location).close();
}

void EmbeddedFleet::setMemberFaults(const MemberLocation &Location,
                                    const MemberFaults &Faults) {
  this->member(Location).setFaults(Faults);
}

void EmbeddedFleet::setPlatformFaults(const KeyValueFaults &Faults) {
  this->Platform->setFaults(Faults);
}

std::optional<std::size_t>
EmbeddedFleet::primaryOf(std::size_t Database) const {
  std::optional<std::size_t> Found;
  Term Newest;
  for (std::size_t Index = 0; Index < this->Options.MembersPerDatabase;
       ++Index) {
    MemberStatus Status =
        this->Members[Database * this->Options.MembersPerDatabase + Index]
            ->status();
    if (Status.Role != MemberRole::Primary || Status.AcceptedTerm < Newest)
      continue;
    Newest = Status.AcceptedTerm;
    Found = Index;
  }
  return Found;
}

Database EmbeddedFleet::databaseObject(
    std::size_t Index, const std::vector<MemberLocation> &Leaving) const {
  Database Object;
  Object.Id = this->databaseId(Index);
  Object.ConnectionLimit = this->Options.ConnectionLimit;
  Object.Slots = this->Options.Slots;
  for (std::size_t Member = 0; Member < this->Options.MembersPerDatabase;
       ++Member) {
    MemberLocation Location{.Database = Index, .Member = Member};
    bool IsLeaving = std::any_of(
        Leaving.begin(), Leaving.end(), [&](const MemberLocation &L) {
          return L.Database == Index && L.Member == Member;
        });
    std::size_t Zone = (Index + Member) % this->Options.Zones.size();
    Object.Members.push_back({.Id = this->memberId(Location),
                              .Where = this->memberEndpoint(Location),
                              .Zone = ZoneId{this->Options.Zones[Zone]},
                              .Leaving = IsLeaving});
  }
  return Object;
}

Status EmbeddedFleet::submitTicket(std::uint64_t Number,
                                   const std::vector<MemberLocation> &Leaving) {
  BrandId Owner{this->Options.BrandName};
  ServiceId Service{this->Options.ServiceName};
  DatabaseService ServiceObject{.Id = Service, .Owner = Owner, .Databases = {}};
  boost::json::array Databases;
  for (std::size_t Index = 0; Index < this->Options.Databases; ++Index) {
    ServiceObject.Databases.push_back(this->databaseId(Index));
    Databases.push_back(toJsonValue(this->databaseObject(Index, Leaving)));
  }
  ClientAccount Account{.Id = ClientAccountId{this->Options.AccountName},
                        .Owner = Owner,
                        .CredentialDigest = sha256Hex(CallerCredential),
                        .Services = {Service}};
  Brand ResellerBrand{.Id = Owner, .Host = this->Options.BrandHost};
  boost::json::object Ticket;
  Ticket["ticket"] = Number;
  Ticket["brands"] = boost::json::array{toJsonValue(ResellerBrand)};
  Ticket["client_accounts"] = boost::json::array{toJsonValue(Account)};
  Ticket["database_services"] = boost::json::array{toJsonValue(ServiceObject)};
  Ticket["databases"] = std::move(Databases);
  HttpRequest Request = operatorRequest("POST", "/v1/tickets");
  Request.Body = boost::json::serialize(Ticket);
  auto Reply = callAndWait(this->operatorEndpoint(0), std::move(Request));
  if (!Reply)
    return Reply.error();
  if (Reply.value().Status != HttpOk)
    return decodeError(Reply.value().Body);
  return std::monostate{};
}

bool EmbeddedFleet::waitForTicket(std::uint64_t Number, Duration Timeout) {
  MonotonicClock Time;
  TimePoint Deadline = Time.now() + Timeout;
  while (Time.now() < Deadline) {
    bool ActiveEverywhere = true;
    for (std::size_t Index = 0; Index < this->Daemons.size(); ++Index) {
      if (!this->Daemons[Index])
        continue;
      auto Reply = callAndWait(
          this->operatorEndpoint(Index),
          operatorRequest("GET", "/v1/tickets/" + std::to_string(Number)));
      ActiveEverywhere =
          ActiveEverywhere && Reply &&
          Reply.value().Body.find("\"in_force\":true") != std::string::npos;
    }
    if (ActiveEverywhere)
      return true;
    sleepPollInterval();
  }
  return false;
}

} // namespace turmericpitch
