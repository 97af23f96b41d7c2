#include "failover/GrantorMaintenance.h"

#include <algorithm>
#include <map>

namespace turmericpitch {

namespace {

Grantor asGrantor(const RegisteredInstance &Each) {
  return {.Id = Each.Id, .PeerEndpoint = Each.PeerEndpoint};
}

/// The number of grantors for a fleet of this size.
std::size_t grantorCount(std::size_t MaxCount, std::size_t Instances) {
  std::size_t Count = std::min(MaxCount, Instances);
  return Count % 2 == 0 && Count > 0 ? Count - 1 : Count;
}

} // namespace

std::vector<Grantor>
chooseGrantors(std::size_t MaxCount, const std::vector<Grantor> &Kept,
               const std::vector<RegisteredInstance> &Listed) {
  std::size_t Count = grantorCount(MaxCount, Listed.size());
  std::vector<Grantor> Chosen;
  std::map<ZoneId, std::size_t> ChosenInZone;
  auto IsChosen = [&](const RegisteredInstance &Each) {
    return std::find(Chosen.begin(), Chosen.end(), asGrantor(Each)) !=
           Chosen.end();
  };
  for (const RegisteredInstance &Each : Listed) {
    bool Keep =
        std::find(Kept.begin(), Kept.end(), asGrantor(Each)) != Kept.end();
    if (!Keep || Chosen.size() >= Count)
      continue;
    Chosen.push_back(asGrantor(Each));
    ++ChosenInZone[Each.Zone];
  }
  while (Chosen.size() < Count) {
    const RegisteredInstance *Best = nullptr;
    for (const RegisteredInstance &Each : Listed)
      if (!IsChosen(Each) &&
          (!Best || ChosenInZone[Each.Zone] < ChosenInZone[Best->Zone]))
        Best = &Each;
    if (!Best)
      break;
    Chosen.push_back(asGrantor(*Best));
    ++ChosenInZone[Best->Zone];
  }
  std::sort(Chosen.begin(), Chosen.end());
  return Chosen;
}

bool GrantorMaintenance::needsChange(const GrantorSet &Set,
                                     const std::set<Grantor> &Present,
                                     TimePoint Now) {
  bool Missing =
      std::any_of(Set.Current.begin(), Set.Current.end(),
                  [&](const Grantor &Each) { return !Present.contains(Each); });
  if (!Missing)
    this->MissingSince.reset();
  else if (!this->MissingSince)
    this->MissingSince = Now;
  if (this->MissingSince)
    return Now - *this->MissingSince >= this->Options.MissingTimeout;
  bool Grows =
      grantorCount(this->Options.MaxCount, Present.size()) > Set.Current.size();
  return Grows && Now - this->ListStableSince >= this->Options.StableListTime;
}

std::optional<GrantorSet>
GrantorMaintenance::update(const GrantorSet &Set,
                           const std::vector<RegisteredInstance> &Listed,
                           TimePoint Now) {
  if (this->SeenRevision != Set.Stored) {
    this->SeenRevision = Set.Stored;
    this->SeenSince = Now;
  }
  std::set<Grantor> Registered;
  for (const RegisteredInstance &Each : Listed)
    Registered.insert(asGrantor(Each));
  if (Registered != this->Present)
    this->ListStableSince = Now;
  this->Present = std::move(Registered);
  if (Set.Stored == Revision{} || Listed.empty())
    return std::nullopt;
  bool Change = this->needsChange(Set, this->Present, Now);
  GrantorSet Next = Set;
  // No lease was ever extended under an empty set.
  if (Set.Current.empty()) {
    if (!Change)
      return std::nullopt;
    Next.Current = chooseGrantors(this->Options.MaxCount, {}, Listed);
    return Next;
  }
  if (Now - this->SeenSince < this->Options.MinAge)
    return std::nullopt;
  if (!Change && Set.Previous.empty())
    return std::nullopt;
  Next.Previous.clear();
  if (Change) {
    Next.Previous = Set.Current;
    Next.Current = chooseGrantors(this->Options.MaxCount, Set.Current, Listed);
  }
  return Next;
}

} // namespace turmericpitch
