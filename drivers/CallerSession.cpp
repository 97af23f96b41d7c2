#include "drivers/CallerSession.h"

#include "core/DecisionLog.h"
#include "drivers/SessionServer.h"

namespace turmericpitch {

namespace {

/// Bytes of further lines kept while a statement is under way; a caller that
/// sends more without waiting for replies is cut off.
constexpr std::size_t MostLaterBytes = 2 * MaxLineBytes;

/// Before the routes are known nothing says that a database has none.
std::optional<ReplyFailure> refuseOpening(const RouteController &Routes,
                                          std::string_view Database) {
  if (!Routes.loaded())
    return ReplyFailure{.Code = ReplyError::Busy,
                        .UpstreamCode = {},
                        .Text = "this instance is starting; come back after "
                                "1000 ms"};
  if (Routes.route(Database))
    return std::nullopt;
  return ReplyFailure{.Code = ReplyError::DatabaseUnknown,
                      .UpstreamCode = {},
                      .Text = "no route to this database"};
}

} // namespace

CallerSession::CallerSession(SessionServer &Owner,
                             boost::asio::ip::tcp::socket Connected)
    : Owner(Owner), Context(std::make_shared<SessionContext>()),
      IdleTimer(Connected.get_executor()) {
  this->Lines = std::make_shared<LineConnection>(
      std::move(Connected), LineConnectionOptions{.MaximumLine = MaxLineBytes});
}

void CallerSession::start() {
  // The server holds the session; its connection must not.
  std::weak_ptr<CallerSession> Weak = this->weak_from_this();
  this->Lines->start(
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
  return this->UnderWay || this->Context->State.inTransaction();
}

void CallerSession::onLine(std::string_view Line) {
  CallerLine Decoded = decodeCallerLine(Line);
  if (!this->UnderWay)
    return this->process(Decoded);
  if (std::holds_alternative<SessionTermination>(Decoded))
    return this->end();
  this->LaterBytes += Line.size();
  if (this->LaterBytes > MostLaterBytes)
    return this->end();
  this->Later.push_back(std::move(Decoded));
}

void CallerSession::process(const CallerLine &Line) {
  if (const auto *Opening = std::get_if<SessionStartup>(&Line))
    return this->onOpening(*Opening);
  if (const auto *Request = std::get_if<Statement>(&Line))
    return this->onStatement(*Request);
  if (const auto *Malformed = std::get_if<MalformedLine>(&Line))
    return this->onMalformed(*Malformed);
  this->end();
}

void CallerSession::onMalformed(const MalformedLine &Line) {
  this->Lines->send(encodeSessionRefused(
      {.Code = ReplyError::Malformed, .UpstreamCode = {}, .Text = Line.Why}));
  this->Lines->finish();
  this->end();
}

void CallerSession::onOpening(const SessionStartup &Opening) {
  if (this->Opened)
    return this->onMalformed({"the session is open already"});
  if (auto Refusal = refuseOpening(this->Owner.Routes, Opening.Database)) {
    this->Lines->send(encodeSessionRefused(*Refusal));
    this->Lines->finish();
    return this->end();
  }
  this->Opened = true;
  this->Database = Opening.Database;
  this->Context->User = Opening.User;
  this->Lines->send(encodeSessionOpened());
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
  // A running transaction keeps the route that it began on.
  if (Session.State.transaction() != SessionTransaction::Running) {
    const RouteRule *Route = this->Owner.Routes.route(this->Database);
    if (!Route) {
      Session.State.onTransactionFailed();
      StatementReply Refusal;
      Refusal.Failure = ReplyFailure{.Code = ReplyError::DatabaseUnknown,
                                     .UpstreamCode = {},
                                     .Text = "no route to this database"};
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
    Self->UnderWay.reset();
    Self->reply(Reply);
    Self->afterReply();
  };
  this->UnderWay = Call;
  this->Owner.Dispatcher.submit(Call);
}

void CallerSession::reply(const StatementReply &Reply) {
  this->Lines->send(encodeReply(Reply));
  this->watchIdleTransaction();
  if (this->Finishing && !this->busy()) {
    this->Lines->finish();
    this->end();
  }
}

void CallerSession::afterReply() {
  while (!this->UnderWay && !this->Later.empty() && !this->Ended) {
    CallerLine Next = std::move(this->Later.front());
    this->Later.pop_front();
    this->process(Next);
  }
  if (this->Later.empty())
    this->LaterBytes = 0;
}

void CallerSession::watchIdleTransaction() {
  const auto &Table = this->Owner.Routes.table();
  bool Running =
      this->Context->State.transaction() == SessionTransaction::Running;
  if (!Running || !Table || !Table->TransactionIdleTimeout)
    return;
  this->IdleTimer.expires_after(*Table->TransactionIdleTimeout);
  this->IdleTimer.async_wait([Weak = this->weak_from_this()](
                                 const boost::system::error_code &Failure) {
    auto Self = Weak.lock();
    if (Failure || !Self || Self->UnderWay)
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
  this->Lines->finish();
  this->end();
}

void CallerSession::endResting() {
  this->Finishing = true;
  if (this->UnderWay)
    return;
  this->Lines->finish();
  this->end();
}

void CallerSession::end() {
  if (this->Ended)
    return;
  this->Ended = true;
  auto Self = this->shared_from_this();
  this->IdleTimer.cancel();
  if (this->UnderWay) {
    this->Owner.Dispatcher.abandon(this->UnderWay);
    this->UnderWay.reset();
  }
  this->Context->State.onTransactionFailed();
  this->Owner.Dispatcher.rollBack(this->Context);
  this->Lines->finish();
  this->Owner.remove(Self);
}

} // namespace turmericpitch
