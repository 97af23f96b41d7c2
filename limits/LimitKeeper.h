// A keeper: pools the credit of limits and grants operations from it.
#pragma once

#include "core/OperationLimit.h"
#include "limits/CreditPool.h"
#include "limits/LimitMessages.h"

#include <map>

namespace turmericpitch {

/// No caller is asked to wait longer, as limits change.
inline constexpr Duration MaxLimitRetryAfter = std::chrono::seconds(60);

struct LimitKeeperOptions {
  InstanceId Self;
  /// Unique for each start of the process.
  std::uint64_t Incarnation = 0;
  /// Smallest burst, in operations: so much is in transit at any time.
  double MinBurst = 5;
  /// Grants prefer credit that is valid at least this long.
  Duration UsePeriod = std::chrono::milliseconds(250);
  /// Deposits with an older echo are dropped, so that the sequences of an
  /// instance that is gone can be forgotten after a while.
  Duration MaxEchoAge = std::chrono::seconds(10);
  /// Rates of clocks differ by at most this fraction.
  double ClockDrift = 0.02;
};

/// Pools the credit that owners deposit. Pure; not thread-safe.
class LimitKeeper {
public:
  explicit LimitKeeper(LimitKeeperOptions Options)
      : Options(std::move(Options)) {}

  void setLimits(const std::map<ClientAccountId, OperationLimit> &Limits);
  /// Counts credit that was created no earlier than CreatedAt, for the accounts
  /// for which this instance ranks first among Keepers.
  void deposit(const std::vector<InstanceId> &Keepers, double ShareSeconds,
               TimePoint CreatedAt, TimePoint Now);
  /// Grants whole operations, up to Operations, valid from Now.
  AccountGrant grant(const ClientAccountId &Account, double Operations,
                     TimePoint Now);
  /// Counts the deposit and grants what is needed; nothing if the request is
  /// repeated or older than one already handled.
  std::optional<LimitReply>
  onRequest(const InstanceId &From, const LimitRequest &Request, TimePoint Now);

  /// Number of senders whose sequences are kept.
  [[nodiscard]] std::size_t senders() const { return this->Senders.size(); }

private:
  struct Account {
    OperationLimit Limit;
    Duration Age{0};
    CreditPool Pool;
    /// Deposits since InflowSince, and their rate before that, in share-seconds
    /// and share-seconds per second.
    double Inflow = 0;
    TimePoint InflowSince;
    double InflowRate = 0;
  };
  using AccountMap = std::map<ClientAccountId, Account>;
  struct SenderKey {
    InstanceId Instance;
    std::uint64_t Incarnation = 0;

    auto operator<=>(const SenderKey &) const = default;
  };
  struct Sender {
    std::uint64_t LastSequence = 0;
    TimePoint LastRequestAt;
  };

  bool acceptSequence(const InstanceId &From, const LimitRequest &Request,
                      TimePoint Now);
  void countDeposit(const LimitRequest &Request, TimePoint Now);
  /// The accounts for which this instance ranks first.
  const std::vector<Account *> &
  firstRanked(const std::vector<InstanceId> &Keepers);
  [[nodiscard]] Duration retryAfter(const Account &Of, double Missing) const;

  LimitKeeperOptions Options;
  AccountMap Accounts;
  /// Pointers into Accounts, by the sorted list of keepers.
  std::map<std::vector<InstanceId>, std::vector<Account *>> FirstRanked;
  std::map<SenderKey, Sender> Senders;
  TimePoint SendersCheckedAt;
};

} // namespace turmericpitch
