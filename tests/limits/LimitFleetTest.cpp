// Limits of accounts over a whole fleet: hard in every window whatever is lost,
// late, cut off, paused or restarted, and usable while connected.
#include "tests/limits/LimitFleet.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double MinBurst = 5;
/// Bound of the rounding of sums, in operations.
constexpr double Rounding = 1e-6;

const ClientAccountId Small{"small"};
const ClientAccountId Medium{"medium"};
const ClientAccountId Large{"large"};
const std::map<ClientAccountId, OperationLimit> Limits{
    {Small, {.PerSecond = 5, .Burst = 5}},
    {Medium, {.PerSecond = 40, .Burst = 40}},
    {Large, {.PerSecond = 343, .Burst = 343}}};

std::vector<std::size_t> allOf(std::size_t Instances) {
  std::vector<std::size_t> All(Instances);
  for (std::size_t Index = 0; Index < Instances; ++Index)
    All[Index] = Index;
  return All;
}

/// Demand at Factor times the limit of each account, at all instances.
std::vector<LimitDemand> demandAt(double Factor, std::size_t Instances) {
  std::vector<LimitDemand> Demand;
  for (const auto &[Id, Limit] : Limits)
    Demand.push_back({.Account = Id,
                      .PerSecond = Factor * Limit.PerSecond,
                      .Instances = allOf(Instances)});
  return Demand;
}

void expectWithinLimits(const LimitFleet &Fleet, std::uint64_t Seed) {
  for (const auto &[Id, Limit] : Limits)
    EXPECT_LE(Fleet.largestBurst(Id, Limit.PerSecond),
              std::max(Limit.Burst, MinBurst) + Rounding)
        << Id.Value << " with seed " << Seed;
}

class LimitFleetSizeTest : public testing::TestWithParam<std::size_t> {};

/// Operations of each account that run while Fleet runs for Length seconds, as
/// a fraction of its limit.
std::map<ClientAccountId, double> usedIn(LimitFleet &Fleet, int Length) {
  std::map<ClientAccountId, double> Used;
  for (const auto &[Id, Limit] : Limits)
    Used[Id] = -static_cast<double>(Fleet.ran(Id));
  Fleet.run(seconds(Length));
  for (const auto &[Id, Limit] : Limits) {
    Used[Id] += static_cast<double>(Fleet.ran(Id));
    Used[Id] /= Limit.PerSecond * Length;
  }
  return Used;
}

TEST_P(LimitFleetSizeTest, NineTenthsOfALimitAreUsable) {
  std::size_t Instances = this->GetParam();
  LimitFleet Fleet({.Instances = Instances, .Loss = 0.001});
  Fleet.setLimits(Limits);
  Fleet.setDemand(demandAt(2, Instances));
  // Until the burst is used.
  Fleet.run(seconds(4));
  for (const auto &[Id, Used] : usedIn(Fleet, 20)) {
    EXPECT_GE(Used, 0.9) << Id.Value;
    RecordProperty("used_" + Id.Value, std::to_string(Used));
  }
  expectWithinLimits(Fleet, 1);
}

TEST_P(LimitFleetSizeTest, DemandBelowALimitIsHardlyRefused) {
  std::size_t Instances = this->GetParam();
  LimitFleet Fleet({.Instances = Instances});
  Fleet.setLimits(Limits);
  Fleet.run(seconds(2));
  Fleet.setDemand(demandAt(0.5, Instances));
  Fleet.run(seconds(200));
  for (const auto &[Id, Limit] : Limits) {
    std::size_t Refused = Fleet.refused(Id);
    std::size_t Asked = Refused + Fleet.ran(Id);
    RecordProperty("refused_" + Id.Value, static_cast<int>(Refused));
    EXPECT_LE(static_cast<double>(Refused), 0.05 * static_cast<double>(Asked))
        << Id.Value;
  }
  RecordProperty("at_once", static_cast<int>(Fleet.admittedAtOnce()));
  RecordProperty("messages", static_cast<int>(Fleet.messages()));
}

INSTANTIATE_TEST_SUITE_P(Sizes, LimitFleetSizeTest,
                         testing::Values(5, 34, 118));

/// All demand moves to another zone every two seconds.
TEST(LimitFleetTest, LimitsFollowDemandBetweenZones) {
  LimitFleet Fleet({.Instances = 34});
  Fleet.setLimits(Limits);
  Fleet.run(seconds(2));
  std::map<ClientAccountId, double> Sum;
  constexpr std::size_t Moves = 9;
  for (std::size_t Move = 0; Move < Moves; ++Move) {
    auto Demand = demandAt(1.5, 34);
    for (LimitDemand &Each : Demand)
      std::erase_if(Each.Instances,
                    [&](std::size_t Index) { return Index % 3 != Move % 3; });
    Fleet.setDemand(Demand);
    for (const auto &[Id, Used] : usedIn(Fleet, 2))
      Sum[Id] += Used / Moves;
  }
  for (const auto &[Id, Used] : Sum)
    EXPECT_GE(Used, 0.9) << Id.Value;
  expectWithinLimits(Fleet, 1);
}

