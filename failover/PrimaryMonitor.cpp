#include "failover/PrimaryMonitor.h"

#include <algorithm>
#include <string_view>

namespace turmericpitch {

std::string_view toString(FailoverReason Reason) {
  switch (Reason) {
  case FailoverReason::Lost:
    return "lost";
  case FailoverReason::Leaving:
    return "leaving";
  case FailoverReason::Backlog:
    return "backlog";
  case FailoverReason::None:
    break;
  }
  return "none";
}

bool isPlanned(FailoverReason Reason) {
  return Reason == FailoverReason::Leaving || Reason == FailoverReason::Backlog;
}

Duration rankDelay(const PrimaryMonitorOptions &Options, std::size_t Rank) {
  std::size_t FullDelays = std::min(Rank, Options.FullDelayRanks);
  return Options.RankDelay * static_cast<Duration::rep>(FullDelays) +
         Options.LaterRankDelay * static_cast<Duration::rep>(Rank - FullDelays);
}

bool PrimaryMonitor::needsProbe(const PrimaryObservation &Observed,
                                TimePoint Now) const {
  return Observed.SilentSince &&
         Now - *Observed.SilentSince > this->Options.ProbeDelay;
}

bool PrimaryMonitor::suspectsFailure(const PrimaryObservation &Observed,
                                     TimePoint Now) const {
  if (!Observed.Registered)
    return true;
  if (!Observed.SilentSince)
    return false;
  TimePoint From = std::max(*Observed.SilentSince, this->ResumedAt);
  return Now - From >= (Observed.Refusing ? this->Options.RefusalTimeout
                                          : this->Options.SilenceTimeout);
}

PrimaryReachability
PrimaryMonitor::reachability(const PrimaryObservation &Observed,
                             TimePoint Now) const {
  if (!Observed.Registered)
    return PrimaryReachability::Silent;
  if (!Observed.SilentSince)
    return PrimaryReachability::Responding;
  return Now - *Observed.SilentSince >= this->Options.SilenceTimeout / 2
             ? PrimaryReachability::Silent
             : PrimaryReachability::Responding;
}

FailoverReason PrimaryMonitor::evaluate(const PrimaryObservation &Observed,
                                        std::size_t Rank, TimePoint Now) {
  if (!this->LastEvaluation ||
      Now - *this->LastEvaluation > this->Options.MaxEvaluationGap) {
    this->ResumedAt = Now;
    this->ReasonSince.reset();
  }
  this->LastEvaluation = Now;
  FailoverReason Reason = FailoverReason::None;
  if (this->suspectsFailure(Observed, Now))
    Reason = FailoverReason::Lost;
  else if (Observed.Draining)
    Reason = FailoverReason::Leaving;
  if (Reason == FailoverReason::None) {
    this->ReasonSince.reset();
    return Reason;
  }
  if (!this->ReasonSince)
    this->ReasonSince = Now;
  bool DelayElapsed =
      Now - *this->ReasonSince >= rankDelay(this->Options, Rank);
  return DelayElapsed ? Reason : FailoverReason::None;
}

} // namespace turmericpitch
