#include "limits/DemandEstimate.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

TEST(DemandEstimate, FollowsAStepWithinTwentySamples) {
  DemandEstimate Estimate;
  EXPECT_EQ(Estimate.need(), 0U);
  for (int Sample = 0; Sample < 20; ++Sample)
    Estimate.onSample(16);
  EXPECT_GE(Estimate.need(), 16U);
  EXPECT_LE(Estimate.need(), 20U);
  for (int Sample = 0; Sample < 30; ++Sample)
    Estimate.onSample(0);
  EXPECT_EQ(Estimate.need(), 0U);
}

TEST(DemandEstimate, SinglePeakDoesNotRaiseDemandToThePeak) {
  DemandEstimate Estimate;
  for (int Sample = 0; Sample < 40; ++Sample)
    Estimate.onSample(1);
  Estimate.onSample(4);
  EXPECT_LE(Estimate.need(), 3U);
}

} // namespace

} // namespace turmericpitch
