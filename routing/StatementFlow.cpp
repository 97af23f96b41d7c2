#include "routing/StatementFlow.h"

#include "routing/RequestErrors.h"

#include <algorithm>

namespace turmericpitch {

StatementFlow::StatementFlow(RequestContext Context, RoutingOptions Options,
                             std::uint64_t Seed)
    : Context(std::move(Context)), Options(std::move(Options)), Random(Seed) {}

Duration StatementFlow::remaining(TimePoint Now) const {
  return this->Context.Deadline - Now;
}

StatementAction StatementFlow::begin(TimePoint Now) { return this->route(Now); }

TermPosition StatementFlow::requiredPosition() const {
  const StatementRequest &Request = this->Context.Request;
  return Request.MaximumAge ? TermPosition{}
                            : this->Context.Token.position(Request.Target);
}

bool StatementFlow::mayRetry() const {
  const StatementRequest &Request = this->Context.Request;
  return !Request.Write || Request.Repeatable || Request.Key.has_value();
}

StatementAction StatementFlow::route(TimePoint Now) {
  if (this->remaining(Now) < MinRemainingTime || !this->Context.View)
    return this->refuse(noMemberError());
  const StatementRequest &Request = this->Context.Request;
  const DatabaseView &View = *this->Context.View;
  std::optional<Route> Chosen;
  if (Request.Write) {
    if (auto Stale = staleSessionError(View, this->requiredPosition()))
      return this->refuse(std::move(*Stale));
    Chosen = chooseForWrite(View);
    // Retry a member that has just failed only once it answers probes again.
    if (Chosen && Chosen->Target == this->FailedMember &&
        View.member(Chosen->Target)->FailuresInRow > 0)
      return this->awaitView(Now);
  } else {
    ReadRequirements Needs{.Seen = this->requiredPosition(),
                           .MaximumAge = Request.MaximumAge,
                           .Excluded = this->Excluded};
    auto Choice = toOutcome([&] {
      return chooseForRead(View, Needs, this->Options, Now, this->Random);
    });
    if (!Choice)
      return this->refuse(Choice.error());
    Chosen = Choice.value();
  }
  if (!Chosen && this->CapacityError)
    return this->refuse(*this->CapacityError);
  return Chosen ? this->runAt(*Chosen, Now) : this->awaitView(Now);
}

StatementAction StatementFlow::runAt(const Route &Chosen, TimePoint Now) {
  const StatementRequest &Request = this->Context.Request;
  this->Target = Chosen.Target;
  RunAtMember Action;
  Action.Where = Chosen;
  Action.Request.Id = Request.Id;
  Action.Request.Statement = Request.Statement;
  Action.Request.Write = Request.Write;
  if (Request.Write) {
    Action.Request.ExpectedTerm = this->Context.View->newestTerm();
    Action.Request.Key = Request.Key;
  }
  Action.Request.MinPosition = this->requiredPosition();
  Action.WaitTimeout = std::min(Chosen.WaitTimeout, this->remaining(Now));
  // If the statement may be retried, leave time for another attempt in case the
  // member does not answer.
  Action.Timeout = this->mayRetry() ? std::min(this->Options.AttemptTimeout,
                                               this->remaining(Now))
                                    : this->remaining(Now);
  return Action;
}

StatementAction StatementFlow::awaitView(TimePoint Now) {
  if (this->remaining(Now) < MinRemainingTime)
    return this->refuse(noMemberError());
  this->Excluded.clear();
  return AwaitView{std::min(ViewPollInterval, this->remaining(Now))};
}

StatementAction StatementFlow::onView(SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  return this->route(Now);
}

StatementAction
StatementFlow::onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                               SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  return Answer ? this->onAnswer(Answer.value(), Now)
                : this->onError(Answer.error(), Now);
}

StatementAction StatementFlow::onAnswer(const MemberAnswer &Answer,
                                        TimePoint Now) {
  if (!this->Context.View)
    return this->finish(Answer);
  if (Answer.Written)
    return this->confirm(Answer, Now);
  const std::optional<Duration> &Accepted = this->Context.Request.MaximumAge;
  if (!Accepted)
    return this->finish(Answer);
  auto Age = ageBound(*this->Context.View, Answer.Status, Now);
  if (Age && *Age <= *Accepted)
    return this->finish(Answer);
  // The data of a primary is fresh if a majority confirms that it still is the
  // primary.
  if (Answer.Status.Role == MemberRole::Primary)
    return this->confirm(Answer, Now);
  this->Excluded.push_back(this->Target);
  return this->route(Now);
}

StatementAction StatementFlow::confirm(const MemberAnswer &Answer,
                                       TimePoint Now) {
  ConfirmWrite Action = requiredConfirmation(
      Answer, this->Target, *this->Context.View, this->remaining(Now));
  if (Action.RequiredCount == 0)
    return this->finish(Answer);
  this->UnconfirmedAnswer = Answer;
  return Action;
}

StatementAction StatementFlow::onConfirmed(bool Held, TimePoint Now) {
  if (Held)
    return this->finish(*this->UnconfirmedAnswer);
  const StatementRequest &Request = this->Context.Request;
  if (!Request.Write)
    return this->awaitView(Now);
  this->MayHaveRun = true;
  // With an idempotency key, the next primary can still report the outcome.
  if (Request.Key && this->remaining(Now) >= MinRemainingTime)
    return this->awaitView(Now);
  return this->refuse(notConfirmedError());
}

StatementAction StatementFlow::onError(const Error &Failure, TimePoint Now) {
  const StatementRequest &Request = this->Context.Request;
  if (Request.Write && !provesNotRun(Failure.Kind))
    this->MayHaveRun = true;
  bool Final = Failure.Kind == ErrorKind::BadRequest ||
               Failure.Kind == ErrorKind::Forbidden;
  if (Final)
    return this->refuse(Failure);
  if (!provesNotRun(Failure.Kind) && !this->mayRetry())
    return this->refuse(Failure);
  // The member shed the statement for lack of capacity. The caller gets the
  // retry time immediately, unless another member may serve the read.
  if (Failure.Kind == ErrorKind::Overloaded)
    this->CapacityError = Failure;
  if (Request.Write && this->CapacityError)
    return this->refuse(*this->CapacityError);
  this->FailedMember = this->Target;
  if (Request.Write)
    return this->awaitView(Now);
  this->Excluded.push_back(this->Target);
  return this->route(Now);
}

StatementAction StatementFlow::refuse(Error Failure) const {
  // Proof that a later attempt did not run says nothing about an earlier one.
  if (this->MayHaveRun && provesNotRun(Failure.Kind))
    return FinishStatement{notConfirmedError()};
  return FinishStatement{std::move(Failure)};
}

StatementAction StatementFlow::finish(const MemberAnswer &Answer) {
  StatementAnswer Result;
  Result.Id = this->Context.Request.Id;
  Result.Rows = Answer.Rows;
  Result.Repeated = Answer.Repeated;
  Result.ServedBy = Answer.Status.Role;
  const DatabaseId &Database = this->Context.Request.Target;
  const TermHistory &History = Answer.Status.History;
  Result.Token = this->Context.Token;
  // A bounded-staleness read must not advance a token past entries that a
  // promotion discarded: later reads must still report that it is stale.
  if (!History.discards(this->Context.Token.position(Database)))
    Result.Token = this->Context.Token.advanced(
        Database, Answer.Written.value_or(
                      History.entryAt(Answer.Status.AppliedPosition)));
  return FinishStatement{std::move(Result)};
}

} // namespace turmericpitch
