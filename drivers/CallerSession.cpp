#include "drivers/CallerSession.h"

#include "core/DecisionLog.h"
#include "drivers/SessionServer.h"

namespace turmericpitch {

namespace {

/// Maximum size of the lines queued while a statement is running. A client that
/// sends more without waiting for replies is disconnected.
constexpr std::size_t MaxQueuedBytes = 2 * MaxLineBytes;

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
    : Owner(Owner), Context(std::make_shared<SessionContext>()),
      IdleTimer(Connected.get_executor()) {
  this->Connection = std::make_shared<LineConnection>(
      std::move(Connected), LineConnectionOptions{.MaxLineSize = MaxLineBytes});
}

void CallerSession::start() {
  // Weak: the server owns the session, and the session owns the connection.
  std::weak_ptr<CallerSession> Weak = this->weak_from_this();
  this->Connection->start(
      [Weak](std::string_view Line) {
        if (auto Session = Weak.lock())
          Session->onLine(Line);
      },
      [Weak](const std::string &) {
        if (auto Session = Weak.lock())
          Session->end();
      });
}

bool CallerSession::busy() const {
  return this->CurrentCall || this->Context->State.inTransaction();
}

void CallerSession::onLine(std::string_view Line) {
  CallerLine Decoded = decodeCallerLine(Line);
  if (!this->CurrentCall)
    return this->process(Decoded);
  if (std::holds_alternative<SessionTermination>(Decoded))
    return this->end();
  this->QueuedBytes += Line.size();
  if (this->QueuedBytes > MaxQueuedBytes)
    return this->end();
  this->QueuedLines.push_back(std::move(Decoded));
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
      {.Code = ReplyError::Malformed, .UpstreamCode = {}, .Text = Line.Why}));
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
  this->Opened = true;
  this->Database = Startup.Database;
  this->Context->User = Startup.User;
  this->Connection->send(encodeSessionOpened());
}

void CallerSession::onStatement(const Statement &Request) {
  if (!this->Opened)
    return this->onMalformed({"the session is not open"});
  this->IdleTimer.cancel();
  auto Local = this->Context->State.answerLocally(Request);
  if (!Local)
    return this->forward(Request);
  this->reply(*Local);
}

void CallerSession::forward(const Statement &Request) {
  SessionContext &Session = *this->Context;
  if (Request.Kind == StatementKind::Rollback) {
    Session.State.onTransactionEnded();
    this->Owner.Dispatcher.rollBack(this->Context);
    return this->reply(StatementReply{});
  }
  // A running transaction keeps the route that it was started on.
  if (Session.State.transaction() != SessionTransaction::Running) {
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
    Session.Route = *Route;
  }
  TimePoint Now = BootClock().now();
  auto Call = std::make_shared<StatementCall>(this->IdleTimer.get_executor());
  Call->Session = this->Context;
  Call->Request = Request;
  Call->Terms = {.ArrivedAt = Now,
                 .Goal = Now + Session.Route.LatencyGoal,
                 .Deadline = Now + Session.Route.StatementTimeout,
                 .Priority = Session.Route.Priority};
  Call->OnReply = [Weak = this->weak_from_this()](const StatementReply &Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->CurrentCall.reset();
    Self->reply(Reply);
    Self->afterReply();
  };
  this->CurrentCall = Call;
  this->Owner.Dispatcher.submit(Call);
}

void CallerSession::reply(const StatementReply &Reply) {
  this->Connection->send(encodeReply(Reply));
  this->startIdleTimer();
  if (this->Finishing && !this->busy()) {
    this->Connection->finish();
    this->end();
  }
}

void CallerSession::afterReply() {
  while (!this->CurrentCall && !this->QueuedLines.empty() && !this->Ended) {
    CallerLine Next = std::move(this->QueuedLines.front());
    this->QueuedLines.pop_front();
    this->process(Next);
  }
  if (this->QueuedLines.empty())
    this->QueuedBytes = 0;
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
    if (Failure || !Self || Self->CurrentCall)
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
  if (this->CurrentCall)
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
    this->CurrentCall.reset();
  }
  this->Context->State.onTransactionFailed();
  this->Owner.Dispatcher.rollBack(this->Context);
  this->Connection->finish();
  this->Owner.remove(Self);
}

} // namespace turmericpitch
