#include "tools/LoadRun.h"

#include "drivers/ChangeSignal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <cmath>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration TicketLimit = std::chrono::seconds(20);
constexpr Duration CatalogueWriteEvery = std::chrono::milliseconds(100);
constexpr Duration ProgressEvery = std::chrono::seconds(1);
constexpr Duration BalancerDelay = std::chrono::seconds(1);
constexpr Duration FleetPoll = std::chrono::milliseconds(10);
constexpr Duration ScanRetry = std::chrono::milliseconds(200);
constexpr int ScanAttempts = 50;
constexpr std::size_t CatalogueDatabase = 0;
constexpr const char *CatalogueKey = "catalogue";

std::uint64_t numberIn(const std::vector<std::string> &Rows) {
  std::uint64_t Value = 0;
  if (!Rows.empty())
    std::from_chars(Rows.front().data(),
                    Rows.front().data() + Rows.front().size(), Value);
  return Value;
}

} // namespace

/// A caller's session: its token roams with it between instances.
struct LoadRun::Session {
  Session(std::size_t Id, std::size_t Database, Executor On,
          const EmbeddedFleet &Fleet)
      : Counter("session-" + std::to_string(Id)), Database(Database),
        Client(std::move(On), Fleet) {}

  std::string Counter;
  std::size_t Database;
  LoadClient Client;
  std::string Token;
};

LoadRun::LoadRun(LoadPlan Plan, std::ostream &Progress)
    : Plan(std::move(Plan)), Progress(Progress), Fleet(this->Plan.Fleet),
      On(Context.get_executor()), Random(this->Plan.Seed),
      InstanceUp(this->Plan.Fleet.Instances, true) {}

LoadRun::~LoadRun() = default;

Duration LoadRun::sinceStart() const {
  return this->Time.now() - this->StartedAt;
}

bool LoadRun::ended() const { return this->sinceStart() >= this->Plan.Length; }

std::size_t LoadRun::someInstance() {
  // The balancer sends nothing to an instance that is down.
  std::vector<std::size_t> Up;
  for (std::size_t Index = 0; Index < this->InstanceUp.size(); ++Index)
    if (this->InstanceUp[Index])
      Up.push_back(Index);
  if (Up.empty())
    return 0;
  return Up[this->Random.nextBelow(static_cast<std::uint32_t>(Up.size()))];
}

std::shared_ptr<LoadRun::Session> LoadRun::takeSession() {
  if (this->Idle.empty())
    return nullptr;
  std::size_t Index =
      this->Random.nextBelow(static_cast<std::uint32_t>(this->Idle.size()));
  std::swap(this->Idle[Index], this->Idle.back());
  auto Taken = std::move(this->Idle.back());
  this->Idle.pop_back();
  ++this->Busy;
  return Taken;
}

void LoadRun::giveBack(const std::shared_ptr<Session> &Returned) {
  --this->Busy;
  this->Idle.push_back(Returned);
}

Awaitable<void> LoadRun::dispatchArrivals() {
  Duration NextAt{0};
  Duration NextProgress = ProgressEvery;
  while (!this->ended()) {
    double Gap = -std::log(1.0 - this->Random.fraction()) /
                 static_cast<double>(this->Plan.Rate);
    NextAt += Duration(static_cast<Duration::rep>(Gap * 1e6));
    if (NextAt > this->sinceStart())
      co_await sleepFor(NextAt - this->sinceStart());
    if (auto By = this->takeSession()) {
      auto Work = [this, By]() -> Awaitable<void> {
        co_await this->runOperation(By);
        this->giveBack(By);
      };
      asio::co_spawn(this->On, Work, asio::detached);
    } else {
      ++this->Missed;
    }
    if (this->sinceStart() < NextProgress)
      continue;
    NextProgress += ProgressEvery;
    this->Progress << this->sinceStart().count() / 1'000'000
                   << " s: " << this->Recorder.answered() << " answered, "
                   << this->Busy << " under way, " << this->Missed
                   << " arrivals found no idle session\n";
  }
}

Awaitable<void> LoadRun::runOperation(std::shared_ptr<Session> By) {
  const LoadMix &Mix = this->Plan.Mix;
  std::uint32_t All =
      Mix.Bookings + Mix.Dispatches + Mix.SessionReads + Mix.CatalogueReads;
  std::uint32_t Drawn = this->Random.nextBelow(All);
  if (Drawn < Mix.Bookings)
    co_await this->book(By);
  else if (Drawn < Mix.Bookings + Mix.Dispatches)
    co_await this->confirmDispatch(By);
  else if (Drawn < Mix.Bookings + Mix.Dispatches + Mix.SessionReads)
    co_await this->readOwn(By);
  else
    co_await this->readCatalogue(By);
}

