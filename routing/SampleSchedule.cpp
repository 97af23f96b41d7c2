#include "routing/SampleSchedule.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// The age from which a sample is replaced.
Duration maxAge(const SampleScheduleOptions &Options,
                const SampleKnowledge &Known) {
  if (Known.SampledForOthers)
    return Options.Interval;
  Duration Age = Options.ReceivedInterval;
  // Leaves a third of the accepted age for the query and the replica's lag.
  if (Known.StrictestAge)
    Age = std::min(Age, *Known.StrictestAge * 2 / 3);
  return std::max(Age, Options.Interval);
}

} // namespace

bool needsSample(const SampleScheduleOptions &Options,
                 const SampleKnowledge &Known, TimePoint Now) {
  if (Now - Known.RequestedAt < Options.Interval)
    return false;
  if (!Known.NewestAskedAt)
    return true;
  Duration Age = Now - *Known.NewestAskedAt;
  Duration MaxAge = maxAge(Options, Known);
  if (Known.NewestIsCurrent && Age < MaxAge)
    return false;
  // A sample of another instance may still arrive; it costs no new link.
  bool MayArrive = !Known.SampledForOthers && Age < MaxAge + MaxAge / 4;
  return !MayArrive || Known.HasIdleLink;
}

} // namespace turmericpitch
