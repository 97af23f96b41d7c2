#include "tools/DecoderFuzz.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr std::uint64_t Rounds = 1500;

class DecoderFuzz : public ::testing::TestWithParam<FuzzTarget> {};

TEST_P(DecoderFuzz, RefusesBadInputWithATypedError) {
  for (const FuzzFinding &Finding : runDecoderFuzz({GetParam()}, Seed, Rounds))
    ADD_FAILURE() << Finding.Target << " round " << Finding.Round << ": "
                  << Finding.Problem << "\n"
                  << Finding.Input.substr(0, 300);
}

INSTANTIATE_TEST_SUITE_P(Each, DecoderFuzz, ::testing::ValuesIn(fuzzTargets()),
                         [](const auto &Info) { return Info.param.Name; });

TEST(DecoderFuzzRun, ReportsADecoderThatMisbehaves) {
  FuzzTarget MisbehavingDecoder{.Name = "broken",
                                .Corpus = {"abc"},
                                .Decode = [](const std::string &Input) {
                                  return std::string(
                                      Input == "abc" ? "" : "changed");
                                }};
  EXPECT_FALSE(runDecoderFuzz({MisbehavingDecoder}, Seed, Rounds).empty());
}

} // namespace
} // namespace turmericpitch
