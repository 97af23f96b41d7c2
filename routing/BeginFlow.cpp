#include "routing/BeginFlow.h"

#include "routing/RequestErrors.h"

#include <algorithm>

namespace turmericpitch {

BeginFlow::BeginFlow(RequestContext Context, RoutingOptions Options)
    : Context(std::move(Context)), Options(std::move(Options)) {}

BeginAction BeginFlow::begin(TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  if (!this->Context.View || Remaining < LeastUsefulTime)
    return FinishBegin{noMember()};
  const DatabaseView &View = *this->Context.View;
  const StatementRequest &Request = this->Context.Request;
  if (auto Stale =
          staleness(View, this->Context.Token.position(Request.Target)))
    return FinishBegin{std::move(*Stale)};
  std::optional<Route> Chosen = chooseForWrite(View);
  if (!Chosen)
    return this->awaitView(Now);
  this->Sought = {.Id = TransactionId{Request.Id.Value},
                  .Member = Chosen->Target,
                  .BeginTerm = View.newestTerm()};
  BeginAtMember Action;
  Action.Where = std::move(*Chosen);
  Action.Request = {.Id = Request.Id,
                    .Transaction = this->Sought.Id,
                    .Expected = this->Sought.BeginTerm};
  Action.Limit = std::min(this->Options.AttemptLimit, Remaining);
  return Action;
}

BeginAction BeginFlow::onMemberOutcome(const Outcome<MemberAnswer> &Answer,
                                       SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  if (Answer)
    return FinishBegin{this->Sought};
  // Given up: the caller learns at once when to come back.
  if (Answer.error().Kind == ErrorKind::Overloaded)
    return FinishBegin{Answer.error()};
  return this->awaitView(Now);
}

BeginAction BeginFlow::awaitView(TimePoint Now) {
  Duration Remaining = this->Context.Deadline - Now;
  if (Remaining < LeastUsefulTime)
    return FinishBegin{noMember()};
  return AwaitView{std::min(ViewPoll, Remaining)};
}

BeginAction BeginFlow::onView(SharedDatabaseView View, TimePoint Now) {
  this->Context.View = std::move(View);
  return this->begin(Now);
}

} // namespace turmericpitch
