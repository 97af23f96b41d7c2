// Links of several client accounts to one member, with a stand-in for the
// member on loopback.
#include "drivers/MemberLinkPool.h"
#include "core/DecisionLog.h"
#include "tests/platform/SessionGroup.h"
#include "tests/support/UncheckedLines.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

namespace turmericpitch {
namespace {

const ServiceId Service{"ledger"};
const ClientAccountId Sabarmati{"sabarmati"};
const ClientAccountId Naroda{"naroda"};

std::string ownAddress() {
  auto Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (Id >> 16U) % 254) + "." +
         std::to_string((Id >> 8U) % 256) + "." + std::to_string(1 + Id % 254);
}

class MemberLinkPoolTest : public testing::Test {
protected:
  MemberLinkPoolTest() : Group(this->Loop.get_executor(), Service.Value) {
    sendLogTo("");
    EXPECT_TRUE(this->Group.add("m1", {.Address = ownAddress(), .Port = 0}));
    // Not in the period after a start, in which nothing is held.
    this->createPool({.StartPeriod = Duration{0}});
  }

  void createPool(LinkRetentionOptions Retention) {
    this->Pool = std::make_shared<MemberLinkPool>(
        this->Loop.get_executor(), InstanceId{"front-1"},
        RegisteredMember{.Id = {"m1"},
                         .Service = Service,
                         .Where = this->Group.members().front().Where,
                         .Zone = {"a"},
                         .Slots = 4,
                         .Role = MemberRole::Primary},
        // Allows two links.
        ConnectionAllowanceOptions{.MemberLimit = 2, .Instances = 2}, this->Use,
        MemberLinkPoolOptions{.Retention = Retention});
  }

  ~MemberLinkPoolTest() override { this->Pool->dropAll(); }

  std::shared_ptr<MemberLink> open(const ClientAccountId &Account) {
    std::optional<LinkOpening> Result;
    auto Link = this->Pool->openLink(
        Account, [&](LinkOpening Ended) { Result = Ended; });
    while (!Result)
      this->Loop.run_one();
    EXPECT_EQ(*Result, LinkOpening::Opened);
    return Link;
  }

  bool run(MemberLink &Link, const ClientAccountId &Account,
           const std::string &Id, const std::string &Text) {
    std::optional<bool> Answered;
    Link.run(Account, UncheckedLines::of("QUERY " + Id + " " + Text + "\r\n"),
             [&](const Outcome<StatementReply> &Reply) {
               Answered = Reply.hasValue();
             });
    while (!Answered)
      this->Loop.run_one();
    return *Answered;
  }

  void release(const std::shared_ptr<MemberLink> &Link) {
    this->Pool->release(Link, BootClock().now());
  }

  MemberCandidate candidate(const ClientAccountId &Account) {
    return this->Pool->candidate(ZoneId{"a"}, Account, BootClock().now());
  }

