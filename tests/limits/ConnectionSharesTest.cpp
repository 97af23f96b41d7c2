#include "limits/ConnectionShares.h"

#include "tests/limits/ShareSimulation.h"
#include "tests/support/Scenario.h"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck.h>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration SettlingTime = seconds(6);

/// Runs the simulation with 60 random faults and changes of demand.
void injectFaults(ShareSimulation &Simulation, std::uint32_t Instances,
                  std::uint64_t Seed) {
  RandomSource Random(Seed);
  for (int Step = 0; Step < 60; ++Step) {
    std::uint32_t Index = Random.nextBelow(Instances);
    switch (Random.nextBelow(7)) {
    case 0:
      Simulation.stop(Index);
      break;
    case 1:
      Simulation.restart(Index);
      break;
    case 2:
      Simulation.pause(Index, milliseconds(Random.nextBelow(5000)));
      break;
    case 3:
      Simulation.setIsolated(Index, Random.chance(0.5));
      break;
    default:
      Simulation.setNeed(Index, Random.nextBelow(30));
    }
    Simulation.run(milliseconds(Random.nextBelow(1500)));
  }
}

TEST(ConnectionSharesProperty, SumNeverExceedsTheLimitUnderFaults) {
  EXPECT_TRUE(rc::check([] {
    ShareSimulationOptions Options;
    Options.Instances = *rc::gen::inRange<std::uint32_t>(1, 8);
    Options.Limit = *rc::gen::inRange<std::uint32_t>(1, 61);
    Options.Seed = *rc::gen::arbitrary<std::uint64_t>();
    Options.Loss = *rc::gen::inRange(0, 50) / 100.0;
    Options.Repeat = *rc::gen::inRange(0, 50) / 100.0;
    Options.MaxDelay = milliseconds(*rc::gen::inRange(2, 4000));
    Options.ClockRateSpread = 0.01;
    ShareSimulation Simulation(Options);
    injectFaults(Simulation, Options.Instances, Options.Seed + 1);
    RC_ASSERT(Simulation.largestTotal() <= Options.Limit);
  }));
}

/// Reference implementation: a central allocator that knows all demands gives
/// each instance its owned share and then what the others do not need.
std::uint32_t
servedByCentralAllocator(const std::vector<std::uint32_t> &Needs,
                         const std::vector<std::uint32_t> &Owned,
                         const std::vector<std::uint32_t> &ReservedShares) {
  std::uint32_t Served = 0;
  std::uint32_t Shortfall = 0;
  std::uint32_t Spare = 0;
  for (std::size_t Index = 0; Index < Needs.size(); ++Index) {
    Served += std::min(Needs[Index], Owned[Index]);
    Shortfall += Needs[Index] - std::min(Needs[Index], Owned[Index]);
    Spare +=
        Owned[Index] -
        std::min(Owned[Index], std::max(Needs[Index], ReservedShares[Index]));
  }
  return Served + std::min(Shortfall, Spare);
}

TEST(ConnectionSharesDifferential, ServesAsMuchAsCentralAllocator) {
  EXPECT_TRUE(rc::check([] {
    ShareSimulationOptions Options;
    Options.Instances = *rc::gen::inRange<std::uint32_t>(1, 7);
    Options.Limit = *rc::gen::inRange<std::uint32_t>(1, 61);
    Options.Seed = *rc::gen::arbitrary<std::uint64_t>();
    ShareSimulation Simulation(Options);
    for (int Round = 0; Round < 3; ++Round) {
      std::vector<std::uint32_t> Needs;
      for (std::uint32_t Index = 0; Index < Options.Instances; ++Index) {
        Needs.push_back(*rc::gen::inRange<std::uint32_t>(0, 30));
        Simulation.setNeed(Index, Needs.back());
      }
      Simulation.run(SettlingTime);
      std::vector<std::uint32_t> Owned;
      std::vector<std::uint32_t> ReservedShares;
      std::uint32_t Served = 0;
      for (std::uint32_t Index = 0; Index < Options.Instances; ++Index) {
        const ConnectionShares &Shares = Simulation.shares(Index);
        TimePoint Now = Simulation.Queue.now();
        Owned.push_back(Simulation.usable(Index) + Shares.lent(Now) -
                        Shares.borrowed(Now));
        ReservedShares.push_back(Shares.reservedShare());
        Served += std::min(Needs[Index], Simulation.usable(Index));
        RC_ASSERT(Simulation.usable(Index) >=
                  std::min(Needs[Index], Owned[Index]));
      }
      RC_ASSERT(std::accumulate(Owned.begin(), Owned.end(), 0U) ==
                Options.Limit);
      RC_ASSERT(Served ==
                servedByCentralAllocator(Needs, Owned, ReservedShares));
    }
  }));
}

TEST(ConnectionShares, IdleInstancesSendNothing) {
  ShareSimulation Simulation({});
  Simulation.run(seconds(60));
  EXPECT_EQ(Simulation.messages(), 0U);
  EXPECT_EQ(Simulation.total(), 20U);
}

