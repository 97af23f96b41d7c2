#include "limits/ConcurrencyLimit.h"

#include <algorithm>

namespace turmericpitch {

void ConcurrencyLimit::onRefused(TimePoint Now) {
  // Several refusals of one moment count as one.
  if (Now < this->PausedUntil)
    return;
  this->Limit = std::max(1.0, this->Limit / 2);
  this->Pause = this->Pause == Duration{0}
                    ? this->Options.FirstPause
                    : std::min(this->Options.MostPause, 2 * this->Pause);
  this->PausedUntil = Now + this->Pause;
}

void ConcurrencyLimit::onRun() {
  this->Pause = Duration{0};
  this->Limit = std::min(static_cast<double>(this->Options.Most),
                         this->Limit + 1 / this->Options.StatementsToGrow);
}

std::size_t ConcurrencyLimit::allowed(TimePoint Now) const {
  return Now < this->PausedUntil ? 0 : static_cast<std::size_t>(this->Limit);
}

} // namespace turmericpitch
