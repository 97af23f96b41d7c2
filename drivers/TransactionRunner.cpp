#include "drivers/TransactionRunner.h"

#include "core/DecisionLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

/// How soon a transaction in use past its limits is looked at again.
constexpr Duration ExpiryPoll = std::chrono::milliseconds(100);

void logStep(const TransactionState &State) {
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

TransactionReference claimOf(const RequestContext &Context,
                             const TransactionId &Id) {
  return {
      .Id = Id, .Owner = Context.Account->Id, .Target = Context.Request.Target};
}

Error anotherIsOpen() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "a transaction is open on this connection",
          .Remedy = "commit or roll it back first, or use another connection"};
}

} // namespace

CallerTransaction::~CallerTransaction() {
  std::lock_guard Lock(this->Guard);
  if (!this->Present)
    return;
  this->Present->State.abandon();
  this->release();
}

bool CallerTransaction::open() {
  std::lock_guard Lock(this->Guard);
  return this->Present.has_value();
}

void CallerTransaction::release() {
  logStep(this->Present->State);
  if (!this->Present->State.connectionIsClean())
    (*this->Present->Connection)->close();
  this->Present.reset();
}

TransactionRunner::TransactionRunner(
    std::shared_ptr<MemberPool> Statements,
    std::shared_ptr<UpstreamController> Upstreams,
    std::shared_ptr<StatementRunner> Runner, RoutingOptions Options,
    TransactionLimits Limits)
    : Statements(std::move(Statements)), Upstreams(std::move(Upstreams)),
      Runner(std::move(Runner)), Options(std::move(Options)), Limits(Limits) {}

Awaitable<TransactionRunner::BegunAt>
TransactionRunner::beginAt(DatabaseId Id, BeginAtMember Wanted,
                           AdmissionRequest Admitted) {
  auto Leased = co_await this->Statements->acquire(
      Wanted.Where.Where, std::move(Admitted), Wanted.Timeout);
  if (!Leased)
    co_return BegunAt{.Connection = nullptr, .Answer = Leased.error()};
  TimePoint AskedAt = this->Time.now();
  MemberRequest Request = Wanted.Request;
  auto Answer = co_await (*Leased.value())->call(Request, Wanted.Timeout);
  this->Runner->note(Id, Wanted.Where.Target, Answer, AskedAt);
  if (!Answer)
    (*Leased.value())->close();
  co_return BegunAt{.Connection = Leased.value(), .Answer = Answer};
}

Awaitable<Outcome<BegunTransaction>>
TransactionRunner::begin(RequestContext Context,
                         std::shared_ptr<CallerTransaction> Caller) {
  {
    std::lock_guard Lock(Caller->Guard);
    if (Caller->Present)
      co_return anotherIsOpen();
  }
  DatabaseId Id = Context.Request.Target;
  ClientAccountId Owner = Context.Account->Id;
  AdmissionRequest Admitted = admissionOf(Context);
  // A transaction is let in like the writes that it is there for.
  Admitted.Class = AdmissionClass::Write;
  BeginFlow Flow(std::move(Context), this->Options);
  BeginAction Action = Flow.begin(this->Time.now());
  SharedLease Connection;
  Route Where;
  while (!std::holds_alternative<FinishBegin>(Action)) {
    if (auto *Begin = std::get_if<BeginAtMember>(&Action)) {
      Where = Begin->Where;
      BegunAt Begun = co_await this->beginAt(Id, *Begin, Admitted);
      Connection = std::move(Begun.Connection);
      Action = Flow.onMemberOutcome(Begun.Answer, this->Upstreams->view(Id),
                                    this->Time.now());
      continue;
    }
    // Nothing is held while waiting for a primary.
    Connection.reset();
    co_await sleepFor(std::get<AwaitView>(Action).Timeout);
    Action = Flow.onView(this->Upstreams->view(Id), this->Time.now());
  }
  auto Answer = std::get<FinishBegin>(Action).Answer;
  if (!Answer)
    co_return Answer;
  TransactionPin Pin{.Id = Answer.value().Id,
                     .Owner = std::move(Owner),
                     .Target = Id,
                     .Member = Answer.value().Member,
                     .BeginTerm = Answer.value().BeginTerm};
  TransactionState State(std::move(Pin), this->Limits, this->Time.now());
  logStep(State);
  {
    std::lock_guard Lock(Caller->Guard);
    Caller->Present =
        CallerTransaction::Held{.State = std::move(State),
                                .Where = std::move(Where),
                                .Connection = std::move(Connection)};
  }
  auto On = co_await asio::this_coro::executor;
  auto Watch = [Self = this->shared_from_this(), Weak = std::weak_ptr(Caller),
                Begun = Answer.value().Id]() -> Awaitable<void> {
    co_await Self->expire(Weak, Begun);
  };
  asio::co_spawn(On, std::move(Watch), asio::detached);
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
      std::lock_guard Lock(Alive->Guard);
      if (!Alive->Present || Alive->Present->State.pin().Id != Id)
        co_return;
      TransactionState &State = Alive->Present->State;
      TimePoint Now = this->Time.now();
      if (State.endIfExpired(Now)) {
        Alive->release();
        co_return;
      }
      Left = std::max(Duration(State.expiresAt() - Now), ExpiryPoll);
    }
    co_await sleepFor(Left);
  }
}

