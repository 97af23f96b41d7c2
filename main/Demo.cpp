#include "main/Demo.h"

#include "core/Digest.h"
#include "drivers/BlockingClient.h"
#include "drivers/Json.h"
#include "main/Daemon.h"
#include "stand_ins/KeyValueServer.h"
#include "stand_ins/MemberServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr unsigned HttpOk = 200;
constexpr std::uint16_t PlatformOffset = 0;
constexpr std::uint16_t FirstMemberOffset = 1;
constexpr std::uint16_t FirstInstanceOffset = 10;
constexpr std::uint16_t PortsPerInstance = 3;
constexpr Duration PollStep = std::chrono::milliseconds(10);
constexpr Duration StepLimit = std::chrono::seconds(20);
constexpr const char *CallerCredential = "demo-caller-credential";
constexpr const char *OperatorCredential = "demo-operator-credential";
constexpr const char *BrandHost = "db.kaveri.example";

/// What a statement answered, as the demo looks at it.
struct DemoAnswer {
  unsigned Status = 0;
  std::string FirstRow;
  std::string Token;
  std::string ServedBy;
  std::string Body;
};

/// The parts of the demo and the calls it makes.
class DemoStage {
public:
  DemoStage(std::uint16_t BasePort, std::ostream &Print)
      : BasePort(BasePort), Print(Print) {}
  ~DemoStage();

  bool play();

private:
  bool start();
  bool submitTicket(std::uint64_t Number, bool ReplicaLeaving);
  bool awaitTicket(std::uint64_t Number);
  bool playBooking();
  bool playRoamingRead();
  bool playPrimaryLoss();
  bool playTicket();

  DemoAnswer statement(std::size_t Instance, const std::string &Statement,
                       bool Write, const std::string &Token);
  bool step(bool Succeeded, const std::string &Text);
  [[nodiscard]] Endpoint endpoint(std::uint16_t Offset) const;
  [[nodiscard]] Endpoint instanceEndpoint(std::size_t Instance,
                                          std::uint16_t Which) const;
  [[nodiscard]] MemberServerOptions memberOptions(std::size_t Index) const;
  [[nodiscard]] DaemonSettings daemonSettings(std::size_t Index) const;

  std::uint16_t BasePort;
  std::ostream &Print;
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::vector<std::thread> Threads;
  std::unique_ptr<KeyValueServer> Platform;
  std::vector<std::unique_ptr<MemberServer>> Members;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::string Token;
  MonotonicClock Time;
};

constexpr std::array<const char *, 3> MemberNames{"bookings-a", "bookings-b",
                                                  "bookings-c"};
constexpr std::array<const char *, 3> Zones{"vatva", "sanand", "naroda"};

void pause() { std::this_thread::sleep_for(PollStep); }

DemoStage::~DemoStage() {
  this->Daemons.clear();
  this->Members.clear();
  this->Platform.reset();
  this->Context.stop();
  for (std::thread &Each : this->Threads)
    Each.join();
}

Endpoint DemoStage::endpoint(std::uint16_t Offset) const {
  return {.Address = "127.0.0.1",
          .Port = static_cast<std::uint16_t>(this->BasePort + Offset)};
}

Endpoint DemoStage::instanceEndpoint(std::size_t Instance,
                                     std::uint16_t Which) const {
  return this->endpoint(static_cast<std::uint16_t>(
      FirstInstanceOffset + Instance * PortsPerInstance + Which));
}

MemberServerOptions DemoStage::memberOptions(std::size_t Index) const {
  MemberServerOptions Options;
  Options.Member.Id = UpstreamId{MemberNames[Index]};
  Options.Listen =
      this->endpoint(static_cast<std::uint16_t>(FirstMemberOffset + Index));
  Options.FirstPrimary = UpstreamId{MemberNames[0]};
  for (std::size_t Other = 0; Other < MemberNames.size(); ++Other)
    if (Other != Index)
      Options.Others.push_back(
          {.Id = UpstreamId{MemberNames[Other]},
           .Where = this->endpoint(
               static_cast<std::uint16_t>(FirstMemberOffset + Other))});
  return Options;
}

