#include "drivers/SessionServer.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "drivers/AcceptRetry.h"
#include "drivers/CallerSession.h"

#include <boost/asio/post.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

SessionServer::SessionServer(asio::any_io_executor Exec,
                             SessionServerOptions Options,
                             const RouteController &Routes,
                             StatementDispatcher &Dispatcher)
    : Exec(Exec), Options(std::move(Options)), Routes(Routes),
      Dispatcher(Dispatcher), Acceptor(Exec),
      Memory(std::make_shared<MemoryBudget>(this->Options.Memory)),
      AcceptTimer(Exec) {}

SessionServer::~SessionServer() = default;

Status SessionServer::start() {
  ErrorCode Failure;
  asio::ip::tcp::endpoint Where(
      asio::ip::make_address(this->Options.Listen.Address, Failure),
      this->Options.Listen.Port);
  if (!Failure)
    this->Acceptor.open(Where.protocol(), Failure);
  if (!Failure)
    this->Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    this->Acceptor.bind(Where, Failure);
  if (!Failure)
    this->Acceptor.listen(this->Options.Backlog, Failure);
  if (Failure)
    return Error{.Kind = ErrorKind::Unavailable,
                 .Message = "can't listen on " +
                            toString(this->Options.Listen) + ": " +
                            Failure.message(),
                 .Remedy = "free the address or configure another one"};
  this->accept();
  return std::monostate{};
}

void SessionServer::accept() {
  this->Acceptor.async_accept(
      [this](const ErrorCode &Failure, asio::ip::tcp::socket Connected) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (!Failure) {
          this->onAccepted(std::move(Connected));
          return this->accept();
        }
        writeWarning("event=accept_failed sessions=" +
                     std::to_string(this->Sessions.size()) +
                     " reason=" + logValue(Failure.message()));
        this->acceptLater();
      });
}

void SessionServer::acceptLater() {
  processMetrics().count("accepts_suspended_total", "failed");
  this->AcceptSuspended = true;
  this->AcceptTimer.expires_after(AcceptRetryInterval);
  this->AcceptTimer.async_wait([this](const ErrorCode &Failure) {
    if (!Failure)
      this->resumeAccepting();
  });
}

void SessionServer::resumeAccepting() {
  if (!std::exchange(this->AcceptSuspended, false))
    return;
  this->AcceptTimer.cancel();
  if (this->Acceptor.is_open())
    this->accept();
}

void SessionServer::onAccepted(asio::ip::tcp::socket Connected) {
  if (this->Sessions.size() >= this->Options.MaximumSessions) {
    writeWarning("event=session_refused reason=\"session limit reached\"");
    return;
  }
  auto Session = std::make_shared<CallerSession>(*this, std::move(Connected));
  this->Sessions.insert(Session);
  Session->start();
  // Sessions accepted before the load balancer detects the drain are served; a
  // later closeIdle() ends them once they are idle.
  if (this->Draining)
    return;
}

void SessionServer::remove(const std::shared_ptr<CallerSession> &Session) {
  // Called by the session itself, so it must not be destroyed right away.
  asio::post(this->Exec, [this, Session] {
    this->Sessions.erase(Session);
    this->resumeAccepting();
  });
}

void SessionServer::closeIdle() {
  this->Draining = true;
  auto All = this->Sessions;
  for (const auto &Session : All)
    Session->finishWhenIdle();
}

void SessionServer::endIdleTransactions() {
  auto All = this->Sessions;
  for (const auto &Session : All)
    Session->endIdleTransactions();
}

void SessionServer::onConfigurationApplied() {
  // A session that ends is removed later, so the set doesn't change here.
  for (const auto &Session : this->Sessions)
    Session->onConfigurationApplied();
}

void SessionServer::stopAccepting() {
  ErrorCode Ignored;
  this->Acceptor.close(Ignored);
  this->AcceptTimer.cancel();
}

void SessionServer::answerRunning() {
  auto All = this->Sessions;
  for (const auto &Session : All)
    Session->answerRunning();
}

std::size_t SessionServer::busySessions() const {
  std::size_t Busy = 0;
  for (const auto &Session : this->Sessions)
    Busy += Session->busy() ? 1 : 0;
  return Busy;
}

} // namespace turmericpitch
