#include "membership/IsolationDetector.h"

namespace turmericpitch {

bool IsolationDetector::shouldQueryPeers(const ConnectivityView &View,
                                         TimePoint Now) const {
  return View.LastContactAt &&
         Now - *View.LastContactAt > this->Options.QueryAfter;
}

bool IsolationDetector::meetsIsolationCriteria(const ConnectivityView &View,
                                               TimePoint Now) const {
  // Before the first contact there is nothing to be cut off from.
  if (!View.LastContactAt || !View.OtherZonesListed)
    return false;
  if (Now - *View.LastContactAt > this->Options.ContactTimeout)
    return true;
  // Where everyone answers, the store is away for all, and no other instance
  // could do better.
  bool SameCause = View.OtherZonesSilentSince && View.StoreContactAt &&
                   *View.OtherZonesSilentSince - *View.StoreContactAt <
                       this->Options.CommonCauseWindow;
  return SameCause && View.LeasesLostAt &&
         Now - *View.LeasesLostAt > this->Options.LeaseLossTimeout;
}

bool IsolationDetector::update(const ConnectivityView &View, TimePoint Now) {
  bool Was = this->isolated();
  bool Cut = this->meetsIsolationCriteria(View, Now);
  if (Cut) {
    this->ContactRestoredAt.reset();
    if (!this->IsolatedSince)
      this->IsolatedSince = Now;
  } else if (this->IsolatedSince) {
    if (!this->ContactRestoredAt)
      this->ContactRestoredAt = Now;
    if (Now - *this->ContactRestoredAt >= this->Options.RecoveryHoldDown)
      this->IsolatedSince.reset();
  }
  return Was != this->isolated();
}

Duration IsolationDetector::isolatedFor(TimePoint Now) const {
  return this->IsolatedSince ? Now - *this->IsolatedSince : Duration{0};
}

} // namespace turmericpitch
