#include "limits/SpareConnections.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;

constexpr ConnectionCounts Empty{.Idle = 0, .Open = 0, .Usable = 4};

TEST(SpareConnections, OpensOneAtATimeUpToTheSpareAndUsableCounts) {
  SpareConnections Spares({});
  TimePoint Now;
  EXPECT_TRUE(Spares.shouldOpen(Empty, Now));
  EXPECT_FALSE(Spares.shouldOpen(Empty, Now));
  Spares.onOpened(true, Now);
  EXPECT_FALSE(Spares.shouldOpen(Empty, Now));
  Now += milliseconds(50);
  EXPECT_FALSE(Spares.shouldOpen({.Idle = 2, .Open = 2, .Usable = 4}, Now));
  EXPECT_FALSE(Spares.shouldOpen({.Idle = 0, .Open = 4, .Usable = 4}, Now));
  EXPECT_TRUE(Spares.shouldOpen({.Idle = 1, .Open = 1, .Usable = 4}, Now));
}

TEST(SpareConnections, BacksOffFromAMemberThatRefuses) {
  SpareConnections Spares({});
  TimePoint Now;
  int Attempts = 0;
  for (int Step = 0; Step < 60'000; ++Step) {
    Now += milliseconds(1);
    if (!Spares.shouldOpen(Empty, Now))
      continue;
    ++Attempts;
    Spares.onOpened(false, Now);
  }
  // One minute covers six doublings and then one attempt each 2.5 to 5 s.
  EXPECT_GE(Attempts, 16);
  EXPECT_LE(Attempts, 32);
}

} // namespace

} // namespace turmericpitch
