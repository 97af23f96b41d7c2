#include "failover/PrimaryFailureDetector.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Whether the newest primary is marked as leaving and a majority of the
/// members is staying and responding.
bool primaryIsLeaving(const DatabaseView &View) {
  const MemberView *Primary = View.primary();
  if (!Primary || !Primary->Configured.Leaving)
    return false;
  auto Staying = std::count_if(
      View.Members.begin(), View.Members.end(), [](const MemberView &Member) {
        return !Member.Configured.Leaving && Member.Last &&
               Member.FailuresInRow == 0;
      });
  return static_cast<std::size_t>(Staying) >= View.majority();
}

} // namespace

PrimaryFailureDetector::PrimaryFailureDetector(
    PrimaryFailureDetectorOptions Options)
    : Options(Options) {}

PrimaryDecision PrimaryFailureDetector::evaluate(const DatabaseView &View,
                                                 std::size_t Rank,
                                                 TimePoint Now) {
  bool WasPaused = this->LastEvaluation &&
                   Now - *this->LastEvaluation > this->Options.MaxEvaluationGap;
  this->LastEvaluation = Now;
  if (WasPaused)
    this->SilentSince.reset();
  const MemberView *Primary = View.primary();
  if (Primary && Primary->FailuresInRow == 0) {
    this->SilentSince.reset();
    return Rank == 0 && primaryIsLeaving(View) ? PrimaryDecision::HandOver
                                               : PrimaryDecision::Wait;
  }
  if (!this->SilentSince)
    this->SilentSince = Now;
  Duration Delay = this->Options.SilenceTimeout +
                   this->Options.RankDelay * static_cast<std::int64_t>(Rank);
  if (Now < *this->SilentSince + Delay)
    return PrimaryDecision::Wait;
  this->SilentSince = Now;
  return PrimaryDecision::Promote;
}

} // namespace turmericpitch
