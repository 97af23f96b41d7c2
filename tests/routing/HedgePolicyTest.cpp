#include "routing/HedgePolicy.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TEST(HedgePolicy, DelayFollowsTheServiceTimeAboveAMinimum) {
  HedgePolicyOptions Options;
  EXPECT_EQ(hedgeDelay(Options, milliseconds(10)), Options.MinDelay);
  EXPECT_EQ(hedgeDelay(Options, milliseconds(200)), milliseconds(800));
}

/// A copy of each read would double the load that made them slow.
TEST(HedgePolicy, LoadedMemberThatAnswersIsWaitedFor) {
  RetryBudget Budget;
  EXPECT_EQ(decideHedge({.Loaded = true, .MemberAnswers = true}, Budget),
            HedgeDecision::Wait);
  EXPECT_EQ(
      decideHedge({.AttemptRuns = false, .Loaded = true, .MemberAnswers = true},
                  Budget),
      HedgeDecision::Wait);
  EXPECT_EQ(Budget.tokens(), RetryBudgetOptions().MaxTokens);
}

TEST(HedgePolicy, SilentMemberIsHedgedUnderLoadToo) {
  RetryBudget Budget;
  EXPECT_EQ(decideHedge({.Loaded = true}, Budget), HedgeDecision::Hedge);
  EXPECT_EQ(decideHedge({}, Budget), HedgeDecision::Hedge);
}

TEST(HedgePolicy, WithoutAnAttemptAMemberIsSoughtAtNoCost) {
  RetryBudget Budget;
  EXPECT_EQ(decideHedge({.AttemptRuns = false}, Budget),
            HedgeDecision::FindMember);
  EXPECT_EQ(Budget.tokens(), RetryBudgetOptions().MaxTokens);
}

TEST(HedgePolicy, BudgetBoundsTheHedgesWhenAllMembersAreSilent) {
  RetryBudget Budget({.Ratio = 0, .MaxTokens = 2});
  EXPECT_EQ(decideHedge({}, Budget), HedgeDecision::Hedge);
  EXPECT_EQ(decideHedge({}, Budget), HedgeDecision::Hedge);
  EXPECT_EQ(decideHedge({}, Budget), HedgeDecision::Wait);
}

} // namespace
} // namespace turmericpitch
