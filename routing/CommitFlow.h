// The course of a transaction's commit, as a state machine.
#pragma once

#include "routing/StatementFlow.h"

namespace turmericpitch {

/// Send the commit to a member; answer with onMemberOutcome().
struct CommitAtMember {
  Route Where;
  CommitRequest Request;
  /// Whether it goes on the transaction's own connection. If not, it only
  /// asks for the outcome recorded under the idempotency key.
  bool Pinned = false;
  Duration Timeout{0};
};

using CommitAction =
    std::variant<CommitAtMember, ConfirmWrite, AwaitView, FinishStatement>;

/// Commits on the transaction's own connection, once, and acknowledges only
/// what a majority of members holds. When the outcome stays open, it is looked
/// up by the idempotency key, if there is one. Pure; not thread-safe.
class CommitFlow {
public:
  /// Pinned: where the transaction is open; nothing if it isn't open here,
  /// and then the context's request must have an idempotency key.
  CommitFlow(RequestContext Context, TransactionId Transaction,
             std::optional<Route> Pinned, RoutingOptions Options);

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
  /// The present attempt runs on the transaction's own connection.
  bool IsPinnedAttempt = false;
  UpstreamId Target;
  std::size_t NotRecorded = 0;
  std::optional<MemberAnswer> Unconfirmed;
};

} // namespace turmericpitch
