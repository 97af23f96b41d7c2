#include "membership/DrainController.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DrainOptions Options{.BalancerNotice = milliseconds(1500),
                               .Timeout = seconds(30),
                               .ForcedEndTimeout = seconds(1)};
constexpr DrainWork NoWork{};
constexpr DrainWork OneRequest{.Requests = 1, .Transactions = 0};
constexpr DrainWork OneTransaction{.Requests = 0, .Transactions = 1};

TimePoint at(Duration Since) { return TimePoint(Since); }

TEST(DrainController, ServesUntilTheDrainBegins) {
  DrainController Drain(Options);
  EXPECT_EQ(Drain.update(NoWork, at(seconds(100))), DrainStep::Serving);
  EXPECT_TRUE(Drain.ready());
}

TEST(DrainController,
     BecomesUnreadyAtOnceButRefusesWorkOnlyAfterBalancerNotice) {
  DrainController Drain(Options);
  Drain.beginDrain(DrainReason::Signal, at(seconds(0)));
  EXPECT_FALSE(Drain.ready());
  EXPECT_EQ(Drain.update(NoWork, at(milliseconds(1499))),
            DrainStep::AwaitingBalancer);
  EXPECT_EQ(Drain.update(OneRequest, at(milliseconds(1500))),
            DrainStep::RejectingNewWork);
}

TEST(DrainController, EndsOnceRequestsAndTransactionsAreDone) {
  DrainController Drain(Options);
  Drain.beginDrain(DrainReason::MarkedLeaving, at(seconds(0)));
  EXPECT_EQ(Drain.update(OneRequest, at(seconds(2))),
            DrainStep::RejectingNewWork);
  EXPECT_EQ(Drain.update(OneTransaction, at(seconds(20))),
            DrainStep::RejectingNewWork);
  EXPECT_EQ(Drain.update(NoWork, at(seconds(21))), DrainStep::Ended);
  EXPECT_TRUE(Drain.completedCleanly());
  EXPECT_EQ(Drain.reason(), DrainReason::MarkedLeaving);
}

TEST(DrainController, ForcesTheEndAfterTheDrainTimeout) {
  DrainController Drain(Options);
  Drain.beginDrain(DrainReason::Signal, at(seconds(0)));
  EXPECT_EQ(Drain.update(OneRequest, at(seconds(29))),
            DrainStep::RejectingNewWork);
  EXPECT_EQ(Drain.update(OneRequest, at(seconds(30))), DrainStep::ForcedEnd);
  EXPECT_EQ(Drain.update(OneRequest, at(milliseconds(30'999))),
            DrainStep::ForcedEnd);
  EXPECT_EQ(Drain.update(OneRequest, at(seconds(31))), DrainStep::Ended);
  EXPECT_FALSE(Drain.completedCleanly());
}

TEST(DrainController, ASecondSignalForcesTheEndAtOnce) {
  DrainController Drain(Options);
  Drain.beginDrain(DrainReason::Signal, at(seconds(0)));
  Drain.forceEnd(at(milliseconds(100)));
  EXPECT_EQ(Drain.update(OneRequest, at(milliseconds(100))),
            DrainStep::ForcedEnd);
  EXPECT_EQ(Drain.update(NoWork, at(milliseconds(110))), DrainStep::Ended);
  EXPECT_FALSE(Drain.completedCleanly());
}

TEST(DrainController, ASecondDrainRequestKeepsTheFirstStartTime) {
  DrainController Drain(Options);
  Drain.beginDrain(DrainReason::MarkedLeaving, at(seconds(0)));
  Drain.beginDrain(DrainReason::Signal, at(seconds(29)));
  EXPECT_EQ(Drain.reason(), DrainReason::MarkedLeaving);
  EXPECT_EQ(Drain.update(OneRequest, at(seconds(29))),
            DrainStep::RejectingNewWork);
  EXPECT_EQ(Drain.update(OneRequest, at(seconds(30))), DrainStep::ForcedEnd);
}

} // namespace
} // namespace turmericpitch
