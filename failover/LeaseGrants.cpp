#include "failover/LeaseGrants.h"

#include <algorithm>

namespace turmericpitch {

bool LeaseGrants::grant(const PrimaryRecord &Record, TimePoint Now) {
  if (Record.Phase != PrimaryPhase::Open ||
      Record.Stored <= this->consentedTo(Record.Service))
    return false;
  TimePoint &Until = this->GrantedUntil[Record.Service];
  Until = std::max(Until, Now + this->Options.MaxUse);
  return true;
}

void LeaseGrants::consent(const ServiceId &Id, Revision Closed) {
  Revision &Newest = this->ConsentedTo[Id];
  Newest = std::max(Newest, Closed);
}

Revision LeaseGrants::consentedTo(const ServiceId &Id) const {
  auto Found = this->ConsentedTo.find(Id);
  return Found == this->ConsentedTo.end() ? Revision{} : Found->second;
}

TimePoint LeaseGrants::grantedUntil(const ServiceId &Id) const {
  auto Found = this->GrantedUntil.find(Id);
  return Found == this->GrantedUntil.end() ? TimePoint{} : Found->second;
}

} // namespace turmericpitch
