#include "limits/OutageWaitPolicy.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const TimePoint Arrived(milliseconds(5000));
const TimePoint Deadline(milliseconds(6000));
const OutageWaitOptions Options;

TEST(OutageWaitPolicy, WaitsForAMemberExpectedInTime) {
  EXPECT_TRUE(
      decideOutageWait(Options, Arrived, Deadline, milliseconds(900), Arrived)
          .Wait);
}

TEST(OutageWaitPolicy, RefusesImmediatelyIfMemberIsExpectedTooLate) {
  OutageWaitDecision Decision =
      decideOutageWait(Options, Arrived, Deadline, milliseconds(950), Arrived);
  EXPECT_FALSE(Decision.Wait);
  EXPECT_EQ(Decision.RetryAfter, milliseconds(950));
}

TEST(OutageWaitPolicy, WaitsBrieflyAtTheBeginningOfAnUnknownOutage) {
  auto At = [](int Milliseconds) {
    return decideOutageWait(Options, Arrived, Deadline, std::nullopt,
                            Arrived + milliseconds(Milliseconds));
  };
  EXPECT_TRUE(At(149).Wait);
  EXPECT_FALSE(At(150).Wait);
}

/// Replays the load test "horas-lima scale-1" from 33.5 to 37.8 s: a zone with
/// all primaries is cut off while the store is away, so that nobody can
/// promote. Each statement waited for 150 ms and its caller was told to return
/// after 2 s, at whatever moment it came.
TEST(OutageWaitPolicy, LastingUnknownOutageRefusesOnArrival) {
  OutageMonitor Outage;
  constexpr Duration Interval = milliseconds(20);
  constexpr Duration StatementTimeout = milliseconds(800);
  for (Duration Lasted{0}; Lasted < milliseconds(4300); Lasted += Interval) {
    TimePoint Now = Arrived + Lasted;
    auto BeganAt = Outage.onPlacement(true, false, Now);
    ASSERT_EQ(BeganAt, Arrived);
    OutageWaitDecision Decision = decideOutageWait(
        Options, *BeganAt, Now + StatementTimeout, std::nullopt, Now);
    EXPECT_EQ(Decision.Wait, Lasted < Options.MaxWaitIfUnknown);
    EXPECT_LE(Decision.RetryAfter, std::max(Lasted, Options.MinRetryAfter));
  }
}

/// A service that is seldom used: nobody saw the end of the last outage.
TEST(OutageWaitPolicy, AnOutageOfLongAgoIsNotTheCurrentOne) {
  OutageMonitor Outage;
  Outage.onPlacement(true, false, Arrived);
  TimePoint Later = Arrived + std::chrono::seconds(60);
  EXPECT_EQ(Outage.onPlacement(true, false, Later), Later);
}

TEST(OutageWaitPolicy, AFoundMemberEndsTheOutageOfItsKindOfStatement) {
  OutageMonitor Outage;
  Outage.onPlacement(true, false, Arrived);
  Outage.onPlacement(false, false, Arrived);
  EXPECT_FALSE(Outage.onPlacement(false, true, Arrived + milliseconds(50)));
  TimePoint Later = Arrived + milliseconds(100);
  EXPECT_EQ(Outage.onPlacement(true, false, Later), Arrived);
  EXPECT_EQ(Outage.onPlacement(false, false, Later), Later);
}

} // namespace
} // namespace turmericpitch
