// Accepts and serves client sessions on one address.
#pragma once

#include "configuration/RouteTable.h"
#include "drivers/LineConnection.h"
#include "drivers/StatementDispatcher.h"
#include "limits/LimitDecision.h"
#include "limits/MemoryBudget.h"
#include "membership/StopSchedule.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace turmericpitch {

class CallerSession;

struct SessionServerOptions {
  Endpoint Listen;
  /// Listen backlog: connections waiting to be accepted. Sized for a burst of
  /// reconnects.
  int Backlog = 1024;
  /// Maximum number of concurrent sessions; further connections are closed.
  std::size_t MaximumSessions = 5000;
  MemoryBudgetOptions Memory = {};
  /// Admits the operations of sessions that belong to an account.
  OperationGate Gate = {};
};

/// Not thread-safe: use only on the thread of its executor.
class SessionServer {
public:
  SessionServer(boost::asio::any_io_executor Exec, SessionServerOptions Options,
                const RouteController &Routes, StatementDispatcher &Dispatcher);
  ~SessionServer();
  SessionServer(const SessionServer &) = delete;
  SessionServer &operator=(const SessionServer &) = delete;

  /// Starts to listen and accept. Errors: Unavailable if the address can't be
  /// bound.
  Status start();
  /// Refuses the sessions and statements that can't be served before the
  /// process ends.
  void stopAt(StopSchedule Schedule) { this->Stop = Schedule; }
  /// Answers each running statement with an error that tells whether it may
  /// have taken effect, and ends all sessions. For the end of the process.
  void answerRunning();
  /// Starts draining: ends sessions without a running statement or an open
  /// transaction, and the others once these have ended.
  void closeIdle();
  /// Ends sessions without a running statement; their open transactions are
  /// rolled back. The other sessions end once they are idle.
  void endIdleTransactions();
  /// Call when a new configuration is in force: ends the sessions whose
  /// credential no longer holds.
  void onConfigurationApplied();
  /// Stops accepting connections.
  void stopAccepting();
  [[nodiscard]] std::size_t sessions() const { return this->Sessions.size(); }
  [[nodiscard]] std::size_t maximumSessions() const {
    return this->Options.MaximumSessions;
  }
  [[nodiscard]] const MemoryBudget &memory() const { return *this->Memory; }
  /// Number of sessions with a running statement or an open transaction.
  [[nodiscard]] std::size_t busySessions() const;

private:
  friend class CallerSession;
  void accept();
  /// Suspends accepting until a session has ended, for AcceptRetryInterval at
  /// the longest.
  void acceptLater();
  void resumeAccepting();
  void onAccepted(boost::asio::ip::tcp::socket Connected);
  void remove(const std::shared_ptr<CallerSession> &Session);

  boost::asio::any_io_executor Exec;
  SessionServerOptions Options;
  const RouteController &Routes;
  StatementDispatcher &Dispatcher;
  boost::asio::ip::tcp::acceptor Acceptor;
  /// Shared with the connections, which outlive their sessions.
  std::shared_ptr<MemoryBudget> Memory;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  boost::asio::steady_timer AcceptTimer;
  bool AcceptSuspended = false;
  bool Draining = false;
  std::optional<StopSchedule> Stop;
};

} // namespace turmericpitch
