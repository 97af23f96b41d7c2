#include "tools/LoadRun.h"

#include "drivers/ChangeSignal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <cmath>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration TicketTimeout = std::chrono::seconds(20);
constexpr Duration CatalogueWriteInterval = std::chrono::milliseconds(100);
constexpr Duration ProgressInterval = std::chrono::seconds(1);
constexpr Duration LoadBalancerDelay = std::chrono::seconds(1);
constexpr Duration FleetPollInterval = std::chrono::milliseconds(10);
constexpr Duration ScanRetryDelay = std::chrono::milliseconds(200);
constexpr int ScanAttempts = 50;
constexpr std::size_t CatalogueDatabase = 0;
constexpr const char *CatalogueKey = "catalogue";

std::uint64_t firstNumber(const std::vector<std::string> &Rows) {
  std::uint64_t Value = 0;
  if (!Rows.empty())
    std::from_chars(Rows.front().data(),
                    Rows.front().data() + Rows.front().size(), Value);
  return Value;
}

} // namespace

/// A client session. Its token is sent to whichever instance serves the next
/// request.
struct LoadRun::Session {
  Session(std::size_t Id, std::size_t Database, Executor Exec,
          const EmbeddedFleet &Fleet)
      : Counter("session-" + std::to_string(Id)), Database(Database),
        Client(std::move(Exec), Fleet) {}

  std::string Counter;
  std::size_t Database;
  LoadClient Client;
  std::string Token;
};

LoadRun::LoadRun(LoadPlan Plan, std::ostream &Progress)
    : Plan(std::move(Plan)), Progress(Progress), Fleet(this->Plan.Fleet),
      Exec(Context.get_executor()), Random(this->Plan.Seed),
      InstanceUp(this->Plan.Fleet.Instances, true) {}

LoadRun::~LoadRun() = default;

Duration LoadRun::sinceStart() const {
  return this->Time.now() - this->StartedAt;
}

bool LoadRun::loadEnded() const {
  return this->sinceStart() >= this->Plan.Length;
}

std::size_t LoadRun::pickInstance() {
  // The load balancer sends no requests to an instance that is down.
  std::vector<std::size_t> Available;
  for (std::size_t Index = 0; Index < this->InstanceUp.size(); ++Index)
    if (this->InstanceUp[Index])
      Available.push_back(Index);
  if (Available.empty())
    return 0;
  return Available[this->Random.nextBelow(
      static_cast<std::uint32_t>(Available.size()))];
}

std::shared_ptr<LoadRun::Session> LoadRun::acquireSession() {
  if (this->IdleSessions.empty())
    return nullptr;
  std::size_t Index = this->Random.nextBelow(
      static_cast<std::uint32_t>(this->IdleSessions.size()));
  std::swap(this->IdleSessions[Index], this->IdleSessions.back());
  auto Taken = std::move(this->IdleSessions.back());
  this->IdleSessions.pop_back();
  ++this->BusySessions;
  return Taken;
}

void LoadRun::releaseSession(const std::shared_ptr<Session> &Returned) {
  --this->BusySessions;
  this->IdleSessions.push_back(Returned);
}

Awaitable<void> LoadRun::dispatchArrivals() {
  Duration NextAt{0};
  Duration NextProgress = ProgressInterval;
  while (!this->loadEnded()) {
    double Gap = -std::log(1.0 - this->Random.fraction()) /
                 static_cast<double>(this->Plan.ArrivalRate);
    NextAt += Duration(static_cast<Duration::rep>(Gap * 1e6));
    if (NextAt > this->sinceStart())
      co_await sleepFor(NextAt - this->sinceStart());
    if (auto Caller = this->acquireSession()) {
      auto Task = [this, Caller]() -> Awaitable<void> {
        co_await this->runOperation(Caller);
        this->releaseSession(Caller);
      };
      asio::co_spawn(this->Exec, Task, asio::detached);
    } else {
      ++this->SkippedArrivals;
    }
    if (this->sinceStart() < NextProgress)
      continue;
    NextProgress += ProgressInterval;
    this->Progress << this->sinceStart().count() / 1'000'000
                   << " s: " << this->Recorder.answered() << " answered, "
                   << this->BusySessions << " in flight, "
                   << this->SkippedArrivals
                   << " arrivals skipped for lack of an idle session\n";
  }
}

Awaitable<void> LoadRun::runOperation(std::shared_ptr<Session> Caller) {
  const LoadMix &Mix = this->Plan.Mix;
  std::uint32_t TotalWeight =
      Mix.Bookings + Mix.Dispatches + Mix.SessionReads + Mix.CatalogueReads;
  std::uint32_t Draw = this->Random.nextBelow(TotalWeight);
  if (Draw < Mix.Bookings)
    co_await this->writeBooking(Caller);
  else if (Draw < Mix.Bookings + Mix.Dispatches)
    co_await this->writeDispatch(Caller);
  else if (Draw < Mix.Bookings + Mix.Dispatches + Mix.SessionReads)
    co_await this->readSessionCounter(Caller);
  else
    co_await this->readCatalogue(Caller);
}

