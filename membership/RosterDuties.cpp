#include "membership/RosterDuties.h"

#include <algorithm>

namespace turmericpitch {

const std::vector<InstanceId> &RosterDuties::ranked(const DutyKey &Key) const {
  if (this->RankedFor != this->Roster.digest())
    this->Ranked.clear();
  this->RankedFor = this->Roster.digest();
  auto Known = this->Ranked.find(Key);
  if (Known != this->Ranked.end())
    return Known->second;
  std::vector<InstanceView> Views;
  for (const RosterEntry &Each : this->Roster.all())
    Views.push_back({.Id = Each.Id,
                     .Zone = Each.Zone,
                     .Peers = Each.Peers,
                     .Life = {},
                     .State = InstanceState::Live});
  std::size_t Count = Views.size();
  DutyAssignment Assignment(MembershipSnapshot(this->Roster.self(), {}, true,
                                               false, std::move(Views)));
  return this->Ranked[Key] = Assignment.holders(Key, Count);
}

std::vector<InstanceId> RosterDuties::holders(const DutyKey &Key,
                                              std::size_t Count) const {
  std::vector<InstanceId> All = this->ranked(Key);
  All.resize(std::min(Count, All.size()));
  return All;
}

std::size_t RosterDuties::rank(const DutyKey &Key,
                               const UnableLookup &IsUnable) const {
  std::size_t Before = 0;
  for (const InstanceId &Each : this->holders(Key, this->Roster.all().size())) {
    if (Each == this->Roster.self())
      return Before;
    Before += IsUnable(Each) ? 0 : 1;
  }
  return this->Roster.all().size();
}

bool RosterDuties::holds(const DutyKey &Key, std::size_t Count) const {
  const std::vector<InstanceId> &All = this->ranked(Key);
  auto Last =
      All.begin() + static_cast<std::ptrdiff_t>(std::min(Count, All.size()));
  return std::find(All.begin(), Last, this->Roster.self()) != Last;
}

} // namespace turmericpitch