template <typename Callable>
Outcome<TransactionRunner::SharedLease>
TransactionRunner::claim(CallerTransaction &Caller,
                         const RequestContext &Context, const TransactionId &Id,
                         Callable &&Send) {
  std::lock_guard Lock(Caller.Guard);
  if (!Caller.Present)
    return unknownTransactionError();
  TransactionState &State = Caller.Present->State;
  Status Admitted = State.admit(claimOf(Context, Id), this->Time.now());
  if (!Admitted)
    return Admitted.error();
  Send(State);
  return Caller.Present->Connection;
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
  Duration Limit = Context.Deadline - this->Time.now();
  MemberRequest Sent = std::move(Execute);
  auto Answer = co_await (*Claimed.value())->call(std::move(Sent), Limit);
  {
    std::lock_guard Lock(Caller->Guard);
    Answer = Caller->Present->State.onStatementAnswer(std::move(Answer),
                                                      this->Time.now());
    if (Caller->Present->State.ended())
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
TransactionRunner::commitAt(DatabaseId Id, CommitAtMember Wanted,
                            std::shared_ptr<CallerTransaction> Caller) {
  SharedLease Connection;
  if (Wanted.Pinned) {
    std::lock_guard Lock(Caller->Guard);
    Connection = Caller->Present->Connection;
  } else {
    auto Leased =
        co_await this->Statements->acquire(Wanted.Where.Where, Wanted.Timeout);
    if (!Leased)
      co_return Leased.error();
    Connection = Leased.value();
  }
  TimePoint AskedAt = this->Time.now();
  MemberRequest Request = Wanted.Request;
  auto Answer = co_await (*Connection)->call(Request, Wanted.Timeout);
  this->Runner->note(Id, Wanted.Where.Target, Answer, AskedAt);
  if (!Wanted.Pinned)
    co_return Answer;
  // The connection is free while the commit waits for its majority.
  std::lock_guard Lock(Caller->Guard);
  Connection.reset();
  Caller->Present->State.onEndAnswer(Answer);
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
    std::lock_guard Lock(Caller->Guard);
    Pinned = Caller->Present->Where;
  }
  Claimed = unknownTransactionError();
  CommitFlow Flow(std::move(Context), Id, Pinned, this->Options);
  CommitAction Action = Flow.begin(this->Time.now());
  while (true) {
    if (auto *Finish = std::get_if<FinishStatement>(&Action))
      co_return std::move(Finish->Answer);
    if (auto *Commit = std::get_if<CommitAtMember>(&Action)) {
      auto Answer = co_await this->commitAt(Target, *Commit, Caller);
      Action = Flow.onMemberOutcome(Answer, this->Upstreams->view(Target),
                                    this->Time.now());
    } else if (auto *Confirm = std::get_if<ConfirmWrite>(&Action)) {
      bool Held = co_await this->Runner->confirm(Target, *Confirm);
      Action = Flow.onConfirmed(Held, this->Time.now());
    } else {
      co_await sleepFor(std::get<AwaitView>(Action).Timeout);
      Action = Flow.onView(this->Upstreams->view(Target), this->Time.now());
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
  Duration Limit = Context.Deadline - this->Time.now();
  MemberRequest Request = RollbackRequest{.Transaction = Id};
  auto Answer = co_await (*Claimed.value())->call(std::move(Request), Limit);
  {
    std::lock_guard Lock(Caller->Guard);
    Claimed = unknownTransactionError();
    Caller->Present->State.onEndAnswer(Answer);
    Caller->release();
  }
  // Whatever the answer: a closed connection is rolled back as well.
  StatementAnswer Result;
  Result.Id = Context.Request.Id;
  Result.Token = Context.Token;
  Result.ServedBy = MemberRole::Primary;
  co_return Result;
}

} // namespace turmericpitch
