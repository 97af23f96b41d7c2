// The state that an instance keeps for an open transaction of a caller.
#pragma once

#include "core/Member.h"
#include "core/Time.h"

namespace turmericpitch {

/// Time limits of a transaction.
struct TransactionLimits {
  /// Longest time between two requests of the caller.
  Duration IdleTimeout = std::chrono::seconds(10);
  /// Longest time from begin to commit.
  Duration MaxDuration = std::chrono::seconds(60);

  bool operator==(const TransactionLimits &) const = default;
};

/// The owner of a transaction and the member that runs it; fixed when the
/// transaction begins.
struct TransactionPin {
  TransactionId Id;
  ClientAccountId Owner;
  DatabaseId Target;
  /// The member whose connection the transaction uses.
  UpstreamId Member;
  /// The term in which the transaction began; it can't outlive this term.
  Term BeginTerm;

  bool operator==(const TransactionPin &) const = default;
};

/// The transaction that a request refers to.
struct TransactionReference {
  TransactionId Id;
  ClientAccountId Owner;
  DatabaseId Target;
};

enum class TransactionStep {
  /// Accepts statements.
  Open,
  /// A statement has been sent to the member and not been answered yet.
  Busy,
  /// The commit or rollback has been sent to the member and not been answered
  /// yet.
  Committing,
  /// Ended by the member's answer to a commit or rollback; the connection has
  /// no state of the transaction left.
  EndedClean,
  /// Ended in any other way. The connection must be closed, so that the member
  /// rolls back the transaction if it is still open there.
  EndedDirty,
};

/// The step's stable name in the decision log. Thread-safe.
std::string_view toString(TransactionStep Step);

/// The state machine of one transaction on one connection to a member. Performs
/// no I/O; not thread-safe.
class TransactionState {
public:
  TransactionState(TransactionPin Pin, TransactionLimits Limits, TimePoint Now);

  /// Checks whether a request may be sent on the transaction's connection now.
  /// Errors: NotRun with a remedy if Reference names another transaction, or if
  /// this one is not open or has exceeded its time limits.
  [[nodiscard]] Status admit(const TransactionReference &Reference,
                             TimePoint Now) const;

  /// Call when a statement is sent to the member. Precondition: admit()
  /// returned no error.
  void onStatementSent();
  /// Call with the member's answer to the statement. Returns the outcome for
  /// the caller. The transaction stays open after a success and after a
  /// statement that the member rejected as invalid. Any other error ends it;
  /// since its commit was never sent, it has no effect.
  Outcome<MemberAnswer> onStatementAnswer(Outcome<MemberAnswer> Answer,
                                          TimePoint Now);
  /// Call when the commit or rollback is sent to the member. Precondition:
  /// admit() returned no error.
  void onEndSent();
  /// Call with the member's answer to the commit or rollback.
  void onEndAnswer(const Outcome<MemberAnswer> &Answer);
  /// Ends the transaction if it has exceeded its time limits and no request is
  /// in flight at the member. Returns whether it ended the transaction.
  bool endIfExpired(TimePoint Now);
  /// Ends the transaction because its caller has disconnected or the instance
  /// no longer continues it.
  void abandon();

  /// When endIfExpired() should be called next.
  [[nodiscard]] TimePoint expiresAt() const;
  [[nodiscard]] bool ended() const;
  /// Whether the connection may be reused for other callers.
  [[nodiscard]] bool connectionIsClean() const;
  [[nodiscard]] TransactionStep step() const { return this->Step; }
  [[nodiscard]] const TransactionPin &pin() const { return this->Pin; }

private:
  TransactionPin Pin;
  TransactionLimits Limits;
  TransactionStep Step = TransactionStep::Open;
  TimePoint StartedAt;
  TimePoint LastUsedAt;
};

/// The error for a transaction that is not open on this connection.
Error unknownTransactionError();

} // namespace turmericpitch
