#include "routing/FreshnessTracker.h"

#include <algorithm>

namespace turmericpitch {

void FreshnessTracker::onPrimaryAnswer(std::uint64_t Reign,
                                       const TermPosition &Reached,
                                       TimePoint AskedAt) {
  if (Reign < this->Reign)
    return;
  if (Reign != this->Reign) {
    this->Reign = Reign;
    this->FirstOfReign.reset();
    // What a promotion cut off is in no log any more. The other samples still
    // say how old a log is that reaches them.
    std::erase_if(this->Samples, [&](const PrimarySample &Each) {
      return Reached < Each.Reached;
    });
  }
  if (!this->FirstOfReign)
    this->FirstOfReign = Reached;
  // Answers can overtake one another; only a later question with at least the
  // position known says something new.
  if (!this->Samples.empty()) {
    const PrimarySample &Newest = this->Samples.back();
    if (AskedAt - Newest.AskedAt < this->Options.Spacing ||
        Reached < Newest.Reached)
      return;
  }
  this->Samples.push_back({.AskedAt = AskedAt, .Reached = Reached});
  if (this->Samples.size() > this->Options.MostSamples)
    this->Samples.pop_front();
}

std::optional<TermPosition>
FreshnessTracker::positionFor(Duration MaximumAge, TimePoint BeganAt) const {
  TimePoint Earliest = BeganAt - MaximumAge + this->Options.Margin;
  auto Found = std::find_if(
      this->Samples.begin(), this->Samples.end(),
      [&](const PrimarySample &Each) { return Each.AskedAt >= Earliest; });
  if (Found == this->Samples.end())
    return std::nullopt;
  return Found->Reached;
}

std::optional<TermPosition>
FreshnessTracker::positionFor(const EpochPosition &Written) const {
  if (Written.Epoch == this->Reign)
    return Written.Entry;
  return this->FirstOfReign;
}

std::optional<PrimarySample> FreshnessTracker::newest() const {
  if (this->Samples.empty())
    return std::nullopt;
  return this->Samples.back();
}

} // namespace turmericpitch
