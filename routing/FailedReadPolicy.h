// Decides whether a statement that failed at one member runs at another.
#pragma once

#include "limits/RetryBudget.h"
#include "session/StatementReply.h"

namespace turmericpitch {

/// A member's reply that a statement ran and failed. Immutable value.
struct FailedAttempt {
  ReplyError Error = ReplyError::Failed;
  /// Whether running the statement once more has no effect: a read outside a
  /// transaction.
  bool Repeatable = false;
  /// Whether the statement has attempts left.
  bool AttemptsLeft = true;

  bool operator==(const FailedAttempt &) const = default;
};

/// Answers a member that fails some of its statements although its health check
/// succeeds. Only reads run again, and only while Budget has tokens, so that a
/// service all of whose members fail doesn't get several times its load. Spends
/// a token of Budget if it returns true. Not thread-safe.
bool shouldRunElsewhere(const FailedAttempt &Seen, RetryBudget &Budget);

} // namespace turmericpitch
