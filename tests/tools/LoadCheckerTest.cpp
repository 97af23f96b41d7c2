#include "tools/LoadChecker.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::seconds;

std::string onlyViolation(const LoadChecker &Checker) {
  auto Violations = Checker.violations();
  return Violations.size() == 1
             ? Violations.front().Guarantee
             : std::to_string(Violations.size()) + " violations";
}

TEST(LoadChecker, AcceptsAllowedOutcomes) {
  LoadChecker Checker;
  Checker.onWrite("a", WriteOutcome::Acknowledged);
  Checker.onWrite("b", WriteOutcome::NotRun);
  Checker.onWrite("c", WriteOutcome::Unknown);
  Checker.onSessionWriteBegun("s");
  Checker.onSessionWriteEnded("s", WriteOutcome::Unknown);
  Checker.onSessionRead("s", 0);
  Checker.onSessionRead("s", 1);
  Checker.checkStored({{"a", "1"}, {"c", "1"}});
  EXPECT_TRUE(Checker.violations().empty());
  EXPECT_EQ(Checker.acknowledged(), 1U);
}

TEST(LoadChecker, ReportsALostWrite) {
  LoadChecker Checker;
  Checker.onWrite("a", WriteOutcome::Acknowledged);
  Checker.checkStored({});
  EXPECT_EQ(onlyViolation(Checker), "no_lost_work");
}

TEST(LoadChecker, ReportsARefusedWriteThatRan) {
  LoadChecker Checker;
  Checker.onWrite("a", WriteOutcome::NotRun);
  Checker.checkStored({{"a", "1"}});
  EXPECT_EQ(onlyViolation(Checker), "refused_did_not_run");
}

TEST(LoadChecker, ReportsAWriteThatRanTwice) {
  LoadChecker Checker;
  Checker.onWrite("a", WriteOutcome::Unknown);
  Checker.checkStored({{"a", "2"}});
  EXPECT_EQ(onlyViolation(Checker), "at_most_once");
}

TEST(LoadChecker, ReportsASessionReadWithoutItsOwnWrite) {
  LoadChecker Checker;
  Checker.onSessionWriteBegun("s");
  Checker.onSessionWriteEnded("s", WriteOutcome::Acknowledged);
  Checker.onSessionRead("s", 0);
  EXPECT_EQ(onlyViolation(Checker), "read_your_writes");
}

TEST(LoadChecker, ReportsANonMonotonicSessionRead) {
  LoadChecker Checker;
  Checker.onSessionWriteBegun("s");
  Checker.onSessionWriteEnded("s", WriteOutcome::Unknown);
  Checker.onSessionRead("s", 1);
  Checker.onSessionRead("s", 0);
  EXPECT_EQ(onlyViolation(Checker), "monotonic_reads");
}

TEST(LoadChecker, ReportsASessionWriteThatRanTwice) {
  LoadChecker Checker;
  Checker.onSessionWriteBegun("s");
  Checker.onSessionWriteEnded("s", WriteOutcome::Acknowledged);
  Checker.onSessionRead("s", 2);
  EXPECT_EQ(onlyViolation(Checker), "at_most_once");
}

TEST(LoadChecker, ReportsReadsOlderThanTheMaxAge) {
  LoadChecker Checker;
  TimePoint Start{seconds(10)};
  Checker.onCatalogueWritten(7, Start);
  Checker.onCatalogueRead(0, Start + seconds(1), seconds(2));
  EXPECT_TRUE(Checker.violations().empty());
  Checker.onCatalogueRead(0, Start + seconds(2), seconds(2));
  EXPECT_EQ(onlyViolation(Checker), "stated_age");
}

TEST(LoadChecker, ReportsARowOfAnotherKey) {
  LoadChecker Checker;
  Checker.onUnexpectedRow("catalogue", "booking-1=1");
  EXPECT_EQ(onlyViolation(Checker), "own_answer");
}

} // namespace
} // namespace turmericpitch
