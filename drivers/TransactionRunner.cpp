#include "drivers/TransactionRunner.h"

#include "core/DecisionLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

/// Minimum interval between expiry checks of a transaction; applies when a
/// statement is running past the transaction's limits.
constexpr Duration ExpiryPollInterval = std::chrono::milliseconds(100);

void logTransaction(const TransactionState &State) {
  const TransactionPin &Pin = State.pin();
  DecisionLine Line("transaction");
  Line.field("transaction", Pin.Id.Value)
      .field("account", Pin.Owner.Value)
      .field("database", Pin.Target.Value)
      .field("upstream", Pin.Member.Value)
      .field("term", Pin.BeginTerm.Value)
      .field("step", toString(State.step()));
  writeDecision(Line);
}

TransactionReference referenceOf(const RequestContext &Context,
                                 const TransactionId &Id) {
  return {
      .Id = Id, .Owner = Context.Account->Id, .Target = Context.Request.Target};
}

Error transactionAlreadyOpenError() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "a transaction is open on this connection",
          .Remedy = "commit or roll it back first, or use another connection"};
}

} // namespace

CallerTransaction::~CallerTransaction() {
  std::lock_guard Lock(this->Mutex);
  if (!this->Current)
    return;
  this->Current->State.abandon();
  this->release();
}

bool CallerTransaction::open() {
  std::lock_guard Lock(this->Mutex);
  return this->Current.has_value();
}

void CallerTransaction::release() {
  logTransaction(this->Current->State);
  if (!this->Current->State.connectionIsClean())
    (*this->Current->Connection)->close();
  this->Current.reset();
}

TransactionRunner::TransactionRunner(
    std::shared_ptr<MemberPool> Statements,
    std::shared_ptr<UpstreamController> Upstreams,
    std::shared_ptr<StatementRunner> Runner, RoutingOptions Options,
    TransactionLimits Limits)
    : Statements(std::move(Statements)), Upstreams(std::move(Upstreams)),
      Runner(std::move(Runner)), Options(std::move(Options)), Limits(Limits) {}

Awaitable<TransactionRunner::BeginResult>
TransactionRunner::beginAt(DatabaseId Id, BeginAtMember Action,
                           AdmissionRequest Admission) {
  auto Leased = co_await this->Statements->acquire(
      Action.Where.Where, std::move(Admission), Action.Timeout);
  if (!Leased)
    co_return BeginResult{.Connection = nullptr, .Answer = Leased.error()};
  TimePoint SentAt = this->Clock.now();
  MemberRequest Request = Action.Request;
  auto Answer = co_await (*Leased.value())->call(Request, Action.Timeout);
  this->Runner->recordOutcome(Id, Action.Where.Target, Answer, SentAt);
  if (!Answer)
    (*Leased.value())->close();
  co_return BeginResult{.Connection = Leased.value(), .Answer = Answer};
}