Awaitable<Outcome<LoadAnswer>> LoadRun::send(std::shared_ptr<Session> By,
                                             LoadOperation Operation,
                                             LoadStatement Statement) {
  Statement.Instance = this->someInstance();
  Statement.Token = By->Token;
  Statement.Deadline = this->Plan.Deadline;
  LoadSample Sample;
  Sample.Operation = Operation;
  Sample.Database = Statement.Database;
  Sample.Begun = this->sinceStart();
  auto Answer = co_await By->Client.send(std::move(Statement));
  Sample.Took = this->sinceStart() - Sample.Begun;
  if (Answer) {
    Sample.ServedByReplica = Answer.value().ServedByReplica;
    By->Token = Answer.value().Token;
  } else {
    Sample.Failure = Answer.error().Kind;
  }
  this->Recorder.add(Sample);
  if (!Answer && Answer.error().Kind == ErrorKind::StaleToken) {
    By->Token.clear();
    this->Checker.onSessionRestarted(By->Counter);
  }
  co_return Answer;
}

Awaitable<void> LoadRun::book(std::shared_ptr<Session> By) {
  std::string Key = "booking-" + std::to_string(this->NextKey++);
  LoadStatement Statement;
  Statement.Database = By->Database;
  Statement.Text = "add " + Key + " 1";
  Statement.Write = true;
  Statement.IdempotencyKey = Key;
  auto Answer =
      co_await this->send(By, LoadOperation::Booking, std::move(Statement));
  this->Checker.onWrite(Key, Answer ? WriteOutcome::Acknowledged
                                    : writeOutcomeOf(Answer.error()));
}

Awaitable<void> LoadRun::confirmDispatch(std::shared_ptr<Session> By) {
  LoadStatement Statement;
  Statement.Database = By->Database;
  Statement.Text = "add " + By->Counter + " 1";
  Statement.Write = true;
  this->Checker.onSessionWriteBegun(By->Counter);
  auto Answer =
      co_await this->send(By, LoadOperation::Dispatch, std::move(Statement));
  this->Checker.onSessionWriteEnded(By->Counter,
                                    Answer ? WriteOutcome::Acknowledged
                                           : writeOutcomeOf(Answer.error()));
}

Awaitable<void> LoadRun::readOwn(std::shared_ptr<Session> By) {
  LoadStatement Statement;
  Statement.Database = By->Database;
  Statement.Text = "get " + By->Counter;
  auto Answer =
      co_await this->send(By, LoadOperation::SessionRead, std::move(Statement));
  if (Answer)
    this->Checker.onSessionRead(By->Counter, numberIn(Answer.value().Rows));
}

Awaitable<void> LoadRun::readCatalogue(std::shared_ptr<Session> By) {
  LoadStatement Statement;
  Statement.Database = CatalogueDatabase;
  Statement.Text = std::string("scan ") + CatalogueKey;
  Statement.MaximumAge = this->Plan.CatalogueAge;
  TimePoint Begun = this->Time.now();
  auto Answer = co_await this->send(By, LoadOperation::CatalogueRead,
                                    std::move(Statement));
  if (!Answer)
    co_return;
  std::string Wanted = std::string(CatalogueKey) + "=";
  for (const std::string &Row : Answer.value().Rows)
    if (!Row.starts_with(Wanted))
      this->Checker.onForeignRow(CatalogueKey, Row);
  std::vector<std::string> Value;
  if (!Answer.value().Rows.empty())
    Value.push_back(Answer.value().Rows.front().substr(Wanted.size()));
  this->Checker.onCatalogueRead(numberIn(Value), Begun,
                                this->Plan.CatalogueAge);
}

Awaitable<void> LoadRun::writeCatalogue() {
  LoadClient Client(this->On, this->Fleet);
  std::uint64_t Value = 0;
  while (!this->ended()) {
    LoadStatement Statement;
    Statement.Instance = this->someInstance();
    Statement.Database = CatalogueDatabase;
    Statement.Text =
        std::string("put ") + CatalogueKey + " " + std::to_string(++Value);
    Statement.Write = true;
    Statement.Deadline = this->Plan.Deadline;
    auto Answer = co_await Client.send(std::move(Statement));
    if (Answer)
      this->Checker.onCatalogueWritten(Value, this->Time.now());
    co_await sleepFor(CatalogueWriteEvery);
  }
}

Awaitable<void> LoadRun::runFaults() {
  for (const LoadFault &Fault : this->Plan.Faults) {
    if (Fault.At > this->sinceStart())
      co_await sleepFor(Fault.At - this->sinceStart());
    if (this->ended())
      co_return;
    this->Progress << "fault: " << toString(Fault.Kind) << "\n";
    this->carryOut(Fault);
  }
}