/// Accounts far beyond their limits don't take room from others.
TEST(LimitFleetTest, SmallAccountsAreServedBesideLargeOnes) {
  LimitFleet Fleet({.Instances = 34});
  Fleet.setLimits(Limits);
  auto Demand = demandAt(10, 34);
  for (LimitDemand &Each : Demand)
    if (Each.Account == Small)
      Each.PerSecond = 7;
  Fleet.setDemand(Demand);
  Fleet.run(seconds(4));
  EXPECT_GE(usedIn(Fleet, 20)[Small], 0.9);
  expectWithinLimits(Fleet, 1);
}

/// All instances of a fleet start at once, and answer one another only after
/// they have read the configuration and the list of instances, which takes each
/// a while. Callers come at once.
TEST(LimitFleetTest, AFleetThatStartsAtOnceServesSoon) {
  constexpr std::size_t Instances = 34;
  LimitFleet Fleet({.Instances = Instances});
  Fleet.setLimits(Limits);
  for (std::size_t Index = 0; Index < Instances; ++Index)
    Fleet.setSide(Index, static_cast<int>(Index));
  Fleet.setDemand(demandAt(0.5, Instances));
  Fleet.run(milliseconds(200));
  for (std::size_t Index = 0; Index < Instances; ++Index)
    Fleet.setSide(Index, 0);
  // A probe, a deposit and the age of credit after the last one answers.
  Fleet.run(milliseconds(400));
  std::size_t Refused = Fleet.refused(Large) + Fleet.refused(Medium);
  std::size_t Ran = Fleet.ran(Large) + Fleet.ran(Medium);
  Fleet.run(milliseconds(400));
  Refused = Fleet.refused(Large) + Fleet.refused(Medium) - Refused;
  Ran = Fleet.ran(Large) + Fleet.ran(Medium) - Ran;
  EXPECT_LE(static_cast<double>(Refused),
            0.05 * static_cast<double>(Refused + Ran));
}

/// Each side has the shares of its owners.
TEST(LimitFleetTest, EachSideOfAPartitionHasItsShares) {
  LimitFleet Fleet({.Instances = 34});
  Fleet.setLimits(Limits);
  // The second side has no keeper.
  for (std::size_t Index = 10; Index < 20; ++Index)
    Fleet.setSide(Index, 1);
  Fleet.setDemand(demandAt(3, 34));
  Fleet.run(seconds(4));
  auto Used = usedIn(Fleet, 20);
  EXPECT_GE(Used[Large], 0.9);
  EXPECT_GE(Used[Medium], 0.9 * 24 / 34);
  expectWithinLimits(Fleet, 1);
}

/// The other half's credit stays usable, and a restart adds none.
TEST(LimitFleetTest, HalfOfAllInstancesRestart) {
  LimitFleet Fleet({.Instances = 118});
  Fleet.setLimits(Limits);
  Fleet.setDemand(demandAt(2, 118));
  Fleet.run(seconds(4));
  for (std::size_t Index = 0; Index < 118; Index += 2)
    Fleet.restart(Index);
  for (const auto &[Id, Used] : usedIn(Fleet, 4))
    EXPECT_GE(Used, 0.9) << Id.Value;
  expectWithinLimits(Fleet, 1);
}

TEST(LimitFleetTest, AnIsolatedKeeperIsReplaced) {
  LimitFleet Fleet({.Instances = 34});
  Fleet.setLimits(Limits);
  Fleet.setDemand(demandAt(2, 34));
  Fleet.run(seconds(4));
  Fleet.setSide(0, 1);
  Fleet.run(seconds(1));
  for (const auto &[Id, Used] : usedIn(Fleet, 10))
    EXPECT_GE(Used, 0.9 * 33 / 34) << Id.Value;
  EXPECT_LE(Fleet.longestWait(), milliseconds(200));
  expectWithinLimits(Fleet, 1);
}

/// In force at once, but for the grants on their way.
TEST(LimitFleetTest, LimitsAreLoweredRaisedAndRemoved) {
  LimitFleet Fleet({.Instances = 34});
  Fleet.setLimits(Limits);
  Fleet.setDemand(demandAt(2, 34));
  Fleet.run(seconds(3));
  OperationLimit Lowered{.PerSecond = 10, .Burst = 10};
  Fleet.setLimits({{Large, Lowered}, {Medium, {.PerSecond = 0, .Burst = 0}}});
  Fleet.run(milliseconds(2));
  TimePoint Since = Fleet.now();
  std::size_t MediumRan = Fleet.ran(Medium);
  std::size_t SmallRefused = Fleet.refused(Small);
  Fleet.run(seconds(10));
  EXPECT_LE(Fleet.largestBurst(Large, Lowered.PerSecond, Since),
            Lowered.Burst + Rounding);
  EXPECT_EQ(Fleet.ran(Medium), MediumRan);
  EXPECT_EQ(Fleet.refused(Small), SmallRefused);
  Fleet.setLimits(Limits);
  Since = Fleet.now();
  Fleet.run(seconds(1));
  EXPECT_GE(usedIn(Fleet, 10)[Large], 0.9);
  EXPECT_LE(Fleet.largestBurst(Large, Limits.at(Large).PerSecond, Since),
            Limits.at(Large).Burst + Rounding);
}

