// Limits the operations of client accounts over all instances.
#pragma once

#include "core/OperationLimit.h"
#include "limits/LimitDecision.h"
#include "limits/LimitMessages.h"

#include <map>
#include <vector>

namespace turmericpitch {

struct AccountLimiterOptions {
  InstanceId Self;
  /// Unique for each start of the process.
  std::uint64_t Incarnation = 0;
  // Further options: deposit interval, reply timeout, silence after which the
  // next keeper is chosen, smallest burst.
};

/// A message to another instance.
struct LimitSend {
  InstanceId To;
  LimitMessage Message;

  bool operator==(const LimitSend &) const = default;
};

/// Identifies an operation that waits for credit.
using LimitTicket = std::uint64_t;

/// The decision on an operation that has waited.
struct LimitOutcome {
  LimitTicket Ticket = 0;
  LimitDecision Decision;

  bool operator==(const LimitOutcome &) const = default;
};

/// Creates, pools, borrows and spends the credit of limits: one instance's part
/// as owner, keeper and borrower. docs/design/0204-account-limits.md. Pure; not
/// thread-safe.
class AccountLimiter {
public:
  AccountLimiter(AccountLimiterOptions Options, TimePoint Now);

  /// The limits in force; an account that isn't listed has none.
  void setLimits(std::map<ClientAccountId, OperationLimit> Limits);
  /// The keepers, the same on each instance that has the same list of
  /// instances; may contain Self.
  void setKeepers(std::vector<InstanceId> Keepers);
  /// This instance's share, as ShareRight allows it now. Call on each change
  /// and before each tick.
  void setShare(double Share, TimePoint Now);

  /// Decides at once if the credit here suffices or the account has no limit;
  /// otherwise returns nothing, and takeOutcomes() tells the decision.
  std::optional<LimitDecision> admit(const ClientAccountId &Account,
                                     LimitTicket Ticket, TimePoint Now);
  /// Returns the credit of an operation of which nothing has run.
  void refund(const OperationGrant &Grant, TimePoint Now);
  /// Call every DepositInterval, and after admit() returned nothing.
  std::vector<LimitSend> onTick(TimePoint Now);
  std::vector<LimitSend> onMessage(const InstanceId &From,
                                   const LimitMessage &Message, TimePoint Now);
  /// The decisions since the last call.
  std::vector<LimitOutcome> takeOutcomes();
};

} // namespace turmericpitch