DaemonSettings DemoStage::daemonSettings(std::size_t Index) const {
  DaemonSettings Settings;
  Settings.Self = InstanceId{"entry-" + std::to_string(Index + 1)};
  Settings.Zone = ZoneId{Zones[Index]};
  Settings.Callers = this->instanceEndpoint(Index, 0);
  Settings.Operators = this->instanceEndpoint(Index, 1);
  Settings.PeerListen = this->instanceEndpoint(Index, 2);
  Settings.Platform = this->endpoint(PlatformOffset);
  std::size_t Other = 1 - Index;
  Settings.Peers.push_back(
      {.Id = InstanceId{"entry-" + std::to_string(Other + 1)},
       .Where = this->instanceEndpoint(Other, 2),
       .Zone = ZoneId{Zones[Other]}});
  Settings.TokenKeys.push_back(
      {.Id = "demo", .Secret = "demo-token-secret-0001"});
  Settings.PeerKeys.push_back(
      {.Id = "demo", .Secret = "demo-peer-secret-00001"});
  Settings.OperatorCredentialDigest = sha256Hex(OperatorCredential);
  return Settings;
}

bool DemoStage::step(bool Succeeded, const std::string &Text) {
  this->Print << (Succeeded ? "ok    " : "FAILED ") << Text << std::endl;
  return Succeeded;
}

bool DemoStage::start() {
  constexpr int StandInThreads = 2;
  for (int Index = 0; Index < StandInThreads; ++Index)
    this->Threads.emplace_back([this] { this->Context.run(); });
  this->Platform = std::make_unique<KeyValueServer>(
      this->Context.get_executor(), this->endpoint(PlatformOffset));
  Status Started = this->Platform->start();
  for (std::size_t Index = 0; Index < MemberNames.size() && Started; ++Index) {
    this->Members.push_back(std::make_unique<MemberServer>(
        this->Context.get_executor(), this->memberOptions(Index)));
    Started = this->Members.back()->start();
  }
  for (std::size_t Index = 0; Index < 2 && Started; ++Index) {
    this->Daemons.push_back(
        std::make_unique<Daemon>(this->daemonSettings(Index)));
    Started = this->Daemons.back()->start();
  }
  if (!Started)
    return this->step(false, Started.error().Message +
                                 "; remedy: " + Started.error().Remedy);
  return this->step(true, "platform, 3 members and 2 instances run");
}

bool DemoStage::submitTicket(std::uint64_t Number, bool ReplicaLeaving) {
  boost::json::array Members;
  for (std::size_t Index = 0; Index < MemberNames.size(); ++Index) {
    boost::json::object Member;
    Member["upstream"] = MemberNames[Index];
    Member["address"] = toString(
        this->endpoint(static_cast<std::uint16_t>(FirstMemberOffset + Index)));
    Member["availability_zone"] = Zones[Index];
    Member["leaving"] = ReplicaLeaving && Index == 2;
    Members.push_back(std::move(Member));
  }
  boost::json::object Ticket;
  Ticket["ticket"] = Number;
  Ticket["brands"] = {{{"name", "kaveri"}, {"host", BrandHost}}};
  Ticket["client_accounts"] = {
      {{"name", "sabarmati"},
       {"brand", "kaveri"},
       {"credential_digest", sha256Hex(CallerCredential)},
       {"services", boost::json::array{"order-desk"}}}};
  Ticket["database_services"] = {
      {{"name", "order-desk"},
       {"brand", "kaveri"},
       {"databases", boost::json::array{"bookings"}}}};
  Ticket["databases"] = {{{"name", "bookings"},
                          {"connection_limit", 20},
                          {"slots", 3},
                          {"members", Members}}};
  HttpRequest Request;
  Request.Target = "/v1/tickets";
  Request.Authorization = std::string("Bearer ") + OperatorCredential;
  Request.Body = boost::json::serialize(Ticket);
  auto Reply = callAndWait(this->instanceEndpoint(0, 1), std::move(Request));
  return Reply && Reply.value().Status == HttpOk;
}

