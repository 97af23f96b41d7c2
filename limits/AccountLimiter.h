// Limits the operations of client accounts over all instances.
#pragma once

#include "core/OperationLimit.h"
#include "limits/KeeperContact.h"
#include "limits/LimitBorrower.h"
#include "limits/LimitDecision.h"
#include "limits/LimitKeeper.h"
#include "limits/LimitMessages.h"

#include <map>
#include <vector>

namespace turmericpitch {

struct AccountLimiterOptions {
  InstanceId Self;
  /// Unique for each start of the process.
  std::uint64_t Incarnation = 0;
  /// Between deposits of the credit that this instance has created.
  Duration DepositInterval = std::chrono::milliseconds(200);
  /// Smallest burst of any limit, in operations: whole operations have to
  /// gather before their credit expires.
  double MinBurst = 5;
  /// A former keeper is forgotten after this long.
  Duration ContactRetention = std::chrono::seconds(30);
  KeeperContactOptions Contact = {};
  LimitBorrowerOptions Borrowing = {};
};

/// A message to another instance.
struct LimitSend {
  InstanceId To;
  LimitMessage Message;

  bool operator==(const LimitSend &) const = default;
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
  /// Call every DepositInterval, at nextTickAt(), and after admit() returned
  /// nothing.
  std::vector<LimitSend> onTick(TimePoint Now);
  /// When the next tick is due. While operations wait, or a keeper has never
  /// answered, earlier than the next deposit.
  [[nodiscard]] TimePoint nextTickAt() const;
  std::vector<LimitSend> onMessage(const InstanceId &From,
                                   const LimitMessage &Message, TimePoint Now);
  /// When the request that a reply answers was sent; nothing if the reply is
  /// repeated or not to a request of this process. To be called before
  /// onMessage().
  [[nodiscard]] std::optional<TimePoint>
  requestSentAt(const InstanceId &From, const LimitReply &Reply) const;
  /// Whether another keeper has answered since the start, or there is none, so
  /// that this instance takes part in the fleet's limits.
  [[nodiscard]] bool hasContact() const;
  /// Number of senders of requests that are remembered.
  [[nodiscard]] std::size_t senders() const { return this->Pool.senders(); }
  /// The decisions since the last call.
  std::vector<LimitOutcome> takeOutcomes();

private:
  /// The keepers with which credit is deposited now, sorted; this instance
  /// alone if none is reachable.
  [[nodiscard]] std::vector<InstanceId> reachableKeepers(TimePoint Now) const;
  [[nodiscard]] bool isAlone(const std::vector<InstanceId> &Keepers) const;
  void create(TimePoint Now);
  void forgetFormerKeepers(TimePoint Now);
  LimitRequest newRequest(const InstanceId &To, TimePoint Now);
  void deposit(const std::vector<InstanceId> &Keepers,
               std::map<InstanceId, LimitRequest> &Requests, TimePoint Now);
  void ask(const std::vector<InstanceId> &Keepers, bool Ahead,
           std::map<InstanceId, LimitRequest> &Requests,
           std::vector<LimitSend> &Full, TimePoint Now);
  void probe(const std::vector<InstanceId> &Keepers,
             std::map<InstanceId, LimitRequest> &Requests, TimePoint Now);
  /// Decides on waiting operations for which this instance is the keeper.
  void serveWaiting(const std::vector<InstanceId> &Keepers, TimePoint Now);
  std::optional<OperationGrant> takePooled(const ClientAccountId &Account,
                                           Duration &RetryAfter, TimePoint Now);
  [[nodiscard]] LimitDecision refusal(const std::vector<InstanceId> &Keepers,
                                      Duration RetryAfter) const;

  AccountLimiterOptions Options;
  /// Pools the credit of this instance too while it reaches no keeper.
  LimitKeeper Pool;
  LimitBorrower Borrower;
  std::vector<InstanceId> Keepers;
  /// The keepers other than this instance, and former ones for a while.
  std::map<InstanceId, KeeperContact> Contacts;
  /// Since when a contact has been no keeper.
  std::map<InstanceId, TimePoint> FormerSince;
  /// No forgotten contact has used a later sequence: a keeper drops requests
  /// whose sequence it has seen.
  std::uint64_t ForgottenSequence = 0;
  double Share = 0;
  /// Credit that was created since SliceStart and is not yet deposited.
  double ShareSeconds = 0;
  TimePoint SliceStart;
  TimePoint CreatedUntil;
  TimePoint DepositedAt;
};

} // namespace turmericpitch