Awaitable<Outcome<BegunTransaction>>
TransactionRunner::begin(RequestContext Context,
                         std::shared_ptr<CallerTransaction> Caller) {
  {
    std::lock_guard Lock(Caller->Mutex);
    if (Caller->Current)
      co_return transactionAlreadyOpenError();
  }
  DatabaseId Id = Context.Request.Target;
  ClientAccountId Owner = Context.Account->Id;
  AdmissionRequest Admission = admissionOf(Context);
  // Transactions are admitted in the same class as writes.
  Admission.Class = AdmissionClass::Write;
  BeginFlow Flow(std::move(Context), this->Options);
  BeginAction Action = Flow.begin(this->Clock.now());
  SharedLease Connection;
  Route Where;
  while (!std::holds_alternative<FinishBegin>(Action)) {
    if (auto *Begin = std::get_if<BeginAtMember>(&Action)) {
      Where = Begin->Where;
      BeginResult Begun = co_await this->beginAt(Id, *Begin, Admission);
      Connection = std::move(Begun.Connection);
      Action = Flow.onMemberOutcome(Begun.Answer, this->Upstreams->view(Id),
                                    this->Clock.now());
      continue;
    }
    // No connection is held while waiting for a primary.
    Connection.reset();
    co_await sleepFor(std::get<AwaitView>(Action).Timeout);
    Action = Flow.onView(this->Upstreams->view(Id), this->Clock.now());
  }
  auto Answer = std::get<FinishBegin>(Action).Answer;
  if (!Answer)
    co_return Answer;
  TransactionPin Pin{.Id = Answer.value().Id,
                     .Owner = std::move(Owner),
                     .Target = Id,
                     .Member = Answer.value().Member,
                     .BeginTerm = Answer.value().BeginTerm};
  TransactionState State(std::move(Pin), this->Limits, this->Clock.now());
  logTransaction(State);
  {
    std::lock_guard Lock(Caller->Mutex);
    Caller->Current = CallerTransaction::PinnedTransaction{
        .State = std::move(State),
        .Where = std::move(Where),
        .Connection = std::move(Connection)};
  }
  auto Exec = co_await asio::this_coro::executor;
  auto Watch = [Self = this->shared_from_this(), Weak = std::weak_ptr(Caller),
                Begun = Answer.value().Id]() -> Awaitable<void> {
    co_await Self->expire(Weak, Begun);
  };
  asio::co_spawn(Exec, std::move(Watch), asio::detached);
  co_return Answer;
}

Awaitable<void>
TransactionRunner::expire(std::weak_ptr<CallerTransaction> Caller,
                          TransactionId Id) {
  while (true) {
    Duration Left{0};
    {
      std::shared_ptr<CallerTransaction> Alive = Caller.lock();
      if (!Alive)
        co_return;
      std::lock_guard Lock(Alive->Mutex);
      if (!Alive->Current || Alive->Current->State.pin().Id != Id)
        co_return;
      TransactionState &State = Alive->Current->State;
      TimePoint Now = this->Clock.now();
      if (State.endIfExpired(Now)) {
        Alive->release();
        co_return;
      }
      Left = std::max(Duration(State.expiresAt() - Now), ExpiryPollInterval);
    }
    co_await sleepFor(Left);
  }
}

template <typename Callable>
Outcome<TransactionRunner::SharedLease>
TransactionRunner::claim(CallerTransaction &Caller,
                         const RequestContext &Context, const TransactionId &Id,
                         Callable &&Send) {
  std::lock_guard Lock(Caller.Mutex);
  if (!Caller.Current)
    return unknownTransactionError();
  TransactionState &State = Caller.Current->State;
  Status Admitted = State.admit(referenceOf(Context, Id), this->Clock.now());
  if (!Admitted)
    return Admitted.error();
  Send(State);
  return Caller.Current->Connection;
}

Awaitable<Outcome<StatementAnswer>>
TransactionRunner::execute(RequestContext Context, TransactionId Id,
                           std::shared_ptr<CallerTransaction> Caller) {
  ExecuteRequest Execute;
  auto Send = [&](TransactionState &State) {
    State.onStatementSent();
    Execute.ExpectedTerm = State.pin().BeginTerm;
  };
  auto Claimed = this->claim(*Caller, Context, Id, Send);
  if (!Claimed)
    co_return Claimed.error();
  const StatementRequest &Request = Context.Request;
  Execute.Id = Request.Id;
  Execute.Statement = Request.Statement;
  Execute.Write = Request.Write;
  Execute.MinPosition = Context.Token.position(Request.Target);
  Execute.Transaction = Id;
  Duration Timeout = Context.Deadline - this->Clock.now();
  MemberRequest Sent = std::move(Execute);
  auto Answer = co_await (*Claimed.value())->call(std::move(Sent), Timeout);
  {
    std::lock_guard Lock(Caller->Mutex);
    Answer = Caller->Current->State.onStatementAnswer(std::move(Answer),
                                                      this->Clock.now());
    if (Caller->Current->State.ended())
      Caller->release();
  }
  if (!Answer)
    co_return Answer.error();
  StatementAnswer Result;
  Result.Id = Request.Id;
  Result.Rows = std::move(Answer.value().Rows);
  Result.Token = Context.Token;
  Result.ServedBy = Answer.value().Status.Role;
  co_return Result;
}

