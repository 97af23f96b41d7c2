// The operations that this instance has been granted, and those that wait.
#pragma once

#include "core/OperationLimit.h"
#include "limits/LimitDecision.h"
#include "limits/LimitMessages.h"
#include "limits/OperationStock.h"

#include <deque>
#include <map>
#include <set>

namespace turmericpitch {

/// Identifies an operation that waits for credit.
using LimitTicket = std::uint64_t;

/// The decision on an operation that has waited.
struct LimitOutcome {
  LimitTicket Ticket = 0;
  LimitDecision Decision;

  bool operator==(const LimitOutcome &) const = default;
};

struct LimitBorrowerOptions {
  /// A request without a reply is repeated after this long. Several round trips
  /// between zones.
  Duration AskTimeout = std::chrono::milliseconds(60);
  /// An operation that got no reply for so long is refused. Below the latency
  /// objectives of most callers.
  Duration MaxWait = std::chrono::milliseconds(150);
  /// Operations are borrowed ahead for this long. Above the deposit interval.
  Duration UsePeriod = std::chrono::milliseconds(250);
  /// A keeper's RetryAfter is trusted here no longer than this, as credit may
  /// come from elsewhere.
  Duration MaxPause = std::chrono::milliseconds(250);
};

/// Tracks the stock, the use and the waiting operations of each account with a
/// limit. Operations of one account are decided in the order of their arrival.
/// Pure; not thread-safe.
class LimitBorrower {
public:
  /// MinBurst is the smallest burst of any limit, in operations.
  LimitBorrower(LimitBorrowerOptions Options, double MinBurst)
      : Options(Options), MinBurst(MinBurst) {}

  void setLimits(const std::map<ClientAccountId, OperationLimit> &Limits);
  /// The account's limit, or null.
  [[nodiscard]] const OperationLimit *
  limitOf(const ClientAccountId &Account) const;
  /// Takes one operation from the stock; nothing if there is none or earlier
  /// operations wait. Precondition here and below: the account has a limit.
  std::optional<OperationGrant> take(const ClientAccountId &Account,
                                     TimePoint Now);
  /// Whether earlier operations wait.
  [[nodiscard]] bool hasWaiting(const ClientAccountId &Account) const;
  /// Time until asking again is of use; 0 if it is now.
  [[nodiscard]] Duration pauseOf(const ClientAccountId &Account,
                                 TimePoint Now) const;
  void wait(const ClientAccountId &Account, LimitTicket Ticket, TimePoint Now);
  /// Counts an operation that was admitted from elsewhere.
  void noteUse(const ClientAccountId &Account);
  /// Adds an operation that has not run. Ignored if the account has no limit or
  /// another one than when it was admitted.
  void putBack(const OperationGrant &Grant, TimePoint Now);

  /// Updates the estimated use from what was admitted in the period that ends.
  void updateUse(Duration Period);
  /// What to ask for now: for accounts with waiting operations, and if Ahead,
  /// for those in steady use. None is listed whose request is under way.
  [[nodiscard]] std::vector<AccountNeed> needs(bool Ahead, TimePoint Now) const;
  /// A keeper was asked for the account's need with this request.
  void onAsked(const ClientAccountId &Account, const InstanceId &Keeper,
               std::uint64_t Sequence, TimePoint Now);
  /// A keeper's reply to the request that was sent at SentAt. Usable no longer
  /// than credit of the present limit, whichever the keeper counts by.
  void onGrant(const InstanceId &Keeper, std::uint64_t Sequence,
               const AccountGrant &Grant, TimePoint SentAt, TimePoint Now);
  /// Decides on the waiting operations that have waited too long.
  void refuseOverdue(TimePoint Now);
  /// Decides on the first waiting operation of the account. Precondition: there
  /// is one.
  void decideFirst(const ClientAccountId &Account, LimitDecision Decision);
  [[nodiscard]] const std::set<ClientAccountId> &waiting() const {
    return this->Waiting;
  }
  /// When needs() or refuseOverdue() will have more to do; nothing if they
  /// won't by themselves.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;
  /// The decisions since the last call.
  std::vector<LimitOutcome> takeOutcomes();

private:
  struct WaitingOperation {
    LimitTicket Ticket = 0;
    TimePoint Since;
  };
  struct Ask {
    InstanceId Keeper;
    std::uint64_t Sequence = 0;
    TimePoint SentAt;
  };
  struct Account {
    OperationLimit Limit;
    OperationStock Stock;
    std::deque<WaitingOperation> Queue;
    std::optional<Ask> UnderWay;
    TimePoint PausedUntil;
    double Used = 0;
    double UsePerSecond = 0;
  };

  [[nodiscard]] double needOf(const Account &Of, TimePoint Now) const;
  void addToStock(Account &Of, double Operations, TimePoint ExpiresAt,
                  TimePoint Now);
  void refuseAll(const ClientAccountId &Id, Duration RetryAfter);
  void serveWaiting(const ClientAccountId &Id, TimePoint Now);

  LimitBorrowerOptions Options;
  double MinBurst;
  std::map<ClientAccountId, Account> Accounts;
  /// Accounts with waiting operations.
  std::set<ClientAccountId> Waiting;
  std::vector<LimitOutcome> Outcomes;
};

} // namespace turmericpitch
