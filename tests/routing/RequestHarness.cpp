#include "tests/routing/RequestHarness.h"

#include "drivers/MemberCodec.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
constexpr Duration PollInterval = std::chrono::milliseconds(1);
constexpr Duration ProbeInterval = std::chrono::milliseconds(50);
const DatabaseId Orders{"orders"};

Error noAnswerError() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "no answer",
          .Remedy = "check whether it ran"};
}

} // namespace

struct RequestHarness::RunningStatement {
  RunningStatement(HarnessStatement Statement, RequestContext Context,
                   RoutingOptions Options, std::uint64_t Seed)
      : Statement(std::move(Statement)),
        Flow(std::move(Context), std::move(Options), Seed) {}

  HarnessStatement Statement;
  StatementFlow Flow;
};

RequestHarness::RequestHarness(EventQueue &Queue) : Queue(Queue) {}

void RequestHarness::addMember(const DatabaseMember &Configured,
                               Duration ApplyLag) {
  MemberOptions Options;
  Options.Id = Configured.Id;
  Options.ApplyLag = ApplyLag;
  auto [At, Inserted] = this->Members.try_emplace(Configured.Id, Options);
  ASSERT_TRUE(Inserted);
  At->second.Configured = Configured;
  At->second.Connection = At->second.Database.connect().value();
  this->Order.push_back(Configured.Id);
  At->second.Database.bootstrap(this->Order.front());
}

void RequestHarness::start(const std::vector<std::string> &Names) {
  Database Configured;
  Configured.Id = Orders;
  for (const UpstreamId &Id : this->Order)
    Configured.Members.push_back(this->Members.at(Id).Configured);
  for (const std::string &Name : Names) {
    this->Instances[Name].Upstreams.onConfigured(Configured);
    this->probeForever(Name);
  }
  this->replicateForever();
}

bool RequestHarness::reaches(const Instance &From, const UpstreamId &To) const {
  return !From.Unreachable.contains(To) && !this->Members.at(To).Stuck;
}

void RequestHarness::probeForever(const std::string &Name) {
  Instance &From = this->Instances.at(Name);
  TimePoint AskedAt = this->Queue.now();
  for (auto &[Id, To] : this->Members) {
    if (!this->reaches(From, Id)) {
      From.Upstreams.onFailure(Orders, Id, AskedAt);
      continue;
    }
    this->Queue.scheduleAfter(NetworkDelay, [this, &From, &To = To, AskedAt] {
      MemberStatus Status = To.Database.status(this->Queue.now());
      this->Queue.scheduleAfter(NetworkDelay, [&From, Status, AskedAt] {
        From.Upstreams.onStatus(Orders, Status, AskedAt);
      });
    });
  }
  this->Queue.scheduleAfter(ProbeInterval,
                            [this, Name] { this->probeForever(Name); });
}

void RequestHarness::replicateForever() {
  for (auto &[Id, To] : this->Members) {
    auto Wanted = To.Database.replicationRequest();
    if (!Wanted || To.ReplicationCut || To.Stuck)
      continue;
    Member &From = this->Members.at(Wanted->Primary);
    if (From.Stuck || From.ReplicationCut)
      continue;
    auto Batch = From.Database.replicate(*Wanted);
    if (Batch)
      To.Database.onReplicated(Batch.value(), this->Queue.now());
  }
  this->Queue.scheduleAfter(PollInterval, [this] { this->replicateForever(); });
}

void RequestHarness::run(const HarnessStatement &Statement) {
  ASSERT_FALSE(this->Results.contains(Statement.Name))
      << "statement " << Statement.Name << " runs twice";
  Instance &At = this->Instances.at(Statement.Instance);
  RequestContext Context;
  Context.Request = Statement.Request;
  Context.Request.Target = Orders;
  Context.Request.Id = RequestId{std::to_string(this->NextRequest)};
  Context.ArrivedAt = this->Queue.now();
  Context.Deadline = Context.ArrivedAt + Statement.Request.Timeout;
  Context.View = At.Upstreams.view(Orders);
  if (!Statement.Session.empty())
    Context.Token = this->Sessions[Statement.Session];
  RoutingOptions Options;
  auto Running = std::make_shared<RunningStatement>(
      Statement, std::move(Context), Options, this->NextRequest++);
  this->Results[Statement.Name].BegunAt = this->Queue.now();
  this->perform(Running, Running->Flow.begin(this->Queue.now()));
}

const HarnessResult &RequestHarness::result(const std::string &Name) const {
  return this->Results.at(Name);
}