  boost::asio::io_context Loop;
  std::shared_ptr<AccountUse> Use = std::make_shared<AccountUse>();
  SessionGroup Group;
  std::shared_ptr<MemberLinkPool> Pool;
};

TEST_F(MemberLinkPoolTest, LinkIsNamedToTheMemberAndReusedByItsAccountOnly) {
  auto Link = this->open(Sabarmati);
  this->release(Link);
  EXPECT_EQ(this->Group.callers("m1"), std::vector<std::string>{"sabarmati"});
  EXPECT_FALSE(this->candidate(Naroda).HasIdleConnection);
  EXPECT_TRUE(this->candidate(Sabarmati).HasIdleConnection);
  EXPECT_EQ(this->Pool->takeIdle(Naroda, {}), nullptr);
  EXPECT_EQ(this->Pool->takeIdle(ClientAccountId{}, {}), nullptr);
  EXPECT_EQ(this->Pool->takeIdle(Sabarmati, {}), Link);
}

TEST_F(MemberLinkPoolTest, StatementOfAnotherAccountIsNotSent) {
  auto Link = this->open(Sabarmati);
  EXPECT_TRUE(this->run(*Link, Sabarmati, "s1", "READ job"));
  EXPECT_FALSE(this->run(*Link, Naroda, "s2", "READ job"));
  EXPECT_FALSE(Link->usable());
  this->release(Link);
  EXPECT_EQ(this->Pool->openLinkCount(), 0U);
  ASSERT_EQ(this->Group.received().size(), 1U);
  EXPECT_EQ(this->Group.received().front().Id, "s1");
}

TEST_F(MemberLinkPoolTest, LongestUnusedLinkOfAnotherAccountMakesRoom) {
  auto First = this->open(Sabarmati);
  auto Second = this->open(Sabarmati);
  this->release(Second);
  this->release(First);
  // Both links are idle, and one of them can be replaced.
  EXPECT_EQ(this->candidate(Naroda).MaxInFlight, 2U);
  auto Needed = this->open(Naroda);
  EXPECT_EQ(this->Pool->evictedLinkCount(), 1U);
  EXPECT_EQ(this->Pool->openLinkCount(), 2U);
  EXPECT_FALSE(Second->usable());
  EXPECT_EQ(this->Pool->takeIdle(Sabarmati, {}), First);
  // No idle link is left to replace.
  this->Pool->onStatementSent();
  this->Pool->onStatementSent();
  EXPECT_EQ(this->candidate(Naroda).MaxInFlightUrgent, 2U);
}

/// The link of an account in steady use stays, though it was used before that
/// of another one.
TEST_F(MemberLinkPoolTest, LinkOfTheLeastUsedAccountMakesRoom) {
  for (int Count = 0; Count < 10; ++Count)
    this->Use->note(Sabarmati, BootClock().now());
  this->Use->note(Naroda, BootClock().now());
  auto Steady = this->open(Sabarmati);
  auto Rare = this->open(Naroda);
  this->release(Steady);
  this->release(Rare);
  auto Needed = this->open({"passing"});
  EXPECT_FALSE(Rare->usable());
  EXPECT_EQ(this->Pool->takeIdle(Sabarmati, {}), Steady);
}

/// After a loss of power the member still counts the connections of earlier
/// processes, so each place is needed by others.
TEST_F(MemberLinkPoolTest, AfterTheStartAnIdleLinkGivesUpItsPlaceAtOnce) {
  this->createPool({});
  this->release(this->open(Sabarmati));
  this->release(this->open(Naroda));
  auto Link = this->open({"third"});
  this->release(Link);
  EXPECT_FALSE(Link->usable());
  // An account that sends most of the statements keeps its link.
  for (int Count = 0; Count < 10; ++Count)
    this->release(this->open(Naroda));
  EXPECT_NE(this->Pool->takeIdle(Naroda, {}), nullptr);
}

TEST_F(MemberLinkPoolTest, NothingIsClosedWhileTheAllowanceHasRoom) {
  this->release(this->open(Sabarmati));
  this->release(this->open(Naroda));
  EXPECT_EQ(this->Pool->evictedLinkCount(), 0U);
  EXPECT_EQ(this->Pool->idleLinkCount(), 2U);
}

TEST_F(MemberLinkPoolTest, LinkOfATransactionIsNotReplaced) {
  auto Pinned = this->open(Sabarmati);
  ASSERT_TRUE(this->run(*Pinned, Sabarmati, "-", "BEGIN"));
  this->release(this->open(Sabarmati));
  auto Needed = this->open(Naroda);
  EXPECT_EQ(this->Pool->evictedLinkCount(), 1U);
  EXPECT_TRUE(Pinned->usable());
  EXPECT_TRUE(this->run(*Pinned, Sabarmati, "s1", "COMMIT"));
}

TEST_F(MemberLinkPoolTest, StatusIsQueriedOnTheLinkOfAnyAccount) {
  this->release(this->open(Sabarmati));
  std::optional<MemberReport> Report;
  bool Ended = false;
  auto OnReport = [&](const std::optional<MemberReport> &Received, TimePoint) {
    Report = Received;
    Ended = true;
  };
  this->Pool->queryStatus(OnReport);
  while (!Ended)
    this->Loop.run_one();
  EXPECT_TRUE(Report && Report->Primary);
  EXPECT_EQ(this->Pool->openedLinkCount(), 1U);
  EXPECT_EQ(this->Pool->takeIdle(Sabarmati, {}) != nullptr, true);
}

TEST_F(MemberLinkPoolTest, LinkForAStatusQueryNamesNoAccount) {
  bool Ended = false;
  this->Pool->queryStatus(
      [&](const std::optional<MemberReport> &, TimePoint) { Ended = true; });
  while (!Ended)
    this->Loop.run_one();
  EXPECT_EQ(this->Group.callers("m1"),
            std::vector<std::string>{"turmericpitch"});
}

} // namespace
} // namespace turmericpitch
