#include "failover/FailoverTimeline.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr FailoverTimelineOptions Options{.Detection = milliseconds(500),
                                          .Consultation = milliseconds(80),
                                          .ClosingWait = milliseconds(860),
                                          .Promotion = milliseconds(600)};
constexpr TimePoint Lost(std::chrono::seconds(10));

std::optional<Duration> recoveryAt(FailoverProgress Progress, int AfterMs) {
  return expectedRecovery(Options, Progress, Lost + milliseconds(AfterMs));
}

/// Before the record was closed, no instance could tell when to return.
TEST(FailoverTimeline, TellsTheWholeFailoverFromTheFirstSilence) {
  FailoverProgress Silent{.SilentSince = Lost};
  EXPECT_EQ(recoveryAt(Silent, 0), milliseconds(2040));
  EXPECT_EQ(recoveryAt(Silent, 400), milliseconds(1640));
  EXPECT_EQ(recoveryAt(Silent, 900), milliseconds(1460));
}

TEST(FailoverTimeline, CountsDownThroughThePhases) {
  FailoverProgress Closing{.Phase = PrimaryPhase::Closing, .PhaseSeenAt = Lost};
  EXPECT_EQ(recoveryAt(Closing, 0), milliseconds(1460));
  EXPECT_EQ(recoveryAt(Closing, 860), milliseconds(600));
  FailoverProgress Ordered{.Phase = PrimaryPhase::Ordered, .PhaseSeenAt = Lost};
  EXPECT_EQ(recoveryAt(Ordered, 200), milliseconds(400));
}

/// Seen in the load test "anpl-registre-grown trouble-1" at 25.4 s: the
/// expected time stayed at its minimum while the promotion was overdue, so
/// callers waited for most of their deadlines and were then refused.
TEST(FailoverTimeline, OverdueRecoveryIsExpectedLaterAndLater) {
  FailoverProgress Ordered{.Phase = PrimaryPhase::Ordered, .PhaseSeenAt = Lost};
  EXPECT_EQ(recoveryAt(Ordered, 700), milliseconds(100));
  EXPECT_EQ(recoveryAt(Ordered, 1100), milliseconds(500));
  EXPECT_FALSE(recoveryAt(Ordered, 1201));
}

/// While the store is away, nobody can replace the primary.
TEST(FailoverTimeline, NothingIsExpectedWithoutTheStore) {
  for (PrimaryPhase Phase :
       {PrimaryPhase::Open, PrimaryPhase::Closing, PrimaryPhase::Ordered})
    EXPECT_FALSE(recoveryAt({.Phase = Phase,
                             .PhaseSeenAt = Lost,
                             .SilentSince = Lost,
                             .StoreAvailable = false},
                            100));
}

/// Other instances may reach a primary that is silent only here.
TEST(FailoverTimeline, NothingIsExpectedIfNoFailoverBegins) {
  EXPECT_FALSE(recoveryAt({.SilentSince = Lost}, 1161));
  EXPECT_FALSE(recoveryAt({}, 0));
}

} // namespace
} // namespace turmericpitch
