#include "drivers/StatementRunner.h"

#include "core/DecisionLog.h"
#include "drivers/Mailbox.h"
#include "routing/RequestErrors.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

void logRoute(const RequestContext &Context, const RunAtMember &Action) {
  DecisionLine Line("route");
  Line.field("request", Context.Request.Id.Value)
      .field("account", Context.Account->Id.Value)
      .field("database", Context.Request.Target.Value)
      .field("kind", Context.Request.Write ? "write" : "read")
      .field("upstream", Action.Where.Target.Value)
      .field("reason", toString(Action.Where.Reason));
  writeDecision(Line);
}

void logShed(const RequestContext &Context, const AdmissionRequest &Admission,
             const UpstreamId &Upstream, const Error &Shed) {
  using std::chrono::milliseconds;
  auto RetryAfter = std::chrono::duration_cast<milliseconds>(
      Shed.RetryAfter.value_or(Duration{0}));
  DecisionLine Line("shed");
  Line.field("request", Context.Request.Id.Value)
      .field("account", Admission.Account.Value)
      .field("database", Context.Request.Target.Value)
      .field("class", toString(Admission.Class))
      .field("upstream", Upstream.Value)
      .field("retry_after_ms", RetryAfter.count())
      .field("message", Shed.Message);
  writeDecision(Line);
}

Error retryBudgetExhausted() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "the upstream's retry budget is exhausted",
          .Remedy = "retry after retry_after_ms",
          .RetryAfter = std::chrono::seconds(1)};
}

/// How often a pending write checks whether its primary was superseded.
constexpr Duration SupersededPollInterval = std::chrono::milliseconds(50);

} // namespace

AdmissionRequest admissionOf(const RequestContext &Context) {
  AdmissionRequest Request;
  Request.Account = Context.Account->Id;
  Request.Weight = Context.Account->Weight;
  Request.Class = Context.Request.Write ? AdmissionClass::Write
                  : Context.Request.MaximumAge
                      ? AdmissionClass::BoundedStalenessRead
                      : AdmissionClass::SessionRead;
  Request.Deadline = Context.Deadline;
  return Request;
}

StatementRunner::StatementRunner(std::shared_ptr<MemberPool> Statements,
                                 std::shared_ptr<MemberPool> Control,
                                 std::shared_ptr<UpstreamController> Upstreams,
                                 RoutingOptions Options)
    : Statements(std::move(Statements)), Control(std::move(Control)),
      Upstreams(std::move(Upstreams)), Options(std::move(Options)) {}

Awaitable<Outcome<StatementAnswer>>
StatementRunner::run(RequestContext Context) {
  DatabaseId Id = Context.Request.Target;
  AdmissionRequest Admission = admissionOf(Context);
  std::map<Endpoint, std::uint32_t> Attempts;
  StatementFlow Flow(std::move(Context), this->Options, this->NextSeed++);
  StatementAction Action = Flow.begin(this->Clock.now());
  while (true) {
    if (auto *Finish = std::get_if<FinishStatement>(&Action))
      co_return std::move(Finish->Answer);
    if (auto *Run = std::get_if<RunAtMember>(&Action)) {
      logRoute(Flow.context(), *Run);
      Outcome<MemberAnswer> Answer = retryBudgetExhausted();
      if (co_await this->mayAttempt(Run->Where.Where,
                                    Attempts[Run->Where.Where]++,
                                    Admission.Deadline))
        Answer = co_await this->runAtMember(Id, *Run, Admission);
      if (!Answer && Answer.error().Kind == ErrorKind::Overloaded)
        logShed(Flow.context(), Admission, Run->Where.Target, Answer.error());
      Action = Flow.onMemberOutcome(Answer, this->Upstreams->view(Id),
                                    this->Clock.now());
    } else if (auto *Confirm = std::get_if<ConfirmWrite>(&Action)) {
      bool Confirmed = co_await this->confirm(Id, *Confirm);
      Action = Flow.onConfirmed(Confirmed, this->Clock.now());
    } else {
      co_await sleepFor(std::get<AwaitView>(Action).Timeout);
      Action = Flow.onView(this->Upstreams->view(Id), this->Clock.now());
    }
  }
}

Awaitable<bool> StatementRunner::mayAttempt(Endpoint Upstream,
                                            std::uint32_t Attempt,
                                            TimePoint Deadline) {
  bool Granted = true;
  this->RetryBudgets.update(toString(Upstream), [&](RetryBudget &Budget) {
    if (Attempt == 0)
      Budget.onFirstAttempt();
    else
      Granted = Budget.spend();
  });
  if (!Granted || Attempt == 0)
    co_return Granted;
  RandomSource Random(this->NextSeed++);
  Duration Wait = retryBackoff(this->RetryOptions, Attempt, Random);
  if (this->Clock.now() + Wait < Deadline)
    co_await sleepFor(Wait);
  co_return true;
}

