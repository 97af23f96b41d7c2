#include "limits/ConcurrencyLimit.h"
#include "core/EventQueue.h"

#include <gtest/gtest.h>
#include <vector>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TEST(ConcurrencyLimit, HalvesOnRefusalAndGrowsWithCompletedStatements) {
  ConcurrencyLimit Limit({.Max = 6});
  TimePoint Now(milliseconds(1000));
  EXPECT_EQ(Limit.allowed(Now), 6U);
  Limit.onRefused(Now);
  EXPECT_EQ(Limit.allowed(Now), 0U);
  EXPECT_EQ(Limit.allowed(Now + milliseconds(15)), 3U);
  for (int Index = 0; Index < 8; ++Index)
    Limit.onCompleted(milliseconds(30), milliseconds(30), Now);
  EXPECT_EQ(Limit.allowed(Now + milliseconds(15)), 4U);
}

TEST(ConcurrencyLimit, DecreasesWhileStatementsWaitAtTheMember) {
  ConcurrencyLimit Limit({.Max = 6, .Instances = 4});
  TimePoint Now(milliseconds(1000));
  for (int Index = 0; Index < 40; ++Index, Now += milliseconds(100))
    Limit.onCompleted(milliseconds(100), milliseconds(60), Now);
  EXPECT_TRUE(Limit.congested());
  // The four instances together still keep the member's six slots busy.
  EXPECT_DOUBLE_EQ(Limit.limit(), 1.5 * 6 / 4);
  for (int Index = 0; Index < 100; ++Index)
    Limit.onCompleted(milliseconds(30), milliseconds(60), Now);
  EXPECT_FALSE(Limit.congested());
  EXPECT_EQ(Limit.allowed(Now), 6U);
}

TEST(ConcurrencyLimit, PacesStatementsWhenBelowOne) {
  ConcurrencyLimit Limit({.Max = 6, .Instances = 36});
  TimePoint Now(milliseconds(1000));
  for (int Index = 0; Index < 40; ++Index, Now += milliseconds(120))
    Limit.onCompleted(milliseconds(120), milliseconds(30), Now);
  Now -= milliseconds(120);
  EXPECT_DOUBLE_EQ(Limit.limit(), 0.25);
  EXPECT_EQ(Limit.allowed(Now + milliseconds(359)), 0U);
  EXPECT_EQ(Limit.allowed(Now + milliseconds(360)), 1U);
  // Urgent statements are not paced, but wait for the pause after a refusal.
  EXPECT_EQ(Limit.allowedUrgent(Now), 2U);
  Limit.onRefused(Now);
  EXPECT_EQ(Limit.allowedUrgent(Now), 0U);
}

/// Guards against a fleet that overloads the members when all its instances
/// start at once, as in the load test "sabedge large trouble-1" after a loss of
/// power: the number of instances is often known only after the limit was made.
TEST(ConcurrencyLimit, FleetThatStartsStaysWithinTheMembersCapacity) {
  constexpr std::size_t Instances = 118;
  constexpr std::size_t Slots = 4;
  TimePoint Now(milliseconds(1000));
  double Sum = 0;
  for (std::size_t Index = 0; Index < Instances; ++Index) {
    ConcurrencyLimit Limit({.Max = Slots});
    Limit.setInstances(Instances);
    // The first statements wait at the member for other instances' ones.
    Limit.onCompleted(milliseconds(300), milliseconds(40), Now);
    Sum += Limit.limit();
  }
  EXPECT_LE(Sum, 2.0 * Slots);
}

/// A single instance that starts beside a calm fleet isn't held back for long.
TEST(ConcurrencyLimit, RisesQuicklyAtACalmMember) {
  ConcurrencyLimit Limit({.Max = 4});
  Limit.setInstances(118);
  TimePoint Now(milliseconds(1000));
  EXPECT_EQ(Limit.allowed(Now), 1U);
  for (int Index = 0; Index < 4; ++Index, Now += milliseconds(60))
    Limit.onCompleted(milliseconds(20), milliseconds(40), Now);
  EXPECT_GE(Limit.allowed(Now), 2U);
}

TEST(ConcurrencyLimit, PauseDoublesWithEachRefusalUpToMaximum) {
  ConcurrencyLimit Limit({.Max = 6});
  TimePoint Now(milliseconds(1000));
  for (int Index = 0; Index < 10; ++Index, Now += milliseconds(300))
    Limit.onRefused(Now);
  Now -= milliseconds(300);
  EXPECT_EQ(Limit.allowed(Now + milliseconds(239)), 0U);
  EXPECT_EQ(Limit.allowed(Now + milliseconds(240)), 1U);
}

/// Guards against refusals dominating when many instances share one member, as
/// in the load test "grown chechia scale-2": both replicas of a database lag,
/// and 34 instances use its primary, which runs 6 statements and queues 48.
/// Refused statements are retried after 10 ms.
TEST(ConcurrencyLimit, ManyInstancesStayWithinMemberCapacity) {
  constexpr std::size_t Instances = 34;
  constexpr std::size_t Slots = 6;
  constexpr std::size_t MemberCapacity = Slots + 48;
  EventQueue Events;
  std::vector<ConcurrencyLimit> Limits(Instances,
                                       ConcurrencyLimit({.Max = Slots}));
  std::vector<std::size_t> InFlight(Instances, 0);
  std::size_t AtMember = 0;
  std::size_t Refused = 0;
  std::size_t Ran = 0;
  std::function<void(std::size_t)> Fill = [&](std::size_t Instance) {
    while (InFlight[Instance] < Limits[Instance].allowed(Events.now())) {
      if (AtMember == MemberCapacity) {
        ++Refused;
        Limits[Instance].onRefused(Events.now());
        Events.scheduleAfter(milliseconds(10),
                             [&Fill, Instance] { Fill(Instance); });
        return;
      }
      ++AtMember;
      ++InFlight[Instance];
      // Six run concurrently for 33 ms each, so the time at the member grows
      // with the number of statements already there.
      Duration Stay = milliseconds(33) * static_cast<int>(AtMember / Slots + 1);
      Events.scheduleAfter(Stay, [&, Instance, Stay] {
        --AtMember;
        --InFlight[Instance];
        ++Ran;
        Limits[Instance].onCompleted(Stay, milliseconds(33), Events.now());
        Fill(Instance);
      });
    }
  };
  for (std::size_t Instance = 0; Instance < Instances; ++Instance)
    Fill(Instance);
  Events.runUntil(TimePoint(std::chrono::seconds(2)));
  EXPECT_GT(Ran, 200U);
  EXPECT_LT(Refused, Ran / 2);
}

} // namespace
} // namespace turmericpitch
