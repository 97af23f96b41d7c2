#include "failover/FailoverActivities.h"

namespace turmericpitch {

bool FailoverActivities::mayGrant(const ServiceId &Id) const {
  auto Found = this->Steps.find(Id);
  return Found == this->Steps.end() || Found->second == FailoverStep::Checking;
}

} // namespace turmericpitch