void RequestHarness::perform(const SharedStatement &Running,
                             StatementAction Action) {
  if (const auto *Run = std::get_if<RunAtMember>(&Action))
    return this->runAtMember(Running, *Run);
  if (const auto *Confirm = std::get_if<ConfirmWrite>(&Action))
    return this->confirm(
        Running->Statement.Instance, *Confirm,
        this->Queue.now() + Confirm->Timeout, [this, Running](bool Held) {
          this->perform(Running,
                        Running->Flow.onConfirmed(Held, this->Queue.now()));
        });
  if (const auto *Finished = std::get_if<FinishStatement>(&Action))
    return this->finish(Running, *Finished);
  this->Queue.scheduleAfter(
      std::get<AwaitView>(Action).Timeout, [this, Running] {
        Instance &At = this->Instances.at(Running->Statement.Instance);
        this->perform(Running, Running->Flow.onView(At.Upstreams.view(Orders),
                                                    this->Queue.now()));
      });
}

void RequestHarness::runAtMember(const SharedStatement &Running,
                                 const RunAtMember &Wanted) {
  HarnessResult &Result = this->Results.at(Running->Statement.Name);
  ++Result.Attempts;
  Result.ServedBy = Wanted.Where.Target;
  this->executeAt(Running, Wanted, this->Queue.now() + Wanted.WaitTimeout);
}

void RequestHarness::executeAt(const SharedStatement &Running,
                               const RunAtMember &Wanted, TimePoint GiveUpAt) {
  const std::string &Name = Running->Statement.Instance;
  Member &At = this->Members.at(Wanted.Where.Target);
  TimePoint Now = this->Queue.now();
  WaitRequest Wait{.Entry = Wanted.Request.MinPosition,
                   .Timeout = Wanted.WaitTimeout,
                   .UntilApplied = true};
  bool Waits = Now < GiveUpAt &&
               this->reaches(this->Instances.at(Name), Wanted.Where.Target) &&
               !At.Database.waitIsOver(Wait, Now);
  if (Waits) {
    this->Queue.scheduleAfter(PollInterval, [this, Running, Wanted, GiveUpAt] {
      this->executeAt(Running, Wanted, GiveUpAt);
    });
    return;
  }
  this->exchange(
      Name, Wanted.Where.Target, At.Connection, Wanted.Request, Wanted.Timeout,
      [this, Running, Name](const Outcome<MemberAnswer> &Answer) {
        this->perform(Running,
                      Running->Flow.onMemberOutcome(Answer, this->view(Name),
                                                    this->Queue.now()));
      });
}

void RequestHarness::exchange(const std::string &Name, const UpstreamId &Id,
                              ConnectionId Connection,
                              const MemberRequest &Request, Duration Timeout,
                              OnAnswer Done) {
  TimePoint AskedAt = this->Queue.now();
  Instance &From = this->Instances.at(Name);
  auto Report = [this, &From, Id, AskedAt,
                 Done](const Outcome<MemberAnswer> &Answer) {
    if (Answer)
      From.Upstreams.onStatus(Orders, Answer.value().Status, AskedAt);
    else if (Answer.error().Kind == ErrorKind::OutcomeUnknown ||
             Answer.error().Kind == ErrorKind::Unavailable)
      From.Upstreams.onFailure(Orders, Id, this->Queue.now());
    Done(Answer);
  };
  if (From.Unreachable.contains(Id))
    return Report(Error{.Kind = ErrorKind::Unavailable,
                        .Message = "can't connect",
                        .Remedy = "try another member"});
  if (this->Members.at(Id).Stuck) {
    this->Queue.scheduleAfter(Timeout, [Report] { Report(noAnswerError()); });
    return;
  }
  this->Queue.scheduleAfter(NetworkDelay, [this, Id, Connection, Request,
                                           Report] {
    Member &At = this->Members.at(Id);
    auto Answer = At.Database.handle(Connection, Request, this->Queue.now());
    if (At.MislabelNext && Answer)
      Answer.value().Id = RequestId{"another"};
    if (At.LoseNext)
      Answer = noAnswerError();
    At.MislabelNext = false;
    At.LoseNext = false;
    this->Queue.scheduleAfter(
        NetworkDelay, [Report, Expected = requestIdOf(Request), Answer] {
          Report(checkAnswerId(Expected, Answer));
        });
  });
}

MemberStandIn &RequestHarness::member(const UpstreamId &Id) {
  return this->Members.at(Id).Database;
}

SharedDatabaseView RequestHarness::view(const std::string &Name) const {
  return this->Instances.at(Name).Upstreams.view(Orders);
}

const DatabaseId &RequestHarness::database() { return Orders; }

