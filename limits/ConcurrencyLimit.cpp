#include "limits/ConcurrencyLimit.h"

#include <algorithm>

namespace turmericpitch {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions Options)
    : Options(Options), Limit(std::max(1.0, this->least())) {}

double ConcurrencyLimit::least() const {
  double Most = static_cast<double>(this->Options.Most);
  double Instances =
      static_cast<double>(std::max<std::size_t>(1, this->Options.Instances));
  return std::min(Most, this->Options.LeastLoad * Most / Instances);
}

void ConcurrencyLimit::onRefused(TimePoint Now) {
  // Several refusals of one moment count as one.
  if (Now < this->PausedUntil)
    return;
  this->AtFirst = false;
  this->Limit = std::max(std::min(1.0, this->least()), this->Limit / 2);
  this->Pause = this->Pause == Duration{0}
                    ? this->Options.FirstPause
                    : std::min(this->Options.MostPause, 2 * this->Pause);
  this->PausedUntil = Now + this->Pause;
}

void ConcurrencyLimit::onRun(Duration Took, Duration Allotted, TimePoint Now) {
  this->Pause = Duration{0};
  double Part =
      static_cast<double>(Took.count()) /
      static_cast<double>(std::max<Duration::rep>(1, Allotted.count()));
  this->Slowness += (Part - this->Slowness) * this->Options.Weight;
  this->AtFirst = this->AtFirst && !this->crowded();
  if (!this->crowded()) {
    double Step = 1 / (this->AtFirst ? this->Options.StatementsToGrowAtFirst
                                     : this->Options.StatementsToGrow);
    this->Limit =
        std::min(static_cast<double>(this->Options.Most), this->Limit + Step);
  } else if (Now - this->LoweredAt >= Took) {
    this->Limit = std::max(this->least(), this->Limit * this->Options.Decrease);
    this->LoweredAt = Now;
  }
  if (this->Limit >= 1)
    return;
  auto Gap = static_cast<Duration::rep>(static_cast<double>(Took.count()) *
                                        (1 / this->Limit - 1));
  this->SpacedUntil = Now + Duration(Gap);
}

std::size_t ConcurrencyLimit::allowed(TimePoint Now) const {
  if (Now < this->PausedUntil || Now < this->SpacedUntil)
    return 0;
  return std::max<std::size_t>(1, static_cast<std::size_t>(this->Limit));
}

std::size_t ConcurrencyLimit::allowedUrgent(TimePoint Now) const {
  if (Now < this->PausedUntil)
    return 0;
  return 1 + std::max<std::size_t>(1, static_cast<std::size_t>(this->Limit));
}

} // namespace turmericpitch
