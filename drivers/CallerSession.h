// A client session on its connection.
#pragma once

#include "configuration/AccountDirectory.h"
#include "drivers/LineConnection.h"
#include "drivers/StatementDispatcher.h"
#include "limits/LimitDecision.h"
#include "platform/SessionLines.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace turmericpitch {

class SessionServer;

/// Reads the client's lines, runs its statements in order, and replies.
///
/// Its credential is checked at the startup and against each configuration
/// version that comes into force. If it no longer holds, the session ends:
/// at once if it is idle; after a running statement was answered; in an open
/// transaction, which is rolled back, with the refusal of the next statement.
///
/// Not thread-safe: use only on the thread of the connection's executor.
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
  /// Answers a running statement with an error that tells whether it may have
  /// taken effect, and ends the session.
  void answerRunning();
  /// Whether a statement is running or queued, or a transaction is open.
  [[nodiscard]] bool busy() const;
  /// Checks the session's credential against the configuration in force.
  void onConfigurationApplied();

private:
  void onLine(std::string_view Line);
  void onConnectionEnded(const std::string &Reason);
  void process(const CallerLine &Line);
  void onStartup(const SessionStartup &Startup);
  void onStatement(const Statement &Request);
  void onMalformed(const MalformedLine &Line);
  void forward(const Statement &Request);
  /// Asks the gate for the admission of the operation that Request starts.
  void admit(const Statement &Request);
  void onAdmission(const Statement &Request, TimePoint ArrivedAt,
                   const LimitDecision &Decision);
  /// Passes the statement to the dispatcher.
  void submit(const Statement &Request, TimePoint ArrivedAt);
  /// Returns the admission of the current call's operation if none of it has
  /// run.
  void refundUnlessRun(const StatementCall &Call);
  /// Whether the credential no longer holds. Checks it if the configuration
  /// has changed since the last check.
  bool checkCredential(std::string_view RequestId);
  /// Ends a session whose credential no longer holds, or the transaction that
  /// it has open. Precondition: no statement is running.
  void revoke();
  /// Refuses a statement because of the credential and ends the session.
  void refuseRevoked(const Statement &Request);
  /// Whether received lines have to wait.
  [[nodiscard]] bool waiting() const {
    return this->CurrentCall || this->AdmissionPending;
  }
  /// The same, or the caller has not taken enough of the earlier replies.
  [[nodiscard]] bool blocked() const;
  /// Keeps a line until the earlier ones are answered.
  void queue(std::string_view Line);
  /// Takes the next queued line.
  std::string takeQueued();
  /// Refuses a statement that there is no memory for.
  void refuseForMemory(const Statement &Request);
  /// Refuses a statement that can't be answered before the process ends.
  void refuseStopping(const Statement &Request);
  [[nodiscard]] StatementReply refusal(const Statement &Request,
                                       ReplyError Code, std::string Text);
  /// Sends a reply to the caller.
  void send(const StatementReply &Reply);
  void reply(const StatementReply &Reply);
  /// Processes the queued lines until one has to wait for an answer.
  void afterReply();
  void startIdleTimer();
  void end();

  SessionServer &Owner;
  std::shared_ptr<MemoryShare> Memory;
  std::shared_ptr<LineConnection> Connection;
  std::shared_ptr<SessionContext> Context;
  std::string Database;
  PresentedCredential Credential;
  /// Access of the session's route when it was last configured.
  RouteAccess Access = RouteAccess::Authenticated;
  /// The configuration version that the credential was last checked against.
  std::uint64_t CheckedVersion = 0;
  SharedCall CurrentCall;
  /// The admission of the current call, if the call started an operation.
  std::optional<OperationGrant> Grant;
  bool AdmissionPending = false;
  /// Lines received while a statement was running.
  std::deque<std::string> QueuedLines;
  /// Their bytes, and those of the queue's entries.
  std::size_t QueuedBytes = 0;
  /// afterReply() is running.
  bool ProcessingQueue = false;
  boost::asio::steady_timer IdleTimer;
  bool Opened = false;
  bool Revoked = false;
  bool Finishing = false;
  bool Ended = false;
};

} // namespace turmericpitch
