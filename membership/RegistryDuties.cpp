#include "membership/RegistryDuties.h"

#include <algorithm>

namespace turmericpitch {

const std::vector<InstanceId> &
RegistryDuties::rankedHolders(const DutyKey &Key) const {
  if (this->CachedDigest != this->Registry.digest())
    this->RankingCache.clear();
  this->CachedDigest = this->Registry.digest();
  auto Known = this->RankingCache.find(Key);
  if (Known != this->RankingCache.end())
    return Known->second;
  std::vector<InstanceView> Views;
  for (const RegisteredInstance &Each : this->Registry.all())
    Views.push_back({.Id = Each.Id,
                     .Zone = Each.Zone,
                     .PeerEndpoint = Each.PeerEndpoint,
                     .IncarnationNumber = {},
                     .State = InstanceState::Live});
  std::size_t Count = Views.size();
  DutyAssignment Assignment(MembershipSnapshot(this->Registry.self(), {}, true,
                                               false, std::move(Views)));
  return this->RankingCache[Key] = Assignment.holders(Key, Count);
}

std::vector<InstanceId> RegistryDuties::holders(const DutyKey &Key,
                                                std::size_t Count) const {
  std::vector<InstanceId> All = this->rankedHolders(Key);
  All.resize(std::min(Count, All.size()));
  return All;
}

std::size_t RegistryDuties::rank(const DutyKey &Key,
                                 const UnavailableLookup &IsUnavailable) const {
  std::size_t AvailableBefore = 0;
  for (const InstanceId &Each :
       this->holders(Key, this->Registry.all().size())) {
    if (Each == this->Registry.self())
      return AvailableBefore;
    AvailableBefore += IsUnavailable(Each) ? 0 : 1;
  }
  return this->Registry.all().size();
}

bool RegistryDuties::holds(const DutyKey &Key, std::size_t Count) const {
  const std::vector<InstanceId> &All = this->rankedHolders(Key);
  auto Last =
      All.begin() + static_cast<std::ptrdiff_t>(std::min(Count, All.size()));
  return std::find(All.begin(), Last, this->Registry.self()) != Last;
}

} // namespace turmericpitch
