// One instance's part in the limits: each case that it answers.
#include "limits/AccountLimiter.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ClientAccountId Account{"a"};
const InstanceId Keeper{"keeper"};
const InstanceId Borrower{"borrower"};

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

/// A keeper that owns everything, and a borrower that owns nothing.
class AccountLimiterTest : public testing::Test {
protected:
  AccountLimiterTest() {
    this->Lender.setLimits({{Account, {.PerSecond = 10, .Burst = 10}}});
    this->Lender.setKeepers({Keeper});
    this->Lender.setShare(1, at(0));
    this->User.setLimits({{Account, {.PerSecond = 10, .Burst = 10}}});
    this->User.setKeepers({Keeper});
    this->User.setShare(0, at(0));
  }

  /// Ticks both from one time to another, messages arriving at once.
  void tick(int From, int To) {
    constexpr int Interval = 200;
    for (int Time = From; Time <= To; Time += Interval) {
      std::ignore = this->Lender.onTick(at(Time));
      this->exchange(this->User.onTick(at(Time)), Time);
    }
  }
  /// Passes the borrower's requests to the keeper, and its replies back.
  void exchange(const std::vector<LimitSend> &Requests, int Time) {
    for (const LimitSend &Reply : this->repliesTo(Requests, Time))
      this->exchange(this->User.onMessage(Keeper, Reply.Message, at(Time)),
                     Time);
  }
  std::vector<LimitSend> repliesTo(const std::vector<LimitSend> &Requests,
                                   int Time) {
    std::vector<LimitSend> Replies;
    for (const LimitSend &Each : Requests)
      for (LimitSend &Reply :
           this->Lender.onMessage(Borrower, Each.Message, at(Time)))
        Replies.push_back(std::move(Reply));
    return Replies;
  }

  AccountLimiter Lender{{.Self = Keeper, .Incarnation = 1}, at(0)};
  AccountLimiter User{{.Self = Borrower, .Incarnation = 2}, at(0)};
};

std::size_t admittedAmong(const std::vector<LimitOutcome> &Outcomes) {
  return std::count_if(
      Outcomes.begin(), Outcomes.end(),
      [](const LimitOutcome &Each) { return Each.Decision.Admitted; });
}

TEST_F(AccountLimiterTest, ContactBeginsWithTheFirstAnswer) {
  EXPECT_TRUE(this->Lender.hasContact());
  EXPECT_FALSE(this->User.hasContact());
  auto Requests = this->User.onTick(at(200));
  EXPECT_FALSE(this->User.hasContact());
  this->exchange(Requests, 200);
  EXPECT_TRUE(this->User.hasContact());
}

TEST_F(AccountLimiterTest, AccountsWithoutALimitAreAdmitted) {
  auto Decision = this->User.admit({"other"}, 1, at(0));
  ASSERT_TRUE(Decision);
  EXPECT_TRUE(Decision->Admitted);
}

TEST_F(AccountLimiterTest, ARateOfZeroAdmitsNothing) {
  this->tick(0, 1000);
  this->User.setLimits({{Account, {}}});
  auto Decision = this->User.admit(Account, 1, at(1000));
  ASSERT_TRUE(Decision);
  EXPECT_FALSE(Decision->Admitted);
  EXPECT_GT(Decision->RetryAfter, milliseconds(0));
}

TEST_F(AccountLimiterTest, WhoHasNoShareAndReachesNobodySaysSo) {
  auto Decision = this->User.admit(Account, 1, at(0));
  ASSERT_TRUE(Decision);
  EXPECT_FALSE(Decision->Admitted);
  EXPECT_EQ(Decision->Refusal, LimitRefusal::NoShare);
}

