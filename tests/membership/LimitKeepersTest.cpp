#include "membership/LimitKeepers.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace turmericpitch {
namespace {

std::vector<RegisteredInstance> fleet(std::size_t Zones, std::size_t PerZone) {
  std::vector<RegisteredInstance> All;
  for (std::size_t Zone = 0; Zone < Zones; ++Zone)
    for (std::size_t Index = 0; Index < PerZone; ++Index) {
      std::string Name =
          "zone" + std::to_string(Zone) + "-" + std::to_string(Index);
      All.push_back({.Id = {Name},
                     .PeerEndpoint = {.Address = "10.0.0.1", .Port = 7440},
                     .Zone = {"zone" + std::to_string(Zone)}});
    }
  return All;
}

std::set<InstanceId> asSet(const std::vector<InstanceId> &Ids) {
  return {Ids.begin(), Ids.end()};
}

TEST(LimitKeepers, EachZoneHasOne) {
  std::vector<InstanceId> Keepers = selectLimitKeepers(fleet(3, 11));
  ASSERT_EQ(Keepers.size(), 3U);
  std::set<std::string> Zones;
  for (const InstanceId &Each : Keepers)
    Zones.insert(Each.Value.substr(0, Each.Value.find('-')));
  EXPECT_EQ(Zones.size(), 3U);
}

TEST(LimitKeepers, LargeZonesHaveMore) {
  EXPECT_EQ(selectLimitKeepers(fleet(1, InstancesPerKeeper)).size(), 1U);
  EXPECT_EQ(selectLimitKeepers(fleet(1, InstancesPerKeeper + 1)).size(), 2U);
}

TEST(LimitKeepers, TooManyAreCutToOneInEachZoneFirst) {
  std::vector<RegisteredInstance> All = fleet(3, 3 * InstancesPerKeeper + 1);
  std::vector<InstanceId> Keepers = selectLimitKeepers(All);
  EXPECT_EQ(Keepers.size(), MaxLimitKeepers);
  std::set<std::string> Zones;
  for (const InstanceId &Each : Keepers)
    Zones.insert(Each.Value.substr(0, Each.Value.find('-')));
  EXPECT_EQ(Zones.size(), 3U);
}

TEST(LimitKeepers, TheOrderOfTheListDoesNotMatter) {
  std::vector<RegisteredInstance> All = fleet(4, 75);
  std::vector<InstanceId> Keepers = selectLimitKeepers(All);
  std::reverse(All.begin(), All.end());
  EXPECT_EQ(selectLimitKeepers(All), Keepers);
}

TEST(LimitKeepers, LosingAnotherInstanceMovesNoKeeper) {
  std::vector<RegisteredInstance> All = fleet(3, 11);
  std::set<InstanceId> Keepers = asSet(selectLimitKeepers(All));
  auto Other = std::find_if(All.begin(), All.end(), [&](const auto &Each) {
    return !Keepers.contains(Each.Id);
  });
  All.erase(Other);
  EXPECT_EQ(asSet(selectLimitKeepers(All)), Keepers);
}

TEST(LimitKeepers, LosingAKeeperReplacesItAlone) {
  std::vector<RegisteredInstance> All = fleet(3, 11);
  std::vector<InstanceId> Keepers = selectLimitKeepers(All);
  std::erase_if(All,
                [&](const auto &Each) { return Each.Id == Keepers.front(); });
  std::set<InstanceId> Now = asSet(selectLimitKeepers(All));
  EXPECT_EQ(Now.size(), 3U);
  EXPECT_TRUE(Now.contains(Keepers[1]));
  EXPECT_TRUE(Now.contains(Keepers[2]));
}

TEST(LimitKeepers, AnEmptyListHasNone) {
  EXPECT_TRUE(selectLimitKeepers({}).empty());
}

} // namespace
} // namespace turmericpitch
