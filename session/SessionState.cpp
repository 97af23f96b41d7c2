#include "session/SessionState.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Memory that an entry needs beside its name and its content, in bytes.
constexpr std::size_t EntryOverhead = 128;

/// The bytes of an entry; 0 if it doesn't exist.
template <typename Map, typename Size>
std::size_t bytesOf(const Map &Entries, const std::string &Name,
                    Size ContentSize) {
  auto Found = Entries.find(Name);
  return Found == Entries.end() ? 0 : Name.size() + ContentSize(Found->second);
}

std::size_t valueBytesOf(const std::map<std::string, std::string> &Values,
                         const std::string &Name) {
  return bytesOf(Values, Name,
                 [](const std::string &Value) { return Value.size(); });
}

std::size_t
preparedBytesOf(const std::map<std::string, PreparedStatement> &Prepared,
                const std::string &Name) {
  return bytesOf(Prepared, Name, [](const PreparedStatement &Each) {
    return Each.Text.size();
  });
}

} // namespace

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
    return this->setValue(Request);
  case StatementKind::Prepare:
    return this->prepare(Request);
  case StatementKind::Deallocate:
    this->PreparedBytes -= preparedBytesOf(this->Prepared, Request.Name);
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

StatementReply SessionState::setValue(const Statement &Request) {
  std::size_t Bytes = this->ValueBytes + Request.Name.size() +
                      Request.Operand.size() -
                      valueBytesOf(this->Values, Request.Name);
  if (Bytes > this->Limits.ValueBytes ||
      (this->full() && !this->Values.contains(Request.Name)))
    return this->errorReply(ReplyError::TooLarge,
                            "the session's values exceed their limit; not set");
  this->ValueBytes = Bytes;
  this->Values[Request.Name] = Request.Operand;
  return this->successReply();
}

StatementReply SessionState::prepare(const Statement &Request) {
  std::size_t Bytes = this->PreparedBytes + Request.Name.size() +
                      Request.Operand.size() -
                      preparedBytesOf(this->Prepared, Request.Name);
  if (Bytes > this->Limits.PreparedBytes ||
      (this->full() && !this->prepared(Request.Name)))
    return this->errorReply(ReplyError::TooLarge,
                            "the session's prepared statements exceed their "
                            "limit; not prepared, deallocate others before");
  this->PreparedBytes = Bytes;
  this->Prepared[Request.Name] = PreparedStatement{
      .Writes = Request.PreparedWrites, .Text = Request.Operand};
  return this->successReply();
}

std::size_t SessionState::bytes() const {
  return this->ValueBytes + this->PreparedBytes +
         EntryOverhead * (this->Values.size() + this->Prepared.size());
}

std::size_t SessionState::bytesAfter(const Statement &Request) const {
  std::size_t Added =
      EntryOverhead + Request.Name.size() + Request.Operand.size();
  // Of an entry that is replaced, the former content is counted as well, as it
  // is released only then.
  if (Request.Kind == StatementKind::SetValue ||
      Request.Kind == StatementKind::Prepare)
    return this->bytes() + Added;
  return this->bytes();
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
