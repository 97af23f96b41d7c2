#include "routing/SampleSchedule.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const TimePoint Now(std::chrono::seconds(100));
const SampleScheduleOptions Options;

TEST(SampleSchedule, MissingSampleIsRequestedOnceAnInterval) {
  EXPECT_TRUE(needsSample(Options, {}, Now));
  EXPECT_FALSE(
      needsSample(Options, {.RequestedAt = Now - milliseconds(499)}, Now));
  EXPECT_TRUE(
      needsSample(Options, {.RequestedAt = Now - milliseconds(500)}, Now));
}

TEST(SampleSchedule, SamplesForOthersAreRenewedSooner) {
  SampleKnowledge Known{.NewestAskedAt = Now - milliseconds(600),
                        .SampledForOthers = true};
  EXPECT_TRUE(needsSample(Options, Known, Now));
  Known.SampledForOthers = false;
  EXPECT_FALSE(needsSample(Options, Known, Now));
}

TEST(SampleSchedule, StrictRouteNeedsYoungerSamples) {
  SampleKnowledge Known{.NewestAskedAt = Now - milliseconds(700),
                        .StrictestAge = milliseconds(900)};
  EXPECT_TRUE(needsSample(Options, Known, Now));
}

TEST(SampleSchedule, NoLinkIsOpenedWhileASampleMayArrive) {
  SampleKnowledge Known{.NewestAskedAt = Now - milliseconds(1100),
                        .HasIdleLink = false};
  EXPECT_FALSE(needsSample(Options, Known, Now));
  Known.HasIdleLink = true;
  EXPECT_TRUE(needsSample(Options, Known, Now));
  Known = {.NewestAskedAt = Now - milliseconds(1300), .HasIdleLink = false};
  EXPECT_TRUE(needsSample(Options, Known, Now));
}

TEST(SampleSchedule, SampleOfAFormerPrimaryDoesNotCount) {
  SampleKnowledge Known{.NewestAskedAt = Now - milliseconds(100),
                        .NewestIsCurrent = false};
  EXPECT_TRUE(needsSample(Options, Known, Now));
}

} // namespace
} // namespace turmericpitch