bool DemoStage::awaitTicket(std::uint64_t Number) {
  TimePoint GiveUpAt = this->Time.now() + StepLimit;
  while (this->Time.now() < GiveUpAt) {
    std::size_t InForce = 0;
    for (std::size_t Index = 0; Index < this->Daemons.size(); ++Index) {
      HttpRequest Request;
      Request.Method = "GET";
      Request.Target = "/v1/tickets/" + std::to_string(Number);
      Request.Authorization = std::string("Bearer ") + OperatorCredential;
      auto Reply =
          callAndWait(this->instanceEndpoint(Index, 1), std::move(Request));
      bool Yes = Reply && Reply.value().Body.find("\"in_force\":true") !=
                              std::string::npos;
      InForce += Yes ? 1 : 0;
    }
    if (InForce == this->Daemons.size())
      return true;
    pause();
  }
  return false;
}

DemoAnswer DemoStage::statement(std::size_t Instance,
                                const std::string &Statement, bool Write,
                                const std::string &SessionToken) {
  boost::json::object Json;
  Json["statement"] = Statement;
  Json["write"] = Write;
  Json["session_token"] = SessionToken;
  HttpRequest Request;
  Request.Target = "/v1/services/order-desk/databases/bookings/statements";
  Request.Host = BrandHost;
  Request.Authorization = std::string("Bearer ") + CallerCredential;
  Request.Body = boost::json::serialize(Json);
  auto Reply =
      callAndWait(this->instanceEndpoint(Instance, 0), std::move(Request));
  DemoAnswer Answer;
  if (!Reply)
    return Answer;
  Answer.Status = Reply.value().Status;
  Answer.Body = Reply.value().Body;
  auto Parsed = keepOutcome([&] { return parseJsonObject(Answer.Body); });
  if (!Parsed)
    return Answer;
  JsonReader Reader(Parsed.value());
  Answer.Token = Reader.text("session_token", "");
  Answer.ServedBy = Reader.text("served_by", "");
  auto Rows = Reader.texts("rows");
  Answer.FirstRow = Rows.empty() ? "" : Rows.front();
  return Answer;
}

bool DemoStage::playBooking() {
  TimePoint Before = this->Time.now();
  DemoAnswer Booked = this->statement(0, "put job-17 six end mills", true, "");
  Duration Took = this->Time.now() - Before;
  this->Token = Booked.Token;
  return this->step(Booked.Status == HttpOk,
                    "booking written at entry-1 in " +
                        std::to_string(Took.count()) + " us " +
                        (Booked.Status == HttpOk ? "" : Booked.Body));
}

bool DemoStage::playRoamingRead() {
  DemoAnswer Read = this->statement(1, "get job-17", false, this->Token);
  return this->step(Read.FirstRow == "six end mills",
                    "the session reads its booking at entry-2, served by a " +
                        Read.ServedBy);
}

bool DemoStage::playPrimaryLoss() {
  this->Members[0]->close();
  TimePoint Lost = this->Time.now();
  DemoAnswer Written;
  while (Written.Status != HttpOk && this->Time.now() < Lost + StepLimit) {
    Written = this->statement(0, "put job-18 one hob", true, this->Token);
    if (Written.Status != HttpOk)
      pause();
  }
  auto Gap = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Time.now() - Lost);
  bool Promoted =
      this->step(Written.Status == HttpOk,
                 "primary lost; next booking accepted after " +
                     std::to_string(Gap.count()) + " ms " +
                     (Written.Status == HttpOk ? "" : Written.Body));
  DemoAnswer Read = this->statement(1, "get job-17", false, Written.Token);
  return this->step(Read.FirstRow == "six end mills",
                    "the earlier booking is still there") &&
         Promoted;
}

bool DemoStage::playTicket() {
  TimePoint Before = this->Time.now();
  bool Accepted = this->submitTicket(2, true);
  bool InForce = Accepted && this->awaitTicket(2);
  auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Time.now() - Before);
  return this->step(InForce, "ticket 2 in force at both instances after " +
                                 std::to_string(Took.count()) + " ms");
}

bool DemoStage::play() {
  if (!this->start())
    return false;
  bool Configured = this->submitTicket(1, false) && this->awaitTicket(1);
  if (!this->step(Configured, "ticket 1 in force at both instances"))
    return false;
  bool Booked = this->playBooking();
  bool Read = this->playRoamingRead();
  bool Survived = this->playPrimaryLoss();
  bool Changed = this->playTicket();
  return Booked && Read && Survived && Changed;
}

} // namespace

bool runDemo(std::uint16_t BasePort, std::ostream &Print) {
  DemoStage Stage(BasePort, Print);
  return Stage.play();
}

} // namespace turmericpitch
