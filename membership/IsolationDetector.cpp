#include "membership/IsolationDetector.h"

namespace turmericpitch {

bool IsolationDetector::wantsContact(const OutsideView &Seen,
                                     TimePoint Now) const {
  return Seen.ContactAt && Now - *Seen.ContactAt > this->Options.AskAfter;
}

bool IsolationDetector::cutOff(const OutsideView &Seen, TimePoint Now) const {
  // Before the first contact there is nothing to be cut off from.
  if (!Seen.ContactAt || !Seen.OthersElsewhere)
    return false;
  if (Now - *Seen.ContactAt > this->Options.Limit)
    return true;
  // Where everyone answers, the store is away for all, and no other instance
  // could do better.
  bool SameCause = Seen.OthersSilentSince && Seen.StoreSeenAt &&
                   *Seen.OthersSilentSince - *Seen.StoreSeenAt <
                       this->Options.SameCauseLimit;
  return SameCause && Seen.RightsLostAt &&
         Now - *Seen.RightsLostAt > this->Options.RightsLimit;
}

bool IsolationDetector::look(const OutsideView &Seen, TimePoint Now) {
  bool Was = this->isolated();
  bool Cut = this->cutOff(Seen, Now);
  if (Cut) {
    this->BackSince.reset();
    if (!this->Since)
      this->Since = Now;
  } else if (this->Since) {
    if (!this->BackSince)
      this->BackSince = Now;
    if (Now - *this->BackSince >= this->Options.ReturnAfter)
      this->Since.reset();
  }
  return Was != this->isolated();
}

Duration IsolationDetector::lasting(TimePoint Now) const {
  return this->Since ? Now - *this->Since : Duration{0};
}

} // namespace turmericpitch