struct LimitSearchCase {
  LimitFault Fault = LimitFault::None;
  std::vector<Disturbance> Disturbances;
  /// Probability that a message is repeated.
  double Repeat = 0;
  const char *Name = "";
};

const std::vector<Disturbance> AllDisturbances{
    Disturbance::Pause,  Disturbance::PauseHalf, Disturbance::Restart,
    Disturbance::Cut,    Disturbance::Heal,      Disturbance::Hold,
    Disturbance::Demand, Disturbance::Idle,      Disturbance::Keepers};

/// Whether a window of some account exceeds its limit in a run with random
/// disturbances.
bool exceedsLimit(std::uint64_t Seed, const LimitSearchCase &Case) {
  constexpr std::size_t Instances = 6;
  constexpr int Disturbances = 200;
  LimitFleet Fleet({.Instances = Instances,
                    .Seed = Seed,
                    .MinBurst = MinBurst,
                    .Loss = 0.01,
                    .Repeat = Case.Repeat,
                    .LongDelay = 0.01,
                    .Refund = 0.1,
                    .Fault = Case.Fault});
  RandomSource Random(Seed);
  Fleet.setLimits(Limits);
  auto Demand = demandAt(8, Instances);
  Fleet.setDemand(Demand);
  for (int Count = 0; Count < Disturbances; ++Count) {
    auto Kinds = static_cast<std::uint32_t>(Case.Disturbances.size());
    Fleet.disturb(Case.Disturbances[Random.nextBelow(Kinds)], Demand);
    Fleet.run(milliseconds(50 + Random.nextBelow(400)));
  }
  bool Exceeds = false;
  for (const auto &[Id, Limit] : Limits)
    Exceeds = Exceeds || Fleet.largestBurst(Id, Limit.PerSecond) >
                             std::max(Limit.Burst, MinBurst) + Rounding;
  return Exceeds;
}

std::string nameOf(const testing::TestParamInfo<LimitSearchCase> &Info) {
  return Info.param.Name;
}

constexpr std::uint64_t SearchSeeds = 8;

class LimitSearchTest : public testing::TestWithParam<LimitSearchCase> {};

TEST_P(LimitSearchTest, NoWindowExceedsALimit) {
  for (std::uint64_t Seed = 1; Seed <= SearchSeeds; ++Seed)
    EXPECT_FALSE(exceedsLimit(Seed, this->GetParam())) << "seed " << Seed;
}

class LimitFaultTest : public testing::TestWithParam<LimitSearchCase> {};

/// Each condition is needed: without it, the search finds a violation.
TEST_P(LimitFaultTest, IsFound) {
  bool Found = false;
  for (std::uint64_t Seed = 1; Seed <= SearchSeeds && !Found; ++Seed) {
    Found = exceedsLimit(Seed, this->GetParam());
    RecordProperty("found_by_seed", static_cast<int>(Seed));
  }
  EXPECT_TRUE(Found);
}

const std::vector<Disturbance> Holds{Disturbance::Hold, Disturbance::Hold,
                                     Disturbance::Demand, Disturbance::Idle};
const std::vector<Disturbance> Pauses{Disturbance::PauseHalf,
                                      Disturbance::LightDemand,
                                      Disturbance::Demand, Disturbance::Idle};

std::vector<LimitSearchCase> faultCases() {
  return {{.Fault = LimitFault::CountsRepeatedDeposits,
           .Disturbances = Holds,
           .Repeat = 0.5,
           .Name = "CountsRepeatedDeposits"},
          {.Fault = LimitFault::TrustsLateDeposits,
           .Disturbances = Holds,
           .Name = "TrustsLateDeposits"},
          {.Fault = LimitFault::CountsForAllAccounts,
           .Disturbances = Holds,
           .Name = "CountsForAllAccounts"},
          {.Fault = LimitFault::KeepsExpiredCredit,
           .Disturbances = Pauses,
           .Name = "KeepsExpiredCredit"}};
}

/// The same searches with all conditions, and one with all disturbances.
std::vector<LimitSearchCase> soundCases() {
  std::vector<LimitSearchCase> Cases = faultCases();
  for (LimitSearchCase &Each : Cases)
    Each.Fault = LimitFault::None;
  Cases.push_back(
      {.Disturbances = AllDisturbances, .Repeat = 0.1, .Name = "All"});
  return Cases;
}

INSTANTIATE_TEST_SUITE_P(Searches, LimitSearchTest,
                         testing::ValuesIn(soundCases()), nameOf);
INSTANTIATE_TEST_SUITE_P(Conditions, LimitFaultTest,
                         testing::ValuesIn(faultCases()), nameOf);

} // namespace
} // namespace turmericpitch
