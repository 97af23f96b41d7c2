#include "failover/PrimaryMonitor.h"

#include <algorithm>
#include <string_view>
#include <tuple>

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
  std::size_t Slow = std::min(Rank, Options.SlowRanks);
  return Options.RankDelay * static_cast<Duration::rep>(Slow) +
         Options.LaterRankDelay * static_cast<Duration::rep>(Rank - Slow);
}

bool PrimaryMonitor::wantsProbe(const PrimaryObservation &Seen,
                                TimePoint Now) const {
  return Seen.SilentSince && Now - *Seen.SilentSince > this->Options.ProbeAfter;
}

bool PrimaryMonitor::suspects(const PrimaryObservation &Seen,
                              TimePoint Now) const {
  if (!Seen.Listed)
    return true;
  if (!Seen.SilentSince)
    return false;
  TimePoint From = std::max(*Seen.SilentSince, this->AwakeSince);
  return Now - From >= (Seen.Refusing ? this->Options.RefusalLimit
                                      : this->Options.SilenceLimit);
}

FailoverReason PrimaryMonitor::look(const PrimaryObservation &Seen,
                                    std::size_t Rank, TimePoint Now) {
  if (!this->LastLook || Now - *this->LastLook > this->Options.OwnPauseLimit) {
    this->AwakeSince = Now;
    this->ReasonSince.reset();
  }
  this->LastLook = Now;
  FailoverReason Reason = FailoverReason::None;
  if (this->suspects(Seen, Now))
    Reason = FailoverReason::Lost;
  else if (Seen.Draining)
    Reason = FailoverReason::Leaving;
  if (Reason == FailoverReason::None) {
    this->ReasonSince.reset();
    return Reason;
  }
  if (!this->ReasonSince)
    this->ReasonSince = Now;
  bool MyTurn = Now - *this->ReasonSince >= rankDelay(this->Options, Rank);
  return MyTurn ? Reason : FailoverReason::None;
}

std::optional<UpstreamId>
chooseSuccessor(std::span<const SuccessorCandidate> Candidates) {
  const SuccessorCandidate *Best = nullptr;
  for (const SuccessorCandidate &Each : Candidates)
    if (!Best || std::tie(Each.Received, Each.CatchUp) >
                     std::tie(Best->Received, Best->CatchUp))
      Best = &Each;
  if (!Best)
    return std::nullopt;
  return Best->Id;
}

} // namespace turmericpitch
