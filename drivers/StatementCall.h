// A client statement being processed by the proxy.
#pragma once

#include "configuration/RouteTable.h"
#include "drivers/MemberLink.h"
#include "drivers/OutstandingAttempts.h"
#include "limits/WaitQueue.h"
#include "session/SessionState.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace turmericpitch {

class MemberLinkPool;

/// State of one client session that its connection and the dispatcher share.
struct SessionContext {
  SessionState State;
  /// The client account that the session belongs to; an empty name if the
  /// configuration has no accounts, or on a public route.
  ClientAccountId Account;
  /// The route of the current operation.
  RouteRule Route;
  /// The link that the open transaction is pinned to; null if there is none.
  std::shared_ptr<MemberLink> PinnedLink;
  std::shared_ptr<MemberLinkPool> PinnedPool;
  /// The epoch of the primary that runs the transaction; 0 at a replica.
  std::uint64_t PinnedEpoch = 0;
  /// The id of the statement that the running transaction began with; used in
  /// the log only.
  std::string TransactionId;
};

/// A statement with its deadline, its current attempt and its reply handler.
/// Not thread-safe.
struct StatementCall {
  using ReplyHandler = std::function<void(StatementReply)>;

  explicit StatementCall(const boost::asio::any_io_executor &Exec)
      : Timer(Exec), HedgeTimer(Exec) {}

  std::shared_ptr<SessionContext> Session;
  /// The session's route when the statement was submitted. Members may answer
  /// it after the session has gone on to another route.
  RouteRule Route;
  Statement Request;
  SchedulingTerms Terms;
  ReplyHandler OnReply;

  /// Whether only the primary may execute the statement.
  bool NeedsPrimary = false;
  /// Whether executing it may have an effect that outlasts the statement: a
  /// write outside a transaction, or the commit of a read-write transaction.
  bool LastingEffect = false;
  /// Members that failed to execute it and are not tried again.
  std::vector<UpstreamId> Excluded;
  std::uint32_t Attempts = 0;
  /// Number of times the member refused it as busy within its transaction,
  /// counted up to MaxBusyDoublings.
  std::uint32_t BusyRefusals = 0;

  /// Hedged attempts that run beside the current one.
  OutstandingAttempts Outstanding;
  /// Whether an attempt ended without proof that its member did not run it.
  bool MayHaveRun = false;
  /// A failure that a member returned while another attempt was still running.
  std::optional<StatementReply> FailedReply;
  /// Whether it is in the queue of its service.
  bool Queued = false;
  /// Whether its reply is held back until the primary's lease is renewed.
  bool ReplyHeld = false;

  /// State of the current attempt.
  std::shared_ptr<MemberLink> Link;
  std::shared_ptr<MemberLinkPool> Pool;
  std::uint64_t Epoch = 0;
  std::optional<TermPosition> MinPosition;
  std::deque<SessionSetupStep> SetupSteps;
  /// Whether the pool counts it among the statements in flight.
  bool CountedAtMember = false;
  /// Whether the client's statement itself, not only a setup step, was sent.
  bool StatementSent = false;
  TimePoint SentAt;
  /// For a write: a position that the primary's log had reached before the
  /// write was sent.
  std::optional<TermPosition> PrecedingPosition;
  /// Number of times that the statement was sent to a member which did not
  /// prove that it left it unexecuted.
  std::uint32_t PossibleRuns = 0;
  /// Whether the current attempt waits for its member's reply.
  [[nodiscard]] bool awaitsReply() const {
    return this->StatementSent && this->CountedAtMember;
  }

  /// Expires at the deadline.
  boost::asio::steady_timer Timer;
  /// Expires when a read should be hedged.
  boost::asio::steady_timer HedgeTimer;
  /// Whether it was replied to or abandoned.
  bool Finished = false;
};

using SharedCall = std::shared_ptr<StatementCall>;

} // namespace turmericpitch
