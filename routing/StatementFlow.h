// The course of one statement after the filter chain, as a state machine.
#pragma once

#include "routing/RequestContext.h"
#include "routing/Router.h"
#include "routing/WriteConfirmation.h"

namespace turmericpitch {

/// What a caller gets for a statement that ran.
struct StatementAnswer {
  RequestId Id;
  std::vector<std::string> Rows;
  SessionToken Token;
  /// The outcome is that of an earlier statement with the same key.
  bool Repeated = false;
  MemberRole ServedBy = MemberRole::Replica;
};

/// Run the statement at a member; answer with onMemberOutcome().
struct RunAtMember {
  Route Where;
  ExecuteRequest Request;
  /// If not 0, first wait there for Request.AtLeast.
  Duration WaitTimeout{0};
  Duration Timeout{0};
};

/// Wait until the view changes or Limit passes; answer with onView().
struct AwaitView {
  Duration Timeout{0};
};

/// The final answer.
struct FinishStatement {
  Outcome<StatementAnswer> Answer;
};

using StatementAction =
    std::variant<RunAtMember, ConfirmWrite, AwaitView, FinishStatement>;

/// Runs one statement: route, retry only what is proven not to have run,
/// acknowledge a write only once a majority of members holds it, and a read of
/// a stated age only once its age is proven. Pure; not thread-safe.
class StatementFlow {
public:
  StatementFlow(RequestContext Context, RoutingOptions Options,
                std::uint64_t Seed);

  /// The first action.
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
  /// The answer that waits for ConfirmWrite.
  std::optional<MemberAnswer> Unconfirmed;
  /// An upstream had no capacity left for this statement in time.
  std::optional<Error> CapacityError;
  /// An earlier attempt at a write may have taken effect.
  bool MayHaveRun = false;
  /// Where the last attempt at a write failed.
  UpstreamId FailedMember;
};

} // namespace turmericpitch
