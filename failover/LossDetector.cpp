#include "failover/LossDetector.h"

namespace turmericpitch {

LossDetector::LossDetector(LossDetectorOptions Options) : Options(Options) {}

PrimaryVerdict LossDetector::look(const DatabaseView &View, std::size_t Rank,
                                  TimePoint Now) {
  bool WasPaused =
      this->LastLook && Now - *this->LastLook > this->Options.OwnPauseLimit;
  this->LastLook = Now;
  if (WasPaused)
    this->SilentSince.reset();
  const MemberView *Primary = View.primary();
  if (Primary && Primary->FailuresInRow == 0) {
    this->SilentSince.reset();
    return PrimaryVerdict::Wait;
  }
  if (!this->SilentSince)
    this->SilentSince = Now;
  Duration Delay = this->Options.SilenceLimit +
                   this->Options.RankDelay * static_cast<std::int64_t>(Rank);
  if (Now < *this->SilentSince + Delay)
    return PrimaryVerdict::Wait;
  this->SilentSince = Now;
  return PrimaryVerdict::Promote;
}

} // namespace turmericpitch
