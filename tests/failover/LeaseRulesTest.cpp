// Each rule of the leases on its own: the case that it answers, with the
// interleaving that would let a lease outlive its epoch without it.
#include "failover/ConsentRound.h"
#include "failover/LeaseGrants.h"
#include "failover/PromotionRules.h"
#include "failover/RecordVerification.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ServiceId Service{"ledger"};
constexpr StoreEra Restored{1};

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

Grantor grantor(int Index) {
  return {.Id = {"i" + std::to_string(Index)},
          .PeerEndpoint = {.Address = "10.0.0." + std::to_string(Index),
                           .Port = 7440}};
}

GrantorSet setOf(std::vector<int> Current, std::vector<int> Previous,
                 std::uint64_t Stored) {
  GrantorSet Set{.Stored = {Stored}};
  for (int Each : Current)
    Set.Current.push_back(grantor(Each));
  for (int Each : Previous)
    Set.Previous.push_back(grantor(Each));
  return Set;
}

PrimaryRecord record(std::uint64_t Epoch, PrimaryPhase Phase,
                     std::uint64_t Revision) {
  return {.Service = Service,
          .Epoch = Epoch,
          .Primary = {"m" + std::to_string(Epoch)},
          .Phase = Phase,
          .Stored = {Revision}};
}

LeaseReply granting(std::uint32_t Serial, std::uint64_t Epoch) {
  ServiceReport Report{.Record = record(Epoch, PrimaryPhase::Open, 5)};
  Report.Granted = true;
  return {.Serial = Serial, .Services = {Report}};
}

TEST(GrantorSet, QuorumsOfOneSetAlwaysMeet) {
  GrantorSet Set = setOf({1, 2, 3, 4, 5}, {}, 9);
  EXPECT_TRUE(Set.hasQuorum({grantor(1), grantor(2), grantor(3)}));
  EXPECT_FALSE(Set.hasQuorum({grantor(4), grantor(5)}));
  EXPECT_FALSE(Set.hasQuorum({grantor(4), grantor(5), grantor(6)}));
  EXPECT_FALSE(GrantorSet{}.hasQuorum({grantor(1)}));
}

TEST(GrantorSet, SurvivesEncoding) {
  GrantorSet Set = setOf({1, 2, 3}, {4}, 9);
  Set.VerifiedEra = Restored;
  auto Decoded = toOutcome([&] {
    return decodeGrantorSet({.Key = std::string(GrantorsKey),
                             .Value = encodeGrantorSet(Set),
                             .Modified = {9}});
  });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Set);
  for (const char *Value :
       {"", "{}", R"({"era":1,"current":[1],"previous":[]})"})
    EXPECT_FALSE(toOutcome([&] {
      return decodeGrantorSet(
          {.Key = std::string(GrantorsKey), .Value = Value, .Modified = {9}});
    })) << Value;
}

/// The instance at another address is another process, which may run beside the
/// first.
TEST(GrantRound, CountsOnlyGrantorsAtTheirAddress) {
  GrantRound Round(7, at(1000), setOf({1, 2, 3}, {}, 9));
  Grantor Moved = grantor(2);
  Moved.PeerEndpoint.Address = "10.0.9.9";
  EXPECT_TRUE(Round.onReply(grantor(1), granting(7, 4)).empty());
  EXPECT_TRUE(Round.onReply(grantor(1), granting(7, 4)).empty());
  EXPECT_TRUE(Round.onReply(Moved, granting(7, 4)).empty());
  EXPECT_TRUE(Round.onReply(grantor(2), granting(6, 4)).empty());
  EXPECT_TRUE(Round.onReply(grantor(2), granting(7, 3)).empty());
  auto Reached = Round.onReply(grantor(3), granting(7, 4));
  ASSERT_EQ(Reached.size(), 1U);
  EXPECT_EQ(Reached[0].Epoch, 4U);
}

