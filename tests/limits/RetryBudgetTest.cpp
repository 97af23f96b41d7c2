#include "limits/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace turmericpitch {

namespace {

TEST(RetryBudget, RetriesStayWithinRatioInAnyOrder) {
  EXPECT_TRUE(rc::check([](const std::vector<bool> &Events) {
    RetryBudgetOptions Options;
    RetryBudget Budget(Options);
    double First = 0;
    double Retries = 0;
    for (bool Retry : Events) {
      if (!Retry)
        Budget.onFirstAttempt();
      First += Retry ? 0 : 1;
      Retries += Retry && Budget.spend() ? 1 : 0;
      RC_ASSERT(Retries <= Options.MaxTokens + Options.Ratio * First + 1e-6);
    }
  }));
}

TEST(RetryBudget, IsExhaustedByRetriesAndRefilledByFirstAttempts) {
  RetryBudget Budget({.Ratio = 0.5, .MaxTokens = 2});
  EXPECT_TRUE(Budget.spend());
  EXPECT_TRUE(Budget.spend());
  EXPECT_FALSE(Budget.spend());
  Budget.onFirstAttempt();
  EXPECT_FALSE(Budget.spend());
  Budget.onFirstAttempt();
  EXPECT_TRUE(Budget.spend());
}

TEST(RetryBudget, BackoffGrowsWithinItsBounds) {
  RetryBudgetOptions Options;
  RandomSource Random(7);
  for (std::uint32_t Retry = 1; Retry < 100; ++Retry) {
    Duration Wait = retryBackoff(Options, Retry, Random);
    EXPECT_GE(Wait, Duration{0});
    EXPECT_LE(Wait, Options.MaxBackoff);
    if (Retry == 1) {
      EXPECT_LE(Wait, Options.InitialBackoff);
    }
  }
}

} // namespace

} // namespace turmericpitch
