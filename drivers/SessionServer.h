// Serves callers' sessions on one address.
#pragma once

#include "configuration/RouteTable.h"
#include "drivers/LineConnection.h"
#include "drivers/StatementDispatcher.h"

#include <boost/asio/ip/tcp.hpp>
#include <set>

namespace turmericpitch {

class CallerSession;

struct SessionServerOptions {
  Endpoint Listen;
  /// Connections waiting to be accepted; a burst of reconnects fits.
  int Backlog = 1024;
  /// Sessions held at once.
  std::size_t MaximumSessions = 5000;
};

/// Belongs to one thread's executor.
class SessionServer {
public:
  SessionServer(boost::asio::any_io_executor Exec, SessionServerOptions Options,
                const RouteController &Routes, StatementDispatcher &Dispatcher);
  ~SessionServer();
  SessionServer(const SessionServer &) = delete;
  SessionServer &operator=(const SessionServer &) = delete;

  /// Listens and begins to accept. Errors: Unavailable if the address can't
  /// be bound.
  Status start();
  /// Ends sessions that have no work open; others end with their work.
  void closeIdle();
  /// Rolls back open transactions that rest between two statements and ends
  /// their sessions.
  void endIdleTransactions();
  /// Takes no new sessions.
  void stopAccepting();
  [[nodiscard]] std::size_t sessions() const { return this->Sessions.size(); }
  /// Sessions with a statement under way or a transaction open.
  [[nodiscard]] std::size_t busySessions() const;

private:
  friend class CallerSession;
  void accept();
  void onAccepted(boost::asio::ip::tcp::socket Connected);
  void remove(const std::shared_ptr<CallerSession> &Session);

  boost::asio::any_io_executor Exec;
  SessionServerOptions Options;
  const RouteController &Routes;
  StatementDispatcher &Dispatcher;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  bool Draining = false;
};

} // namespace turmericpitch
