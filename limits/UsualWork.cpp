#include "limits/UsualWork.h"

#include <algorithm>

namespace turmericpitch {

void UsualWork::observe(Duration Took, TimePoint Now) {
  if (Now - this->WindowBegan >= this->Options.Window) {
    if (this->Count >= this->Options.LeastObserved) {
      this->Averages.push_back(this->Sum /
                               static_cast<Duration::rep>(this->Count));
      if (this->Averages.size() > this->Options.Windows)
        this->Averages.pop_front();
    }
    this->WindowBegan = Now;
    this->Sum = Duration{0};
    this->Count = 0;
  }
  this->Sum += Took;
  ++this->Count;
}

Duration UsualWork::value() const {
  if (this->Averages.empty())
    return this->Count < this->Options.LeastObserved
               ? this->Options.First
               : this->Sum / static_cast<Duration::rep>(this->Count);
  return *std::min_element(this->Averages.begin(), this->Averages.end());
}

} // namespace turmericpitch
