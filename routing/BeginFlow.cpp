#include "routing/BeginFlow.h"

#include "routing/RequestErrors.h"

#include <algorithm>

namespace turmericpitch {

BeginFlow::BeginFlow(RequestContext Context, RoutingOptions Options)
    : Context(std::move(Context)), Options(std::move(Options)) {}

BeginAction BeginFlow::begin(TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  if (!this->Context.View || Remaining < MinRemainingTime)
    return FinishBegin{noMemberError()};
  const DatabaseView &View = *this->Context.View;
  const StatementRequest &Request = this->Context.Request;
  if (auto Stale =
          staleSessionError(View, this->Context.Token.position(Request.Target)))
    return FinishBegin{std::move(*Stale)};
  std::optional<Route> Chosen = chooseForWrite(View);
  if (!Chosen)
    return this->awaitView(Now);
  this->Transaction = {.Id = TransactionId{Request.Id.Value},
                       .Member = Chosen->Target,
                       .BeginTerm = View.newestTerm()};
  BeginAtMember Action;
  Action.Where = std::move(*Chosen);
  Action.Request = {.Id = Request.Id,
                    .Transaction = this->Transaction.Id,
                    .ExpectedTerm = this->Transaction.BeginTerm};
  Action.Timeout = std::min(this->Options.AttemptTimeout, Remaining);
  return Action;
}

BeginAction BeginFlow::onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                                       SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  if (Answer)
    return FinishBegin{this->Transaction};
  // The member shed the request for lack of capacity. The caller gets the
  // retry time immediately.
  if (Answer.error().Kind == ErrorKind::Overloaded)
    return FinishBegin{Answer.error()};
  return this->awaitView(Now);
}

BeginAction BeginFlow::awaitView(TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  if (Remaining < MinRemainingTime)
    return FinishBegin{noMemberError()};
  return AwaitView{std::min(ViewPollInterval, Remaining)};
}

BeginAction BeginFlow::onView(SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  return this->begin(Now);
}

} // namespace turmericpitch
