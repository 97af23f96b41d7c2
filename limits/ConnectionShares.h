// Divides a database's connections between instances by demand.
#pragma once

#include "limits/ShareLender.h"

#include <string>

namespace turmericpitch {

struct ConnectionSharesOptions {
  DatabaseId Target;
  InstanceId Self;
  /// All instances that divide the connections, Self included; the same on
  /// each of them.
  std::vector<InstanceId> Instances;
  /// Connections that each member takes, over all instances.
  std::uint32_t Limit = 20;
  /// Unique for each start of the process.
  std::uint64_t Incarnation = 0;
  ShareLenderOptions Lending;
  /// A loan stops being used this much before it ends.
  Duration ExpiryMargin = std::chrono::milliseconds(200);
  /// Time between two renewals of a loan.
  Duration RenewInterval = std::chrono::milliseconds(500);
  /// Time between two questions to an instance that had nothing to lend.
  Duration RetryInterval = std::chrono::seconds(2);
};

/// A message to another instance.
struct ShareSend {
  InstanceId To;
  ShareMessage Message;

  bool operator==(const ShareSend &) const = default;
};

/// How many connections may be open to each member, and how long that holds.
struct ShareAllowance {
  std::uint32_t Usable = 0;
  /// From here on only Afterwards may be open, unless renewed.
  TimePoint ValidUntil;
  std::uint32_t UsableAfterExpiry = 0;

  bool operator==(const ShareAllowance &) const = default;
};

/// The part of Limit that an instance owns: equal parts, the remainder to
/// the first ones by rendezvous hashing. 0 for an instance not among them.
/// Thread-safe.
std::uint32_t ownedShare(const ConnectionSharesOptions &Options);

/// One database's connections as one instance sees them. Each connection is
/// owned by one instance for good; owners lend what they don't need for a
/// bounded time, so the sum of what all may use never exceeds the limit,
/// whatever is lost, late, repeated, paused or cut off. Pure; not
/// thread-safe.
class ConnectionShares {
public:
  ConnectionShares(ConnectionSharesOptions Options, TimePoint Now);

  /// Connections needed to the busiest member.
  void setNeed(std::uint32_t Count) { this->Need = Count; }
  /// Whether no member has more connections open than usable(); only then
  /// may lenders take lowered loans as accepted.
  void setWithinAllowance(bool IsWithin) { this->WithinAllowance = IsWithin; }
  /// Takes a changed limit of the database.
  void onLimit(std::uint32_t Limit) { this->Options.Limit = Limit; }
  /// Handles a peer's message. A returned grant may be sent only once no
  /// more connections are open than usable() now says.
  std::vector<ShareSend> onMessage(const InstanceId &From,
                                   const ShareMessage &Message, TimePoint Now);
  /// Asks for what is missing and renews or returns loans; call in regular
  /// intervals well below the renewal interval.
  std::vector<ShareSend> onTick(TimePoint Now);

  /// Connections that may be open to each member.
  [[nodiscard]] std::uint32_t usable(TimePoint Now) const;
  [[nodiscard]] ShareAllowance allowance(TimePoint Now) const;
  /// Whether more is open than usable() on the strength of loans that have
  /// ended: the excess has to be closed, in use or not.
  [[nodiscard]] bool hasExpiredExcess(TimePoint Now) const;
  /// Connections that may be open whatever happens.
  [[nodiscard]] std::uint32_t reservedShare() const;
  [[nodiscard]] std::uint32_t borrowed(TimePoint Now) const;
  [[nodiscard]] std::uint32_t lent(TimePoint Now) const;
  [[nodiscard]] std::uint32_t need() const { return this->Need; }

private:
  struct BorrowedLoan {
    std::uint64_t AcceptedSequence = 0;
    /// Newest sequence that lenders may take as the oldest in use.
    std::uint64_t ReportedSequence = 0;
    std::uint32_t Count = 0;
    TimePoint ExpiresAt;
    std::uint32_t Spare = 0;
    /// Until then the lender counts on more being open than Count.
    std::optional<TimePoint> ReductionEndsAt;
    std::optional<TimePoint> AskedAt;
    /// The lender has been told that nothing is held any more.
    bool ReturnReported = true;
  };

  [[nodiscard]] std::uint32_t own(TimePoint Now) const;
  [[nodiscard]] bool inStartupGrace(TimePoint Now) const;
  [[nodiscard]] std::uint32_t lendable(TimePoint Now) const;
  std::vector<ShareSend> onRequest(const InstanceId &From,
                                   const ShareRequest &Request, TimePoint Now);
  void onGrant(const InstanceId &From, const ShareGrant &Grant, TimePoint Now);
  std::map<InstanceId, std::uint32_t> planLoans(TimePoint Now) const;
  [[nodiscard]] bool shouldAsk(const BorrowedLoan &Loan, std::uint32_t Wanted,
                               bool Lacking, TimePoint Now) const;
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