TEST_F(AccountLimiterTest, AnInstanceAloneUsesItsOwnShare) {
  this->User.setShare(0.5, at(0));
  std::size_t Admitted = 0;
  for (int Time = 0; Time <= 10'000; Time += 100) {
    std::ignore = this->User.onTick(at(Time));
    auto Decision = this->User.admit(Account, Time, at(Time));
    ASSERT_TRUE(Decision);
    Admitted += Decision->Admitted ? 1 : 0;
  }
  EXPECT_GE(Admitted, 48u);
  EXPECT_LE(Admitted, 50u);
}

TEST_F(AccountLimiterTest, ABorrowerIsServedByTheKeeper) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 7, at(1010)));
  this->exchange(this->User.onTick(at(1010)), 1010);
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(Outcomes.size(), 1u);
  EXPECT_EQ(Outcomes.front().Ticket, 7u);
  EXPECT_TRUE(Outcomes.front().Decision.Admitted);
  EXPECT_TRUE(this->User.takeOutcomes().empty());
}

TEST_F(AccountLimiterTest, OperationsAreDecidedInTheOrderOfArrival) {
  this->tick(0, 2000);
  for (LimitTicket Ticket = 1; Ticket <= 20; ++Ticket)
    EXPECT_FALSE(this->User.admit(Account, Ticket, at(2010)));
  this->exchange(this->User.onTick(at(2010)), 2010);
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(Outcomes.size(), 20u);
  std::size_t Admitted = admittedAmong(Outcomes);
  EXPECT_GE(Admitted, 8u);
  EXPECT_LE(Admitted, 10u);
  for (std::size_t Index = 0; Index < Outcomes.size(); ++Index) {
    EXPECT_EQ(Outcomes[Index].Ticket, Index + 1);
    EXPECT_EQ(Outcomes[Index].Decision.Admitted, Index < Admitted);
  }
  // About the time in which 10 operations/s create one.
  EXPECT_GT(Outcomes.back().Decision.RetryAfter, milliseconds(0));
  EXPECT_LE(Outcomes.back().Decision.RetryAfter, milliseconds(110));
}

TEST_F(AccountLimiterTest, ARefusedAccountIsRefusedWithoutAskingForAWhile) {
  this->tick(0, 1000);
  for (LimitTicket Ticket = 1; Ticket <= 20; ++Ticket)
    this->User.admit(Account, Ticket, at(1010));
  this->exchange(this->User.onTick(at(1010)), 1010);
  auto Decision = this->User.admit(Account, 21, at(1011));
  ASSERT_TRUE(Decision);
  EXPECT_FALSE(Decision->Admitted);
  EXPECT_EQ(Decision->Refusal, LimitRefusal::LimitReached);
  EXPECT_FALSE(this->User.admit(Account, 22, at(1300)));
}

TEST_F(AccountLimiterTest, ALostReplyIsAskedForAgain) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 1, at(1010)));
  EXPECT_FALSE(this->User.onTick(at(1010)).empty());
  EXPECT_TRUE(this->User.onTick(at(1020)).empty());
  EXPECT_EQ(this->User.nextTickAt(), at(1070));
  this->exchange(this->User.onTick(at(1070)), 1070);
  EXPECT_EQ(admittedAmong(this->User.takeOutcomes()), 1u);
}

TEST_F(AccountLimiterTest, WhoGetsNoReplyIsRefusedSoon) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 1, at(1010)));
  while (this->User.nextTickAt() < at(1160))
    std::ignore = this->User.onTick(this->User.nextTickAt());
  EXPECT_TRUE(this->User.takeOutcomes().empty());
  std::ignore = this->User.onTick(at(1160));
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(Outcomes.size(), 1u);
  EXPECT_FALSE(Outcomes.front().Decision.Admitted);
  EXPECT_GT(Outcomes.front().Decision.RetryAfter, milliseconds(0));
}

