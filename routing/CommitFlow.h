// State machine that commits a transaction.
#pragma once

#include "routing/StatementFlow.h"

namespace turmericpitch {

/// Action: send the commit to a member, then call onMemberOutcome().
struct CommitAtMember {
  Route Where;
  CommitRequest Request;
  /// Whether to send it on the transaction's own connection. If false, it only
  /// looks up the outcome recorded under the idempotency key.
  bool Pinned = false;
  Duration Timeout{0};
};

using CommitAction =
    std::variant<CommitAtMember, ConfirmWrite, AwaitView, FinishStatement>;

/// Sends the commit once, on the transaction's own connection, and acknowledges
/// it only if a majority of members holds it. If the outcome is unknown, it is
/// looked up by the idempotency key, if there is one. Pure; not thread-safe.
class CommitFlow {
public:
  /// Pinned: the member at which the transaction is open. Empty if it is not
  /// open in this instance; then the request must have an idempotency key.
  CommitFlow(RequestContext Context, TransactionId Transaction,
             std::optional<Route> Pinned, RoutingOptions Options);

  /// Returns the first action.
  CommitAction begin(TimePoint Now);
  /// Precondition: the last action was CommitAtMember.
  CommitAction onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                               SharedDatabaseView View, TimePoint Now);
  /// Precondition: the last action was ConfirmWrite.
  CommitAction onConfirmed(bool Held, TimePoint Now);
  /// Precondition: the last action was AwaitView.
  CommitAction onView(SharedDatabaseView View, TimePoint Now);

  [[nodiscard]] const RequestContext &context() const { return this->Context; }

private:
  CommitAction send(const Route &Where, bool Pinned, TimePoint Now);
  CommitAction lookUp(TimePoint Now);
  CommitAction awaitPrimary(TimePoint Now);
  CommitAction onAnswer(const MemberAnswer &Answer, TimePoint Now);
  CommitAction finish(const MemberAnswer &Answer) const;

  RequestContext Context;
  TransactionId Transaction;
  std::optional<Route> Pinned;
  RoutingOptions Options;
  /// Whether the current attempt runs on the transaction's own connection.
  bool IsPinnedAttempt = false;
  UpstreamId Target;
  /// Number of answers so far that report no outcome for the key.
  std::size_t NotRecordedAnswers = 0;
  /// The answer to acknowledge after ConfirmWrite.
  std::optional<MemberAnswer> UnconfirmedAnswer;
};

} // namespace turmericpitch