void LoadRun::carryOut(const LoadFault &Fault) {
  MemberPlace Primary{.Database = Fault.Database,
                      .Member =
                          this->Fleet.primaryOf(Fault.Database).value_or(0)};
  MemberFaults Faults;
  switch (Fault.Kind) {
  case LoadFaultKind::CrashPrimary:
    this->Fleet.crashMember(Primary);
    break;
  case LoadFaultKind::PausePrimary:
    Faults.Paused = true;
    this->Fleet.setMemberFaults(Primary, Faults);
    break;
  case LoadFaultKind::LagReplicas:
    Faults.ApplyLag = Fault.Lag;
    [[fallthrough]];
  case LoadFaultKind::ResumeMembers:
    for (std::size_t Index = 0; Index < this->Plan.Fleet.MembersEach; ++Index)
      this->Fleet.setMemberFaults({.Database = Fault.Database, .Member = Index},
                                  Faults);
    break;
  case LoadFaultKind::CrashInstance:
    this->InstanceUp[Fault.Instance] = false;
    this->Fleet.crashInstance(Fault.Instance);
    break;
  case LoadFaultKind::DrainInstance:
    asio::co_spawn(this->On, this->drain(Fault.Instance), asio::detached);
    break;
  case LoadFaultKind::StartInstance:
    asio::co_spawn(this->On, this->startAgain(Fault.Instance), asio::detached);
    break;
  case LoadFaultKind::PlatformOutage:
    this->Fleet.setPlatformFaults({.Outage = true});
    break;
  case LoadFaultKind::PlatformBack:
    this->Fleet.setPlatformFaults({});
    break;
  }
}

Awaitable<void> LoadRun::drain(std::size_t Instance) {
  this->Fleet.beginDrain(Instance);
  // The balancer notices a while after the readiness check has turned.
  co_await sleepFor(BalancerDelay);
  this->InstanceUp[Instance] = false;
  while (!this->Fleet.drained(Instance))
    co_await sleepFor(FleetPoll);
  this->Fleet.crashInstance(Instance);
}

Awaitable<void> LoadRun::startAgain(std::size_t Instance) {
  while (this->Fleet.running(Instance))
    co_await sleepFor(FleetPoll);
  this->InstanceUp[Instance] = this->Fleet.startInstance(Instance).hasValue();
}

Awaitable<void> LoadRun::scanAll(std::shared_ptr<bool> Complete) {
  LoadClient Client(this->On, this->Fleet);
  *Complete = true;
  for (std::size_t Index = 0; Index < this->Plan.Fleet.Databases; ++Index) {
    LoadStatement Statement;
    Statement.Database = Index;
    // A write's read: only the primary has everything for certain.
    Statement.Text = "scan booking-";
    Statement.Write = true;
    bool Found = false;
    for (int Attempt = 0; Attempt < ScanAttempts && !Found; ++Attempt) {
      Statement.Instance = this->someInstance();
      LoadStatement Copy = Statement;
      auto Answer = co_await Client.send(std::move(Copy));
      Found = Answer.hasValue();
      if (!Found) {
        co_await sleepFor(ScanRetry);
        continue;
      }
      for (const std::string &Row : Answer.value().Rows) {
        std::size_t Equals = Row.find('=');
        this->Stored.push_back(
            {.Key = Row.substr(0, Equals), .Value = Row.substr(Equals + 1)});
      }
    }
    *Complete = *Complete && Found;
  }
}

Outcome<LoadResult> LoadRun::run() {
  Status Started = this->Fleet.start();
  if (Started)
    Started = this->Fleet.submitTicket(1);
  if (!Started)
    return Started.error();
  if (!this->Fleet.awaitTicket(1, TicketLimit))
    return Error{.Kind = ErrorKind::Unavailable,
                 .Message = "the first ticket did not come into force",
                 .Remedy = "look into the decision log"};
  for (std::size_t Index = 0; Index < this->Plan.Sessions; ++Index)
    this->Idle.push_back(std::make_shared<Session>(
        Index, Index % this->Plan.Fleet.Databases, this->On, this->Fleet));
  this->StartedAt = this->Time.now();
  auto Spawn = [this](auto Work) {
    asio::co_spawn(this->On, Work, asio::detached);
  };
  Spawn([this]() -> Awaitable<void> { co_await this->dispatchArrivals(); });
  Spawn([this]() -> Awaitable<void> { co_await this->writeCatalogue(); });
  Spawn([this]() -> Awaitable<void> { co_await this->runFaults(); });
  this->Context.run();
  this->Fleet.setPlatformFaults({});
  auto Complete = std::make_shared<bool>(false);
  Spawn([this, Complete]() -> Awaitable<void> {
    co_await this->scanAll(Complete);
  });
  this->Context.restart();
  this->Context.run();
  if (*Complete)
    this->Checker.checkStored(this->Stored);
  LoadResult Result;
  Result.Broken = this->Checker.broken();
  Result.Acknowledged = this->Checker.acknowledged();
  Result.Scanned = *Complete;
  return Result;
}

} // namespace turmericpitch