/// A grantor that has consented must not help to extend a lease any more, also
/// if its own copy of the record is old.
TEST(LeaseGrants, GrantsNothingOnARecordThatItConsentedToClose) {
  LeaseGrants Grants;
  EXPECT_TRUE(Grants.grant(record(4, PrimaryPhase::Open, 5), at(1000)));
  EXPECT_EQ(Grants.grantedUntil(Service), at(1860));
  Grants.consent(Service, {6});
  EXPECT_FALSE(Grants.grant(record(4, PrimaryPhase::Open, 5), at(1100)));
  EXPECT_FALSE(Grants.grant(record(4, PrimaryPhase::Closing, 6), at(1100)));
  // Opened again, or by the next epoch.
  EXPECT_TRUE(Grants.grant(record(4, PrimaryPhase::Open, 8), at(1200)));
  EXPECT_EQ(Grants.consentedTo(Service).Value, 6U);
}

/// Grants that were given just before the consent end within maxUse().
TEST(PromotionRules, PromotionWaitsAfterTheLastConsent) {
  PromotionRulesOptions Options;
  Duration MaxUse = Options.Leases.maxUse();
  EXPECT_EQ(earliestPromotion(Options,
                              {.ClosedAt = at(1000), .ConsentedAt = at(1300)}),
            at(1300) + MaxUse);
  // Without a majority, once no read that showed the record open may be
  // extended any more.
  EXPECT_GE(earliestPromotion(Options, {.ClosedAt = at(1000)}),
            at(1000) + Options.RecordValidity + MaxUse);
}

TEST(PromotionRules, OldReadsAreNotExtended) {
  PromotionRulesOptions Options;
  GrantorSet Set = setOf({1, 2, 3}, {}, 9);
  RecordEvidence Evidence{.ReadSentAt = at(1000), .Grantors = {9}};
  GrantRound Last(1, at(1000) + Options.RecordValidity, Set);
  EXPECT_TRUE(mayExtendLease(Options, Evidence, Last));
  // A promoter without consents may have waited until now.
  GrantRound Later(2, at(1001) + Options.RecordValidity, Set);
  EXPECT_FALSE(mayExtendLease(Options, Evidence, Later));
}

/// A majority of an earlier set need not meet the majority that consented.
TEST(PromotionRules, GrantsOfAnotherSetThanTheReadShowedDoNotCount) {
  GrantorSet Old = setOf({1, 2, 3}, {}, 9);
  GrantorSet New = setOf({3, 4, 5}, {}, 12);
  ASSERT_TRUE(Old.hasQuorum({grantor(1), grantor(2)}));
  ASSERT_TRUE(New.hasQuorumOfEach({grantor(3), grantor(4)}));
  RecordEvidence Evidence{.ReadSentAt = at(1000), .Grantors = New.Stored};
  EXPECT_FALSE(mayExtendLease({}, Evidence, GrantRound(1, at(1000), Old)));
  EXPECT_TRUE(mayExtendLease({}, Evidence, GrantRound(1, at(1000), New)));
}

/// Reads that showed the set before are extended by its members.
TEST(ConsentRound, NeedsAMajorityOfTheSetBeforeToo) {
  GrantorSet Set = setOf({3, 4, 5}, {1, 2, 3}, 12);
  ConsentRound Round({.Serial = 4, .Service = Service, .Closed = {6}}, Set);
  Round.onConsent(grantor(4), 4, at(10));
  Round.onConsent(grantor(5), 4, at(11));
  Round.onConsent(grantor(3), 4, at(12));
  EXPECT_FALSE(Round.completedAt());
  Round.onConsent(grantor(1), 3, at(13));
  EXPECT_FALSE(Round.completedAt());
  Round.onConsent(grantor(1), 4, at(14));
  EXPECT_EQ(Round.completedAt(), at(14));
  Round.onConsent(grantor(2), 4, at(15));
  EXPECT_EQ(Round.completedAt(), at(14));
}

LeaseReply known(const PrimaryRecord &Record, Revision ConsentedTo,
                 bool Remembers = true) {
  ServiceReport Report{.Record = Record};
  Report.ConsentedTo = ConsentedTo;
  return {.RemembersGrants = Remembers, .Services = {Report}};
}

