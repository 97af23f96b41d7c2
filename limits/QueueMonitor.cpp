#include "limits/QueueMonitor.h"

#include <algorithm>

namespace turmericpitch {

void QueueMonitor::onPass(const QueuePass &Pass, TimePoint Now) {
  if (Pass.Started > 0 && this->WaitingSince) {
    Duration Each =
        (Now - *this->WaitingSince) / static_cast<Duration::rep>(Pass.Started);
    Duration Mean = this->Interval.value_or(Each);
    this->Interval = Mean + (Each - Mean) / this->Options.ObservationDivisor;
  }
  if (!Pass.AnyBlocked)
    this->WaitingSince.reset();
  else if (Pass.Started > 0 || !this->WaitingSince)
    this->WaitingSince = Now;
  if (!Pass.AnyTimely)
    this->TimelySince.reset();
  else if (!this->TimelySince)
    this->TimelySince = Now;
}

std::optional<Duration> QueueMonitor::startInterval(TimePoint Now) const {
  if (!this->Interval || !this->WaitingSince)
    return this->Interval;
  // A longer wait than the mean shows that starts have become rarer.
  return std::max(*this->Interval, Now - *this->WaitingSince);
}

bool QueueMonitor::stands(Duration ServiceTime, TimePoint Now) const {
  Duration Threshold = ServiceTime * this->Options.StandingFactor;
  if (this->RefusedAt && Now - *this->RefusedAt < Threshold)
    return true;
  return this->TimelySince && Now - *this->TimelySince >= Threshold;
}

} // namespace turmericpitch
