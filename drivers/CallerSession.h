// One caller's session over its connection.
#pragma once

#include "drivers/LineConnection.h"
#include "drivers/StatementDispatcher.h"
#include "platform/SessionLines.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace turmericpitch {

class SessionServer;

/// Belongs to one thread's executor.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(SessionServer &Owner, boost::asio::ip::tcp::socket Connected);

  void start();
  /// Ends the session if no work of it is open, else once it is done.
  void finishWhenIdle();
  /// Rolls back a transaction that rests between two statements and ends.
  void endIdleTransactions();
  [[nodiscard]] bool busy() const;

private:
  void onLine(std::string_view Line);
  void process(const CallerLine &Line);
  void onStartup(const SessionStartup &Opening);
  void onStatement(const Statement &Request);
  void onMalformed(const MalformedLine &Line);
  void forward(const Statement &Request);
  void reply(const StatementReply &Reply);
  void afterReply();
  void startIdleTimer();
  void end();

  SessionServer &Owner;
  std::shared_ptr<LineConnection> Lines;
  std::shared_ptr<SessionContext> Context;
  std::string Database;
  SharedCall CurrentCall;
  /// Lines that came while a statement was under way.
  std::deque<CallerLine> QueuedLines;
  std::size_t QueuedBytes = 0;
  boost::asio::steady_timer IdleTimer;
  bool Opened = false;
  bool Finishing = false;
  bool Ended = false;
};

} // namespace turmericpitch
