// The load of a fleet that reads from two replicas per service while members
// accept about one connection for two instances.
#include "routing/HomeReplica.h"

#include <gtest/gtest.h>
#include <map>

namespace turmericpitch {
namespace {

RegisteredMember member(const std::string &Id, const std::string &Zone,
                        MemberRole Role) {
  return {.Id = {Id},
          .Service = {"ledger"},
          .Where = {},
          .Zone = {Zone},
          .Role = Role};
}

const std::vector<RegisteredMember> Members = {
    member("m1", "a", MemberRole::Primary),
    member("m2", "b", MemberRole::Replica),
    member("m3", "c", MemberRole::Replica)};

InstanceId instance(std::size_t Index) {
  return {"front-" + std::to_string(Index)};
}

TEST(HomeReplica, PrefersTheOwnZone) {
  for (std::size_t Index = 0; Index < 30; ++Index) {
    EXPECT_EQ(homeReplica(instance(Index), {"b"}, Members), UpstreamId{"m2"});
    EXPECT_EQ(homeReplica(instance(Index), {"c"}, Members), UpstreamId{"m3"});
  }
}

TEST(HomeReplica, SpreadsInstancesWithoutAReplicaInTheirZone) {
  std::map<UpstreamId, int> Count;
  for (std::size_t Index = 0; Index < 400; ++Index)
    ++Count[homeReplica(instance(Index), {"a"}, Members).value()];
  EXPECT_NEAR(Count[{"m2"}], 200, 40);
  EXPECT_NEAR(Count[{"m3"}], 200, 40);
}

TEST(HomeReplica, ChangesOnlyForInstancesOfADrainingReplica) {
  std::vector<RegisteredMember> Draining = Members;
  Draining.push_back(member("m4", "c", MemberRole::Replica));
  std::vector<RegisteredMember> Before = Draining;
  Draining[3].Draining = true;
  for (std::size_t Index = 0; Index < 100; ++Index) {
    auto Old = homeReplica(instance(Index), {"c"}, Before);
    auto New = homeReplica(instance(Index), {"c"}, Draining);
    EXPECT_EQ(New, Old == UpstreamId{"m4"} ? UpstreamId{"m3"} : Old);
  }
}

TEST(HomeReplica, ThereIsNoneWithoutAUsableReplica) {
  std::vector<RegisteredMember> Alone = {Members[0]};
  EXPECT_EQ(homeReplica(instance(1), {"a"}, Alone), std::nullopt);
  Alone.push_back(Members[1]);
  Alone[1].Draining = true;
  EXPECT_EQ(homeReplica(instance(1), {"a"}, Alone), std::nullopt);
}

} // namespace
} // namespace turmericpitch
