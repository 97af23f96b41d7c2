// The state of a caller's session.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "session/Statement.h"
#include "session/StatementReply.h"

#include <map>
#include <optional>
#include <string>

namespace turmericpitch {

/// A prepared statement of a session.
struct PreparedStatement {
  bool Writes = false;
  std::string Text;

  auto operator<=>(const PreparedStatement &) const = default;
};

/// A log position with the epoch of the primary that reported it. Positions of
/// different services can't be compared.
struct EpochPosition {
  std::uint64_t Epoch = 0;
  TermPosition Entry;

  auto operator<=>(const EpochPosition &) const = default;
};

/// The state of a session's transaction from the caller's point of view.
enum class SessionTransaction : std::uint8_t {
  None,
  /// Opened by the caller; nothing has been sent to a member yet.
  Opened,
  /// Open at a member.
  Running,
  /// Rolled back, or about to be; only COMMIT and ROLLBACK are accepted.
  Failed,
};

/// Bounds of what one session keeps until it ends.
struct SessionStateLimits {
  /// Values and prepared statements together.
  std::size_t Entries = 1000;
  /// Bytes of the values and their names. Each connection to a member that has
  /// served the session keeps a copy.
  std::size_t ValueBytes = std::size_t{64} * 1024;
  /// Bytes of the names and texts of prepared statements.
  std::size_t PreparedBytes = std::size_t{2} * 1024 * 1024;
};

/// Values, prepared statements and the transaction of one session. Answers the
/// statements that need no member. Performs no I/O; not thread-safe.
class SessionState {
public:
  SessionState() = default;
  explicit SessionState(SessionStateLimits Limits) : Limits(Limits) {}

  /// Executes a statement that needs no member and returns its reply. Returns
  /// nothing if a member has to execute the statement.
  std::optional<StatementReply> answerLocally(const Statement &Request);
  /// Whether a statement may write. In a transaction that is not read-only,
  /// every statement may, including the commit.
  [[nodiscard]] bool mayWrite(const Statement &Request) const;
  /// Whether the statement itself writes.
  [[nodiscard]] bool isWrite(const Statement &Request) const;

  /// Call when a member has opened the transaction.
  void onTransactionStarted();
  /// Call when the transaction has failed or the proxy has rolled it back.
  void onTransactionFailed();
  /// Call when the transaction has ended.
  void onTransactionEnded();
  /// Records that the service's log up to Reached contains a write or commit of
  /// the session. Earlier positions are ignored.
  void onWriteAcknowledged(const ServiceId &Service,
                           const EpochPosition &Reached);

  [[nodiscard]] SessionTransaction transaction() const {
    return this->Transaction;
  }
  [[nodiscard]] bool inTransaction() const {
    return this->Transaction != SessionTransaction::None;
  }
  /// Whether the open transaction is read-only.
  [[nodiscard]] bool isReadOnly() const { return this->ReadOnly; }
  [[nodiscard]] TransactionStatus transactionStatus() const;
  [[nodiscard]] const std::map<std::string, std::string> &values() const {
    return this->Values;
  }
  /// Memory for values and prepared statements in bytes.
  [[nodiscard]] std::size_t bytes() const;
  /// The same after Request, if it is executed.
  [[nodiscard]] std::size_t bytesAfter(const Statement &Request) const;
  /// The prepared statement with this name, or nullptr.
  [[nodiscard]] const PreparedStatement *
  prepared(const std::string &Name) const;
  /// The position of the session's last write or commit in a service; empty
  /// without one.
  [[nodiscard]] std::optional<EpochPosition>
  lastWrite(const ServiceId &Service) const;

private:
  std::optional<StatementReply> begin(bool ReadOnlyRequested);
  StatementReply setValue(const Statement &Request);
  StatementReply prepare(const Statement &Request);
  /// Whether another value or prepared statement exceeds the limit.
  [[nodiscard]] bool full() const {
    return this->Values.size() + this->Prepared.size() >= this->Limits.Entries;
  }
  std::optional<StatementReply>
  answerInFailedTransaction(const Statement &Request);
  [[nodiscard]] StatementReply successReply() const;
  [[nodiscard]] StatementReply errorReply(ReplyError Code,
                                          std::string Text) const;

  SessionStateLimits Limits;
  std::map<std::string, std::string> Values;
  std::map<std::string, PreparedStatement> Prepared;
  /// Bytes of the names and contents.
  std::size_t ValueBytes = 0;
  std::size_t PreparedBytes = 0;
  SessionTransaction Transaction = SessionTransaction::None;
  bool ReadOnly = false;
  /// By service, as the session's route may be replaced by one to another.
  std::map<ServiceId, EpochPosition> LastWrites;
};

} // namespace turmericpitch
