#include "failover/GrantorMaintenance.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

RegisteredInstance instance(int Index, const std::string &Zone) {
  return {.Id = {"i" + std::to_string(Index)},
          .PeerEndpoint = {.Address = "10.0.0." + std::to_string(Index),
                           .Port = 7440},
          .Zone = {Zone}};
}

std::vector<RegisteredInstance> fleet() {
  return {instance(1, "a"), instance(2, "a"), instance(3, "a"),
          instance(4, "b"), instance(5, "c"), instance(6, "c")};
}

std::vector<std::string> names(const std::vector<Grantor> &Grantors) {
  std::vector<std::string> Names;
  for (const Grantor &Each : Grantors)
    Names.push_back(Each.Id.Value);
  return Names;
}

TEST(GrantorMaintenance, SpreadsOverZonesInOddNumber) {
  EXPECT_EQ(names(chooseGrantors(5, {}, fleet())),
            (std::vector<std::string>{"i1", "i2", "i4", "i5", "i6"}));
  EXPECT_EQ(chooseGrantors(5, {}, {instance(1, "a"), instance(2, "b")}).size(),
            1U);
  EXPECT_TRUE(chooseGrantors(5, {}, {}).empty());
}

TEST(GrantorMaintenance, KeepsRegisteredGrantors) {
  auto Before = chooseGrantors(3, {}, fleet());
  auto Listed = fleet();
  std::erase_if(Listed, [&](const RegisteredInstance &Each) {
    return Each.Id == Before.front().Id;
  });
  auto After = chooseGrantors(3, Before, Listed);
  ASSERT_EQ(After.size(), 3U);
  for (std::size_t Index = 1; Index < Before.size(); ++Index)
    EXPECT_NE(std::find(After.begin(), After.end(), Before[Index]),
              After.end());
}

/// All instances register within a second when the system starts.
TEST(GrantorMaintenance, FirstSetWaitsForAStableList) {
  GrantorMaintenance Upkeep;
  GrantorSet Empty{.Stored = {7}};
  EXPECT_FALSE(Upkeep.update(Empty, {instance(1, "a")}, at(0)));
  EXPECT_FALSE(Upkeep.update(Empty, fleet(), at(1500)));
  EXPECT_FALSE(Upkeep.update(Empty, fleet(), at(3000)));
  auto First = Upkeep.update(Empty, fleet(), at(3500));
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Current.size(), 5U);
  EXPECT_TRUE(First->Previous.empty());
}

/// Two changes in a row would let a lease rest on a set that no promoter asks.
TEST(GrantorMaintenance, ReplacesLostGrantorsOnceEarlierReadsAreOld) {
  GrantorMaintenanceOptions Options;
  GrantorMaintenance Upkeep(Options);
  GrantorSet Set{.Current = chooseGrantors(5, {}, fleet()), .Stored = {7}};
  auto Listed = fleet();
  Listed.erase(Listed.begin());
  EXPECT_FALSE(Upkeep.update(Set, fleet(), at(0)));
  EXPECT_FALSE(Upkeep.update(Set, Listed, at(1000)));
  EXPECT_FALSE(Upkeep.update(Set, Listed, at(10'000)));
  auto Next = Upkeep.update(Set, Listed, at(0) + Options.MinAge);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Previous, Set.Current);
  EXPECT_EQ(names(Next->Current),
            (std::vector<std::string>{"i2", "i3", "i4", "i5", "i6"}));
  // Later, the set before isn't needed any more.
  Next->Stored = {20};
  TimePoint Changed = at(30'000);
  EXPECT_FALSE(Upkeep.update(*Next, Listed, Changed));
  EXPECT_FALSE(Upkeep.update(*Next, Listed, Changed + milliseconds(9000)));
  auto Settled = Upkeep.update(*Next, Listed, Changed + Options.MinAge);
  ASSERT_TRUE(Settled);
  EXPECT_TRUE(Settled->Previous.empty());
  EXPECT_EQ(Settled->Current, Next->Current);
}

TEST(GrantorMaintenance, RestartedGrantorIsNotReplaced) {
  GrantorMaintenance Upkeep;
  GrantorSet Set{.Current = chooseGrantors(5, {}, fleet()), .Stored = {7}};
  auto Listed = fleet();
  Listed.erase(Listed.begin());
  EXPECT_FALSE(Upkeep.update(Set, fleet(), at(0)));
  EXPECT_FALSE(Upkeep.update(Set, Listed, at(20'000)));
  EXPECT_FALSE(Upkeep.update(Set, Listed, at(23'000)));
  EXPECT_FALSE(Upkeep.update(Set, fleet(), at(24'000)));
  EXPECT_FALSE(Upkeep.update(Set, fleet(), at(40'000)));
}

/// The rules rest on the age: it must exceed the time for which a read may be
/// extended.
TEST(GrantorMaintenance, MinAgeCoversExtendedReads) {
  constexpr Duration RecordValidity = milliseconds(15'000);
  EXPECT_GE(GrantorMaintenanceOptions{}.MinAge,
            RecordValidity + milliseconds(400));
}

} // namespace
} // namespace turmericpitch
