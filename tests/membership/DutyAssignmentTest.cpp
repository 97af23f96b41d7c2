#include "membership/DutyAssignment.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace turmericpitch {
namespace {

std::vector<InstanceView> drawInstances() {
  auto Zones = *rc::gen::inRange<std::size_t>(1, 7);
  std::vector<InstanceView> Instances;
  for (std::size_t Zone = 0; Zone < Zones; ++Zone) {
    auto Size = *rc::gen::inRange<std::size_t>(1, 9);
    for (std::size_t Index = 0; Index < Size; ++Index) {
      std::string Name = "z" + std::to_string(Zone);
      Instances.push_back({.Id = InstanceId{Name + "-" + std::to_string(Index)},
                           .Zone = ZoneId{Name},
                           .PeerEndpoint = {},
                           .IncarnationNumber = {},
                           .State = InstanceState::Live});
    }
  }
  return Instances;
}

DutyAssignment assign(std::vector<InstanceView> Instances) {
  return DutyAssignment(MembershipSnapshot(InstanceId{"self"}, ZoneId{"z0"},
                                           true, false, std::move(Instances)));
}

DutyKey drawKey() {
  return {.Kind = *rc::gen::element(Duty::Watch, Duty::Promote),
          .Subject = "orders-" + std::to_string(*rc::gen::inRange(0, 1000))};
}

std::set<InstanceId> asSet(const std::vector<InstanceId> &Ids) {
  return {Ids.begin(), Ids.end()};
}

RC_GTEST_PROP(DutyAssignment, SpreadsHoldersOverZones, ()) {
  std::vector<InstanceView> Instances = drawInstances();
  DutyKey Key = drawKey();
  auto Count = *rc::gen::inRange<std::size_t>(1, 8);
  std::vector<InstanceId> Holders = assign(Instances).holders(Key, Count);
  RC_ASSERT(Holders.size() == std::min(Count, Instances.size()));
  RC_ASSERT(asSet(Holders).size() == Holders.size());
  std::set<std::string> Zones;
  std::set<std::string> AllZones;
  for (const InstanceView &Each : Instances)
    AllZones.insert(Each.Zone.Value);
  for (const InstanceId &Each : Holders)
    Zones.insert(Each.Value.substr(0, Each.Value.find('-')));
  RC_ASSERT(Zones.size() == std::min(AllZones.size(), Holders.size()));
}

RC_GTEST_PROP(DutyAssignment, DependsOnlyOnTheSetOfInstances, ()) {
  std::vector<InstanceView> Instances = drawInstances();
  DutyKey Key = drawKey();
  DutyAssignment First = assign(Instances);
  for (InstanceView &Each : Instances)
    Each.IncarnationNumber = Incarnation{7};
  RC_ASSERT(First.holders(Key, 3) == assign(Instances).holders(Key, 3));
  std::vector<InstanceId> Holders = First.holders(Key, 3);
  for (std::size_t Place = 0; Place < Holders.size(); ++Place)
    RC_ASSERT(First.rank(Key, Holders[Place], 3) == Place);
}

// Between powers of two a death replaces only the dead instance. At a power of
// two the zone's weight changes, so it may lose rank to one other zone.
RC_GTEST_PROP(DutyAssignment, ReplacesOnlyTheDeadInstanceWithinAPowerOfTwo,
              ()) {
  std::vector<InstanceView> Instances = drawInstances();
  DutyKey Key = drawKey();
  auto Count = *rc::gen::inRange<std::size_t>(1, 5);
  auto Dead = *rc::gen::inRange<std::size_t>(0, Instances.size());
  InstanceView Victim = Instances[Dead];
  auto ZoneSize = static_cast<std::size_t>(std::count_if(
      Instances.begin(), Instances.end(),
      [&](const InstanceView &V) { return V.Zone == Victim.Zone; }));
  std::set<InstanceId> Before = asSet(assign(Instances).holders(Key, Count));
  Instances[Dead].State = InstanceState::Dead;
  std::set<InstanceId> After = asSet(assign(Instances).holders(Key, Count));
  std::vector<InstanceId> Removed;
  std::set_difference(Before.begin(), Before.end(), After.begin(), After.end(),
                      std::back_inserter(Removed));
  RC_ASSERT(!After.contains(Victim.Id));
  bool SameWeight = std::bit_floor(ZoneSize) == std::bit_floor(ZoneSize - 1);
  if (SameWeight && !Before.contains(Victim.Id))
    RC_ASSERT(Removed.empty());
  if (SameWeight && Before.contains(Victim.Id))
    RC_ASSERT(Removed == std::vector<InstanceId>{Victim.Id});
  RC_ASSERT(Removed.size() <= 2U);
}

TEST(DutyAssignment, OnlyLiveInstancesHoldDuties) {
  std::vector<InstanceView> Instances;
  for (InstanceState State :
       {InstanceState::Dead, InstanceState::Leaving, InstanceState::Live,
        InstanceState::Suspect, InstanceState::Unreachable})
    Instances.push_back({.Id = InstanceId{std::string(toString(State))},
                         .Zone = ZoneId{"vatva"},
                         .PeerEndpoint = {},
                         .IncarnationNumber = {},
                         .State = State});
  std::sort(Instances.begin(), Instances.end());
  DutyAssignment Duties = assign(Instances);
  DutyKey Key{.Kind = Duty::Promote, .Subject = "orders"};
  EXPECT_EQ(Duties.holders(Key, 3), std::vector{InstanceId{"live"}});
  EXPECT_EQ(Duties.holdersInZone(Key, ZoneId{"vatva"}, 3),
            std::vector{InstanceId{"live"}});
  EXPECT_FALSE(Duties.rank(Key, InstanceId{"leaving"}, 3));
}

} // namespace
} // namespace turmericpitch
