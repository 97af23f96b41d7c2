#include "failover/ConsentRound.h"

namespace turmericpitch {

void ConsentRound::onConsent(const Grantor &From, std::uint32_t Serial,
                             TimePoint Now) {
  if (Serial != this->Request.Serial || !this->Set.all().contains(From))
    return;
  this->Consented.insert(From);
  if (!this->CompletedAt && this->Set.hasQuorumOfEach(this->Consented))
    this->CompletedAt = Now;
}

} // namespace turmericpitch
