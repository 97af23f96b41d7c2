#include "limits/LimitKeeper.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ClientAccountId Account{"a"};
const InstanceId Self{"k"};
const InstanceId Owner{"o"};

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

class LimitKeeperTest : public testing::Test {
protected:
  LimitKeeperTest() {
    this->Keeper.setLimits({{Account, {.PerSecond = 10, .Burst = 10}}});
  }

  /// A deposit of four operations that were created in the 200 ms before the
  /// sending, with the stamp of 20 ms before it.
  static LimitRequest depositSentAt(int Time) {
    return {.Incarnation = 7,
            .Sequence = 1,
            .Echo = KeeperStamp{.Incarnation = 3, .Time = at(Time - 20)},
            .ShareSeconds = 0.4,
            .Span = milliseconds(180),
            .Keepers = {Self}};
  }
  double grantedAt(int Time) {
    return this->Keeper.grant(Account, 100, at(Time)).Operations;
  }

  LimitKeeper Keeper{{.Self = Self, .Incarnation = 3}};
};

TEST_F(LimitKeeperTest, ADepositIsGrantedOnce) {
  LimitRequest Request = depositSentAt(1000);
  Request.Needs = {{.Account = Account, .Operations = 3}};
  auto Reply = this->Keeper.onRequest(Owner, Request, at(1001));
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->Stamp, (KeeperStamp{.Incarnation = 3, .Time = at(1001)}));
  ASSERT_EQ(Reply->Grants.size(), 1u);
  EXPECT_EQ(Reply->Grants.front().Operations, 3);
  EXPECT_GT(Reply->Grants.front().Validity, milliseconds(700));
  EXPECT_LE(Reply->Grants.front().Validity, milliseconds(799));
  EXPECT_FALSE(this->Keeper.onRequest(Owner, Request, at(1002)));
  EXPECT_EQ(this->grantedAt(1003), 1);
}

TEST_F(LimitKeeperTest, OnlyCreditOfKnownAgeCounts) {
  LimitRequest NoEcho = depositSentAt(1000);
  NoEcho.Echo.reset();
  LimitRequest OtherProcess = depositSentAt(1000);
  OtherProcess.Sequence = 2;
  OtherProcess.Echo->Incarnation = 4;
  for (const LimitRequest &Each : {NoEcho, OtherProcess})
    EXPECT_TRUE(this->Keeper.onRequest(Owner, Each, at(1001)));
  EXPECT_EQ(this->grantedAt(1001), 0);
}

TEST_F(LimitKeeperTest, ADepositThatWasHeldUpHasExpired) {
  EXPECT_TRUE(
      this->Keeper.onRequest(Owner, depositSentAt(1000), at(1000 + 801)));
  EXPECT_EQ(this->grantedAt(1801), 0);
}

TEST_F(LimitKeeperTest, CreditExpiresAtTheAgeOfItsAccount) {
  this->Keeper.setLimits({{Account, {.PerSecond = 10, .Burst = 10}},
                          {{"slow"}, {.PerSecond = 1, .Burst = 1}}});
  LimitRequest Request = depositSentAt(1000);
  Request.ShareSeconds = 2;
  EXPECT_TRUE(this->Keeper.onRequest(Owner, Request, at(1001)));
  EXPECT_EQ(this->grantedAt(1800), 0);
  // Five operations, which take five seconds.
  EXPECT_EQ(this->Keeper.grant({"slow"}, 9, at(5400)).Operations, 2);
}

TEST_F(LimitKeeperTest, SequencesOutliveEchoes) {
  LimitRequest Request = depositSentAt(1000);
  EXPECT_TRUE(this->Keeper.onRequest(Owner, Request, at(1001)));
  // Forgotten by now, but too old.
  EXPECT_TRUE(this->Keeper.onRequest(Owner, Request, at(100'000)));
  EXPECT_EQ(this->grantedAt(100'000), 0);
}

TEST_F(LimitKeeperTest, CreditFollowsTheRate) {
  EXPECT_TRUE(this->Keeper.onRequest(Owner, depositSentAt(1000), at(1001)));
  this->Keeper.setLimits({{Account, {.PerSecond = 5, .Burst = 5}}});
  EXPECT_EQ(this->grantedAt(1002), 2);
}

TEST_F(LimitKeeperTest, AnAccountWithoutLimitHereIsGrantedNothing) {
  AccountGrant Grant = this->Keeper.grant({"unknown"}, 1, at(0));
  EXPECT_EQ(Grant.Operations, 0);
  EXPECT_GT(Grant.RetryAfter, milliseconds(0));
}

/// Else the borrower would take it for a reached limit.
TEST_F(LimitKeeperTest, ANeedOfAnUnknownAccountIsNotAnswered) {
  LimitRequest Request = depositSentAt(1000);
  Request.Needs = {{.Account = {"unknown"}, .Operations = 1},
                   {.Account = Account, .Operations = 1}};
  auto Reply = this->Keeper.onRequest(Owner, Request, at(1001));
  ASSERT_TRUE(Reply);
  ASSERT_EQ(Reply->Grants.size(), 1u);
  EXPECT_EQ(Reply->Grants.front().Account, Account);
}

TEST_F(LimitKeeperTest, RetryAfterIsBounded) {
  this->Keeper.setLimits({{Account, {.PerSecond = 1e-6, .Burst = 1}}});
  EXPECT_EQ(this->Keeper.grant(Account, 1, at(0)).RetryAfter,
            MaxLimitRetryAfter);
}

// Requests under ever new names made the table grow within the time for which
// sequences are kept.
TEST_F(LimitKeeperTest, SendersAreBounded) {
  LimitRequest Request = depositSentAt(1000);
  EXPECT_TRUE(this->Keeper.onRequest(Owner, Request, at(1001)));
  std::size_t Answered = 0;
  for (int Index = 0; Index < 20'000; ++Index)
    Answered +=
        this->Keeper.onRequest({"x" + std::to_string(Index)}, Request, at(1001))
            ? 1
            : 0;
  EXPECT_LT(Answered, 5000U);
  // A known sender is answered, and new ones once the others are silent.
  Request.Sequence = 2;
  EXPECT_TRUE(this->Keeper.onRequest(Owner, Request, at(1002)));
  EXPECT_TRUE(this->Keeper.onRequest({"new"}, Request, at(600'000)));
}

} // namespace
} // namespace turmericpitch
