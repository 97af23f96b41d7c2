#include "failover/PrimaryFailureDetector.h"
#include "failover/Promotion.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr Term Next{2};

/// Three members of which "a" is the primary and leaving.
Database leavingPrimary() {
  Database Target;
  Target.Id = DatabaseId{"bookings"};
  for (const char *Name : {"a", "b", "c"}) {
    DatabaseMember Member;
    Member.Id = UpstreamId{Name};
    Member.Leaving = Member.Id.Value == "a";
    Target.Members.push_back(Member);
  }
  return Target;
}

Outcome<MemberAnswer> fencedAt(std::uint64_t Position) {
  MemberAnswer Answer;
  Answer.Status.LastEntry = {.WrittenIn = Term{1},
                             .Position = LogPosition{Position}};
  return Answer;
}

Error lost() {
  return {.Kind = ErrorKind::Unavailable, .Message = "", .Remedy = ""};
}

TEST(PromotionHandOver, ChoosesTheFurthestLogOfStayingMembers) {
  Promotion Running(leavingPrimary(), Next, "attempt");
  EXPECT_EQ(Running.begin().size(), 3U);
  EXPECT_TRUE(Running.onOutcome(UpstreamId{"a"}, fencedAt(9)).empty());
  EXPECT_TRUE(Running.onOutcome(UpstreamId{"b"}, fencedAt(7)).empty());
  EXPECT_EQ(Running.onOutcome(UpstreamId{"c"}, fencedAt(8)).size(), 1U);
  EXPECT_EQ(Running.successor(), UpstreamId{"c"});
}

TEST(PromotionHandOver, ChoosesTheLeavingMemberIfOthersAreNoMajority) {
  Promotion Running(leavingPrimary(), Next, "attempt");
  Running.begin();
  Running.onOutcome(UpstreamId{"b"}, lost());
  Running.onOutcome(UpstreamId{"a"}, fencedAt(9));
  Running.onOutcome(UpstreamId{"c"}, fencedAt(8));
  EXPECT_EQ(Running.successor(), UpstreamId{"a"});
}

TEST(PromotionHandOver, ChoosesASuccessorAfterALateRefusal) {
  Promotion Running(leavingPrimary(), Next, "attempt");
  Running.begin();
  Running.onOutcome(UpstreamId{"a"}, fencedAt(9));
  Running.onOutcome(UpstreamId{"c"}, fencedAt(8));
  EXPECT_EQ(Running.onOutcome(UpstreamId{"b"}, lost()).size(), 1U);
  EXPECT_EQ(Running.successor(), UpstreamId{"a"});
}

DatabaseView viewOf(const Database &Target, std::uint32_t ReplicaFailures) {
  DatabaseView View;
  for (const DatabaseMember &Member : Target.Members) {
    MemberView Known;
    Known.Configured = Member;
    MemberStatus Status;
    Status.AcceptedTerm = Term{1};
    Status.Role = Member.Leaving ? MemberRole::Primary : MemberRole::Replica;
    Known.Last = Status;
    Known.FailuresInRow = Member.Leaving ? 0 : ReplicaFailures;
    View.Members.push_back(Known);
  }
  return View;
}

PrimaryDecision evaluate(const DatabaseView &View, std::size_t Rank) {
  return PrimaryFailureDetector(PrimaryFailureDetectorOptions{})
      .evaluate(View, Rank, TimePoint{});
}

TEST(PromotionHandOver, StartsOnlyIfTheOthersAreAMajority) {
  EXPECT_EQ(evaluate(viewOf(leavingPrimary(), 0), 0),
            PrimaryDecision::HandOver);
  EXPECT_EQ(evaluate(viewOf(leavingPrimary(), 1), 0), PrimaryDecision::Wait);
}

TEST(PromotionHandOver, StartsOnlyAtRankZero) {
  EXPECT_EQ(evaluate(viewOf(leavingPrimary(), 0), 1), PrimaryDecision::Wait);
}

TEST(PromotionHandOver, DoesNotStartForAStayingPrimary) {
  DatabaseView View = viewOf(leavingPrimary(), 0);
  View.Members[0].Configured.Leaving = false;
  EXPECT_EQ(evaluate(View, 0), PrimaryDecision::Wait);
}

} // namespace
} // namespace turmericpitch
