#include "failover/ReplicaBacklogMonitor.h"

namespace turmericpitch {

bool ReplicaBacklogMonitor::wantsReports(bool ReadsFallShort, std::size_t Rank,
                                         TimePoint Now) {
  if (!ReadsFallShort) {
    this->ShortSince.reset();
    return false;
  }
  if (!this->ShortSince)
    this->ShortSince = Now;
  Duration Wait = this->Options.AskAfter +
                  this->Options.RankDelay * static_cast<Duration::rep>(Rank);
  bool Asked =
      this->AskedAt && Now - *this->AskedAt < this->Options.AskInterval;
  if (Now - *this->ShortSince < Wait || Asked)
    return false;
  this->AskedAt = Now;
  return true;
}

bool ReplicaBacklogMonitor::shouldHandOver(
    std::span<const MemberBacklog> Reports) const {
  const MemberBacklog *Primary = nullptr;
  for (const MemberBacklog &Each : Reports)
    if (Each.Primary)
      Primary = &Each;
  if (!Primary ||
      static_cast<double>(Primary->Busy) <=
          this->Options.OverloadFactor * static_cast<double>(Primary->Slots))
    return false;
  bool AnySuccessor = false;
  for (const MemberBacklog &Each : Reports) {
    if (Each.Primary)
      continue;
    if (Each.CatchUp < this->Options.UsefulBacklog)
      return false;
    bool Whole = Each.Received.WrittenIn == Primary->Received.WrittenIn &&
                 Each.Received.Position.Value + this->Options.ReceiveSlack >=
                     Primary->Received.Position.Value;
    AnySuccessor = AnySuccessor ||
                   (Whole && Each.CatchUp >= this->Options.WorthwhileBacklog);
  }
  return AnySuccessor;
}

} // namespace turmericpitch
