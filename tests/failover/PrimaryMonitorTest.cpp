#include "failover/PrimaryMonitor.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

/// Evaluates every 50 ms from FromMs; returns the time of the first action.
std::optional<int> firstActionMs(PrimaryMonitor &Monitor,
                                 const PrimaryObservation &Observed,
                                 std::size_t Rank, int FromMs, int ToMs) {
  for (int Now = FromMs; Now <= ToMs; Now += 50)
    if (Monitor.evaluate(Observed, Rank, at(Now)) != FailoverReason::None)
      return Now;
  return std::nullopt;
}

TEST(PrimaryMonitor, FailsAfterSilenceAndSoonerIfConnectionsAreRefused) {
  PrimaryObservation Silent{.SilentSince = at(1000)};
  PrimaryMonitor First;
  firstActionMs(First, {}, 0, 500, 1000);
  EXPECT_EQ(firstActionMs(First, Silent, 0, 1050, 3000), 1500);
  Silent.Refusing = true;
  PrimaryMonitor Second;
  firstActionMs(Second, {}, 0, 500, 1000);
  EXPECT_EQ(firstActionMs(Second, Silent, 0, 1050, 3000), 1250);
}

TEST(PrimaryMonitor, LaterRanksActLater) {
  PrimaryObservation Silent{.SilentSince = at(1000)};
  PrimaryMonitor Monitor;
  firstActionMs(Monitor, {}, 2, 500, 1000);
  // SilenceTimeout and two rank delays.
  EXPECT_EQ(firstActionMs(Monitor, Silent, 2, 1050, 3000), 1800);
}

TEST(PrimaryMonitor, OwnPauseDoesNotCountAsSilence) {
  PrimaryObservation Silent{.SilentSince = at(1000)};
  PrimaryMonitor Monitor;
  firstActionMs(Monitor, {}, 0, 500, 1000);
  // The process was paused for four seconds.
  EXPECT_EQ(firstActionMs(Monitor, Silent, 0, 5000, 8000), 5500);
}

TEST(PrimaryMonitor, ReplyResetsTheSilence) {
  PrimaryMonitor Monitor;
  PrimaryObservation Silent{.SilentSince = at(1000)};
  EXPECT_FALSE(firstActionMs(Monitor, Silent, 0, 1000, 1400));
  EXPECT_FALSE(firstActionMs(Monitor, {}, 0, 1450, 1600));
  Silent.SilentSince = at(1600);
  EXPECT_FALSE(firstActionMs(Monitor, Silent, 0, 1650, 2050));
}

TEST(PrimaryMonitor, LeavingPrimaryHandsOverAtOnce) {
  PrimaryMonitor Monitor;
  EXPECT_EQ(Monitor.evaluate({.Draining = true}, 0, at(1000)),
            FailoverReason::Leaving);
  EXPECT_EQ(Monitor.evaluate({.Registered = false}, 0, at(1050)),
            FailoverReason::Lost);
}

// If a zone is isolated during a rolling restart, ten ranks can precede the
// first instance that is able to act.
TEST(PrimaryMonitor, TenRanksDelayByLessThan600Ms) {
  EXPECT_EQ(rankDelay({}, 0), Duration{0});
  EXPECT_EQ(rankDelay({}, 1), milliseconds(150));
  EXPECT_LT(rankDelay({}, 10), milliseconds(600));
}

} // namespace
} // namespace turmericpitch
