#include "routing/Placement.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Whether a member may serve the statement, regardless of its load.
bool isEligible(const MemberCandidate &Each,
                const PlacementRequirements &Requirements, TimePoint Now) {
  if (Each.Excluded)
    return false;
  if (Each.UsablePrimary)
    return true;
  if (Requirements.Primary || Each.Primary || !Requirements.MinPosition)
    return false;
  bool Reaches = Each.Reached && *Each.Reached >= *Requirements.MinPosition;
  return Reaches || Now >= Each.LaggingUntil ||
         *Requirements.MinPosition < Each.MissingPosition;
}

double expectedTime(const MemberCandidate &Each,
                    const PlacementRequirements &Requirements,
                    const PlacementOptions &Options) {
  double Time = static_cast<double>(Each.TypicalServiceTime.count()) *
                static_cast<double>(Each.InFlight + 1) /
                static_cast<double>(std::max<std::size_t>(1, Each.MaxInFlight));
  if (!Each.SameZone)
    Time += static_cast<double>(Options.CrossZonePenalty.count());
  bool ReadAtPrimary = Each.UsablePrimary && !Requirements.Primary;
  if (!Each.HasIdleConnection || ReadAtPrimary)
    Time += static_cast<double>(Options.ConnectPenalty.count());
  if (!Each.HasIdleConnection && !Each.Preferred)
    Time += static_cast<double>(Options.NotPreferredPenalty.count());
  if (ReadAtPrimary)
    Time *= Options.PrimaryReadCostFactor;
  // The mean number of attempts until one succeeds.
  return Time / std::max(Options.MinSuccessRate, 1 - Each.FailureRate);
}

} // namespace

Placement placeStatement(std::span<const MemberCandidate> Candidates,
                         const PlacementRequirements &Requirements,
                         const PlacementOptions &Options, TimePoint Now) {
  Placement Best;
  double BestTime = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const MemberCandidate &Each = Candidates[Index];
    if (!isEligible(Each, Requirements, Now))
      continue;
    if (Each.InFlight >=
        (Requirements.Urgent ? Each.MaxInFlightUrgent : Each.MaxInFlight)) {
      if (Best.Status == PlacementStatus::NoMember)
        Best.Status = PlacementStatus::Wait;
      continue;
    }
    double Time = expectedTime(Each, Requirements, Options);
    if (Best.Status == PlacementStatus::Place && Time >= BestTime)
      continue;
    Best = {.Status = PlacementStatus::Place, .Index = Index};
    BestTime = Time;
  }
  return Best;
}

} // namespace turmericpitch
