#include "session/SessionState.h"

#include <algorithm>

namespace turmericpitch {

StatementReply SessionState::successReply() const {
  StatementReply Reply;
  Reply.Transaction = this->transactionStatus();
  return Reply;
}

StatementReply SessionState::errorReply(ReplyError Code,
                                        std::string Text) const {
  StatementReply Reply = this->successReply();
  Reply.Failure =
      ReplyFailure{.Code = Code, .UpstreamCode = {}, .Text = std::move(Text)};
  return Reply;
}

TransactionStatus SessionState::transactionStatus() const {
  switch (this->Transaction) {
  case SessionTransaction::None:
    return TransactionStatus::None;
  case SessionTransaction::Failed:
    return TransactionStatus::Failed;
  default:
    return TransactionStatus::Open;
  }
}

const PreparedStatement *SessionState::prepared(const std::string &Name) const {
  auto Found = this->Prepared.find(Name);
  return Found == this->Prepared.end() ? nullptr : &Found->second;
}

bool SessionState::isWrite(const Statement &Request) const {
  if (Request.Kind == StatementKind::Write)
    return true;
  if (Request.Kind != StatementKind::Execute)
    return false;
  const PreparedStatement *Found = this->prepared(Request.Name);
  return Found && Found->Writes;
}

bool SessionState::mayWrite(const Statement &Request) const {
  if (this->inTransaction())
    return !this->ReadOnly;
  return this->isWrite(Request);
}

std::optional<StatementReply> SessionState::begin(bool ReadOnlyRequested) {
  if (this->inTransaction())
    return this->errorReply(ReplyError::Malformed,
                            "a transaction is already open");
  this->Transaction = SessionTransaction::Opened;
  this->ReadOnly = ReadOnlyRequested;
  return this->successReply();
}

std::optional<StatementReply>
SessionState::answerInFailedTransaction(const Statement &Request) {
  if (Request.Kind == StatementKind::Rollback) {
    this->onTransactionEnded();
    return this->successReply();
  }
  if (Request.Kind == StatementKind::Commit) {
    this->onTransactionEnded();
    return this->errorReply(ReplyError::Aborted,
                            "the transaction was rolled back");
  }
  return this->errorReply(
      ReplyError::Aborted,
      "the transaction was rolled back; end it with COMMIT or ROLLBACK");
}

std::optional<StatementReply>
SessionState::answerLocally(const Statement &Request) {
  if (this->Transaction == SessionTransaction::Failed)
    return this->answerInFailedTransaction(Request);
  switch (Request.Kind) {
  case StatementKind::Begin:
    return this->begin(false);
  case StatementKind::BeginRead:
    return this->begin(true);
  case StatementKind::Rollback:
    if (this->Transaction == SessionTransaction::Running)
      return std::nullopt;
    if (this->Transaction == SessionTransaction::None)
      return this->errorReply(ReplyError::Malformed, "no transaction is open");
    this->onTransactionEnded();
    return this->successReply();
  case StatementKind::Commit:
    if (!this->inTransaction())
      return this->errorReply(ReplyError::Malformed, "no transaction is open");
    return std::nullopt;
  case StatementKind::SetValue:
    this->Values[Request.Name] = Request.Operand;
    return this->successReply();
  case StatementKind::Prepare:
    this->Prepared[Request.Name] = PreparedStatement{
        .Writes = Request.PreparedWrites, .Text = Request.Operand};
    return this->successReply();
  case StatementKind::Deallocate:
    if (this->Prepared.erase(Request.Name) == 0)
      return this->errorReply(ReplyError::StatementUnknown,
                              "no prepared statement of this name");
    return this->successReply();
  case StatementKind::Execute:
    if (!this->prepared(Request.Name))
      return this->errorReply(ReplyError::StatementUnknown,
                              "no prepared statement of this name");
    return std::nullopt;
  case StatementKind::Read:
  case StatementKind::Write:
    return std::nullopt;
  case StatementKind::Unknown:
    break;
  }
  return this->errorReply(ReplyError::Malformed, "unknown statement");
}

void SessionState::onTransactionStarted() {
  this->Transaction = SessionTransaction::Running;
}

void SessionState::onTransactionFailed() {
  if (this->inTransaction())
    this->Transaction = SessionTransaction::Failed;
}

void SessionState::onTransactionEnded() {
  this->Transaction = SessionTransaction::None;
  this->ReadOnly = false;
}

void SessionState::onWriteAcknowledged(const ServiceId &Service,
                                       const EpochPosition &Reached) {
  EpochPosition &Last =
      this->LastWrites.try_emplace(Service, Reached).first->second;
  Last = std::max(Last, Reached);
}

std::optional<EpochPosition>
SessionState::lastWrite(const ServiceId &Service) const {
  auto Found = this->LastWrites.find(Service);
  if (Found == this->LastWrites.end())
    return std::nullopt;
  return Found->second;
}

} // namespace turmericpitch
