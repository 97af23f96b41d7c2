#include "failover/FailoverTimeline.h"

namespace turmericpitch {

namespace {

/// The time left of a step that typically takes Whole; empty once it is no
/// longer expected to end.
std::optional<Duration> timeLeft(Duration Whole, Duration Elapsed) {
  if (Elapsed > 2 * Whole)
    return std::nullopt;
  return Elapsed < Whole ? Whole - Elapsed : Elapsed - Whole;
}

} // namespace

std::optional<Duration> expectedRecovery(const FailoverTimelineOptions &Options,
                                         const FailoverProgress &Progress,
                                         TimePoint Now) {
  if (!Progress.StoreAvailable)
    return std::nullopt;
  if (Progress.Phase == PrimaryPhase::Ordered)
    return timeLeft(Options.Promotion, Now - Progress.PhaseSeenAt);
  Duration AfterClosing = Options.ClosingWait + Options.Promotion;
  if (Progress.Phase == PrimaryPhase::Closing)
    return timeLeft(AfterClosing, Now - Progress.PhaseSeenAt);
  if (!Progress.SilentSince)
    return std::nullopt;
  Duration Begin = Options.Detection + Options.Consultation;
  Duration Silence = Now - *Progress.SilentSince;
  if (Silence > 2 * Begin)
    return std::nullopt;
  return AfterClosing + (Silence < Begin ? Begin - Silence : Duration{0});
}

} // namespace turmericpitch