TEST(ConnectionShares, NoMessagesAfterALoanIsReturned) {
  ShareSimulation Simulation({});
  Simulation.setNeed(0, 12);
  Simulation.run(SettlingTime);
  Simulation.setNeed(0, 0);
  Simulation.run(SettlingTime);
  std::uint64_t Before = Simulation.messages();
  Simulation.run(seconds(60));
  EXPECT_EQ(Simulation.messages(), Before);
  for (std::uint32_t Index = 0; Index < 5; ++Index)
    EXPECT_EQ(Simulation.usable(Index), 4U);
}

TEST(ConnectionShares, StaysWithinLimitWithMoreInstancesThanConnections) {
  ShareSimulation Simulation({.Instances = 5, .Limit = 3});
  Simulation.setNeed(0, 1);
  Simulation.run(SettlingTime);
  EXPECT_EQ(Simulation.total(), 3U);
  EXPECT_EQ(Simulation.largestTotal(), 3U);
}

TEST(ConnectionShares, LenderCountsReducedLoanUntilBorrowerHasClosedExcess) {
  ConnectionSharesOptions Options;
  Options.Target = DatabaseId{"bookings"};
  Options.Self = InstanceId{"a"};
  Options.Instances = {InstanceId{"a"}, InstanceId{"b"}};
  Options.Incarnation = 7;
  ConnectionShares Borrower(Options, TimePoint{});
  Options.Self = InstanceId{"b"};
  ConnectionShares Lender(Options, TimePoint{});
  TimePoint Now = TimePoint{} + seconds(10);
  auto Exchange = [&] {
    for (const ShareSend &Asked : Borrower.onTick(Now))
      for (const ShareSend &Given :
           Lender.onMessage(InstanceId{"a"}, Asked.Message, Now))
        Borrower.onMessage(InstanceId{"b"}, Given.Message, Now);
    Now += milliseconds(100);
  };
  Borrower.setNeed(14);
  Exchange();
  Exchange();
  ASSERT_EQ(Borrower.usable(Now), 14U);
  Lender.setNeed(10);
  // Statements in flight still use the borrowed connections.
  Borrower.setWithinAllowance(false);
  Now += Options.RenewInterval;
  Exchange();
  Exchange();
  EXPECT_EQ(Borrower.usable(Now), 10U);
  EXPECT_EQ(Lender.usable(Now), 6U);
  EXPECT_FALSE(Borrower.hasExpiredExcess(Now));
  EXPECT_TRUE(Borrower.hasExpiredExcess(Now + seconds(2)));
  Borrower.setWithinAllowance(true);
  Exchange();
  EXPECT_EQ(Lender.usable(Now), 10U);
}

TEST(ShareMessages, RoundTripsAndRejectsMalformedMessages) {
  ShareGrant Grant{.Target = DatabaseId{"bookings"},
                   .Incarnation = 3,
                   .Sequence = 4,
                   .SentAt = -5,
                   .Count = 6,
                   .ValidFor = 7,
                   .Spare = 8};
  std::string Bytes = encodeShareMessage(Grant);
  auto Decode = [](const std::string &Text) {
    return toOutcome([&] { return decodeShareMessage(Text); });
  };
  EXPECT_EQ(std::get<ShareGrant>(Decode(Bytes).value()), Grant);
  EXPECT_FALSE(Decode(Bytes.substr(0, Bytes.size() - 1)));
  EXPECT_FALSE(Decode(std::string(600, 'x')));
  // The archive writes an endianness byte before the version.
  Bytes[1] = 9;
  EXPECT_FALSE(Decode(Bytes));
}

class ConnectionSharesScenario : public ::testing::TestWithParam<std::string> {
};

TEST_P(ConnectionSharesScenario, Holds) {
  ShareSimulation Simulation({});
  auto IndexOf = [](YamlReader &Step) {
    return static_cast<std::uint32_t>(
        Step.number("instance", {.Min = 0, .Max = 4}));
  };
  StepHandlers Handlers;
  Handlers["need"] = [&](YamlReader &Step) {
    std::uint32_t Index = IndexOf(Step);
    Simulation.setNeed(
        Index, static_cast<std::uint32_t>(Step.number("connections", {})));
  };
  Handlers["kill"] = [&](YamlReader &Step) { Simulation.stop(IndexOf(Step)); };
  Handlers["restart"] = [&](YamlReader &Step) {
    Simulation.restart(IndexOf(Step));
  };
  Handlers["pause"] = [&](YamlReader &Step) {
    std::uint32_t Index = IndexOf(Step);
    Simulation.pause(Index, Step.duration("length", {}));
  };
  Handlers["isolate"] = [&](YamlReader &Step) {
    Simulation.setIsolated(IndexOf(Step), true);
  };
  Handlers["reconnect"] = [&](YamlReader &Step) {
    Simulation.setIsolated(IndexOf(Step), false);
  };
  Handlers["expect_usable"] = [&](YamlReader &Step) {
    std::uint32_t Index = IndexOf(Step);
    EXPECT_EQ(Simulation.usable(Index), Step.number("connections", {}));
  };
  runScenario(GetParam(), Simulation.Queue, Handlers);
  EXPECT_LE(Simulation.largestTotal(), 20U);
}

INSTANTIATE_TEST_SUITE_P(Limits, ConnectionSharesScenario,
                         ::testing::ValuesIn(scenarioFiles("limits/shares")),
                         [](const auto &Info) {
                           return scenarioName(Info.param);
                         });

} // namespace

} // namespace turmericpitch
