#include "failover/ProbeSchedule.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

DatabaseView viewProbedAt(TimePoint AskedAt, std::uint32_t Failures = 0) {
  DatabaseView View;
  for (const char *Name : {"a", "b", "c"}) {
    MemberView Member;
    Member.Configured.Id = UpstreamId{Name};
    Member.Last.emplace();
    Member.Last->Id = Member.Configured.Id;
    Member.AskedAt = AskedAt;
    Member.FailuresInRow = Failures;
    View.Members.push_back(Member);
  }
  return View;
}

TEST(ProbeSchedule, RepliesToStatementsReplaceProbes) {
  ProbeSchedule Schedule({});
  Schedule.onStatement(Start);
  EXPECT_TRUE(
      Schedule.membersToProbe(viewProbedAt(Start), true, Start).empty());
  TimePoint Later = Start + milliseconds(100);
  EXPECT_EQ(Schedule.membersToProbe(viewProbedAt(Start), true, Later).size(),
            3U);
  EXPECT_TRUE(
      Schedule.membersToProbe(viewProbedAt(Start), true, Later).empty());
}

TEST(ProbeSchedule, ProbesFailedMembersOfAnActiveDatabase) {
  ProbeSchedule Schedule({});
  Schedule.onStatement(Start);
  EXPECT_EQ(
      Schedule.membersToProbe(viewProbedAt(Start, 1), false, Start).size(), 3U);
}

TEST(ProbeSchedule, OnlyObserversProbeAnIdleDatabase) {
  ProbeSchedule Observer({});
  ProbeSchedule Other({});
  TimePoint Later = Start + seconds(15);
  EXPECT_EQ(Observer.membersToProbe(viewProbedAt(Start), true, Later).size(),
            3U);
  EXPECT_TRUE(Other.membersToProbe(viewProbedAt(Start), false, Later).empty());
  EXPECT_TRUE(
      Observer.membersToProbe(viewProbedAt(Start), true, Later + seconds(14))
          .empty());
  EXPECT_EQ(
      Observer.membersToProbe(viewProbedAt(Start), true, Later + seconds(15))
          .size(),
      3U);
}

TEST(ProbeSchedule, EveryInstanceProbesAnUnknownMemberOnce) {
  ProbeSchedule Schedule({});
  DatabaseView View = viewProbedAt(Start);
  View.Members[1].Last.reset();
  EXPECT_EQ(Schedule.membersToProbe(View, false, Start).size(), 1U);
  EXPECT_TRUE(Schedule.membersToProbe(View, false, Start + seconds(1)).empty());
}

TEST(ProbeSchedule, StatementActivatesTheDatabase) {
  ProbeSchedule Schedule({});
  EXPECT_FALSE(Schedule.isActive(Start));
  EXPECT_EQ(Schedule.probeInterval(Start), seconds(15));
  Schedule.onStatement(Start);
  EXPECT_EQ(Schedule.probeInterval(Start), milliseconds(100));
  EXPECT_FALSE(Schedule.isActive(Start + seconds(5)));
}

} // namespace
} // namespace turmericpitch
