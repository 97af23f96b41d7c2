// The decision whether a client account may start an operation.
#pragma once

#include "core/Identifiers.h"
#include "core/OperationLimit.h"
#include "core/Time.h"

#include <functional>
#include <string_view>

namespace turmericpitch {

/// Why an operation was not admitted.
enum class LimitRefusal : std::uint8_t {
  /// The account has used its limit.
  LimitReached,
  /// This instance has no right to any share of the limit and reaches no other
  /// instance that has.
  NoShare,
};

/// The stable name in the decision log. Thread-safe.
std::string_view toString(LimitRefusal Refusal);

/// One admitted operation. Immutable value.
struct OperationGrant {
  ClientAccountId Account;
  /// Until when the credit may be used again after a refund.
  TimePoint ExpiresAt;
  /// The limit that it was counted by. A refund after a change is of no use.
  OperationLimit Limit = {};

  bool operator==(const OperationGrant &) const = default;
};

/// Whether an operation was admitted. Immutable value.
struct LimitDecision {
  bool Admitted = false;
  /// If admitted.
  OperationGrant Grant = {};
  /// If refused.
  LimitRefusal Refusal = LimitRefusal::LimitReached;
  /// If refused: time until the account's next credit.
  Duration RetryAfter{0};

  bool operator==(const LimitDecision &) const = default;
};

/// How sessions ask for admission. Either function may be empty, which admits
/// every operation.
struct OperationGate {
  using Handler = std::function<void(const LimitDecision &)>;

  /// Decides on one operation of an account. The handler runs once, possibly
  /// before this returns, and within a few hundred milliseconds.
  std::function<void(const ClientAccountId &, Handler)> Admit;
  /// Returns the credit of an operation of which nothing has run.
  std::function<void(const OperationGrant &)> Refund;
};

} // namespace turmericpitch
