#include "failover/PrimaryWatch.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace turmericpitch {

std::string_view toString(ReplaceReason Reason) {
  switch (Reason) {
  case ReplaceReason::Lost:
    return "lost";
  case ReplaceReason::Leaving:
    return "leaving";
  case ReplaceReason::Backlog:
    return "backlog";
  case ReplaceReason::None:
    break;
  }
  return "none";
}

bool isPlanned(ReplaceReason Reason) {
  return Reason == ReplaceReason::Leaving || Reason == ReplaceReason::Backlog;
}

Duration rankDelay(const PrimaryWatchOptions &Options, std::size_t Rank) {
  std::size_t Slow = std::min(Rank, Options.SlowRanks);
  return Options.RankDelay * static_cast<Duration::rep>(Slow) +
         Options.LaterRankDelay * static_cast<Duration::rep>(Rank - Slow);
}

bool PrimaryWatch::wantsProbe(const PrimarySighting &Seen,
                              TimePoint Now) const {
  return Seen.SilentSince && Now - *Seen.SilentSince > this->Options.ProbeAfter;
}

bool PrimaryWatch::suspects(const PrimarySighting &Seen, TimePoint Now) const {
  if (!Seen.Listed)
    return true;
  if (!Seen.SilentSince)
    return false;
  TimePoint From = std::max(*Seen.SilentSince, this->AwakeSince);
  return Now - From >= (Seen.Refusing ? this->Options.RefusalLimit
                                      : this->Options.SilenceLimit);
}

ReplaceReason PrimaryWatch::look(const PrimarySighting &Seen, std::size_t Rank,
                                 TimePoint Now) {
  if (!this->LastLook || Now - *this->LastLook > this->Options.OwnPauseLimit) {
    this->AwakeSince = Now;
    this->ReasonSince.reset();
  }
  this->LastLook = Now;
  ReplaceReason Reason = ReplaceReason::None;
  if (this->suspects(Seen, Now))
    Reason = ReplaceReason::Lost;
  else if (Seen.Draining)
    Reason = ReplaceReason::Leaving;
  if (Reason == ReplaceReason::None) {
    this->ReasonSince.reset();
    return Reason;
  }
  if (!this->ReasonSince)
    this->ReasonSince = Now;
  bool MyTurn = Now - *this->ReasonSince >= rankDelay(this->Options, Rank);
  return MyTurn ? Reason : ReplaceReason::None;
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
