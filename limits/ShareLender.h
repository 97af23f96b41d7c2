// Tracks the connections that one instance has lent from its own share.
#pragma once

#include "core/Time.h"
#include "limits/ShareMessages.h"

#include <map>
#include <vector>

namespace turmericpitch {

struct ShareLenderOptions {
  /// How long a loan is valid, counted from the sending of its request.
  Duration Lease = std::chrono::seconds(2);
  /// Additional time for which the lender counts a loan as lent. Covers clocks
  /// whose rates differ by up to 2%.
  Duration Margin = std::chrono::milliseconds(200);
};

/// Counts lent connections and never underestimates them: a loan counts until
/// it has certainly expired or the borrower has accepted a later grant. Pure;
/// not thread-safe.
class ShareLender {
public:
  explicit ShareLender(ShareLenderOptions Options) : Options(Options) {}

  /// Answers a request. At most Lendable connections are lent in total once
  /// earlier loans have expired. Returns nothing for a request that is repeated
  /// or older than one already handled, or if there are too many borrowers.
  std::optional<ShareGrant> onRequest(const InstanceId &From,
                                      const ShareRequest &Request,
                                      std::uint32_t Lendable, TimePoint Now);
  /// Upper bound of the connections that borrowers may be using.
  [[nodiscard]] std::uint32_t lent(TimePoint Now) const;

private:
  struct BorrowerKey {
    InstanceId Instance;
    std::uint64_t Incarnation = 0;

    auto operator<=>(const BorrowerKey &) const = default;
  };
  struct Loan {
    std::uint64_t Sequence = 0;
    std::uint32_t Count = 0;
    TimePoint ExpiresAt;
  };
  struct Borrower {
    std::uint64_t LastSequence = 0;
    std::vector<Loan> Loans;
    TimePoint RemoveAt;
  };

  /// Upper bound of the connections that the borrower may be using.
  static std::uint32_t lentTo(const Borrower &To, TimePoint Now);
  void removeExpired(TimePoint Now);

  ShareLenderOptions Options;
  std::map<BorrowerKey, Borrower> Borrowers;
};

} // namespace turmericpitch