void StatementRunner::recordOutcome(const DatabaseId &Id,
                                    const UpstreamId &Member,
                                    const Outcome<MemberAnswer> &Answer,
                                    TimePoint SentAt) {
  if (Answer)
    this->Upstreams->onStatus(Id, Answer.value().Status, SentAt);
  else if (Answer.error().Kind == ErrorKind::OutcomeUnknown ||
           Answer.error().Kind == ErrorKind::Unavailable)
    this->Upstreams->onFailure(Id, Member, this->Clock.now());
}

Awaitable<Outcome<MemberAnswer>>
StatementRunner::runAtMember(DatabaseId Id, RunAtMember Action,
                             AdmissionRequest Admission) {
  TimePoint SentAt = this->Clock.now();
  if (Action.WaitTimeout > Duration{0}) {
    auto Waiter =
        co_await this->Control->acquire(Action.Where.Where, Action.WaitTimeout);
    if (!Waiter)
      co_return Waiter.error();
    MemberRequest Wait = WaitRequest{.Entry = Action.Request.MinPosition,
                                     .Timeout = Action.WaitTimeout,
                                     .UntilApplied = true};
    auto Waited = co_await (*Waiter.value())
                      ->call(Wait, Action.WaitTimeout + Action.Timeout);
    this->recordOutcome(Id, Action.Where.Target, Waited, SentAt);
    if (!Waited)
      co_return Waited;
  }
  auto Leased = co_await this->Statements->acquire(
      Action.Where.Where, std::move(Admission), Action.Timeout);
  if (!Leased)
    co_return Leased.error();
  SentAt = this->Clock.now();
  auto Answer = co_await this->callWhilePrimary(Id, Action, Leased.value());
  this->recordOutcome(Id, Action.Where.Target, Answer, SentAt);
  co_return Answer;
}

Awaitable<Outcome<MemberAnswer>> StatementRunner::callWhilePrimary(
    DatabaseId Id, RunAtMember Action,
    std::shared_ptr<LeasedConnection> Connection) {
  MemberRequest Request = Action.Request;
  if (!Action.Request.Write)
    co_return co_await (*Connection)->call(std::move(Request), Action.Timeout);
  auto Exec = co_await asio::this_coro::executor;
  auto Inbox = std::make_shared<Mailbox<Outcome<MemberAnswer>>>();
  auto SendRequest = [Inbox, Connection, Request, Action]() -> Awaitable<void> {
    auto Answer = co_await (*Connection)->call(Request, Action.Timeout);
    Inbox->put(std::move(Answer));
  };
  asio::co_spawn(Exec, SendRequest, asio::detached);
  while (true) {
    auto Answers = co_await Inbox->takeAll(SupersededPollInterval);
    if (!Answers.empty())
      co_return Answers.front();
    SharedDatabaseView View = this->Upstreams->view(Id);
    if (View && isSuperseded(*View, Action.Where.Target)) {
      (*Connection)->close();
      co_return notConfirmedError();
    }
  }
}

Awaitable<bool> StatementRunner::confirm(DatabaseId Id, ConfirmWrite Action) {
  auto Exec = co_await asio::this_coro::executor;
  auto Inbox = std::make_shared<Mailbox<bool>>();
  for (const DatabaseMember &Replica : Action.Replicas) {
    auto SendRequest = [this, Inbox, Replica, Id, Action]() -> Awaitable<void> {
      TimePoint SentAt = this->Clock.now();
      auto Leased =
          co_await this->Control->acquire(Replica.Where, Action.Timeout);
      bool Confirmed = false;
      if (Leased) {
        MemberRequest Wait = WaitRequest{.Entry = Action.Written,
                                         .Timeout = Action.Timeout,
                                         .UntilApplied = false};
        auto Answer = co_await (*Leased.value())->call(Wait, Action.Timeout);
        this->recordOutcome(Id, Replica.Id, Answer, SentAt);
        Confirmed = Answer && confirms(Action, Answer.value().Status);
      }
      Inbox->put(Confirmed);
    };
    asio::co_spawn(Exec, SendRequest, asio::detached);
  }
  TimePoint Until = this->Clock.now() + Action.Timeout;
  std::size_t Confirmed = 0;
  std::size_t Pending = Action.Replicas.size();
  // Stops as soon as the pending replicas can't reach the required number.
  while (Confirmed < Action.RequiredCount &&
         Confirmed + Pending >= Action.RequiredCount) {
    TimePoint Now = this->Clock.now();
    if (Now >= Until)
      co_return false;
    std::vector<bool> Answers = co_await Inbox->takeAll(Until - Now);
    for (bool Each : Answers) {
      --Pending;
      Confirmed += Each ? 1 : 0;
    }
  }
  co_return Confirmed >= Action.RequiredCount;
}

} // namespace turmericpitch
