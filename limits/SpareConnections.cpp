#include "limits/SpareConnections.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::uint32_t MaxDoublings = 16;

} // namespace

bool SpareConnections::shouldOpen(const ConnectionCounts &Counts,
                                  TimePoint Now) {
  if (this->Opening || Now < this->NextAttemptAt)
    return false;
  if (Counts.Idle >= this->Options.Spares || Counts.Open >= Counts.Usable)
    return false;
  this->Opening = true;
  return true;
}

void SpareConnections::onOpened(bool Succeeded, TimePoint Now) {
  this->Opening = false;
  this->FailuresInRow = Succeeded ? 0 : this->FailuresInRow + 1;
  std::uint32_t Doublings = std::min(this->FailuresInRow, MaxDoublings);
  Duration Wait =
      std::min(this->Options.MinInterval * (std::int64_t{1} << Doublings),
               this->Options.MaxInterval);
  // Jitter: between half of the interval and all of it, so that instances do
  // not connect in step.
  double Fraction = (1 + this->Random.fraction()) / 2;
  this->NextAttemptAt =
      Now + Duration(static_cast<std::int64_t>(
                static_cast<double>(Wait.count()) * Fraction));
}

} // namespace turmericpitch
