// What a caller's session holds from its first statement to its end.
#pragma once

#include "core/LogPosition.h"
#include "session/Statement.h"
#include "session/StatementReply.h"

#include <map>
#include <optional>
#include <string>

namespace turmericpitch {

/// A statement that a session has given a name.
struct PreparedStatement {
  bool Writes = false;
  std::string Text;

  auto operator<=>(const PreparedStatement &) const = default;
};

/// A log position together with the epoch of the primary it was read under.
struct EpochPosition {
  std::uint64_t Epoch = 0;
  TermPosition Entry;

  auto operator<=>(const EpochPosition &) const = default;
};

/// A session's transaction, as far as its caller knows it.
enum class SessionTransaction : std::uint8_t {
  None,
  /// Opened by the caller, nothing sent to a member yet.
  Opened,
  /// Open at a member.
  Running,
  /// Rolled back or about to be; only its end is taken.
  Failed,
};

/// Values, prepared statements and the transaction of one session. Answers
/// what needs no member. Pure; not thread-safe.
class SessionState {
public:
  /// Answers a statement that needs no member, and keeps what it sets;
  /// nothing if a member must run it.
  std::optional<StatementReply> answerLocally(const Statement &Request);
  /// Whether a statement may write. A transaction's commit counts as one if
  /// the transaction isn't a reading one.
  [[nodiscard]] bool mayWrite(const Statement &Request) const;
  /// Whether a statement changes data by itself.
  [[nodiscard]] bool isWrite(const Statement &Request) const;

  /// The transaction was opened at a member.
  void onTransactionStarted();
  /// The transaction failed, or was rolled back by the proxy.
  void onTransactionFailed();
  /// The transaction is over.
  void onTransactionEnded();
  /// A write or commit of the session is part of the log up to Reached.
  void onWriteAcknowledged(const EpochPosition &Reached);

  [[nodiscard]] SessionTransaction transaction() const {
    return this->Transaction;
  }
  [[nodiscard]] bool inTransaction() const {
    return this->Transaction != SessionTransaction::None;
  }
  /// Whether the open transaction only reads.
  [[nodiscard]] bool isReadOnly() const { return this->ReadOnly; }
  [[nodiscard]] TransactionStatus transactionStatus() const;
  [[nodiscard]] const std::map<std::string, std::string> &values() const {
    return this->Values;
  }
  /// The prepared statement of this name, or nullptr.
  [[nodiscard]] const PreparedStatement *
  prepared(const std::string &Name) const;
  [[nodiscard]] const std::optional<EpochPosition> &lastWrite() const {
    return this->LastWrite;
  }

private:
  std::optional<StatementReply> begin(bool Reading);
  std::optional<StatementReply>
  answerInFailedTransaction(const Statement &Request);
  [[nodiscard]] StatementReply done() const;
  [[nodiscard]] StatementReply refuse(ReplyError Code, std::string Text) const;

  std::map<std::string, std::string> Values;
  std::map<std::string, PreparedStatement> Prepared;
  SessionTransaction Transaction = SessionTransaction::None;
  bool ReadOnly = false;
  std::optional<EpochPosition> LastWrite;
};

} // namespace turmericpitch