Awaitable<Outcome<MemberAnswer>>
TransactionRunner::commitAt(DatabaseId Id, CommitAtMember Action,
                            std::shared_ptr<CallerTransaction> Caller) {
  SharedLease Connection;
  if (Action.Pinned) {
    std::lock_guard Lock(Caller->Mutex);
    Connection = Caller->Current->Connection;
  } else {
    auto Leased =
        co_await this->Statements->acquire(Action.Where.Where, Action.Timeout);
    if (!Leased)
      co_return Leased.error();
    Connection = Leased.value();
  }
  TimePoint SentAt = this->Clock.now();
  MemberRequest Request = Action.Request;
  auto Answer = co_await (*Connection)->call(Request, Action.Timeout);
  this->Runner->recordOutcome(Id, Action.Where.Target, Answer, SentAt);
  if (!Action.Pinned)
    co_return Answer;
  // Releases the connection while the commit waits for confirmation by a
  // majority.
  std::lock_guard Lock(Caller->Mutex);
  Connection.reset();
  Caller->Current->State.onEndAnswer(Answer);
  Caller->release();
  co_return Answer;
}

Awaitable<Outcome<StatementAnswer>>
TransactionRunner::commit(RequestContext Context, TransactionId Id,
                          std::shared_ptr<CallerTransaction> Caller) {
  DatabaseId Target = Context.Request.Target;
  auto Send = [](TransactionState &State) { State.onEndSent(); };
  auto Claimed = this->claim(*Caller, Context, Id, Send);
  if (!Claimed && !Context.Request.Key)
    co_return Claimed.error();
  std::optional<Route> Pinned;
  if (Claimed) {
    std::lock_guard Lock(Caller->Mutex);
    Pinned = Caller->Current->Where;
  }
  Claimed = unknownTransactionError();
  CommitFlow Flow(std::move(Context), Id, Pinned, this->Options);
  CommitAction Action = Flow.begin(this->Clock.now());
  while (true) {
    if (auto *Finish = std::get_if<FinishStatement>(&Action))
      co_return std::move(Finish->Answer);
    if (auto *Commit = std::get_if<CommitAtMember>(&Action)) {
      auto Answer = co_await this->commitAt(Target, *Commit, Caller);
      Action = Flow.onMemberOutcome(Answer, this->Upstreams->view(Target),
                                    this->Clock.now());
    } else if (auto *Confirm = std::get_if<ConfirmWrite>(&Action)) {
      bool Confirmed = co_await this->Runner->confirm(Target, *Confirm);
      Action = Flow.onConfirmed(Confirmed, this->Clock.now());
    } else {
      co_await sleepFor(std::get<AwaitView>(Action).Timeout);
      Action = Flow.onView(this->Upstreams->view(Target), this->Clock.now());
    }
  }
}

Awaitable<Outcome<StatementAnswer>>
TransactionRunner::rollback(RequestContext Context, TransactionId Id,
                            std::shared_ptr<CallerTransaction> Caller) {
  auto Send = [](TransactionState &State) { State.onEndSent(); };
  auto Claimed = this->claim(*Caller, Context, Id, Send);
  if (!Claimed)
    co_return Claimed.error();
  Duration Timeout = Context.Deadline - this->Clock.now();
  MemberRequest Request = RollbackRequest{.Transaction = Id};
  auto Answer = co_await (*Claimed.value())->call(std::move(Request), Timeout);
  {
    std::lock_guard Lock(Caller->Mutex);
    Claimed = unknownTransactionError();
    Caller->Current->State.onEndAnswer(Answer);
    Caller->release();
  }
  // Succeeds whatever the answer: on failure the connection is closed, and the
  // member then rolls back too.
  StatementAnswer Result;
  Result.Id = Context.Request.Id;
  Result.Token = Context.Token;
  Result.ServedBy = MemberRole::Primary;
  co_return Result;
}

} // namespace turmericpitch
