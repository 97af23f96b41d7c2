#include "routing/MemberRegistry.h"

namespace turmericpitch {

RegistryChange MemberRegistry::onListing(std::vector<RegisteredMember> Listing,
                                         TimePoint AskedAt) {
  if (this->LastListing &&
      AskedAt - *this->LastListing > this->Options.OutageThreshold)
    this->KeepMissingUntil = AskedAt + this->Options.ReturnTimeout;
  this->LastListing = AskedAt;
  RegistryChange Change;
  std::map<UpstreamId, RegisteredMember> NextMembers;
  for (RegisteredMember &Each : Listing) {
    auto Known = this->Members.find(Each.Id);
    if (Known == this->Members.end())
      Change.Added.push_back(Each);
    else if (Known->second != Each)
      Change.Changed.push_back(Each);
    NextMembers.insert_or_assign(Each.Id, std::move(Each));
  }
  for (const auto &[Id, Member] : this->Members) {
    if (NextMembers.contains(Id))
      continue;
    if (AskedAt < this->KeepMissingUntil)
      NextMembers.emplace(Id, Member);
    else
      Change.Removed.push_back(Member);
  }
  this->Members = std::move(NextMembers);
  return Change;
}

std::optional<Duration> MemberRegistry::age(TimePoint Now) const {
  if (!this->LastListing)
    return std::nullopt;
  return Now - *this->LastListing;
}

std::vector<const RegisteredMember *>
MemberRegistry::membersOf(const ServiceId &Service) const {
  std::vector<const RegisteredMember *> Found;
  for (const auto &[Id, Member] : this->Members)
    if (Member.Service == Service)
      Found.push_back(&Member);
  return Found;
}

const RegisteredMember *MemberRegistry::find(const UpstreamId &Id) const {
  auto Found = this->Members.find(Id);
  return Found == this->Members.end() ? nullptr : &Found->second;
}

} // namespace turmericpitch