Awaitable<Outcome<LoadAnswer>> LoadRun::send(std::shared_ptr<Session> Caller,
                                             LoadOperation Operation,
                                             LoadStatement Statement) {
  Statement.Instance = this->pickInstance();
  Statement.Token = Caller->Token;
  Statement.Deadline = this->Plan.Deadline;
  LoadSample Sample;
  Sample.Operation = Operation;
  Sample.Database = Statement.Database;
  Sample.SentAt = this->sinceStart();
  auto Answer = co_await Caller->Client.send(std::move(Statement));
  Sample.Latency = this->sinceStart() - Sample.SentAt;
  if (Answer) {
    Sample.ServedByReplica = Answer.value().ServedByReplica;
    Caller->Token = Answer.value().Token;
  } else {
    Sample.Failure = Answer.error().Kind;
  }
  this->Recorder.add(Sample);
  if (!Answer && Answer.error().Kind == ErrorKind::StaleToken) {
    Caller->Token.clear();
    this->Checker.onSessionRestarted(Caller->Counter);
  }
  co_return Answer;
}

Awaitable<void> LoadRun::writeBooking(std::shared_ptr<Session> Caller) {
  std::string Key = "booking-" + std::to_string(this->NextKey++);
  LoadStatement Statement;
  Statement.Database = Caller->Database;
  Statement.Text = "add " + Key + " 1";
  Statement.Write = true;
  Statement.IdempotencyKey = Key;
  auto Answer =
      co_await this->send(Caller, LoadOperation::Booking, std::move(Statement));
  this->Checker.onWrite(Key, Answer ? WriteOutcome::Acknowledged
                                    : toWriteOutcome(Answer.error()));
}

Awaitable<void> LoadRun::writeDispatch(std::shared_ptr<Session> Caller) {
  LoadStatement Statement;
  Statement.Database = Caller->Database;
  Statement.Text = "add " + Caller->Counter + " 1";
  Statement.Write = true;
  this->Checker.onSessionWriteBegun(Caller->Counter);
  auto Answer = co_await this->send(Caller, LoadOperation::Dispatch,
                                    std::move(Statement));
  this->Checker.onSessionWriteEnded(Caller->Counter,
                                    Answer ? WriteOutcome::Acknowledged
                                           : toWriteOutcome(Answer.error()));
}

Awaitable<void> LoadRun::readSessionCounter(std::shared_ptr<Session> Caller) {
  LoadStatement Statement;
  Statement.Database = Caller->Database;
  Statement.Text = "get " + Caller->Counter;
  auto Answer = co_await this->send(Caller, LoadOperation::SessionRead,
                                    std::move(Statement));
  if (Answer)
    this->Checker.onSessionRead(Caller->Counter,
                                firstNumber(Answer.value().Rows));
}

Awaitable<void> LoadRun::readCatalogue(std::shared_ptr<Session> Caller) {
  LoadStatement Statement;
  Statement.Database = CatalogueDatabase;
  Statement.Text = std::string("scan ") + CatalogueKey;
  Statement.MaxAge = this->Plan.MaxCatalogueAge;
  TimePoint SentAt = this->Time.now();
  auto Answer = co_await this->send(Caller, LoadOperation::CatalogueRead,
                                    std::move(Statement));
  if (!Answer)
    co_return;
  std::string ExpectedPrefix = std::string(CatalogueKey) + "=";
  for (const std::string &Row : Answer.value().Rows)
    if (!Row.starts_with(ExpectedPrefix))
      this->Checker.onUnexpectedRow(CatalogueKey, Row);
  std::vector<std::string> Value;
  if (!Answer.value().Rows.empty())
    Value.push_back(Answer.value().Rows.front().substr(ExpectedPrefix.size()));
  this->Checker.onCatalogueRead(firstNumber(Value), SentAt,
                                this->Plan.MaxCatalogueAge);
}

Awaitable<void> LoadRun::writeCatalogue() {
  LoadClient Client(this->Exec, this->Fleet);
  std::uint64_t Value = 0;
  while (!this->loadEnded()) {
    LoadStatement Statement;
    Statement.Instance = this->pickInstance();
    Statement.Database = CatalogueDatabase;
    Statement.Text =
        std::string("put ") + CatalogueKey + " " + std::to_string(++Value);
    Statement.Write = true;
    Statement.Deadline = this->Plan.Deadline;
    auto Answer = co_await Client.send(std::move(Statement));
    if (Answer)
      this->Checker.onCatalogueWritten(Value, this->Time.now());
    co_await sleepFor(CatalogueWriteInterval);
  }
}

