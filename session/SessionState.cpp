#include "session/SessionState.h"

namespace turmericpitch {

StatementReply SessionState::done() const {
  StatementReply Reply;
  Reply.Mark = this->mark();
  return Reply;
}

StatementReply SessionState::refuse(ReplyError Code, std::string Text) const {
  StatementReply Reply = this->done();
  Reply.Failure =
      ReplyFailure{.Code = Code, .Spelled = {}, .Text = std::move(Text)};
  return Reply;
}

TransactionMark SessionState::mark() const {
  switch (this->Transaction) {
  case SessionTransaction::None:
    return TransactionMark::None;
  case SessionTransaction::Failed:
    return TransactionMark::Failed;
  default:
    return TransactionMark::Open;
  }
}

const PreparedStatement *SessionState::prepared(const std::string &Name) const {
  auto Found = this->Prepared.find(Name);
  return Found == this->Prepared.end() ? nullptr : &Found->second;
}

bool SessionState::isWrite(const Statement &Asked) const {
  if (Asked.Kind == StatementKind::Write)
    return true;
  if (Asked.Kind != StatementKind::Execute)
    return false;
  const PreparedStatement *Found = this->prepared(Asked.Name);
  return Found && Found->Writes;
}

bool SessionState::mayWrite(const Statement &Asked) const {
  if (this->inTransaction())
    return !this->OnlyReads;
  return this->isWrite(Asked);
}

std::optional<StatementReply> SessionState::begin(bool Reading) {
  if (this->inTransaction())
    return this->refuse(ReplyError::Malformed, "a transaction is open already");
  this->Transaction = SessionTransaction::Opened;
  this->OnlyReads = Reading;
  return this->done();
}

std::optional<StatementReply>
SessionState::answerInFailed(const Statement &Asked) {
  if (Asked.Kind == StatementKind::Rollback) {
    this->onTransactionEnded();
    return this->done();
  }
  if (Asked.Kind == StatementKind::Commit) {
    this->onTransactionEnded();
    return this->refuse(ReplyError::Aborted, "the transaction was rolled back");
  }
  return this->refuse(ReplyError::Aborted,
                      "the transaction was rolled back; end it");
}

std::optional<StatementReply>
SessionState::answerLocally(const Statement &Asked) {
  if (this->Transaction == SessionTransaction::Failed)
    return this->answerInFailed(Asked);
  switch (Asked.Kind) {
  case StatementKind::Begin:
    return this->begin(false);
  case StatementKind::BeginRead:
    return this->begin(true);
  case StatementKind::Rollback:
    if (this->Transaction == SessionTransaction::Running)
      return std::nullopt;
    if (this->Transaction == SessionTransaction::None)
      return this->refuse(ReplyError::Malformed, "no transaction is open");
    this->onTransactionEnded();
    return this->done();
  case StatementKind::Commit:
    if (!this->inTransaction())
      return this->refuse(ReplyError::Malformed, "no transaction is open");
    return std::nullopt;
  case StatementKind::SetValue:
    this->Values[Asked.Name] = Asked.Rest;
    return this->done();
  case StatementKind::Prepare:
    this->Prepared[Asked.Name] =
        PreparedStatement{.Writes = Asked.PreparesWrite, .Shape = Asked.Rest};
    return this->done();
  case StatementKind::Deallocate:
    if (this->Prepared.erase(Asked.Name) == 0)
      return this->refuse(ReplyError::StatementUnknown,
                          "no prepared statement of this name");
    return this->done();
  case StatementKind::Execute:
    if (!this->prepared(Asked.Name))
      return this->refuse(ReplyError::StatementUnknown,
                          "no prepared statement of this name");
    return std::nullopt;
  case StatementKind::Read:
  case StatementKind::Write:
    return std::nullopt;
  case StatementKind::Unknown:
    break;
  }
  return this->refuse(ReplyError::Malformed, "the statement is not understood");
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
  this->OnlyReads = false;
}

void SessionState::onWritten(const EpochPosition &Reached) {
  if (!this->Written || *this->Written < Reached)
    this->Written = Reached;
}

} // namespace turmericpitch