void RequestHarness::confirm(const std::string &Name,
                             const ConfirmWrite &Wanted, TimePoint GiveUpAt,
                             OnConfirmed Done) {
  Instance &From = this->Instances.at(Name);
  std::size_t Held = 0;
  std::size_t Refused = 0;
  WaitRequest Wait{.Entry = Wanted.Written, .Timeout = Wanted.Timeout};
  for (const DatabaseMember &Replica : Wanted.Replicas) {
    if (!this->reaches(From, Replica.Id))
      continue;
    MemberStandIn &At = this->Members.at(Replica.Id).Database;
    if (confirms(Wanted, At.status(this->Queue.now())))
      ++Held;
    else if (At.waitIsOver(Wait, this->Queue.now()))
      ++Refused;
  }
  bool CannotSucceed = Wanted.Replicas.size() - Refused < Wanted.RequiredCount;
  bool TimedOut = this->Queue.now() + PollInterval >= GiveUpAt;
  if (Held < Wanted.RequiredCount && !CannotSucceed && !TimedOut) {
    this->Queue.scheduleAfter(PollInterval,
                              [this, Name, Wanted, GiveUpAt, Done] {
                                this->confirm(Name, Wanted, GiveUpAt, Done);
                              });
    return;
  }
  this->Queue.scheduleAfter(
      NetworkDelay,
      [Done, Confirmed = Held >= Wanted.RequiredCount] { Done(Confirmed); });
}

void RequestHarness::finish(const SharedStatement &Running,
                            const FinishStatement &Finished) {
  HarnessResult &Result = this->Results.at(Running->Statement.Name);
  Result.Answer = Finished.Answer;
  Result.EndedAt = this->Queue.now();
  if (Finished.Answer && !Running->Statement.Session.empty())
    this->Sessions[Running->Statement.Session] = Finished.Answer.value().Token;
}

void RequestHarness::setStuck(const UpstreamId &Id, bool Stuck) {
  this->Members.at(Id).Stuck = Stuck;
}

void RequestHarness::setLag(const UpstreamId &Id, Duration Lag) {
  this->Members.at(Id).Database.options().ApplyLag = Lag;
}

void RequestHarness::setReplicationCut(const UpstreamId &Id, bool Cut) {
  this->Members.at(Id).ReplicationCut = Cut;
}

void RequestHarness::setLinkCut(const std::string &Name, const UpstreamId &Id,
                                bool Cut) {
  if (Cut)
    this->Instances.at(Name).Unreachable.insert(Id);
  else
    this->Instances.at(Name).Unreachable.erase(Id);
}

void RequestHarness::loseNextAnswer(const UpstreamId &Id) {
  this->Members.at(Id).LoseNext = true;
}

void RequestHarness::mislabelNextAnswer(const UpstreamId &Id) {
  this->Members.at(Id).MislabelNext = true;
}

void RequestHarness::promote(const UpstreamId &Successor,
                             const std::set<UpstreamId> &Unreached) {
  this->NewestTerm = Term{this->NewestTerm.Value + 1};
  TimePoint Now = this->Queue.now();
  std::string Attempt = "scenario-" + std::to_string(this->NewestTerm.Value);
  std::vector<Member *> Reached;
  for (auto &[Id, Each] : this->Members)
    if (!Each.Stuck && !Unreached.contains(Id))
      Reached.push_back(&Each);
  ASSERT_GT(2 * Reached.size(), this->Members.size()) << "no majority";
  for (Member *Each : Reached) {
    FenceRequest Fence{.NextTerm = this->NewestTerm, .Attempt = Attempt};
    ASSERT_TRUE(Each->Database.handle(Each->Connection, Fence, Now));
  }
  Member &Chosen = this->Members.at(Successor);
  PromoteRequest Promote{.NextTerm = this->NewestTerm,
                         .Attempt = Attempt,
                         .ExpectedEntry =
                             Chosen.Database.status(Now).LastEntry};
  for (Member *Each : Reached)
    ASSERT_LE(Each->Database.status(Now).LastEntry, Promote.ExpectedEntry)
        << "the successor must have the highest received position";
  ASSERT_TRUE(Chosen.Database.handle(Chosen.Connection, Promote, Now));
  for (Member *Each : Reached) {
    if (Each == &Chosen)
      continue;
    FollowRequest Follow{.NextTerm = this->NewestTerm, .Primary = Successor};
    ASSERT_TRUE(Each->Database.handle(Each->Connection, Follow, Now));
  }
}

std::string RequestHarness::valueAt(const UpstreamId &Id,
                                    const std::string &Key) {
  Member &At = this->Members.at(Id);
  ExecuteRequest Read;
  Read.Id = RequestId{"check"};
  Read.Statement = "get " + Key;
  auto Answer = At.Database.handle(At.Connection, Read, this->Queue.now());
  if (!Answer || Answer.value().Rows.empty())
    return {};
  return Answer.value().Rows.front();
}

} // namespace turmericpitch
