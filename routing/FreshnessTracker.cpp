#include "routing/FreshnessTracker.h"

#include <algorithm>

namespace turmericpitch {

void FreshnessTracker::thin() {
  TimePoint NeededFrom = this->Samples.back().AskedAt - this->LoosestAge;
  if (this->Samples[1].AskedAt <= NeededFrom) {
    this->Samples.pop_front();
    return;
  }
  // The sample goes whose neighbours are closest in relation to its age.
  std::size_t Redundant = 1;
  double SmallestGap = 0;
  TimePoint Newest = this->Samples.back().AskedAt;
  for (std::size_t Index = 1; Index + 1 < this->Samples.size(); ++Index) {
    Duration Gap =
        this->Samples[Index + 1].AskedAt - this->Samples[Index - 1].AskedAt;
    Duration Age = Newest - this->Samples[Index].AskedAt;
    double Relative =
        static_cast<double>(Gap.count()) / static_cast<double>(Age.count());
    if (Index > 1 && Relative >= SmallestGap)
      continue;
    Redundant = Index;
    SmallestGap = Relative;
  }
  this->Samples.erase(this->Samples.begin() +
                      static_cast<std::ptrdiff_t>(Redundant));
}

void FreshnessTracker::onPrimaryAnswer(std::uint64_t Epoch,
                                       const TermPosition &Reached,
                                       TimePoint AskedAt) {
  if (Epoch < this->Epoch)
    return;
  if (Epoch != this->Epoch) {
    this->Epoch = Epoch;
    this->FirstOfEpoch.reset();
    // Samples beyond the new primary's position refer to entries that the
    // promotion discarded. The others still bound the age of a log that reaches
    // them.
    std::erase_if(this->Samples, [&](const PrimarySample &Each) {
      return Reached < Each.Reached;
    });
  }
  if (!this->FirstOfEpoch)
    this->FirstOfEpoch = Reached;
  // Answers can arrive out of order. Only an answer to a later request, with a
  // position no lower than the newest sample, adds information.
  if (!this->Samples.empty()) {
    const PrimarySample &Newest = this->Samples.back();
    if (AskedAt - Newest.AskedAt < this->Options.MinSampleInterval ||
        Reached < Newest.Reached)
      return;
  }
  this->Samples.push_back({.AskedAt = AskedAt, .Reached = Reached});
  if (this->Samples.size() > this->Options.MaxSamples)
    this->thin();
}

std::optional<TermPosition>
FreshnessTracker::positionFor(Duration MaximumAge, TimePoint BeganAt) const {
  TimePoint Earliest = BeganAt - MaximumAge + this->Options.TimerMargin;
  auto Found = std::find_if(
      this->Samples.begin(), this->Samples.end(),
      [&](const PrimarySample &Each) { return Each.AskedAt >= Earliest; });
  if (Found == this->Samples.end())
    return std::nullopt;
  return Found->Reached;
}

std::optional<TermPosition>
FreshnessTracker::positionFor(const EpochPosition &Written) const {
  // Without a sample nothing is known of the epochs.
  if (this->FirstOfEpoch && Written.Epoch >= this->Epoch)
    return Written.Entry;
  return this->FirstOfEpoch;
}

std::optional<PrimarySample> FreshnessTracker::newest() const {
  if (this->Samples.empty())
    return std::nullopt;
  return this->Samples.back();
}

} // namespace turmericpitch
