#include "failover/PromotionRules.h"

#include <algorithm>

namespace turmericpitch {

TimePoint earliestPromotion(const PromotionRulesOptions &Options,
                            const ClosingProgress &Progress) {
  TimePoint GrantsEndAt =
      Progress.ClosedAt + Options.RecordValidity + Options.RecordValidityMargin;
  if (Progress.ConsentedAt)
    GrantsEndAt = std::min(GrantsEndAt, *Progress.ConsentedAt);
  return std::max(Progress.ClosedAt, GrantsEndAt) + Options.Leases.maxUse();
}

bool mayExtendLease(const PromotionRulesOptions &Options,
                    const RecordEvidence &Evidence, const GrantRound &Round) {
  return Evidence.Grantors == Round.grantors().Stored &&
         Round.sentAt() - Evidence.ReadSentAt <= Options.RecordValidity;
}

} // namespace turmericpitch
