#include "tests/routing/TransactionHarness.h"

#include <gtest/gtest.h>

namespace turmericpitch {

RequestContext TransactionHarness::contextOf(const TransactionCall &Call) {
  ClientAccount &Account = this->Accounts[Call.Account];
  Account.Id = ClientAccountId{Call.Account};
  RequestContext Context;
  Context.Request = Call.Request;
  Context.Request.Id = RequestId{Call.Name};
  Context.Request.Target = RequestHarness::database();
  Context.Account = &Account;
  Context.ArrivedAt = this->now();
  Context.Deadline = Context.ArrivedAt + Call.Request.Timeout;
  Context.View = this->Requests.view(Call.Instance);
  if (!Call.Session.empty())
    Context.Token = this->Requests.session(Call.Session);
  return Context;
}

ConnectionId TransactionHarness::acquire(const std::string &Instance,
                                         const UpstreamId &Member) {
  PoolKey Key{Instance, Member};
  auto &Free = this->Idle[Key];
  ConnectionId Connection;
  if (Free.empty()) {
    Connection = this->Requests.member(Member).connect().value();
  } else {
    Connection = Free.back();
    Free.pop_back();
  }
  this->InUse[Key].insert(Connection);
  return Connection;
}

void TransactionHarness::returnConnection(const std::string &Instance,
                                          const UpstreamId &Member,
                                          ConnectionId Connection, bool Clean) {
  PoolKey Key{Instance, Member};
  if (this->InUse[Key].erase(Connection) == 0)
    return;
  if (Clean)
    this->Idle[Key].push_back(Connection);
  else
    this->Requests.member(Member).disconnect(Connection);
}

void TransactionHarness::release(const CallerKey &Caller) {
  OpenTransaction &Current = this->OpenTransactions.at(Caller);
  this->returnConnection(Caller.first, Current.Where.Target, Current.Connection,
                         Current.State.connectionIsClean());
  this->OpenTransactions.erase(Caller);
}

void TransactionHarness::recordResult(const TransactionCall &Call,
                                      Outcome<StatementAnswer> Answer) {
  if (Answer && !Call.Session.empty())
    this->Requests.session(Call.Session) = Answer.value().Token;
  this->Results[Call.Name] = std::move(Answer);
}

TransactionHarness::OpenTransaction *
TransactionHarness::findAdmitted(const TransactionCall &Call,
                                 bool RecordRefusal) {
  auto Found = this->OpenTransactions.find({Call.Instance, Call.Connection});
  Status Admitted = unknownTransactionError();
  if (Found != this->OpenTransactions.end()) {
    TransactionReference Reference{.Id = this->TransactionIds[Call.Transaction],
                                   .Owner = ClientAccountId{Call.Account},
                                   .Target = RequestHarness::database()};
    Admitted = Found->second.State.admit(Reference, this->now());
  }
  if (Admitted)
    return &Found->second;
  if (RecordRefusal)
    this->recordResult(Call, Admitted.error());
  return nullptr;
}

void TransactionHarness::begin(const TransactionCall &Call) {
  auto Flow =
      std::make_shared<BeginFlow>(this->contextOf(Call), RoutingOptions{});
  this->performBegin(Call, Flow, Flow->begin(this->now()));
}

void TransactionHarness::performBegin(const TransactionCall &Call,
                                      const std::shared_ptr<BeginFlow> &Flow,
                                      BeginAction Action) {
  if (this->KilledInstances.contains(Call.Instance))
    return;
  if (auto *Finished = std::get_if<FinishBegin>(&Action)) {
    if (!Finished->Answer)
      return this->recordResult(Call, Finished->Answer.error());
    this->TransactionIds[Call.Name] = Finished->Answer.value().Id;
    StatementAnswer Answer;
    Answer.Token = Flow->context().Token;
    return this->recordResult(Call, std::move(Answer));
  }
  if (auto *Wait = std::get_if<AwaitView>(&Action)) {
    this->Requests.queue().scheduleAfter(Wait->Timeout, [this, Call, Flow] {
      this->performBegin(
          Call, Flow,
          Flow->onView(this->Requests.view(Call.Instance), this->now()));
    });
    return;
  }
  const auto &Wanted = std::get<BeginAtMember>(Action);
  ConnectionId Connection = this->acquire(Call.Instance, Wanted.Where.Target);
  auto Done = [this, Call, Flow, Wanted,
               Connection](const Outcome<MemberAnswer> &Answer) {
    CallerKey Caller{Call.Instance, Call.Connection};
    if (!Answer) {
      this->returnConnection(Call.Instance, Wanted.Where.Target, Connection,
                             false);
    } else {
      TransactionPin Pin{.Id = Wanted.Request.Transaction,
                         .Owner = ClientAccountId{Call.Account},
                         .Target = RequestHarness::database(),
                         .Member = Wanted.Where.Target,
                         .BeginTerm = Wanted.Request.ExpectedTerm};
      TransactionState State(Pin, TransactionLimits{}, this->now());
      this->OpenTransactions.insert_or_assign(
          Caller, OpenTransaction{.State = State,
                                  .Where = Wanted.Where,
                                  .Connection = Connection});
      this->rollBackOnTimeout(Caller, Pin.Id);
    }
    this->performBegin(Call, Flow,
                       Flow->onMemberOutcome(Answer,
                                             this->Requests.view(Call.Instance),
                                             this->now()));
  };
  this->Requests.exchange(Call.Instance, Wanted.Where.Target, Connection,
                          Wanted.Request, Wanted.Timeout, Done);
}

void TransactionHarness::rollBackOnTimeout(const CallerKey &Caller,
                                           const TransactionId &Id) {
  auto Found = this->OpenTransactions.find(Caller);
  if (Found == this->OpenTransactions.end() ||
      Found->second.State.pin().Id != Id)
    return;
  if (Found->second.State.endIfExpired(this->now()))
    return this->release(Caller);
  TimePoint Next = std::max(Found->second.State.expiresAt(),
                            this->now() + std::chrono::milliseconds(100));
  this->Requests.queue().scheduleAt(
      Next, [this, Caller, Id] { this->rollBackOnTimeout(Caller, Id); });
}

void TransactionHarness::execute(const TransactionCall &Call) {
  OpenTransaction *Current = this->findAdmitted(Call, true);
  if (!Current)
    return;
  RequestContext Context = this->contextOf(Call);
  Current->State.onStatementSent();
  ExecuteRequest Request;
  Request.Id = Context.Request.Id;
  Request.Statement = Context.Request.Statement;
  Request.Write = Context.Request.Write;
  Request.ExpectedTerm = Current->State.pin().BeginTerm;
  Request.Transaction = Current->State.pin().Id;
  auto Done = [this, Call, Context](Outcome<MemberAnswer> Answer) {
    CallerKey Caller{Call.Instance, Call.Connection};
    auto Found = this->OpenTransactions.find(Caller);
    if (Found == this->OpenTransactions.end())
      return;
    Answer = Found->second.State.onStatementAnswer(Answer, this->now());
    if (Found->second.State.ended())
      this->release(Caller);
    if (!Answer)
      return this->recordResult(Call, Answer.error());
    StatementAnswer Result;
    Result.Rows = Answer.value().Rows;
    Result.Token = Context.Token;
    this->recordResult(Call, std::move(Result));
  };
  this->Requests.exchange(Call.Instance, Current->Where.Target,
                          Current->Connection, Request, Call.Request.Timeout,
                          Done);
}

void TransactionHarness::rollback(const TransactionCall &Call) {
  OpenTransaction *Current = this->findAdmitted(Call, true);
  if (!Current)
    return;
  Current->State.onEndSent();
  RollbackRequest Request{.Transaction = Current->State.pin().Id};
  auto Done = [this, Call](const Outcome<MemberAnswer> &Answer) {
    CallerKey Caller{Call.Instance, Call.Connection};
    this->OpenTransactions.at(Caller).State.onEndAnswer(Answer);
    this->release(Caller);
    this->recordResult(Call, StatementAnswer{});
  };
  this->Requests.exchange(Call.Instance, Current->Where.Target,
                          Current->Connection, Request, Call.Request.Timeout,
                          Done);
}

void TransactionHarness::commit(const TransactionCall &Call) {
  OpenTransaction *Current = this->findAdmitted(Call, !Call.Request.Key);
  if (!Current && !Call.Request.Key)
    return;
  std::optional<Route> Pinned;
  if (Current) {
    Current->State.onEndSent();
    Pinned = Current->Where;
  }
  auto Flow = std::make_shared<CommitFlow>(
      this->contextOf(Call), this->TransactionIds[Call.Transaction], Pinned,
      RoutingOptions{});
  this->performCommit(Call, Flow, Flow->begin(this->now()));
}

void TransactionHarness::performCommit(const TransactionCall &Call,
                                       const std::shared_ptr<CommitFlow> &Flow,
                                       CommitAction Action) {
  if (this->KilledInstances.contains(Call.Instance))
    return;
  if (auto *Finished = std::get_if<FinishStatement>(&Action))
    return this->recordResult(Call, Finished->Answer);
  if (auto *Commit = std::get_if<CommitAtMember>(&Action))
    return this->sendCommit(Call, Flow, *Commit);
  if (auto *Confirm = std::get_if<ConfirmWrite>(&Action)) {
    this->Requests.confirm(
        Call.Instance, *Confirm, this->now() + Confirm->Timeout,
        [this, Call, Flow](bool Held) {
          this->performCommit(Call, Flow, Flow->onConfirmed(Held, this->now()));
        });
    return;
  }
  Duration Timeout = std::get<AwaitView>(Action).Timeout;
  this->Requests.queue().scheduleAfter(Timeout, [this, Call, Flow] {
    this->performCommit(
        Call, Flow,
        Flow->onView(this->Requests.view(Call.Instance), this->now()));
  });
}

void TransactionHarness::sendCommit(const TransactionCall &Call,
                                    const std::shared_ptr<CommitFlow> &Flow,
                                    const CommitAtMember &Wanted) {
  CallerKey Caller{Call.Instance, Call.Connection};
  UpstreamId Member = Wanted.Where.Target;
  ConnectionId Connection = Wanted.Pinned
                                ? this->OpenTransactions.at(Caller).Connection
                                : this->acquire(Call.Instance, Member);
  auto Done = [this, Call, Flow, Wanted, Caller, Member,
               Connection](const Outcome<MemberAnswer> &Answer) {
    if (this->KilledInstances.contains(Call.Instance))
      return;
    if (Wanted.Pinned) {
      this->OpenTransactions.at(Caller).State.onEndAnswer(Answer);
      this->release(Caller);
    } else {
      this->returnConnection(Call.Instance, Member, Connection,
                             Answer.hasValue());
    }
    this->performCommit(
        Call, Flow,
        Flow->onMemberOutcome(Answer, this->Requests.view(Call.Instance),
                              this->now()));
  };
  this->Requests.exchange(Call.Instance, Member, Connection, Wanted.Request,
                          Wanted.Timeout, Done);
}

void TransactionHarness::drop(const std::string &Instance,
                              const std::string &Connection) {
  CallerKey Caller{Instance, Connection};
  auto Found = this->OpenTransactions.find(Caller);
  if (Found == this->OpenTransactions.end())
    return;
  Found->second.State.abandon();
  this->release(Caller);
}

void TransactionHarness::kill(const std::string &Instance) {
  this->KilledInstances.insert(Instance);
  std::erase_if(this->OpenTransactions,
                [&](const auto &Each) { return Each.first.first == Instance; });
  for (auto &[Key, Connections] : this->InUse) {
    if (Key.first != Instance)
      continue;
    for (ConnectionId Each : Connections)
      this->Requests.member(Key.second).disconnect(Each);
    Connections.clear();
  }
}

std::string TransactionHarness::outcome(const std::string &Name) const {
  auto Found = this->Results.find(Name);
  if (Found == this->Results.end())
    return "pending";
  return Found->second ? "done"
                       : std::string(toString(Found->second.error().Kind));
}

const StatementAnswer &
TransactionHarness::answer(const std::string &Name) const {
  return this->Results.at(Name).value();
}

} // namespace turmericpitch
