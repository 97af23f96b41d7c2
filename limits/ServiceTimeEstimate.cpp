#include "limits/ServiceTimeEstimate.h"

#include <algorithm>

namespace turmericpitch {

void ServiceTimeEstimate::observe(Duration Took, TimePoint Now) {
  if (Now - this->WindowStartedAt >= this->Options.Window) {
    if (this->Count >= this->Options.MinObservations) {
      this->Averages.push_back(this->Sum /
                               static_cast<Duration::rep>(this->Count));
      if (this->Averages.size() > this->Options.Windows)
        this->Averages.pop_front();
    }
    this->WindowStartedAt = Now;
    this->Sum = Duration{0};
    this->Count = 0;
  }
  this->Sum += Took;
  ++this->Count;
}

Duration ServiceTimeEstimate::value() const {
  if (this->Averages.empty())
    return this->Count < this->Options.MinObservations
               ? this->Options.Initial
               : this->Sum / static_cast<Duration::rep>(this->Count);
  return *std::min_element(this->Averages.begin(), this->Averages.end());
}

} // namespace turmericpitch
