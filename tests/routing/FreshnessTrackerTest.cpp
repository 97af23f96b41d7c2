#include "routing/FreshnessTracker.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }
TermPosition position(std::uint64_t Written, std::uint64_t Index) {
  return {.WrittenIn = {Written}, .Position = {Index}};
}

TEST(FreshnessTracker, ReturnsOldestSampleWithinMaximumAge) {
  FreshnessTracker Tracker;
  Tracker.onPrimaryAnswer(1, position(1, 10), at(1000));
  Tracker.onPrimaryAnswer(1, position(1, 20), at(1500));
  Tracker.onPrimaryAnswer(1, position(1, 30), at(2000));
  // 2,600 - 1,500 + 20 ms margin = 1,120.
  EXPECT_EQ(Tracker.positionFor(milliseconds(1500), at(2600)), position(1, 20));
  EXPECT_EQ(Tracker.positionFor(milliseconds(1500), at(2480)), position(1, 10));
}

/// A database whose replicas are half a minute behind serves a route that
/// accepts data of that age, beside one that accepts 1.5 s. Samples of the last
/// 5 s would demand newer data.
TEST(FreshnessTracker, SamplesCoverTheLoosestAcceptedAge) {
  FreshnessTracker Tracker;
  constexpr int LoosestMs = 30'000;
  constexpr int StrictestMs = 1500;
  Tracker.setLoosestAge(milliseconds(LoosestMs));
  // The position is the time in milliseconds.
  int Now = 1000;
  for (; Now < 90'000; Now += 10)
    Tracker.onPrimaryAnswer(1, position(1, static_cast<std::uint64_t>(Now)),
                            at(Now));
  auto AgeOf = [&](int AcceptedMs) {
    auto Needed = Tracker.positionFor(milliseconds(AcceptedMs), at(Now));
    return Needed ? Now - static_cast<int>(Needed->Position.Value) : 0;
  };
  EXPECT_LE(AgeOf(LoosestMs), LoosestMs);
  EXPECT_GT(AgeOf(LoosestMs), LoosestMs * 9 / 10);
  EXPECT_LE(AgeOf(StrictestMs), StrictestMs);
  EXPECT_GT(AgeOf(StrictestMs), StrictestMs * 9 / 10);
}

TEST(FreshnessTracker, ReturnsNothingIfAllSamplesAreTooOld) {
  FreshnessTracker Tracker;
  EXPECT_FALSE(Tracker.positionFor(milliseconds(1500), at(0)));
  Tracker.onPrimaryAnswer(1, position(1, 10), at(1000));
  EXPECT_TRUE(Tracker.positionFor(milliseconds(1500), at(2480)));
  EXPECT_FALSE(Tracker.positionFor(milliseconds(1500), at(2481)));
}

TEST(FreshnessTracker, IgnoresAnswersWithLowerPosition) {
  FreshnessTracker Tracker;
  Tracker.onPrimaryAnswer(1, position(1, 20), at(1000));
  // A later request answered with an older state is impossible at one primary,
  // so the answer is ignored.
  Tracker.onPrimaryAnswer(1, position(1, 10), at(1500));
  EXPECT_EQ(Tracker.newest()->Reached, position(1, 20));
}

TEST(FreshnessTracker, NewEpochDropsSamplesBeyondThePrimarysPosition) {
  FreshnessTracker Tracker;
  Tracker.onPrimaryAnswer(1, position(1, 50), at(1000));
  Tracker.onPrimaryAnswer(2, position(1, 40), at(1100));
  EXPECT_EQ(Tracker.positionFor(milliseconds(1500), at(1200)), position(1, 40));
  // A stale answer of the old primary is ignored.
  Tracker.onPrimaryAnswer(1, position(1, 60), at(1200));
  EXPECT_EQ(Tracker.newest()->Reached, position(1, 40));
}

// A write whose acknowledgement was held back until the lease was renewed gives
// no sample, and its session read from a log without it.
TEST(FreshnessTracker, PositionOfAnEpochWithoutSampleIsAskedForItself) {
  FreshnessTracker Tracker;
  Tracker.onPrimaryAnswer(1, position(1, 10), at(1000));
  EXPECT_EQ(Tracker.positionFor(EpochPosition{2, position(1, 30)}),
            position(1, 30));
}

// Lets replicas serve bounded-staleness reads across a change of primary.
TEST(FreshnessTracker, KeepsSamplesThatTheNewPrimaryHolds) {
  FreshnessTracker Tracker;
  Tracker.onPrimaryAnswer(1, position(1, 50), at(1000));
  Tracker.onPrimaryAnswer(2, position(2, 51), at(2000));
  EXPECT_EQ(Tracker.positionFor(milliseconds(1500), at(2300)), position(1, 50));
  EXPECT_EQ(Tracker.positionFor(milliseconds(1500), at(2600)), position(2, 51));
}

TEST(FreshnessTracker, PositionOfEarlierEpochMapsToFirstSampleOfThisEpoch) {
  FreshnessTracker Tracker;
  Tracker.onPrimaryAnswer(2, position(1, 40), at(1000));
  EpochPosition Earlier{.Epoch = 1, .Entry = position(1, 50)};
  EXPECT_EQ(Tracker.positionFor(Earlier), position(1, 40));
  EpochPosition Current{.Epoch = 2, .Entry = position(2, 51)};
  EXPECT_EQ(Tracker.positionFor(Current), position(2, 51));
  EXPECT_FALSE(FreshnessTracker().positionFor(Earlier));
}

} // namespace
} // namespace turmericpitch
