#include "drivers/CallerSession.h"

#include "core/DecisionLog.h"
#include "drivers/SessionServer.h"

#include <boost/asio/post.hpp>

namespace turmericpitch {

namespace {

/// Size of the queued lines from which on nothing more is read, until all of
/// them are processed.
constexpr std::size_t MaxQueuedBytes = 2 * MaxLineBytes;
/// Size of the replies that a caller hasn't taken, from which on no further
/// line of it is processed.
constexpr std::size_t MaxUntakenBytes = std::size_t{64} * 1024;

/// Bytes of a statement while it runs: its text, and the parts of it.
std::size_t runningBytes(const Statement &Request) {
  return Request.Id.size() + Request.Text.size() + Request.Name.size() +
         Request.Operand.size();
}

std::int64_t inMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

/// A line on a caller that was refused under the configuration in force.
DecisionLine refusalLine(std::string_view Kind, const RouteController &Routes,
                         std::string_view Cause) {
  DecisionLine Line(Kind);
  Line.field("cause", Cause)
      .field("version", Routes.version())
      .field("version_age_ms",
             inMilliseconds(BootClock().now() - Routes.appliedAt()));
  return Line;
}

/// The answer to a statement that the process doesn't wait for any more. Call:
/// null if it hasn't been passed to the dispatcher.
ReplyFailure outcomeAtStop(const StatementCall *Call) {
  if (!Call || Call->PossibleRuns == 0)
    return {.Code = ReplyError::Busy,
            .UpstreamCode = {},
            .Text = "this instance is stopping; not run"};
  if (Call->LastingEffect)
    return {.Code = ReplyError::InDoubt,
            .UpstreamCode = {},
            .Text = "this instance is stopping; the statement may have taken "
                    "effect"};
  return {.Code = ReplyError::Failed,
          .UpstreamCode = {},
          .Text = "this instance is stopping; the statement had no lasting "
                  "effect"};
}

std::string_view explain(LimitRefusal Refusal) {
  return Refusal == LimitRefusal::LimitReached
             ? "the account's operation limit is reached"
             : "this instance has no share of the account's operation limit";
}

/// Why a session can't be opened; empty if it can. Before the routes are
/// loaded, the failure asks the client to retry, as the database may have a
/// route.
std::optional<ReplyFailure> startupRefusal(const RouteController &Routes,
                                           std::string_view Database) {
  if (!Routes.loaded())
    return ReplyFailure{.Code = ReplyError::Busy,
                        .UpstreamCode = {},
                        .Text = "this instance is starting; retry after "
                                "1000 ms"};
  if (Routes.route(Database))
    return std::nullopt;
  return ReplyFailure{.Code = ReplyError::DatabaseUnknown,
                      .UpstreamCode = {},
                      .Text = "no route for this database"};
}

} // namespace

CallerSession::CallerSession(SessionServer &Owner,
                             boost::asio::ip::tcp::socket Connected)
    : Owner(Owner), Memory(std::make_shared<MemoryShare>(Owner.Memory)),
      Context(std::make_shared<SessionContext>()),
      IdleTimer(Connected.get_executor()) {
  this->Connection = std::make_shared<LineConnection>(
      std::move(Connected), LineConnectionOptions{.MaxLineSize = MaxLineBytes,
                                                  .Memory = this->Memory});
}

void CallerSession::start() {
  // Weak: the server owns the session, and the session owns the connection.
  std::weak_ptr<CallerSession> Weak = this->weak_from_this();
  this->Connection->onDrained([Weak] {
    if (auto Session = Weak.lock())
      Session->afterReply();
  });
  // Another session is in the middle of its work when this one gives way. The
  // connection may be all that is left of it.
  this->Memory->onReclaimed(
      [Weak, Lines = std::weak_ptr<LineConnection>(this->Connection),
       Exec = this->IdleTimer.get_executor()] {
        boost::asio::post(Exec, [Weak, Lines] {
          if (auto Session = Weak.lock())
            Session->onConnectionEnded("the session holds most of the memory");
          if (auto Connection = Lines.lock())
            Connection->close();
        });
      });
  this->Connection->start(
      [Weak](std::string_view Line) {
        if (auto Session = Weak.lock())
          Session->onLine(Line);
      },
      [Weak](const std::string &Reason) {
        if (auto Session = Weak.lock())
          Session->onConnectionEnded(Reason);
      });
}

void CallerSession::onConnectionEnded(const std::string &Reason) {
  if (this->Memory->exhausted() && !this->Ended) {
    DecisionLine Line("end_session");
    Line.field("cause", "memory").field("reason", Reason);
    for (std::size_t Kind = 0; Kind < SessionMemoryKinds; ++Kind) {
      auto Each = static_cast<SessionMemory>(Kind);
      Line.field(toString(Each), this->Memory->held(Each));
    }
    writeDecision(
        Line.field("account", this->Context->Account.Value)
            .field("shared_in_use", this->Owner.Memory->sharedInUse()));
  }
  this->end();
}

bool CallerSession::busy() const {
  return this->waiting() || !this->QueuedLines.empty() ||
         this->Context->State.inTransaction();
}

void CallerSession::onLine(std::string_view Line) {
  CallerLine Decoded = decodeCallerLine(Line);
  if (!this->blocked())
    return this->process(Decoded);
  if (std::holds_alternative<SessionTermination>(Decoded))
    return this->end();
  this->queue(Line);
}

bool CallerSession::blocked() const {
  return this->waiting() || !this->QueuedLines.empty() ||
         this->Connection->unsent() > MaxUntakenBytes;
}

void CallerSession::queue(std::string_view Line) {
  std::size_t Bytes = this->QueuedBytes + sizeof(std::string) + Line.size();
  if (!this->Memory->hold(SessionMemory::Queue, Bytes)) {
    this->onConnectionEnded("no memory for more queued lines");
    return this->Connection->close();
  }
  this->QueuedBytes = Bytes;
  this->QueuedLines.emplace_back(Line);
  if (this->QueuedBytes > MaxQueuedBytes)
    this->Connection->pauseReading();
}

std::string CallerSession::takeQueued() {
  std::string Next = std::move(this->QueuedLines.front());
  this->QueuedLines.pop_front();
  this->QueuedBytes -= sizeof(std::string) + Next.size();
  this->Memory->shrink(SessionMemory::Queue, this->QueuedBytes);
  return Next;
}

void CallerSession::process(const CallerLine &Line) {
  if (const auto *Startup = std::get_if<SessionStartup>(&Line))
    return this->onStartup(*Startup);
  if (const auto *Request = std::get_if<Statement>(&Line))
    return this->onStatement(*Request);
  if (const auto *Malformed = std::get_if<MalformedLine>(&Line))
    return this->onMalformed(*Malformed);
  this->end();
}

void CallerSession::onMalformed(const MalformedLine &Line) {
  this->Connection->send(encodeSessionRefused(
      {.Code = Line.Code, .UpstreamCode = {}, .Text = Line.Why}));
  this->Connection->finish();
  this->end();
}

void CallerSession::onStartup(const SessionStartup &Startup) {
  if (this->Opened)
    return this->onMalformed({"the session is already open"});
  if (auto Refusal = startupRefusal(this->Owner.Routes, Startup.Database)) {
    this->Connection->send(encodeSessionRefused(*Refusal));
    this->Connection->finish();
    return this->end();
  }
  const RouteController &Routes = this->Owner.Routes;
  const RouteRule &Route = *Routes.route(Startup.Database);
  if (this->Owner.Stop &&
      !this->Owner.Stop->takes(BootClock().now(), Route.StatementTimeout)) {
    writeDecision(refusalLine("refuse_session", Routes, "stopping")
                      .field("route", Route.Name));
    this->Connection->send(encodeSessionRefused(
        {.Code = ReplyError::Busy,
         .UpstreamCode = {},
         .Text = "this instance is stopping; connect to another one"}));
    this->Connection->finish();
    return this->end();
  }
  AccountDecision Caller =
      Routes.accounts().decide(Route.Access, Startup.Credential);
  if (Caller.Refusal) {
    writeDecision(
        refusalLine("refuse_session", Routes, toString(*Caller.Refusal))
            .field("route", Route.Name));
    this->Connection->send(encodeSessionRefused(
        {.Code = ReplyError::Unauthenticated,
         .UpstreamCode = {},
         .Text = "no valid credential for this database"}));
    this->Connection->finish();
    return this->end();
  }
  this->Opened = true;
  this->Database = Startup.Database;
  this->Credential = Startup.Credential;
  this->Access = Route.Access;
  this->CheckedVersion = Routes.version();
  this->Context->Account = Caller.Account;
  this->Connection->send(encodeSessionOpened());
}

void CallerSession::onStatement(const Statement &Request) {
  if (!this->Opened)
    return this->onMalformed({"the session is not open"});
  this->IdleTimer.cancel();
  if (this->checkCredential(Request.Id))
    return this->refuseRevoked(Request);
  SessionState &State = this->Context->State;
  std::size_t StateBytes = State.bytesAfter(Request);
  if (StateBytes > State.bytes() &&
      !this->Memory->hold(SessionMemory::State, StateBytes))
    return this->refuseForMemory(Request);
  auto Local = State.answerLocally(Request);
  this->Memory->shrink(SessionMemory::State, State.bytes());
  if (!Local)
    return this->forward(Request);
  this->reply(*Local);
}

void CallerSession::refuseForMemory(const Statement &Request) {
  writeDecision(refusalLine("refuse_operation", this->Owner.Routes, "memory")
                    .field("request", Request.Id)
                    .field("account", this->Context->Account.Value)
                    .field("shared_in_use", this->Owner.Memory->sharedInUse()));
  bool Running =
      this->Context->State.transaction() == SessionTransaction::Running;
  StatementReply Refusal =
      this->refusal(Request, ReplyError::Busy,
                    "the memory for sessions is used up; not run, retry after "
                    "1000 ms");
  if (Running)
    this->Owner.Dispatcher.rollBack(this->Context);
  this->reply(Refusal);
}

void CallerSession::forward(const Statement &Request) {
  SessionContext &Session = *this->Context;
  if (!this->Memory->hold(SessionMemory::Statement, runningBytes(Request)))
    return this->refuseForMemory(Request);
  if (Request.Kind == StatementKind::Rollback) {
    Session.State.onTransactionEnded();
    this->Owner.Dispatcher.rollBack(this->Context);
    return this->reply(StatementReply{});
  }
  // A running transaction keeps the route that it was started on.
  if (Session.State.transaction() == SessionTransaction::Running)
    return this->submit(Request, BootClock().now());
  const RouteRule *Route = this->Owner.Routes.route(this->Database);
  if (!Route) {
    Session.State.onTransactionFailed();
    StatementReply Refusal;
    Refusal.Failure = ReplyFailure{.Code = ReplyError::DatabaseUnknown,
                                   .UpstreamCode = {},
                                   .Text = "no route for this database"};
    Refusal.Transaction = Session.State.transactionStatus();
    return this->reply(Refusal);
  }
  if (this->Owner.Stop &&
      !this->Owner.Stop->takes(BootClock().now(), Route->StatementTimeout))
    return this->refuseStopping(Request);
  Session.Route = *Route;
  this->admit(Request);
}

void CallerSession::admit(const Statement &Request) {
  const OperationGate &Gate = this->Owner.Options.Gate;
  TimePoint ArrivedAt = BootClock().now();
  if (!Gate.Admit || this->Context->Account.Value.empty())
    return this->submit(Request, ArrivedAt);
  this->AdmissionPending = true;
  Gate.Admit(this->Context->Account,
             [Weak = this->weak_from_this(), Request, ArrivedAt,
              Refund = Gate.Refund](const LimitDecision &Decision) {
               auto Self = Weak.lock();
               if (Self && !Self->Ended)
                 return Self->onAdmission(Request, ArrivedAt, Decision);
               if (Decision.Admitted && Refund)
                 Refund(Decision.Grant);
             });
}

void CallerSession::onAdmission(const Statement &Request, TimePoint ArrivedAt,
                                const LimitDecision &Decision) {
  const OperationGate &Gate = this->Owner.Options.Gate;
  this->AdmissionPending = false;
  if (this->checkCredential(Request.Id)) {
    if (Decision.Admitted && Gate.Refund)
      Gate.Refund(Decision.Grant);
    return this->refuseRevoked(Request);
  }
  if (Decision.Admitted) {
    this->Grant = Decision.Grant;
    return this->submit(Request, ArrivedAt);
  }
  std::int64_t RetryAfter = inMilliseconds(Decision.RetryAfter);
  writeDecision(refusalLine("refuse_operation", this->Owner.Routes,
                            toString(Decision.Refusal))
                    .field("request", Request.Id)
                    .field("account", this->Context->Account.Value)
                    .field("route", this->Context->Route.Name)
                    .field("retry_after_ms", RetryAfter));
  this->reply(this->refusal(Request, ReplyError::Busy,
                            std::string(explain(Decision.Refusal)) +
                                "; not run, retry after " +
                                std::to_string(RetryAfter) + " ms"));
  this->afterReply();
}

void CallerSession::refuseStopping(const Statement &Request) {
  writeDecision(refusalLine("refuse_operation", this->Owner.Routes, "stopping")
                    .field("request", Request.Id)
                    .field("account", this->Context->Account.Value)
                    .field("sessions", this->Owner.sessions()));
  this->reply(this->refusal(Request, ReplyError::Busy,
                            "this instance is stopping; not run, connect to "
                            "another one"));
}

void CallerSession::answerRunning() {
  if (this->Ended)
    return;
  if (this->waiting()) {
    StatementReply Reply;
    Reply.Failure = outcomeAtStop(this->CurrentCall.get());
    this->Context->State.onTransactionEnded();
    this->send(Reply);
  }
  this->Connection->finish();
  this->end();
}

StatementReply CallerSession::refusal(const Statement &Request, ReplyError Code,
                                      std::string Text) {
  SessionState &State = this->Context->State;
  if (Request.Kind == StatementKind::Commit)
    State.onTransactionEnded();
  else
    State.onTransactionFailed();
  StatementReply Refusal;
  Refusal.Failure =
      ReplyFailure{.Code = Code, .UpstreamCode = {}, .Text = std::move(Text)};
  Refusal.Transaction = State.transactionStatus();
  return Refusal;
}

void CallerSession::submit(const Statement &Request, TimePoint ArrivedAt) {
  const SessionContext &Session = *this->Context;
  auto Call = std::make_shared<StatementCall>(this->IdleTimer.get_executor());
  Call->Session = this->Context;
  Call->Request = Request;
  Call->Terms = {.ArrivedAt = ArrivedAt,
                 .Goal = ArrivedAt + Session.Route.LatencyGoal,
                 .Deadline = ArrivedAt + Session.Route.StatementTimeout,
                 .Priority = Session.Route.Priority};
  Call->OnReply = [Weak = this->weak_from_this()](const StatementReply &Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    auto Ended = std::move(Self->CurrentCall);
    Self->CurrentCall.reset();
    if (Reply.Failure && Ended)
      Self->refundUnlessRun(*Ended);
    Self->Grant.reset();
    Self->reply(Reply);
    Self->afterReply();
  };
  this->CurrentCall = Call;
  this->Owner.Dispatcher.submit(Call);
}

void CallerSession::send(const StatementReply &Reply) {
  auto Lines = encodeReply(Reply);
  if (Lines)
    return this->Connection->send(Lines.value());
  // A part of a reply would be taken for the answer to another statement.
  writeWarning("event=reply_not_encoded reason=" +
               logValue(Lines.error().Message));
  this->Connection->finish();
}

void CallerSession::reply(const StatementReply &Reply) {
  this->Memory->shrink(SessionMemory::Statement, 0);
  this->send(Reply);
  this->startIdleTimer();
  if (this->Finishing && !this->busy()) {
    this->Connection->finish();
    this->end();
  }
}

void CallerSession::afterReply() {
  // Called from its own loop for an operation that was decided or answered at
  // once. The loop goes on, instead of one more on the stack for each line.
  if (this->ProcessingQueue)
    return;
  this->ProcessingQueue = true;
  auto MayProcess = [this] {
    return !this->waiting() && !this->QueuedLines.empty() && !this->Ended &&
           this->Connection->unsent() <= MaxUntakenBytes;
  };
  while (MayProcess())
    this->process(decodeCallerLine(this->takeQueued()));
  this->ProcessingQueue = false;
  if (this->QueuedLines.empty())
    this->Connection->resumeReading();
  if (this->Revoked && !this->waiting() && !this->Ended)
    this->revoke();
}

void CallerSession::refundUnlessRun(const StatementCall &Call) {
  const OperationGate &Gate = this->Owner.Options.Gate;
  if (this->Grant && Call.PossibleRuns == 0 && Gate.Refund)
    Gate.Refund(*this->Grant);
  this->Grant.reset();
}

void CallerSession::onConfigurationApplied() {
  if (!this->Opened || this->Ended || this->Revoked)
    return;
  if (this->checkCredential("") && !this->waiting())
    this->revoke();
}

bool CallerSession::checkCredential(std::string_view RequestId) {
  const RouteController &Routes = this->Owner.Routes;
  if (this->Revoked || this->CheckedVersion == Routes.version())
    return this->Revoked;
  this->CheckedVersion = Routes.version();
  // The credential of a session whose route is gone is checked as before, as
  // its transaction may still run.
  if (const RouteRule *Route = Routes.route(this->Database))
    this->Access = Route->Access;
  auto Refusal = Routes.accounts().recheck(this->Access, this->Credential,
                                           this->Context->Account);
  if (!Refusal)
    return false;
  this->Revoked = true;
  DecisionLine Line = refusalLine("end_session", Routes, toString(*Refusal));
  if (!RequestId.empty())
    Line.field("request", RequestId);
  writeDecision(
      Line.field("account", this->Context->Account.Value)
          .field("in_transaction", this->Context->State.inTransaction() ? 1 : 0)
          .field("running", this->waiting() ? 1 : 0));
  return true;
}

void CallerSession::revoke() {
  if (this->Context->State.inTransaction()) {
    this->IdleTimer.cancel();
    this->Context->State.onTransactionFailed();
    return this->Owner.Dispatcher.rollBack(this->Context);
  }
  this->Connection->finish();
  this->end();
}

void CallerSession::refuseRevoked(const Statement &Request) {
  SessionState &State = this->Context->State;
  bool RollsBack =
      State.inTransaction() && Request.Kind == StatementKind::Rollback;
  State.onTransactionEnded();
  StatementReply Reply;
  // Not the error of a refused startup, which would not promise that nothing
  // is kept.
  if (!RollsBack)
    Reply.Failure = ReplyFailure{
        .Code = ReplyError::Aborted,
        .UpstreamCode = {},
        .Text = "the session's credential is no longer valid; not run, "
                "nothing of its transaction is kept"};
  this->send(Reply);
  this->Connection->finish();
  this->end();
}

void CallerSession::startIdleTimer() {
  const auto &Table = this->Owner.Routes.table();
  bool Running =
      this->Context->State.transaction() == SessionTransaction::Running;
  if (!Running || !Table || !Table->TransactionIdleTimeout)
    return;
  this->IdleTimer.expires_after(*Table->TransactionIdleTimeout);
  this->IdleTimer.async_wait([Weak = this->weak_from_this()](
                                 const boost::system::error_code &Failure) {
    auto Self = Weak.lock();
    if (Failure || !Self || Self->waiting())
      return;
    writeDecision(DecisionLine("end_idle_transaction")
                      .field("route", Self->Context->Route.Name));
    Self->Context->State.onTransactionFailed();
    Self->Owner.Dispatcher.rollBack(Self->Context);
  });
}

void CallerSession::finishWhenIdle() {
  this->Finishing = true;
  if (this->busy())
    return;
  this->Connection->finish();
  this->end();
}

void CallerSession::endIdleTransactions() {
  this->Finishing = true;
  if (this->waiting())
    return;
  this->Connection->finish();
  this->end();
}

void CallerSession::end() {
  if (this->Ended)
    return;
  this->Ended = true;
  auto Self = this->shared_from_this();
  this->IdleTimer.cancel();
  if (this->CurrentCall) {
    this->Owner.Dispatcher.abandon(this->CurrentCall);
    this->refundUnlessRun(*this->CurrentCall);
    this->CurrentCall.reset();
  }
  // What the caller hasn't taken yet stays with the connection.
  this->QueuedLines.clear();
  for (SessionMemory Kind :
       {SessionMemory::Queue, SessionMemory::Statement, SessionMemory::State})
    this->Memory->shrink(Kind, 0);
  this->Context->State.onTransactionFailed();
  this->Owner.Dispatcher.rollBack(this->Context);
  this->Connection->finish();
  this->Owner.remove(Self);
}

} // namespace turmericpitch