/// Without the validity that counts from the request, the keeper's new credit
/// and the late grant would be used together.
TEST_F(AccountLimiterTest, AGrantThatIsLateIsOfNoUse) {
  this->tick(0, 1000);
  for (LimitTicket Ticket = 1; Ticket <= 5; ++Ticket)
    this->User.admit(Account, Ticket, at(1010));
  auto Replies = this->repliesTo(this->User.onTick(at(1010)), 1010);
  ASSERT_EQ(Replies.size(), 1u);
  constexpr int Late = 3000;
  std::ignore = this->User.onTick(at(Late));
  EXPECT_EQ(admittedAmong(this->User.takeOutcomes()), 0u);
  auto &Grant = std::get<LimitReply>(Replies.front().Message).Grants.front();
  EXPECT_EQ(Grant.Operations, 5);
  EXPECT_LE(Grant.Validity, milliseconds(1000));
  std::ignore = this->User.onMessage(Keeper, Replies.front().Message, at(Late));
  auto Decision = this->User.admit(Account, 6, at(Late));
  EXPECT_FALSE(Decision && Decision->Admitted);
}

TEST_F(AccountLimiterTest, ARepeatedReplyIsIgnored) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 1, at(1010)));
  auto Replies = this->repliesTo(this->User.onTick(at(1010)), 1010);
  ASSERT_EQ(Replies.size(), 1u);
  const auto &Reply = std::get<LimitReply>(Replies.front().Message);
  EXPECT_EQ(this->User.requestSentAt(Keeper, Reply), at(1010));
  for (int Copy = 0; Copy < 2; ++Copy)
    std::ignore = this->User.onMessage(Keeper, Reply, at(1011));
  EXPECT_FALSE(this->User.requestSentAt(Keeper, Reply));
  EXPECT_EQ(admittedAmong(this->User.takeOutcomes()), 1u);
  EXPECT_FALSE(this->User.admit(Account, 2, at(1012)));
}

TEST_F(AccountLimiterTest, ARefundIsUsableUntilTheGrantExpires) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 1, at(1010)));
  this->exchange(this->User.onTick(at(1010)), 1010);
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(admittedAmong(Outcomes), 1u);
  OperationGrant Grant = Outcomes.front().Decision.Grant;
  this->User.refund(Grant, at(1020));
  auto Again = this->User.admit(Account, 2, at(1030));
  ASSERT_TRUE(Again);
  EXPECT_TRUE(Again->Admitted);
  EXPECT_EQ(Again->Grant, Grant);
  this->User.refund(Grant, Grant.ExpiresAt);
  auto Late = this->User.admit(Account, 3, Grant.ExpiresAt);
  EXPECT_FALSE(Late && Late->Admitted);
}

/// The keeper counts by the limit before, of which credit lasts a second.
TEST_F(AccountLimiterTest, AGrantOfAnEarlierLimitLastsNoLongerThanTheNewOne) {
  this->tick(0, 1000);
  for (LimitTicket Ticket = 1; Ticket <= 3; ++Ticket)
    EXPECT_FALSE(this->User.admit(Account, Ticket, at(1010)));
  auto Replies = this->repliesTo(this->User.onTick(at(1010)), 1010);
  ASSERT_EQ(Replies.size(), 1u);
  this->User.setLimits({{Account, {.PerSecond = 50, .Burst = 5}}});
  std::ignore = this->User.onMessage(Keeper, Replies.front().Message, at(1011));
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(admittedAmong(Outcomes), 3u);
  EXPECT_LE(Outcomes.front().Decision.Grant.ExpiresAt, at(1111));
}

TEST_F(AccountLimiterTest, ARefundAfterAChangeOfTheLimitIsDropped) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 1, at(1010)));
  this->exchange(this->User.onTick(at(1010)), 1010);
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(admittedAmong(Outcomes), 1u);
  this->User.setLimits({{Account, {.PerSecond = 5, .Burst = 10}}});
  this->User.refund(Outcomes.front().Decision.Grant, at(1020));
  auto Again = this->User.admit(Account, 2, at(1030));
  EXPECT_FALSE(Again && Again->Admitted);
}

