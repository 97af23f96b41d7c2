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

TEST(OutageWaitPolicy, WaitsBrieflyIfMemberReturnIsUnknown) {
  auto At = [](int Milliseconds) {
    return decideOutageWait(Options, Arrived, Deadline, std::nullopt,
                            Arrived + milliseconds(Milliseconds));
  };
  EXPECT_TRUE(At(149).Wait);
  EXPECT_FALSE(At(150).Wait);
  EXPECT_EQ(At(150).RetryAfter, Options.RetryAfter);
}

} // namespace
} // namespace turmericpitch
