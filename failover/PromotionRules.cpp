#include "failover/PromotionRules.h"

#include <algorithm>

namespace turmericpitch {

bool mayCloseRecord(const PromotionRulesOptions &Options,
                    std::optional<TimePoint> RegisteredAt, TimePoint Now) {
  return RegisteredAt &&
         Now - *RegisteredAt >= Options.ListingValidity + Options.ListingMargin;
}

TimePoint earliestPromotion(const PromotionRulesOptions &Options,
                            TimePoint ClosedAt, TimePoint GrantedUntil) {
  return std::max(ClosedAt + Options.Leases.maxUse(), GrantedUntil);
}

std::optional<TimePoint> leaseExtensionEnd(const PromotionRulesOptions &Options,
                                           const LeaseExtensionBasis &Basis) {
  if (Basis.QueriesSentAt - Basis.ListedAt > Options.ListingValidity ||
      Basis.RecordReadAt < Basis.ListedAt)
    return std::nullopt;
  return Basis.QueriesSentAt + Options.Leases.Validity;
}

} // namespace turmericpitch
