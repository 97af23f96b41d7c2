#include "limits/ConnectionAllowance.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr ConnectionAllowanceOptions FiveInstances{.MemberLimit = 22,
                                                   .Instances = 5};

TEST(ConnectionAllowance, StartsAtTwiceTheEvenShareWithinTheLimit) {
  EXPECT_EQ(ConnectionAllowance(FiveInstances).allowed(TimePoint{}), 8U);
  EXPECT_EQ(ConnectionAllowance({.MemberLimit = 3, .Instances = 1})
                .allowed(TimePoint{}),
            3U);
  // With more instances than connections the even share is one; the member
  // refuses what exceeds its limit.
  EXPECT_EQ(ConnectionAllowance({.MemberLimit = 22, .Instances = 37})
                .allowed(TimePoint{}),
            2U);
}

TEST(ConnectionAllowance, ShrinksOnRefusalAndGrowsBack) {
  ConnectionAllowance Allowance(FiveInstances);
  TimePoint Now(milliseconds(1000));
  Allowance.onRefused(4, Now);
  EXPECT_EQ(Allowance.allowed(Now + milliseconds(499)), 4U);
  EXPECT_EQ(Allowance.allowed(Now + milliseconds(500)), 5U);
  EXPECT_EQ(Allowance.allowed(Now + milliseconds(1000)), 6U);
  EXPECT_EQ(Allowance.allowed(Now + std::chrono::seconds(60)), 8U);
}

/// Guards against slow recovery after all instances lose power, as in the load
/// test "sabedge scale-2": the members hold the dead connections for three more
/// seconds and refuse all others.
TEST(ConnectionAllowance, RetriesTenTimesPerSecondWithoutConnections) {
  ConnectionAllowance Allowance(FiveInstances);
  int Attempts = 0;
  TimePoint Now(milliseconds(1000));
  for (int Step = 0; Step < 3000; ++Step, Now += milliseconds(1)) {
    if (Allowance.allowed(Now) == 0)
      continue;
    ++Attempts;
    Allowance.onRefused(0, Now);
  }
  EXPECT_GE(Attempts, 25);
  EXPECT_LE(Attempts, 31);
}

} // namespace
} // namespace turmericpitch
