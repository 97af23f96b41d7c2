#include "routing/HedgePolicy.h"

#include <algorithm>

namespace turmericpitch {

Duration hedgeDelay(const HedgePolicyOptions &Options,
                    Duration TypicalServiceTime) {
  return std::max(Options.MinDelay, Options.Factor * TypicalServiceTime);
}

HedgeDecision decideHedge(const HedgeContext &Seen, RetryBudget &Budget) {
  if (Seen.Loaded && Seen.MemberAnswers)
    return HedgeDecision::Wait;
  if (!Seen.AttemptRuns)
    return HedgeDecision::FindMember;
  return Budget.spend() ? HedgeDecision::Hedge : HedgeDecision::Wait;
}

} // namespace turmericpitch
