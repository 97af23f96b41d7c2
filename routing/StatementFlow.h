// State machine that runs one statement after the filter chain.
#pragma once

#include "routing/RequestContext.h"
#include "routing/Router.h"
#include "routing/WriteConfirmation.h"

namespace turmericpitch {

/// The caller's answer for a statement that ran.
struct StatementAnswer {
  RequestId Id;
  std::vector<std::string> Rows;
  SessionToken Token;
  /// Whether the outcome is that of an earlier statement with the same
  /// idempotency key.
  bool Repeated = false;
  MemberRole ServedBy = MemberRole::Replica;
};

/// Action: run the statement at a member, then call onMemberOutcome().
struct RunAtMember {
  Route Where;
  ExecuteRequest Request;
  /// If not 0, first wait at the member for Request.MinPosition.
  Duration WaitTimeout{0};
  Duration Timeout{0};
};

/// Action: wait until the view changes or Timeout passes, then call onView().
struct AwaitView {
  Duration Timeout{0};
};

/// Action: return the final answer to the caller.
struct FinishStatement {
  Outcome<StatementAnswer> Answer;
};

using StatementAction =
    std::variant<RunAtMember, ConfirmWrite, AwaitView, FinishStatement>;

/// Runs one statement. Retries only attempts that are proven not to have run or
/// that may be repeated. Acknowledges a write only once a majority of members
/// holds it, and a bounded-staleness read only once its age is proven. Pure;
/// not thread-safe.
class StatementFlow {
public:
  StatementFlow(RequestContext Context, RoutingOptions Options,
                std::uint64_t Seed);

  /// Returns the first action.
  StatementAction begin(TimePoint Now);
  /// Precondition: the last action was RunAtMember.
  StatementAction onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                                  SharedDatabaseView View, TimePoint Now);
  /// Precondition: the last action was ConfirmWrite.
  StatementAction onConfirmed(bool Held, TimePoint Now);
  /// Precondition: the last action was AwaitView.
  StatementAction onView(SharedDatabaseView View, TimePoint Now);

  [[nodiscard]] const RequestContext &context() const { return this->Context; }

private:
  StatementAction route(TimePoint Now);
  StatementAction runAt(const Route &Chosen, TimePoint Now);
  StatementAction onAnswer(const MemberAnswer &Answer, TimePoint Now);
  StatementAction confirm(const MemberAnswer &Answer, TimePoint Now);
  [[nodiscard]] TermPosition requiredPosition() const;
  [[nodiscard]] bool mayRetry() const;
  StatementAction onError(const Error &Failure, TimePoint Now);
  StatementAction awaitView(TimePoint Now);
  StatementAction finish(const MemberAnswer &Answer);
  StatementAction refuse(Error Failure) const;
  [[nodiscard]] Duration remaining(TimePoint Now) const;

  RequestContext Context;
  RoutingOptions Options;
  RandomSource Random;
  std::vector<UpstreamId> Excluded;
  UpstreamId Target;
  /// The answer to return after ConfirmWrite.
  std::optional<MemberAnswer> UnconfirmedAnswer;
  /// Set if an upstream had no capacity for this statement before its deadline.
  std::optional<Error> CapacityError;
  /// Whether an earlier attempt at a write may have taken effect.
  bool MayHaveRun = false;
  /// The member at which the last attempt failed.
  UpstreamId FailedMember;
};

} // namespace turmericpitch
