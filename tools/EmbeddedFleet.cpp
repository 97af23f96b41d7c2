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
constexpr Duration PollStep = std::chrono::milliseconds(10);

void pause() { std::this_thread::sleep_for(PollStep); }

/// A canonical object as JSON again, to be put into a ticket.
template <typename Object> boost::json::value jsonOf(const Object &From) {
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
  for (std::thread &Each : this->Threads)
    Each.join();
}

Endpoint EmbeddedFleet::port(std::size_t Offset) const {
  return {.Address = "127.0.0.1",
          .Port = static_cast<std::uint16_t>(this->Options.BasePort + Offset)};
}

Endpoint EmbeddedFleet::callersOf(std::size_t Instance) const {
  return this->port(1 + Instance * PortsPerInstance);
}

Endpoint EmbeddedFleet::operatorsOf(std::size_t Instance) const {
  return this->port(2 + Instance * PortsPerInstance);
}

Endpoint EmbeddedFleet::memberEndpoint(const MemberPlace &Place) const {
  std::size_t First = 1 + this->Options.Instances * PortsPerInstance;
  return this->port(First + Place.Database * this->Options.MembersEach +
                    Place.Member);
}

DatabaseId EmbeddedFleet::databaseId(std::size_t Database) const {
  return DatabaseId{this->Options.DatabasePrefix + "-" +
                    std::to_string(Database + 1)};
}

UpstreamId EmbeddedFleet::memberId(const MemberPlace &Place) const {
  return UpstreamId{this->databaseId(Place.Database).Value + "-" +
                    std::string(1, static_cast<char>('a' + Place.Member))};
}

MemberServerOptions
EmbeddedFleet::memberOptions(const MemberPlace &Place) const {
  MemberServerOptions Made;
  Made.Member.Id = this->memberId(Place);
  Made.Member.Slots = this->Options.Slots;
  Made.Member.ConnectionLimit = this->Options.ConnectionLimit;
  Made.Member.ApplyLag = this->Options.ApplyLag;
  Made.Listen = this->memberEndpoint(Place);
  Made.FirstPrimary = this->memberId({.Database = Place.Database, .Member = 0});
  for (std::size_t Other = 0; Other < this->Options.MembersEach; ++Other) {
    MemberPlace There{.Database = Place.Database, .Member = Other};
    if (Other != Place.Member)
      Made.Others.push_back({.Id = this->memberId(There),
                             .Address = this->memberEndpoint(There)});
  }
  return Made;
}

DaemonSettings EmbeddedFleet::daemonSettings(std::size_t Instance) const {
  const std::vector<std::string> &Zones = this->Options.Zones;
  DaemonSettings Settings;
  Settings.Self = InstanceId{"entry-" + std::to_string(Instance + 1)};
  Settings.Zone = ZoneId{Zones[Instance % Zones.size()]};
  Settings.CallerEndpoint = this->callersOf(Instance);
  Settings.OperatorEndpoint = this->operatorsOf(Instance);
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
  Executor On = this->Context.get_executor();
  this->Platform = std::make_unique<KeyValueServer>(On, this->port(0));
  Status Started = this->Platform->start();
  std::size_t Count = this->Options.Databases * this->Options.MembersEach;
  for (std::size_t Index = 0; Index < Count && Started; ++Index) {
    MemberPlace Place{.Database = Index / this->Options.MembersEach,
                      .Member = Index % this->Options.MembersEach};
    this->Members.push_back(
        std::make_unique<MemberServer>(On, this->memberOptions(Place)));
    Started = this->Members.back()->start();
  }
  this->Daemons.resize(this->Options.Instances);
  for (std::size_t Index = 0; Index < this->Options.Instances && Started;
       ++Index)
    Started = this->startInstance(Index);
  return Started;
}

