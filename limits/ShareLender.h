// The loans that one instance has given from its own part.
#pragma once

#include "core/Time.h"
#include "limits/ShareMessages.h"

#include <map>
#include <vector>

namespace turmericpitch {

struct ShareLenderOptions {
  /// How long a loan is valid, from the sending of its request.
  Duration Lease = std::chrono::seconds(2);
  /// How much longer a loan counts as lent here; covers clocks that run at
  /// rates up to 2% apart.
  Duration Margin = std::chrono::milliseconds(200);
};

/// Counts what is lent, never too little: a loan counts until its validity
/// has surely passed or the borrower has accepted a later grant. Pure; not
/// thread-safe.
class ShareLender {
public:
  explicit ShareLender(ShareLenderOptions Options) : Options(Options) {}

  /// Answers a request; at most Lendable connections are lent out in all
  /// once earlier loans have ended. Returns nothing for a request that is
  /// repeated or overtaken by a later one, or beyond the borrowers kept.
  std::optional<ShareGrant> onRequest(const InstanceId &From,
                                      const ShareRequest &Request,
                                      std::uint32_t Lendable, TimePoint Now);
  /// What borrowers may be using.
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

  static std::uint32_t exposure(const Borrower &To, TimePoint Now);
  void removeExpired(TimePoint Now);

  ShareLenderOptions Options;
  std::map<BorrowerKey, Borrower> Borrowers;
};

} // namespace turmericpitch
