// Searches random interleavings of reads, grants, consents, promotions, changes
// of the grantor set and restores of the store for an instance whose lease is
// still valid after another member was ordered to be primary.
#include "tests/failover/LeaseModel.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Seeds = 500;

/// Restores strike at any time.
constexpr LeaseModelProfile Restores;
/// The store refuses instances for longer than a read may be extended.
constexpr LeaseModelProfile LongOutages{.DisturbChance = 0.003,
                                        .LongestDisturbance =
                                            milliseconds(10'000),
                                        .RestoreChance = 0,
                                        .RestoreAfterOrderChance = 0};
/// Grantors are replaced all the time.
constexpr LeaseModelProfile RegistryChanges{.DisturbChance = 0.004,
                                            .LongestDisturbance =
                                                milliseconds(6000),
                                            .RestoreChance = 0,
                                            .RestoreAfterOrderChance = 0,
                                            .RegistryChance = 0.02,
                                            .ChangeChance = 0.01};
/// Restores strike when they lose most, while grantors can't read the store.
constexpr LeaseModelProfile RestoresAfterOrders{
    .DisturbChance = 0.004, .RestoreChance = 0, .RestoreAfterOrderChance = 0.8};

struct LeaseModelCase {
  LeaseModelProfile Profile;
  LeaseFault Fault = LeaseFault::None;
  const char *Name = "";
};

std::string nameOf(const testing::TestParamInfo<LeaseModelCase> &Info) {
  return Info.param.Name;
}

class LeaseModelProfileTest : public testing::TestWithParam<LeaseModelCase> {};

TEST_P(LeaseModelProfileTest, NoLeaseOutlivesItsEpoch) {
  LeaseModelEvents Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LeaseModel Model(Seed, this->GetParam().Profile, LeaseFault::None);
    auto Violation = Model.run();
    EXPECT_FALSE(Violation)
        << "seed " << Seed << ": " << Violation.value_or("");
    const LeaseModelEvents &Each = Model.events();
    Sum.Promotions += Each.Promotions;
    Sum.Grants += Each.Grants;
    Sum.SetChanges += Each.SetChanges;
    Sum.Restores += Each.Restores;
    Sum.CompleteVerifications += Each.CompleteVerifications;
    Sum.UnknownVerifications += Each.UnknownVerifications;
  }
  // The search must actually cover these events.
  constexpr int Enough = static_cast<int>(Seeds);
  EXPECT_GT(Sum.Promotions, Enough / 2);
  EXPECT_GT(Sum.Grants, Enough);
  EXPECT_GT(Sum.SetChanges, Enough / 2);
  if (this->GetParam().Profile.RestoreChance == 0)
    return;
  EXPECT_GT(Sum.Restores, Enough);
  EXPECT_GT(Sum.CompleteVerifications, Enough / 2);
  EXPECT_GT(Sum.UnknownVerifications, Enough / 10);
}

INSTANTIATE_TEST_SUITE_P(
    Profiles, LeaseModelProfileTest,
    testing::Values(
        LeaseModelCase{.Profile = Restores, .Name = "Restores"},
        LeaseModelCase{.Profile = LongOutages, .Name = "LongOutages"},
        LeaseModelCase{.Profile = RegistryChanges, .Name = "RegistryChanges"},
        LeaseModelCase{.Profile = RestoresAfterOrders,
                       .Name = "RestoresAfterOrders"}),
    nameOf);

class LeaseModelFaultTest : public testing::TestWithParam<LeaseModelCase> {};

/// Each rule is needed: without it, the search finds a violation.
TEST_P(LeaseModelFaultTest, IsFound) {
  bool Found = false;
  for (std::uint64_t Seed = 1; Seed <= Seeds && !Found; ++Seed)
    Found = LeaseModel(Seed, this->GetParam().Profile, this->GetParam().Fault)
                .run()
                .has_value();
  EXPECT_TRUE(Found);
}

INSTANTIATE_TEST_SUITE_P(
    Rules, LeaseModelFaultTest,
    testing::Values(LeaseModelCase{.Profile = Restores,
                                   .Fault = LeaseFault::PromotesWithoutWaiting,
                                   .Name = "PromotesWithoutWaiting"},
                    LeaseModelCase{.Profile = LongOutages,
                                   .Fault = LeaseFault::PromotesWithoutConsent,
                                   .Name = "PromotesWithoutConsent"},
                    LeaseModelCase{.Profile = Restores,
                                   .Fault = LeaseFault::TrustsUnverifiedRecords,
                                   .Name = "TrustsUnverifiedRecords"},
                    LeaseModelCase{.Profile = RestoresAfterOrders,
                                   .Fault = LeaseFault::VerifiesWithoutConsents,
                                   .Name = "VerifiesWithoutConsents"},
                    LeaseModelCase{.Profile = Restores,
                                   .Fault = LeaseFault::WritesAcrossEras,
                                   .Name = "WritesAcrossEras"},
                    LeaseModelCase{.Profile = Restores,
                                   .Fault = LeaseFault::ReusesEpochs,
                                   .Name = "ReusesEpochs"}),
    nameOf);

} // namespace
} // namespace turmericpitch
