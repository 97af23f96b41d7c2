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

TermPosition StatementFlow::needed() const {
  const StatementRequest &Request = this->Context.Request;
  return Request.MaximumAge ? TermPosition{}
                            : this->Context.Token.position(Request.Target);
}

bool StatementFlow::mayRepeat() const {
  const StatementRequest &Request = this->Context.Request;
  return !Request.Write || Request.Repeatable || Request.Key.has_value();
}

StatementAction StatementFlow::route(TimePoint Now) {
  if (this->remaining(Now) < LeastUsefulTime || !this->Context.View)
    return this->refuse(noMember());
  const StatementRequest &Request = this->Context.Request;
  const DatabaseView &View = *this->Context.View;
  std::optional<Route> Chosen;
  if (Request.Write) {
    if (auto Stale = staleness(View, this->needed()))
      return this->refuse(std::move(*Stale));
    Chosen = chooseForWrite(View);
    // What has just failed is asked again once it is known to answer.
    if (Chosen && Chosen->Target == this->FailedAt &&
        View.member(Chosen->Target)->FailuresInRow > 0)
      return this->awaitView(Now);
  } else {
    ReadNeeds Needs{.Seen = this->needed(),
                    .MaximumAge = Request.MaximumAge,
                    .Excluded = this->Excluded};
    auto Choice = toOutcome([&] {
      return chooseForRead(View, Needs, this->Options, Now, this->Random);
    });
    if (!Choice)
      return this->refuse(Choice.error());
    Chosen = Choice.value();
  }
  if (!Chosen && this->Shed)
    return this->refuse(*this->Shed);
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
    Action.Request.Expected = this->Context.View->newestTerm();
    Action.Request.Key = Request.Key;
  }
  Action.Request.AtLeast = this->needed();
  Action.WaitLimit = std::min(Chosen.WaitLimit, this->remaining(Now));
  // A silent member must leave time for another attempt.
  Action.Limit = this->mayRepeat() ? std::min(this->Options.AttemptLimit,
                                              this->remaining(Now))
                                   : this->remaining(Now);
  return Action;
}

StatementAction StatementFlow::awaitView(TimePoint Now) {
  if (this->remaining(Now) < LeastUsefulTime)
    return this->refuse(noMember());
  this->Excluded.clear();
  return AwaitView{std::min(ViewPoll, this->remaining(Now))};
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
  // A primary's data is fresh if it is still the primary.
  if (Answer.Status.Role == MemberRole::Primary)
    return this->confirm(Answer, Now);
  this->Excluded.push_back(this->Target);
  return this->route(Now);
}

StatementAction StatementFlow::confirm(const MemberAnswer &Answer,
                                       TimePoint Now) {
  ConfirmWrite Action = confirmationOf(
      Answer, this->Target, *this->Context.View, this->remaining(Now));
  if (Action.Needed == 0)
    return this->finish(Answer);
  this->Unconfirmed = Answer;
  return Action;
}

StatementAction StatementFlow::onConfirmed(bool Held, TimePoint Now) {
  if (Held)
    return this->finish(*this->Unconfirmed);
  const StatementRequest &Request = this->Context.Request;
  if (!Request.Write)
    return this->awaitView(Now);
  this->MayHaveRun = true;
  // With a key the outcome can still be learnt from the next primary.
  if (Request.Key && this->remaining(Now) >= LeastUsefulTime)
    return this->awaitView(Now);
  return this->refuse(notConfirmed());
}

StatementAction StatementFlow::onError(const Error &Failure, TimePoint Now) {
  const StatementRequest &Request = this->Context.Request;
  if (Request.Write && !provesNotRun(Failure.Kind))
    this->MayHaveRun = true;
  bool Final = Failure.Kind == ErrorKind::BadRequest ||
               Failure.Kind == ErrorKind::Forbidden;
  if (Final)
    return this->refuse(Failure);
  if (!provesNotRun(Failure.Kind) && !this->mayRepeat())
    return this->refuse(Failure);
  // Given up: the caller learns at once when to come back, unless another
  // member may serve the read.
  if (Failure.Kind == ErrorKind::Overloaded)
    this->Shed = Failure;
  if (Request.Write && this->Shed)
    return this->refuse(*this->Shed);
  this->FailedAt = this->Target;
  if (Request.Write)
    return this->awaitView(Now);
  this->Excluded.push_back(this->Target);
  return this->route(Now);
}

StatementAction StatementFlow::refuse(Error Failure) const {
  // What a later attempt proves says nothing of an earlier one.
  if (this->MayHaveRun && provesNotRun(Failure.Kind))
    return FinishStatement{notConfirmed()};
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
  // A read of a stated age must not hide that a promotion cut off what the
  // session has seen.
  if (!History.discards(this->Context.Token.position(Database)))
    Result.Token = this->Context.Token.advanced(
        Database,
        Answer.Written.value_or(History.entryAt(Answer.Status.Applied)));
  return FinishStatement{std::move(Result)};
}

} // namespace turmericpitch
