#include "membership/RosterDuties.h"

#include <algorithm>

namespace turmericpitch {

const DutyAssignment &RosterDuties::assignment() const {
  if (this->Prepared && this->PreparedFor == this->Roster.digest())
    return *this->Prepared;
  std::vector<InstanceView> Views;
  for (const RosterEntry &Each : this->Roster.all())
    Views.push_back({.Id = Each.Id,
                     .Zone = Each.Zone,
                     .Peers = Each.Peers,
                     .Life = {},
                     .State = InstanceState::Live});
  this->Prepared.emplace(MembershipSnapshot(this->Roster.self(), {}, true,
                                            false, std::move(Views)));
  this->PreparedFor = this->Roster.digest();
  return *this->Prepared;
}

std::vector<InstanceId> RosterDuties::holders(const DutyKey &Key,
                                              std::size_t Count) const {
  return this->assignment().holders(Key, Count);
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
  std::vector<InstanceId> First = this->holders(Key, Count);
  return std::find(First.begin(), First.end(), this->Roster.self()) !=
         First.end();
}

} // namespace turmericpitch
