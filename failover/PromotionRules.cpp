#include "failover/PromotionRules.h"

#include <algorithm>

namespace turmericpitch {

bool mayClose(const PromotionRulesOptions &Options,
              std::optional<TimePoint> RegisteredAt, TimePoint Now) {
  return RegisteredAt &&
         Now - *RegisteredAt >= Options.ListingValidity + Options.ListingMargin;
}

TimePoint earliestOrder(const PromotionRulesOptions &Options,
                        TimePoint ClosedAt, TimePoint BoundUntil) {
  return std::max(ClosedAt + Options.Leases.longestUse(), BoundUntil);
}

std::optional<TimePoint> extensionEnd(const PromotionRulesOptions &Options,
                                      const ExtensionGrounds &Grounds) {
  if (Grounds.AskedAt - Grounds.ListedAt > Options.ListingValidity ||
      Grounds.RecordReadAt < Grounds.ListedAt)
    return std::nullopt;
  return Grounds.AskedAt + Options.Leases.Validity;
}

} // namespace turmericpitch
