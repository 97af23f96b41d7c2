#include "failover/PromotionCheck.h"
#include "failover/PrimaryFailureDetector.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

Database threeMembers() {
  Database Target;
  Target.Id = DatabaseId{"bookings"};
  for (const char *Name : {"a", "b", "c"}) {
    DatabaseMember Member;
    Member.Id = UpstreamId{Name};
    Target.Members.push_back(Member);
  }
  return Target;
}

PromotionCheck newCheck() {
  PromotionCheckOptions Options;
  Options.Newest = Term{1};
  Options.PrimarySilenceTimeout = milliseconds(250);
  return PromotionCheck(threeMembers(), Options);
}

MemberAnswer replica(std::optional<Duration> Silence,
                     Term AcceptedTerm = Term{1}) {
  MemberAnswer Answer;
  Answer.Status.AcceptedTerm = AcceptedTerm;
  Answer.Status.PrimarySilence = Silence;
  return Answer;
}

Error unreachable() {
  return {.Kind = ErrorKind::Unavailable, .Message = "", .Remedy = ""};
}

TEST(PromotionCheck, ProceedsIfAMajorityHasNoContactToAPrimary) {
  PromotionCheck Check = newCheck();
  Check.onOutcome(UpstreamId{"b"}, replica(milliseconds(250)));
  EXPECT_EQ(Check.decision(), PromotionCheckDecision::Open);
  Check.onOutcome(UpstreamId{"c"}, replica(std::nullopt));
  EXPECT_EQ(Check.decision(), PromotionCheckDecision::Proceed);
}

TEST(PromotionCheck, OneSlowLinkDoesNotReplaceThePrimary) {
  PromotionCheck Check = newCheck();
  Check.onOutcome(UpstreamId{"a"}, unreachable());
  Check.onOutcome(UpstreamId{"b"}, replica(milliseconds(40)));
  EXPECT_EQ(Check.decision(), PromotionCheckDecision::Refuse);
}

TEST(PromotionCheck, PromoterIsolatedFromTheMajorityDoesNotFence) {
  PromotionCheck Check = newCheck();
  Check.onOutcome(UpstreamId{"c"}, replica(milliseconds(5000)));
  Check.onOutcome(UpstreamId{"a"}, unreachable());
  Check.onOutcome(UpstreamId{"b"}, unreachable());
  EXPECT_EQ(Check.decision(), PromotionCheckDecision::Refuse);
}

TEST(PromotionCheck, RefusesIfThePrimaryReplies) {
  PromotionCheck Check = newCheck();
  MemberAnswer Primary = replica(std::nullopt);
  Primary.Status.Role = MemberRole::Primary;
  Check.onOutcome(UpstreamId{"a"}, Primary);
  Check.onOutcome(UpstreamId{"b"}, replica(milliseconds(10)));
  EXPECT_EQ(Check.decision(), PromotionCheckDecision::Refuse);
}

TEST(PromotionCheck, RefusesIfANewerTermIsKnown) {
  PromotionCheck Check = newCheck();
  Check.onOutcome(UpstreamId{"b"}, replica(std::nullopt, Term{2}));
  Check.onOutcome(UpstreamId{"c"}, replica(std::nullopt));
  EXPECT_EQ(Check.decision(), PromotionCheckDecision::Refuse);
}

TEST(PrimaryFailureDetector, OwnPauseDoesNotCountAsSilence) {
  PrimaryFailureDetectorOptions Options;
  Options.SilenceTimeout = milliseconds(400);
  PrimaryFailureDetector Detector(Options);
  DatabaseView View;
  View.Id = DatabaseId{"bookings"};
  TimePoint Now{};
  EXPECT_EQ(Detector.evaluate(View, 0, Now), PrimaryDecision::Wait);
  Now += std::chrono::seconds(10);
  EXPECT_EQ(Detector.evaluate(View, 0, Now), PrimaryDecision::Wait);
  for (int Look = 0; Look < 3; ++Look) {
    Now += milliseconds(100);
    EXPECT_EQ(Detector.evaluate(View, 0, Now), PrimaryDecision::Wait);
  }
  Now += milliseconds(100);
  EXPECT_EQ(Detector.evaluate(View, 0, Now), PrimaryDecision::Promote);
}

} // namespace
} // namespace turmericpitch