Status EmbeddedFleet::startInstance(std::size_t Instance) {
  auto Made = std::make_unique<Daemon>(this->daemonSettings(Instance));
  Status Started = Made->start();
  if (Started)
    this->Daemons[Instance] = std::move(Made);
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

MemberServer &EmbeddedFleet::member(const MemberPlace &Place) {
  return *this->Members[Place.Database * this->Options.MembersEach +
                        Place.Member];
}

void EmbeddedFleet::crashMember(const MemberPlace &Place) {
  this->member(Place).close();
}

void EmbeddedFleet::setMemberFaults(const MemberPlace &Place,
                                    const MemberFaults &Faults) {
  this->member(Place).setFaults(Faults);
}

void EmbeddedFleet::setPlatformFaults(const KeyValueFaults &Faults) {
  this->Platform->setFaults(Faults);
}

std::optional<std::size_t>
EmbeddedFleet::primaryOf(std::size_t Database) const {
  std::optional<std::size_t> Found;
  Term Newest;
  for (std::size_t Index = 0; Index < this->Options.MembersEach; ++Index) {
    MemberStatus Status =
        this->Members[Database * this->Options.MembersEach + Index]->status();
    if (Status.Role != MemberRole::Primary || Status.AcceptedTerm < Newest)
      continue;
    Newest = Status.AcceptedTerm;
    Found = Index;
  }
  return Found;
}

Database
EmbeddedFleet::databaseObject(std::size_t Index,
                              const std::vector<MemberPlace> &Leaving) const {
  Database Object;
  Object.Id = this->databaseId(Index);
  Object.ConnectionLimit = this->Options.ConnectionLimit;
  Object.Slots = this->Options.Slots;
  for (std::size_t Member = 0; Member < this->Options.MembersEach; ++Member) {
    MemberPlace Place{.Database = Index, .Member = Member};
    bool IsLeaving =
        std::any_of(Leaving.begin(), Leaving.end(), [&](const MemberPlace &L) {
          return L.Database == Index && L.Member == Member;
        });
    std::size_t Zone = (Index + Member) % this->Options.Zones.size();
    Object.Members.push_back({.Id = this->memberId(Place),
                              .Where = this->memberEndpoint(Place),
                              .Zone = ZoneId{this->Options.Zones[Zone]},
                              .Leaving = IsLeaving});
  }
  return Object;
}

Status EmbeddedFleet::submitTicket(std::uint64_t Number,
                                   const std::vector<MemberPlace> &Leaving) {
  BrandId Owner{this->Options.BrandName};
  ServiceId Service{this->Options.ServiceName};
  DatabaseService Reached{.Id = Service, .Owner = Owner, .Databases = {}};
  boost::json::array Databases;
  for (std::size_t Index = 0; Index < this->Options.Databases; ++Index) {
    Reached.Databases.push_back(this->databaseId(Index));
    Databases.push_back(jsonOf(this->databaseObject(Index, Leaving)));
  }
  ClientAccount Account{.Id = ClientAccountId{this->Options.AccountName},
                        .Owner = Owner,
                        .CredentialDigest = sha256Hex(CallerCredential),
                        .Services = {Service}};
  Brand Resold{.Id = Owner, .Host = this->Options.BrandHost};
  boost::json::object Ticket;
  Ticket["ticket"] = Number;
  Ticket["brands"] = boost::json::array{jsonOf(Resold)};
  Ticket["client_accounts"] = boost::json::array{jsonOf(Account)};
  Ticket["database_services"] = boost::json::array{jsonOf(Reached)};
  Ticket["databases"] = std::move(Databases);
  HttpRequest Request = operatorRequest("POST", "/v1/tickets");
  Request.Body = boost::json::serialize(Ticket);
  auto Reply = callAndWait(this->operatorsOf(0), std::move(Request));
  if (!Reply)
    return Reply.error();
  if (Reply.value().Status != HttpOk)
    return decodeError(Reply.value().Body);
  return std::monostate{};
}

bool EmbeddedFleet::awaitTicket(std::uint64_t Number, Duration Limit) {
  MonotonicClock Time;
  TimePoint GiveUpAt = Time.now() + Limit;
  while (Time.now() < GiveUpAt) {
    bool Everywhere = true;
    for (std::size_t Index = 0; Index < this->Daemons.size(); ++Index) {
      if (!this->Daemons[Index])
        continue;
      auto Reply = callAndWait(
          this->operatorsOf(Index),
          operatorRequest("GET", "/v1/tickets/" + std::to_string(Number)));
      Everywhere =
          Everywhere && Reply &&
          Reply.value().Body.find("\"in_force\":true") != std::string::npos;
    }
    if (Everywhere)
      return true;
    pause();
  }
  return false;
}

} // namespace turmericpitch
