#include "membership/MembershipSnapshot.h"

#include <algorithm>

namespace turmericpitch {

std::string_view toString(InstanceState State) {
  switch (State) {
  case InstanceState::Live:
    return "live";
  case InstanceState::Suspect:
    return "suspect";
  case InstanceState::Unreachable:
    return "unreachable";
  case InstanceState::Leaving:
    return "leaving";
  case InstanceState::Dead:
    break;
  }
  return "dead";
}

MembershipSnapshot::MembershipSnapshot(InstanceId Self, ZoneId Zone,
                                       bool Joined, bool SelfReplaced,
                                       std::vector<InstanceView> Instances)
    : Self(std::move(Self)), Zone(std::move(Zone)), Joined(Joined),
      SelfReplaced(SelfReplaced), Instances(std::move(Instances)) {}

const InstanceView *MembershipSnapshot::find(const InstanceId &Id) const {
  auto Found = std::lower_bound(
      this->Instances.begin(), this->Instances.end(), Id,
      [](const InstanceView &V, const InstanceId &I) { return V.Id < I; });
  bool Known = Found != this->Instances.end() && Found->Id == Id;
  return Known ? &*Found : nullptr;
}

std::size_t MembershipSnapshot::count(InstanceState State) const {
  return static_cast<std::size_t>(
      std::count_if(this->Instances.begin(), this->Instances.end(),
                    [&](const InstanceView &V) { return V.State == State; }));
}

} // namespace turmericpitch
