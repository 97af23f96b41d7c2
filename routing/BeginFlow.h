// The course of a transaction's begin, as a state machine.
#pragma once

#include "routing/StatementFlow.h"

namespace turmericpitch {

/// Begin at a member on a connection of the transaction's own; answer with
/// onMemberOutcome(). After an error that connection must be closed.
struct BeginAtMember {
  Route Where;
  BeginRequest Request;
  Duration Limit{0};
};

/// A transaction that has begun.
struct BegunTransaction {
  TransactionId Id;
  UpstreamId Member;
  Term BeginTerm;

  bool operator==(const BegunTransaction &) const = default;
};

struct FinishBegin {
  Outcome<BegunTransaction> Answer;
};

using BeginAction = std::variant<BeginAtMember, AwaitView, FinishBegin>;

/// Begins at the primary of the newest term. An attempt that failed leaves
/// nothing behind once its connection is closed, so the next one may follow.
/// Pure; not thread-safe.
class BeginFlow {
public:
  BeginFlow(RequestContext Context, RoutingOptions Options);

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
  BegunTransaction Sought;
};

} // namespace turmericpitch
