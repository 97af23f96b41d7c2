// A client session on its connection.
#pragma once

#include "drivers/LineConnection.h"
#include "drivers/StatementDispatcher.h"
#include "platform/SessionLines.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace turmericpitch {

class SessionServer;

/// Reads the client's lines, runs its statements in order, and replies. Not
/// thread-safe: use only on the thread of the connection's executor.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(SessionServer &Owner, boost::asio::ip::tcp::socket Connected);

  /// Starts reading. Call once.
  void start();
  /// Ends the session once no statement is running and no transaction is open.
  void finishWhenIdle();
  /// Like finishWhenIdle(), but if no statement is running, also ends a session
  /// that has a transaction open; the transaction is rolled back.
  void endIdleTransactions();
  /// Whether a statement is running or a transaction is open.
  [[nodiscard]] bool busy() const;

private:
  void onLine(std::string_view Line);
  void process(const CallerLine &Line);
  void onStartup(const SessionStartup &Startup);
  void onStatement(const Statement &Request);
  void onMalformed(const MalformedLine &Line);
  void forward(const Statement &Request);
  void reply(const StatementReply &Reply);
  void afterReply();
  void startIdleTimer();
  void end();

  SessionServer &Owner;
  std::shared_ptr<LineConnection> Connection;
  std::shared_ptr<SessionContext> Context;
  std::string Database;
  SharedCall CurrentCall;
  /// Lines received while a statement was running.
  std::deque<CallerLine> QueuedLines;
  std::size_t QueuedBytes = 0;
  boost::asio::steady_timer IdleTimer;
  bool Opened = false;
  bool Finishing = false;
  bool Ended = false;
};

} // namespace turmericpitch
