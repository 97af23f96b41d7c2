#include "routing/CommitFlow.h"

#include "routing/RequestErrors.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// The look-up ends after this many answers that report no outcome for the key.
/// One is not enough, because the commit may still be in flight.
constexpr std::size_t MaxNotRecordedAnswers = 3;

Error commitUnknownError() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "the transaction may or may not have been committed",
          .Remedy = "check whether its changes are present; a commit with an "
                    "idempotency key can be sent again to get its outcome"};
}

} // namespace

CommitFlow::CommitFlow(RequestContext Context, TransactionId Transaction,
                       std::optional<Route> Pinned, RoutingOptions Options)
    : Context(std::move(Context)), Transaction(std::move(Transaction)),
      Pinned(std::move(Pinned)), Options(std::move(Options)) {}

CommitAction CommitFlow::begin(TimePoint Now) {
  if (!this->Pinned)
    return this->lookUp(Now);
  return this->send(*this->Pinned, true, Now);
}

CommitAction CommitFlow::send(const Route &Where, bool Pinned, TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  const std::optional<IdempotencyKey> &Key = this->Context.Request.Key;
  this->IsPinnedAttempt = Pinned;
  this->Target = Where.Target;
  CommitAtMember Action;
  Action.Where = Where;
  Action.Pinned = Pinned;
  Action.Request = {.Id = this->Context.Request.Id,
                    .Transaction = this->Transaction,
                    .Key = Key};
  Action.Timeout =
      Key ? std::min(this->Options.AttemptTimeout, Remaining) : Remaining;
  return Action;
}

CommitAction CommitFlow::lookUp(TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  bool CannotLookUp = !this->Context.Request.Key || !this->Context.View ||
                      Remaining < MinRemainingTime ||
                      this->NotRecordedAnswers >= MaxNotRecordedAnswers;
  if (CannotLookUp)
    return FinishStatement{commitUnknownError()};
  std::optional<Route> Primary = chooseForWrite(*this->Context.View);
  return Primary ? this->send(*Primary, false, Now) : this->awaitPrimary(Now);
}

CommitAction CommitFlow::awaitPrimary(TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  bool CannotLookUp = !this->Context.Request.Key ||
                      Remaining < MinRemainingTime ||
                      this->NotRecordedAnswers >= MaxNotRecordedAnswers;
  if (CannotLookUp)
    return FinishStatement{commitUnknownError()};
  return AwaitView{std::min(ViewPollInterval, Remaining)};
}

CommitAction CommitFlow::onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                                         SharedDatabaseView View,
                                         TimePoint Now) {
  this->Context.View = std::move(View);
  if (Answer)
    return this->onAnswer(Answer.value(), Now);
  bool Refused = provesNotRun(Answer.error().Kind);
  // The transaction was open only at this member, so its refusal proves that
  // the commit did not run.
  if (Refused && this->IsPinnedAttempt)
    return FinishStatement{Answer.error()};
  if (Answer.error().Kind == ErrorKind::NotRun)
    ++this->NotRecordedAnswers;
  return this->awaitPrimary(Now);
}

CommitAction CommitFlow::onAnswer(const MemberAnswer &Answer, TimePoint Now) {
  // Nothing was written, so a failover can lose nothing.
  if (!Answer.Written)
    return this->finish(Answer);
  if (!this->Context.View)
    return FinishStatement{commitUnknownError()};
  ConfirmWrite Action = requiredConfirmation(
      Answer, this->Target, *this->Context.View, this->Context.Deadline - Now);
  if (Action.RequiredCount == 0)
    return this->finish(Answer);
  this->UnconfirmedAnswer = Answer;
  return Action;
}

CommitAction CommitFlow::onConfirmed(bool Held, TimePoint Now) {
  if (Held)
    return this->finish(*this->UnconfirmedAnswer);
  return this->awaitPrimary(Now);
}

CommitAction CommitFlow::onView(SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  return this->lookUp(Now);
}

CommitAction CommitFlow::finish(const MemberAnswer &Answer) const {
  StatementAnswer Result;
  Result.Id = this->Context.Request.Id;
  Result.Rows = Answer.Rows;
  Result.Repeated = Answer.Repeated;
  Result.ServedBy = Answer.Status.Role;
  Result.Token = this->Context.Token;
  if (Answer.Written)
    Result.Token = this->Context.Token.advanced(this->Context.Request.Target,
                                                *Answer.Written);
  return FinishStatement{std::move(Result)};
}

} // namespace turmericpitch
