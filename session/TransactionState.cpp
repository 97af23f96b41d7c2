#include "session/TransactionState.h"

#include <algorithm>
#include <utility>

namespace turmericpitch {

namespace {

Error rolledBackError(std::string Reason) {
  return {.Kind = ErrorKind::NotRun,
          .Message = "the transaction was rolled back: " + std::move(Reason),
          .Remedy = "run the whole transaction again from its beginning"};
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
    : Pin(std::move(Pin)), Limits(Limits), StartedAt(Now), LastUsedAt(Now) {}

Status TransactionState::admit(const TransactionReference &Reference,
                               TimePoint Now) const {
  bool Same = Reference.Id == this->Pin.Id &&
              Reference.Owner == this->Pin.Owner &&
              Reference.Target == this->Pin.Target;
  if (!Same || this->Step != TransactionStep::Open)
    return unknownTransactionError();
  if (Now >= this->expiresAt())
    return rolledBackError("it exceeded its time limit");
  return std::monostate{};
}

void TransactionState::onStatementSent() { this->Step = TransactionStep::Busy; }

Outcome<MemberAnswer>
TransactionState::onStatementAnswer(Outcome<MemberAnswer> Answer,
                                    TimePoint Now) {
  if (this->Step != TransactionStep::Busy)
    return rolledBackError("it had already ended");
  this->LastUsedAt = Now;
  bool StaysOpen = Answer || Answer.error().Kind == ErrorKind::BadRequest;
  this->Step = StaysOpen ? TransactionStep::Open : TransactionStep::EndedDirty;
  if (StaysOpen)
    return Answer;
  return rolledBackError(Answer.error().Message);
}

void TransactionState::onEndSent() { this->Step = TransactionStep::Committing; }

void TransactionState::onEndAnswer(const Outcome<MemberAnswer> &Answer) {
  if (this->Step != TransactionStep::Committing)
    return;
  this->Step =
      Answer ? TransactionStep::EndedClean : TransactionStep::EndedDirty;
}

bool TransactionState::endIfExpired(TimePoint Now) {
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
  return std::min(this->LastUsedAt + this->Limits.IdleTimeout,
                  this->StartedAt + this->Limits.MaxDuration);
}

bool TransactionState::ended() const {
  return this->Step == TransactionStep::EndedClean ||
         this->Step == TransactionStep::EndedDirty;
}

bool TransactionState::connectionIsClean() const {
  return this->Step == TransactionStep::EndedClean;
}

} // namespace turmericpitch