class RecordVerificationTest : public testing::Test {
protected:
  /// The copy holds the record that was open at revision 5.
  std::vector<PrimaryRecord> verified(TimePoint Now) {
    PrimaryRecord Copy = record(4, PrimaryPhase::Open, 5);
    Copy.Stored = positionInHistory(Restored, 5);
    return this->Verification.verified({Copy}, Now);
  }

  RecordVerification Verification{Restored, setOf({1, 2, 3}, {}, 9), at(1000)};
};

TEST_F(RecordVerificationTest, CertainRecordStaysOpen) {
  PrimaryRecord Open = record(4, PrimaryPhase::Open, 5);
  this->Verification.onReply(grantor(1), known(Open, {}));
  EXPECT_EQ(this->Verification.status(at(1001)), VerificationStatus::Waiting);
  this->Verification.onReply(grantor(3), known(Open, {}));
  EXPECT_EQ(this->Verification.status(at(1001)), VerificationStatus::Complete);
  auto Records = this->verified(at(1001));
  ASSERT_EQ(Records.size(), 1U);
  EXPECT_EQ(Records[0].Phase, PrimaryPhase::Open);
  EXPECT_EQ(Records[0].Epoch, 4U);
}

/// The copy lacks the closing; an order may have followed it.
TEST_F(RecordVerificationTest, ConsentThatTheCopyLacksLeadsToAFailover) {
  PrimaryRecord Open = record(4, PrimaryPhase::Open, 5);
  this->Verification.onReply(grantor(1), known(Open, {6}));
  this->Verification.onReply(grantor(2), known(Open, {}));
  auto Records = this->verified(at(1001));
  EXPECT_EQ(Records[0].Phase, PrimaryPhase::Ordered);
  // Epoch 5 may have begun with another primary.
  EXPECT_GT(Records[0].Epoch, 5U);
}

/// The copy lacks a whole change of primary.
TEST_F(RecordVerificationTest, NewerEpochOfAGrantorIsRestored) {
  this->Verification.onReply(grantor(1),
                             known(record(4, PrimaryPhase::Open, 5), {6}));
  this->Verification.onReply(grantor(2),
                             known(record(5, PrimaryPhase::Open, 8), {6}));
  auto Records = this->verified(at(1001));
  EXPECT_EQ(Records[0].Phase, PrimaryPhase::Open);
  EXPECT_EQ(Records[0].Primary.Value, "m5");
}

/// A grantor that has restarted has forgotten its consents.
TEST_F(RecordVerificationTest, ForgottenConsentsDelayTheVerification) {
  PrimaryRecord Open = record(4, PrimaryPhase::Open, 5);
  this->Verification.onReply(grantor(1), known(Open, {}, false));
  this->Verification.onReply(grantor(2), known(Open, {}));
  EXPECT_EQ(this->Verification.status(at(3999)), VerificationStatus::Waiting);
  EXPECT_EQ(this->Verification.status(at(4000)), VerificationStatus::Unknown);
  auto Records = this->verified(at(4000));
  // So may have been an order.
  EXPECT_EQ(Records[0].Phase, PrimaryPhase::Ordered);
  EXPECT_EQ(Records[0].Target, UpstreamId{});
  EXPECT_GT(Records[0].Epoch, 1000U);
}

TEST_F(RecordVerificationTest, WithoutAMajorityAllLeasesMustHaveExpired) {
  this->Verification.onReply(grantor(1),
                             known(record(4, PrimaryPhase::Open, 5), {}));
  PromotionRulesOptions Rules;
  TimePoint LeasesOver = at(1000) + Rules.RecordValidity +
                         Rules.RecordValidityMargin + Rules.Leases.maxUse();
  EXPECT_EQ(this->Verification.status(LeasesOver - milliseconds(1)),
            VerificationStatus::Waiting);
  EXPECT_EQ(this->Verification.status(LeasesOver + milliseconds(50)),
            VerificationStatus::Unknown);
}

} // namespace
} // namespace turmericpitch
