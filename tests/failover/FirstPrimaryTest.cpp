// Which member the first record of a service names, if several entries of the
// store claim to be its primary.
#include "failover/FirstPrimary.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr FirstPrimaryOptions Options;
constexpr Duration AtOnce{0};

FirstPrimaryCandidate leader(const char *Id, std::uint64_t Newest) {
  return {.Id = {Id},
          .Claims = true,
          .Answered = true,
          .Leads = true,
          .Newest = {Newest}};
}

FirstPrimaryCandidate replica(const char *Id, std::uint64_t Newest) {
  return {.Id = {Id}, .Answered = true, .Newest = {Newest}};
}

FirstPrimaryCandidate unreachable(const char *Id) {
  FirstPrimaryCandidate Claimant;
  Claimant.Id = {Id};
  Claimant.Claims = true;
  return Claimant;
}

std::optional<UpstreamId>
choose(const std::vector<FirstPrimaryCandidate> &Candidates, Duration Waited) {
  return chooseFirstPrimary(Options, Candidates, Waited);
}

TEST(FirstPrimary, OnlyClaimantIsChosenAtOnce) {
  EXPECT_EQ(choose({leader("m1", 1)}, AtOnce), UpstreamId{"m1"});
  EXPECT_FALSE(choose({}, Options.ClaimantTimeout));
  EXPECT_FALSE(choose({unreachable("m1")}, Options.ClaimantTimeout));
}

TEST(FirstPrimary, UnreachableClaimantIsWaitedFor) {
  std::vector<FirstPrimaryCandidate> Both{leader("m1", 1), unreachable("x")};
  EXPECT_FALSE(choose(Both, Options.ClaimantTimeout - Duration(1)));
  EXPECT_EQ(choose(Both, Options.ClaimantTimeout), UpstreamId{"m1"});
}

TEST(FirstPrimary, PrimaryOfAnOlderTermIsNotChosen) {
  EXPECT_FALSE(choose({leader("m1", 1), unreachable("x"), replica("m2", 2)},
                      Options.ClaimantTimeout));
  EXPECT_EQ(choose({leader("m1", 1), leader("m2", 2)}, AtOnce),
            UpstreamId{"m2"});
  EXPECT_FALSE(choose({leader("m1", 1), leader("m2", 1)}, AtOnce));
}

TEST(FirstPrimary, ClaimThatTheMemberDeniesIsIgnored) {
  FirstPrimaryCandidate Denies = replica("m2", 1);
  Denies.Claims = true;
  EXPECT_EQ(choose({leader("m1", 1), Denies}, AtOnce), UpstreamId{"m1"});
}

} // namespace
} // namespace turmericpitch
