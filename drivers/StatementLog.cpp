#include "drivers/StatementLog.h"

#include "core/DecisionLog.h"
#include "drivers/MemberLinkPool.h"

namespace turmericpitch {

namespace {

std::string positionText(const std::optional<TermPosition> &Position) {
  if (!Position)
    return "none";
  return std::to_string(Position->WrittenIn.Value) + "." +
         std::to_string(Position->Position.Value);
}

/// A line that names the statement.
DecisionLine lineOf(std::string_view Kind, const StatementCall &Call) {
  const SessionContext &Session = *Call.Session;
  DecisionLine Line(Kind);
  Line.field("request", Call.Request.Id)
      .field("account", Session.Account.Value)
      .field("route", Call.Route.Name)
      .field("service", Call.Route.Service.Value);
  if (Session.State.transaction() == SessionTransaction::Running)
    Line.field("transaction", Session.TransactionId);
  return Line;
}

/// Adds where the statement was tried.
DecisionLine &addAttempts(DecisionLine &Line, const StatementCall &Call,
                          TimePoint Now) {
  auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - Call.Terms.ArrivedAt);
  return Line.field("member", Call.Pool ? Call.Pool->member().Id.Value : "none")
      .field("reign", Call.Epoch)
      .field("at_least", positionText(Call.MinPosition))
      .field("attempts", Call.Attempts)
      .field("took_ms", Took.count());
}

} // namespace

std::string_view toString(StatementWait Wait) {
  switch (Wait) {
  case StatementWait::Queue:
    return "queue";
  case StatementWait::Link:
    return "link";
  case StatementWait::Member:
    return "member";
  case StatementWait::Lease:
    break;
  }
  return "lease";
}

StatementWait currentWait(const StatementCall &Call) {
  if (Call.ReplyHeld)
    return StatementWait::Lease;
  if (Call.StatementSent || !Call.Outstanding.empty())
    return StatementWait::Member;
  return Call.Link ? StatementWait::Link : StatementWait::Queue;
}

void logFailedReply(const StatementCall &Call, const ReplyFailure &Failure,
                    TimePoint Now) {
  DecisionLine Line = lineOf("reply", Call);
  Line.field("outcome", toString(Failure.Code)).field("reason", Failure.Text);
  writeDecision(addAttempts(Line, Call, Now));
}

void logAbandoned(const StatementCall &Call, TimePoint Now) {
  DecisionLine Line = lineOf("abandon", Call);
  Line.field("waits_for", toString(currentWait(Call)));
  writeDecision(addAttempts(Line, Call, Now));
}

} // namespace turmericpitch
