// How often accounts use an instance, as it changes over time.
#include "limits/AccountUse.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClientAccountId Mill{"mill"};
const ClientAccountId Shop{"shop"};

TimePoint at(Duration Time) { return TimePoint(Time); }

TEST(AccountUse, AnUnknownAccountHasNoWeight) {
  EXPECT_EQ(AccountUse().weight(Mill, at(seconds(1))), 0);
}

TEST(AccountUse, TheBusierAccountWeighsMore) {
  AccountUse Use;
  for (int Count = 0; Count < 100; ++Count) {
    TimePoint Now = at(Count * milliseconds(100));
    Use.note(Mill, Now);
    if (Count % 5 == 0)
      Use.note(Shop, Now);
  }
  TimePoint End = at(seconds(10));
  EXPECT_GT(Use.weight(Mill, End), 4 * Use.weight(Shop, End));
}

TEST(AccountUse, FollowsAShiftOfDemandWithinAFewTimeConstants) {
  AccountUse Use({.TimeConstant = seconds(10)});
  for (int Second = 0; Second < 100; ++Second)
    for (int Count = 0; Count < 10; ++Count)
      Use.note(Mill, at(seconds(Second)));
  for (int Second = 100; Second < 125; ++Second)
    Use.note(Shop, at(seconds(Second)));
  EXPECT_GT(Use.weight(Shop, at(seconds(125))),
            Use.weight(Mill, at(seconds(125))));
}

TEST(AccountUse, TellsTheShareOfAnAccount) {
  AccountUse Use;
  EXPECT_EQ(Use.share(Mill, at(seconds(1))), 0);
  Use.note(Mill, at(seconds(1)));
  EXPECT_DOUBLE_EQ(Use.share(Mill, at(seconds(1))), 1);
  for (int Count = 0; Count < 3; ++Count)
    Use.note(Shop, at(seconds(1)));
  EXPECT_DOUBLE_EQ(Use.share(Mill, at(seconds(1))), 0.25);
  // Both decay alike.
  EXPECT_NEAR(Use.share(Mill, at(seconds(60))), 0.25, 1e-9);
}

TEST(AccountUse, ForgetsTheLeastUsedAccounts) {
  AccountUse Use({.MaxAccounts = 10});
  for (int Count = 0; Count < 1000; ++Count) {
    Use.note(Mill, at(milliseconds(Count)));
    Use.note({"passing-" + std::to_string(Count)}, at(milliseconds(Count)));
    ASSERT_LE(Use.size(), 11U);
  }
  EXPECT_GT(Use.weight(Mill, at(seconds(1))), 900);
}

} // namespace
} // namespace turmericpitch
