#include "membership/IsolationDetector.h"

namespace turmericpitch {

bool IsolationDetector::wantsContact(std::optional<TimePoint> ContactAt,
                                     TimePoint Now) const {
  return !ContactAt || Now - *ContactAt > this->Options.AskAfter;
}

bool IsolationDetector::look(std::optional<TimePoint> ContactAt,
                             bool OthersElsewhere, TimePoint Now) {
  bool Was = this->isolated();
  // Before the first contact there is nothing to be cut off from.
  bool Cut = ContactAt && OthersElsewhere &&
             Now - *ContactAt > this->Options.Limit;
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