TEST_F(AccountLimiterTest, WaitingOperationsFollowAChangeOfTheLimit) {
  this->tick(0, 1000);
  EXPECT_FALSE(this->User.admit(Account, 1, at(1010)));
  this->User.setLimits({});
  EXPECT_EQ(admittedAmong(this->User.takeOutcomes()), 1u);
  this->User.setLimits({{Account, {.PerSecond = 10, .Burst = 10}}});
  EXPECT_FALSE(this->User.admit(Account, 2, at(1010)));
  this->User.setLimits({{Account, {}}});
  auto Outcomes = this->User.takeOutcomes();
  ASSERT_EQ(Outcomes.size(), 1u);
  EXPECT_FALSE(Outcomes.front().Decision.Admitted);
}

TEST_F(AccountLimiterTest, SteadyUseIsBorrowedAhead) {
  this->User.setLimits({{Account, {.PerSecond = 100, .Burst = 100}}});
  this->Lender.setLimits({{Account, {.PerSecond = 100, .Burst = 100}}});
  this->tick(0, 1000);
  int AtOnce = 0;
  constexpr int Operations = 200;
  for (int Index = 0; Index < Operations; ++Index) {
    int Time = 1000 + Index * 20;
    if (Index % 10 == 0)
      this->tick(Time, Time);
    if (this->User.admit(Account, Index, at(Time)))
      ++AtOnce;
    else
      this->exchange(this->User.onTick(at(Time)), Time);
  }
  EXPECT_GE(AtOnce, Operations * 8 / 10);
}

/// The right may have lapsed meanwhile.
TEST_F(AccountLimiterTest, APauseCreatesNoCredit) {
  this->User.setShare(1, at(0));
  std::ignore = this->User.onTick(at(0));
  this->User.setShare(0, at(60'000));
  this->User.setShare(1, at(60'000));
  std::ignore = this->User.onTick(at(60'000));
  auto Decision = this->User.admit(Account, 1, at(60'000));
  ASSERT_TRUE(Decision);
  EXPECT_FALSE(Decision->Admitted);
}

TEST_F(AccountLimiterTest, AFormerKeeperIsForgottenButNotItsSequence) {
  this->tick(0, 1000);
  auto Last = this->User.onTick(at(1200));
  ASSERT_EQ(Last.size(), 1u);
  auto LastSequence = std::get<LimitRequest>(Last.front().Message).Sequence;
  LimitReply Reply{.RequestIncarnation = 2, .RequestSequence = LastSequence};
  this->User.setKeepers({});
  std::ignore = this->User.onTick(at(1400));
  std::ignore = this->User.onTick(at(30'000));
  EXPECT_TRUE(this->User.requestSentAt(Keeper, Reply));
  std::ignore = this->User.onTick(at(31'400));
  EXPECT_FALSE(this->User.requestSentAt(Keeper, Reply));
  this->User.setKeepers({Keeper});
  auto Next = this->User.onTick(at(31'600));
  ASSERT_EQ(Next.size(), 1u);
  EXPECT_GT(std::get<LimitRequest>(Next.front().Message).Sequence,
            LastSequence);
}

/// Seldom in the end, as it may be gone; sooner at first, as it may be starting
/// as well.
TEST_F(AccountLimiterTest, AKeeperWithoutReplyIsProbedWithoutCredit) {
  this->User.setShare(0.5, at(0));
  std::vector<int> ProbedAt;
  for (int Time = 0; Time < 5000; Time += 50) {
    auto Sends = this->User.onTick(at(Time));
    ASSERT_LE(Sends.size(), 1u);
    if (Sends.empty())
      continue;
    ProbedAt.push_back(Time);
    const auto &Probe = std::get<LimitRequest>(Sends.front().Message);
    EXPECT_FALSE(Probe.Echo);
    EXPECT_EQ(Probe.ShareSeconds, 0);
  }
  EXPECT_EQ(ProbedAt,
            (std::vector<int>{0, 50, 150, 350, 750, 1550, 2550, 3550, 4550}));
}

} // namespace
} // namespace turmericpitch
