#include "session/TransactionState.h"

#include <algorithm>
#include <utility>

namespace turmericpitch {

namespace {

Error rolledBack(std::string Why) {
  return {.Kind = ErrorKind::NotRun,
          .Message = "the transaction was rolled back: " + std::move(Why),
          .Remedy = "run the whole transaction again from its begin"};
}

} // namespace

std::string_view toString(TransactionStep Step) {
  switch (Step) {
  case TransactionStep::Open:
    return "open";
  case TransactionStep::Busy:
    return "busy";
  case TransactionStep::Committing:
    return "committing";
  case TransactionStep::EndedClean:
    return "ended_clean";
  case TransactionStep::EndedDirty:
    break;
  }
  return "ended_dirty";
}

Error unknownTransactionError() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "no such open transaction on this connection",
          .Remedy = "send a transaction's requests on the connection that "
                    "began it; if that is gone, it was rolled back unless its "
                    "commit was sent: begin again, or send the commit again "
                    "with its idempotency key"};
}

TransactionState::TransactionState(TransactionPin Pin, TransactionLimits Limits,
                                   TimePoint Now)
    : Pin(std::move(Pin)), Limits(Limits), BegunAt(Now), LastUsedAt(Now) {}

Status TransactionState::admit(const TransactionClaim &Claim,
                               TimePoint Now) const {
  bool Same = Claim.Id == this->Pin.Id && Claim.Owner == this->Pin.Owner &&
              Claim.Target == this->Pin.Target;
  if (!Same || this->Step != TransactionStep::Open)
    return unknownTransactionError();
  if (Now >= this->expiresAt())
    return rolledBack("it was open for too long");
  return std::monostate{};
}

void TransactionState::onStatementSent() { this->Step = TransactionStep::Busy; }

Outcome<MemberAnswer>
TransactionState::onStatementAnswer(Outcome<MemberAnswer> Answer,
                                    TimePoint Now) {
  if (this->Step != TransactionStep::Busy)
    return rolledBack("it had ended already");
  this->LastUsedAt = Now;
  bool Goes = Answer || Answer.error().Kind == ErrorKind::BadRequest;
  this->Step = Goes ? TransactionStep::Open : TransactionStep::EndedDirty;
  if (Goes)
    return Answer;
  return rolledBack(Answer.error().Message);
}

void TransactionState::onEndSent() { this->Step = TransactionStep::Committing; }

void TransactionState::onEndAnswer(const Outcome<MemberAnswer> &Answer) {
  if (this->Step != TransactionStep::Committing)
    return;
  this->Step =
      Answer ? TransactionStep::EndedClean : TransactionStep::EndedDirty;
}

bool TransactionState::onTime(TimePoint Now) {
  bool Over = this->Step == TransactionStep::Open && Now >= this->expiresAt();
  if (Over)
    this->Step = TransactionStep::EndedDirty;
  return Over;
}

void TransactionState::abandon() {
  if (!this->ended())
    this->Step = TransactionStep::EndedDirty;
}

TimePoint TransactionState::expiresAt() const {
  return std::min(this->LastUsedAt + this->Limits.Idle,
                  this->BegunAt + this->Limits.Total);
}

bool TransactionState::ended() const {
  return this->Step == TransactionStep::EndedClean ||
         this->Step == TransactionStep::EndedDirty;
}

bool TransactionState::connectionIsClean() const {
  return this->Step == TransactionStep::EndedClean;
}

} // namespace turmericpitch
