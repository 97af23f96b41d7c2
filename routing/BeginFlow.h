// State machine that begins a transaction.
#pragma once

#include "routing/StatementFlow.h"

namespace turmericpitch {

/// Action: begin at a member on a connection dedicated to the transaction, then
/// call onMemberOutcome(). After an error that connection must be closed.
struct BeginAtMember {
  Route Where;
  BeginRequest Request;
  Duration Timeout{0};
};

/// A transaction that has begun.
struct BegunTransaction {
  TransactionId Id;
  UpstreamId Member;
  Term BeginTerm;

  bool operator==(const BegunTransaction &) const = default;
};

/// Action: return the final answer to the caller.
struct FinishBegin {
  Outcome<BegunTransaction> Answer;
};

using BeginAction = std::variant<BeginAtMember, AwaitView, FinishBegin>;

/// Begins a transaction at the primary of the newest term. A failed attempt
/// leaves nothing behind once its connection is closed, so it may be retried.
/// Pure; not thread-safe.
class BeginFlow {
public:
  BeginFlow(RequestContext Context, RoutingOptions Options);

  /// Returns the first action.
  BeginAction begin(TimePoint Now);
  /// Precondition: the last action was BeginAtMember.
  BeginAction onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                              SharedDatabaseView View, TimePoint Now);
  /// Precondition: the last action was AwaitView.
  BeginAction onView(SharedDatabaseView View, TimePoint Now);

  [[nodiscard]] const RequestContext &context() const { return this->Context; }

private:
  BeginAction awaitView(TimePoint Now);

  RequestContext Context;
  RoutingOptions Options;
  BegunTransaction Transaction;
};

} // namespace turmericpitch
