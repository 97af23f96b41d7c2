#include "membership/DrainController.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DrainOptions Options{.BalancerNotice = milliseconds(1500),
                               .Limit = seconds(30),
                               .EndingLimit = seconds(1)};
constexpr DrainWork Nothing{};
constexpr DrainWork OneRequest{.Requests = 1, .Transactions = 0};
constexpr DrainWork OneTransaction{.Requests = 0, .Transactions = 1};

TimePoint at(Duration Since) { return TimePoint(Since); }

TEST(DrainController, ServesUntilToldToLeave) {
  DrainController Drain(Options);
  EXPECT_EQ(Drain.look(Nothing, at(seconds(100))), DrainStep::Serving);
  EXPECT_TRUE(Drain.ready());
}

TEST(DrainController, IsNotReadyAtOnceAndRefusesOnlyOnceTheBalancerNoticed) {
  DrainController Drain(Options);
  Drain.onLeave(DrainReason::Signal, at(seconds(0)));
  EXPECT_FALSE(Drain.ready());
  EXPECT_EQ(Drain.look(Nothing, at(milliseconds(1499))), DrainStep::Noticing);
  EXPECT_EQ(Drain.look(OneRequest, at(milliseconds(1500))),
            DrainStep::Refusing);
}

TEST(DrainController, EndsOnceWorkAndTransactionsEnded) {
  DrainController Drain(Options);
  Drain.onLeave(DrainReason::MarkedLeaving, at(seconds(0)));
  EXPECT_EQ(Drain.look(OneRequest, at(seconds(2))), DrainStep::Refusing);
  EXPECT_EQ(Drain.look(OneTransaction, at(seconds(20))), DrainStep::Refusing);
  EXPECT_EQ(Drain.look(Nothing, at(seconds(21))), DrainStep::Ended);
  EXPECT_TRUE(Drain.whole());
  EXPECT_EQ(Drain.reason(), DrainReason::MarkedLeaving);
}

TEST(DrainController, TheLimitEndsWhatStillRuns) {
  DrainController Drain(Options);
  Drain.onLeave(DrainReason::Signal, at(seconds(0)));
  EXPECT_EQ(Drain.look(OneRequest, at(seconds(29))), DrainStep::Refusing);
  EXPECT_EQ(Drain.look(OneRequest, at(seconds(30))), DrainStep::Ending);
  EXPECT_EQ(Drain.look(OneRequest, at(milliseconds(30'999))),
            DrainStep::Ending);
  EXPECT_EQ(Drain.look(OneRequest, at(seconds(31))), DrainStep::Ended);
  EXPECT_FALSE(Drain.whole());
}

TEST(DrainController, ASecondSignalEndsAtOnce) {
  DrainController Drain(Options);
  Drain.onLeave(DrainReason::Signal, at(seconds(0)));
  Drain.onEnd(at(milliseconds(100)));
  EXPECT_EQ(Drain.look(OneRequest, at(milliseconds(100))), DrainStep::Ending);
  EXPECT_EQ(Drain.look(Nothing, at(milliseconds(110))), DrainStep::Ended);
  EXPECT_FALSE(Drain.whole());
}

TEST(DrainController, LeavingTwiceKeepsTheFirstBeginning) {
  DrainController Drain(Options);
  Drain.onLeave(DrainReason::MarkedLeaving, at(seconds(0)));
  Drain.onLeave(DrainReason::Signal, at(seconds(29)));
  EXPECT_EQ(Drain.reason(), DrainReason::MarkedLeaving);
  EXPECT_EQ(Drain.look(OneRequest, at(seconds(29))), DrainStep::Refusing);
  EXPECT_EQ(Drain.look(OneRequest, at(seconds(30))), DrainStep::Ending);
}

} // namespace
} // namespace turmericpitch
