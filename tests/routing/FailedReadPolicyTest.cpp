// Replays a member that fails a part of its statements while its health check
// succeeds, as in the load test "horas-lima-grown trouble-1" from 7.6 s.
#include "routing/FailedReadPolicy.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

/// Fraction of statements that end with a failure when each attempt fails with
/// FailureRate, and the attempts per statement.
struct ReplayResult {
  double Failed = 0;
  double Attempts = 0;
};

ReplayResult replay(double FailureRate, bool Repeatable) {
  constexpr int Statements = 20'000;
  RandomSource Random(11);
  RetryBudget Budget;
  ReplayResult Result;
  for (int Index = 0; Index < Statements; ++Index) {
    Budget.onFirstAttempt();
    Result.Attempts += 1;
    bool Failed = Random.chance(FailureRate);
    while (Failed && shouldRunElsewhere({.Repeatable = Repeatable}, Budget)) {
      Result.Attempts += 1;
      Failed = Random.chance(FailureRate);
    }
    Result.Failed += Failed ? 1 : 0;
  }
  return {.Failed = Result.Failed / Statements,
          .Attempts = Result.Attempts / Statements};
}

TEST(FailedReadPolicy, AlmostAllReadsSucceedBesideAFailingMember) {
  EXPECT_LT(replay(0.08, true).Failed, 0.005);
}

TEST(FailedReadPolicy, BudgetBoundsTheLoadWhenAllMembersFail) {
  EXPECT_LT(replay(1, true).Attempts, 1.11);
}

TEST(FailedReadPolicy, StatementsWithAnEffectRunOnce) {
  EXPECT_EQ(replay(0.5, false).Attempts, 1);
}

TEST(FailedReadPolicy, OnlyAReportedFailureIsRepeated) {
  RetryBudget Budget;
  for (ReplyError Error :
       {ReplyError::TimedOut, ReplyError::InDoubt, ReplyError::Malformed})
    EXPECT_FALSE(
        shouldRunElsewhere({.Error = Error, .Repeatable = true}, Budget));
  EXPECT_FALSE(
      shouldRunElsewhere({.Repeatable = true, .AttemptsLeft = false}, Budget));
  EXPECT_EQ(Budget.tokens(), RetryBudgetOptions().MaxTokens);
}

} // namespace
} // namespace turmericpitch
