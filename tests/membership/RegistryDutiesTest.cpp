#include "membership/RegistryDuties.h"

#include <gtest/gtest.h>
#include <set>

namespace turmericpitch {
namespace {

const DutyKey PromoteKey{.Kind = Duty::Promote, .Subject = "primaries"};

/// Four zones of eight instances each, as in the users' enlarged deployments.
std::vector<RegisteredInstance> fourZones() {
  std::vector<RegisteredInstance> All;
  for (const char *Zone : {"a", "b", "c", "d"})
    for (int Index = 1; Index <= 8; ++Index)
      All.push_back({.Id = {std::string(Zone) + std::to_string(Index)},
                     .PeerEndpoint = {.Address = "10.0.0.1", .Port = 7440},
                     .Zone = {Zone}});
  return All;
}

RegistryDuties::UnavailableLookup allAvailable() {
  return [](const InstanceId &) { return false; };
}

TEST(RegistryDuties, TheFirstFourHoldersAreInFourZones) {
  InstanceRegistry Registry({"a1"});
  Registry.onListing(fourZones(), TimePoint{});
  RegistryDuties Duties(Registry);
  std::set<char> Zones;
  for (const InstanceId &Each : Duties.holders(PromoteKey, 4))
    Zones.insert(Each.Value.front());
  EXPECT_EQ(Zones.size(), 4U);
}

// When holders were ranked by name, all eight instances of an isolated zone
// could rank first, and the other instances waited two seconds for their turn.
TEST(RegistryDuties, ALostZoneDelaysTheOthersByOneRank) {
  for (const char *Lost : {"a", "b", "c", "d"}) {
    std::size_t Best = SIZE_MAX;
    for (const RegisteredInstance &Each : fourZones()) {
      if (Each.Zone.Value == Lost)
        continue;
      InstanceRegistry Registry(Each.Id);
      Registry.onListing(fourZones(), TimePoint{});
      Best = std::min(
          Best, RegistryDuties(Registry).rank(PromoteKey, allAvailable()));
    }
    EXPECT_LE(Best, 1U) << "zone " << Lost;
  }
}

TEST(RegistryDuties, UnavailableInstancesDoNotCountInTheRank) {
  InstanceRegistry All({"a1"});
  All.onListing(fourZones(), TimePoint{});
  std::vector<InstanceId> Order = RegistryDuties(All).holders(PromoteKey, 3);
  InstanceRegistry Third(Order[2]);
  Third.onListing(fourZones(), TimePoint{});
  RegistryDuties Duties(Third);
  EXPECT_EQ(Duties.rank(PromoteKey, allAvailable()), 2U);
  EXPECT_EQ(Duties.rank(PromoteKey,
                        [&](const InstanceId &Id) { return Id == Order[0]; }),
            1U);
}

TEST(RegistryDuties, FollowsTheRegistryAndRanksUnlistedInstancesLast) {
  InstanceRegistry Registry({"e1"});
  Registry.onListing(fourZones(), TimePoint{});
  RegistryDuties Duties(Registry);
  EXPECT_FALSE(Duties.holds(PromoteKey, 40));
  EXPECT_EQ(Duties.rank(PromoteKey, allAvailable()), 32U);
  Registry.onListing({{.Id = {"e1"}, .PeerEndpoint = {}, .Zone = {"e"}}},
                     TimePoint{});
  EXPECT_TRUE(Duties.holds(PromoteKey, 1));
  EXPECT_EQ(Duties.rank(PromoteKey, allAvailable()), 0U);
}

} // namespace
} // namespace turmericpitch
