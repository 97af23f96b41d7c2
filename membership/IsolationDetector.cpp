#include "membership/IsolationDetector.h"

namespace turmericpitch {

bool IsolationDetector::shouldQueryPeers(const ConnectivityView &View,
                                         TimePoint Now) const {
  return View.LastContactAt &&
         Now - *View.LastContactAt > this->Options.QueryAfter;
}

bool IsolationDetector::meetsIsolationCriteria(const ConnectivityView &View,
                                               TimePoint Now) const {
  // Isolation requires an earlier contact.
  if (!View.LastContactAt || !View.OtherZonesListed)
    return false;
  if (Now - *View.LastContactAt > this->Options.ContactTimeout)
    return true;
  // If all other instances answer, the store is unreachable for all of them
  // too, and no other instance could serve better.
  bool SameCause = View.OtherZonesSilentSince && View.StoreContactAt &&
                   *View.OtherZonesSilentSince - *View.StoreContactAt <
                       this->Options.CommonCauseWindow;
  return SameCause && View.LeasesLostAt &&
         Now - *View.LeasesLostAt > this->Options.LeaseLossTimeout;
}

bool IsolationDetector::update(const ConnectivityView &View, TimePoint Now) {
  bool WasIsolated = this->isolated();
  bool MeetsCriteria = this->meetsIsolationCriteria(View, Now);
  if (MeetsCriteria) {
    this->ContactRestoredAt.reset();
    if (!this->IsolatedSince)
      this->IsolatedSince = Now;
  } else if (this->IsolatedSince) {
    if (!this->ContactRestoredAt)
      this->ContactRestoredAt = Now;
    if (Now - *this->ContactRestoredAt >= this->Options.RecoveryHoldDown)
      this->IsolatedSince.reset();
  }
  return WasIsolated != this->isolated();
}

Duration IsolationDetector::isolatedFor(TimePoint Now) const {
  return this->IsolatedSince ? Now - *this->IsolatedSince : Duration{0};
}

} // namespace turmericpitch
