#include "routing/MemberRegistry.h"

namespace turmericpitch {

RegistryChange MemberRegistry::onListing(std::vector<RegisteredMember> Listed,
                                         TimePoint AskedAt) {
  if (this->LastListing &&
      AskedAt - *this->LastListing > this->Options.OutageLimit)
    this->KeepMissingUntil = AskedAt + this->Options.ReturnLimit;
  this->LastListing = AskedAt;
  RegistryChange Change;
  std::map<UpstreamId, RegisteredMember> Next;
  for (RegisteredMember &Each : Listed) {
    auto Known = this->Members.find(Each.Id);
    if (Known == this->Members.end())
      Change.Joined.push_back(Each);
    else if (Known->second != Each)
      Change.Changed.push_back(Each);
    Next.insert_or_assign(Each.Id, std::move(Each));
  }
  for (const auto &[Id, Member] : this->Members) {
    if (Next.contains(Id))
      continue;
    if (AskedAt < this->KeepMissingUntil)
      Next.emplace(Id, Member);
    else
      Change.Left.push_back(Member);
  }
  this->Members = std::move(Next);
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