Awaitable<void> LoadRun::runFaults() {
  for (const LoadFault &Fault : this->Plan.Faults) {
    if (Fault.StartsAt > this->sinceStart())
      co_await sleepFor(Fault.StartsAt - this->sinceStart());
    if (this->loadEnded())
      co_return;
    this->Progress << "fault: " << toString(Fault.Kind) << "\n";
    this->injectFault(Fault);
  }
}

void LoadRun::injectFault(const LoadFault &Fault) {
  MemberLocation Primary{.Database = Fault.Database,
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
    for (std::size_t Index = 0; Index < this->Plan.Fleet.MembersPerDatabase;
         ++Index)
      this->Fleet.setMemberFaults({.Database = Fault.Database, .Member = Index},
                                  Faults);
    break;
  case LoadFaultKind::CrashInstance:
    this->InstanceUp[Fault.Instance] = false;
    this->Fleet.crashInstance(Fault.Instance);
    break;
  case LoadFaultKind::DrainInstance:
    asio::co_spawn(this->Exec, this->drainInstance(Fault.Instance),
                   asio::detached);
    break;
  case LoadFaultKind::StartInstance:
    asio::co_spawn(this->Exec, this->restartInstance(Fault.Instance),
                   asio::detached);
    break;
  case LoadFaultKind::PlatformOutage:
    this->Fleet.setPlatformFaults({.Outage = true});
    break;
  case LoadFaultKind::PlatformRecovery:
    this->Fleet.setPlatformFaults({});
    break;
  }
}

Awaitable<void> LoadRun::drainInstance(std::size_t Instance) {
  this->Fleet.beginDrain(Instance);
  // The load balancer detects the failed readiness check only after a delay.
  co_await sleepFor(LoadBalancerDelay);
  this->InstanceUp[Instance] = false;
  while (!this->Fleet.drained(Instance))
    co_await sleepFor(FleetPollInterval);
  this->Fleet.crashInstance(Instance);
}

Awaitable<void> LoadRun::restartInstance(std::size_t Instance) {
  while (this->Fleet.running(Instance))
    co_await sleepFor(FleetPollInterval);
  this->InstanceUp[Instance] = this->Fleet.startInstance(Instance).hasValue();
}

Awaitable<void> LoadRun::scanDatabases(std::shared_ptr<bool> Complete) {
  LoadClient Client(this->Exec, this->Fleet);
  *Complete = true;
  for (std::size_t Index = 0; Index < this->Plan.Fleet.Databases; ++Index) {
    LoadStatement Statement;
    Statement.Database = Index;
    // Sent as a write, because only the primary is certain to have every row.
    Statement.Text = "scan booking-";
    Statement.Write = true;
    bool Found = false;
    for (int Attempt = 0; Attempt < ScanAttempts && !Found; ++Attempt) {
      Statement.Instance = this->pickInstance();
      LoadStatement Copy = Statement;
      auto Answer = co_await Client.send(std::move(Copy));
      Found = Answer.hasValue();
      if (!Found) {
        co_await sleepFor(ScanRetryDelay);
        continue;
      }
      for (const std::string &Row : Answer.value().Rows) {
        std::size_t Equals = Row.find('=');
        this->StoredRows.push_back(
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
  if (!this->Fleet.waitForTicket(1, TicketTimeout))
    return Error{.Kind = ErrorKind::Unavailable,
                 .Message =
                     "ticket 1 did not become active on all instances in time",
                 .Remedy = "check the decision log of the instances"};
  for (std::size_t Index = 0; Index < this->Plan.Sessions; ++Index)
    this->IdleSessions.push_back(std::make_shared<Session>(
        Index, Index % this->Plan.Fleet.Databases, this->Exec, this->Fleet));
  this->StartedAt = this->Time.now();
  auto SpawnTask = [this](auto Task) {
    asio::co_spawn(this->Exec, Task, asio::detached);
  };
  SpawnTask([this]() -> Awaitable<void> { co_await this->dispatchArrivals(); });
  SpawnTask([this]() -> Awaitable<void> { co_await this->writeCatalogue(); });
  SpawnTask([this]() -> Awaitable<void> { co_await this->runFaults(); });
  this->Context.run();
  this->Fleet.setPlatformFaults({});
  auto Complete = std::make_shared<bool>(false);
  SpawnTask([this, Complete]() -> Awaitable<void> {
    co_await this->scanDatabases(Complete);
  });
  this->Context.restart();
  this->Context.run();
  if (*Complete)
    this->Checker.checkStored(this->StoredRows);
  LoadResult Result;
  Result.Violations = this->Checker.violations();
  Result.Acknowledged = this->Checker.acknowledged();
  Result.ScanComplete = *Complete;
  return Result;
}

} // namespace turmericpitch
