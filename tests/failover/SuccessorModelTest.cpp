// Searches random histories of a service with synchronous replicas for a
// promotion that loses an acknowledged commit.
#include "tests/failover/SuccessorModel.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr std::uint64_t Seeds = 3000;
/// Some losses need several rare events.
constexpr std::uint64_t FaultSeeds = 10 * Seeds;

struct SuccessorModelCase {
  const char *Name = "";
  SuccessorModelOptions Options;
};

std::string nameOf(const testing::TestParamInfo<SuccessorModelCase> &Info) {
  return Info.param.Name;
}

class PromotionModelSuccessorTest
    : public testing::TestWithParam<SuccessorModelCase> {};

TEST_P(PromotionModelSuccessorTest, NoAcknowledgedCommitIsLost) {
  SuccessorModelEvents Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SuccessorModel Model(Seed, this->GetParam().Options);
    auto Loss = Model.run();
    ASSERT_FALSE(Loss) << "seed " << Seed << ": " << *Loss;
    Sum.Acknowledged += Model.events().Acknowledged;
    Sum.Promotions += Model.events().Promotions;
    Sum.PromotionsOfDraining += Model.events().PromotionsOfDraining;
    Sum.HandOvers += Model.events().HandOvers;
    Sum.Kept += Model.events().Kept;
    Sum.Waits += Model.events().Waits;
    Sum.Unlisted += Model.events().Unlisted;
    Sum.StaleEntries += Model.events().StaleEntries;
  }
  // The search must actually cover these events.
  constexpr int Enough = static_cast<int>(Seeds);
  EXPECT_GT(Sum.Acknowledged, Enough);
  EXPECT_GT(Sum.Promotions, Enough);
  EXPECT_GT(Sum.PromotionsOfDraining, Enough / 10);
  EXPECT_GT(Sum.HandOvers, Enough / 10);
  EXPECT_GT(Sum.Kept, Enough / 100);
  EXPECT_GT(Sum.Waits, Enough);
  EXPECT_GT(Sum.Unlisted, Enough);
  EXPECT_GT(Sum.StaleEntries, Enough / 10);
}

INSTANTIATE_TEST_SUITE_P(
    Values, PromotionModelSuccessorTest,
    testing::Values(
        SuccessorModelCase{"OneOfTwo",
                           {.Replicas = 2, .SynchronousReplicas = 1}},
        SuccessorModelCase{"TwoOfTwo",
                           {.Replicas = 2, .SynchronousReplicas = 2}},
        SuccessorModelCase{"OneOfThree",
                           {.Replicas = 3, .SynchronousReplicas = 1}},
        SuccessorModelCase{"TwoOfThree",
                           {.Replicas = 3, .SynchronousReplicas = 2}},
        SuccessorModelCase{"AllOfThree",
                           {.Replicas = 3, .SynchronousReplicas = 3}}),
    nameOf);

class PromotionModelSuccessorFaultTest
    : public testing::TestWithParam<SuccessorModelCase> {};

TEST_P(PromotionModelSuccessorFaultTest, IsFound) {
  bool Found = false;
  for (std::uint64_t Seed = 1; Seed <= FaultSeeds && !Found; ++Seed)
    Found = SuccessorModel(Seed, this->GetParam().Options).run().has_value();
  EXPECT_TRUE(Found);
}

INSTANTIATE_TEST_SUITE_P(
    Conditions, PromotionModelSuccessorFaultTest,
    testing::Values(
        SuccessorModelCase{
            "IgnoresSynchronousReplicas",
            {.Fault = SuccessorFault::IgnoresSynchronousReplicas}},
        SuccessorModelCase{"SkipsDrainingReplicas",
                           {.Fault = SuccessorFault::SkipsDrainingReplicas}},
        SuccessorModelCase{"SkipsSilentReplicas",
                           {.Fault = SuccessorFault::SkipsSilentReplicas}},
        SuccessorModelCase{
            "UsesReportsBeforeTheClosing",
            {.Fault = SuccessorFault::UsesReportsBeforeTheClosing}},
        SuccessorModelCase{"DecidesByAnOldList",
                           {.Fault = SuccessorFault::DecidesByAnOldList}},
        SuccessorModelCase{"ForgetsDepartedReplicas",
                           {.Fault = SuccessorFault::ForgetsDepartedReplicas}},
        SuccessorModelCase{
            "CoversBySamplesBeforeTheDeparture",
            {.Fault = SuccessorFault::CoversBySamplesBeforeTheDeparture}},
        SuccessorModelCase{
            "TrustsReplacementsOfLostMembers",
            {.Fault = SuccessorFault::TrustsReplacementsOfLostMembers}},
        SuccessorModelCase{"IgnoresNewStarts",
                           {.Fault = SuccessorFault::IgnoresNewStarts}},
        SuccessorModelCase{
            "PromotesBehindTheRunningPrimary",
            {.Fault = SuccessorFault::PromotesBehindTheRunningPrimary}},
        SuccessorModelCase{"CoversRunningReplicas",
                           {.Fault = SuccessorFault::CoversRunningReplicas}},
        SuccessorModelCase{
            "IgnoresLogsOfUnlistedReplicas",
            {.Fault = SuccessorFault::IgnoresLogsOfUnlistedReplicas}},
        SuccessorModelCase{
            "CoversUnknownReplicasAtOnce",
            {.Fault = SuccessorFault::CoversUnknownReplicasAtOnce}},
        SuccessorModelCase{"CoversTakenOverAddresses",
                           {.Fault = SuccessorFault::CoversTakenOverAddresses}},
        SuccessorModelCase{"IgnoresNewConnections",
                           {.Fault = SuccessorFault::IgnoresNewConnections}},
        SuccessorModelCase{"TrustsEntriesAtOnce",
                           {.Fault = SuccessorFault::TrustsEntriesAtOnce}},
        SuccessorModelCase{
            "IgnoresAcknowledgedPositions",
            {.Fault = SuccessorFault::IgnoresAcknowledgedPositions}}),
    nameOf);

} // namespace
} // namespace turmericpitch
