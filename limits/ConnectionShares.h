// Divides a database's connection quota between instances by demand.
#pragma once

#include "limits/ShareLender.h"

#include <string>

namespace turmericpitch {

struct ConnectionSharesOptions {
  DatabaseId Target;
  InstanceId Self;
  /// All instances that divide the connections, including Self. Must be the
  /// same on each instance.
  std::vector<InstanceId> Instances;
  /// Connections that each member accepts from all instances together.
  std::uint32_t Limit = 20;
  /// Unique to each start of the process.
  std::uint64_t Incarnation = 0;
  ShareLenderOptions Lending;
  /// The borrower stops using a loan this long before it expires.
  Duration ExpiryMargin = std::chrono::milliseconds(200);
  /// Time between two renewals of a loan.
  Duration RenewInterval = std::chrono::milliseconds(500);
  /// Time between two requests to an instance that had nothing to lend.
  Duration RetryInterval = std::chrono::seconds(2);
};

/// A message to send to another instance.
struct ShareSend {
  InstanceId To;
  ShareMessage Message;

  bool operator==(const ShareSend &) const = default;
};

/// Number of connections that may be open to each member, and until when.
struct ShareAllowance {
  std::uint32_t Usable = 0;
  /// From this time on only UsableAfterExpiry may be open, unless loans are
  /// renewed.
  TimePoint ValidUntil;
  std::uint32_t UsableAfterExpiry = 0;

  bool operator==(const ShareAllowance &) const = default;
};

/// Returns the share of Limit that the instance Self owns. Shares are equal;
/// the remainder goes to the first instances in the order of rendezvous
/// hashing. 0 if Self is not among the instances. Thread-safe.
std::uint32_t ownedShare(const ConnectionSharesOptions &Options);

/// One instance's part in dividing one database's connections. Each connection
/// is permanently owned by one instance. Owners lend connections that they do
/// not need under a lease of bounded time, so the sum of what all instances may
/// use never exceeds the limit, even if messages are lost, delayed or repeated
/// and instances are paused or isolated. Pure; not thread-safe.
class ConnectionShares {
public:
  ConnectionShares(ConnectionSharesOptions Options, TimePoint Now);

  /// Sets the number of connections needed to the busiest member.
  void setNeed(std::uint32_t Count) { this->Need = Count; }
  /// Sets whether no member has more connections open than usable(). Only then
  /// are reduced loans reported to their lenders as accepted.
  void setWithinAllowance(bool IsWithin) { this->WithinAllowance = IsWithin; }
  /// Sets a changed connection limit of the database.
  void setConnectionLimit(std::uint32_t Limit) { this->Options.Limit = Limit; }
  /// Handles a peer's message and returns the replies. A returned grant must
  /// not be sent before the open connections are within the current usable().
  std::vector<ShareSend> onMessage(const InstanceId &From,
                                   const ShareMessage &Message, TimePoint Now);
  /// Returns the requests that borrow missing connections and renew or return
  /// loans. Must be called regularly, at an interval well below RenewInterval.
  std::vector<ShareSend> onTick(TimePoint Now);

  /// Number of connections that may be open to each member.
  [[nodiscard]] std::uint32_t usable(TimePoint Now) const;
  [[nodiscard]] ShareAllowance allowance(TimePoint Now) const;
  /// Whether more connections are open than usable() because of loans that have
  /// expired. The excess must be closed, even if it is in use.
  [[nodiscard]] bool hasExpiredExcess(TimePoint Now) const;
  /// Connections that are never lent and may always be open.
  [[nodiscard]] std::uint32_t reservedShare() const;
  [[nodiscard]] std::uint32_t borrowed(TimePoint Now) const;
  [[nodiscard]] std::uint32_t lent(TimePoint Now) const;
  [[nodiscard]] std::uint32_t need() const { return this->Need; }

private:
  struct BorrowedLoan {
    std::uint64_t AcceptedSequence = 0;
    /// Newest sequence reported to the lender as accepted: the lender may drop
    /// older loans.
    std::uint64_t ReportedSequence = 0;
    std::uint32_t Count = 0;
    TimePoint ExpiresAt;
    std::uint32_t Spare = 0;
    /// Set while a reduction is unconfirmed: until this time the lender counts
    /// more connections as lent than Count.
    std::optional<TimePoint> ReductionEndsAt;
    std::optional<TimePoint> AskedAt;
    /// Whether it was reported to the lender that nothing is borrowed any more.
    bool ReturnReported = true;
  };

  /// The part of the owned share that this instance may use itself.
  [[nodiscard]] std::uint32_t ownUsable(TimePoint Now) const;
  [[nodiscard]] bool inStartupGrace(TimePoint Now) const;
  [[nodiscard]] std::uint32_t lendable(TimePoint Now) const;
  std::vector<ShareSend> onRequest(const InstanceId &From,
                                   const ShareRequest &Request, TimePoint Now);
  void onGrant(const InstanceId &From, const ShareGrant &Grant, TimePoint Now);
  std::map<InstanceId, std::uint32_t> planLoans(TimePoint Now) const;
  [[nodiscard]] bool shouldAsk(const BorrowedLoan &Loan, std::uint32_t Wanted,
                               bool LacksConnections, TimePoint Now) const;
  ShareRequest makeRequest(const InstanceId &To, std::uint32_t Wanted,
                           TimePoint Now);
  [[nodiscard]] bool isPeer(const InstanceId &Instance) const;

  ConnectionSharesOptions Options;
  TimePoint StartedAt;
  ShareLender Lender;
  std::map<InstanceId, BorrowedLoan> Loans;
  std::uint64_t NextSequence = 1;
  std::uint32_t Need = 0;
  bool WithinAllowance = true;
};

} // namespace turmericpitch
