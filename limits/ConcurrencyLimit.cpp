#include "limits/ConcurrencyLimit.h"

#include <algorithm>

namespace turmericpitch {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions Options)
    : Options(Options), Limit(this->minLimit()) {}

void ConcurrencyLimit::setInstances(std::size_t Instances) {
  this->Options.Instances = Instances;
  if (!this->Used)
    this->Limit = this->minLimit();
}

double ConcurrencyLimit::minLimit() const {
  double Max = static_cast<double>(this->Options.Max);
  double Instances =
      static_cast<double>(std::max<std::size_t>(1, this->Options.Instances));
  return std::min(Max, this->Options.MinLoad * Max / Instances);
}

void ConcurrencyLimit::onRefused(TimePoint Now) {
  this->Used = true;
  // Refusals during a pause count as part of the one that started it.
  if (Now < this->PausedUntil)
    return;
  this->InSlowStart = false;
  this->Limit = std::max(std::min(1.0, this->minLimit()), this->Limit / 2);
  this->Pause = this->Pause == Duration{0}
                    ? this->Options.InitialPause
                    : std::min(this->Options.MaxPause, 2 * this->Pause);
  this->PausedUntil = Now + this->Pause;
}

void ConcurrencyLimit::onCompleted(Duration Took, Duration TargetTime,
                                   TimePoint Now) {
  this->Used = true;
  this->Pause = Duration{0};
  double TimeRatio =
      static_cast<double>(Took.count()) /
      static_cast<double>(std::max<Duration::rep>(1, TargetTime.count()));
  // The first statement tells at once whether others wait at the member.
  double Weight = this->Completed ? this->Options.SmoothingWeight : 1;
  this->MeanTimeRatio += (TimeRatio - this->MeanTimeRatio) * Weight;
  this->Completed = true;
  this->InSlowStart = this->InSlowStart && !this->congested();
  if (!this->congested()) {
    double Step =
        1 / (this->InSlowStart ? this->Options.StatementsToGrowInSlowStart
                               : this->Options.StatementsToGrow);
    this->Limit =
        std::min(static_cast<double>(this->Options.Max), this->Limit + Step);
  } else if (Now - this->LoweredAt >= Took) {
    this->Limit =
        std::max(this->minLimit(), this->Limit * this->Options.DecreaseFactor);
    this->LoweredAt = Now;
  }
  if (this->Limit >= 1)
    return;
  auto PacingDelay = static_cast<Duration::rep>(
      static_cast<double>(Took.count()) * (1 / this->Limit - 1));
  this->PacedUntil = Now + Duration(PacingDelay);
}

std::size_t ConcurrencyLimit::allowed(TimePoint Now) const {
  if (Now < this->PausedUntil || Now < this->PacedUntil)
    return 0;
  return std::max<std::size_t>(1, static_cast<std::size_t>(this->Limit));
}

std::size_t ConcurrencyLimit::allowedUrgent(TimePoint Now) const {
  if (Now < this->PausedUntil)
    return 0;
  return 1 + std::max<std::size_t>(1, static_cast<std::size_t>(this->Limit));
}

} // namespace turmericpitch
