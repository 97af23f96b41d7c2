// One caller's open transaction, as an instance keeps it.
#pragma once

#include "core/Member.h"
#include "core/Time.h"

namespace turmericpitch {

/// Bounds of a transaction's time.
struct TransactionLimits {
  /// Longest silence of the caller between two requests.
  Duration IdleTimeout = std::chrono::seconds(10);
  /// Longest time from begin to commit.
  Duration MaxDuration = std::chrono::seconds(60);

  bool operator==(const TransactionLimits &) const = default;
};

/// Who a transaction belongs to and where it runs; fixed at its begin.
struct TransactionPin {
  TransactionId Id;
  ClientAccountId Owner;
  DatabaseId Target;
  /// The member whose connection carries it.
  UpstreamId Member;
  /// The term it was begun in; it ends with the term.
  Term BeginTerm;

  bool operator==(const TransactionPin &) const = default;
};

/// Which of a caller's transactions a request means.
struct TransactionClaim {
  TransactionId Id;
  ClientAccountId Owner;
  DatabaseId Target;
};

enum class TransactionStep {
  /// Takes statements.
  Open,
  /// A request for it is with the member.
  Busy,
  /// Its commit is with the member.
  Committing,
  /// Ended by the member's answer to a commit or rollback; the connection
  /// carries nothing of it any more.
  EndedClean,
  /// Ended in any other way; the connection must be closed, which rolls back
  /// whatever the member still has of it.
  EndedDirty,
};

/// The step's stable name in the decision log. Thread-safe.
std::string_view toString(TransactionStep Step);

/// The life of one transaction on one connection to a member. Pure; not
/// thread-safe.
class TransactionState {
public:
  TransactionState(TransactionPin Pin, TransactionLimits Limits, TimePoint Now);

  /// Whether a request may be sent on the transaction's connection now.
  /// Errors: NotRun with the remedy if it isn't this transaction, is no
  /// longer open, or has outlived its limits.
  [[nodiscard]] Status admit(const TransactionClaim &Claim,
                             TimePoint Now) const;

  /// A statement goes to the member. Precondition: admit() had no error.
  void onStatementSent();
  /// The statement's outcome as the caller gets it. Only a statement that the
  /// member found wrong leaves the transaction open; after any other error it
  /// is over, and as its commit was never sent, nothing of it takes effect.
  Outcome<MemberAnswer> onStatementAnswer(Outcome<MemberAnswer> Answer,
                                          TimePoint Now);
  /// The commit or rollback goes to the member. Precondition: as above.
  void onEndSent();
  /// The member's answer to it.
  void onEndAnswer(const Outcome<MemberAnswer> &Answer);
  /// Ends a transaction that has outlived its limits. Returns whether it did;
  /// never while a request is with the member.
  bool endIfExpired(TimePoint Now);
  /// The caller is gone, or the instance gives the transaction up.
  void abandon();

  /// When endIfExpired() should be called next.
  [[nodiscard]] TimePoint expiresAt() const;
  [[nodiscard]] bool ended() const;
  /// Whether the connection may serve other callers.
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

/// The error for a transaction that this connection does not hold.
Error unknownTransactionError();

} // namespace turmericpitch
