#include "limits/WarmSpares.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::uint32_t MostDoublings = 16;

} // namespace

bool WarmSpares::shouldOpen(const ConnectionCounts &Counts, TimePoint Now) {
  if (this->Opening || Now < this->NotBefore)
    return false;
  if (Counts.Idle >= this->Options.Spares || Counts.Open >= Counts.Usable)
    return false;
  this->Opening = true;
  return true;
}

void WarmSpares::onOpened(bool Succeeded, TimePoint Now) {
  this->Opening = false;
  this->FailuresInRow = Succeeded ? 0 : this->FailuresInRow + 1;
  std::uint32_t Doublings = std::min(this->FailuresInRow, MostDoublings);
  Duration Wait =
      std::min(this->Options.LeastInterval * (std::int64_t{1} << Doublings),
               this->Options.MostInterval);
  // Between half and all of it, so that instances don't connect in step.
  double Part = (1 + this->Random.fraction()) / 2;
  this->NotBefore = Now + Duration(static_cast<std::int64_t>(
                              static_cast<double>(Wait.count()) * Part));
}

} // namespace turmericpitch
