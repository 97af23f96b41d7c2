#include "tests/failover/PromotionModel.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr Term Two{2};
constexpr Term Three{3};
constexpr Term Four{4};

struct ModelCase {
  const char *Name;
  ModelOptions Options;
};

class PromotionModelTest : public ::testing::TestWithParam<ModelCase> {};

TEST_P(PromotionModelTest, EveryInterleavingKeepsTheInvariants) {
  SearchResult Result = PromotionModel(GetParam().Options).search();
  EXPECT_EQ(Result.Violation, "");
  EXPECT_GT(Result.Promoted, 0u);
  EXPECT_GT(Result.Acknowledged, 0u);
  RecordProperty("states", std::to_string(Result.States));
}

INSTANTIATE_TEST_SUITE_P(
    Bounds, PromotionModelTest,
    ::testing::Values(
        ModelCase{"OneAttempt", {.Attempts = {Two}, .Writes = 2}},
        ModelCase{"OneAttemptLateBatches",
                  {.Attempts = {Two}, .Writes = 2, .BatchesInFlight = 2}},
        ModelCase{"OneAttemptDuplicates",
                  {.Attempts = {Two},
                   .Writes = 2,
                   .Duplicates = 1,
                   .BatchesInFlight = 1}},
        ModelCase{"ThreeAttemptsShortBatches",
                  {.Attempts = {Two, Three, Four},
                   .RepliesMayBeLost = false,
                   .ShortBatches = true}},
        ModelCase{"ThreeAttemptsRetry",
                  {.Attempts = {Two, Three, Four},
                   .Writes = 2,
                   .FirstWriteExecuted = true,
                   .OneKey = true,
                   .RepliesMayBeLost = false,
                   .ShortBatches = true}},
        ModelCase{"HandOver",
                  {.Attempts = {Two},
                   .Writes = 2,
                   .FirstPrimaryLeaves = true,
                   .FencingMayFail = true}},
        ModelCase{"HandOverConcurrentAttempts",
                  {.Attempts = {Two, Two},
                   .Writes = 1,
                   .FirstPrimaryLeaves = true,
                   .FencingMayFail = true}},
        ModelCase{"ConcurrentAttempts", {.Attempts = {Two, Two}, .Writes = 2}},
        ModelCase{"ConcurrentAttemptsDuplicates",
                  {.Attempts = {Two, Two}, .Writes = 1, .Duplicates = 1}},
        ModelCase{"SuccessiveTerms", {.Attempts = {Two, Three}, .Writes = 1}},
        ModelCase{"SuccessiveTermsTwoWrites",
                  {.Attempts = {Two, Three}, .Writes = 2}},
        ModelCase{"SuccessiveTermsRetry",
                  {.Attempts = {Two, Three}, .Writes = 2, .OneKey = true}}),
    [](const auto &Info) { return std::string(Info.param.Name); });

/// The search must detect that a rule is disabled; otherwise, finding no
/// violation proves nothing.
class BrokenRuleTest : public ::testing::TestWithParam<ModelCase> {};

TEST_P(BrokenRuleTest, SearchFindsAViolation) {
  SearchResult Result = PromotionModel(GetParam().Options).search();
  EXPECT_NE(Result.Violation, "");
}

INSTANTIATE_TEST_SUITE_P(
    Rules, BrokenRuleTest,
    ::testing::Values(ModelCase{"FenceWithoutAttempt",
                                {.Attempts = {Two, Two},
                                 .Broken = BrokenRule::FenceWithoutAttempt}},
                      ModelCase{"ChooseByPosition",
                                {.Attempts = {Two, Three},
                                 .Broken = BrokenRule::ChooseByPosition}},
                      ModelCase{"ConfirmInAnyTerm",
                                {.Attempts = {Two, Three, Four},
                                 .RepliesMayBeLost = false,
                                 .ShortBatches = true,
                                 .Broken = BrokenRule::ConfirmInAnyTerm}},
                      ModelCase{"ConfirmOldEntry",
                                {.Attempts = {Two, Three, Four},
                                 .Writes = 2,
                                 .FirstWriteExecuted = true,
                                 .OneKey = true,
                                 .RepliesMayBeLost = false,
                                 .ShortBatches = true,
                                 .Broken = BrokenRule::ConfirmOldEntry}}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace turmericpitch
