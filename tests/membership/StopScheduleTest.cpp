#include "membership/StopSchedule.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TEST(StopSchedule, TakesWhatIsAnsweredBeforeTheEnd) {
  TimePoint Start;
  StopSchedule Schedule(Start, milliseconds(6000));
  EXPECT_EQ(Schedule.endsTransactionsAt(), Start + milliseconds(3000));
  EXPECT_EQ(Schedule.endsAt(), Start + milliseconds(5500));
  EXPECT_TRUE(Schedule.takes(Start + milliseconds(2999), milliseconds(8000)));
  EXPECT_FALSE(Schedule.takes(Start + milliseconds(3000), milliseconds(3000)));
  EXPECT_TRUE(Schedule.takes(Start + milliseconds(4500), milliseconds(1000)));
  EXPECT_FALSE(Schedule.takes(Start + milliseconds(4501), milliseconds(1000)));
  EXPECT_FALSE(Schedule.takes(Start + milliseconds(5600), milliseconds(0)));
}

} // namespace
} // namespace turmericpitch
